package state

import (
	"time"

	"cleathold/internal/permit"
)

// An update counts as notified once discovery has begun to write it, whether or not it could be read (PROTOCOL, 'The
// rules on sockets'). Therefore the endpoint list is uncertain from the first byte of an answer that broke off until
// the next complete answer: a listed endpoint may be draining. The list is also uncertain after an answer that is not
// followed by a poll immediately, because discovery's watch lasts 200 ms longer than the answer. Sends are suspended
// before the drain grace, counted from the start of the uncertainty, is over.

// defaultUncertaintyTimeout is the result of UncertaintyTimeout if the settings have no poll interval.
const defaultUncertaintyTimeout = 10 * time.Second

// UncertaintyTimeout returns how long sends are suspended after discovery last began an answer that could not be read.
// If discovery sends nothing for that time, as in an outage, the known list counts as certain again.
func UncertaintyTimeout(maxPollInterval time.Duration) time.Duration {
	if maxPollInterval <= 0 {
		return defaultUncertaintyTimeout
	}
	return maxPollInterval
}

// initialListTimeout is how long a loop that awaits its first list suspends sends. If none arrives, as in an outage of
// discovery, the list that the process started with is used.
const initialListTimeout = time.Second

// listCertainty records since when the known endpoint list may be outdated, which determines when sends are suspended.
type listCertainty struct {
	awaitUntil time.Time // until then the first list is awaited; zero: it isn't

	since  time.Time // when the first unreadable answer began; zero: the list is certain
	latest time.Time // when the latest unreadable answer began

	// endsAfter is the earliest time at which an uncertainty of an earlier process ends without an answer. Until then
	// this process has not been able to poll discovery.
	endsAfter time.Time

	// responseSince is when the first byte of a response arrived that is not complete yet; zero: there is none. It matters
	// only to the next process, as this one will have read the response or found that it can't.
	responseSince time.Time

	durable bool // the next process must know of the uncertainty although sends are not suspended yet
}

// markUncertain records an answer that could not be read.
func (c *listCertainty) markUncertain(at time.Time) {
	c.markPaused(at)
	c.durable = true
}

// markPaused records that polls pause, so that updates since a time are not known although all answers could be read.
func (c *listCertainty) markPaused(at time.Time) {
	if c.since.IsZero() {
		c.since = at
	}
	if at.After(c.latest) {
		c.latest = at
	}
}

// lasting returns the beginning and the latest time of the uncertainty that the next process must know of. They are zero if
// there is none.
func (c *listCertainty) lasting(suspended, hasGrace bool) (since, latest time.Time) {
	if c.uncertain() && (suspended || c.durable && hasGrace) {
		since, latest = c.since, c.latest
	}
	if c.responseSince.IsZero() || !hasGrace {
		return since, latest
	}
	if since.IsZero() {
		return c.responseSince, c.responseSince
	}
	return since, c.responseSince
}

// uncertain reports whether the list may be outdated.
func (c *listCertainty) uncertain() bool { return !c.since.IsZero() }

// suspended reports whether new sends are suspended at a time, and when to check again; the zero time stands for never.
func (c *listCertainty) suspended(now time.Time, grace, timeout time.Duration) (suspend bool, next time.Time) {
	if now.Before(c.awaitUntil) {
		return true, c.awaitUntil
	}
	if !c.uncertain() || grace <= 0 && c.endsAfter.IsZero() { // certain, or the settings have no drain grace
		return false, time.Time{}
	}
	from, to := c.since.Add(permit.SendCutoff(grace)), c.latest.Add(timeout)
	if to.Before(c.endsAfter) {
		to = c.endsAfter
	}
	switch {
	case now.Before(from):
		return false, from
	case now.Before(to):
		return true, to
	}
	*c = listCertainty{responseSince: c.responseSince}
	return false, time.Time{}
}

// awaitList suspends sends until the first answer of discovery. Where lists are pushed, a new process counts as notified
// of what the agent has from its first moment on, and the list that it starts with may be older. The certainty is reviewed,
// and stored, only once the doubt of an earlier process is restored.
func (l *Loop) awaitList() { l.certainty.awaitUntil = l.now.Add(initialListTimeout) }

// listKnown records a complete answer, which includes all earlier updates. If polls pause after it, updates during the
// pause are not known, so the list becomes uncertain again.
func (l *Loop) listKnown(pollPaused bool) {
	l.certainty = listCertainty{}
	if pollPaused {
		l.certainty.markPaused(l.now)
	}
	l.reviewList()
}

// listVersion returns the version of the endpoint list since which to poll for changes. While there is a doubt about the
// list, that is NoVersion: the full list is answered without delay and ends each doubt.
func (l *Loop) listVersion() int64 {
	if l.certainty.uncertain() || len(l.group.Departed()) > 0 {
		return NoVersion
	}
	return l.group.Version()
}

// reviewList suspends or resumes sends according to the certainty of the list. It schedules its next call.
func (l *Loop) reviewList() {
	if l.successor != nil {
		return // another process has taken over the sends
	}
	suspend, next := l.certainty.suspended(l.now, l.settings.DrainGrace, UncertaintyTimeout(l.settings.MaxPollInterval))
	if !next.IsZero() {
		l.runAfter(next.Sub(l.now), l.reviewList)
	}
	endpoints, changed := l.group.SetSuspended(suspend)
	l.storeDepartures()
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
