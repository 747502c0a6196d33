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

// A toldWait is a wait that a target has told.
type toldWait struct{ from, until time.Time }

// waitsMost are remembered; beyond that those that are over are forgotten first.
const waitsMost = 1024

// routeOf is what a wait told by a target binds.
func (l *Loop) routeOf(t Target) routeKey {
	if l.apart(t.Kind) {
		return routeKey{destination: t.Destination, target: t.ID}
	}
	return routeKey{destination: t.Destination}
}

// remember notes a wait that a target has told.
func (l *Loop) remember(t Target, wait time.Duration) {
	if len(l.waits) >= waitsMost {
		for key, w := range l.waits {
			if !l.now.Before(w.until) {
				delete(l.waits, key)
			}
		}
	}
	keys := []routeKey{l.routeOf(t)}
	if l.apart(t.Kind) {
		keys = append(keys, addressOf(t))
	}
	for _, key := range keys {
		if until := l.now.Add(wait); until.After(l.waits[key].until) && len(l.waits) < 2*waitsMost {
			l.waits[key] = toldWait{l.now, until}
		}
	}
}

// addressOf is what a wait told by a target binds besides the target itself.
func addressOf(t Target) routeKey { return routeKey{destination: t.Destination, address: t.Addr} }

// bind has waits told at an address bind the targets that are listed there now.
func (l *Loop) bind(listed []Target) {
	for _, line := range listed {
		t := l.group.byID[line.ID]
		if t == nil || !l.apart(t.Kind) {
			continue
		}
		if w := l.waits[addressOf(*t)]; l.now.Before(w.until) {
			l.waits[l.routeOf(*t)] = w
			l.ctl.ApplyRetryAfter(l.since(), t.Endpoint.ID, w.until.Sub(l.now))
		}
	}
}

// rules are those in force for all sends.
func (l *Loop) rules() permit.Rules {
	return permit.Rules{DrainGrace: l.set.DrainGrace, NoHedging: !l.set.AllowHedging, Stopping: l.halted}
}

// facts are what is known of a target for a send to it.
func (l *Loop) facts(t Target) permit.Route {
	w := l.waits[l.routeOf(t)]
	return permit.Route{LeftAt: l.group.toldLeft[t.Endpoint.ID], UncertainSince: l.certain.first, RetryAfterFrom: w.from, RetryAfterUntil: w.until}
}

// permits tells whether a forward of a call may leave now. What may not is counted and ends as one that was called off.
func (l *Loop) permits(c *Call, f *Attempt, e *entry) bool {
	m := permit.Message{Deadline: f.Message.Deadline, MayHaveRun: len(e.ran) > 0, KeyRetainedUntil: f.NotAfter, InFlight: e.flights > 1}
	if e.Class >= 0 && e.Class < len(l.set.Classes) {
		m.Idempotency = l.set.Classes[e.Class].Idempotency
	}
	if m.Idempotency != control.IdempotentByKey {
		m.KeyRetainedUntil = f.Message.Deadline
	}
	refusal := l.rules().Check(l.now, m, l.facts(c.Target))
	if refusal == permit.Allowed {
		return true
	}
	l.counters.withheld[refusal].Add(1)
	l.log.Warn("a send is withheld", "why", refusal, "message", e.ID, "class", e.Class, "attempt", f.attempt, "target", c.Target.ID)
	return false
}

// judge looks at when a call left, once what came of it is known.
func (l *Loop) judge(c *Call, end AttemptResult) {
	if end.SentAt.IsZero() {
		return
	}
	if broken := l.rules().CheckSent(end.SentAt, l.facts(c.Target)); broken != permit.Allowed {
		l.counters.broken[broken].Add(1)
		l.log.Error("a call left that should not have", "why", broken, "message", end.Attempt.Message.ID,
			"attempt", end.Attempt.attempt, "target", c.Target.ID, "left", l.now.Sub(end.SentAt))
	}
}

// tally are the counts of refusals that are not zero, by name.
func tally(counts *[permit.DenialCount]atomic.Int64) map[string]int64 {
	list := map[string]int64{}
	for _, r := range permit.All() {
		if n := counts[r].Load(); n > 0 {
			list[r.String()] = n
		}
	}
	return list
}
