package state

import (
	"time"

	"cleathold/control"
)

// Admit: the second stage. A message read by a listener is let in if the sender
// may hold one more; the controller sees it in the same round, and its client
// is answered at the end of that.

const (
	// fullPause is when to come again after a fixed response for want of room,
	// if clients heed one that long.
	fullPause = time.Second
	// leavePause is when to come again to a sender that stops.
	leavePause = 200 * time.Millisecond
	// noticeRoom times the messages that may be open may wait for the platform.
	noticeRoom = 4
)

// pause is what a client is told: nothing, where clients receive no advice.
func (l *Loop) pause(want time.Duration) time.Duration {
	if !l.set.CanSendRetryAfter {
		return 0
	}
	return min(want, l.set.MaxRetryAfter)
}

// admit lets a message in or gives a fixed response.
func (l *Loop) admit(h Submitted) {
	// Every hand-in has an id of its own. A second one under an id that is in
	// use must neither disturb the first nor be sent on in its place.
	if l.table.taken(h.Message.ID, l.now) {
		h.Response <- Response{Invalid: DuplicateID}
		return
	}
	// Messages for nowhere would fill the table until their time is up, and
	// leave the controller a destination each.
	if !l.group.serves(h.Message.Destination) {
		h.Response <- Response{Invalid: UnknownDestination}
		return
	}
	if l.stopped {
		l.counters.refused.Add(1)
		h.Response <- Response{RetryAfter: l.pause(leavePause)}
		return
	}
	hold := l.set.MaxOpenMessages
	if hold > 0 && (l.table.open >= hold || len(l.table.entries) >= noticeRoom*hold) ||
		!l.journal.room(l.table.live+takeCost(h.Message)) {
		l.counters.refused.Add(1)
		h.Response <- Response{RetryAfter: l.pause(fullPause)}
		return
	}
	e := &entry{Message: h.Message, num: l.table.next, verdict: h.Response, decision: h.Decision, class: l.table.classes.record(h.Message.Class), at: l.now}
	l.table.add(e)
	l.fresh = append(l.fresh, e)
	l.hand(e, false)
}

// longAgo is more than any window for repeats.
const longAgo = 100 * 365 * 24 * time.Hour

// hand gives a message to the controller, with all that was done for it before.
func (l *Loop) hand(e *entry, restarted bool) {
	m := control.Message{
		ID: e.num, Class: e.Class, Destination: e.Destination, Tenant: e.Tenant,
		TimeLeft: e.Deadline.Sub(l.now), Resubmitted: e.Resubmitted, Inherited: e.Inherited || restarted, Attempts: e.sends,
	}
	if f, ran := e.first(); ran {
		m.MayHaveRun, m.FirstRunZone = true, f.zone
		if m.FirstRunAgo = l.now.Sub(f.at); m.FirstRunAgo < 0 { // the clock was set back: nobody knows how long ago
			m.FirstRunAgo = longAgo
		}
	}
	l.ctl.Submit(l.since(), m)
}

// refuseNow answers a client that still waits with a fixed response; nothing is owed.
func (l *Loop) refuseNow(e *entry, v Response) {
	e.verdict <- v
	e.verdict = nil
	l.counters.refused.Add(1)
	l.table.drop(e)
}

// answered goes on once a client has heard that its message is taken on. One
// that could not be told may hand the message in again: this one is over.
func (l *Loop) answered(a ResponseWritten) {
	e := l.table.ids[a.ID]
	if e == nil || e.answered {
		return
	}
	e.answered = true
	if !a.OK {
		l.ctl.Abandon(l.since(), e.num)
		l.over(e)
	}
	l.release(e)
}

// release lets the call go that waited for a message's client to be answered.
func (l *Loop) release(e *entry) {
	c := e.call
	if e.call = nil; c == nil {
		return
	}
	if c.unsent--; c.unsent == 0 && !c.launched {
		l.ready = append(l.ready, c)
	}
}
