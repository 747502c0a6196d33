package partner

import "time"

// Mode is what is wrong with an endpoint.
type Mode uint8

// The modes.
const (
	Healthy             Mode = iota
	Down                     // connections are refused, and open ones are reset
	Shut                     // every call is rejected
	Unresponsive             // calls are never answered, though they may take effect
	ReturningErrors          // a share of the calls is answered with an error
	Slow                     // calls take longer
	Paused                   // all work stops, and goes on after it
	Draining                 // calls that have begun are finished, new ones are rejected
	BreakingConnections      // a share of the calls is reset, after or before their effect
	GarblingAnswers          // a share of the answers cannot be read
	Overloaded               // as Down, by its own doing, until another fault is set
	LimitReduced             // its limit is a part of the usual one
)

// Fault is a mode with its extent.
type Fault struct {
	Mode   Mode
	Share  float64       // ReturningErrors, BreakingConnections, GarblingAnswers: of the calls
	Factor float64       // Slow: of the service time; LimitReduced: of the limit
	Until  time.Duration // when it ends, as rejections may tell; 0: not known
}

// Outage reports whether an endpoint has to warm up after it.
func (f Fault) Outage() bool {
	switch f.Mode {
	case Down, Shut, Unresponsive, Overloaded:
		return true
	case ReturningErrors:
		return f.Share > 0.5
	}
	return false
}
