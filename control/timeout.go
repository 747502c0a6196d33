package control

import "time"

const (
	idempotentTimeoutFactor    = 3.0 // an attempt that may be repeated waits for so many expected call times
	notIdempotentTimeoutFactor = 8.0 // one that must not be: a timeout loses its message
	preemptibleFraction        = 0.5 // part of its timeout after which an attempt gives its slot to others
)

// attemptTimeout is how long an attempt may go unanswered. Unresponsive calls hold slots that other destinations need,
// and a message that may be repeated can go to another endpoint.
func (c *Controller) attemptTimeout(msg *message) time.Duration {
	expected := float64(c.expectedCallTime(msg.destination, msg.class))
	factor := idempotentTimeoutFactor
	if msg.class.Idempotency == NotIdempotent {
		factor = notIdempotentTimeoutFactor
	}
	return min(msg.deadline-c.now, time.Duration(factor*expected))
}

// preemptOverdueCall cancels the most overdue call of an unresponsive destination when all slots are taken and messages
// to others wait. With slots to spare the call may yet be answered.
func (c *Controller) preemptOverdueCall() {
	if !c.settings.CanCancel || c.freeSlots() > 0 {
		return
	}
	var overdue *attempt
	waiting := false
	for _, dest := range c.busy {
		waiting = waiting || dest.hasWaiting() && !dest.sharedRoute.breaker.open &&
			dest.callsInFlight < c.concurrencyLimit(dest)
		for _, a := range dest.attempts {
			if a.canceled {
				return
			}
			if a.preemptible(c.now) && (overdue == nil || a.preemptibleAt < overdue.preemptibleAt) {
				overdue = a
			}
		}
	}
	if overdue == nil || !waiting {
		return
	}
	for _, a := range overdue.endpoint.destination.attempts {
		if a.call == overdue.call {
			a.canceled = true
			c.actions.Cancel(a.message.ID, a.message.attempts-1)
		}
	}
}

// preemptible reports whether the attempt is overdue at a destination that has answered nothing since it was sent.
func (a *attempt) preemptible(now time.Duration) bool {
	unresponsive := a.endpoint.route.breaker.open && a.endpoint.destination.stalls.lastAnswerAt <= a.sentAt
	return unresponsive && now >= a.preemptibleAt && !a.message.streaming
}

// detectUnresponsive finds destinations that have answered nothing since their oldest call was overdue. Slow and
// unresponsive ones look the same: until they answer they get trial calls only, so that they do not fill the slots. A
// sender of a large fleet makes few calls to each: one that is overdue says this of its endpoint alone.
func (c *Controller) detectUnresponsive() {
	for _, dest := range c.busy {
		for i, a := range dest.attempts {
			endpoint := a.endpoint
			if c.now < a.sentAt+a.expectedTime || endpoint.route.breaker.open {
				continue
			}
			if c.settings.usesFleetRate() {
				if endpoint.lastSuccessAt > a.sentAt {
					continue
				}
				endpoint.consecutiveFailures = max(1, endpoint.consecutiveFailures)
				if !c.allLastCallsFailed(dest) {
					continue
				}
			} else if i > 0 || dest.stalls.lastAnswerAt > a.sentAt {
				continue
			}
			endpoint.route.breaker.healthCheckFirst = true
			c.openCircuit(endpoint)
		}
	}
}
