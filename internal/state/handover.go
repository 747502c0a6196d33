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
	l.Post(inspect(func() { answer <- l.heir == nil && !l.journal.dirty }))
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

// giveWay is asked for in a round, and done at its end.
func (l *Loop) giveWay(g HandOver) {
	l.leaving = &g
	l.stopped, l.halted = true, true
	for _, c := range l.ready { // waited for a slot: they never left
		l.unsend(c, control.ConnectFailed)
	}
	l.ready = nil
	// What still waits for its connection goes by the next process, which hears of drains and told waits.
	l.withhold(func(Target) bool { return true })
}

// leave ends the loop's ownership of the journal at the end of a round.
func (l *Loop) leave() {
	if len(l.backlog) > 0 {
		return // what came of calls that never left is still to be entered
	}
	g := l.leaving
	l.leaving = nil
	e := HandoverState{At: l.now, Stamp: l.journal.base.stampOf(l.now), Version: l.group.version, Routes: map[string]control.RouteState{}}
	if !l.certain.first.IsZero() {
		e.UncertainFor = max(1, l.now.Sub(l.certain.first))
	}
	for _, r := range l.ctl.RouteStates(l.since()) {
		if t := l.group.byNum[r.Endpoint]; t != nil {
			e.Routes[t.ID] = r
			e.Targets = append(e.Targets, *t)
		}
	}
	n := 0
	for c := range l.out {
		if !c.launched { // its client was not answered in time: it never leaves
			delete(l.out, c)
			continue
		}
		n++
		for _, f := range c.Attempts {
			if !f.ended && l.table.entries[f.num] != nil {
				e.InFlight = append(e.InFlight, RemoteAttempt{f.num, f.attempt, n})
			}
		}
	}
	for a, call := range l.abroad { // of a process before this one: passed on when it is told
		e.InFlight = append(e.InFlight, RemoteAttempt{a.num, a.attempt, n + 1 + call})
	}
	err := l.journal.close()
	if l.journal.dirty {
		err = errors.Join(errDirty, err)
	}
	l.heir = g.Successor
	g.Done <- HandOverResult{e, err}
	if len(l.out)+len(l.abroad) == 0 {
		l.heir.RemoteResult(RemoteResult{}, true)
	}
}

// pass is all that a loop still does once it has given way.
func (l *Loop) pass(event Event) {
	switch e := event.(type) {
	case CallEnded:
		for _, end := range e.Results {
			f := end.Attempt
			if f.ended {
				continue
			}
			f.ended = true
			if l.out[e.Call]--; l.out[e.Call] <= 0 {
				delete(l.out, e.Call)
			}
			l.heir.RemoteResult(RemoteResult{
				Message: f.num, Attempt: f.attempt, Target: e.Call.Target.ID, Result: end.Result, Elapsed: end.Elapsed, RetryAfter: end.RetryAfter,
				Final: end.Final,
			}, len(l.out)+len(l.abroad) == 0)
		}
	case RemoteResult:
		if a := (abroad{e.Message, e.Attempt}); l.isAbroad(a) {
			delete(l.abroad, a)
			l.heir.RemoteResult(e, len(l.out)+len(l.abroad) == 0)
		}
	case PredecessorLost:
		l.abroad = nil
		if len(l.out) == 0 {
			l.heir.RemoteResult(RemoteResult{}, true)
		}
	case Submitted:
		e.Response <- Response{RetryAfter: l.pause(leavePause)}
	case UpdateSettings:
		e.Done <- SettingsResult{Err: errGiven}
	case HandOver:
		e.Done <- HandOverResult{Err: errGiven}
	case inspect:
		e()
	}
}

// abroad names a forward out at another process.
type abroad struct {
	num     control.MessageID
	attempt int
}

// estateAt is when an estate was told. Its wall time does not outlast a step of the clock.
func (l *Loop) estateAt(e *HandoverState) time.Time {
	if e.Stamp == 0 {
		return e.At
	}
	return l.journal.base.timeOf(e.Stamp)
}

// inherit takes up what the process before this one has told, before the loop's first round.
func (l *Loop) inherit(e *HandoverState) {
	l.abroad = map[abroad]int{}
	for _, a := range e.InFlight {
		if x := l.table.entries[a.Message]; x != nil && x.notice == nil {
			l.abroad[abroad{a.Message, a.Attempt}] = a.Call
			x.abroad++
		}
	}
	l.backlog = append(l.backlog, ListUpdate{Kind: control.ListCached, Version: e.Version, Targets: e.Targets}, inspect(func() {
		since := max(0, l.now.Sub(l.estateAt(e)))
		if e.UncertainFor > 0 {
			l.certain.doubt(l.now.Add(-since - e.UncertainFor))
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
		l.ctl.RestoreRoutes(l.since(), list)
		l.ctl.SetRemoteInFlight(l.since(), l.abroadCalls())
	}))
}

func (l *Loop) isAbroad(a abroad) bool {
	_, is := l.abroad[a]
	return is
}

// abroadCalls is how many slots the calls of another process still take.
func (l *Loop) abroadCalls() int {
	calls := map[int]bool{}
	for _, call := range l.abroad {
		calls[call] = true
	}
	return len(calls)
}

// returned enters what came of a forward abroad, as book does for those of its own.
func (l *Loop) returned(r RemoteResult) {
	a := abroad{r.Message, r.Attempt}
	if !l.isAbroad(a) {
		return
	}
	delete(l.abroad, a)
	l.ctl.SetRemoteInFlight(l.since(), l.abroadCalls())
	if t := l.group.byID[r.Target]; t != nil {
		l.ctl.RemoteOutcome(l.since(), control.Outcome{Endpoint: t.Endpoint.ID, Result: r.Result, RetryAfter: r.RetryAfter}, r.Elapsed)
		if r.RetryAfter > 0 {
			l.waited(*t)
		}
	}
	e := l.table.entries[r.Message]
	if e == nil {
		return
	}
	l.known(e, r)
	if !r.Result.MayHaveRun() {
		e.spare(r.Attempt)
		l.journal.add(sparedRecord(e.num, r.Attempt))
	}
	e.abroad--
	switch {
	case r.Final:
		if r.Result == control.Served && e.notice == nil {
			l.counters.delivered.Add(1)
		}
		switch {
		case e.seq > 0 && e.notice == nil:
			l.resent(e, r.Result)
		case e.notice == nil || e.parting == nil:
			l.over(e)
		}
	case e.abroad == 0 && e.notice == nil:
		l.hand(e, true)
	}
}

// lost takes what is still abroad for what may have run.
func (l *Loop) lost() {
	clear(l.abroad)
	l.ctl.SetRemoteInFlight(l.since(), 0)
	for _, e := range l.table.ordered() {
		if e.abroad > 0 {
			e.abroad = 0
			if e.notice == nil {
				l.hand(e, true)
			}
		}
	}
}
