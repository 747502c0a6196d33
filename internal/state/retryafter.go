package state

import "time"

// maxRetryAfters are remembered; beyond that those that have passed are forgotten first, and beyond twice that no
// more are taken.
const maxRetryAfters = 1024

// routeKey names what a Retry-After binds: a destination, or one endpoint where its kind has separate routes. That is
// bound by its address, too: discovery may list another endpoint there before the wait has passed, or have done so
// unread.
type routeKey struct {
	destination int
	target      string
	address     string
}

// addressKeyOf is what a Retry-After of an endpoint binds besides the endpoint itself.
func addressKeyOf(t Target) routeKey { return routeKey{destination: t.Destination, address: t.Addr} }

// retryAfter is a wait that an endpoint asked for, from when to when.
type retryAfter struct{ from, until time.Time }

// retryAfterTable remembers the latest wait of each route.
type retryAfterTable map[routeKey]retryAfter

// record enters a wait for a route, unless a longer one holds there.
func (t retryAfterTable) record(key routeKey, w retryAfter) {
	if w.until.After(t[key].until) && len(t) < 2*maxRetryAfters {
		t[key] = w
	}
}

// prune forgets the waits that have passed, where many are remembered.
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

// separateRoutes tells whether a wait binds the one endpoint, not all of its destination.
func (l *Loop) separateRoutes(kind int) bool {
	return kind >= 0 && kind < len(l.settings.Kinds) && l.settings.Kinds[kind].SeparateRoutes
}

// routeKeyOf is what a Retry-After of an endpoint binds.
func (l *Loop) routeKeyOf(t Target) routeKey {
	if l.separateRoutes(t.Kind) {
		return routeKey{destination: t.Destination, target: t.ID}
	}
	return routeKey{destination: t.Destination}
}

// recordRetryAfter remembers a Retry-After that came from an endpoint now.
func (l *Loop) recordRetryAfter(t Target, after time.Duration) {
	l.retryAfters.prune(l.now)
	w := retryAfter{l.now, l.now.Add(after)}
	l.retryAfters.record(l.routeKeyOf(t), w)
	if l.separateRoutes(t.Kind) {
		l.retryAfters.record(addressKeyOf(t), w)
	}
}

// applyRetryAfters has the waits of an address bind the endpoints that are listed there now.
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

// withholdForRetryAfter withholds the calls that a Retry-After of an endpoint binds: they would arrive within it.
func (l *Loop) withholdForRetryAfter(from Target) {
	l.withhold(func(t Target) bool {
		return t.Destination == from.Destination && (t.ID == from.ID || !l.separateRoutes(from.Kind))
	})
}
