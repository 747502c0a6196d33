package agent

import (
	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// The phases of a sender's status that an agent tells apart; see package lifecycle.
const (
	phaseServing = "serving"
	phaseDrained = "drained"
)

// started reports whether a sender in this phase has started and is not stopping.
func started(status admin.Status) bool {
	return status.Phase == phaseServing || status.Phase == phaseDrained
}

// observationOf returns what a sender's status shows. The sender's name, the time, the version and the agent's own
// facts are left to the caller.
func observationOf(status admin.Status) rollout.Observation {
	counts := status.Counts
	return rollout.Observation{
		Serving: status.Phase == phaseServing && !status.LeaseActive,
		Drained: status.Phase == phaseDrained,
		Process: status.Process,
		Epoch:   status.Epoch,
		Ended:   status.Ended,
		Open:    counts.Open,
		Phase:   status.Phase,
		Facts: rollout.Counters{
			Accepted: counts.Accepted, Rejected: counts.Rejected,
			Delivered: counts.Delivered, Deferred: counts.Deferred, Failed: counts.Undeliverable,
			Called: counts.Called, Late: counts.Late, FirstCall: counts.FirstCall,
			MemoryMB: status.MemoryMB,
		},
	}
}
