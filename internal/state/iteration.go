package state

import (
	"time"

	"cleathold/control"
)

// walRetryInterval is the delay between two attempts to write the records that the log still lacks.
const walRetryInterval = 20 * time.Millisecond

// sinceStart returns the current time on the controller's clock.
func (l *Loop) sinceStart() time.Duration { return l.now.Sub(l.startedAt) }

// restoreMessages resumes the messages recovered from the log: it reports those that have ended, and submits the others
// to the controller unless an attempt is still in flight at the predecessor.
func (l *Loop) restoreMessages() {
	l.started = true
	l.now = l.clock()
	l.beginDeadLetterQueue()
	if l.awaitsList {
		l.awaitList()
	}
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

// iterate runs one iteration.
func (l *Loop) iterate() {
	l.now = l.clock()
	events := l.backlog
	l.backlog = nil
	if l.successor != nil {
		for _, e := range events {
			l.handleAfterHandover(e)
		}
		return
	}
	for _, e := range events {
		e.apply(l)
	}
	l.drainEvents(maxEventsPerIteration - len(events))
	l.endOverdue()
	if !l.halted {
		l.controller.Decide(l.sinceStart())
	}
	l.commit()
	if l.requestedHandover != nil {
		l.completeHandover()
	}
}

// drainEvents handles queued events, up to a maximum number.
func (l *Loop) drainEvents(limit int) {
	for range limit {
		select {
		case e := <-l.events:
			l.now = l.clock() // an event that arrived during the iteration gets a current time
			e.apply(l)
		default:
			return
		}
	}
}

// commit makes the results of an iteration take effect. The log is written first: no client is answered, no attempt
// leaves and no report is sent before the record of it is written.
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
		l.reportOverdue() // the other reports wait until their records are durable
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

// logIteration adds the iteration's messages and calls to the log, and returns the calls that have to wait.
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
	// When messages are split over several calls because of their size, there are more calls in flight than the
	// controller knows of. The surplus calls wait until another call has ended.
	free := max(0, l.settings.MaxInFlight-l.callsInFlight-l.remote.calls())
	waiting = l.readyCalls[min(len(l.readyCalls), free):]
	l.readyCalls = l.readyCalls[:len(l.readyCalls)-len(waiting)]
	for _, c := range l.readyCalls {
		l.logCall(c)
	}
	return waiting
}

// rollBack undoes the results of an iteration that could not be written to the log.
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

// scheduleWALRetry schedules an iteration that retries writing the log.
func (l *Loop) scheduleWALRetry() {
	if l.walRetryPending {
		return
	}
	l.walRetryPending = true
	l.runAfter(walRetryInterval, func() { l.walRetryPending = false })
}
