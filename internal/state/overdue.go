package state

import (
	"slices"
	"time"
)

// A message ends by its deadline in one of several ways: by the result of its attempt, which has a timeout, or by the
// controller while it waits. Some states belong to neither: a call that was planned and has not left, and an attempt of
// another process whose result doesn't arrive. The loop ends a message in any state soon after its deadline, so that its
// report is in time (PROTOCOL: 300 ms after the deadline).
const (
	// overdueDelay is how long after its deadline a message is ended by the loop. The results of attempts that time out
	// at the deadline arrive before.
	overdueDelay = 100 * time.Millisecond
	// overdueCheckInterval is the minimum time between two checks for overdue messages.
	overdueCheckInterval = 20 * time.Millisecond
)

// endOverdue ends the messages whose deadlines have passed.
func (l *Loop) endOverdue() {
	if l.now.Sub(l.overdueCheckedAt) < overdueCheckInterval {
		return
	}
	l.overdueCheckedAt = l.now
	limit := l.now.Add(-overdueDelay)
	isOverdue := func(e *entry) bool { return e.report == nil && e.Deadline.Before(limit) }
	var overdue []*entry
	for _, e := range l.table.entries {
		if isOverdue(e) {
			overdue = append(overdue, e)
		}
	}
	slices.SortFunc(overdue, byMessageNumber)
	for _, e := range overdue {
		l.endOverdueMessage(e)
	}
}

// endOverdueMessage ends one message, whatever state it is in. Attempts of it that have not left will be withheld.
func (l *Loop) endOverdueMessage(e *entry) {
	l.log.Warn("message ended after its deadline", "message", e.ID, "late", l.now.Sub(e.Deadline).Round(time.Millisecond),
		"in_flight", e.inFlight, "remote", e.remoteInFlight, "unanswered", !e.responded)
	l.controller.Abandon(l.sinceStart(), e.num)
	mayHaveRun := len(e.mayHaveRun) > 0 || e.remoteInFlight > 0
	l.endMessage(e.num, DeliveryReport{Deferred: !mayHaveRun})
	l.releaseCall(e)
	l.releaseRemote(e)
}

// releaseRemote gives up the attempts of a message that another process has in flight. They have timed out there, and
// must not count as calls in flight until that process answers or ends.
func (l *Loop) releaseRemote(e *entry) {
	if e.remoteInFlight == 0 {
		return
	}
	e.remoteInFlight = 0
	for _, key := range l.remote.ordered() {
		if key.num == e.num {
			l.remote.remove(key)
		}
	}
	l.controller.SetRemoteInFlight(l.sinceStart(), l.remote.calls())
}

// wakeForRemote schedules an iteration for the time at which a message of another process is overdue. The controller,
// whose timer wakes the loop otherwise, doesn't have it.
func (l *Loop) wakeForRemote(e *entry) {
	due := e.Deadline.Add(overdueDelay + overdueCheckInterval).Sub(l.clock())
	l.runAfter(due, func() {})
}
