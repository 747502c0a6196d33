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
	sim     *Sim
	num     int
	party   string // its name, for links
	zone    int
	loop    *state.Loop
	waiting []awaiting // hand-ins without a verdict yet
	idle    map[string][]time.Duration
	flying  map[*state.Call]*flight
	flights map[*flight]bool // calls and probes
	wakeAt  time.Duration    // below 0 = none

	watches bool  // discovery tells it of changes...
	version int64 // ...after this version

	open    bool // it takes connections
	leaving bool // since leftAt
	dead    bool // since leftAt
	leftAt  time.Duration

	cutOff    bool          // from discovery, where notices go, too
	away      bool          // it sends clients away; the front hears of it at once
	wakes     time.Duration // it is stopped until then
	stoppedAt time.Duration
	pending   []func() // to be done as it goes on, in order

	id, before string // of its process, and of the one before that handed over to it
	runs       string // its version
	book       lease.Holder
	counters   state.Counters
}

// stopped tells whether its process is.
func (x *sender) stopped() bool { return x.sim.now < x.wakes }

// when does something as soon as its process runs.
func (x *sender) when(do func()) {
	if x.stopped() {
		x.pending = append(x.pending, do)
		return
	}
	do()
}

// wake has a process go on, with all that came while it was stopped.
func (x *sender) wake() {
	if x.stopped() || x.dead {
		return
	}
	x.sim.note(audit.Event{Kind: audit.Ready, Sender: x.num})
	for len(x.pending) > 0 && !x.dead {
		do := x.pending[0]
		x.pending = x.pending[1:]
		do()
	}
}

// awaiting is a hand-in whose client waits for the verdict.
type awaiting struct {
	id      string
	verdict <-chan state.Response
}

// newSender begins a process's life.
func (s *Sim) newSender(num int) (*sender, error) {
	s.starts++
	set, err := readProfile(s.told(num), s.plan.Seed*1_000_003+s.starts-1)
	if err != nil {
		return nil, err
	}
	x := &sender{
		sim: s, num: num, party: scenario.Sender(num), zone: set.Zone, idle: map[string][]time.Duration{}, flying: map[*state.Call]*flight{}, flights: map[*flight]bool{},
		wakeAt: -1, open: true, id: fmt.Sprintf("n%d-%d", num, s.starts), runs: "v1",
	}
	if num < len(s.senders) { // what it runs its agent has written down; the book is a process's own
		x.runs = s.senders[num].runs
	}
	dir, kept := s.dirs[num]
	loop, err := state.NewLoop(state.Setup{
		Settings: set, Known: state.ListUpdate{Kind: control.ListCached, Version: state.NoVersion}, DiskBytes: 3e6, Log: s.log,
		Clock: func() time.Time { return epoch.Add(s.now) }, Dir: dir, InMemory: !kept, Counters: &x.counters,
	})
	if err != nil {
		return nil, err
	}
	loop.Connect(x, x, x)
	loop.ConnectPeers(teller{x})
	x.loop = loop
	s.at(s.now, func() { x.step() })
	return x, nil
}

// shunned tells whether the front knows that there is nobody.
func (x *sender) shunned(now time.Duration) bool {
	if x.stopped() && now-x.stoppedAt >= DeadSenderTimeout {
		return true
	}
	return x.away || x.ordered() || (x.dead || x.leaving) && now-x.leftAt >= DeadSenderTimeout || x.leaving && now-x.leftAt >= stopSpan-200*time.Millisecond
}

// leave is SIGTERM: the stages of lifecycle, in virtual time.
func (x *sender) leave() {
	s := x.sim
	x.leaving, x.leftAt = true, s.now
	s.at(s.now+stopSpan, func() {
		x.loop.Stop()
		x.step()
		x.open = false
		x.wind()
	})
	s.at(s.now+haltSpan, func() {
		if !x.dead {
			x.loop.Halt()
			x.step()
		}
	})
}

// wind looks whether all is done.
func (x *sender) wind() {
	s := x.sim
	if x.loop.Drained() || s.now >= x.leftAt+finishSpan {
		x.die()
		return
	}
	s.at(s.now+quietCheck, x.wind)
}

