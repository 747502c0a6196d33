package simulation

import (
	"errors"
	"os"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// applyChange applies a change to a partner's endpoint and schedules the notifications of the senders by discovery.
func (s *Sim) applyChange(c scenario.Change) {
	notifiedAt, err := s.environment.Apply(s.now, c)
	if err != nil {
		s.fail(err)
	}
	for num, at := range notifiedAt {
		s.at(at, func() { s.senders[num].receiveChanges() })
	}
}

// applyAction performs an action on a sender, unless its process has ended or is shutting down. "hup" has no effect in
// virtual time, since there is no file to reload.
func (s *Sim) applyAction(action scenario.PlannedAction) {
	sd := s.senders[action.Sender]
	if sd.dead || sd.shuttingDown {
		return
	}
	switch action.Kind {
	case "kill":
		s.record(audit.Event{Kind: audit.ProcessEnded, Sender: sd.num})
		sd.exitProcess()
	case "wipe":
		s.record(audit.Event{Kind: audit.ProcessEnded, Sender: sd.num, Cause: audit.StateLost})
		sd.exitProcess()
		dir := s.walDirs[sd.num]
		if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o700)); err != nil {
			s.fail(err)
		}
	case "term", "signals":
		sd.whenRunning(func() {
			if !sd.dead && !sd.shuttingDown {
				s.record(audit.Event{Kind: audit.ProcessEnded, Sender: sd.num})
				sd.terminate()
			}
		})
	case "stop":
		sd.stop(action.Until)
	case "drain":
		sd.draining = true
		if action.Until > 0 {
			s.at(action.Until, func() { s.senders[action.Sender].draining = false })
		}
	case "activate":
		sd.draining = false
	case "retune":
		s.settingsUpdates[sd.num] = action
		settings, err := readProfile(s.profile(sd.num), 0)
		if err != nil {
			s.fail(err)
			return
		}
		sd.updateSettings(settings)
	}
}

// profile returns a sender's current configuration.
func (s *Sim) profile(num int) map[string]any {
	if a, ok := s.settingsUpdates[num]; ok {
		return UpdatedSettings(s.plan, a)
	}
	return Profile(s.plan, num)
}

// link returns the state of the link from one party to another.
func (s *Sim) link(from, to string) scenario.LinkState {
	if len(s.plan.Links) == 0 {
		return scenario.LinkState{}
	}
	return s.plan.LinkState(s.now, from, to)
}

// cutBetween reports whether the link between two parties is cut in either direction.
func (s *Sim) cutBetween(a, b string) bool { return s.link(a, b).Cut || s.link(b, a).Cut }

// extraDelay draws the delay that a link adds to that of a healthy one.
func (s *Sim) extraDelay(l scenario.LinkState) time.Duration {
	if l.Jitter > 0 {
		return l.Delay + time.Duration(s.rng.Int64N(int64(l.Jitter)))
	}
	return l.Delay
}

// linksChanged applies the new link states to all senders.
func (s *Sim) linksChanged() {
	for _, sd := range s.senders {
		sd.linksChanged()
	}
}

// linksChanged breaks the connections on links that are now cut. It ends the watch if discovery has become unreachable,
// and passes pending list changes to the event loop if discovery is reachable.
func (sd *sender) linksChanged() {
	s := sd.sim
	for _, f := range s.callsOf(sd) {
		if !f.sent || !s.cutBetween(sd.name, f.target.ID) {
			continue
		}
		if f.recordNoAnswer(sd.num, "reset") {
			f.notifyCanceled()
		}
		f.end(state.AttemptResult{Result: control.ConnectionLost})
	}
	reachable := sd.reachesDiscovery()
	if reachable == sd.unreachable {
		sd.unreachable = !reachable
		kind := audit.Unreachable
		if reachable {
			kind = audit.ReachableAgain
		}
		s.record(audit.Event{Kind: kind, Sender: sd.num})
	}
	if reachable {
		sd.receiveChanges()
	} else if sd.watching {
		sd.watching = false
		s.environment.Polled(s.now, sd.num, false, true)
		sd.pollFailed()
	}
}

// discoveryDown ends the watch at the beginning of an outage of discovery.
func (sd *sender) discoveryDown() {
	if sd.watching && !sd.dead {
		sd.watching = false
		sd.sim.environment.Polled(sd.sim.now, sd.num, false, true)
		sd.step(state.ListUpdate{Kind: control.ListFailed})
	}
}
