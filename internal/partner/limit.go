package partner

import (
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

// A route is what a limit, a wait and a fall hold for.
type route struct {
	dest        *destination
	endpoint    *endpoint // a route apart
	tokens      float64
	filledAt    time.Duration
	window      int64 // Window: the number of the span...
	count       int   // ...and what it has taken
	recoveredAt time.Duration
	warming     bool
	arrivals    []arrival
}

func (m *Model) newRoute(d *destination, only *endpoint) *route {
	r := &route{dest: d, endpoint: only, filledAt: m.now, window: -1}
	r.tokens = r.bucketSize()
	return r
}

// bucketSize is the depth of a rate's tokens.
func (r *route) bucketSize() float64 {
	return max(1, r.dest.Limit.PerSecond*r.dest.Limit.Burst.Seconds())
}

// limit is the calls a second that an endpoint's route takes now.
func (e *endpoint) limit() float64 {
	if e.fault.Mode == LimitReduced {
		return e.dest.Limit.PerSecond * e.fault.Factor
	}
	return e.dest.Limit.PerSecond
}

// admit counts a call against the limit.
func (m *Model) admit(e *endpoint) bool {
	r, l, rate := e.route, e.dest.Limit, e.limit()
	switch l.Form {
	case Rate:
		r.tokens = min(r.bucketSize(), r.tokens+rate*(m.now-r.filledAt).Seconds())
		r.filledAt = m.now
		if r.tokens >= 1 {
			r.tokens--
			return true
		}
		if l.CountRejected { // what keeps coming keeps it exhausted
			r.tokens = max(r.tokens-1, -r.bucketSize())
		}
		return false
	case Window:
		if span := int64(m.now / l.Window); span != r.window {
			r.window, r.count = span, 0
		}
		most := int(rate*l.Window.Seconds() + 1e-9)
		if r.count < max(1, most) {
			r.count++
			return true
		}
		if l.CountRejected {
			r.count++
		}
		return false
	}
	return true
}

// retryAfter is the wait that goes with a refusal, if one does. It is honest: at its end
// there is room again, unless others have taken it.
func (m *Model) retryAfter(e *endpoint, until time.Duration) time.Duration {
	d := e.dest
	if m.rng.Float64() >= d.RetryAfterShare {
		return 0
	}
	switch {
	case e.fault.Mode == Shut && until > m.now:
		return until - m.now
	case e.fault.Mode == Shut:
		return 0 // it does not know itself
	case d.Limit.Form == Window:
		return d.Limit.Window - m.now%d.Limit.Window
	case d.Limit.Form == Rate:
		return max(d.RetryAfter, time.Duration((1-e.route.tokens)/e.limit()*float64(time.Second)))
	}
	return d.RetryAfter
}
