package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/gossip"
	"cleathold/internal/lease"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// A sender is one process's life: a loop with the virtual world as its carrier,
// directory and notifier. After its death another takes its place and its journal.
type sender struct {
	sim         *Sim
	num         int
	name        string // its name, for links
	zone        int
	loop        *state.Loop
	submissions []pendingSubmission // hand-ins without a verdict yet
	idleConns   map[string][]time.Duration
	byCall      map[*state.Call]*inFlightCall
	inFlight    map[*inFlightCall]bool // calls and probes
	timerAt     time.Duration          // below 0 = none

	watching    bool  // discovery tells it of changes...
	listVersion int64 // ...after this version

	accepting    bool // it takes connections
	shuttingDown bool // since leftAt
	dead         bool // since leftAt
	endedAt      time.Duration

	unreachable  bool          // from discovery, where notices go, too
	draining     bool          // it sends clients away; the front hears of it at once
	stoppedUntil time.Duration // it is stopped until then
	stoppedAt    time.Duration
	deferred     []func() // to be done as it goes on, in order

	process, predecessor string // of its process, and of the one before that handed over to it
	version              string // its version
	lease                lease.Holder
	counters             state.Counters
}

// stopped tells whether its process is.
func (x *sender) stopped() bool { return x.sim.now < x.stoppedUntil }

// whenRunning does something as soon as its process runs.
func (x *sender) whenRunning(do func()) {
	if x.stopped() {
		x.deferred = append(x.deferred, do)
		return
	}
	do()
}

// resume has a process go on, with all that came while it was stopped.
func (x *sender) resume() {
	if x.stopped() || x.dead {
		return
	}
	x.sim.record(audit.Event{Kind: audit.Ready, Sender: x.num})
	for len(x.deferred) > 0 && !x.dead {
		do := x.deferred[0]
		x.deferred = x.deferred[1:]
		do()
	}
}

// pendingSubmission is a hand-in whose client waits for the verdict.
type pendingSubmission struct {
	id       string
	response <-chan state.Response
}

// newSender begins a process's life.
func (s *Sim) newSender(num int) (*sender, error) {
	s.senderStarts++
	set, err := readProfile(s.profile(num), s.plan.Seed*1_000_003+s.senderStarts-1)
	if err != nil {
		return nil, err
	}
	x := &sender{
		sim: s, num: num, name: scenario.Sender(num), zone: set.Zone, idleConns: map[string][]time.Duration{}, byCall: map[*state.Call]*inFlightCall{}, inFlight: map[*inFlightCall]bool{},
		timerAt: -1, accepting: true, process: fmt.Sprintf("n%d-%d", num, s.senderStarts), version: "v1",
	}
	if num < len(s.senders) { // what it runs its agent has written down; the book is a process's own
		x.version = s.senders[num].version
	}
	dir, hasDir := s.walDirs[num]
	loop, err := state.NewLoop(state.Setup{
		Settings: set, Known: state.ListUpdate{Kind: control.ListCached, Version: state.NoVersion}, DiskBytes: 3e6, Log: s.log,
		Clock: func() time.Time { return virtualStart.Add(s.now) }, Dir: dir, InMemory: !hasDir, Counters: &x.counters,
	})
	if err != nil {
		return nil, err
	}
	loop.Connect(x, x, x)
	loop.ConnectPeers(gossipSender{x})
	x.loop = loop
	s.at(s.now, func() { x.step() })
	return x, nil
}

// knownUnavailable tells whether the front knows that there is nobody.
func (x *sender) knownUnavailable(now time.Duration) bool {
	if x.stopped() && now-x.stoppedAt >= DeadSenderTimeout {
		return true
	}
	return x.draining || x.drainingByOrder() || (x.dead || x.shuttingDown) && now-x.endedAt >= DeadSenderTimeout || x.shuttingDown && now-x.endedAt >= stopDelay-200*time.Millisecond
}

// terminate is SIGTERM: the stages of lifecycle, in virtual time.
func (x *sender) terminate() {
	s := x.sim
	x.shuttingDown, x.endedAt = true, s.now
	s.at(s.now+stopDelay, func() {
		x.loop.Stop()
		x.step()
		x.accepting = false
		x.awaitDrained()
	})
	s.at(s.now+haltDelay, func() {
		if !x.dead {
			x.loop.Halt()
			x.step()
		}
	})
}

