package state

import (
	"time"

	"cleathold/control"
)

// Book: the last stage. What came of a forward is entered, and the end of a
// message is told to whoever is owed it.

// callEnded enters what came of some forwards of a call.
func (l *Loop) callEnded(ev CallEnded) {
	for _, end := range ev.Results {
		f := end.Attempt
		l.checkSent(ev.Call, end)
		if end.RetryAfter > 0 {
			l.noteRetryAfter(ev.Call.Target, end.RetryAfter)
			l.withholdForRetryAfter(ev.Call.Target)
		}
		if f.ended {
			continue
		}
		f.ended = true
		if l.inFlight[ev.Call]--; l.inFlight[ev.Call] <= 0 {
			delete(l.inFlight, ev.Call)
			if ev.Call.sent {
				l.callsInFlight--
			}
		}
		e := l.table.entries[f.num]
		if e != nil {
			e.inFlight--
		}
		if end.Result == control.Unprocessable && ev.Call.size > 1 {
			// One of them is to blame. Each goes by itself from now on, so that
			// the others arrive and the one is found.
			end.Result = control.NotSent
			if e != nil {
				e.sendAlone = true
			}
		}
		if e != nil && !end.Result.MayHaveRun() {
			e.markNotRun(f.attempt)
			l.wal.add(notRunRecord(e.num, f.attempt))
		}
		if e != nil && l.deadLetterQueue != nil {
			e.logResult(f.attempt, end.Result)
			e.unprocessable = e.unprocessable || end.Result == control.Unprocessable
			l.deadLetterQueue.CallEnded(f.Message.Destination, end.Result, end.RetryAfter, e.deadLetterSeq > 0)
		}
		l.controller.AttemptDone(l.sinceStart(), control.Outcome{
			ID: f.num, Attempt: f.attempt, Endpoint: ev.Call.Target.Endpoint.ID, Result: end.Result,
			Elapsed: end.Elapsed, Final: end.Final, RetryAfter: end.RetryAfter, NoSlot: end.NoSlot,
		})
		if e != nil && end.Final && end.Result == control.Served && e.report == nil {
			l.counters.delivered.Add(1)
		}
		switch {
		case e == nil || !end.Final || l.table.entries[f.num] != e:
		case e.deadLetterSeq > 0 && e.report == nil: // the keeper hears of it first
			l.endRedelivery(e, end.Result)
		case e.report == nil || e.deadLetter == nil:
			l.forget(e)
		}
	}
}

// forget forgets a message for which nothing more is owed.
func (l *Loop) forget(e *entry) {
	if l.table.entries[e.num] == e {
		l.table.drop(e)
		l.wal.add(endedRecord(e.num))
		if e.deadLetterSeq == 0 {
			l.table.retainID(e.ID, l.now)
		}
		if e.deadLetterSeq == 0 && e.report != nil && e.report.DeadLetter != nil {
			l.forgottenIDs = append(l.forgottenIDs, e.ID)
		}
	}
}

// endMessage gives a message its end: a fixed response if its client still waits for
// one, else a notice.
func (l *Loop) endMessage(id control.MessageID, n DeliveryReport) {
	e := l.table.entries[id]
	if e == nil || e.report != nil {
		return
	}
	if e.response != nil {
		l.reject(e, Response{RetryAfter: n.RetryAfter, Permanent: !n.Deferred})
		return
	}
	if n.Deferred {
		l.counters.deferred.Add(1)
	} else {
		l.counters.undeliverable.Add(1)
	}
	if e.deadLetterSeq > 0 {
		l.endWithDeadLetter(e, n, l.newDeadLetter(e))
		return
	}
	if p, kept := l.offerDeadLetter(e, &n); kept {
		n.Deferred, n.RetryAfter = false, 0
		l.endWithDeadLetter(e, n, p)
		l.reports = append(l.reports, *e.report)
		return
	}
	n.Num, n.ID = id, e.ID
	l.table.markEnded(e, n)
	l.wal.addEnded(e)
	l.reports = append(l.reports, n)
}

func (a *actions) Reject(id control.MessageID, retryAfter time.Duration) {
	a.loop().endMessage(id, DeliveryReport{Deferred: true, RetryAfter: retryAfter})
}

func (a *actions) Fail(id control.MessageID) { a.loop().endMessage(id, DeliveryReport{}) }

// reportsAcknowledged forgets the messages whose notices the platform has.
func (l *Loop) reportsAcknowledged(a ReportsAcknowledged) {
	for _, num := range a.Nums {
		if e := l.table.entries[num]; e != nil && e.report != nil {
			if e.reported = true; e.deadLetter == nil {
				l.forget(e)
			}
		}
	}
}
