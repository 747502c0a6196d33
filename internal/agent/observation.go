package agent

import (
	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// The phases of a sender's status that an agent distinguishes. Package lifecycle defines all phases.
const (
	phaseServing = "serving"
	phaseDrained = "drained"
)

// started reports whether a sender with this status has started and is not stopping.
func started(status admin.Status) bool {
	return status.Phase == phaseServing || status.Phase == phaseDrained
}

// observationOf returns the observation for a sender's status. The caller must set the sender's name, the time, the
// version and the fields that only the sender's agent knows.
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
		Counters: rollout.Counters{
			Accepted: counts.Accepted, Rejected: counts.Rejected,
			Delivered: counts.Delivered, Deferred: counts.Deferred, Failed: counts.Undeliverable,
			Called: counts.Attempted, Late: counts.Late, FirstCall: counts.FirstAttemptWait,
			MemoryMB: status.MemoryMB,
		},
	}
}
