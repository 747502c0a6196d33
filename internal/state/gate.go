package state

import (
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/permit"
)

// The gate is where a send that the controller decided on is looked at for the last time, as its call is about to leave
// (package permit). What comes back of a call tells when its first byte was written, which is judged by the same rules: a
// break of them is counted and logged, and never goes unseen.

// A routeKey names what a told wait binds: a destination, or one target where its kind has routes apart. That is bound by its
// address, too: discovery may list another target there before the wait is over, or have done so unread.
type routeKey struct {
	destination int
	target      string
	address     string
}

// A retryAfter is a wait that a target has told.
type retryAfter struct{ from, until time.Time }

// maxRetryAfters are remembered; beyond that those that are over are forgotten first.
const maxRetryAfters = 1024

// routeKeyOf is what a wait told by a target binds.
func (l *Loop) routeKeyOf(t Target) routeKey {
	if l.separateRoutes(t.Kind) {
		return routeKey{destination: t.Destination, target: t.ID}
	}
	return routeKey{destination: t.Destination}
}

// noteRetryAfter notes a wait that a target has told.
func (l *Loop) noteRetryAfter(t Target, after time.Duration) {
	if len(l.retryAfters) >= maxRetryAfters {
		for key, w := range l.retryAfters {
			if !l.now.Before(w.until) {
				delete(l.retryAfters, key)
			}
		}
	}
	keys := []routeKey{l.routeKeyOf(t)}
	if l.separateRoutes(t.Kind) {
		keys = append(keys, addressKeyOf(t))
	}
	for _, key := range keys {
		if until := l.now.Add(after); until.After(l.retryAfters[key].until) && len(l.retryAfters) < 2*maxRetryAfters {
			l.retryAfters[key] = retryAfter{l.now, until}
		}
	}
}

// addressKeyOf is what a wait told by a target binds besides the target itself.
func addressKeyOf(t Target) routeKey { return routeKey{destination: t.Destination, address: t.Addr} }

// applyRetryAfters has waits told at an address bind the targets that are listed there now.
func (l *Loop) applyRetryAfters(listed []Target) {
	for _, line := range listed {
		t := l.group.byID[line.ID]
		if t == nil || !l.separateRoutes(t.Kind) {
			continue
		}
		if w := l.retryAfters[addressKeyOf(*t)]; l.now.Before(w.until) {
			l.retryAfters[l.routeKeyOf(*t)] = w
			l.controller.ApplyRetryAfter(l.sinceStart(), t.Endpoint.ID, w.until.Sub(l.now))
		}
	}
}

// permitRules are those in force for all sends.
func (l *Loop) permitRules() permit.Rules {
	return permit.Rules{DrainGrace: l.settings.DrainGrace, NoHedging: !l.settings.AllowHedging, Stopping: l.halted}
}

// permitRoute are what is known of a target for a send to it.
func (l *Loop) permitRoute(t Target) permit.Route {
	w := l.retryAfters[l.routeKeyOf(t)]
	return permit.Route{LeftAt: l.group.leftAt[t.Endpoint.ID], UncertainSince: l.certainty.since, RetryAfterFrom: w.from, RetryAfterUntil: w.until}
}

// permitted tells whether a forward of a call may leave now. What may not is counted and ends as one that was called off.
func (l *Loop) permitted(c *Call, f *Attempt, e *entry) bool {
	m := permit.Message{Deadline: f.Message.Deadline, MayHaveRun: len(e.mayHaveRun) > 0, KeyRetainedUntil: f.NotAfter, InFlight: e.inFlight > 1}
	if e.Class >= 0 && e.Class < len(l.settings.Classes) {
		m.Idempotency = l.settings.Classes[e.Class].Idempotency
	}
	if m.Idempotency != control.IdempotentByKey {
		m.KeyRetainedUntil = f.Message.Deadline
	}
	denial := l.permitRules().Check(l.now, m, l.permitRoute(c.Target))
	if denial == permit.Allowed {
		return true
	}
	l.counters.withheld[denial].Add(1)
	l.log.Warn("a send is withheld", "why", denial, "message", e.ID, "class", e.Class, "attempt", f.attempt, "target", c.Target.ID)
	return false
}

// checkSent looks at when a call left, once what came of it is known.
func (l *Loop) checkSent(c *Call, end AttemptResult) {
	if end.SentAt.IsZero() {
		return
	}
	if denial := l.permitRules().CheckSent(end.SentAt, l.permitRoute(c.Target)); denial != permit.Allowed {
		l.counters.violations[denial].Add(1)
		l.log.Error("a call left that should not have", "why", denial, "message", end.Attempt.Message.ID,
			"attempt", end.Attempt.attempt, "target", c.Target.ID, "left", l.now.Sub(end.SentAt))
	}
}

// nonZeroCounts are the counts of refusals that are not zero, by name.
func nonZeroCounts(counts *[permit.DenialCount]atomic.Int64) map[string]int64 {
	list := map[string]int64{}
	for _, r := range permit.All() {
		if n := counts[r].Load(); n > 0 {
			list[r.String()] = n
		}
	}
	return list
}
