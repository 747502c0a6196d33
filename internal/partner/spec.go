package partner

import (
	"fmt"
	"time"
)

// Scope is the set of endpoints within which a repeated key causes a message to be dropped.
type Scope uint8

// The scopes.
const (
	AllEndpoints Scope = iota // of the destination
	SameZone
	SameEndpoint
)

// Spec describes a destination.
type Spec struct {
	Dest           int
	Kind           string
	Endpoints      []EndpointSpec
	SeparateRoutes bool // each endpoint has its own limit, Retry-After and outages
	Limit          Limit
	// RetryAfterShare is the share of the rejections, from 0 to 1, with a Retry-After: the time to the end of the window
	// or of the fault if that is known, else RetryAfter.
	RetryAfterShare float64
	RetryAfter      time.Duration

	Mean           time.Duration // of the service time of a call with one message
	CV             float64       // its coefficient of variation; 0: always the mean
	ItemCost       float64       // service time of each further message of a call, as a fraction of the mean
	Servers        int           // calls that an endpoint serves at the same time
	QueueLength    int           // maximum number of calls that wait for a server
	MaxBatch       int           // maximum number of messages in a call
	MaxConnections int           // maximum number of connections of an endpoint, including idle ones; 0: no limit
	ConnCost       time.Duration // added to the first call on a connection

	KeyRetention time.Duration // how long keys are kept to drop repeated messages; 0: not at all
	KeyScope     Scope
	// StopsOnCancel is the share of the canceled calls, from 0 to 1, on which the endpoint stops work.
	StopsOnCancel float64

	InitialCapacity float64       // fraction of the full capacity right after an outage, above 0
	WarmUp          time.Duration // time from the end of an outage to full capacity
	OverloadFactor  float64       // rate of calls that overloads a warming route, as a multiple of its capacity
	OverloadWindow  time.Duration // time over which that rate is measured; 0: the route is never overloaded
}

// EndpointSpec describes an endpoint of a destination.
type EndpointSpec struct {
	ID   string
	Zone int
}

// Check returns an error if the description is invalid.
func (s *Spec) Check() error {
	specError := func(format string, args ...any) error {
		return fmt.Errorf("destination %d: %s", s.Dest, fmt.Sprintf(format, args...))
	}
	seen := map[string]bool{}
	for _, e := range s.Endpoints {
		if e.ID == "" || seen[e.ID] {
			return specError("empty or duplicate endpoint id %q", e.ID)
		}
		seen[e.ID] = true
	}
	switch {
	case len(s.Endpoints) == 0:
		return specError("no endpoints")
	case s.Limit.Form != NoLimit && s.Limit.PerSecond <= 0:
		return specError("the limit of %g calls per second is not above 0", s.Limit.PerSecond)
	case s.Limit.Form == Window && s.Limit.Window <= 0:
		return specError("the length of the limit's window is not above 0")
	case s.RetryAfterShare < 0 || s.RetryAfterShare > 1 || s.StopsOnCancel < 0 || s.StopsOnCancel > 1:
		return specError("the share of rejections with Retry-After or of canceled calls that stop is not from 0 to 1")
	case s.Mean <= 0 || s.CV < 0 || s.ItemCost < 0:
		return specError("the mean service time is not above 0, or its variation or the item cost is negative")
	case s.Servers < 1 || s.QueueLength < 0 || s.MaxBatch < 1 || s.MaxConnections < 0:
		return specError("servers, queue length, batch size or connections out of range")
	case s.InitialCapacity <= 0 || s.InitialCapacity > 1:
		return specError("the initial capacity is not above 0 and at most 1")
	case s.OverloadWindow > 0 && s.OverloadFactor <= 1:
		return specError("the overload factor is not above 1")
	}
	return nil
}
