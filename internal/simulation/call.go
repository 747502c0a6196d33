package simulation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// An inFlightCall is a call, or a health check, of a sender to an endpoint.
type inFlightCall struct {
	sender        *sender
	call          *state.Call // nil: a health check
	target        state.Target
	id            uint64
	delay         time.Duration // of the network, one way
	overCapacity  bool          // its connection exceeds the endpoint's connection limit
	sent          bool          // the first byte was sent
	done          bool          // the sender no longer waits for the result
	endedAttempts map[*state.Attempt]bool
	startedAt     time.Duration
}

// Send starts a call on a connection of its own. Send, Cancel, CancelUnsent and HealthCheck implement state.Transport.
func (sd *sender) Send(c *state.Call) {
	f := sd.startCall(c.Target)
	f.call, f.endedAttempts = c, map[*state.Attempt]bool{}
	sd.byCall[c] = f
	for _, a := range c.Attempts {
		sd.sim.at(a.Deadline.Sub(virtualStart), func() { f.timeOut(a) })
	}
}

// HealthCheck starts a call without messages.
func (sd *sender) HealthCheck(t state.Target, deadline time.Time) {
	f := sd.startCall(t)
	sd.sim.at(deadline.Sub(virtualStart), func() {
		sd.whenRunning(func() {
			if f.done {
				return
			}
			if s := sd.sim; f.recordNoAnswer(sd.num, "timeout") {
				s.environment.Model.Cancel(s.now, f.id, f.target.ID)
			}
			f.end(state.AttemptResult{Result: control.TimedOut})
		})
	})
}

// Cancel abandons a call.
func (sd *sender) Cancel(c *state.Call) {
	if f := sd.byCall[c]; f != nil {
		sd.sim.at(sd.sim.now, func() { f.cancel(control.Canceled) })
	}
}

// CancelUnsent abandons a call whose first byte was not sent.
func (sd *sender) CancelUnsent(c *state.Call) {
	if f := sd.byCall[c]; f != nil && !f.sent {
		sd.sim.at(sd.sim.now, func() {
			if !f.sent {
				f.cancel(control.NotSent)
			}
		})
	}
}

// callsOf returns a sender's calls in the order in which they started. The iteration order of the map must not decide,
// since it differs from run to run.
func (s *Sim) callsOf(sd *sender) []*inFlightCall {
	return slices.SortedFunc(maps.Keys(sd.inFlight), func(a, b *inFlightCall) int { return cmp.Compare(a.id, b.id) })
}

// startCall starts a call on a new connection.
func (sd *sender) startCall(target state.Target) *inFlightCall {
	s := sd.sim
	s.lastCall++
	f := &inFlightCall{
		sender: sd, target: target, id: s.lastCall, delay: NetworkDelay(target.Zone, sd.zone), startedAt: s.now,
	}
	sd.inFlight[f] = true
	f.connect()
	return f
}

// connect opens a connection and sends on it.
func (f *inFlightCall) connect() {
	sd, s := f.sender, f.sender.sim
	s.result.Connections++
	if request, reply := f.links(); !request.Passes() || !reply.Passes() {
		after := f.delay
		if !request.Cut && !reply.Cut {
			after = connectTimeout
		}
		s.at(s.now+after, func() {
			if !sd.dead && !f.done {
				f.recordFailure()
			}
			f.end(state.AttemptResult{Result: control.ConnectFailed})
		})
		return
	}
	s.at(s.now+f.delay, func() {
		result := s.environment.Model.Connect(s.now, f.target.ID)
		s.at(s.now+f.delay, func() { f.connected(result) })
	})
}

// connected handles the result of a connection attempt.
func (f *inFlightCall) connected(result partner.ConnectionResult) {
	s := f.sender.sim
	switch {
	case result == partner.ConnectionRefused:
		if !f.sender.dead {
			f.recordFailure()
		}
		f.end(state.AttemptResult{Result: control.ConnectFailed})
	case f.done && result == partner.ConnectionOpened:
		s.environment.Model.Disconnect(s.now, f.target.ID)
	case !f.done:
		f.overCapacity = result == partner.ConnectionOverCapacity
		f.send()
	}
}

// links returns the states of the links from the call's sender to its endpoint and back.
func (f *inFlightCall) links() (request, reply scenario.LinkState) {
	return f.sender.sim.link(f.sender.name, f.target.ID), f.sender.sim.link(f.target.ID, f.sender.name)
}

// recordFailure records that the call's sender observed a failure of the endpoint.
func (f *inFlightCall) recordFailure() {
	f.sender.sim.record(audit.Event{
		Kind: audit.FailureSeen, Sender: f.sender.num, Dest: f.target.Destination, Endpoint: f.target.ID,
	})
}

// send sends the call. The endpoint receives it completely after the network delay.
func (f *inFlightCall) send() {
	s := f.sender.sim
	if f.done {
		f.closeConn()
		return
	}
	request, reply := f.links()
	if request.Cut || reply.Cut {
		s.environment.Model.Disconnect(s.now, f.target.ID)
		f.end(state.AttemptResult{Result: control.ConnectFailed})
		return
	}
	f.sent = true
	c := partner.Call{
		ID: f.id, Sender: f.sender.num, Endpoint: f.target.ID, NewConnection: true, OverCapacity: f.overCapacity,
		HealthCheck: f.call == nil,
	}
	var ids []string
	if f.call != nil {
		for _, a := range f.call.Attempts {
			c.Messages = append(c.Messages, partner.Message{ID: a.Message.ID, Key: a.Message.Key, Class: a.Message.Class})
			ids = append(ids, a.Message.ID)
		}
	}
	s.record(audit.Event{
		Kind: audit.Sent, Sender: f.sender.num, Call: f.id, Endpoint: f.target.ID, Zone: f.target.Zone,
		Dest: f.target.Destination, Messages: ids,
	})
	s.calls[f.id] = f
	if !request.Passes() {
		return // the call never arrives: it times out, or a link cut breaks its connection
	}
	s.at(s.now+f.delay+s.extraDelay(request), func() {
		if err := s.environment.Model.Call(s.now, c); err != nil { // the endpoint was removed meanwhile
			s.at(s.now+f.delay, func() { f.receiveAnswer(partner.Answer{Call: f.id, Kind: partner.Reset}) })
		}
	})
}

