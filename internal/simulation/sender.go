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

// A sender is one process of a sender: an event loop whose connections, discovery, delivery reports and gossip are
// simulated. After the process has ended, another one with the same write-ahead log takes its place in Sim.senders.
type sender struct {
	sim         *Sim
	num         int
	name        string // as a party of links
	zone        int
	loop        *state.Loop
	submissions []pendingSubmission
	idleConns   map[string][]time.Duration // by endpoint: since when each connection is idle, the oldest first
	byCall      map[*state.Call]*inFlightCall
	inFlight    map[*inFlightCall]bool // calls and health checks
	timerAt     time.Duration          // when the loop's timer elapses; below 0: not set

	watching    bool  // discovery notifies it of changes...
	listVersion int64 // ...after this version

	accepting    bool // it takes connections of clients
	shuttingDown bool // since endedAt
	dead         bool // the process has ended, since endedAt
	endedAt      time.Duration

	unreachable  bool // from discovery, where delivery reports go, too
	draining     bool // it sends clients away; the load balancer knows at once
	stoppedUntil time.Duration
	stoppedAt    time.Duration
	deferred     []func() // what happened while it was stopped, in order

	process, predecessor string // names of this process, and of the one that handed over to it
	version              string // of its program
	lease                lease.Holder
	counters             state.Counters
}

// newSender starts a process of a sender.
func (s *Sim) newSender(num int) (*sender, error) {
	s.senderStarts++
	set, err := readProfile(s.profile(num), s.plan.Seed*1_000_003+s.senderStarts-1)
	if err != nil {
		return nil, err
	}
	x := &sender{
		sim: s, num: num, name: scenario.Sender(num), zone: set.Zone, idleConns: map[string][]time.Duration{},
		byCall: map[*state.Call]*inFlightCall{}, inFlight: map[*inFlightCall]bool{}, timerAt: -1, accepting: true,
		process: fmt.Sprintf("n%d-%d", num, s.senderStarts), version: "v1",
	}
	if num < len(s.senders) { // the agent starts the version that ran last; the lease ends with its process
		x.version = s.senders[num].version
	}
	dir, hasDir := s.walDirs[num]
	loop, err := state.NewLoop(state.Setup{
		Settings: set, Known: state.ListUpdate{Kind: control.ListCached, Version: state.NoVersion}, DiskBytes: 3e6,
		Log: s.log, Clock: s.clock, Dir: dir, InMemory: !hasDir, Counters: &x.counters,
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

// step gives the loop events and carries out what follows from them.
func (x *sender) step(events ...state.Event) {
	if x.dead {
		return
	}
	if x.stopped() {
		x.whenRunning(func() { x.step(events...) })
		return
	}
	x.loop.Step(events...)
	if written := x.answerClients(); len(written) > 0 {
		x.step(written...)
		return
	}
	x.setTimer()
}

// setTimer schedules the time at which the loop wants to be woken.
func (x *sender) setTimer() {
	wake := x.loop.WakeAt()
	if wake.IsZero() {
		return
	}
	s, at := x.sim, wake.Sub(virtualStart)
	if x.timerAt == at {
		return
	}
	x.timerAt = at
	s.at(at, func() {
		if x.timerAt == at && s.now >= at {
			x.timerAt = -1
			x.step(state.TimerElapsed{})
		}
	})
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
		default: // the process has ended
		}
	})
}

// stopped reports whether its process is stopped, as by SIGSTOP.
func (x *sender) stopped() bool { return x.sim.now < x.stoppedUntil }

// stop stops its process until a time, or a stopped one for longer.
func (x *sender) stop(until time.Duration) {
	s := x.sim
	if !x.stopped() {
		x.stoppedAt = s.now
		s.record(audit.Event{Kind: audit.Died, Sender: x.num}) // nothing is due from it until it goes on
	}
	x.stoppedUntil = max(x.stoppedUntil, until)
	s.at(x.stoppedUntil, x.resume)
}

// resume has a stopped process go on, and do what it could not do meanwhile.
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

// whenRunning calls do, once its process runs.
func (x *sender) whenRunning(do func()) {
	if x.stopped() {
		x.deferred = append(x.deferred, do)
		return
	}
	do()
}

// knownUnavailable reports whether the load balancer sends it no clients.
func (x *sender) knownUnavailable(now time.Duration) bool {
	const shutdownSeenBefore = 200 * time.Millisecond // a shutdown is seen so long before the sender stops to accept
	switch ended := now - x.endedAt; {
	case x.stopped() && now-x.stoppedAt >= DeadSenderTimeout, x.draining, x.drainingByOrder():
		return true
	case x.shuttingDown:
		return ended >= stopDelay-shutdownSeenBefore
	default:
		return x.dead && ended >= DeadSenderTimeout
	}
}

// terminate shuts down gracefully, as lifecycle does on SIGTERM.
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

// awaitDrained ends the process once nothing is in flight, or its time is over.
func (x *sender) awaitDrained() {
	s := x.sim
	if x.loop.Drained() || s.now >= x.endedAt+shutdownTimeout {
		x.exit()
		return
	}
	s.at(s.now+drainedCheckInterval, x.awaitDrained)
}

// exit ends the process: its connections break, and another one is started after a while.
func (x *sender) exit() {
	s := x.sim
	if x.dead {
		return
	}
	x.dead, x.accepting = true, false
	if !x.shuttingDown {
		x.endedAt = s.now
	}
	for _, p := range x.submissions {
		if m := s.messages[p.id]; m != nil {
			s.senderLost(m, p.id, x)
		}
	}
	x.submissions = nil
	for _, f := range s.callsOf(x) {
		f.done = true
		if f.forget(0, "reset") { // in a ledger these calls' ends name no sender
			f.notifyCanceled()
		}
	}
	x.inFlight, x.byCall = nil, nil
	x.loop.Close()
	for _, id := range slices.Sorted(maps.Keys(x.idleConns)) {
		x.Disconnect(id)
	}
	s.at(s.now+restartDelay+startupDelay, x.restart)
}

// restart starts another process in the place of one that has ended.
func (x *sender) restart() {
	s := x.sim
	next, err := s.newSender(x.num)
	if err != nil {
		s.fail(err)
		return
	}
	s.result.Restarts++
	s.senders[x.num] = next
	s.record(audit.Event{Kind: audit.Ready, Sender: x.num})
}
