// Package partner models partner systems: their endpoints, limits, queues,
// connections, memories of keys, troubles and cold returns. It does no I/O, takes
// the time as a parameter and draws from a random source of its own, so that the
// same calls at the same times have the same ends. Fronts on sockets and in virtual
// time drive it, and add no behaviour.
package partner

import (
	"errors"
	"fmt"
	"time"
)

// LimitForm says how a limit counts.
type LimitForm uint8

// The forms.
const (
	NoLimit LimitForm = iota
	Rate              // a plain rate: a token bucket
	Window            // a count in each fixed span
)

// Limit is what a destination, or a route apart, takes from all senders together.
type Limit struct {
	Form      LimitForm
	PerSecond float64       // calls
	Window    time.Duration // Window: the span; spans follow one another from time 0 on
	Burst     time.Duration // Rate: depth of the bucket, in time
	// CountRejected: calls refused use it up, too.
	CountRejected bool
}

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

// Mode is what ails an endpoint.
type Mode uint8

// The modes.
const (
	Healthy             Mode = iota
	Down                     // connections are refused, and those that stood are reset
	Shut                     // every call is refused
	Unresponsive             // calls are taken in and never answered; their work may be done
	ReturningErrors          // a share of the calls is answered with an error
	Slow                     // calls take longer
	Paused                   // a stop of the world: all goes on after it
	Draining                 // finishes what it has and refuses new work
	BreakingConnections      // a share of the calls breaks in the middle, after their effect or before
	GarblingAnswers          // a share of the answers can't be read
	Overloaded               // pushed over: down until it is set otherwise
	LimitReduced             // its limit is a part of the usual
)

// Fault is a mode with its size.
type Fault struct {
	Mode   Mode
	Share  float64       // Failing, Breaking, Spoiling: of the calls
	Factor float64       // Slow: times the service time. Cut: times the limit
	Until  time.Duration // when it ends, as far as a told wait may tell it; 0 = not known
}

// Outage tells whether an endpoint returns cold from it.
func (t Fault) Outage() bool {
	switch t.Mode {
	case Down, Shut, Unresponsive, Overloaded:
		return true
	case ReturningErrors:
		return t.Share > 0.5
	}
	return false
}

// Message is one message of a call.
type Message struct {
	ID    string
	Key   string // empty: each call of it takes effect
	Class int    // as its effect tells it
}

// Call is one call that has come in whole.
type Call struct {
	ID           uint64
	Sender       int
	Endpoint     string
	Fresh        bool // the first on its connection
	OverCapacity bool // on a connection that is one too many
	HealthCheck  bool // without messages
	Messages     []Message
}

// ConnectionResult is how a connection is received.
type ConnectionResult uint8

// The receptions.
const (
	ConnectionOpened       ConnectionResult = iota
	ConnectionRefused                       // nobody listens
	ConnectionOverCapacity                  // it comes up, and what is sent on it is turned away
)

// AnswerKind says how a call is answered.
type AnswerKind uint8

// The kinds of answer.
const (
	Delivered AnswerKind = iota
	Errored
	Rejected
	Reset   // the connection breaks
	Garbled // an answer that can't be read
	Unprocessable
)

func (k AnswerKind) String() string {
	return [...]string{"delivered", "error", "refused", "reset", "spoilt", "rejected"}[k]
}

// Answer ends a call. A call that gets none was taken in by a silent endpoint.
type Answer struct {
	Call       uint64
	At         time.Duration
	Kind       AnswerKind
	RetryAfter time.Duration // told with a refusal; 0 = none
}

// Effect is a message that took effect, or was dropped as a repeat.
type Effect struct {
	At       time.Duration
	Call     uint64
	Message  Message
	Endpoint string
	Sender   int
	Dropped  bool // a key that was remembered
	Late     bool // after the call was cancelled
}

// Overload is a destination, or route, that was pushed over.
type Overload struct {
	At            time.Duration
	Dest          int
	Endpoint      string        // of a route apart; else empty
	RecoveredAt   time.Duration // its return
	CallsBySender map[int]int   // calls in the window, by sender
}

// ErrUnknown tells of an endpoint that the model does not have.
var ErrUnknown = errors.New("partner: no such endpoint")
