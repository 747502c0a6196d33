package partner

import "time"

// LimitForm is the method by which a limit counts calls.
type LimitForm uint8

// The forms.
const (
	NoLimit LimitForm = iota
	Rate              // a token bucket
	Window            // a count in each fixed window
)

// Limit is the rate of calls that a route accepts from all senders together.
type Limit struct {
	Form      LimitForm
	PerSecond float64       // calls
	Window    time.Duration // Window: its length; the first window starts at time 0
	Burst     time.Duration // Rate: the size of the bucket, as the time in which the rate fills it
	// CountRejected makes rejected calls count against the limit as well.
	CountRejected bool
}

// A route is the unit to which a limit, a Retry-After and an overload apply: a destination, or a single endpoint of a
// destination with separate routes.
type route struct {
	dest        *destination
	endpoint    *endpoint // nil: the route is that of the destination
	tokens      float64
	refilledAt  time.Duration
	window      int64 // Window: number of the current window
	count       int   // Window: calls counted in the current window
	recoveredAt time.Duration
	warming     bool      // the route recovered less than WarmUp ago
	arrivals    []arrival // while warming: calls within the latest OverloadWindow
}

// newRoute returns the route of a destination (e is nil), or of an endpoint with a separate route.
func (m *Model) newRoute(d *destination, e *endpoint) *route {
	r := &route{dest: d, endpoint: e, refilledAt: m.now, window: -1}
	r.tokens = r.bucketSize()
	return r
}

// bucketSize returns the number of tokens that the bucket of a rate limit holds.
func (r *route) bucketSize() float64 {
	return max(1, r.dest.Limit.PerSecond*r.dest.Limit.Burst.Seconds())
}

// limit returns the calls per second that an endpoint's route currently accepts.
func (e *endpoint) limit() float64 {
	if e.fault.Mode == LimitReduced {
		return e.dest.Limit.PerSecond * e.fault.Factor
	}
	return e.dest.Limit.PerSecond
}

// admit counts a call against the limit, and reports whether the limit admits it.
func (m *Model) admit(e *endpoint) bool {
	switch e.dest.Limit.Form {
	case Rate:
		return e.route.takeToken(m.now, e.limit())
	case Window:
		return e.route.countInWindow(m.now, e.limit())
	}
	return true
}

// takeToken refills the bucket at a rate of calls per second and takes a token. It reports whether there was one.
func (r *route) takeToken(now time.Duration, rate float64) bool {
	r.tokens = min(r.bucketSize(), r.tokens+rate*(now-r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens >= 1 {
		r.tokens--
		return true
	}
	if r.dest.Limit.CountRejected { // a sender that keeps calling keeps the bucket exhausted
		r.tokens = max(r.tokens-1, -r.bucketSize())
	}
	return false
}

// countInWindow counts a call in the current window, which admits a rate of calls per second but at least one call. It
// reports whether the call is admitted.
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

// retryAfter draws the Retry-After of a rejection; 0 for none. After it there is capacity again, unless other calls
// have used it. Until is the end of the fault; 0 if it is not known.
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
