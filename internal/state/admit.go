package state

import (
	"time"

	"cleathold/control"
)

// Admit: the second stage. A message read by a listener is let in if the sender
// may hold one more; the controller sees it in the same round, and its client
// is answered at the end of that.

const (
	// fullRetryAfter is when to come again after a fixed response for want of room,
	// if clients heed one that long.
	fullRetryAfter = time.Second
	// stoppingRetryAfter is when to come again to a sender that stops.
	stoppingRetryAfter = 200 * time.Millisecond
	// maxReportsFactor times the messages that may be open may wait for the platform.
	maxReportsFactor = 4
)

// clientRetryAfter is what a client is told: nothing, where clients receive no advice.
func (l *Loop) clientRetryAfter(want time.Duration) time.Duration {
	if !l.settings.CanSendRetryAfter {
		return 0
	}
	return min(want, l.settings.MaxRetryAfter)
}

// admit lets a message in or gives a fixed response.
func (l *Loop) admit(h Submitted) {
	// Every hand-in has an id of its own. A second one under an id that is in
	// use must neither disturb the first nor be sent on in its place.
	if l.table.idInUse(h.Message.ID, l.now) {
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
		l.counters.rejected.Add(1)
		h.Response <- Response{RetryAfter: l.clientRetryAfter(stoppingRetryAfter)}
		return
	}
	hold := l.settings.MaxOpenMessages
	if hold > 0 && (l.table.open >= hold || len(l.table.entries) >= maxReportsFactor*hold) ||
		!l.wal.hasRoom(l.table.liveBytes+storageCost(h.Message)) {
		l.counters.rejected.Add(1)
		h.Response <- Response{RetryAfter: l.clientRetryAfter(fullRetryAfter)}
		return
	}
	e := &entry{Message: h.Message, num: l.table.next, response: h.Response, decision: h.Decision, classRecord: l.table.classes.record(h.Message.Class), acceptedAt: l.now}
	l.table.add(e)
	l.admitted = append(l.admitted, e)
	l.submitToController(e, false)
}

// longAgo is more than any window for repeats.
const longAgo = 100 * 365 * 24 * time.Hour

// submitToController gives a message to the controller, with all that was done for it before.
func (l *Loop) submitToController(e *entry, restarted bool) {
	m := control.Message{
		ID: e.num, Class: e.Class, Destination: e.Destination, Tenant: e.Tenant,
		TimeLeft: e.Deadline.Sub(l.now), Resubmitted: e.Resubmitted, Inherited: e.Inherited || restarted, Attempts: e.attempts,
	}
	if f, ran := e.firstRun(); ran {
		m.MayHaveRun, m.FirstRunZone = true, f.zone
		if m.FirstRunAgo = l.now.Sub(f.at); m.FirstRunAgo < 0 { // the clock was set back: nobody knows how long ago
			m.FirstRunAgo = longAgo
		}
	}
	l.controller.Submit(l.sinceStart(), m)
}

// reject answers a client that still waits with a fixed response; nothing is owed.
func (l *Loop) reject(e *entry, v Response) {
	e.response <- v
	e.response = nil
	l.counters.rejected.Add(1)
	l.table.drop(e)
}

// responseWritten goes on once a client has heard that its message is taken on. One
// that could not be told may hand the message in again: this one is over.
func (l *Loop) responseWritten(a ResponseWritten) {
	e := l.table.byID[a.ID]
	if e == nil || e.responded {
		return
	}
	e.responded = true
	if !a.OK {
		l.controller.Abandon(l.sinceStart(), e.num)
		l.forget(e)
	}
	l.releaseCall(e)
}

// releaseCall lets the call go that waited for a message's client to be answered.
func (l *Loop) releaseCall(e *entry) {
	c := e.call
	if e.call = nil; c == nil {
		return
	}
	if c.unanswered--; c.unanswered == 0 && !c.launched {
		l.readyCalls = append(l.readyCalls, c)
	}
}
