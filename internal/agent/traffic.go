package agent

import "sync/atomic"

// Traffic counts an agent's reports and polls since its start. The quorum's messages are not included.
type Traffic struct {
	ReportedBytes int64 `json:"told_bytes"` // size of the observation reports to the leader
	Reports       int64 `json:"told_calls"`
	PolledBytes   int64 `json:"look_bytes"` // size of its senders' responses to this agent's calls
	Polls         int64 `json:"looks"`
}

// trafficCounters are the counters from which Traffic is read.
type trafficCounters struct{ reportedBytes, reports, polledBytes, polls atomic.Int64 }

// totals returns the current counts.
func (c *trafficCounters) totals() Traffic {
	return Traffic{
		ReportedBytes: c.reportedBytes.Load(), Reports: c.reports.Load(),
		PolledBytes: c.polledBytes.Load(), Polls: c.polls.Load(),
	}
}
