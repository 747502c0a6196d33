package state

import (
	"time"

	"cleathold/control"
)

// Admission: the loop accepts a message that a listener has read if the sender has capacity for one more. The message
// is submitted to the controller in the same iteration, and its client is answered at the end of that iteration.

const (
	// fullRetryAfter is the Retry-After of a sender without capacity, unless the settings limit it to a shorter time.
	fullRetryAfter = time.Second
	// stoppingRetryAfter is the Retry-After of a sender that is stopping.
	stoppingRetryAfter = 200 * time.Millisecond
	// maxReportsFactor times the limit on open messages is the limit on all messages in the table, including those
	// whose reports the platform has not acknowledged yet.
	maxReportsFactor = 4
	// unknownAge is used as the age of an attempt whose age is not known. It exceeds any key retention.
	unknownAge = 100 * 365 * 24 * time.Hour
)

// Submitted is the event that a listener has read a message. The response is for its client.
type Submitted struct {
	Message  *Message
	Response chan<- Response    // has room for one response, so that sending does not block
	Decision *AdmissionDecision // nil: the client waits for the response without a time limit
	Taken    func()             // called once the message has left the queue of events; may be nil
}

func (e Submitted) apply(l *Loop) {
	e.taken()
	if e.Decision.rejected() {
		l.counters.rejected.Add(1)
		return
	}
	l.admit(e)
}

// taken notes that the message has left the queue of events.
func (e Submitted) taken() {
	if e.Taken != nil {
		e.Taken()
	}
}

// ResponseWritten is the event that the response "accepted" was written to the client, or could not be written.
type ResponseWritten struct {
	ID string
	OK bool
}

func (e ResponseWritten) apply(l *Loop) { l.responseWritten(e) }

// clientRetryAfter returns the Retry-After of a rejection: the wanted time up to the maximum, or 0 if clients accept no
// Retry-After.
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
		// Each submission has its own ID. A second message with an ID that is in use must not affect the first one, nor
		// be sent in its place.
		s.Response <- Response{Invalid: DuplicateID}
		return
	case !l.group.Serves(s.Message.Destination):
		// Messages for an unknown destination would fill the table until their deadlines, and the controller would keep
		// state for each such destination.
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
		Message: s.Message, num: l.table.next, response: s.Response, admissionDecision: s.Decision,
		classRecord: l.table.classes.record(s.Message.Class), acceptedAt: l.now,
	}
	l.table.add(e)
	l.admitted = append(l.admitted, e)
	l.submitToController(e, false)
}

// hasCapacity reports whether the table and the log have capacity for one more message.
func (l *Loop) hasCapacity(m *Message) bool {
	limit := l.settings.MaxOpenMessages
	if limit > 0 && (l.table.open >= limit || len(l.table.entries) >= maxReportsFactor*limit) {
		return false
	}
	return l.wal.HasCapacity(l.table.liveBytes + storageCost(m))
}

// submitToController submits a message to the controller, together with the record of its earlier attempts.
func (l *Loop) submitToController(e *entry, restarted bool) {
	m := control.Message{
		ID: e.num, Class: e.Class, Destination: e.Destination, Tenant: e.Tenant,
		TimeLeft: e.Deadline.Sub(l.now), Resubmitted: e.Resubmitted, Inherited: e.Inherited || restarted,
		Attempts: e.attempts, Size: e.sizeInCall(),
	}
	if a, ran := e.firstRun(); ran {
		m.MayHaveRun, m.FirstRunZone = true, a.Zone
		if m.FirstRunAgo = l.now.Sub(a.At); m.FirstRunAgo < 0 { // the clock was set back after that attempt
			m.FirstRunAgo = unknownAge
		}
	}
	l.controller.Submit(l.sinceStart(), m)
}

// reject rejects a message whose client still waits for a response, and drops it: nothing more is owed for it.
func (l *Loop) reject(e *entry, r Response) {
	e.response <- r
	e.response = nil
	l.counters.rejected.Add(1)
	l.table.drop(e)
}

// respond answers the clients of the messages that were accepted in this iteration.
func (l *Loop) respond() {
	for _, e := range l.admitted {
		if l.table.entries[e.num] != e || e.response == nil {
			continue
		}
		if !e.admissionDecision.accept() {
			l.abandonRejected(e)
			continue
		}
		l.table.guard.add(e)
		e.response <- Response{Accepted: true}
		e.response = nil
		l.counters.accepted.Add(1)
	}
}

// abandonRejected drops a message whose client the listener rejected while the message was being written to the log,
// because the disk or the loop was too slow.
func (l *Loop) abandonRejected(e *entry) {
	e.response = nil
	l.counters.rejected.Add(1)
	l.backlog = append(l.backlog, inspect(func() { // the next iteration logs the released call
		l.controller.Abandon(l.sinceStart(), e.num)
		l.forget(e)
		l.releaseCall(e)
	}))
}

// responseWritten marks a message as answered and releases its call. If the response could not be written, the client
// may submit the message again, so this one is dropped.
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
