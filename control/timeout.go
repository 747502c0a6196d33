package control

import "time"

const (
	idempotentTimeoutFactor    = 3.0 // timeout in expected call times if the message may be retried
	notIdempotentTimeoutFactor = 8.0 // the same if it must not be retried, as a timeout then loses the message
	preemptibleFraction        = 0.5 // fraction of its timeout after which an attempt may be preempted
)

// attemptTimeout returns the timeout of an attempt. It is limited because unresponsive calls occupy slots that other
// destinations need, and because a message that may be retried can be sent to another endpoint.
func (c *Controller) attemptTimeout(msg *message) time.Duration {
	expected := float64(c.expectedCallTime(msg.destination, msg.class))
	factor := idempotentTimeoutFactor
	if msg.class.Idempotency == NotIdempotent {
		factor = notIdempotentTimeoutFactor
	}
	return min(msg.deadline-c.now, time.Duration(factor*expected))
}

// preemptOverdueCall cancels the most overdue call to an unresponsive destination if all slots are in use and messages
// to other destinations wait. As long as slots are free the call is kept, as it may still be answered.
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

// preemptible reports whether the attempt is overdue and its destination has answered nothing since it was sent.
func (a *attempt) preemptible(now time.Duration) bool {
	unresponsive := a.endpoint.route.breaker.open && a.endpoint.destination.stalls.lastAnswerAt <= a.sentAt
	return unresponsive && now >= a.preemptibleAt && !a.message.streaming
}

// detectUnresponsive opens the circuits of destinations that have answered nothing since their oldest call was sent,
// once that call is overdue. Slow and unresponsive destinations cannot be distinguished: until they answer they receive
// only trial calls, so that they do not occupy all slots. A sender of a large fleet makes few calls to each
// destination, so an overdue call counts against its endpoint only.
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
