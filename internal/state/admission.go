package state

import (
	"time"

	"cleathold/control"
)

// Admission: a message read by a listener is accepted if the sender may hold one more. The controller sees it in the
// same iteration, and its client is answered at the end of that.

const (
	// fullRetryAfter is when to come back to a sender that has no capacity, if clients heed a Retry-After that long.
	fullRetryAfter = time.Second
	// stoppingRetryAfter is when to come back to a sender that stops.
	stoppingRetryAfter = 200 * time.Millisecond
	// maxReportsFactor times the messages that may be open may wait for the platform to take their reports.
	maxReportsFactor = 4
	// unknownAge stands for the age of an attempt that nobody knows; it is more than any key retention.
	unknownAge = 100 * 365 * 24 * time.Hour
)

// Submitted is a message that a listener has read; the response goes to its client.
type Submitted struct {
	Message  *Message
	Response chan<- Response    // takes one without blocking
	Decision *AdmissionDecision // nil: its client waits for the response however long that takes
}

func (e Submitted) apply(l *Loop) { l.admit(e) }

// ResponseWritten tells that the response "accepted" was written to the client, or could not be.
type ResponseWritten struct {
	ID string
	OK bool
}

func (e ResponseWritten) apply(l *Loop) { l.responseWritten(e) }

// clientRetryAfter is the Retry-After of a rejection: none, where clients receive no advice.
func (l *Loop) clientRetryAfter(want time.Duration) time.Duration {
	if !l.settings.CanSendRetryAfter {
		return 0
	}
	return min(want, l.settings.MaxRetryAfter)
}

// admit accepts a message or rejects it.
func (l *Loop) admit(s Submitted) {
	switch {
	case l.table.idInUse(s.Message.ID, l.now):
		// Every submission has an id of its own. A second one under an id that is in use must neither disturb the first nor
		// be sent in its place.
		s.Response <- Response{Invalid: DuplicateID}
		return
	case !l.group.Serves(s.Message.Destination):
		// Messages for nowhere would fill the table until their time is up, and leave the controller a destination each.
		s.Response <- Response{Invalid: UnknownDestination}
		return
	case l.stopped:
		l.counters.rejected.Add(1)
		s.Response <- Response{RetryAfter: l.clientRetryAfter(stoppingRetryAfter)}
		return
	case !l.hasCapacity(s.Message):
		l.counters.rejected.Add(1)
		s.Response <- Response{RetryAfter: l.clientRetryAfter(fullRetryAfter)}
		return
	}
	e := &entry{
		Message: s.Message, num: l.table.next, response: s.Response, decision: s.Decision,
		classRecord: l.table.classes.record(s.Message.Class), acceptedAt: l.now,
	}
	l.table.add(e)
	l.admitted = append(l.admitted, e)
	l.submitToController(e, false)
}

// hasCapacity tells whether the table and the log can take one more message.
func (l *Loop) hasCapacity(m *Message) bool {
	limit := l.settings.MaxOpenMessages
	if limit > 0 && (l.table.open >= limit || len(l.table.entries) >= maxReportsFactor*limit) {
		return false
	}
	return l.wal.HasCapacity(l.table.liveBytes + storageCost(m))
}

// submitToController gives a message to the controller, with all that was done for it before.
func (l *Loop) submitToController(e *entry, restarted bool) {
	m := control.Message{
		ID: e.num, Class: e.Class, Destination: e.Destination, Tenant: e.Tenant,
		TimeLeft: e.Deadline.Sub(l.now), Resubmitted: e.Resubmitted, Inherited: e.Inherited || restarted,
		Attempts: e.attempts,
	}
	if a, ran := e.firstRun(); ran {
		m.MayHaveRun, m.FirstRunZone = true, a.Zone
		if m.FirstRunAgo = l.now.Sub(a.At); m.FirstRunAgo < 0 { // the clock was set back
			m.FirstRunAgo = unknownAge
		}
	}
	l.controller.Submit(l.sinceStart(), m)
}

// reject answers a client that still waits; nothing is owed.
func (l *Loop) reject(e *entry, r Response) {
	e.response <- r
	e.response = nil
	l.counters.rejected.Add(1)
	l.table.drop(e)
}

// respond tells the clients of the iteration's messages that these are accepted.
func (l *Loop) respond() {
	for _, e := range l.admitted {
		if l.table.entries[e.num] != e || e.response == nil {
			continue
		}
		if !e.decision.accept() {
			l.abandonRejected(e)
			continue
		}
		e.response <- Response{Accepted: true}
		e.response = nil
		l.counters.accepted.Add(1)
	}
}

// abandonRejected gives up a message whose client was rejected while it was written down: the disk stalled, or the
// loop.
func (l *Loop) abandonRejected(e *entry) {
	e.response = nil
	l.counters.rejected.Add(1)
	l.backlog = append(l.backlog, inspect(func() { // what it releases leaves with the records of the next iteration
		l.controller.Abandon(l.sinceStart(), e.num)
		l.forget(e)
		l.releaseCall(e)
	}))
}

// responseWritten goes on once a client has heard that its message is accepted. One that could not hear it may submit
// the message again: this one has ended.
func (l *Loop) responseWritten(w ResponseWritten) {
	e := l.table.byID[w.ID]
	if e == nil || e.responded {
		return
	}
	e.responded = true
	if !w.OK {
		l.controller.Abandon(l.sinceStart(), e.num)
		l.forget(e)
	}
	l.releaseCall(e)
}
