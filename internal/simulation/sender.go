package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/lease"
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