// die ends the process: its connections break, and another comes after a while.
func (x *sender) die() {
	s := x.sim
	if x.dead {
		return
	}
	x.dead, x.open = true, false
	if !x.leaving {
		x.leftAt = s.now
	}
	for _, w := range x.waiting {
		if m := s.messages[w.id]; m != nil {
			s.gone(m, w.id, x)
		}
	}
	x.waiting = nil
	for _, f := range s.flightsOf(x) {
		f.over = true
		if f.left && s.calls[f.id] != nil {
			delete(s.calls, f.id)
			s.note(audit.Event{Kind: audit.Ended, Call: f.id, Outcome: audit.Failed, Cause: "reset"})
			s.at(s.now+f.hop, func() { s.ground.Model.Cancel(s.now, f.id, f.to.ID) })
		}
	}
	x.flights, x.flying = nil, nil
	x.loop.Close()
	for _, id := range slices.Sorted(maps.Keys(x.idle)) {
		x.Disconnect(id)
	}
	s.at(s.now+restartSpan+startSpan, func() {
		y, err := s.newSender(x.num)
		if err != nil {
			s.fail(err)
			return
		}
		s.result.Restarts++
		s.senders[x.num] = y
		s.note(audit.Event{Kind: audit.Ready, Sender: x.num})
	})
}

// flightsOf lists a sender's calls in the order in which they began: a map's would
// be another in each run.
func (s *Sim) flightsOf(x *sender) []*flight {
	var list []*flight
	for f := range x.flights {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *flight) int { return cmp.Compare(a.id, b.id) })
	return list
}

// step gives the loop events and deals with what came of them.
func (x *sender) step(events ...state.Event) {
	s := x.sim
	if x.dead {
		return
	}
	if x.stopped() {
		x.when(func() { x.step(events...) })
		return
	}
	x.loop.Step(events...)
	var answered []state.Event
	rest := x.waiting[:0]
	for _, h := range x.waiting {
		select {
		case v := <-h.verdict:
			m := s.messages[h.id]
			if back := s.way(x.party, scenario.Clients); m == nil || !back.Passes() {
				// Nobody waits any more, or the answer does not arrive.
				if v.Accepted {
					answered = append(answered, state.ResponseWritten{ID: h.id, OK: m != nil && back.Silent})
				}
				if m != nil && back.Cut {
					s.gone(m, h.id, x)
				} else if m != nil {
					s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { s.unanswered(m, h.id, x) })
				}
				continue
			}
			if v.Accepted {
				s.note(audit.Event{Kind: audit.Accepted, Sender: x.num, Message: h.id})
				answered = append(answered, state.ResponseWritten{ID: h.id, OK: true})
			} else {
				s.note(audit.Event{Kind: audit.Rejected, Sender: x.num, Message: h.id, RetryAfter: v.RetryAfter})
				if m != nil && !v.Permanent {
					s.refused(m, h.id, v.RetryAfter)
				}
			}
		default:
			rest = append(rest, h)
		}
	}
	x.waiting = rest
	if len(answered) > 0 {
		x.step(answered...)
		return
	}
	if at := x.loop.WakeAt(); !at.IsZero() {
		when := at.Sub(epoch)
		if x.wakeAt != when {
			x.wakeAt = when
			s.at(when, func() {
				if x.wakeAt == when && s.now >= when {
					x.wakeAt = -1
					x.step(state.TimerElapsed{})
				}
			})
		}
	}
}

// impatient: a client that has no answer yet waits no longer.
func (x *sender) impatient(m *ClientRequest, id string) {
	waits := func(a awaiting) bool { return a.id == id }
	if x.sim.messages[id] == m && slices.ContainsFunc(x.waiting, waits) {
		x.sim.unanswered(m, id, x)
	}
}

// retune has the loop take other settings, as a reload does.
func (x *sender) retune(set control.Settings) {
	done := make(chan state.SettingsResult, 1)
	var classes []state.NamedClass
	for i, c := range set.Classes {
		classes = append(classes, state.NamedClass{Name: x.sim.plan.Scenario.Traffic.Classes[i].Name, Class: c})
	}
	x.step(state.UpdateSettings{Settings: set, Classes: classes, Done: done})
	x.when(func() {
		select {
		case r := <-done:
			if r.Err != nil {
				x.sim.fail(r.Err)
			}
		default: // it has died
		}
	})
}

