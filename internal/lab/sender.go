package lab

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/note"
	"cleathold/internal/partner"
	"cleathold/internal/state"
)

// A sender is one process's life: a loop with the virtual world as its carrier,
// directory and notifier. After its death another takes its place and its journal.
type sender struct {
	sim     *Sim
	num     int
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
}

// awaiting is a hand-in whose client waits for the verdict.
type awaiting struct {
	id      string
	verdict <-chan state.Verdict
}

// newSender begins a process's life.
func (s *Sim) newSender(num int) (*sender, error) {
	s.starts++
	set, err := Settings(s.plan, num, s.plan.Seed*1_000_003+s.starts-1)
	if err != nil {
		return nil, err
	}
	x := &sender{
		sim: s, num: num, zone: set.Zone, idle: map[string][]time.Duration{}, flying: map[*state.Call]*flight{}, flights: map[*flight]bool{},
		wakeAt: -1, open: true,
	}
	dir, kept := s.dirs[num]
	loop, err := state.NewLoop(state.Setup{
		Settings: set, Known: state.News{Form: control.ListCached, Version: state.NoVersion}, DiskBytes: 3e6, Log: s.log,
		Clock: func() time.Time { return epoch.Add(s.now) }, Dir: dir, NoDir: !kept,
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
	return (x.dead || x.leaving) && now-x.leftAt >= FrontSpan || x.leaving && now-x.leftAt >= stopSpan-200*time.Millisecond
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
	if x.loop.Quiet() || s.now >= x.leftAt+finishSpan {
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
			s.note(audit.Event{What: audit.Ended, Call: f.id, Outcome: audit.Failed, Cause: "reset"})
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
		s.note(audit.Event{What: audit.Ready, Sender: x.num})
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
func (x *sender) step(events ...any) {
	s := x.sim
	if x.dead {
		return
	}
	x.loop.Step(events...)
	var answered []any
	rest := x.waiting[:0]
	for _, h := range x.waiting {
		select {
		case v := <-h.verdict:
			m := s.messages[h.id]
			if v.Taken {
				s.note(audit.Event{What: audit.Taken, Sender: x.num, Message: h.id})
				answered = append(answered, state.Answered{ID: h.id, OK: true})
			} else {
				s.note(audit.Event{What: audit.TurnedAt, Sender: x.num, Message: h.id, Wait: v.Again})
				if m != nil && !v.Fatal {
					s.refused(m, h.id, v.Again)
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
					x.step(any(nil)) // the timer
				}
			})
		}
	}
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
	ended   map[*state.Forward]bool
	since   time.Duration
}

// Carry takes a call out: on an idle connection, or on a new one.
func (x *sender) Carry(c *state.Call) {
	f := x.launch(c.Target)
	f.call, f.ended = c, map[*state.Forward]bool{}
	x.flying[c] = f
	for _, fw := range c.Forwards {
		x.sim.at(fw.Deadline.Sub(epoch), func() { f.end(fw, state.End{Result: control.TimedOut}) })
	}
}

// launch begins a flight.
func (x *sender) launch(to state.Target) *flight {
	s := x.sim
	s.callNum++
	f := &flight{x: x, to: to, id: s.callNum, hop: Hop(to.Zone, x.zone), since: s.now}
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
	s.result.Conns++
	s.at(s.now+f.hop, func() {
		door := s.ground.Model.Connect(s.now, to.ID)
		s.at(s.now+f.hop, func() {
			switch {
			case door == partner.Refuses:
				if !x.dead {
					s.note(audit.Event{What: audit.Saw, Sender: x.num, Dest: to.Destination, Endpoint: to.ID})
				}
				f.all(state.End{Result: control.NoConnection})
			case f.over && door == partner.Opens:
				s.ground.Model.Disconnect(s.now, to.ID)
			case !f.over:
				f.crowded = door == partner.Crowds
				f.send()
			}
		})
	})
	return f
}

// send lets the first byte go; the call is whole at the endpoint a hop later.
func (f *flight) send() {
	s := f.x.sim
	if f.over {
		f.park()
		return
	}
	f.left = true
	c := partner.Call{ID: f.id, Sender: f.x.num, Endpoint: f.to.ID, Fresh: f.fresh, Crowded: f.crowded, Probe: f.call == nil}
	var ids []string
	if f.call != nil {
		for _, fw := range f.call.Forwards {
			c.Messages = append(c.Messages, partner.Message{ID: fw.Message.ID, Key: fw.Message.Key, Class: fw.Message.Class})
			ids = append(ids, fw.Message.ID)
		}
	}
	s.note(audit.Event{What: audit.Sent, Sender: f.x.num, Call: f.id, Endpoint: f.to.ID, Zone: f.to.Zone, Dest: f.to.Destination, Messages: ids})
	s.calls[f.id] = f
	s.at(s.now+f.hop, func() {
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
	s.note(audit.Event{What: audit.Ended, Sender: f.x.num, Call: f.id, Outcome: outcome, Wait: a.Wait, Cause: cause})
	if a.Kind != partner.Delivered {
		s.note(audit.Event{What: audit.Saw, Sender: f.x.num, Dest: f.to.Destination, Endpoint: f.to.ID})
	}
	if a.Kind == partner.Delivered && f.call != nil {
		for _, fw := range f.call.Forwards {
			s.delivered(fw.Message.ID)
		}
	}
	if a.Kind != partner.Reset && !f.over {
		f.park()
	}
	end := state.End{Wait: a.Wait}
	switch a.Kind {
	case partner.Delivered:
		end.Result, end.Finished = control.Served, true
	case partner.Errored:
		end.Result = control.Errored
	case partner.Refused:
		end.Result = control.Full
	case partner.Reset:
		end.Result = control.Broken
	case partner.Rejected:
		end.Result = control.Rejected
	default:
		end.Result = control.Unknown
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
func (f *flight) all(e state.End) {
	if f.over {
		return
	}
	f.finish()
	if f.call == nil {
		f.x.step(state.Probed{Target: f.to.Endpoint.ID, Result: e.Result, Took: f.x.sim.now - f.since})
		return
	}
	var ends []state.End
	for _, fw := range f.call.Forwards {
		if !f.ended[fw] {
			f.ended[fw] = true
			e.Forward, e.Took = fw, f.x.sim.now-f.since
			ends = append(ends, e)
		}
	}
	f.x.step(state.Ended{Call: f.call, Ends: ends})
}

// end ends one forward; a flight without any is abandoned.
func (f *flight) end(fw *state.Forward, e state.End) {
	if f.over || f.ended[fw] {
		return
	}
	f.ended[fw] = true
	if e.Result == control.TimedOut {
		f.x.sim.note(audit.Event{What: audit.Saw, Sender: f.x.num, Dest: f.to.Destination, Endpoint: f.to.ID})
	}
	e.Forward, e.Took = fw, f.x.sim.now-f.since
	if len(f.ended) == len(f.call.Forwards) {
		f.abandon("timeout")
	}
	f.x.step(state.Ended{Call: f.call, Ends: []state.End{e}})
}

// abandon stops waiting: the connection goes, the work may go on.
func (f *flight) abandon(cause string) {
	f.finish()
	s := f.x.sim
	if !f.left || s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	s.note(audit.Event{What: audit.Ended, Sender: f.x.num, Call: f.id, Outcome: audit.Failed, Cause: cause})
	s.at(s.now+f.hop, func() { s.ground.Model.Cancel(s.now, f.id, f.to.ID) })
}

// Abandon calls a call off.
func (x *sender) Abandon(c *state.Call) {
	if f := x.flying[c]; f != nil {
		x.sim.at(x.sim.now, func() { f.quit(control.Cancelled) })
	}
}

// quit ends a flight for a reason of the sender's own.
func (f *flight) quit(r control.Result) {
	if f.over {
		return
	}
	f.abandon("cancelled")
	var ends []state.End
	for _, fw := range f.call.Forwards {
		if !f.ended[fw] {
			f.ended[fw] = true
			ends = append(ends, state.End{Forward: fw, Result: r, Took: f.x.sim.now - f.since})
		}
	}
	f.x.step(state.Ended{Call: f.call, Ends: ends})
}

// Withhold ends a call whose first byte has not gone.
func (x *sender) Withhold(c *state.Call) {
	if f := x.flying[c]; f != nil && !f.left {
		x.sim.at(x.sim.now, func() {
			if !f.left {
				f.quit(control.Moot)
			}
		})
	}
}

// Probe asks an endpoint how it is.
func (x *sender) Probe(t state.Target, deadline time.Time) {
	f := x.launch(t)
	x.sim.at(deadline.Sub(epoch), func() {
		if f.over {
			return
		}
		s := x.sim
		if f.left && s.calls[f.id] != nil {
			delete(s.calls, f.id)
			s.note(audit.Event{What: audit.Ended, Sender: x.num, Call: f.id, Outcome: audit.Failed, Cause: "timeout"})
			s.ground.Model.Cancel(s.now, f.id, f.to.ID)
		}
		f.all(state.End{Result: control.TimedOut})
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
		s.ground.Asked(s.now, x.num, false, false)
		return
	}
	s.at(s.now+listFirst, func() {
		_, blind := s.ground.Blind(s.now)
		if !x.dead {
			s.ground.Asked(s.now, x.num, !blind, blind)
		}
		if blind {
			x.step(state.News{Form: control.ListFailed})
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
		_, blind := s.ground.Blind(s.now)
		if !x.dead && !x.watches {
			s.ground.Asked(s.now, x.num, false, blind)
		}
		if blind {
			x.step(state.News{Form: control.ListFailed})
			return
		}
		x.whole()
	})
}

func (x *sender) whole() {
	if x.dead {
		return
	}
	lines, version := x.sim.ground.Whole(x.sim.now, x.num)
	x.version = max(x.version, version)
	x.told(control.ListFull, version, lines)
}

// hear tells a sender that watches what is new.
func (x *sender) hear() {
	if _, blind := x.sim.ground.Blind(x.sim.now); blind || !x.watches || x.dead {
		return
	}
	lines, version, whole := x.sim.ground.Since(x.sim.now, x.num, x.version)
	x.version = version
	if whole {
		x.told(control.ListFull, version, lines)
	} else if len(lines) > 0 {
		x.told(control.ListDelta, version, lines)
	}
}

func (x *sender) told(form control.ListNews, version int64, lines []Line) {
	news := state.News{Form: form, Version: version}
	for _, l := range lines {
		if l.State != control.Ready || form == control.ListDelta {
			x.sim.note(audit.Event{What: audit.Told, Sender: x.num, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready})
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
		x.sim.ground.Asked(x.sim.now, x.num, false, true)
		x.step(state.News{Form: control.ListFailed})
	}
}

// A teller carries notes to the other senders: each arrives late, or not at all.
type teller struct{ *sender }

// noteFrom and noteTo are how long a note takes.
const noteFrom, noteTo = 1300 * time.Microsecond, 8700 * time.Microsecond

func (t teller) Tell(facts []note.Fact) {
	s := t.sim
	sent := note.Encode(facts)
	for _, x := range s.senders {
		if x == t.sender {
			continue
		}
		s.result.Notes++
		if s.rng.Float64() < s.plan.Scenario.NotesLost {
			continue
		}
		s.at(s.now+noteFrom+time.Duration(s.rng.Int64N(int64(noteTo-noteFrom))), func() {
			if facts, err := note.Decode(sent); err == nil && !x.dead {
				x.step(state.Heard{Sender: t.num, Facts: facts})
			}
		})
	}
}

// Tell takes a notice; the client hears of it, and may come again.
func (x *sender) Tell(n state.Notice) {
	s := x.sim
	s.at(s.now+noticeTime, func() {
		if x.dead {
			return // it is in the journal
		}
		s.note(audit.Event{What: audit.Notice, Sender: x.num, Message: n.ID, Deferred: n.Deferred, Wait: n.Again})
		m := s.messages[n.ID]
		if m != nil && n.Deferred {
			s.refused(m, n.ID, n.Again)
		} else if m != nil {
			delete(s.messages, n.ID)
		}
		x.step(state.Acknowledged{Nums: []control.MessageID{n.Num}})
	})
}
