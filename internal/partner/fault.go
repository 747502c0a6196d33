package partner

import "time"

// Mode is the kind of an endpoint's fault.
type Mode uint8

// The modes.
const (
	Healthy             Mode = iota
	Down                     // connections are refused, and open ones are reset
	Shut                     // every call is rejected
	Unresponsive             // calls are never answered, though they may take effect
	ReturningErrors          // a share of the calls is answered with an error
	Slow                     // calls take longer
	Paused                   // all work stops, and resumes after the fault
	Draining                 // calls in progress are finished, new ones are rejected
	BreakingConnections      // a share of the calls is reset, before or after their effect
	GarblingAnswers          // a share of the answers cannot be read
	Overloaded               // as Down; set by the model after an overload, until another fault is set
	LimitReduced             // the limit is a fraction of the usual one
)

// Fault is a fault of an endpoint: its mode with the parameters of the mode.
type Fault struct {
	Mode   Mode
	Share  float64       // ReturningErrors, BreakingConnections, GarblingAnswers: of the calls
	Factor float64       // Slow: of the service time; LimitReduced: of the limit
	Until  time.Duration // end of the fault, for the Retry-After of rejections; 0: not known
}

// Outage reports whether the fault is an outage, after which an endpoint has to warm up.
func (f Fault) Outage() bool {
	switch f.Mode {
	case Down, Shut, Unresponsive, Overloaded:
		return true
	case ReturningErrors:
		return f.Share > 0.5
	}
	return false
}
