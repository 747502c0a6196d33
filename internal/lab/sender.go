package lab

import (
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/state"
)

// A sender is a loop with the virtual world as its carrier, directory and notifier.
type sender struct {
	sim     *Sim
	num     int
	zone    int
	loop    *state.Loop
	waiting []awaiting // hand-ins without a verdict yet
	idle    map[string][]time.Duration
	flying  map[*state.Call]*flight
	wakeAt  time.Duration // below 0 = none
	watched bool
}

// awaiting is a hand-in whose client waits for the verdict.
type awaiting struct {
	id      string
	verdict <-chan state.Verdict
}

func (s *Sim) newSender(num int, set control.Settings) (*sender, error) {
	x := &sender{sim: s, num: num, zone: set.Zone, idle: map[string][]time.Duration{}, flying: map[*state.Call]*flight{}, wakeAt: -1}
	loop, err := state.NewLoop(state.Setup{
		Settings: set, Known: state.News{Form: control.ListCached}, DiskBytes: 3e6, Log: s.log,
		Clock: func() time.Time { return epoch.Add(s.now) }, NoDir: true,
	})
	if err != nil {
		return nil, err
	}
	loop.Connect(x, x, x)
	x.loop = loop
	s.at(0, func() { x.step() })
	return x, nil
}

// step gives the loop events and deals with what came of them.
func (x *sender) step(events ...any) {
	s := x.sim
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
				s.note(audit.Event{What: audit.TurnedAt, Sender: x.num, Message: h.id})
				s.result.Refused++
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

// hop is the time one way to an endpoint.
func (x *sender) hop(zone int) time.Duration {
	if zone == x.zone {
		return sameZone
	}
	return 10 * time.Millisecond
}

// A flight is a call between a sender and an endpoint.
type flight struct {
	x     *sender
	call  *state.Call // nil: a probe
	to    state.Target
	id    uint64
	hop   time.Duration
	fresh bool
	left  bool // its first byte has gone
	over  bool
	ended map[*state.Forward]bool
	since time.Duration
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
	f := &flight{x: x, to: to, id: s.callNum, hop: x.hop(to.Zone), since: s.now}
	idle := x.idle[to.ID]
	for len(idle) > 0 && s.now-idle[0] >= idleSpan { // the endpoint has closed these
		s.model.Disconnect(s.now, to.ID)
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
		up := s.model.Connect(s.now, to.ID)
		s.at(s.now+f.hop, func() {
			switch {
			case !up:
				s.note(audit.Event{What: audit.Saw, Sender: x.num, Dest: to.Destination, Endpoint: to.ID})
				f.all(state.End{Result: control.NoConnection})
			case f.over:
				s.model.Disconnect(s.now, to.ID)
			default:
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
		f.x.park(f.to.ID)
		return
	}
	f.left = true
	s.result.Calls++
	c := partner.Call{ID: f.id, Sender: f.x.num, Endpoint: f.to.ID, Fresh: f.fresh, Probe: f.call == nil}
	var ids []string
	if f.call != nil {
		for _, fw := range f.call.Forwards {
			c.Messages = append(c.Messages, partner.Message{ID: fw.Message.ID, Key: fw.Message.Key})
			ids = append(ids, fw.Message.ID)
		}
	}
	s.note(audit.Event{What: audit.Sent, Sender: f.x.num, Call: f.id, Endpoint: f.to.ID, Zone: f.to.Zone, Dest: f.to.Destination, Messages: ids})
	s.calls[f.id] = f
	s.at(s.now+f.hop, func() {
		if err := s.model.Call(s.now, c); err != nil { // it has left the list and the earth
			s.at(s.now+f.hop, func() { f.answered(partner.Answer{Call: f.id, Kind: partner.Reset}) })
		}
	})
}

// park keeps a connection for the next call.
func (x *sender) park(endpoint string) {
	x.idle[endpoint] = append(x.idle[endpoint], x.sim.now)
}

// answered brings an answer to the sender.
func (f *flight) answered(a partner.Answer) {
	s := f.x.sim
	if s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	outcome := map[partner.Kind]audit.Outcome{partner.Delivered: audit.Delivered, partner.Refused: audit.NeverRan, partner.Rejected: audit.NeverRan}
	o, known := outcome[a.Kind]
	if !known {
		o = audit.Failed
	}
	s.note(audit.Event{What: audit.Ended, Call: f.id, Outcome: o, Wait: a.Wait})
	if a.Kind != partner.Delivered {
		s.note(audit.Event{What: audit.Saw, Sender: f.x.num, Dest: f.to.Destination, Endpoint: f.to.ID})
	}
	if a.Kind == partner.Refused {
		s.result.Refused++
	}
	if a.Kind == partner.Delivered && f.call != nil {
		for _, fw := range f.call.Forwards {
			s.delivered(fw.Message.ID)
		}
	}
	if a.Kind != partner.Reset && !f.over {
		f.x.park(f.to.ID)
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

// all ends what is left of a flight.
func (f *flight) all(e state.End) {
	if f.over {
		return
	}
	f.over = true
	if f.call == nil {
		f.x.step(state.Probed{Target: f.to.Endpoint.ID, Result: e.Result, Took: f.x.sim.now - f.since})
		return
	}
	delete(f.x.flying, f.call)
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
		f.abandon()
	}
	f.x.step(state.Ended{Call: f.call, Ends: []state.End{e}})
}

// abandon stops waiting: the connection goes, the work may go on.
func (f *flight) abandon() {
	f.over = true
	delete(f.x.flying, f.call)
	s := f.x.sim
	if !f.left || s.calls[f.id] == nil {
		return
	}
	delete(s.calls, f.id)
	s.note(audit.Event{What: audit.Ended, Call: f.id, Outcome: audit.Failed})
	s.at(s.now+f.hop, func() { s.model.Cancel(s.now, f.id) })
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
	f.abandon()
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
			s.note(audit.Event{What: audit.Ended, Call: f.id, Outcome: audit.Failed})
			s.model.Cancel(s.now, f.id)
		}
		f.all(state.End{Result: control.TimedOut})
	})
}

// Disconnect closes the idle connections to an endpoint.
func (x *sender) Disconnect(endpoint string) {
	for range x.idle[endpoint] {
		x.sim.model.Disconnect(x.sim.now, endpoint)
	}
	delete(x.idle, endpoint)
}

// Watch answers with the whole list; changes follow by themselves.
func (x *sender) Watch(on bool, _ int64) {
	if on {
		x.Fetch()
	}
}

// Fetch answers with the whole list.
func (x *sender) Fetch() {
	s := x.sim
	s.at(s.now+listFirst, func() {
		news := state.News{Form: control.ListFull, Version: s.version}
		for _, d := range s.plan.Dests {
			for _, e := range d.Endpoints {
				if t := s.targets[e.ID]; t != nil && t.lists {
					news.Targets = append(news.Targets, t.Target)
				}
			}
		}
		x.step(news)
	})
}

// Tell takes a notice; the client hears of it, and may come again.
func (x *sender) Tell(n state.Notice) {
	s := x.sim
	s.at(s.now+noticeTime, func() {
		s.note(audit.Event{What: audit.Notice, Sender: x.num, Message: n.ID, Deferred: n.Deferred})
		m := s.messages[n.ID]
		if m != nil && n.Deferred {
			s.refused(m, n.ID, n.Again)
		} else if m != nil {
			delete(s.messages, n.ID)
		}
		x.step(state.Acknowledged{Nums: []control.MessageID{n.Num}})
	})
}
