package state

import (
	"time"

	"cleathold/internal/permit"
)

// What discovery has begun to write counts as notified, whether or not it could be read (PROTOCOL, 'The rules on
// sockets'). From the first byte of an answer that broke off until the next whole one the endpoint list is uncertain:
// an endpoint on it may drain. So it is from an answer after which no poll follows at once, as a watch goes on for
// 200 ms after it. Before the drain grace is over, counted from then, sends are suspended.

// defaultUncertaintyTimeout is UncertaintyTimeout where the settings tell no poll interval.
const defaultUncertaintyTimeout = 10 * time.Second

// UncertaintyTimeout is how long sends are suspended after discovery last began an answer that could not be read. If
// nothing was heard of it for so long, as in an outage, the list that is known counts again.
func UncertaintyTimeout(maxPollInterval time.Duration) time.Duration {
	if maxPollInterval <= 0 {
		return defaultUncertaintyTimeout
	}
	return maxPollInterval
}

// listCertainty tells from when until when sends are suspended because the list may not be the one that was told
// last.
type listCertainty struct {
	since  time.Time // when the first answer that could not be read began; zero: the list is known
	latest time.Time // when the latest did
}

// markUncertain notes an answer that could not be read.
func (c *listCertainty) markUncertain(at time.Time) {
	if c.since.IsZero() {
		c.since = at
	}
	c.latest = at
}

// suspended tells whether nothing new may be sent at a time, and when to look again; the zero time stands for never.
func (c *listCertainty) suspended(now time.Time, grace, timeout time.Duration) (suspend bool, next time.Time) {
	if c.since.IsZero() || grace <= 0 { // or the settings know no such rule
		return false, time.Time{}
	}
	from, to := c.since.Add(permit.LastSendAfter(grace)), c.latest.Add(timeout)
	switch {
	case now.Before(from):
		return false, from
	case now.Before(to):
		return true, to
	}
	*c = listCertainty{}
	return false, time.Time{}
}

// listKnown takes a whole answer: all that was told before is known with it. Where polls pause after it, what is told
// in the meantime is not.
func (l *Loop) listKnown(pollPaused bool) {
	l.certainty = listCertainty{}
	if pollPaused {
		l.certainty.markUncertain(l.now)
	}
	l.reviewList()
}

// reviewList suspends sends, or resumes them, by what is known of the list. It sees to it that it is called again.
func (l *Loop) reviewList() {
	if l.successor != nil {
		return // another process sends
	}
	suspend, next := l.certainty.suspended(l.now, l.settings.DrainGrace, UncertaintyTimeout(l.settings.MaxPollInterval))
	if !next.IsZero() {
		time.AfterFunc(max(0, next.Sub(l.now)), func() { l.Post(inspect(l.reviewList)) })
	}
	endpoints, changed := l.group.SetSuspended(suspend)
	if !changed {
		return
	}
	if suspend {
		l.counters.suspensions.Add(1)
		l.log.Warn("sends suspended until the endpoint list is known", "count", len(endpoints))
	} else {
		l.log.Info("sends resumed", "count", len(endpoints))
	}
	l.endpointsExcluded(endpoints)
}
