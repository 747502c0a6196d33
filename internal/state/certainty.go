package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/permit"
)

// What discovery has begun to write counts as told, whether or not it could be read (PROTOCOL, 'The rules on sockets').
// From the first byte of an answer that broke off until the next whole one the list of targets is uncertain: a target on
// it may drain. So it is from an answer after which no question follows at once, as a watch goes on for 200 ms after it.
// Before the grace of drains is over, counted from then, nothing new goes to any target.

// defaultUncertaintyTimeout is UncertainSpan where the settings tell no period for asking.
const defaultUncertaintyTimeout = 10 * time.Second

// UncertaintyTimeout is how long sends are held back after discovery last began an answer that could not be read. If nothing
// was heard of it for so long, as in an outage, the list that is known counts again.
func UncertaintyTimeout(mustAsk time.Duration) time.Duration {
	if mustAsk <= 0 {
		return defaultUncertaintyTimeout
	}
	return mustAsk
}

// ListUnreadable tells that an answer of discovery began at a time and could not be read, or not to its end. Leaving are the
// targets that the part which came names as draining or gone.
type ListUnreadable struct {
	At      time.Time
	Leaving []Target
}

// PollOpen tells that a question is open at discovery, which would have answered had there been anything to tell.
type PollOpen struct{}

// PollFailed tells that the question after a rest failed: what was told since a time is not known.
type PollFailed struct{ Since time.Time }

// A listCertainty tells from when until when sends are held back because the list may not be the one that was told last.
type listCertainty struct {
	since  time.Time // when the first answer that could not be read began; zero: the list is known
	latest time.Time // and the latest
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

// listUnreadable takes the news that an answer of discovery could not be read.
func (l *Loop) listUnreadable(u ListUnreadable) {
	l.certainty.markUncertain(u.At)
	l.counters.unreadableLists.Add(1)
	if lines := l.group.updateLeaving(u.Leaving, l.now); len(lines) > 0 {
		l.log.Info("targets that leave, by a part of the list", "targets", len(lines))
		l.controller.UpdateEndpoints(l.sinceStart(), control.ListExcluded, lines)
		l.withholdUnavailable()
		l.departures.update(l.group)
	}
	l.reviewList()
}

// listKnown takes a whole answer: all that was told before is known with it. Where the next question comes after a rest,
// what is told in the meantime is not.
func (l *Loop) listKnown(rests bool) {
	l.certainty = listCertainty{}
	if rests {
		l.certainty.markUncertain(l.now)
	}
	l.reviewList()
}

// reviewList holds sends back, or lets them go on, by what is known of the list. It sees to it that it is called again.
func (l *Loop) reviewList() {
	if l.successor != nil {
		return // another process sends
	}
	held, next := l.certainty.suspended(l.now, l.settings.DrainGrace, UncertaintyTimeout(l.settings.MaxPollInterval))
	if !next.IsZero() {
		at := next
		time.AfterFunc(max(0, at.Sub(l.now)), func() { l.Post(inspect(l.reviewList)) })
	}
	lines, changed := l.group.setSuspended(held)
	if !changed {
		return
	}
	if held {
		l.counters.suspensions.Add(1)
		l.log.Warn("nothing new is sent until the list of targets is known", "targets", len(lines))
	} else {
		l.log.Info("sending goes on", "targets", len(lines))
	}
	l.controller.UpdateEndpoints(l.sinceStart(), control.ListExcluded, lines)
	l.withholdUnavailable()
}
