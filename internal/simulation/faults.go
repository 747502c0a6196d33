package simulation

import (
	"errors"
	"maps"
	"os"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// applyChange makes a change to a partner's endpoint. Discovery notifies the senders of it later.
func (s *Sim) applyChange(c scenario.Change) {
	notifiedAt, err := s.environment.Apply(s.now, c)
	if err != nil {
		s.fail(err)
	}
	for num, at := range notifiedAt {
		s.at(at, func() { s.senders[num].receiveChanges() })
	}
}

// inject carries out an action on a sender, unless its process has ended or is about to. "hup" changes nothing in
// virtual time, where there is no file to read again.
func (s *Sim) inject(a scenario.PlannedAction) {
	x := s.senders[a.Sender]
	if x.dead || x.shuttingDown {
		return
	}
	switch a.What {
	case "kill":
		s.record(audit.Event{Kind: audit.Died, Sender: x.num})
		x.exit()
	case "wipe":
		s.record(audit.Event{Kind: audit.Died, Sender: x.num, Cause: audit.Wiped})
		x.exit()
		dir := s.walDirs[x.num]
		if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o700)); err != nil {
			s.fail(err)
		}
	case "term", "signals":
		x.whenRunning(func() {
			if !x.dead && !x.shuttingDown {
				s.record(audit.Event{Kind: audit.Died, Sender: x.num})
				x.terminate()
			}
		})
	case "stop":
		x.stop(a.Until)
	case "drain":
		x.draining = true
		if a.Until > 0 {
			s.at(a.Until, func() { s.senders[a.Sender].draining = false })
		}
	case "activate":
		x.draining = false
	case "retune":
		s.settingsUpdates[x.num] = a
		set, err := readProfile(s.profile(x.num), 0)
		if err != nil {
			s.fail(err)
			return
		}
		x.updateSettings(set)
	}
}

// profile returns a sender's configuration as it stands.
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

// extraDelay draws how much longer than on a healthy link something is under way.
func (s *Sim) extraDelay(l scenario.LinkState) time.Duration {
	if l.Jitter > 0 {
		return l.Delay + time.Duration(s.rng.Int64N(int64(l.Jitter)))
	}
	return l.Delay
}

// linksChanged has every sender look at its links.
func (s *Sim) linksChanged() {
	for _, x := range s.senders {
		x.linksChanged()
	}
}

// linksChanged breaks the connections on links that are cut now, and resumes the watch of discovery where that is
// reachable again.
func (x *sender) linksChanged() {
	s := x.sim
	for _, f := range s.callsOf(x) {
		if !f.sent || !s.cutBetween(x.name, f.target.ID) {
			continue
		}
		if f.forget(x.num, "reset") {
			f.notifyCanceled()
		}
		f.endAll(state.AttemptResult{Result: control.ConnectionLost})
	}
	for _, id := range slices.Sorted(maps.Keys(x.idleConns)) {
		if s.cutBetween(x.name, id) {
			x.Disconnect(id)
		}
	}
	reachable := x.reachesDiscovery()
	if reachable == x.unreachable {
		x.unreachable = !reachable
		kind := audit.Unreachable
		if reachable {
			kind = audit.ReachableAgain
		}
		s.record(audit.Event{Kind: kind, Sender: x.num})
	}
	if reachable {
		x.receiveChanges()
	} else if x.watching {
		x.watching = false
		s.environment.Polled(s.now, x.num, false, true)
		x.pollFailed()
	}
}

// discoveryDown ends the watch as an outage of discovery begins.
func (x *sender) discoveryDown() {
	if x.watching && !x.dead {
		x.watching = false
		x.sim.environment.Polled(x.sim.now, x.num, false, true)
		x.step(state.ListUpdate{Kind: control.ListFailed})
	}
}
