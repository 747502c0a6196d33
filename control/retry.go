package control

import (
	"math"
	"time"
)

// mayRetry reports whether the message's class and the limit on attempts allow another attempt.
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

// keyRetained reports whether a retry sent now, which arrives within callTime, would still be dropped by its key if the
// message has already run.
func (msg *message) keyRetained(now, callTime time.Duration) bool {
	margin := min(callTime, msg.class.KeyRetention/4)
	return now+margin < msg.firstRunAt+msg.class.KeyRetention
}

// keyValidInZone reports whether the message may be sent to a zone. Where keys are scoped to a zone, a message that may
// have run stays in its zone, as repeats are dropped only there.
func (msg *message) keyValidInZone(zone int) bool {
	return !msg.mayHaveRun || !msg.class.KeyZoneScoped || zone == msg.firstRunZone
}

// mayReject reports whether the message may be rejected, which allows its client to submit it again.
func (msg *message) mayReject() bool {
	if msg.finished || msg.inFlight != nil {
		return false
	}
	return !msg.mayHaveRun || msg.class.Idempotency == Idempotent ||
		msg.class.Idempotency == IdempotentByKey && !msg.class.KeyZoneScoped
}

// finishUndelivered finishes a message without delivery. It rejects the message if submitting it again is safe, and
// fails it otherwise.
func (c *Controller) finishUndelivered(msg *message) {
	if msg.mayReject() {
		c.actions.Reject(msg.ID, c.rejectionRetryAfter(msg))
	} else if !msg.finished {
		c.actions.Fail(msg.ID)
	}
	c.finish(msg)
}

// rejectionRetryAfter returns the Retry-After for a rejected message: the time until the first endpoint of its
// destination may be called. If no endpoint is ready it is the latency objective, so that the client does not retry at
// once.
func (c *Controller) rejectionRetryAfter(msg *message) time.Duration {
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
	minDelay := msg.destination.callTime.mean
	if minDelay == 0 {
		minDelay = msg.class.LatencyObjective / 2
	}
	return min(c.settings.MaxRetryAfter, max(minDelay, earliest-c.now))
}
