package state

import (
	"errors"
	"time"

	"cleathold/control"
	"cleathold/internal/lease"
)

// Hand-over: one process of a sender transfers its state to the next while both run. The predecessor closes the log and
// lists its attempts in flight; from then on it only forwards the results of those attempts. The successor opens the
// log. For the successor, a message with an attempt in flight at the predecessor is remote: it is submitted to the
// controller only when the result of the attempt is known, or when the predecessor is lost. In the latter case the
// attempt counts as one that may have run.

// The errors of a hand-over.
var (
	// ErrHandedOver is the error of a request to a loop that has handed over to another process.
	ErrHandedOver = errors.New("another process has taken over")
	// ErrLogIncomplete is the error of a hand-over by a loop whose log lacks some of its state.
	ErrLogIncomplete = errors.New("the journal can't be written")
)

// HandoverState is the state that a predecessor passes to its successor.
type HandoverState struct {
	At       time.Time                     `json:"At"`
	Stamp    int64                         `json:"Stamp"` // At on the log's time base; 0 = written without one
	Version  int64                         `json:"Version"`
	Targets  []Target                      `json:"Targets"`
	Routes   map[string]control.RouteState `json:"Known"` // by target ID
	InFlight []RemoteAttempt               `json:"Out"`
	Drained  bool                          `json:"Drained"` // an operator has drained the sender of its clients
	Lease    lease.Holder                  `json:"Lease"`

	// UncertainFor is how long the endpoint list has been uncertain; 0 = it is certain. See listCertainty.
	UncertainFor time.Duration `json:"Uncertain"`

	// ListDoubt is sent beside the state (package handover); nil: the predecessor is of a version that doesn't send it.
	ListDoubt *ListDoubt `json:"-"`
}

// RemoteAttempt is an attempt that another process has in flight.
type RemoteAttempt struct {
	Message control.MessageID `json:"Num"`
	Attempt int               `json:"Attempt"`
	Call    int               `json:"Call"` // number of its call; the attempts of a call count as one call in flight
}

// RemoteResult is the result of a remote attempt.
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

// PredecessorLost is the event that the predecessor has ended: its attempts in flight may have run.
type PredecessorLost struct{}

func (PredecessorLost) apply(l *Loop) { l.predecessorLost() }

// Handover is the request to transfer the loop's state to a successor. The state is sent on Done after the log is
// closed. From then on the loop only forwards results to the successor.
type Handover struct {
	Successor Successor
	Done      chan<- HandoverResult // has room for one result, so that sending does not block
}

// apply stops and halts the loop. The hand-over itself is done at the end of the iteration.
func (h Handover) apply(l *Loop) {
	l.requestedHandover = &h
	l.stopped, l.halted = true, true
	for _, c := range l.readyCalls { // calls that waited for another call to end and never left
		l.endUnsent(c, control.ConnectFailed)
	}
	l.readyCalls = nil
	// Calls that still wait for their connections are left to the successor, which is notified of drains and of the
	// Retry-After of endpoints.
	l.withholdAll()
}

// HandoverResult is the result of Handover. Err is ErrHandedOver, ErrLogIncomplete or an error of closing the log.
type HandoverResult struct {
	State HandoverState
	Err   error
}

// LogIntact reports whether the log holds everything that the loop knows. Only then may the loop hand over.
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

// completeHandover ends the loop's ownership of the log at the end of an iteration.
func (l *Loop) completeHandover() {
	if len(l.backlog) > 0 {
		return // results of calls that never left have yet to be recorded
	}
	h := l.requestedHandover
	l.requestedHandover = nil
	state := l.handoverState()
	err := l.wal.Close()
	if l.wal.Incomplete() {
		err = errors.Join(ErrLogIncomplete, err)
	}
	l.successor = h.Successor
	h.Done <- HandoverResult{state, err}
	if l.nothingInFlight() {
		l.successor.RemoteResult(RemoteResult{}, true)
	}
}

