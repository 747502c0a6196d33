package control

import "time"

const (
	idempotentTimeoutFactor    = 3.0 // a repeatable message waits for an answer so many usual calls
	preemptibleFraction        = 0.5 // part of that, after which others may have its slot
	notIdempotentTimeoutFactor = 8.0 // one that can't be repeated: cutting it short loses it
)

// attemptTimeout is how long an attempt may go unanswered. Hung calls hold slots
// that other destinations need; a repeatable message can go elsewhere.
func (c *Controller) attemptTimeout(m *message) time.Duration {
	u := float64(c.expectedCallTime(m.destination, m.class))
	if m.class.Idempotency == NotIdempotent {
		return min(m.deadline-c.now, time.Duration(notIdempotentTimeoutFactor*u))
	}
	return min(m.deadline-c.now, time.Duration(idempotentTimeoutFactor*u))
}

// preemptOverdueCall calls off the most overdue call of a silent destination when all slots
// are taken and others' messages wait: with slots to spare it may yet be answered.
func (c *Controller) preemptOverdueCall() {
	if !c.settings.CanCancel || c.callsInFlight+c.remoteInFlight < c.settings.MaxInFlight {
		return
	}
	var worst *attempt
	waiting := false
	for _, d := range c.busy {
		waiting = waiting || len(d.fresh)+len(d.deferred) > 0 && !d.sharedRoute.circuitOpen &&
			d.callsInFlight < c.concurrencyLimit(d)
		for _, a := range d.attempts {
			if a.canceled {
				return
			}
			silent := a.endpoint.route.circuitOpen && d.lastAnswerAt <= a.sentAt
			if silent && c.now >= a.preemptibleAt && !a.message.streaming &&
				(worst == nil || a.preemptibleAt < worst.preemptibleAt) {
				worst = a
			}
		}
	}
	if worst == nil || !waiting {
		return
	}
	for _, a := range worst.endpoint.destination.attempts {
		if a.call == worst.call {
			a.canceled = true
			c.actions.Cancel(a.message.ID, a.message.attemptCount-1)
		}
	}
}

// detectUnresponsive finds destinations that have answered nothing since their oldest call out was overdue. Slow and
// hung ones look the same: until they answer they get lone calls, so that they don't fill the slots.
// One of many sees a few calls: one overdue says that of its endpoint alone.
func (c *Controller) detectUnresponsive() {
	for _, d := range c.busy {
		for i, a := range d.attempts {
			e, rt := a.endpoint, a.endpoint.route
			if c.now < a.sentAt+a.expectedTime || rt.circuitOpen ||
				!c.usesFleetRate() && (i > 0 || d.lastAnswerAt > a.sentAt) || c.usesFleetRate() && e.lastSuccessAt > a.sentAt {
				continue
			}
			if c.usesFleetRate() {
				e.consecutiveFailures = max(1, e.consecutiveFailures)
			}
			if !c.usesFleetRate() || c.allLastCallsFailed(d) {
				rt.probeFirst = true
				c.openCircuit(e)
			}
		}
	}
}
