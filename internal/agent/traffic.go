package agent

import "sync/atomic"

// trafficCounters counts what an agent sends and asks beside the agreement.
type trafficCounters struct{ reportedBytes, reports, polledBytes, polls atomic.Int64 }

// Traffic is that, since its start.
type Traffic struct {
	ReportedBytes int64 `json:"told_bytes"` // of sights, to the leader
	Reports       int64 `json:"told_calls"`
	PolledBytes   int64 `json:"look_bytes"` // that its senders answered, at their second addresses
	Polls         int64 `json:"looks"`
}
