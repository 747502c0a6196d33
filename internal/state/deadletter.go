package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

// Dead letters: messages that end undelivered while a dead-letter queue is connected. Such a message belongs either to
// its client or to the queue, never to both, and the log records which before the client or the queue is notified. The
// log keeps the message until the queue has stored it. A redelivery by the queue is submitted to the controller as
// another message without a client (redelivery.go).

const (
	// deadLetterFraction limits the messages that the queue has not stored yet to 1/deadLetterFraction of the log's
	// size limit.
	deadLetterFraction = 10
	// maxAttemptLog is the maximum length of the attempt history of a message. It applies even if the settings do not
	// limit the number of attempts.
	maxAttemptLog = 64
)

// AttemptRecord is one attempt in the history of a message.
type AttemptRecord struct {
	Target string // the target's ID; "" = not known, for an attempt before a restart
	Zone   int
	At     time.Time // Unix time 0 = not known
	Result control.Result
	Open   bool // the result is not known
}

// DeadLetter is a message that goes to the dead-letter queue, or that returns to it after a redelivery.
type DeadLetter struct {
	Number       control.MessageID
	Seq          uint64 // the redelivered dead letter; 0 = a message that is new to the queue
	Message      *Message
	Attempts     []AttemptRecord // for a redelivery: only the attempts since
	AttemptCount int             // total number of attempts
	Reason       string
	Deferred     bool // without the queue, the message would be returned to its client
	Delivered    bool
	Final        bool // the endpoint's answer says that nothing more is owed
	NotAdmitted  bool // the redelivery was not admitted: it was neither logged nor sent
	At           time.Time
}

// The reasons why a message ends undelivered.
const (
	ReasonExpired           = "expired"        // its deadline passed
	ReasonMayHaveRun        = "may-have-run"   // an attempt may have run, and its class does not allow another one
	ReasonKeyExpired        = "memory-passed"  // the same, and the destination no longer retains its key
	ReasonAttemptsExhausted = "attempts-spent" // it reached the maximum number of attempts
	ReasonUnprocessable     = "rejected"       // an endpoint can't process it
)

// DeadLettersStored is the event that the queue has durably stored dead letters.
type DeadLettersStored struct{ Numbers []control.MessageID }

// The messages are no longer owed to the queue.
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

// reasonOf returns the reason why a message ends undelivered.
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

// newDeadLetter returns the dead letter of a message that ends.
func (l *Loop) newDeadLetter(e *entry) *DeadLetter {
	return &DeadLetter{
		Number: e.num, Seq: e.deadLetterSeq, Message: e.Message, Attempts: e.history(), AttemptCount: e.attempts,
		Reason: l.reasonOf(e), At: l.now,
	}
}

// restoreDeadLetter returns the complete dead letter of an entry that was recovered from the log.
func (l *Loop) restoreDeadLetter(e *entry) *DeadLetter {
	d := *e.deadLetter
	d.Number, d.Seq, d.Message, d.Attempts, d.AttemptCount = e.num, e.deadLetterSeq, e.Message, e.history(), e.attempts
	e.report.DeadLetter = &d
	return &d
}

// recordAttempt adds an attempt that is about to leave to the message's history.
func (l *Loop) recordAttempt(e *entry, a wal.Attempt) {
	if l.deadLetterQueue == nil || len(e.attemptLog) >= maxAttemptLog {
		return
	}
	record := AttemptRecord{Target: a.Endpoint, Zone: a.Zone, At: a.At, Open: true}
	e.attemptLog = append(e.attemptLog, numberedAttempt{record, a.Index})
}

// offerDeadLetter offers a message that ends to the queue, and reports whether the queue takes it. A message whose
// client has not been answered yet is not offered, because the client may submit it again. Nor is any message offered
// while the messages that wait for the queue take a tenth of the log: a slow store must not prevent the sender from
// accepting new messages.
func (l *Loop) offerDeadLetter(e *entry, report *DeliveryReport) (*DeadLetter, bool) {
	if l.deadLetterQueue == nil || !e.responded || l.table.deadLetterBytes+e.cost > l.wal.Limit()/deadLetterFraction {
		return nil, false
	}
	d := l.newDeadLetter(e)
	d.Deferred = report.Deferred
	return d, l.deadLetterQueue.Accepts(d)
}

// endWithDeadLetter ends a message that is owed to the queue. The log records that, and the queue gets the message at
// the end of the iteration.
func (l *Loop) endWithDeadLetter(e *entry, report DeliveryReport, d *DeadLetter) {
	report.Number, report.ID, report.DeadLetter = e.num, e.ID, d
	e.deadLetter = d
	l.markEnded(e, report)
	l.deadLetters = append(l.deadLetters, d)
}

// deliverDeadLetters passes the iteration's dead letters to the queue, and the IDs that the log no longer holds.
func (l *Loop) deliverDeadLetters() {
	for _, d := range l.deadLetters {
		l.deadLetterQueue.Add(*d)
	}
	if len(l.forgottenIDs) > 0 {
		l.deadLetterQueue.Forget(l.forgottenIDs)
	}
	l.deadLetters, l.forgottenIDs = nil, nil
}

// beginDeadLetterQueue passes what the log holds for the queue to the queue's Begin, before any other call of the
// queue's methods except ClassesChanged.
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
