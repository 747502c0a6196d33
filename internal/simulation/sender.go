package simulation

import (
	"fmt"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/lease"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// A sender is one process of a sender: an event loop with simulated connections, discovery, delivery reports and
// gossip. When the process has ended, a new one with the same write-ahead log replaces it in Sim.senders.
type sender struct {
	sim         *Sim
	num         int
	name        string // the sender's name as a party of links
	zone        int
	loop        *state.Loop
	submissions []pendingSubmission
	byCall      map[*state.Call]*inFlightCall
	inFlight    map[*inFlightCall]bool // calls and health checks
	timerAt     time.Duration          // time at which the loop's timer elapses; below 0: not set

	watching    bool // discovery notifies the sender of changes after listVersion
	listVersion int64

	accepting    bool // the process accepts connections of clients
	shuttingDown bool // since endedAt
	dead         bool // the process has ended, since endedAt
	endedAt      time.Duration

	unreachable  bool // from discovery, which also receives the delivery reports
	draining     bool // it rejects clients; the load balancer takes it out of rotation at once
	stoppedUntil time.Duration
	stoppedAt    time.Duration
	pendingSteps []func() // work deferred while the process is stopped, in order

	process, predecessor string // names of this process and of the process that handed over to it
	version              string // program version
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
		sim: s, num: num, name: scenario.Sender(num), zone: settings.Zone,
		byCall: map[*state.Call]*inFlightCall{}, inFlight: map[*inFlightCall]bool{}, timerAt: -1, accepting: true,
		process: fmt.Sprintf("n%d-%d", num, s.senderStarts), version: "v1",
	}
	if num < len(s.senders) { // the agent starts the last version again; a lease ends with its process
		sd.version = s.senders[num].version
	}
	dir, hasDir := s.walDirs[num]
	loop, err := state.NewLoop(state.Setup{
		Settings: settings, InitialList: state.ListUpdate{Kind: control.ListCached, Version: state.NoVersion},
		MaxDiskBytes: 3e6, Log: s.log, Clock: s.clock, Dir: dir, InMemory: !hasDir, Counters: &sd.counters,
	})
	if err != nil {
		return nil, err
	}
	loop.Connect(sd, sd, sd)
	loop.ConnectGossip(gossipSender{sd})
	sd.loop = loop
	s.at(s.now, func() { sd.step() })
	if !settings.PollEndpointList {
		s.at(s.now, sd.receivePushedLists)
	}
	return sd, nil
}

// step passes events to the event loop, then writes the responses to clients and sets the timer. While the process is
// stopped, the step is deferred.
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

// setTimer schedules the next time at which the event loop has to be woken.
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

// updateSettings applies new settings to the event loop, as a reload does.
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

// stopped reports whether the process is stopped, as by SIGSTOP.
func (sd *sender) stopped() bool { return sd.sim.now < sd.stoppedUntil }

// stop stops the process until a time. If the process is already stopped, stop can only extend the stop.
func (sd *sender) stop(until time.Duration) {
	s := sd.sim
	if !sd.stopped() {
		sd.stoppedAt = s.now
		s.record(audit.Event{Kind: audit.ProcessEnded, Sender: sd.num}) // no rule requires anything of it until it resumes
	}
	sd.stoppedUntil = max(sd.stoppedUntil, until)
	s.at(sd.stoppedUntil, sd.resume)
}

// resume resumes a stopped process and runs the work deferred meanwhile.
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

// whenRunning calls step at once if the process runs, or when it resumes.
func (sd *sender) whenRunning(step func()) {
	if sd.stopped() {
		sd.pendingSteps = append(sd.pendingSteps, step)
		return
	}
	step()
}

// knownUnavailable reports whether the load balancer has taken the sender out of rotation.
func (sd *sender) knownUnavailable(now time.Duration) bool {
	const shutdownNotice = 200 * time.Millisecond // how long before stopDelay the load balancer notices a shutdown
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

// awaitDrained ends the process once nothing is in flight or the shutdown timeout has passed.
func (sd *sender) awaitDrained() {
	s := sd.sim
	if sd.loop.Drained() || s.now >= sd.endedAt+shutdownTimeout {
		sd.exitProcess()
		return
	}
	s.at(s.now+drainedCheckInterval, sd.awaitDrained)
}

// exitProcess ends the process. Its connections break, and a new process is started after the restart delay.
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
		if f.recordNoAnswer(0, "reset") { // the ledger's events for these calls name no sender
			f.notifyCanceled()
		}
	}
	sd.inFlight, sd.byCall = nil, nil
	sd.loop.Close()
	s.at(s.now+restartDelay+startupDelay, sd.restart)
}

// restart replaces a process that has ended by a new one.
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
