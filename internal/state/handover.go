package state

import (
	"errors"
	"time"

	"cleathold/control"
	"cleathold/internal/lease"
)

// Hand-over: one process of a sender passes all to the next while both run. The predecessor lets go of the log and
// tells what it has in flight; from then on it only passes on the results of those attempts. The successor takes the
// log up. To it a message with an attempt in flight at the predecessor is remote: it is not given to the controller
// before the attempt's result is known, or the predecessor is lost, which leaves it as one that may have run.

// The errors of a hand-over.
var (
	// ErrHandedOver tells that another process has taken over.
	ErrHandedOver = errors.New("another process has taken over")
	// ErrLogIncomplete tells that the log lacks something that the loop knows.
	ErrLogIncomplete = errors.New("the journal can't be written")
)

// HandoverState is what a process that hands over tells the next.
type HandoverState struct {
	At       time.Time                     `json:"At"`
	Stamp    int64                         `json:"Stamp"` // At by the log's time base; 0 = of a program without
	Version  int64                         `json:"Version"`
	Targets  []Target                      `json:"Targets"`
	Routes   map[string]control.RouteState `json:"Known"` // by the ids of targets
	InFlight []RemoteAttempt               `json:"Out"`
	Drained  bool                          `json:"Drained"` // clients are sent away, by the operator
	Lease    lease.Holder                  `json:"Lease"`

	// UncertainFor is for how long the list has been uncertain; 0 = it is not. See listCertainty.
	UncertainFor time.Duration `json:"Uncertain"`
}

// RemoteAttempt is an attempt that another process has in flight.
type RemoteAttempt struct {
	Message control.MessageID `json:"Num"`
	Attempt int               `json:"Attempt"`
	Call    int               `json:"Call"` // attempts of one call count as one call in flight
}

// RemoteResult is how such an attempt ended.
type RemoteResult struct {
	Message    control.MessageID `json:"Num"`
	Attempt    int               `json:"Attempt"`
	Target     string            `json:"Target"`
	Result     control.Result    `json:"Result"`
	Elapsed    time.Duration     `json:"Took"`
	RetryAfter time.Duration     `json:"Wait"`
	Final      bool              `json:"Finished"`
}

func (r RemoteResult) apply(l *Loop) { l.remoteResult(r) }

// PredecessorLost tells that the other process has ended: what it had in flight may have run.
type PredecessorLost struct{}

func (PredecessorLost) apply(l *Loop) { l.predecessorLost() }

// HandOver has the loop let go of everything for a successor. The state is handed over once the log is closed. From
// then on the loop serves nobody but the successor.
type HandOver struct {
	Successor Successor
	Done      chan<- HandOverResult // takes one without blocking
}

// The hand-over itself follows at the end of the iteration.
func (h HandOver) apply(l *Loop) {
	l.handOver = &h
	l.stopped, l.halted = true, true
	for _, c := range l.readyCalls { // waited for a call to end: they never left
		l.endUnsent(c, control.ConnectFailed)
	}
	l.readyCalls = nil
	// What still waits for its connection goes by the next process, which hears of drains and Retry-After.
	l.withholdAll()
}

// HandOverResult answers HandOver. Err is ErrHandedOver, ErrLogIncomplete or one of closing the log.
type HandOverResult struct {
	State HandoverState
	Err   error
}

// LogIntact tells whether the log holds all that the loop knows; only then may it hand over.
func (l *Loop) LogIntact() bool {
	answer := make(chan bool, 1)
	l.Post(inspect(func() { answer <- l.successor == nil && !l.wal.Incomplete() }))
	select {
	case intact := <-answer:
		return intact
	case <-l.finished:
		return false
	}
}

// completeHandOver ends the loop's ownership of the log at the end of an iteration.
func (l *Loop) completeHandOver() {
	if len(l.backlog) > 0 {
		return // results of calls that never left are still to be entered
	}
	h := l.handOver
	l.handOver = nil
	state := l.handoverState()
	err := l.wal.Close()
	if l.wal.Incomplete() {
		err = errors.Join(ErrLogIncomplete, err)
	}
	l.successor = h.Successor
	h.Done <- HandOverResult{state, err}
	if l.nothingInFlight() {
		l.successor.RemoteResult(RemoteResult{}, true)
	}
}

// handoverState is the state for the successor.
func (l *Loop) handoverState() HandoverState {
	s := HandoverState{
		At: l.now, Stamp: l.wal.Times().Stamp(l.now), Version: l.group.Version(), Routes: map[string]control.RouteState{},
	}
	if !l.certainty.since.IsZero() {
		s.UncertainFor = max(1, l.now.Sub(l.certainty.since))
	}
	for _, r := range l.controller.RouteStates(l.sinceStart()) {
		if t := l.group.ByNumber(r.Endpoint); t != nil {
			s.Routes[t.ID] = r
			s.Targets = append(s.Targets, *t)
		}
	}
	call := 0
	for _, c := range l.inFlightInOrder(anyTarget) {
		if !c.launched { // its client was not answered in time: it never leaves
			delete(l.inFlight, c)
			continue
		}
		call++
		for _, a := range c.Attempts {
			if !a.ended && l.table.entries[a.num] != nil {
				s.InFlight = append(s.InFlight, RemoteAttempt{a.num, a.attempt, call})
			}
		}
	}
	for key, remoteCall := range l.remote { // of a process before this one: passed on when they are known
		s.InFlight = append(s.InFlight, RemoteAttempt{key.num, key.attempt, call + 1 + remoteCall})
	}
	return s
}

