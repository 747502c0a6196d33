package agent

import (
	"context"
	"encoding/json"
	"time"

	"cleathold/internal/rollout"
)

// observationReport are what one agent sees.
type observationReport struct {
	Agent        string                `json:"agent"`
	Observations []rollout.Observation `json:"list"`
	Endpoints    []rollout.Endpoint    `json:"endpoints,omitempty"` // now and then
}

// runReports tells the leader what this agent sees, and the log which senders it has.
func (a *Agent) runReports(ctx context.Context) {
	reported := ""
	var endpointsAt time.Time
	for sleep(ctx, pollInterval) {
		leader, leads := a.leadership()
		if leader == "" {
			continue
		}
		report := observationReport{Agent: a.cfg.Name, Observations: a.ownObservations()}
		if time.Since(endpointsAt) > endpointListWindow/4 {
			endpointsAt = time.Now()
			report.Endpoints = a.discoveredEndpoints(ctx)
		}
		if report.Endpoints != nil {
			a.fleet.setEndpoints(a.cfg.Name, report.Endpoints)
		}
		if text, err := json.Marshal(report); err == nil && !leads {
			a.traffic.reportedBytes.Add(int64(len(text)))
			a.traffic.reports.Add(1)
			a.call(ctx, a.cfg.Peers[leader], observationsPath, json.RawMessage(text), nil)
		}
		if text := a.rosterDigest(); text != reported {
			if a.updateRoster(ctx) == nil {
				reported = text
			}
		}
	}
}

// discoveredEndpoints is what discovery lists, as the first of this agent's senders has it that answers.
func (a *Agent) discoveredEndpoints(ctx context.Context) []rollout.Endpoint {
	for _, s := range a.supervisors {
		if list, err := s.endpoints(ctx); err == nil && len(list) > 0 {
			return list
		}
	}
	return nil
}

// ownObservations are the latest sights of this agent's senders.
func (a *Agent) ownObservations() []rollout.Observation {
	list := make([]rollout.Observation, 0, len(a.supervisors))
	a.fleet.withLock(func(_ *rollout.State, observations map[string]rollout.Observation) {
		for _, s := range a.supervisors {
			if observed, some := observations[s.Name]; some {
				list = append(list, observed)
			}
		}
	})
	return list
}
