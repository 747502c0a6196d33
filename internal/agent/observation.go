package agent

import (
	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// observationOf is what a status shows.
func observationOf(status admin.Status) rollout.Observation {
	return rollout.Observation{
		Serving: status.Phase == "serving" && !status.LeaseActive, Process: status.Process, Epoch: status.Epoch, Ended: status.Ended, Drained: status.Phase == "drained",
		Open: status.Counts.Open, Phase: status.Phase,
		Facts: rollout.Counters{
			Accepted: status.Counts.Taken, Rejected: status.Counts.Refused, Delivered: status.Counts.Delivered, Deferred: status.Counts.Deferred,
			Failed: status.Counts.Undeliverable, Called: status.Counts.Called, Late: status.Counts.Late, FirstCall: status.Counts.FirstCall, MemoryMB: status.MemoryMB,
		},
	}
}
