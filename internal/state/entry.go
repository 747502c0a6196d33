package state

import (
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

// entry is one message in the table. It stays there until all parties that are owed its outcome have received it.
type entry struct {
	*Message
	num               control.MessageID
	attempts          int           // number of attempts made so far
	mayHaveRun        []wal.Attempt // attempts that may have run, or may still run
	response          chan<- Response
	admissionDecision *AdmissionDecision // set together with response
	responded         bool               // its client has received the acceptance
	heldCall          *Call              // the call that must not leave before that
	unbatched         bool               // sent in a call of its own: an endpoint could not process its batch
	report            *DeliveryReport    // set once the message has ended: the report that the platform is owed
	cost              int64              // maximum size in the log, in bytes
	classRecord       string             // its class as encoded in the log
	inFlight          int                // attempts without a result
	remoteInFlight    int                // attempts of another process; the message waits for their results
	acceptedAt        time.Time
	attempted         bool // an attempt has left, or was about to leave

	// Used only with a dead-letter queue.
	deadLetterSeq uint64            // the dead letter that is redelivered; 0 = a client's message
	attemptLog    []numberedAttempt // history of its attempts
	unprocessable bool              // an endpoint can't process it
	deadLetter    *DeadLetter       // set once the message has ended: the dead letter that the queue is owed
	reported      bool              // the platform has acknowledged the report
}

// numberedAttempt is a record of the attempt history with the index of its attempt.
type numberedAttempt struct {
	AttemptRecord
	attempt int
}

// firstRun returns the earliest attempt that may have run.
func (e *entry) firstRun() (wal.Attempt, bool) {
	if len(e.mayHaveRun) == 0 {
		return wal.Attempt{}, false
	}
	return slices.MinFunc(e.mayHaveRun, func(a, b wal.Attempt) int { return a.At.Compare(b.At) }), true
}

// markNotRun removes an attempt that never ran from those that may have run.
func (e *entry) markNotRun(attempt int) {
	e.mayHaveRun = slices.DeleteFunc(e.mayHaveRun, func(a wal.Attempt) bool { return a.Index == attempt })
}

// recordResult records the result of an attempt in the history.
func (e *entry) recordResult(attempt int, r control.Result) {
	for i := range e.attemptLog {
		if e.attemptLog[i].attempt == attempt {
			e.attemptLog[i].Result, e.attemptLog[i].Open = r, false
		}
	}
}

// history returns the known attempts of a message. Of the attempts made before a restart, the log holds only those that
// may have run.
func (e *entry) history() []AttemptRecord {
	list := make([]AttemptRecord, 0, len(e.attemptLog)+len(e.mayHaveRun))
	for _, a := range e.mayHaveRun {
		inLog := func(x numberedAttempt) bool { return x.attempt == a.Index }
		if !a.InDeadLetter && !slices.ContainsFunc(e.attemptLog, inLog) {
			list = append(list, AttemptRecord{Target: a.Endpoint, Zone: a.Zone, At: a.At, Open: true})
		}
	}
	for _, x := range e.attemptLog {
		list = append(list, x.AttemptRecord)
	}
	return list
}

// accepted returns the entry's first record in the log.
func (e *entry) accepted() wal.Accepted {
	return wal.Accepted{
		Number: e.num, ID: e.ID, Key: e.Key, Class: e.Class, Tenant: e.Tenant, Destination: e.Destination,
		Deadline: e.Deadline, Resubmitted: e.Resubmitted, Body: e.Body, DeadLetterSeq: e.deadLetterSeq,
		ClassRecord: e.classRecord,
	}
}

// logEntry returns everything that the log has to hold about the entry.
func (e *entry) logEntry() *wal.Entry {
	x := &wal.Entry{Accepted: e.accepted(), Attempts: e.attempts, UncertainAttempts: e.mayHaveRun}
	if e.report != nil {
		x.Outcome = e.report.logOutcome()
	}
	return x
}

// logOutcome returns the report's record in the log.
func (r *DeliveryReport) logOutcome() *wal.Outcome {
	o := &wal.Outcome{Deferred: r.Deferred, RetryAfter: r.RetryAfter}
	if d := r.DeadLetter; d != nil {
		o.DeadLetter = &wal.DeadLetterOutcome{
			Reason: d.Reason, At: d.At, Delivered: d.Delivered, Final: d.Final, WouldDefer: d.Deferred,
		}
	}
	return o
}

// reportOf returns the report for an outcome in the log.
func reportOf(x *wal.Entry) DeliveryReport {
	r := DeliveryReport{Number: x.Number, ID: x.ID, Deferred: x.Outcome.Deferred, RetryAfter: x.Outcome.RetryAfter}
	if d := x.Outcome.DeadLetter; d != nil {
		r.DeadLetter = &DeadLetter{
			Number: x.Number, Reason: d.Reason, At: d.At, Delivered: d.Delivered, Final: d.Final, Deferred: d.WouldDefer,
		}
	}
	return r
}