// awaitDrained looks whether all is done.
func (x *sender) awaitDrained() {
	s := x.sim
	if x.loop.Drained() || s.now >= x.endedAt+shutdownTimeout {
		x.exit()
		return
	}
	s.at(s.now+drainedCheckInterval, x.awaitDrained)
}

// exit ends the process: its connections break, and another comes after a while.
func (x *sender) exit() {
	s := x.sim
	if x.dead {
		return
	}
	x.dead, x.accepting = true, false
	if !x.shuttingDown {
		x.endedAt = s.now
	}
	for _, w := range x.submissions {
		if m := s.messages[w.id]; m != nil {
			s.senderLost(m, w.id, x)
		}
	}
	x.submissions = nil
	for _, f := range s.callsOf(x) {
		f.done = true
		if f.sent && s.calls[f.id] != nil {
			delete(s.calls, f.id)
			s.record(audit.Event{Kind: audit.Ended, Call: f.id, Outcome: audit.Failed, Cause: "reset"})
			s.at(s.now+f.delay, func() { s.environment.Model.Cancel(s.now, f.id, f.target.ID) })
		}
	}
	x.inFlight, x.byCall = nil, nil
	x.loop.Close()
	for _, id := range slices.Sorted(maps.Keys(x.idleConns)) {
		x.Disconnect(id)
	}
	s.at(s.now+restartDelay+startupDelay, func() {
		y, err := s.newSender(x.num)
		if err != nil {
			s.fail(err)
			return
		}
		s.result.Restarts++
		s.senders[x.num] = y
		s.record(audit.Event{Kind: audit.Ready, Sender: x.num})
	})
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

// step gives the loop events and deals with what came of them.
func (x *sender) step(events ...state.Event) {
	s := x.sim
	if x.dead {
		return
	}
	if x.stopped() {
		x.whenRunning(func() { x.step(events...) })
		return
	}
	x.loop.Step(events...)
	var responses []state.Event
	remaining := x.submissions[:0]
	for _, pending := range x.submissions {
		select {
		case v := <-pending.response:
			m := s.messages[pending.id]
			if reply := s.link(x.name, scenario.Clients); m == nil || !reply.Passes() {
				// Nobody waits any more, or the answer does not arrive.
				if v.Accepted {
					responses = append(responses, state.ResponseWritten{ID: pending.id, OK: m != nil && reply.Silent})
				}
				if m != nil && reply.Cut {
					s.senderLost(m, pending.id, x)
				} else if m != nil {
					s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { s.responseTimedOut(m, pending.id, x) })
				}
				continue
			}
			if v.Accepted {
				s.record(audit.Event{Kind: audit.Accepted, Sender: x.num, Message: pending.id})
				responses = append(responses, state.ResponseWritten{ID: pending.id, OK: true})
			} else {
				s.record(audit.Event{Kind: audit.Rejected, Sender: x.num, Message: pending.id, RetryAfter: v.RetryAfter})
				if m != nil && !v.Permanent {
					s.rejected(m, pending.id, v.RetryAfter)
				}
			}
		default:
			remaining = append(remaining, pending)
		}
	}
	x.submissions = remaining
	if len(responses) > 0 {
		x.step(responses...)
		return
	}
	if at := x.loop.WakeAt(); !at.IsZero() {
		when := at.Sub(virtualStart)
		if x.timerAt != when {
			x.timerAt = when
			s.at(when, func() {
				if x.timerAt == when && s.now >= when {
					x.timerAt = -1
					x.step(state.TimerElapsed{})
				}
			})
		}
	}
}

// clientTimeout: a client that has no answer yet waits no longer.
func (x *sender) clientTimeout(m *ClientRequest, id string) {
	waits := func(a pendingSubmission) bool { return a.id == id }
	if x.sim.messages[id] == m && slices.ContainsFunc(x.submissions, waits) {
		x.sim.responseTimedOut(m, id, x)
	}
}

