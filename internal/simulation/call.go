package simulation

import (
	"cmp"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// A inFlightCall is a call between a sender and an endpoint.
type inFlightCall struct {
	sender       *sender
	call         *state.Call // nil: a probe
	target       state.Target
	id           uint64
	delay        time.Duration
	newConn      bool
	overCapacity bool
	sent         bool // its first byte has gone
	done         bool
	ended        map[*state.Attempt]bool
	startedAt    time.Duration
}

// Send takes a call out: on an idle connection, or on a new one.
func (x *sender) Send(c *state.Call) {
	f := x.startCall(c.Target)
	f.call, f.ended = c, map[*state.Attempt]bool{}
	x.byCall[c] = f
	for _, fw := range c.Attempts {
		x.sim.at(fw.Deadline.Sub(virtualStart), func() { f.endAttempt(fw, state.AttemptResult{Result: control.TimedOut}) })
	}
}

// startCall begins a flight.
func (x *sender) startCall(to state.Target) *inFlightCall {
	s := x.sim
	s.lastCall++
	f := &inFlightCall{sender: x, target: to, id: s.lastCall, delay: NetworkDelay(to.Zone, x.zone), startedAt: s.now}
	x.inFlight[f] = true
	idle := x.idleConns[to.ID]
	for len(idle) > 0 && s.now-idle[0] >= idleConnTimeout { // the endpoint has closed these
		s.environment.Model.Disconnect(s.now, to.ID)
		idle = idle[1:]
	}
	if n := len(idle); n > 0 {
		x.idleConns[to.ID] = idle[:n-1]
		s.at(s.now, f.send)
		return f
	}
	x.idleConns[to.ID] = idle
	f.newConn = true
	s.result.Connections++
	request, reply := f.links()
	if request.Cut || reply.Cut || request.Silent || reply.Silent {
		after := f.delay
		if !request.Cut && !reply.Cut {
			after = connectTimeout
		}
		s.at(s.now+after, func() {
			if !x.dead && !f.done {
				s.record(audit.Event{Kind: audit.FailureSeen, Sender: x.num, Dest: to.Destination, Endpoint: to.ID})
			}
			f.endAll(state.AttemptResult{Result: control.ConnectFailed})
		})
		return f
	}
	s.at(s.now+f.delay, func() {
		result := s.environment.Model.Connect(s.now, to.ID)
		s.at(s.now+f.delay, func() {
			switch {
			case result == partner.ConnectionRefused:
				if !x.dead {
					s.record(audit.Event{Kind: audit.FailureSeen, Sender: x.num, Dest: to.Destination, Endpoint: to.ID})
				}
				f.endAll(state.AttemptResult{Result: control.ConnectFailed})
			case f.done && result == partner.ConnectionOpened:
				s.environment.Model.Disconnect(s.now, to.ID)
			case !f.done:
				f.overCapacity = result == partner.ConnectionOverCapacity
				f.send()
			}
		})
	})
	return f
}

// links are those between its sender and its endpoint.
func (f *inFlightCall) links() (request, reply scenario.LinkState) {
	return f.sender.sim.link(f.sender.name, f.target.ID), f.sender.sim.link(f.target.ID, f.sender.name)
}

// send lets the first byte go; the call is whole at the endpoint a hop later.
func (f *inFlightCall) send() {
	s := f.sender.sim
	if f.done {
		f.releaseConn()
		return
	}
	request, reply := f.links()
	if request.Cut || reply.Cut {
		s.environment.Model.Disconnect(s.now, f.target.ID)
		f.endAll(state.AttemptResult{Result: control.ConnectFailed})
		return
	}
	f.sent = true
	c := partner.Call{ID: f.id, Sender: f.sender.num, Endpoint: f.target.ID, Fresh: f.newConn, OverCapacity: f.overCapacity, HealthCheck: f.call == nil}
	var ids []string
	if f.call != nil {
		for _, fw := range f.call.Attempts {
			c.Messages = append(c.Messages, partner.Message{ID: fw.Message.ID, Key: fw.Message.Key, Class: fw.Message.Class})
			ids = append(ids, fw.Message.ID)
		}
	}
	s.record(audit.Event{Kind: audit.Sent, Sender: f.sender.num, Call: f.id, Endpoint: f.target.ID, Zone: f.target.Zone, Dest: f.target.Destination, Messages: ids})
	s.calls[f.id] = f
	if !request.Passes() {
		return // its time will be up, or the cut has broken it
	}
	s.at(s.now+f.delay+s.extraDelay(request), func() {
		if err := s.environment.Model.Call(s.now, c); err != nil { // it has left the list and the earth
			s.at(s.now+f.delay, func() { f.receiveAnswer(partner.Answer{Call: f.id, Kind: partner.Reset}) })
		}
	})
}

// releaseConn keeps a connection for the next call.
func (f *inFlightCall) releaseConn() {
	x, s := f.sender, f.sender.sim
	switch {
	case f.overCapacity:
	case x.dead:
		s.environment.Model.Disconnect(s.now, f.target.ID)
	default:
		x.idleConns[f.target.ID] = append(x.idleConns[f.target.ID], s.now)
	}
}

// receiveAnswer brings an answer to the sender.
func (f *inFlightCall) receiveAnswer(a partner.Answer) {
	s := f.sender.sim
	if s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	outcome, cause := OutcomeOf(a.Kind)
	s.record(audit.Event{Kind: audit.Ended, Sender: f.sender.num, Call: f.id, Outcome: outcome, RetryAfter: a.RetryAfter, Cause: cause})
	_, reply := f.links()
	if a.Kind != partner.Delivered && reply.Passes() {
		s.record(audit.Event{Kind: audit.FailureSeen, Sender: f.sender.num, Dest: f.target.Destination, Endpoint: f.target.ID})
	}
	if a.Kind == partner.Delivered && f.call != nil {
		for _, fw := range f.call.Attempts {
			s.delivered(fw.Message.ID)
		}
	}
	if !reply.Passes() {
		return // the partner has answered, and the sender does not hear it
	}
	if a.Kind != partner.Reset && !f.done {
		f.releaseConn()
	}
	end := state.AttemptResult{RetryAfter: a.RetryAfter}
	switch a.Kind {
	case partner.Delivered:
		end.Result, end.Final = control.Served, true
	case partner.Errored:
		end.Result = control.Failed
	case partner.Rejected:
		end.Result = control.Rejected
	case partner.Reset:
		end.Result = control.ConnectionLost
	case partner.Unprocessable:
		end.Result = control.Unprocessable
	default:
		end.Result = control.Unknown
	}
	if after := s.extraDelay(reply); after > 0 {
		s.at(s.now+after, func() { f.endAll(end) })
		return
	}
	f.endAll(end)
}

// finish marks a flight as over.
func (f *inFlightCall) finish() {
	f.done = true
	delete(f.sender.inFlight, f)
	if f.call != nil {
		delete(f.sender.byCall, f.call)
	}
}

// endAll ends what is left of a flight.
func (f *inFlightCall) endAll(e state.AttemptResult) {
	if f.done {
		return
	}
	f.finish()
	if f.call == nil {
		f.sender.step(state.HealthChecked{Target: f.target.Endpoint.ID, Result: e.Result, Elapsed: f.sender.sim.now - f.startedAt})
		return
	}
	var ends []state.AttemptResult
	for _, fw := range f.call.Attempts {
		if !f.ended[fw] {
			f.ended[fw] = true
			e.Attempt, e.Elapsed = fw, f.sender.sim.now-f.startedAt
			ends = append(ends, e)
		}
	}
	f.sender.step(state.CallEnded{Call: f.call, Results: ends})
}

// endAttempt ends one forward; a flight without any is abandoned.
func (f *inFlightCall) endAttempt(fw *state.Attempt, e state.AttemptResult) {
	if f.sender.stopped() {
		f.sender.whenRunning(func() { f.endAttempt(fw, e) })
		return
	}
	if f.done || f.ended[fw] {
		return
	}
	f.ended[fw] = true
	if e.Result == control.TimedOut {
		f.sender.sim.record(audit.Event{Kind: audit.FailureSeen, Sender: f.sender.num, Dest: f.target.Destination, Endpoint: f.target.ID})
	}
	e.Attempt, e.Elapsed = fw, f.sender.sim.now-f.startedAt
	if len(f.ended) == len(f.call.Attempts) {
		f.abandon("timeout")
	}
	f.sender.step(state.CallEnded{Call: f.call, Results: []state.AttemptResult{e}})
}

// abandon stops waiting: the connection goes, the work may go on.
func (f *inFlightCall) abandon(cause string) {
	f.finish()
	s := f.sender.sim
	if !f.sent || s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	s.record(audit.Event{Kind: audit.Ended, Sender: f.sender.num, Call: f.id, Outcome: audit.Failed, Cause: cause})
	s.at(s.now+f.delay, func() { s.environment.Model.Cancel(s.now, f.id, f.target.ID) })
}

// Cancel calls a call off.
func (x *sender) Cancel(c *state.Call) {
	if f := x.byCall[c]; f != nil {
		x.sim.at(x.sim.now, func() { f.cancel(control.Canceled) })
	}
}

// cancel ends a flight for a reason of the sender's own.
func (f *inFlightCall) cancel(r control.Result) {
	if f.done {
		return
	}
	f.abandon("cancelled")
	var ends []state.AttemptResult
	for _, fw := range f.call.Attempts {
		if !f.ended[fw] {
			f.ended[fw] = true
			ends = append(ends, state.AttemptResult{Attempt: fw, Result: r, Elapsed: f.sender.sim.now - f.startedAt})
		}
	}
	f.sender.step(state.CallEnded{Call: f.call, Results: ends})
}

// CancelUnsent ends a call whose first byte has not gone.
func (x *sender) CancelUnsent(c *state.Call) {
	if f := x.byCall[c]; f != nil && !f.sent {
		x.sim.at(x.sim.now, func() {
			if !f.sent {
				f.cancel(control.NotSent)
			}
		})
	}
}

// HealthCheck asks an endpoint how it is.
func (x *sender) HealthCheck(t state.Target, deadline time.Time) {
	f := x.startCall(t)
	x.sim.at(deadline.Sub(virtualStart), func() {
		x.whenRunning(func() {
			if f.done {
				return
			}
			s := x.sim
			if f.sent && s.calls[f.id] != nil {
				delete(s.calls, f.id)
				s.record(audit.Event{Kind: audit.Ended, Sender: x.num, Call: f.id, Outcome: audit.Failed, Cause: "timeout"})
				s.environment.Model.Cancel(s.now, f.id, f.target.ID)
			}
			f.endAll(state.AttemptResult{Result: control.TimedOut})
		})
	})
}

// Disconnect closes the idle connections to an endpoint.
func (x *sender) Disconnect(endpoint string) {
	for range x.idleConns[endpoint] {
		x.sim.environment.Model.Disconnect(x.sim.now, endpoint)
	}
	delete(x.idleConns, endpoint)
}

// callsOf lists a sender's calls in the order in which they began: a map's would
// be another in each run.
func (s *Sim) callsOf(x *sender) []*inFlightCall {
	var list []*inFlightCall
	for f := range x.inFlight {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *inFlightCall) int { return cmp.Compare(a.id, b.id) })
	return list
}
