package protocol

import (
	"slices"
	"sync"

	"cleathold/internal/httpconn"
)

const (
	// maxUnannounced is the number of responses in a row without the announcement after which an endpoint counts as one
	// that doesn't announce the close of a connection.
	maxUnannounced = 32

	// maxAnnouncing limits the number of endpoints that are remembered; the memory starts anew beyond it.
	maxAnnouncing = 4096
)

// closeAnnouncements remembers which endpoints announce in a response that they close the connection, as the request
// asked. Such an endpoint can't have sent a response without the announcement for a request that it has read. The zero
// value is ready to use, also by several goroutines.
type closeAnnouncements struct {
	mu        sync.Mutex
	remaining map[string]int // by endpoint: responses without the announcement until it is no longer expected
}

// missing records the responses of an endpoint on one connection, and reports whether they lack an announcement that
// the endpoint makes otherwise.
func (a *closeAnnouncements) missing(endpoint string, responses []httpconn.Response) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.ContainsFunc(responses, func(r httpconn.Response) bool { return r.Closes }) {
		if a.remaining == nil || len(a.remaining) >= maxAnnouncing {
			a.remaining = map[string]int{}
		}
		a.remaining[endpoint] = maxUnannounced
		return false
	}
	if a.remaining[endpoint] == 0 {
		return false
	}
	if a.remaining[endpoint]--; a.remaining[endpoint] == 0 {
		delete(a.remaining, endpoint)
	}
	return true
}
