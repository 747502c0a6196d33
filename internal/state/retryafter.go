package state

import "time"

// maxRetryAfters is the number of waits above which expired ones are removed. No more waits are recorded once there are
// twice as many.
const maxRetryAfters = 1024

// routeKey identifies the scope of a Retry-After: a destination, or a single endpoint if the endpoints of its kind have
// separate routes. For a single endpoint, the wait applies to its address, too: discovery may list another endpoint at
// that address before the wait has expired, or may have done so in an update that was not read yet.
type routeKey struct {
	destination int
	target      string
	address     string
}

// addressKeyOf returns the key of an endpoint's address, to which a Retry-After applies besides the endpoint itself.
func addressKeyOf(t Target) routeKey { return routeKey{destination: t.Destination, address: t.Addr} }

// retryAfter is the period of a wait that an endpoint requested.
type retryAfter struct{ from, until time.Time }

// retryAfterTable holds the wait of each route that ends last.
type retryAfterTable map[routeKey]retryAfter

// record records a wait for a route, unless a wait that ends later is already recorded for it.
func (t retryAfterTable) record(key routeKey, wait retryAfter) {
	if wait.until.After(t[key].until) && len(t) < 2*maxRetryAfters {
		t[key] = wait
	}
}

// prune removes the expired waits if many waits are recorded.
func (t retryAfterTable) prune(now time.Time) {
	if len(t) < maxRetryAfters {
		return
	}
	for key, w := range t {
		if !now.Before(w.until) {
			delete(t, key)
		}
	}
}

// separateRoutes reports whether a wait applies to one endpoint only, not to all endpoints of its destination.
func (l *Loop) separateRoutes(kind int) bool {
	return kind >= 0 && kind < len(l.settings.Kinds) && l.settings.Kinds[kind].SeparateRoutes
}

// routeKeyOf returns the key of the route to which a Retry-After of an endpoint applies.
func (l *Loop) routeKeyOf(t Target) routeKey {
	if l.separateRoutes(t.Kind) {
		return routeKey{destination: t.Destination, target: t.ID}
	}
	return routeKey{destination: t.Destination}
}

// recordRetryAfter records a Retry-After that an endpoint has just sent.
func (l *Loop) recordRetryAfter(t Target, after time.Duration) {
	l.retryAfters.prune(l.now)
	wait := retryAfter{l.now, l.now.Add(after)}
	l.retryAfters.record(l.routeKeyOf(t), wait)
	if l.separateRoutes(t.Kind) {
		l.retryAfters.record(addressKeyOf(t), wait)
	}
}

// applyRetryAfters applies the waits recorded for an address to the endpoints that are listed there now.
func (l *Loop) applyRetryAfters(listed []Target) {
	for _, x := range listed {
		t := l.group.ByID(x.ID)
		if t == nil || !l.separateRoutes(t.Kind) {
			continue
		}
		if w := l.retryAfters[addressKeyOf(*t)]; l.now.Before(w.until) {
			l.retryAfters[l.routeKeyOf(*t)] = w
			l.controller.ApplyRetryAfter(l.sinceStart(), t.Endpoint.ID, w.until.Sub(l.now))
		}
	}
}

// withholdForRetryAfter withholds the calls to which an endpoint's Retry-After applies, because they would arrive
// before it has expired.
func (l *Loop) withholdForRetryAfter(from Target) {
	l.withhold(func(t Target) bool {
		return t.Destination == from.Destination && (t.ID == from.ID || !l.separateRoutes(from.Kind))
	})
}
