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
	pendingSteps []func() // what happened while it was stopped, in order

	process, predecessor string // names of this process, and of the one that handed over to it
	version              string // of its program
	lease                lease.Holder
	counters             state.Counters
}

// newSender starts a process of a sender.
func (s *Sim) newSender(num int) (*sender, error) {
	s.senderStarts++
	settings, err := readProfile(s.profile(num), s.plan.Seed*1_000_003+s.senderStarts-1)
	if err != nil {
		return nil, err
	}
	sd := &sender{
		sim: s, num: num, name: scenario.Sender(num), zone: settings.Zone, idleConns: map[string][]time.Duration{},
		byCall: map[*state.Call]*inFlightCall{}, inFlight: map[*inFlightCall]bool{}, timerAt: -1, accepting: true,
		process: fmt.Sprintf("n%d-%d", num, s.senderStarts), version: "v1",
	}
	if num < len(s.senders) { // the agent starts the version that ran last; the lease ends with its process
		sd.version = s.senders[num].version
	}
	dir, hasDir := s.walDirs[num]
	loop, err := state.NewLoop(state.Setup{
		Settings: settings, Known: state.ListUpdate{Kind: control.ListCached, Version: state.NoVersion}, DiskBytes: 3e6,
		Log: s.log, Clock: s.clock, Dir: dir, InMemory: !hasDir, Counters: &sd.counters,
	})
	if err != nil {
		return nil, err
	}
	loop.Connect(sd, sd, sd)
	loop.ConnectPeers(gossipSender{sd})
	sd.loop = loop
	s.at(s.now, func() { sd.step() })
	return sd, nil
}

// step gives the loop events and carries out what follows from them.
func (sd *sender) step(events ...state.Event) {
	if sd.dead {
		return
	}
	if sd.stopped() {
		sd.whenRunning(func() { sd.step(events...) })
		return
	}
	sd.loop.Step(events...)
	if written := sd.answerClients(); len(written) > 0 {
		sd.step(written...)
		return
	}
	sd.setTimer()
}

// setTimer schedules the time at which the loop wants to be woken.
func (sd *sender) setTimer() {
	wake := sd.loop.WakeAt()
	if wake.IsZero() {
		return
	}
	s, at := sd.sim, wake.Sub(virtualStart)
	if sd.timerAt == at {
		return
	}
	sd.timerAt = at
	s.at(at, func() {
		if sd.timerAt == at && s.now >= at {
			sd.timerAt = -1
			sd.step(state.TimerElapsed{})
		}
	})
}

// updateSettings has the loop take other settings, as a reload does.
func (sd *sender) updateSettings(settings control.Settings) {
	done := make(chan state.SettingsResult, 1)
	var classes []state.NamedClass
	for i, c := range settings.Classes {
		classes = append(classes, state.NamedClass{Name: sd.sim.plan.Scenario.Traffic.Classes[i].Name, Class: c})
	}
	sd.step(state.UpdateSettings{Settings: settings, Classes: classes, Done: done})
	sd.whenRunning(func() {
		select {
		case r := <-done:
			if r.Err != nil {
				sd.sim.fail(r.Err)
			}
		default: // the process has ended
		}
	})
}

// stopped reports whether its process is stopped, as by SIGSTOP.
func (sd *sender) stopped() bool { return sd.sim.now < sd.stoppedUntil }

// stop stops its process until a time, or a stopped one for longer.
func (sd *sender) stop(until time.Duration) {
	s := sd.sim
	if !sd.stopped() {
		sd.stoppedAt = s.now
		s.record(audit.Event{Kind: audit.Died, Sender: sd.num}) // nothing is due from it until it goes on
	}
	sd.stoppedUntil = max(sd.stoppedUntil, until)
	s.at(sd.stoppedUntil, sd.resume)
}

// resume has a stopped process go on, and do what it could not do meanwhile.
func (sd *sender) resume() {
	if sd.stopped() || sd.dead {
		return
	}
	sd.sim.record(audit.Event{Kind: audit.Ready, Sender: sd.num})
	for len(sd.pendingSteps) > 0 && !sd.dead {
		step := sd.pendingSteps[0]
		sd.pendingSteps = sd.pendingSteps[1:]
		step()
	}
}

// whenRunning calls do, once its process runs.
func (sd *sender) whenRunning(step func()) {
	if sd.stopped() {
		sd.pendingSteps = append(sd.pendingSteps, step)
		return
	}
	step()
}

// knownUnavailable reports whether the load balancer sends it no clients.
func (sd *sender) knownUnavailable(now time.Duration) bool {
	const shutdownNotice = 200 * time.Millisecond // a shutdown is seen so long before the sender stops to accept
	switch sinceEnd := now - sd.endedAt; {
	case sd.stopped() && now-sd.stoppedAt >= DeadSenderTimeout, sd.draining, sd.drainOrdered():
		return true
	case sd.shuttingDown:
		return sinceEnd >= stopDelay-shutdownNotice
	default:
		return sd.dead && sinceEnd >= DeadSenderTimeout
	}
}

// terminate shuts down gracefully, as lifecycle does on SIGTERM.
func (sd *sender) terminate() {
	s := sd.sim
	sd.shuttingDown, sd.endedAt = true, s.now
	s.at(s.now+stopDelay, func() {
		sd.loop.Stop()
		sd.step()
		sd.accepting = false
		sd.awaitDrained()
	})
	s.at(s.now+haltDelay, func() {
		if !sd.dead {
			sd.loop.Halt()
			sd.step()
		}
	})
}

// awaitDrained ends the process once nothing is in flight, or its time is over.
func (sd *sender) awaitDrained() {
	s := sd.sim
	if sd.loop.Drained() || s.now >= sd.endedAt+shutdownTimeout {
		sd.exitProcess()
		return
	}
	s.at(s.now+drainedCheckInterval, sd.awaitDrained)
}

// exitProcess ends the process: its connections break, and another one is started after a while.
func (sd *sender) exitProcess() {
	s := sd.sim
	if sd.dead {
		return
	}
	sd.dead, sd.accepting = true, false
	if !sd.shuttingDown {
		sd.endedAt = s.now
	}
	for _, p := range sd.submissions {
		if m := s.messages[p.id]; m != nil {
			s.connectionLost(m, p.id, sd)
		}
	}
	sd.submissions = nil
	for _, f := range s.callsOf(sd) {
		f.done = true
		if f.recordNoAnswer(0, "reset") { // in a ledger these calls' ends name no sender
			f.notifyCanceled()
		}
	}
	sd.inFlight, sd.byCall = nil, nil
	sd.loop.Close()
	for _, id := range slices.Sorted(maps.Keys(sd.idleConns)) {
		sd.Disconnect(id)
	}
	s.at(s.now+restartDelay+startupDelay, sd.restart)
}

// restart starts another process in the place of one that has ended.
func (sd *sender) restart() {
	s := sd.sim
	next, err := s.newSender(sd.num)
	if err != nil {
		s.fail(err)
		return
	}
	s.result.Restarts++
	s.senders[sd.num] = next
	s.record(audit.Event{Kind: audit.Ready, Sender: sd.num})
}
