package state

import (
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

// entry is one message of the table, until its outcome is known to whoever is owed it.
type entry struct {
	*Message
	num            control.MessageID
	attempts       int           // made so far
	mayHaveRun     []wal.Attempt // attempts that may have run, or may yet
	response       chan<- Response
	decision       *AdmissionDecision // with the response
	responded      bool               // its client has heard that it is accepted
	call           *Call              // held back until then
	unbatched      bool               // goes in a call by itself: an endpoint could not use one that it shared
	report         *DeliveryReport    // ended, and the platform is owed this
	cost           int64              // bytes that it may take in the log
	classRecord    string             // its class as it stands there
	inFlight       int                // attempts without an end
	remoteInFlight int                // attempts of another process; until they are known it waits
	acceptedAt     time.Time
	attempted      bool // an attempt of it has left, or was about to

	// Where a dead-letter queue is connected.
	deadLetterSeq uint64            // the dead letter that this redelivers; 0 = a client's message
	attemptLog    []numberedAttempt // its history
	unprocessable bool              // an endpoint can't use it
	deadLetter    *DeadLetter       // ended, and the queue is owed this
	reported      bool              // the platform has its report
}

// numberedAttempt is a record of the history that knows its attempt.
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

// markNotRun takes an attempt that never ran off the record.
func (e *entry) markNotRun(attempt int) {
	e.mayHaveRun = slices.DeleteFunc(e.mayHaveRun, func(a wal.Attempt) bool { return a.Index == attempt })
}

// recordResult enters how an attempt ended into the history.
func (e *entry) recordResult(attempt int, r control.Result) {
	for i := range e.attemptLog {
		if e.attemptLog[i].attempt == attempt {
			e.attemptLog[i].Result, e.attemptLog[i].Open = r, false
		}
	}
}

// history returns what is known of a message's attempts. Of those from before a restart only the ones that may have
// run stand in the log.
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

// accepted is the entry's first record in the log.
func (e *entry) accepted() wal.Accepted {
	return wal.Accepted{
		Number: e.num, ID: e.ID, Key: e.Key, Class: e.Class, Tenant: e.Tenant, Destination: e.Destination,
		Deadline: e.Deadline, Resubmitted: e.Resubmitted, Body: e.Body, DeadLetterSeq: e.deadLetterSeq,
		ClassRecord: e.classRecord,
	}
}

// logEntry is all that the log is to hold of the entry.
func (e *entry) logEntry() *wal.Entry {
	x := &wal.Entry{Accepted: e.accepted(), Attempts: e.attempts, MayHaveRun: e.mayHaveRun}
	if e.report != nil {
		x.Outcome = e.report.logOutcome()
	}
	return x
}

// logOutcome is the report's record in the log.
func (r *DeliveryReport) logOutcome() *wal.Outcome {
	o := &wal.Outcome{Deferred: r.Deferred, RetryAfter: r.RetryAfter}
	if d := r.DeadLetter; d != nil {
		o.DeadLetter = &wal.DeadLetterOutcome{
			Reason: d.Reason, At: d.At, Delivered: d.Delivered, Final: d.Final, Deferred: d.Deferred,
		}
	}
	return o
}

// reportOf is the report that an outcome in the log stands for.
func reportOf(x *wal.Entry) DeliveryReport {
	r := DeliveryReport{Number: x.Number, ID: x.ID, Deferred: x.Outcome.Deferred, RetryAfter: x.Outcome.RetryAfter}
	if d := x.Outcome.DeadLetter; d != nil {
		r.DeadLetter = &DeadLetter{
			Number: x.Number, Reason: d.Reason, At: d.At, Delivered: d.Delivered, Final: d.Final, Deferred: d.Deferred,
		}
	}
	return r
}
