package partner

import (
	"fmt"
	"time"
)

// Scope is where a message is dropped whose key was seen before.
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
	SeparateRoutes bool // each endpoint has its own limit, waits and outages
	Limit          Limit
	// RetryAfterShare is the part of the rejections, from 0 to 1, that tell how long to wait: to the end of the window
	// or of the fault where these are known, else RetryAfter.
	RetryAfterShare float64
	RetryAfter      time.Duration

	Mean           time.Duration // of the service time of a call with one message
	CV             float64       // its coefficient of variation; 0: always the mean
	ItemCost       float64       // what each further message of a call adds, as a part of the mean
	Servers        int           // calls that an endpoint serves at once
	QueueLength    int           // calls that may wait for a server
	MaxBatch       int           // messages in a call at most
	MaxConnections int           // connections of an endpoint, idle ones included; 0: any number
	ConnCost       time.Duration // added to the first call on a connection

	KeyRetention time.Duration // how long keys are kept to drop repeats; 0: not at all
	KeyScope     Scope
	// StopsOnCancel is the part of the canceled calls, from 0 to 1, on which work stops.
	StopsOnCancel float64

	InitialCapacity float64       // part of its capacity as it recovers from an outage, above 0
	WarmUp          time.Duration // time until it has all of it
	OverloadFactor  float64       // calls, as a multiple of its present capacity, that overload it...
	OverloadWindow  time.Duration // ...when they come for this long; 0: it is never overloaded
}

// EndpointSpec describes an endpoint of a destination.
type EndpointSpec struct {
	ID   string
	Zone int
}

// Check returns an error for a description that makes no sense.
func (s *Spec) Check() error {
	specError := func(format string, args ...any) error {
		return fmt.Errorf("destination %d: %s", s.Dest, fmt.Sprintf(format, args...))
	}
	seen := map[string]bool{}
	for _, e := range s.Endpoints {
		if e.ID == "" || seen[e.ID] {
			return specError("an endpoint without id, or two of id %q", e.ID)
		}
		seen[e.ID] = true
	}
	switch {
	case len(s.Endpoints) == 0:
		return specError("no endpoints")
	case s.Limit.Form != NoLimit && s.Limit.PerSecond <= 0:
		return specError("a limit of %g a second", s.Limit.PerSecond)
	case s.Limit.Form == Window && s.Limit.Window <= 0:
		return specError("a window without a span")
	case s.RetryAfterShare < 0 || s.RetryAfterShare > 1 || s.StopsOnCancel < 0 || s.StopsOnCancel > 1:
		return specError("a share outside 0 to 1")
	case s.Mean <= 0 || s.CV < 0 || s.ItemCost < 0:
		return specError("service time")
	case s.Servers < 1 || s.QueueLength < 0 || s.MaxBatch < 1 || s.MaxConnections < 0:
		return specError("servers, depth, batch or connections out of range")
	case s.InitialCapacity <= 0 || s.InitialCapacity > 1:
		return specError("cold-from: more than 0, 1 at most")
	case s.OverloadWindow > 0 && s.OverloadFactor <= 1:
		return specError("it would fall over at its capacity")
	}
	return nil
}
