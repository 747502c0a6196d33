package partner

import "time"

// LimitForm is how a limit counts calls.
type LimitForm uint8

// The forms.
const (
	NoLimit LimitForm = iota
	Rate              // a token bucket
	Window            // a count in each fixed window
)

// Limit is the rate of calls that a route takes from all senders together.
type Limit struct {
	Form      LimitForm
	PerSecond float64       // calls
	Window    time.Duration // Window: its length; windows follow one another from time 0 on
	Burst     time.Duration // Rate: the calls that the bucket holds, as a time at the rate
	// CountRejected has rejected calls use up the limit, too.
	CountRejected bool
}

// A route is what a limit, a wait and an overload hold for: a destination, or one endpoint with a separate route.
type route struct {
	dest        *destination
	endpoint    *endpoint // nil: the route is that of the destination
	tokens      float64
	refilledAt  time.Duration
	window      int64 // Window: its number...
	count       int   // ...and the calls counted in it
	recoveredAt time.Duration
	warming     bool      // it has recovered less than WarmUp ago
	arrivals    []arrival // while it is warming: within the latest OverloadWindow
}

// newRoute makes the route of a destination, or of an endpoint with a separate route.
func (m *Model) newRoute(d *destination, e *endpoint) *route {
	r := &route{dest: d, endpoint: e, refilledAt: m.now, window: -1}
	r.tokens = r.bucketSize()
	return r
}

// bucketSize returns how many tokens a rate's bucket holds.
func (r *route) bucketSize() float64 {
	return max(1, r.dest.Limit.PerSecond*r.dest.Limit.Burst.Seconds())
}

// limit returns the calls a second that an endpoint's route takes now.
func (e *endpoint) limit() float64 {
	if e.fault.Mode == LimitReduced {
		return e.dest.Limit.PerSecond * e.fault.Factor
	}
	return e.dest.Limit.PerSecond
}

// admit counts a call against the limit, and reports whether the limit lets it pass.
func (m *Model) admit(e *endpoint) bool {
	switch e.dest.Limit.Form {
	case Rate:
		return e.route.takeToken(m.now, e.limit())
	case Window:
		return e.route.countInWindow(m.now, e.limit())
	}
	return true
}

// takeToken takes a token from the bucket, which is filled at a rate of calls a second.
func (r *route) takeToken(now time.Duration, rate float64) bool {
	r.tokens = min(r.bucketSize(), r.tokens+rate*(now-r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens >= 1 {
		r.tokens--
		return true
	}
	if r.dest.Limit.CountRejected { // calls that keep coming keep it exhausted
		r.tokens = max(r.tokens-1, -r.bucketSize())
	}
	return false
}

// countInWindow counts a call in the present window, which takes a rate of calls a second, and one at the least.
func (r *route) countInWindow(now time.Duration, rate float64) bool {
	l := r.dest.Limit
	if window := int64(now / l.Window); window != r.window {
		r.window, r.count = window, 0
	}
	if r.count < max(1, int(rate*l.Window.Seconds()+1e-9)) {
		r.count++
		return true
	}
	if l.CountRejected {
		r.count++
	}
	return false
}

// retryAfter draws the wait that a rejection tells; 0 for none. After it there is capacity again, unless others have
// used it. Until is the end of the fault, if it is known.
func (m *Model) retryAfter(e *endpoint, until time.Duration) time.Duration {
	d := e.dest
	if m.rng.Float64() >= d.RetryAfterShare {
		return 0
	}
	switch {
	case e.fault.Mode == Shut && until > m.now:
		return until - m.now
	case e.fault.Mode == Shut:
		return 0 // the end of the fault is not known
	case d.Limit.Form == Window:
		return d.Limit.Window - m.now%d.Limit.Window
	case d.Limit.Form == Rate:
		return max(d.RetryAfter, time.Duration((1-e.route.tokens)/e.limit()*float64(time.Second)))
	}
	return d.RetryAfter
}
