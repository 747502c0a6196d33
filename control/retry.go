package control

import (
	"math"
	"time"
)

// mayRetry: a further attempt only as the class allows, and within the cap.
func (c *Controller) mayRetry(m *message) bool {
	if c.settings.MaxAttempts > 0 && m.attemptCount >= c.settings.MaxAttempts {
		return false
	}
	if !m.mayHaveRun || m.class.Idempotency == Idempotent {
		return true
	}
	// The repeat must arrive while the first is remembered, so a usual call's time is the margin.
	margin := min(c.expectedCallTime(m.destination, m.class), m.class.KeyRetention/4)
	return m.class.Idempotency == IdempotentByKey && c.now+margin < m.firstRunAt+m.class.KeyRetention
}

// mayReject: a refusal tells that trying again is harmless.
func mayReject(m *message) bool {
	return !m.mayHaveRun || m.class.Idempotency == Idempotent ||
		m.class.Idempotency == IdempotentByKey && !m.class.KeyZoneScoped
}

// keyRetainedAt: a keyed message that may have run stays where repeats are dropped.
func (c *Controller) keyRetainedAt(m *message, e *endpoint) bool {
	return !m.mayHaveRun || !m.class.KeyZoneScoped || e.Zone == m.firstRunZone
}

// finishUndelivered gives the final answer at once: handed back if trying again is harmless, failed otherwise.
func (c *Controller) finishUndelivered(m *message) {
	if c.allowed(actionReject, m, nil) {
		c.actions.Reject(m.ID, c.retryAdvice(m))
	} else if !m.finished {
		c.actions.Fail(m.ID)
	}
	c.finish(m)
}

// retryAdvice tells a client when its destination may have room again: where its endpoints are routes apart, that
// is when the first of them has. Nothing known is no reason to come back at once.
func (c *Controller) retryAdvice(m *message) time.Duration {
	if !c.settings.CanSendRetryAfter {
		return 0
	}
	soonest := time.Duration(math.MaxInt64)
	for _, e := range m.destination.endpoints {
		if e.State == Ready {
			soonest = min(soonest, max(e.route.retryAfter, e.route.nextTrial))
		}
	}
	if soonest == math.MaxInt64 {
		soonest = c.now + m.class.LatencyObjective
	}
	least := m.destination.mean
	if least == 0 {
		least = m.class.LatencyObjective / 2
	}
	return min(c.settings.MaxRetryAfter, max(least, soonest-c.now))
}