// closeConn closes the call's connection after its response. The endpoint does not count one over capacity.
func (f *inFlightCall) closeConn() {
	if s := f.sender.sim; !f.overCapacity {
		s.environment.Model.Disconnect(s.now, f.target.ID)
	}
}

// receiveAnswer passes the endpoint's answer to the sender, unless the sender has stopped waiting.
func (f *inFlightCall) receiveAnswer(a partner.Answer) {
	s := f.sender.sim
	if s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	outcome, cause := OutcomeOf(a.Kind)
	s.record(audit.Event{
		Kind: audit.Ended, Sender: f.sender.num, Call: f.id, Outcome: outcome, RetryAfter: a.RetryAfter, Cause: cause,
	})
	_, reply := f.links()
	if a.Kind != partner.Delivered && reply.Passes() {
		f.recordFailure()
	}
	if a.Kind == partner.Delivered && f.call != nil {
		for _, attempt := range f.call.Attempts {
			s.delivered(attempt.Message.ID)
		}
	}
	if !reply.Passes() {
		return // the answer does not arrive
	}
	if a.Kind != partner.Reset && !f.done {
		f.closeConn()
	}
	result := attemptResult(a)
	if after := s.extraDelay(reply); after > 0 {
		s.at(s.now+after, func() { f.end(result) })
		return
	}
	f.end(result)
}

// attemptResult returns the result of an attempt that an endpoint answered.
func attemptResult(a partner.Answer) state.AttemptResult {
	r := state.AttemptResult{RetryAfter: a.RetryAfter}
	switch a.Kind {
	case partner.Delivered:
		r.Result, r.Final = control.Served, true
	case partner.Errored:
		r.Result = control.Failed
	case partner.Rejected:
		r.Result = control.Rejected
	case partner.Reset:
		r.Result = control.ConnectionLost
	case partner.Unprocessable:
		r.Result = control.Unprocessable
	default:
		r.Result = control.Unknown
	}
	return r
}

// timeOut ends one attempt as timed out. The call is abandoned when its last attempt ends.
func (f *inFlightCall) timeOut(a *state.Attempt) {
	if f.sender.stopped() {
		f.sender.whenRunning(func() { f.timeOut(a) })
		return
	}
	if f.done || f.endedAttempts[a] {
		return
	}
	f.endedAttempts[a] = true
	f.recordFailure()
	r := state.AttemptResult{Attempt: a, Result: control.TimedOut, Elapsed: f.sender.sim.now - f.startedAt}
	if len(f.endedAttempts) == len(f.call.Attempts) {
		f.abandon("timeout")
	}
	f.sender.step(state.CallEnded{Call: f.call, Results: []state.AttemptResult{r}})
}

// cancel abandons the call at the sender's request, with result r for the attempts that have none yet.
func (f *inFlightCall) cancel(r control.Result) {
	if f.done {
		return
	}
	f.abandon("cancelled")
	f.endAttempts(state.AttemptResult{Result: r})
}

// end ends the call, with result r for all attempts that have none yet.
func (f *inFlightCall) end(r state.AttemptResult) {
	if f.done {
		return
	}
	f.finish()
	if f.call == nil {
		elapsed := f.sender.sim.now - f.startedAt
		f.sender.step(state.HealthChecked{Target: f.target.Endpoint.ID, Result: r.Result, Elapsed: elapsed})
		return
	}
	f.endAttempts(r)
}

// endAttempts passes result r to the event loop for all attempts that have none yet.
func (f *inFlightCall) endAttempts(r state.AttemptResult) {
	var results []state.AttemptResult
	for _, a := range f.call.Attempts {
		if !f.endedAttempts[a] {
			f.endedAttempts[a] = true
			r.Attempt, r.Elapsed = a, f.sender.sim.now-f.startedAt
			results = append(results, r)
		}
	}
	f.sender.step(state.CallEnded{Call: f.call, Results: results})
}

// abandon ends the sender's wait for the call and closes the connection. The endpoint may still finish the work.
func (f *inFlightCall) abandon(cause string) {
	f.finish()
	if f.recordNoAnswer(f.sender.num, cause) {
		f.notifyCanceled()
	}
}

// finish marks the call as done.
func (f *inFlightCall) finish() {
	f.done = true
	delete(f.sender.inFlight, f)
	if f.call != nil {
		delete(f.sender.byCall, f.call)
	}
}

// recordNoAnswer records that a call ended without an answer, and makes the simulation ignore a later answer. It
// returns false if the call has already been answered or was not sent.
func (f *inFlightCall) recordNoAnswer(sender int, cause string) bool {
	s := f.sender.sim
	if !f.sent || s.calls[f.id] == nil {
		return false
	}
	delete(s.calls, f.id)
	s.record(audit.Event{Kind: audit.Ended, Sender: sender, Call: f.id, Outcome: audit.Failed, Cause: cause})
	return true
}

// notifyCanceled notifies the endpoint, after the network delay, that the connection was closed.
func (f *inFlightCall) notifyCanceled() {
	s := f.sender.sim
	s.at(s.now+f.delay, func() { s.environment.Model.Cancel(s.now, f.id, f.target.ID) })
}
