package state

import (
	"time"

	"cleathold/control"
)

// walRetryInterval is left between two attempts to write what the log lacks.
const walRetryInterval = 20 * time.Millisecond

// sinceStart is the controller's clock.
func (l *Loop) sinceStart() time.Duration { return l.now.Sub(l.startedAt) }

// restoreMessages takes up what is owed by the log.
func (l *Loop) restoreMessages() {
	l.started = true
	l.now = l.clock()
	l.beginDeadLetterQueue()
	for _, e := range l.table.ordered() {
		if e.deadLetter != nil {
			e.deadLetter = l.restoreDeadLetter(e)
			l.deadLetters = append(l.deadLetters, e.deadLetter)
		}
		if e.report != nil && e.deadLetterSeq == 0 {
			l.reporter.Report(*e.report)
		}
		if e.report == nil && e.remoteInFlight == 0 {
			l.submitToController(e, true)
		}
	}
}

// iterate is one iteration.
func (l *Loop) iterate() {
	l.now = l.clock()
	events := l.backlog
	l.backlog = nil
	if l.successor != nil {
		for _, e := range events {
			l.handleAfterHandOver(e)
		}
		return
	}
	for _, e := range events {
		e.apply(l)
	}
	l.drainEvents(maxEventsPerIteration - len(events))
	if !l.halted {
		l.controller.Decide(l.sinceStart())
	}
	l.commit()
	if l.handOver != nil {
		l.completeHandOver()
	}
}

// drainEvents handles what is in the queue, up to a number of events.
func (l *Loop) drainEvents(limit int) {
	for range limit {
		select {
		case e := <-l.events:
			l.now = l.clock() // what came in the middle of the iteration is not older than that
			e.apply(l)
		default:
			return
		}
	}
}

// commit makes known what an iteration did. The log comes first: no client hears that a message is accepted, no
// attempt leaves and no report goes out before the record of it is written.
func (l *Loop) commit() {
	waiting := l.logIteration()
	if err := l.wal.Flush(); err != nil {
		l.log.Error("write-ahead log not written", "err", err)
		l.rollBack()
	}
	l.respond()
	for _, c := range l.readyCalls {
		l.launch(c)
	}
	l.counters.open.Store(int64(l.table.open))
	if len(l.gossip) > 0 {
		l.gossipSender.SendGossip(l.gossip)
		l.gossip = l.gossip[:0]
	}
	l.admitted, l.readyCalls = nil, waiting
	if l.wal.Incomplete() {
		l.reportOverdue() // the rest is not known for good yet: in a later iteration
		l.scheduleWALRetry()
		return
	}
	for _, n := range l.reports {
		l.reporter.Report(n)
	}
	l.reports = nil
	if l.deadLetterQueue != nil {
		l.deliverDeadLetters()
		l.deadLetterQueue.LoadChanged(LoopLoad{
			MaxInFlight: l.settings.MaxInFlight, InFlight: l.callsInFlight,
			MaxOpenMessages: l.settings.MaxOpenMessages, Open: l.table.open,
		})
	}
}

// logIteration adds the iteration's messages and calls to the log, and returns the calls that wait.
func (l *Loop) logIteration() (waiting []*Call) {
	for _, e := range l.admitted {
		if l.table.entries[e.num] == e && e.deadLetterSeq == 0 {
			accepted := e.accepted()
			l.wal.AddAccepted(&accepted)
		}
	}
	for _, c := range l.newCalls {
		if c.unanswered == 0 {
			l.readyCalls = append(l.readyCalls, c)
		}
	}
	l.newCalls = nil
	clear(l.callsByEndpoint)
	// A call that was split by its size is one more in flight than the controller knows of: it waits until one has
	// ended.
	free := max(0, l.settings.MaxInFlight-l.callsInFlight-l.remote.calls())
	waiting = l.readyCalls[min(len(l.readyCalls), free):]
	l.readyCalls = l.readyCalls[:len(l.readyCalls)-len(waiting)]
	for _, c := range l.readyCalls {
		l.logCall(c)
	}
	return waiting
}

// rollBack takes back what an iteration did and the log could not hold.
func (l *Loop) rollBack() {
	for _, e := range l.admitted {
		if l.table.entries[e.num] != e {
			continue
		}
		switch {
		case e.deadLetterSeq > 0 && e.report == nil:
			l.controller.Abandon(l.sinceStart(), e.num)
			l.table.drop(e)
			l.wal.Forget(e.num)
			l.denyRedelivery(e, DeniedLogFailed)
		case e.response != nil:
			l.reject(e, Response{RetryAfter: l.clientRetryAfter(fullRetryAfter)})
			l.wal.Forget(e.num)
			l.controller.Abandon(l.sinceStart(), e.num)
			l.releaseCall(e)
		}
	}
	for _, c := range l.readyCalls {
		l.endUnsent(c, control.ConnectFailed)
	}
	l.readyCalls = nil
}

// scheduleWALRetry sees to it that an iteration comes soon, in which the log is written again.
func (l *Loop) scheduleWALRetry() {
	if l.walRetryPending {
		return
	}
	l.walRetryPending = true
	time.AfterFunc(walRetryInterval, func() { l.Post(inspect(func() { l.walRetryPending = false })) })
}
