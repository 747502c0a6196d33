package state

import (
	"errors"
	"time"

	"cleathold/control"
	"cleathold/internal/lease"
)

// Hand-over: one process of a sender gives way to the next while both run. The one that leaves lets go of the
// journal and tells what it has out; from then on it only passes on what comes of those forwards. The one that
// comes takes the journal up. To it a message with a forward out at the other is abroad: it is not given to the
// controller before what came of the forward is known, or the other process is lost, which leaves it as one that
// may have run.

// HandoverState is what a process that leaves tells the next.
type HandoverState struct {
	At       time.Time                     `json:"At"`
	Stamp    int64                         `json:"Stamp"` // the same by the time base of the journal; 0 = from a program that had none
	Version  int64                         `json:"Version"`
	Targets  []Target                      `json:"Targets"`
	Routes   map[string]control.RouteState `json:"Known"` // by the ids of targets
	InFlight []RemoteAttempt               `json:"Out"`
	Drained  bool                          `json:"Drained"` // clients are sent away, by hand
	Lease    lease.Holder                  `json:"Lease"`

	// UncertainFor is for how long the list has been uncertain; 0 = it is not. See certainty.
	UncertainFor time.Duration `json:"Uncertain"`
}

// RemoteAttempt is a forward that another process has out.
type RemoteAttempt struct {
	Message control.MessageID `json:"Num"`
	Attempt int               `json:"Attempt"`
	Call    int               `json:"Call"` // forwards of one call take one slot
}

// RemoteResult is what came of such a forward.
type RemoteResult struct {
	Message    control.MessageID `json:"Num"`
	Attempt    int               `json:"Attempt"`
	Target     string            `json:"Target"`
	Result     control.Result    `json:"Result"`
	Elapsed    time.Duration     `json:"Took"`
	RetryAfter time.Duration     `json:"Wait"`
	Final      bool              `json:"Finished"`
}

// PredecessorLost tells that the other process has ended: what it had out may have run.
type PredecessorLost struct{}

// Successor is the process that comes after this one, to one that has given way.
type Successor interface {
	// RemoteResult tells what came of a forward; none more is out after the last.
	RemoteResult(r RemoteResult, last bool)
}

// HandOver has the loop let go of everything for an heir. The estate is told once the journal is closed. From then
// on the loop serves nobody but the heir.
type HandOver struct {
	Successor Successor
	Done      chan<- HandOverResult // takes one without blocking
}

// JournalIntact tells whether the journal holds all that the loop knows; only then may it give way.
func (l *Loop) JournalIntact() bool {
	answer := make(chan bool, 1)
	l.Post(inspect(func() { answer <- l.successor == nil && !l.wal.incomplete }))
	select {
	case sound := <-answer:
		return sound
	case <-l.finished:
		return false
	}
}

// HandOverResult answers GiveWay.
type HandOverResult struct {
	State HandoverState
	Err   error
}

// beginHandOver is asked for in a round, and done at its end.
func (l *Loop) beginHandOver(g HandOver) {
	l.handOver = &g
	l.stopped, l.halted = true, true
	for _, c := range l.readyCalls { // waited for a slot: they never left
		l.endUnsent(c, control.ConnectFailed)
	}
	l.readyCalls = nil
	// What still waits for its connection goes by the next process, which hears of drains and told waits.
	l.withhold(func(Target) bool { return true })
}

// completeHandOver ends the loop's ownership of the journal at the end of a round.
func (l *Loop) completeHandOver() {
	if len(l.backlog) > 0 {
		return // what came of calls that never left is still to be entered
	}
	g := l.handOver
	l.handOver = nil
	e := HandoverState{At: l.now, Stamp: l.wal.times.stampOf(l.now), Version: l.group.version, Routes: map[string]control.RouteState{}}
	if !l.certainty.since.IsZero() {
		e.UncertainFor = max(1, l.now.Sub(l.certainty.since))
	}
	for _, r := range l.controller.RouteStates(l.sinceStart()) {
		if t := l.group.byNumber[r.Endpoint]; t != nil {
			e.Routes[t.ID] = r
			e.Targets = append(e.Targets, *t)
		}
	}
	n := 0
	for c := range l.inFlight {
		if !c.launched { // its client was not answered in time: it never leaves
			delete(l.inFlight, c)
			continue
		}
		n++
		for _, f := range c.Attempts {
			if !f.ended && l.table.entries[f.num] != nil {
				e.InFlight = append(e.InFlight, RemoteAttempt{f.num, f.attempt, n})
			}
		}
	}
	for a, call := range l.remoteInFlight { // of a process before this one: passed on when it is told
		e.InFlight = append(e.InFlight, RemoteAttempt{a.num, a.attempt, n + 1 + call})
	}
	err := l.wal.close()
	if l.wal.incomplete {
		err = errors.Join(errLogIncomplete, err)
	}
	l.successor = g.Successor
	g.Done <- HandOverResult{e, err}
	if len(l.inFlight)+len(l.remoteInFlight) == 0 {
		l.successor.RemoteResult(RemoteResult{}, true)
	}
}

