package protocol

import (
	"net/http"
	"strconv"
	"sync/atomic"
)

// Counters holds the connection and request counters shared by the listeners of a process. It is safe for concurrent
// use.
type Counters struct {
	accepted, acceptFailed, requests, evicted, unanswered atomic.Int64

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
