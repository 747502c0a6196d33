package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

// Dead letters: what becomes of a message that ends undelivered, where a dead-letter queue is connected. A message is
// then either its client's again or the queue's, never both, and the log says which before anyone is told. Until the
// queue has it, the log keeps it. A message that the queue sends again comes back as one more message to the
// controller, without a client (redelivery.go).

const (
	// deadLetterFraction: messages that the queue does not have yet take one part in so many of the log at most.
	deadLetterFraction = 10
	// maxAttemptLog bounds the history of a message where the settings don't.
	maxAttemptLog = 64
)

// AttemptRecord is one attempt in the history of a message.
type AttemptRecord struct {
	Target string // its id; "" = not known, from before a restart
	Zone   int
	At     time.Time // Unix time 0: not known
	Result control.Result
	Open   bool // no result is known
}

// DeadLetter is a message that goes to the dead-letter queue, or back to it after a redelivery.
type DeadLetter struct {
	Number       control.MessageID
	Seq          uint64 // the record that was sent again; 0 = a message that is new to the queue
	Message      *Message
	Attempts     []AttemptRecord // of a redelivery: those since
	AttemptCount int             // attempts in all
	Reason       string
	Deferred     bool // without the queue the client would get it back
	Delivered    bool
	Final        bool // the endpoint says that nothing more is owed
	NotAdmitted  bool // a redelivery that was not admitted: it was never logged and never sent
	At           time.Time
}

// The reasons for which a message ends undelivered.
const (
	ReasonExpired           = "expired"        // its time was up
	ReasonMayHaveRun        = "may-have-run"   // an attempt may have run, and its class allows no other
	ReasonKeyExpired        = "memory-passed"  // the same, and the destination does not retain its key any more
	ReasonAttemptsExhausted = "attempts-spent" // it had all its attempts
	ReasonUnprocessable     = "rejected"       // an endpoint can't use it
)

// DeadLettersStored tells that the queue has dead letters for good.
type DeadLettersStored struct{ Numbers []control.MessageID }

// Nothing of them is owed to the queue any more.
func (s DeadLettersStored) apply(l *Loop) {
	for _, num := range s.Numbers {
		e := l.table.entries[num]
		if e == nil || e.deadLetter == nil {
			continue
		}
		e.deadLetter = nil
		if e.reported || e.deadLetterSeq > 0 {
			l.forget(e)
		}
	}
}

// reasonOf says why a message ends undelivered.
func (l *Loop) reasonOf(e *entry) string {
	class := l.settings.Classes[min(max(e.Class, 0), len(l.settings.Classes)-1)]
	first, ran := e.firstRun()
	switch {
	case e.unprocessable:
		return ReasonUnprocessable
	case ran && class.Idempotency == control.NotIdempotent:
		return ReasonMayHaveRun
	case l.settings.MaxAttempts > 0 && e.attempts >= l.settings.MaxAttempts:
		return ReasonAttemptsExhausted
	case ran && class.Idempotency == control.IdempotentByKey && l.now.Sub(first.At) >= class.KeyRetention/2 &&
		l.now.Before(e.Deadline.Add(-class.Deadline/10)):
		return ReasonKeyExpired
	}
	return ReasonExpired
}

// newDeadLetter makes one of a message that ends.
func (l *Loop) newDeadLetter(e *entry) *DeadLetter {
	return &DeadLetter{
		Number: e.num, Seq: e.deadLetterSeq, Message: e.Message, Attempts: e.history(), AttemptCount: e.attempts,
		Reason: l.reasonOf(e), At: l.now,
	}
}

// restoreDeadLetter completes a dead letter that came from the log.
func (l *Loop) restoreDeadLetter(e *entry) *DeadLetter {
	d := *e.deadLetter
	d.Number, d.Seq, d.Message, d.Attempts, d.AttemptCount = e.num, e.deadLetterSeq, e.Message, e.history(), e.attempts
	e.report.DeadLetter = &d
	return &d
}

// recordAttempt enters an attempt that is about to leave into the message's history.
func (l *Loop) recordAttempt(e *entry, a wal.Attempt) {
	if l.deadLetterQueue == nil || len(e.attemptLog) >= maxAttemptLog {
		return
	}
	record := AttemptRecord{Target: a.Endpoint, Zone: a.Zone, At: a.At, Open: true}
	e.attemptLog = append(e.attemptLog, numberedAttempt{record, a.Index})
}

// offerDeadLetter tells whether the queue gets a message that ends with a report. A message whose client has not been
// answered yet may come again: the queue does not get it. Nor does it where what waits for the queue takes a tenth of
// the log: a store that is slow must not keep new messages out.
func (l *Loop) offerDeadLetter(e *entry, n *DeliveryReport) (*DeadLetter, bool) {
	if l.deadLetterQueue == nil || !e.responded || l.table.deadLetterBytes+e.cost > l.wal.Limit()/deadLetterFraction {
		return nil, false
	}
	d := l.newDeadLetter(e)
	d.Deferred = n.Deferred
	return d, l.deadLetterQueue.Accepts(d)
}

// endWithDeadLetter ends a message that the queue is owed: the log says so, and at the end of the iteration the queue
// gets it.
func (l *Loop) endWithDeadLetter(e *entry, n DeliveryReport, d *DeadLetter) {
	n.Number, n.ID, n.DeadLetter = e.num, e.ID, d
	e.deadLetter = d
	l.markEnded(e, n)
	l.deadLetters = append(l.deadLetters, d)
}

// deliverDeadLetters gives the queue the iteration's dead letters, and what the log has forgotten.
func (l *Loop) deliverDeadLetters() {
	for _, d := range l.deadLetters {
		l.deadLetterQueue.Add(*d)
	}
	if len(l.forgottenIDs) > 0 {
		l.deadLetterQueue.Forget(l.forgottenIDs)
	}
	l.deadLetters, l.forgottenIDs = nil, nil
}

// beginDeadLetterQueue tells the queue what the log knows, before anything else.
func (l *Loop) beginDeadLetterQueue() {
	if l.deadLetterQueue == nil {
		return
	}
	var owed []string
	var redelivered []uint64
	for _, e := range l.table.ordered() {
		if e.deadLetterSeq > 0 {
			redelivered = append(redelivered, e.deadLetterSeq)
		} else if e.deadLetter != nil {
			owed = append(owed, e.ID)
		}
	}
	l.deadLetterQueue.Begin(owed, redelivered)
}
