package state

import (
	"cleathold/control"
	"cleathold/internal/permit"
)

// Log messages about faults of this program. Package soak fails a run whose log contains one of them.
const (
	LogCallAgainstRule = "call sent against a rule"               // detected after the call was sent
	LogInvalidSend     = "send of an unknown message or endpoint" // requested by the controller, and not made
)

// Each send that the controller decided on is checked a last time when its call is about to leave (package permit). The
// result of a call holds the time at which its first byte was written, which is checked by the same rules, so that
// every violation is counted and logged.

// permitRules returns the rules in force for all sends.
func (l *Loop) permitRules() permit.Rules {
	return permit.Rules{DrainGrace: l.settings.DrainGrace, NoHedging: !l.settings.AllowHedging, Stopping: l.halted}
}

// permitRoute returns what is known of an endpoint for the check of a send to it.
func (l *Loop) permitRoute(t Target) permit.Route {
	w := l.retryAfters[l.routeKeyOf(t)]
	return permit.Route{
		LeftAt: l.group.UnavailableSince(t.Endpoint.ID), UncertainSince: l.certainty.since,
		RetryAfterFrom: w.from, RetryAfterUntil: w.until,
	}
}

// permitted reports whether an attempt of a call may leave now. An attempt that may not is counted, and ends like one
// that was canceled.
func (l *Loop) permitted(c *Call, a *Attempt, e *entry) bool {
	m := permit.Message{
		Deadline: a.Message.Deadline, MayHaveRun: len(e.mayHaveRun) > 0, KeyRetainedUntil: a.NotAfter,
		InFlight: e.inFlight > 1,
	}
	if e.Class >= 0 && e.Class < len(l.settings.Classes) {
		m.Idempotency = l.settings.Classes[e.Class].Idempotency
	}
	if m.Idempotency != control.IdempotentByKey {
		m.KeyRetainedUntil = a.Message.Deadline
	}
	denial := l.permitRules().Check(l.now, m, l.permitRoute(c.Target))
	if denial == permit.Allowed {
		return true
	}
	l.counters.withheld[denial].Add(1)
	l.log.Warn("send withheld",
		"reason", denial, "message", e.ID, "class", e.Class, "attempt", a.attempt, "endpoint", c.Target.ID)
	return false
}

// checkSent checks the time at which a call was sent, once its result is known. Package soak searches the log for
// LogCallAgainstRule.
func (l *Loop) checkSent(c *Call, r AttemptResult) {
	if r.SentAt.IsZero() {
		return
	}
	if denial := l.permitRules().CheckSent(r.SentAt, l.permitRoute(c.Target)); denial != permit.Allowed {
		l.counters.violations[denial].Add(1)
		l.log.Error(LogCallAgainstRule, "reason", denial, "message", r.Attempt.Message.ID,
			"attempt", r.Attempt.attempt, "endpoint", c.Target.ID, "elapsed", l.now.Sub(r.SentAt))
	}
}
