package agent

import "sync/atomic"

// Traffic counts what an agent has sent and polled since its start, besides the quorum's messages.
type Traffic struct {
	ReportedBytes int64 `json:"told_bytes"` // of observation reports to the leader
	Reports       int64 `json:"told_calls"`
	PolledBytes   int64 `json:"look_bytes"` // of its senders' responses at their admin addresses
	Polls         int64 `json:"looks"`
}

// trafficCounters are the counters behind Traffic.
type trafficCounters struct{ reportedBytes, reports, polledBytes, polls atomic.Int64 }

// totals returns the counts so far.
func (c *trafficCounters) totals() Traffic {
	return Traffic{
		ReportedBytes: c.reportedBytes.Load(), Reports: c.reports.Load(),
		PolledBytes: c.polledBytes.Load(), Polls: c.polls.Load(),
	}
}