// nothingInFlight tells whether neither this process nor the one before it waits for a call.
func (l *Loop) nothingInFlight() bool { return len(l.inFlight)+len(l.remote) == 0 }

// handleAfterHandOver is all that a loop still does with an event once it has handed over.
func (l *Loop) handleAfterHandOver(event Event) {
	switch e := event.(type) {
	case CallEnded:
		l.forwardResults(e)
	case RemoteResult:
		if l.remote.remove(remoteAttemptKey{e.Message, e.Attempt}) {
			l.successor.RemoteResult(e, l.nothingInFlight())
		}
	case PredecessorLost:
		l.remote = nil
		if len(l.inFlight) == 0 {
			l.successor.RemoteResult(RemoteResult{}, true)
		}
	case Submitted:
		e.Response <- Response{RetryAfter: l.clientRetryAfter(stoppingRetryAfter)}
	case UpdateSettings:
		e.Done <- SettingsResult{Err: ErrHandedOver}
	case HandOver:
		e.Done <- HandOverResult{Err: ErrHandedOver}
	case inspect:
		e()
	}
}

// forwardResults tells the successor how attempts of this process ended.
func (l *Loop) forwardResults(ended CallEnded) {
	for _, r := range ended.Results {
		a := r.Attempt
		if a.ended {
			continue
		}
		a.ended = true
		if l.inFlight[ended.Call]--; l.inFlight[ended.Call] <= 0 {
			delete(l.inFlight, ended.Call)
		}
		l.successor.RemoteResult(RemoteResult{
			Message: a.num, Attempt: a.attempt, Target: ended.Call.Target.ID, Result: r.Result, Elapsed: r.Elapsed,
			RetryAfter: r.RetryAfter, Final: r.Final,
		}, l.nothingInFlight())
	}
}

// handoverTime is when a state was made. Its wall time does not outlast a step of the clock.
func (l *Loop) handoverTime(s *HandoverState) time.Time {
	if s.Stamp == 0 {
		return s.At
	}
	return l.wal.Times().Time(s.Stamp)
}

// restoreHandover takes up the state of the process before this one, before the loop's first iteration.
func (l *Loop) restoreHandover(s *HandoverState) {
	l.remote = remoteAttempts{}
	for _, a := range s.InFlight {
		if e := l.table.entries[a.Message]; e != nil && e.report == nil {
			l.remote[remoteAttemptKey{a.Message, a.Attempt}] = a.Call
			e.remoteInFlight++
		}
	}
	list := ListUpdate{Kind: control.ListCached, Version: s.Version, Targets: s.Targets}
	l.backlog = append(l.backlog, list, inspect(func() { l.restoreRoutes(s) }))
}

// restoreRoutes gives the controller what the process before this one knew of routes, once the endpoints are listed.
func (l *Loop) restoreRoutes(s *HandoverState) {
	elapsed := max(0, l.now.Sub(l.handoverTime(s)))
	if s.UncertainFor > 0 {
		l.certainty.markUncertain(l.now.Add(-elapsed - s.UncertainFor))
		l.reviewList()
	}
	var list []control.RouteState
	for id, r := range s.Routes {
		t := l.group.ByID(id)
		if t == nil {
			continue
		}
		r.Endpoint = t.Endpoint.ID
		r.RetryAfter, r.NextTrial = max(0, r.RetryAfter-elapsed), max(0, r.NextTrial-elapsed)
		r.FailingFor, r.RecoveredFor = r.FailingFor+elapsed, r.RecoveredFor+elapsed
		list = append(list, r)
	}
	l.controller.RestoreRoutes(l.sinceStart(), list)
	l.controller.SetRemoteInFlight(l.sinceStart(), l.remote.calls())
}

// remoteResult enters how a remote attempt ended, as attemptEnded does for those of this process.
func (l *Loop) remoteResult(r RemoteResult) {
	if !l.remote.remove(remoteAttemptKey{r.Message, r.Attempt}) {
		return
	}
	l.controller.SetRemoteInFlight(l.sinceStart(), l.remote.calls())
	if t := l.group.ByID(r.Target); t != nil {
		outcome := control.Outcome{Endpoint: t.Endpoint.ID, Result: r.Result, RetryAfter: r.RetryAfter}
		l.controller.RemoteOutcome(l.sinceStart(), outcome, r.Elapsed)
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
		l.wal.AddNotRun(e.num, r.Attempt)
	}
	e.remoteInFlight--
	switch {
	case r.Final:
		l.finalResult(e, r.Result)
	case e.remoteInFlight == 0 && e.report == nil:
		l.submitToController(e, true)
	}
}

// recordRemoteResult enters how a remote attempt ended into the message's history.
func (l *Loop) recordRemoteResult(e *entry, r RemoteResult) {
	if l.deadLetterQueue == nil {
		return
	}
	for _, a := range e.mayHaveRun {
		if a.Index == r.Attempt {
			l.recordAttempt(e, a)
		}
	}
	e.recordResult(r.Attempt, r.Result)
	e.unprocessable = e.unprocessable || r.Result == control.Unprocessable
	l.deadLetterQueue.CallEnded(e.Destination, r.Result, r.RetryAfter, e.deadLetterSeq > 0)
}

// predecessorLost takes the attempts that are still remote for such as may have run.
func (l *Loop) predecessorLost() {
	clear(l.remote)
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
