// Package partner models partner systems: their endpoints, limits, queues,
// connections, memories of keys, troubles and cold returns. It does no I/O, takes
// the time as a parameter and draws from a random source of its own, so that the
// same calls at the same times have the same ends. Fronts on sockets and in virtual
// time drive it, and add no behaviour.
package partner

import (
	"fmt"
	"time"
)

// Scope says where a repeat with a known key is dropped.
type Scope uint8

// The scopes.
const (
	AllEndpoints Scope = iota
	SameZone
	SameEndpoint
)

// Spec describes one destination.
type Spec struct {
	Dest           int
	Kind           string
	Endpoints      []EndpointSpec
	SeparateRoutes bool // endpoints are routes apart: own limit, waits, outages
	Limit          Limit
	// RetryAfterShare is the part of the refusals that tell how long to wait: to the end of
	// the span or of the closure where these are known, else Wait.
	RetryAfterShare float64
	RetryAfter      time.Duration

	Mean           time.Duration // of the service time of a call with one message
	CV             float64       // its coefficient of variation; 0 = always the mean
	ItemCost       float64       // what each further message of a call adds, as a part of the mean
	Servers        int           // calls that an endpoint serves at once
	QueueLength    int           // calls that wait behind them
	MaxBatch       int           // messages in a call at most
	MaxConnections int           // connections an endpoint holds, idle ones counted; 0 = any number
	ConnCost       time.Duration // added to the first call on a connection

	KeyRetention time.Duration // a repeat with a key is dropped for so long; 0 = never
	KeyScope     Scope
	// StopsOnCancel is the part of the cancelled calls whose work ends with that.
	StopsOnCancel float64

	ColdCapacity   float64       // share of its capacity as it returns
	WarmUp         time.Duration // time by which it has all of it
	OverloadFactor float64       // times its present capacity that push it over...
	OverloadWindow time.Duration // ...when they come for so long; 0 = it never falls
}

// EndpointSpec is one endpoint of a destination.
type EndpointSpec struct {
	ID   string
	Zone int
}

// Check tells what in a description makes no sense.
func (s *Spec) Check() error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("destination %d: %s", s.Dest, fmt.Sprintf(format, args...))
	}
	seen := map[string]bool{}
	for _, e := range s.Endpoints {
		if e.ID == "" || seen[e.ID] {
			return bad("an endpoint without id, or two of id %q", e.ID)
		}
		seen[e.ID] = true
	}
	switch {
	case len(s.Endpoints) == 0:
		return bad("no endpoints")
	case s.Limit.Form != NoLimit && s.Limit.PerSecond <= 0:
		return bad("a limit of %g a second", s.Limit.PerSecond)
	case s.Limit.Form == Window && s.Limit.Window <= 0:
		return bad("a window without a span")
	case s.RetryAfterShare < 0 || s.RetryAfterShare > 1 || s.StopsOnCancel < 0 || s.StopsOnCancel > 1:
		return bad("a share outside 0 to 1")
	case s.Mean <= 0 || s.CV < 0 || s.ItemCost < 0:
		return bad("service time")
	case s.Servers < 1 || s.QueueLength < 0 || s.MaxBatch < 1 || s.MaxConnections < 0:
		return bad("servers, depth, batch or connections out of range")
	case s.ColdCapacity <= 0 || s.ColdCapacity > 1:
		return bad("cold-from: more than 0, 1 at most")
	case s.OverloadWindow > 0 && s.OverloadFactor <= 1:
		return bad("it would fall over at its capacity")
	}
	return nil
}
