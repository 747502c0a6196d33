package control

import (
	"math"
	"time"
)

// mayRetry reports whether the message may have a further attempt, by its class and the limit on attempts.
func (c *Controller) mayRetry(msg *message) bool {
	if c.settings.MaxAttempts > 0 && msg.attempts >= c.settings.MaxAttempts {
		return false
	}
	if !msg.mayHaveRun || msg.class.Idempotency == Idempotent {
		return true
	}
	if msg.class.Idempotency != IdempotentByKey {
		return false
	}
	return msg.keyRetained(c.now, c.expectedCallTime(msg.destination, msg.class))
}

// keyRetained reports whether a repeat sent now, which arrives within a call's time, is still dropped by its key.
func (msg *message) keyRetained(now, callTime time.Duration) bool {
	margin := min(callTime, msg.class.KeyRetention/4)
	return now+margin < msg.firstRunAt+msg.class.KeyRetention
}

// keyKnownIn reports whether a repeat may go to a zone: where keys are scoped to a zone, one that may have run stays in
// the zone where its repeats are dropped.
func (msg *message) keyKnownIn(zone int) bool {
	return !msg.mayHaveRun || !msg.class.KeyZoneScoped || zone == msg.firstRunZone
}

// mayReject reports whether the message may be rejected, which tells its client that it may safely submit it again.
func (msg *message) mayReject() bool {
	if msg.finished || msg.inFlight != nil {
		return false
	}
	return !msg.mayHaveRun || msg.class.Idempotency == Idempotent ||
		msg.class.Idempotency == IdempotentByKey && !msg.class.KeyZoneScoped
}

// finishUndelivered ends a message without delivery: rejected if submitting it again is safe, failed otherwise.
func (c *Controller) finishUndelivered(msg *message) {
	if msg.mayReject() {
		c.actions.Reject(msg.ID, c.retryAdvice(msg))
	} else if !msg.finished {
		c.actions.Fail(msg.ID)
	}
	c.finish(msg)
}

// retryAdvice is the Retry-After for a rejected message: the time until the first endpoint of its destination may be
// called. Where nothing is known it is the latency objective, as the client should not come back at once.
func (c *Controller) retryAdvice(msg *message) time.Duration {
	if !c.settings.CanSendRetryAfter {
		return 0
	}
	earliest := time.Duration(math.MaxInt64)
	for _, e := range msg.destination.endpoints {
		if e.State == Ready {
			earliest = min(earliest, max(e.route.retryAfter, e.route.breaker.nextTrial))
		}
	}
	if earliest == math.MaxInt64 {
		earliest = c.now + msg.class.LatencyObjective
	}
	shortest := msg.destination.callTime.mean
	if shortest == 0 {
		shortest = msg.class.LatencyObjective / 2
	}
	return min(c.settings.MaxRetryAfter, max(shortest, earliest-c.now))
}
