package protocol

import (
	"net/http"
	"strconv"
	"sync/atomic"
)

// Counters count what the listeners of one process do. They may be read and added to from any goroutine.
type Counters struct {
	accepted, acceptFailed, requests, evicted, unanswered atomic.Int64

	responses [http.StatusNetworkAuthenticationRequired + 1]atomic.Int64 // by status
}

// Counts are the values of Counters since the start of the process.
type Counts struct {
	Accepted     int64            `json:"accepted"`      // connections
	AcceptFailed int64            `json:"accept_failed"` // accepts that the system refused
	Requests     int64            `json:"requests"`      // of which a first byte came at least
	Answers      map[string]int64 `json:"answers,omitempty"`
	Unanswered   int64            `json:"unanswered"` // requests whose connection ended with no complete response
	Evicted      int64            `json:"evicted"`    // connections that made room for others
}

// Counts reads the counters, which are not of one instant.
func (c *Counters) Counts() Counts {
	counts := Counts{
		Accepted: c.accepted.Load(), AcceptFailed: c.acceptFailed.Load(), Requests: c.requests.Load(),
		Unanswered: c.unanswered.Load(), Evicted: c.evicted.Load(), Answers: map[string]int64{},
	}
	for status := range c.responses {
		if n := c.responses[status].Load(); n > 0 {
			counts.Answers[strconv.Itoa(status)] = n
		}
	}
	return counts
}
