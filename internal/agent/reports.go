package agent

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"cleathold/internal/rollout"
)

// observationReport is what one agent reports to the leader.
type observationReport struct {
	Agent        string                `json:"agent"`
	Observations []rollout.Observation `json:"list"`
	Endpoints    []rollout.Endpoint    `json:"endpoints,omitempty"` // in one report of each quarter of endpointListWindow
}

// runReports reports to the leader what this agent observes, and keeps its senders in the roster.
func (a *Agent) runReports(ctx context.Context) {
	var enrolled []bool // the roster's matches when it was last known to be complete
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
		if !leads {
			a.sendReport(ctx, leader, report)
		}
		if matches := a.rosterMatches(); !slices.Equal(matches, enrolled) {
			if a.updateRoster(ctx) == nil {
				enrolled = matches
			}
		}
	}
}

// sendReport sends a report to the leader. One that is lost is made up for by the next.
func (a *Agent) sendReport(ctx context.Context, leader string, report observationReport) {
	text, err := json.Marshal(report)
	if err != nil {
		return
	}
	a.traffic.reportedBytes.Add(int64(len(text)))
	a.traffic.reports.Add(1)
	a.call(ctx, a.cfg.Peers[leader], observationsPath, json.RawMessage(text), nil)
}

// discoveredEndpoints returns what discovery lists, as told by the first of this agent's senders that answers with a
// list.
func (a *Agent) discoveredEndpoints(ctx context.Context) []rollout.Endpoint {
	for _, s := range a.supervisors {
		if list, err := s.client.endpoints(ctx, s.adminIndex()); err == nil && len(list) > 0 {
			return list
		}
	}
	return nil
}

// ownObservations returns the latest observations of this agent's senders.
func (a *Agent) ownObservations() []rollout.Observation {
	list := make([]rollout.Observation, 0, len(a.supervisors))
	a.fleet.withLock(func(_ *rollout.State, observations map[string]rollout.Observation) {
		for _, s := range a.supervisors {
			if observed, known := observations[s.cfg.Name]; known {
				list = append(list, observed)
			}
		}
	})
	return list
}
