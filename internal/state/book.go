package state

import (
	"time"

	"cleathold/control"
)

// Book: the last stage. What came of a forward is entered, and the end of a
// message is told to whoever is owed it.

// book enters what came of some forwards of a call.
func (l *Loop) book(ev CallEnded) {
	for _, end := range ev.Results {
		f := end.Attempt
		l.judge(ev.Call, end)
		if end.RetryAfter > 0 {
			l.remember(ev.Call.Target, end.RetryAfter)
			l.waited(ev.Call.Target)
		}
		if f.ended {
			continue
		}
		f.ended = true
		if l.out[ev.Call]--; l.out[ev.Call] <= 0 {
			delete(l.out, ev.Call)
			if ev.Call.carried {
				l.flying--
			}
		}
		e := l.table.entries[f.num]
		if e != nil {
			e.flights--
		}
		if end.Result == control.Unprocessable && ev.Call.size > 1 {
			// One of them is to blame. Each goes by itself from now on, so that
			// the others arrive and the one is found.
			end.Result = control.NotSent
			if e != nil {
				e.alone = true
			}
		}
		if e != nil && !end.Result.MayHaveRun() {
			e.spare(f.attempt)
			l.journal.add(sparedRecord(e.num, f.attempt))
		}
		if e != nil && l.keeper != nil {
			e.came(f.attempt, end.Result)
			e.rejected = e.rejected || end.Result == control.Unprocessable
			l.keeper.CallEnded(f.Message.Destination, end.Result, end.RetryAfter, e.seq > 0)
		}
		l.ctl.AttemptDone(l.since(), control.Outcome{
			ID: f.num, Attempt: f.attempt, Endpoint: ev.Call.Target.Endpoint.ID, Result: end.Result,
			Elapsed: end.Elapsed, Final: end.Final, RetryAfter: end.RetryAfter, NoSlot: end.NoSlot,
		})
		if e != nil && end.Final && end.Result == control.Served && e.notice == nil {
			l.counters.delivered.Add(1)
		}
		switch {
		case e == nil || !end.Final || l.table.entries[f.num] != e:
		case e.seq > 0 && e.notice == nil: // the keeper hears of it first
			l.resent(e, end.Result)
		case e.notice == nil || e.parting == nil:
			l.over(e)
		}
	}
}

// over forgets a message for which nothing more is owed.
func (l *Loop) over(e *entry) {
	if l.table.entries[e.num] == e {
		l.table.drop(e)
		l.journal.add(overRecord(e.num))
		if e.seq == 0 {
			l.table.retire(e.ID, l.now)
		}
		if e.seq == 0 && e.notice != nil && e.notice.DeadLetter != nil {
			l.settled = append(l.settled, e.ID)
		}
	}
}

// end gives a message its end: a fixed response if its client still waits for
// one, else a notice.
func (l *Loop) end(id control.MessageID, n DeliveryReport) {
	e := l.table.entries[id]
	if e == nil || e.notice != nil {
		return
	}
	if e.verdict != nil {
		l.refuseNow(e, Response{RetryAfter: n.RetryAfter, Permanent: !n.Deferred})
		return
	}
	if n.Deferred {
		l.counters.deferred.Add(1)
	} else {
		l.counters.undeliverable.Add(1)
	}
	if e.seq > 0 {
		l.part(e, n, l.parting(e))
		return
	}
	if p, kept := l.keeps(e, &n); kept {
		n.Deferred, n.RetryAfter = false, 0
		l.part(e, n, p)
		l.notices = append(l.notices, *e.notice)
		return
	}
	n.Num, n.ID = id, e.ID
	l.table.settle(e, n)
	l.journal.settled(e)
	l.notices = append(l.notices, n)
}

func (a *actions) Reject(id control.MessageID, retryAfter time.Duration) {
	a.loop().end(id, DeliveryReport{Deferred: true, RetryAfter: retryAfter})
}

func (a *actions) Fail(id control.MessageID) { a.loop().end(id, DeliveryReport{}) }

// acknowledged forgets the messages whose notices the platform has.
func (l *Loop) acknowledged(a ReportsAcknowledged) {
	for _, num := range a.Nums {
		if e := l.table.entries[num]; e != nil && e.notice != nil {
			if e.told = true; e.parting == nil {
				l.over(e)
			}
		}
	}
}