// turned looks at its ways after a change.
func (x *sender) turned() {
	s := x.sim
	for _, f := range s.flightsOf(x) {
		if !s.way(x.party, f.to.ID).Cut && !s.way(f.to.ID, x.party).Cut {
			continue
		}
		if f.left && s.calls[f.id] != nil {
			delete(s.calls, f.id)
			s.note(audit.Event{Kind: audit.Ended, Sender: x.num, Call: f.id, Outcome: audit.Failed, Cause: "reset"})
			s.at(s.now+f.hop, func() { s.ground.Model.Cancel(s.now, f.id, f.to.ID) })
		}
		if f.left {
			f.all(state.AttemptResult{Result: control.ConnectionLost})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(x.idle)) {
		if s.way(x.party, id).Cut || s.way(id, x.party).Cut {
			x.Disconnect(id)
		}
	}
	if cut := !x.reaches(); cut != x.cutOff {
		x.cutOff = cut
		s.note(audit.Event{Kind: map[bool]audit.EventKind{true: audit.Unreachable, false: audit.ReachableAgain}[cut], Sender: x.num})
	}
	if x.reaches() {
		x.hear()
	} else if x.watches {
		x.watches = false
		s.ground.Polled(s.now, x.num, false, true)
		x.unheard()
	}
}

// reaches tells whether discovery and it hear each other.
func (x *sender) reaches() bool {
	s := x.sim
	return s.way(x.party, scenario.Discovery).Passes() && s.way(scenario.Discovery, x.party).Passes()
}

// unheard: discovery does not answer, and the sender sees it at once or after a while.
func (x *sender) unheard() {
	s := x.sim
	after := listFirst
	if !s.way(x.party, scenario.Discovery).Cut && !s.way(scenario.Discovery, x.party).Cut {
		after = askSpan
	}
	s.at(s.now+after, func() { x.step(state.ListUpdate{Kind: control.ListFailed}) })
}

// A flight is a call between a sender and an endpoint.
type flight struct {
	x       *sender
	call    *state.Call // nil: a probe
	to      state.Target
	id      uint64
	hop     time.Duration
	fresh   bool
	crowded bool
	left    bool // its first byte has gone
	over    bool
	ended   map[*state.Attempt]bool
	since   time.Duration
}

// Send takes a call out: on an idle connection, or on a new one.
func (x *sender) Send(c *state.Call) {
	f := x.launch(c.Target)
	f.call, f.ended = c, map[*state.Attempt]bool{}
	x.flying[c] = f
	for _, fw := range c.Attempts {
		x.sim.at(fw.Deadline.Sub(epoch), func() { f.end(fw, state.AttemptResult{Result: control.TimedOut}) })
	}
}

// launch begins a flight.
func (x *sender) launch(to state.Target) *flight {
	s := x.sim
	s.callNum++
	f := &flight{x: x, to: to, id: s.callNum, hop: NetworkDelay(to.Zone, x.zone), since: s.now}
	x.flights[f] = true
	idle := x.idle[to.ID]
	for len(idle) > 0 && s.now-idle[0] >= idleSpan { // the endpoint has closed these
		s.ground.Model.Disconnect(s.now, to.ID)
		idle = idle[1:]
	}
	if n := len(idle); n > 0 {
		x.idle[to.ID] = idle[:n-1]
		s.at(s.now, f.send)
		return f
	}
	x.idle[to.ID] = idle
	f.fresh = true
	s.result.Connections++
	there, back := f.ways()
	if there.Cut || back.Cut || there.Silent || back.Silent {
		after := f.hop
		if !there.Cut && !back.Cut {
			after = connectSpan
		}
		s.at(s.now+after, func() {
			if !x.dead && !f.over {
				s.note(audit.Event{Kind: audit.FailureSeen, Sender: x.num, Dest: to.Destination, Endpoint: to.ID})
			}
			f.all(state.AttemptResult{Result: control.ConnectFailed})
		})
		return f
	}
	s.at(s.now+f.hop, func() {
		door := s.ground.Model.Connect(s.now, to.ID)
		s.at(s.now+f.hop, func() {
			switch {
			case door == partner.ConnectionRefused:
				if !x.dead {
					s.note(audit.Event{Kind: audit.FailureSeen, Sender: x.num, Dest: to.Destination, Endpoint: to.ID})
				}
				f.all(state.AttemptResult{Result: control.ConnectFailed})
			case f.over && door == partner.ConnectionOpened:
				s.ground.Model.Disconnect(s.now, to.ID)
			case !f.over:
				f.crowded = door == partner.ConnectionOverCapacity
				f.send()
			}
		})
	})
	return f
}

// ways are those between its sender and its endpoint.
func (f *flight) ways() (there, back scenario.LinkState) {
	return f.x.sim.way(f.x.party, f.to.ID), f.x.sim.way(f.to.ID, f.x.party)
}

// send lets the first byte go; the call is whole at the endpoint a hop later.
func (f *flight) send() {
	s := f.x.sim
	if f.over {
		f.park()
		return
	}
	there, back := f.ways()
	if there.Cut || back.Cut {
		s.ground.Model.Disconnect(s.now, f.to.ID)
		f.all(state.AttemptResult{Result: control.ConnectFailed})
		return
	}
	f.left = true
	c := partner.Call{ID: f.id, Sender: f.x.num, Endpoint: f.to.ID, Fresh: f.fresh, OverCapacity: f.crowded, HealthCheck: f.call == nil}
	var ids []string
	if f.call != nil {
		for _, fw := range f.call.Attempts {
			c.Messages = append(c.Messages, partner.Message{ID: fw.Message.ID, Key: fw.Message.Key, Class: fw.Message.Class})
			ids = append(ids, fw.Message.ID)
		}
	}
	s.note(audit.Event{Kind: audit.Sent, Sender: f.x.num, Call: f.id, Endpoint: f.to.ID, Zone: f.to.Zone, Dest: f.to.Destination, Messages: ids})
	s.calls[f.id] = f
	if !there.Passes() {
		return // its time will be up, or the cut has broken it
	}
	s.at(s.now+f.hop+s.late(there), func() {
		if err := s.ground.Model.Call(s.now, c); err != nil { // it has left the list and the earth
			s.at(s.now+f.hop, func() { f.answered(partner.Answer{Call: f.id, Kind: partner.Reset}) })
		}
	})
}

// park keeps a connection for the next call.
func (f *flight) park() {
	x, s := f.x, f.x.sim
	switch {
	case f.crowded:
	case x.dead:
		s.ground.Model.Disconnect(s.now, f.to.ID)
	default:
		x.idle[f.to.ID] = append(x.idle[f.to.ID], s.now)
	}
}

// answered brings an answer to the sender.
func (f *flight) answered(a partner.Answer) {
	s := f.x.sim
	if s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	outcome, cause := OutcomeOf(a.Kind)
	s.note(audit.Event{Kind: audit.Ended, Sender: f.x.num, Call: f.id, Outcome: outcome, RetryAfter: a.RetryAfter, Cause: cause})
	_, back := f.ways()
	if a.Kind != partner.Delivered && back.Passes() {
		s.note(audit.Event{Kind: audit.FailureSeen, Sender: f.x.num, Dest: f.to.Destination, Endpoint: f.to.ID})
	}
	if a.Kind == partner.Delivered && f.call != nil {
		for _, fw := range f.call.Attempts {
			s.delivered(fw.Message.ID)
		}
	}
	if !back.Passes() {
		return // the partner has answered, and the sender does not hear it
	}
	if a.Kind != partner.Reset && !f.over {
		f.park()
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
	if after := s.late(back); after > 0 {
		s.at(s.now+after, func() { f.all(end) })
		return
	}
	f.all(end)
}

// finish marks a flight as over.
func (f *flight) finish() {
	f.over = true
	delete(f.x.flights, f)
	if f.call != nil {
		delete(f.x.flying, f.call)
	}
}

// all ends what is left of a flight.
func (f *flight) all(e state.AttemptResult) {
	if f.over {
		return
	}
	f.finish()
	if f.call == nil {
		f.x.step(state.HealthChecked{Target: f.to.Endpoint.ID, Result: e.Result, Elapsed: f.x.sim.now - f.since})
		return
	}
	var ends []state.AttemptResult
	for _, fw := range f.call.Attempts {
		if !f.ended[fw] {
			f.ended[fw] = true
			e.Attempt, e.Elapsed = fw, f.x.sim.now-f.since
			ends = append(ends, e)
		}
	}
	f.x.step(state.CallEnded{Call: f.call, Results: ends})
}

// end ends one forward; a flight without any is abandoned.
func (f *flight) end(fw *state.Attempt, e state.AttemptResult) {
	if f.x.stopped() {
		f.x.when(func() { f.end(fw, e) })
		return
	}
	if f.over || f.ended[fw] {
		return
	}
	f.ended[fw] = true
	if e.Result == control.TimedOut {
		f.x.sim.note(audit.Event{Kind: audit.FailureSeen, Sender: f.x.num, Dest: f.to.Destination, Endpoint: f.to.ID})
	}
	e.Attempt, e.Elapsed = fw, f.x.sim.now-f.since
	if len(f.ended) == len(f.call.Attempts) {
		f.abandon("timeout")
	}
	f.x.step(state.CallEnded{Call: f.call, Results: []state.AttemptResult{e}})
}

// abandon stops waiting: the connection goes, the work may go on.
func (f *flight) abandon(cause string) {
	f.finish()
	s := f.x.sim
	if !f.left || s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	s.note(audit.Event{Kind: audit.Ended, Sender: f.x.num, Call: f.id, Outcome: audit.Failed, Cause: cause})
	s.at(s.now+f.hop, func() { s.ground.Model.Cancel(s.now, f.id, f.to.ID) })
}

// Cancel calls a call off.
func (x *sender) Cancel(c *state.Call) {
	if f := x.flying[c]; f != nil {
		x.sim.at(x.sim.now, func() { f.quit(control.Canceled) })
	}
}

// quit ends a flight for a reason of the sender's own.
func (f *flight) quit(r control.Result) {
	if f.over {
		return
	}
	f.abandon("cancelled")
	var ends []state.AttemptResult
	for _, fw := range f.call.Attempts {
		if !f.ended[fw] {
			f.ended[fw] = true
			ends = append(ends, state.AttemptResult{Attempt: fw, Result: r, Elapsed: f.x.sim.now - f.since})
		}
	}
	f.x.step(state.CallEnded{Call: f.call, Results: ends})
}

// CancelUnsent ends a call whose first byte has not gone.
func (x *sender) CancelUnsent(c *state.Call) {
	if f := x.flying[c]; f != nil && !f.left {
		x.sim.at(x.sim.now, func() {
			if !f.left {
				f.quit(control.NotSent)
			}
		})
	}
}

// HealthCheck asks an endpoint how it is.
func (x *sender) HealthCheck(t state.Target, deadline time.Time) {
	f := x.launch(t)
	x.sim.at(deadline.Sub(epoch), func() {
		x.when(func() {
			if f.over {
				return
			}
			s := x.sim
			if f.left && s.calls[f.id] != nil {
				delete(s.calls, f.id)
				s.note(audit.Event{Kind: audit.Ended, Sender: x.num, Call: f.id, Outcome: audit.Failed, Cause: "timeout"})
				s.ground.Model.Cancel(s.now, f.id, f.to.ID)
			}
			f.all(state.AttemptResult{Result: control.TimedOut})
		})
	})
}

// Disconnect closes the idle connections to an endpoint.
func (x *sender) Disconnect(endpoint string) {
	for range x.idle[endpoint] {
		x.sim.ground.Model.Disconnect(x.sim.now, endpoint)
	}
	delete(x.idle, endpoint)
}

// Watch begins or ends a watch; without a version it answers with the whole list.
func (x *sender) Watch(on bool, since int64) {
	s := x.sim
	if x.watches = false; !on {
		s.ground.Polled(s.now, x.num, false, false)
		return
	}
	s.at(s.now+listFirst, func() {
		if !x.reaches() {
			s.ground.Polled(s.now, x.num, false, true)
			x.unheard()
			return
		}
		_, blind := s.ground.DiscoveryOutage(s.now)
		if !x.dead {
			s.ground.Polled(s.now, x.num, !blind, blind)
		}
		if blind {
			x.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		x.watches = true
		if since != state.NoVersion {
			x.version = since
			x.hear()
			return
		}
		x.whole()
	})
}

// Fetch answers with the whole list once.
func (x *sender) Fetch() {
	s := x.sim
	s.at(s.now+listFirst, func() {
		if !x.reaches() {
			x.unheard()
			return
		}
		_, blind := s.ground.DiscoveryOutage(s.now)
		if !x.dead && !x.watches {
			s.ground.Polled(s.now, x.num, false, blind)
		}
		if blind {
			x.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		x.whole()
	})
}

func (x *sender) whole() {
	if x.dead {
		return
	}
	lines, version := x.sim.ground.FullList(x.sim.now, x.num)
	x.version = max(x.version, version)
	x.told(control.ListFull, version, lines)
}

// hear tells a sender that watches what is new.
func (x *sender) hear() {
	if _, blind := x.sim.ground.DiscoveryOutage(x.sim.now); blind || !x.watches || x.dead || !x.reaches() {
		return
	}
	lines, version, whole := x.sim.ground.ListChanges(x.sim.now, x.num, x.version)
	x.version = version
	if whole {
		x.told(control.ListFull, version, lines)
	} else if len(lines) > 0 {
		x.told(control.ListDelta, version, lines)
	}
}

func (x *sender) told(form control.ListUpdateKind, version int64, lines []ListedEndpoint) {
	news := state.ListUpdate{Kind: form, Version: version}
	for _, l := range lines {
		if l.State != control.Ready || form == control.ListDelta {
			x.sim.note(audit.Event{Kind: audit.Notified, Sender: x.num, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready})
		}
		t := state.Target{ID: l.ID, Addr: l.Address}
		t.Destination, t.Kind, t.Zone, t.State, t.Weight = l.Dest, l.Kind, l.Zone, l.State, l.Weight
		news.Targets = append(news.Targets, t)
	}
	x.step(news)
}

// blinded: discovery goes down, and watches end.
func (x *sender) blinded() {
	if x.watches && !x.dead {
		x.watches = false
		x.sim.ground.Polled(x.sim.now, x.num, false, true)
		x.step(state.ListUpdate{Kind: control.ListFailed})
	}
}

// A teller carries notes to the other senders: each arrives late, or not at all.
type teller struct{ *sender }

// MinGossipDelay and NoteTo are how long a note takes.
const MinGossipDelay, MaxGossipDelay = 1300 * time.Microsecond, 8700 * time.Microsecond

func (t teller) SendGossip(facts []gossip.Observation) {
	s := t.sim
	sent := gossip.Encode(facts)
	for _, x := range s.senders {
		if x == t.sender {
			continue
		}
		s.result.GossipSent++
		w := s.way(t.party, x.party)
		if s.rng.Float64() < s.plan.Scenario.GossipLoss || !w.Passes() || w.Loss > 0 && s.rng.Float64() < w.Loss {
			continue
		}
		times := 1
		if w.Duplicate > 0 && s.rng.Float64() < w.Duplicate {
			times = 2
		}
		for range times {
			after := MinGossipDelay + time.Duration(s.rng.Int64N(int64(MaxGossipDelay-MinGossipDelay))) + s.late(w)
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

// noticeAgain is when a notice that reached nobody is told again.
const noticeAgain = 500 * time.Millisecond

// Report takes a notice; the client hears of it, and may come again.
func (x *sender) Report(n state.DeliveryReport) {
	x.sim.at(x.sim.now+noticeTime, func() { x.when(func() { x.notice(n) }) })
}

func (x *sender) notice(n state.DeliveryReport) {
	s := x.sim
	if x.dead {
		return // it is in the journal
	}
	if !x.reaches() {
		s.at(s.now+noticeAgain, func() { x.when(func() { x.notice(n) }) })
		return
	}
	s.note(audit.Event{Kind: audit.Notice, Sender: x.num, Message: n.ID, Deferred: n.Deferred, RetryAfter: n.RetryAfter})
	m := s.messages[n.ID]
	if m != nil && n.Deferred {
		s.refused(m, n.ID, n.RetryAfter)
	} else if m != nil {
		delete(s.messages, n.ID)
	}
	x.step(state.ReportsAcknowledged{Nums: []control.MessageID{n.Num}})
}
