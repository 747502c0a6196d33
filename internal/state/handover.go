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

// Estate is what a process that leaves tells the next.
type Estate struct {
	At      time.Time                       `json:"At"`
	Stamp   int64                           `json:"Stamp"` // the same by the time base of the journal; 0 = from a program that had none
	Version int64                           `json:"Version"`
	Targets []Target                        `json:"Targets"`
	Known   map[string]control.Recollection `json:"Known"` // by the ids of targets
	Out     []Abroad                        `json:"Out"`
	Drained bool                            `json:"Drained"` // clients are sent away, by hand
	Lease   lease.Book                      `json:"Lease"`

	// Uncertain is for how long the list has been uncertain; 0 = it is not. See certainty.
	Uncertain time.Duration `json:"Uncertain"`
}

// Abroad is a forward that another process has out.
type Abroad struct {
	Num     control.MessageID `json:"Num"`
	Attempt int               `json:"Attempt"`
	Call    int               `json:"Call"` // forwards of one call take one slot
}

// Returned is what came of such a forward.
type Returned struct {
	Num      control.MessageID `json:"Num"`
	Attempt  int               `json:"Attempt"`
	Target   string            `json:"Target"`
	Result   control.Result    `json:"Result"`
	Took     time.Duration     `json:"Took"`
	Wait     time.Duration     `json:"Wait"`
	Finished bool              `json:"Finished"`
}

// Lost tells that the other process has ended: what it had out may have run.
type Lost struct{}

// Heir is the process that comes after this one, to one that has given way.
type Heir interface {
	// Returned tells what came of a forward; none more is out after the last.
	Returned(r Returned, last bool)
}

// GiveWay has the loop let go of everything for an heir. The estate is told once the journal is closed. From then
// on the loop serves nobody but the heir.
type GiveWay struct {
	Heir Heir
	Done chan<- Given // takes one without blocking
}

// Sound tells whether the journal holds all that the loop knows; only then may it give way.
func (l *Loop) Sound() bool {
	answer := make(chan bool, 1)
	l.Post(inspect(func() { answer <- l.heir == nil && !l.journal.dirty }))
	select {
	case sound := <-answer:
		return sound
	case <-l.finished:
		return false
	}
}

// Given answers GiveWay.
type Given struct {
	Estate Estate
	Err    error
}

// giveWay is asked for in a round, and done at its end.
func (l *Loop) giveWay(g GiveWay) {
	l.leaving = &g
	l.stopped, l.halted = true, true
	for _, c := range l.ready { // waited for a slot: they never left
		l.unsend(c, control.NoConnection)
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
	e := Estate{At: l.now, Stamp: l.journal.base.stampOf(l.now), Version: l.group.version, Known: map[string]control.Recollection{}}
	if !l.certain.first.IsZero() {
		e.Uncertain = max(1, l.now.Sub(l.certain.first))
	}
	for _, r := range l.ctl.Recall(l.since()) {
		if t := l.group.byNum[r.Endpoint]; t != nil {
			e.Known[t.ID] = r
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
		for _, f := range c.Forwards {
			if !f.ended && l.table.entries[f.num] != nil {
				e.Out = append(e.Out, Abroad{f.num, f.attempt, n})
			}
		}
	}
	for a, call := range l.abroad { // of a process before this one: passed on when it is told
		e.Out = append(e.Out, Abroad{a.num, a.attempt, n + 1 + call})
	}
	err := l.journal.close()
	if l.journal.dirty {
		err = errors.Join(errDirty, err)
	}
	l.heir = g.Heir
	g.Done <- Given{e, err}
	if len(l.out)+len(l.abroad) == 0 {
		l.heir.Returned(Returned{}, true)
	}
}

// pass is all that a loop still does once it has given way.
func (l *Loop) pass(event any) {
	switch e := event.(type) {
	case Ended:
		for _, end := range e.Ends {
			f := end.Forward
			if f.ended {
				continue
			}
			f.ended = true
			if l.out[e.Call]--; l.out[e.Call] <= 0 {
				delete(l.out, e.Call)
			}
			l.heir.Returned(Returned{
				Num: f.num, Attempt: f.attempt, Target: e.Call.Target.ID, Result: end.Result, Took: end.Took, Wait: end.Wait,
				Finished: end.Finished,
			}, len(l.out)+len(l.abroad) == 0)
		}
	case Returned:
		if a := (abroad{e.Num, e.Attempt}); l.isAbroad(a) {
			delete(l.abroad, a)
			l.heir.Returned(e, len(l.out)+len(l.abroad) == 0)
		}
	case Lost:
		l.abroad = nil
		if len(l.out) == 0 {
			l.heir.Returned(Returned{}, true)
		}
	case Handed:
		e.Verdict <- Verdict{Again: l.pause(leavePause)}
	case Retune:
		e.Done <- Retuned{Err: errGiven}
	case GiveWay:
		e.Done <- Given{Err: errGiven}
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
func (l *Loop) estateAt(e *Estate) time.Time {
	if e.Stamp == 0 {
		return e.At
	}
	return l.journal.base.timeOf(e.Stamp)
}

// inherit takes up what the process before this one has told, before the loop's first round.
func (l *Loop) inherit(e *Estate) {
	l.abroad = map[abroad]int{}
	for _, a := range e.Out {
		if x := l.table.entries[a.Num]; x != nil && x.notice == nil {
			l.abroad[abroad{a.Num, a.Attempt}] = a.Call
			x.abroad++
		}
	}
	l.backlog = append(l.backlog, News{Form: control.ListCached, Version: e.Version, Targets: e.Targets}, inspect(func() {
		since := max(0, l.now.Sub(l.estateAt(e)))
		if e.Uncertain > 0 {
			l.certain.doubt(l.now.Add(-since - e.Uncertain))
			l.reviewList()
		}
		var list []control.Recollection
		for id, r := range e.Known {
			t := l.group.byID[id]
			if t == nil {
				continue
			}
			r.Endpoint = t.Endpoint.ID
			r.Wait, r.Retry = max(0, r.Wait-since), max(0, r.Retry-since)
			r.Since, r.Back = r.Since+since, r.Back+since
			list = append(list, r)
		}
		l.ctl.Remember(l.since(), list)
		l.ctl.Abroad(l.since(), l.abroadCalls())
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
func (l *Loop) returned(r Returned) {
	a := abroad{r.Num, r.Attempt}
	if !l.isAbroad(a) {
		return
	}
	delete(l.abroad, a)
	l.ctl.Abroad(l.since(), l.abroadCalls())
	if t := l.group.byID[r.Target]; t != nil {
		l.ctl.Saw(l.since(), control.Outcome{Endpoint: t.Endpoint.ID, Result: r.Result, Wait: r.Wait}, r.Took)
		if r.Wait > 0 {
			l.waited(*t)
		}
	}
	e := l.table.entries[r.Num]
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
	case r.Finished:
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
	l.ctl.Abroad(l.since(), 0)
	for _, e := range l.table.ordered() {
		if e.abroad > 0 {
			e.abroad = 0
			if e.notice == nil {
				l.hand(e, true)
			}
		}
	}
}
