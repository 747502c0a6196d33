package agent

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"cleathold/internal/rollout"
)

// observationReport is a report of one agent to the leader.
type observationReport struct {
	Agent        string                `json:"agent"`
	Observations []rollout.Observation `json:"list"`
	Endpoints    []rollout.Endpoint    `json:"endpoints,omitempty"` // sent once per quarter of endpointListWindow
}

// runReports reports this agent's observations to the leader and keeps the roster's entries of its senders up to date.
func (a *Agent) runReports(ctx context.Context) {
	var enrolled []bool // rosterMatches at the time of the last successful updateRoster
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

// sendReport sends a report to the leader. Errors are ignored, since the next report supersedes a lost one.
func (a *Agent) sendReport(ctx context.Context, leader string, report observationReport) {
	text, err := json.Marshal(report)
	if err != nil {
		return
	}
	a.traffic.reportedBytes.Add(int64(len(text)))
	a.traffic.reports.Add(1)
	a.call(ctx, a.cfg.Peers[leader], observationsPath, json.RawMessage(text), nil)
}

// discoveredEndpoints returns the endpoints that discovery lists, from the first of this agent's senders that responds
// with a non-empty list.
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
