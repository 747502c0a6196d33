package partner

import (
	"time"
)

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