// handleHandedOver is all that a loop still does once it has given way.
func (l *Loop) handleHandedOver(event Event) {
	switch e := event.(type) {
	case CallEnded:
		for _, end := range e.Results {
			f := end.Attempt
			if f.ended {
				continue
			}
			f.ended = true
			if l.inFlight[e.Call]--; l.inFlight[e.Call] <= 0 {
				delete(l.inFlight, e.Call)
			}
			l.successor.RemoteResult(RemoteResult{
				Message: f.num, Attempt: f.attempt, Target: e.Call.Target.ID, Result: end.Result, Elapsed: end.Elapsed, RetryAfter: end.RetryAfter,
				Final: end.Final,
			}, len(l.inFlight)+len(l.remoteInFlight) == 0)
		}
	case RemoteResult:
		if a := (remoteAttemptKey{e.Message, e.Attempt}); l.isRemoteInFlight(a) {
			delete(l.remoteInFlight, a)
			l.successor.RemoteResult(e, len(l.inFlight)+len(l.remoteInFlight) == 0)
		}
	case PredecessorLost:
		l.remoteInFlight = nil
		if len(l.inFlight) == 0 {
			l.successor.RemoteResult(RemoteResult{}, true)
		}
	case Submitted:
		e.Response <- Response{RetryAfter: l.clientRetryAfter(stoppingRetryAfter)}
	case UpdateSettings:
		e.Done <- SettingsResult{Err: errHandedOver}
	case HandOver:
		e.Done <- HandOverResult{Err: errHandedOver}
	case inspect:
		e()
	}
}

// remoteAttemptKey names a forward out at another process.
type remoteAttemptKey struct {
	num     control.MessageID
	attempt int
}

// handoverTime is when an estate was told. Its wall time does not outlast a step of the clock.
func (l *Loop) handoverTime(e *HandoverState) time.Time {
	if e.Stamp == 0 {
		return e.At
	}
	return l.wal.times.timeOf(e.Stamp)
}

// restoreHandover takes up what the process before this one has told, before the loop's first round.
func (l *Loop) restoreHandover(e *HandoverState) {
	l.remoteInFlight = map[remoteAttemptKey]int{}
	for _, a := range e.InFlight {
		if x := l.table.entries[a.Message]; x != nil && x.report == nil {
			l.remoteInFlight[remoteAttemptKey{a.Message, a.Attempt}] = a.Call
			x.remoteInFlight++
		}
	}
	l.backlog = append(l.backlog, ListUpdate{Kind: control.ListCached, Version: e.Version, Targets: e.Targets}, inspect(func() {
		since := max(0, l.now.Sub(l.handoverTime(e)))
		if e.UncertainFor > 0 {
			l.certainty.markUncertain(l.now.Add(-since - e.UncertainFor))
			l.reviewList()
		}
		var list []control.RouteState
		for id, r := range e.Routes {
			t := l.group.byID[id]
			if t == nil {
				continue
			}
			r.Endpoint = t.Endpoint.ID
			r.RetryAfter, r.NextTrial = max(0, r.RetryAfter-since), max(0, r.NextTrial-since)
			r.FailingFor, r.RecoveredFor = r.FailingFor+since, r.RecoveredFor+since
			list = append(list, r)
		}
		l.controller.RestoreRoutes(l.sinceStart(), list)
		l.controller.SetRemoteInFlight(l.sinceStart(), l.remoteCalls())
	}))
}

func (l *Loop) isRemoteInFlight(a remoteAttemptKey) bool {
	_, is := l.remoteInFlight[a]
	return is
}

// remoteCalls is how many slots the calls of another process still take.
func (l *Loop) remoteCalls() int {
	calls := map[int]bool{}
	for _, call := range l.remoteInFlight {
		calls[call] = true
	}
	return len(calls)
}

// remoteResult enters what came of a forward abroad, as book does for those of its own.
func (l *Loop) remoteResult(r RemoteResult) {
	a := remoteAttemptKey{r.Message, r.Attempt}
	if !l.isRemoteInFlight(a) {
		return
	}
	delete(l.remoteInFlight, a)
	l.controller.SetRemoteInFlight(l.sinceStart(), l.remoteCalls())
	if t := l.group.byID[r.Target]; t != nil {
		l.controller.RemoteOutcome(l.sinceStart(), control.Outcome{Endpoint: t.Endpoint.ID, Result: r.Result, RetryAfter: r.RetryAfter}, r.Elapsed)
		if r.RetryAfter > 0 {
			l.withholdForRetryAfter(*t)
		}
	}
	e := l.table.entries[r.Message]
	if e == nil {
		return
	}
	l.recordRemoteResult(e, r)
	if !r.Result.MayHaveRun() {
		e.markNotRun(r.Attempt)
		l.wal.add(notRunRecord(e.num, r.Attempt))
	}
	e.remoteInFlight--
	switch {
	case r.Final:
		if r.Result == control.Served && e.report == nil {
			l.counters.delivered.Add(1)
		}
		switch {
		case e.deadLetterSeq > 0 && e.report == nil:
			l.endRedelivery(e, r.Result)
		case e.report == nil || e.deadLetter == nil:
			l.forget(e)
		}
	case e.remoteInFlight == 0 && e.report == nil:
		l.submitToController(e, true)
	}
}

// predecessorLost takes what is still abroad for what may have run.
func (l *Loop) predecessorLost() {
	clear(l.remoteInFlight)
	l.controller.SetRemoteInFlight(l.sinceStart(), 0)
	for _, e := range l.table.ordered() {
		if e.remoteInFlight > 0 {
			e.remoteInFlight = 0
			if e.report == nil {
				l.submitToController(e, true)
			}
		}
	}
}