// updateSettings has the loop take other settings, as a reload does.
func (x *sender) updateSettings(set control.Settings) {
	done := make(chan state.SettingsResult, 1)
	var classes []state.NamedClass
	for i, c := range set.Classes {
		classes = append(classes, state.NamedClass{Name: x.sim.plan.Scenario.Traffic.Classes[i].Name, Class: c})
	}
	x.step(state.UpdateSettings{Settings: set, Classes: classes, Done: done})
	x.whenRunning(func() {
		select {
		case r := <-done:
			if r.Err != nil {
				x.sim.fail(r.Err)
			}
		default: // it has died
		}
	})
}

// linksChanged looks at its ways after a change.
func (x *sender) linksChanged() {
	s := x.sim
	for _, f := range s.callsOf(x) {
		if !s.link(x.name, f.target.ID).Cut && !s.link(f.target.ID, x.name).Cut {
			continue
		}
		if f.sent && s.calls[f.id] != nil {
			delete(s.calls, f.id)
			s.record(audit.Event{Kind: audit.Ended, Sender: x.num, Call: f.id, Outcome: audit.Failed, Cause: "reset"})
			s.at(s.now+f.delay, func() { s.environment.Model.Cancel(s.now, f.id, f.target.ID) })
		}
		if f.sent {
			f.endAll(state.AttemptResult{Result: control.ConnectionLost})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(x.idleConns)) {
		if s.link(x.name, id).Cut || s.link(id, x.name).Cut {
			x.Disconnect(id)
		}
	}
	if cut := !x.reachesDiscovery(); cut != x.unreachable {
		x.unreachable = cut
		s.record(audit.Event{Kind: map[bool]audit.EventKind{true: audit.Unreachable, false: audit.ReachableAgain}[cut], Sender: x.num})
	}
	if x.reachesDiscovery() {
		x.receiveChanges()
	} else if x.watching {
		x.watching = false
		s.environment.Polled(s.now, x.num, false, true)
		x.pollFailed()
	}
}

// reachesDiscovery tells whether discovery and it hear each other.
func (x *sender) reachesDiscovery() bool {
	s := x.sim
	return s.link(x.name, scenario.Discovery).Passes() && s.link(scenario.Discovery, x.name).Passes()
}

// pollFailed: discovery does not answer, and the sender sees it at once or after a while.
func (x *sender) pollFailed() {
	s := x.sim
	after := discoveryDelay
	if !s.link(x.name, scenario.Discovery).Cut && !s.link(scenario.Discovery, x.name).Cut {
		after = pollTimeout
	}
	s.at(s.now+after, func() { x.step(state.ListUpdate{Kind: control.ListFailed}) })
}

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

// Watch begins or ends a watch; without a version it answers with the whole list.
func (x *sender) Watch(on bool, since int64) {
	s := x.sim
	if x.watching = false; !on {
		s.environment.Polled(s.now, x.num, false, false)
		return
	}
	s.at(s.now+discoveryDelay, func() {
		if !x.reachesDiscovery() {
			s.environment.Polled(s.now, x.num, false, true)
			x.pollFailed()
			return
		}
		_, down := s.environment.DiscoveryOutage(s.now)
		if !x.dead {
			s.environment.Polled(s.now, x.num, !down, down)
		}
		if down {
			x.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		x.watching = true
		if since != state.NoVersion {
			x.listVersion = since
			x.receiveChanges()
			return
		}
		x.receiveFullList()
	})
}

// Fetch answers with the whole list once.
func (x *sender) Fetch() {
	s := x.sim
	s.at(s.now+discoveryDelay, func() {
		if !x.reachesDiscovery() {
			x.pollFailed()
			return
		}
		_, down := s.environment.DiscoveryOutage(s.now)
		if !x.dead && !x.watching {
			s.environment.Polled(s.now, x.num, false, down)
		}
		if down {
			x.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		x.receiveFullList()
	})
}

func (x *sender) receiveFullList() {
	if x.dead {
		return
	}
	endpoints, version := x.sim.environment.FullList(x.sim.now, x.num)
	x.listVersion = max(x.listVersion, version)
	x.receiveUpdate(control.ListFull, version, endpoints)
}

// receiveChanges tells a sender that watches what is new.
func (x *sender) receiveChanges() {
	if _, down := x.sim.environment.DiscoveryOutage(x.sim.now); down || !x.watching || x.dead || !x.reachesDiscovery() {
		return
	}
	endpoints, version, full := x.sim.environment.ListChanges(x.sim.now, x.num, x.listVersion)
	x.listVersion = version
	if full {
		x.receiveUpdate(control.ListFull, version, endpoints)
	} else if len(endpoints) > 0 {
		x.receiveUpdate(control.ListDelta, version, endpoints)
	}
}

func (x *sender) receiveUpdate(kind control.ListUpdateKind, version int64, endpoints []ListedEndpoint) {
	update := state.ListUpdate{Kind: kind, Version: version}
	for _, l := range endpoints {
		if l.State != control.Ready || kind == control.ListDelta {
			x.sim.record(audit.Event{Kind: audit.Notified, Sender: x.num, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready})
		}
		t := state.Target{ID: l.ID, Addr: l.Address}
		t.Destination, t.Kind, t.Zone, t.State, t.Weight = l.Dest, l.Kind, l.Zone, l.State, l.Weight
		update.Targets = append(update.Targets, t)
	}
	x.step(update)
}

// discoveryDown: discovery goes down, and watches end.
func (x *sender) discoveryDown() {
	if x.watching && !x.dead {
		x.watching = false
		x.sim.environment.Polled(x.sim.now, x.num, false, true)
		x.step(state.ListUpdate{Kind: control.ListFailed})
	}
}

// A gossipSender carries notes to the other senders: each arrives late, or not at all.
type gossipSender struct{ *sender }

// MinGossipDelay and NoteTo are how long a note takes.
const MinGossipDelay, MaxGossipDelay = 1300 * time.Microsecond, 8700 * time.Microsecond

func (t gossipSender) SendGossip(facts []gossip.Observation) {
	s := t.sim
	sent := gossip.Encode(facts)
	for _, x := range s.senders {
		if x == t.sender {
			continue
		}
		s.result.GossipSent++
		w := s.link(t.name, x.name)
		if s.rng.Float64() < s.plan.Scenario.GossipLoss || !w.Passes() || w.Loss > 0 && s.rng.Float64() < w.Loss {
			continue
		}
		times := 1
		if w.Duplicate > 0 && s.rng.Float64() < w.Duplicate {
			times = 2
		}
		for range times {
			after := MinGossipDelay + time.Duration(s.rng.Int64N(int64(MaxGossipDelay-MinGossipDelay))) + s.extraDelay(w)
			if w.Reorder > 0 && s.rng.Float64() < w.Reorder {
				after += 10 * w.Jitter
			}
			s.at(s.now+after, func() {
				if facts, err := gossip.Decode(sent); err == nil && !x.dead {
					s.result.GossipReceived++
					x.step(state.GossipReceived{Peer: t.num, Observations: facts})
				}
			})
		}
	}
}

// reportRetryDelay is when a notice that reached nobody is told again.
const reportRetryDelay = 500 * time.Millisecond

// Report takes a notice; the client hears of it, and may come again.
func (x *sender) Report(n state.DeliveryReport) {
	x.sim.at(x.sim.now+reportAckDelay, func() { x.whenRunning(func() { x.deliverReport(n) }) })
}

func (x *sender) deliverReport(n state.DeliveryReport) {
	s := x.sim
	if x.dead {
		return // it is in the journal
	}
	if !x.reachesDiscovery() {
		s.at(s.now+reportRetryDelay, func() { x.whenRunning(func() { x.deliverReport(n) }) })
		return
	}
	s.record(audit.Event{Kind: audit.Notice, Sender: x.num, Message: n.ID, Deferred: n.Deferred, RetryAfter: n.RetryAfter})
	m := s.messages[n.ID]
	if m != nil && n.Deferred {
		s.rejected(m, n.ID, n.RetryAfter)
	} else if m != nil {
		delete(s.messages, n.ID)
	}
	x.step(state.ReportsAcknowledged{Nums: []control.MessageID{n.Num}})
}
