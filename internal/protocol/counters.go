package protocol

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"cleathold/internal/httpconn"
)

// Counters holds the connection and request counters shared by the listeners of a process. It is safe for concurrent
// use.
type Counters struct {
	accepted, acceptFailed, requests, evicted, unanswered, abandoned atomic.Int64

	responses [http.StatusNetworkAuthenticationRequired + 1]atomic.Int64 // by status
}

// Counts holds the values of Counters, counted since the start of the process.
type Counts struct {
	Accepted     int64            `json:"accepted"`          // accepted connections
	AcceptFailed int64            `json:"accept_failed"`     // failed accept calls
	Requests     int64            `json:"requests"`          // requests of which at least one byte arrived
	Responses    map[string]int64 `json:"answers,omitempty"` // complete responses by status
	Unanswered   int64            `json:"unanswered"`        // requests whose connection ended before a complete response
	Evicted      int64            `json:"evicted"`           // idle connections closed to free slots for new ones
}

// Counts returns the current values. It reads them one by one, so they are not a consistent snapshot.
func (c *Counters) Counts() Counts {
	counts := Counts{
		Accepted: c.accepted.Load(), AcceptFailed: c.acceptFailed.Load(), Requests: c.requests.Load(),
		Unanswered: c.unanswered.Load(), Evicted: c.evicted.Load(), Responses: map[string]int64{},
	}
	for status := range c.responses {
		if n := c.responses[status].Load(); n > 0 {
			counts.Responses[strconv.Itoa(status)] = n
		}
	}
	return counts
}

// Abandoned returns the number of messages that were rejected because their client had closed the connection.
func (c *Counters) Abandoned() int64 { return c.abandoned.Load() }

// TransportCounters holds the counters of connections to endpoints, for calls and health checks. It is safe for
// concurrent use.
type TransportCounters struct {
	opened, failed, earlyInput atomic.Int64

	doubtful [httpconn.DoubtCount]atomic.Int64 // by doubt
}

// TransportCounts holds the values of TransportCounters, counted since the start of the process.
type TransportCounts struct {
	Opened     int64            `json:"opened"`             // connections opened
	Failed     int64            `json:"failed"`             // connections that could not be opened
	EarlyInput int64            `json:"early_input"`        // connections closed unused: input or a close before the request
	Doubtful   map[string]int64 `json:"doubtful,omitempty"` // requests without an attributable response, by doubt
}

// countDial counts a connection that was opened, or that could not be opened if err is not nil.
func (c *TransportCounters) countDial(err error) {
	if err != nil {
		c.failed.Add(1)
		return
	}
	c.opened.Add(1)
}

// Counts returns the current values. It reads them one by one, so they are not a consistent snapshot.
func (c *TransportCounters) Counts() TransportCounts {
	counts := TransportCounts{
		Opened: c.opened.Load(), Failed: c.failed.Load(), EarlyInput: c.earlyInput.Load(), Doubtful: map[string]int64{},
	}
	for doubt := range c.doubtful {
		if n := c.doubtful[doubt].Load(); n > 0 {
			counts.Doubtful[httpconn.Doubt(doubt).String()] = n
		}
	}
	return counts
}
