package state

import (
	"cleathold/control"
)

// Outcomes: the results of attempts are recorded, and the outcomes of messages are reported to the platform, the client
// or the dead-letter queue.

// CallEnded is the event that some attempts of a call have ended.
type CallEnded struct {
	Call    *Call
	Results []AttemptResult
}

func (e CallEnded) apply(l *Loop) { l.callEnded(e) }

// ReportsAcknowledged is the event that the platform has acknowledged reports.
type ReportsAcknowledged struct{ Numbers []control.MessageID }

func (e ReportsAcknowledged) apply(l *Loop) { l.reportsAcknowledged(e) }

// callEnded records the results of attempts of a call.
func (l *Loop) callEnded(ended CallEnded) {
	for _, r := range ended.Results {
		l.checkSent(ended.Call, r)
		if r.RetryAfter > 0 {
			l.recordRetryAfter(ended.Call.Target, r.RetryAfter)
			l.withholdForRetryAfter(ended.Call.Target)
		}
		if !r.Attempt.ended {
			l.attemptEnded(ended.Call, r)
		}
	}
}

// attemptEnded records the first result of an attempt.
func (l *Loop) attemptEnded(c *Call, r AttemptResult) {
	a := r.Attempt
	a.ended = true
	if l.inFlight[c]--; l.inFlight[c] <= 0 {
		delete(l.inFlight, c)
		if c.sent {
			l.callsInFlight--
		}
	}
	e := l.table.entries[a.num]
	if e != nil {
		e.inFlight--
	}
	if r.Result == control.Unprocessable && c.size > 1 {
		// One of the messages in the call can't be processed. Each is sent in a call of its own from now on, so that
		// the others are delivered and the unprocessable one is identified.
		r.Result = control.NotSent
		if e != nil {
			e.unbatched = true
		}
	}
	if e != nil && !r.Result.MayHaveRun() {
		e.markNotRun(a.attempt)
		l.wal.AddNotRun(e.num, a.attempt)
	}
	if e != nil && l.deadLetterQueue != nil {
		e.recordResult(a.attempt, r.Result)
		e.unprocessable = e.unprocessable || r.Result == control.Unprocessable
		l.deadLetterQueue.CallEnded(a.Message.Destination, r.Result, r.RetryAfter, e.deadLetterSeq > 0)
	}
	l.controller.AttemptDone(l.sinceStart(), control.Outcome{
		ID: a.num, Attempt: a.attempt, Endpoint: c.Target.Endpoint.ID, Result: r.Result,
		Elapsed: r.Elapsed, Final: r.Final, RetryAfter: r.RetryAfter, NoSlot: r.NoSlot, SendAlone: e != nil && e.unbatched,
	})
	if e != nil && r.Final {
		l.finalResult(e, r.Result)
	}
}

// finalResult records a result after which nothing more is owed for the message.
func (l *Loop) finalResult(e *entry, r control.Result) {
	if r == control.Served && e.report == nil {
		l.counters.delivered.Add(1)
	}
	switch {
	case l.table.entries[e.num] != e: // the controller has already ended the message
	case e.deadLetterSeq > 0 && e.report == nil: // the dead-letter queue has to store the result first
		l.endRedelivery(e, r)
	case e.report == nil || e.deadLetter == nil:
		l.forget(e)
	}
}

// forget drops a message for which nothing more is owed, and records its end in the log.
func (l *Loop) forget(e *entry) {
	if l.table.entries[e.num] != e {
		return
	}
	l.table.drop(e)
	l.wal.AddEnded(e.num)
	if e.deadLetterSeq > 0 {
		return
	}
	l.table.retainID(e.ID, l.now)
	if e.report != nil && e.report.DeadLetter != nil {
		l.forgottenIDs = append(l.forgottenIDs, e.ID)
	}
}

// endMessage ends a message with an outcome: a rejection if its client still waits for a response, otherwise a report.
func (l *Loop) endMessage(id control.MessageID, report DeliveryReport) {
	e := l.table.entries[id]
	if e == nil || e.report != nil {
		return
	}
	if e.response != nil {
		l.reject(e, Response{RetryAfter: report.RetryAfter, Permanent: !report.Deferred})
		return
	}
	if report.Deferred {
		l.counters.deferred.Add(1)
	} else {
		l.counters.undeliverable.Add(1)
	}
	if e.deadLetterSeq > 0 {
		l.endWithDeadLetter(e, report, l.newDeadLetter(e))
		return
	}
	if d, accepted := l.offerDeadLetter(e, &report); accepted {
		report.Deferred, report.RetryAfter = false, 0
		l.endWithDeadLetter(e, report, d)
		l.reports = append(l.reports, *e.report)
		return
	}
	report.Number, report.ID = id, e.ID
	l.markEnded(e, report)
	l.reports = append(l.reports, report)
}

// markEnded marks a message as ended in the table and in the log. If its body is no longer needed, a short record
// replaces all its earlier records in the log, so that the body takes no space.
func (l *Loop) markEnded(e *entry, report DeliveryReport) {
	l.table.markEnded(e, report)
	if len(e.Body) > 0 {
		l.wal.AddOutcome(e.num, e.report.logOutcome())
		return
	}
	l.wal.Replace(e.logEntry())
}

// reportsAcknowledged drops the messages whose reports the platform has acknowledged, unless the dead-letter queue has
// yet to store them.
func (l *Loop) reportsAcknowledged(a ReportsAcknowledged) {
	for _, num := range a.Numbers {
		if e := l.table.entries[num]; e != nil && e.report != nil {
			if e.reported = true; e.deadLetter == nil {
				l.forget(e)
			}
		}
	}
}

// reportOverdue sends the reports of messages whose deadlines have passed, although the log lacks the records of these
// outcomes. If the process ends before they are written, the next process gives up the same messages, and a second
// report does no harm.
func (l *Loop) reportOverdue() {
	waiting := l.reports[:0]
	for _, n := range l.reports {
		if e := l.table.entries[n.Number]; e != nil && !l.now.Before(e.Deadline) {
			l.reporter.Report(n)
		} else {
			waiting = append(waiting, n)
		}
	}
	clear(l.reports[len(waiting):])
	l.reports = waiting
}