// handoverState returns the state for the successor.
func (l *Loop) handoverState() HandoverState {
	s := HandoverState{
		At: l.now, Stamp: l.wal.TimeBase().Stamp(l.now), Version: l.listVersion(), Routes: map[string]control.RouteState{},
	}
	l.handOverListDoubt(&s)
	for _, r := range l.controller.RouteStates(l.sinceStart()) {
		if t := l.group.ByNumber(r.Endpoint); t != nil {
			s.Routes[t.ID] = r
			s.Targets = append(s.Targets, l.group.WithoutDoubt(*t))
		}
	}
	call := 0
	for _, c := range l.inFlightInOrder(anyTarget) {
		if !c.launched { // its client was not answered in time, so it never leaves
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
	for key, remoteCall := range l.remote { // attempts of an earlier process; their results are forwarded, too
		s.InFlight = append(s.InFlight, RemoteAttempt{key.num, key.attempt, call + 1 + remoteCall})
	}
	return s
}

// EndResponsibility is called after a hand-over, once another loop is responsible for the messages of this one.
func (l *Loop) EndResponsibility() { l.table.guard.clear() }

// nothingInFlight reports whether neither this process nor its predecessor has calls in flight.
func (l *Loop) nothingInFlight() bool { return len(l.inFlight)+len(l.remote) == 0 }

// handleAfterHandover handles an event after the loop has handed over. Events that it does not name are dropped.
func (l *Loop) handleAfterHandover(event Event) {
	switch e := event.(type) {
	case CallEnded:
		l.forwardResults(e)
	case RemoteResult:
		if l.remote.remove(remoteAttemptKey{e.Message, e.Attempt}) {
			l.successor.RemoteResult(e, l.nothingInFlight())
		}
	case PredecessorLost:
		l.forwardLoss()
	case Submitted:
		e.taken()
		e.Response <- Response{RetryAfter: l.clientRetryAfter(stoppingRetryAfter)}
	case UpdateSettings:
		e.Done <- SettingsResult{Err: ErrHandedOver}
	case Handover:
		e.Done <- HandoverResult{Err: ErrHandedOver}
	case inspect:
		e()
	}
}

// forwardResults forwards the results of this process's attempts to the successor.
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

// forwardLoss forwards that the attempts of an earlier process may have run, as that process has ended. The successor must
// not have to wait for the calls of this process to learn it.
func (l *Loop) forwardLoss() {
	for _, key := range l.remote.ordered() {
		l.remote.remove(key)
		lost := RemoteResult{Message: key.num, Attempt: key.attempt, Result: control.ConnectionLost}
		l.successor.RemoteResult(lost, l.nothingInFlight())
	}
	if l.nothingInFlight() {
		l.successor.RemoteResult(RemoteResult{}, true)
	}
}

// handoverTime returns the time at which a handover state was made. It prefers the stamp, because a step of the clock
// invalidates the wall time.
func (l *Loop) handoverTime(s *HandoverState) time.Time {
	if s.Stamp == 0 {
		return s.At
	}
	return l.wal.TimeBase().Time(s.Stamp)
}

// restoreHandover restores the state of the predecessor, before the loop's first iteration.
func (l *Loop) restoreHandover(s *HandoverState) {
	l.remote = remoteAttempts{}
	for _, a := range s.InFlight {
		if e := l.table.entries[a.Message]; e != nil && e.report == nil {
			l.remote[remoteAttemptKey{a.Message, a.Attempt}] = a.Call
			e.remoteInFlight++
			l.wakeForRemote(e)
		}
	}
	l.backlog = append(l.backlog, handedOverList(s), inspect(func() { l.restoreListDoubt(s) }),
		inspect(func() { l.restoreRoutes(s) }))
}

// restoreRoutes passes the predecessor's state of the routes to the controller, once the endpoints are listed.
func (l *Loop) restoreRoutes(s *HandoverState) {
	elapsed := max(0, l.now.Sub(l.handoverTime(s)))
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

// remoteResult records the result of a remote attempt, as attemptEnded does for the attempts of this process.
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

// recordRemoteResult records the result of a remote attempt in the message's history.
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

// predecessorLost treats the attempts that are still remote as attempts that may have run.
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
