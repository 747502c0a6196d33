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

// inject does something to a sender. A reload without anything new changes nothing in virtual time, where there is no
// file to read again.
func (s *Sim) inject(d scenario.PlannedAction) {
	x := s.senders[d.Sender]
	if x.dead || x.shuttingDown {
		return
	}
	switch d.What {
	case "kill", "wipe":
		cause := ""
		if d.What == "wipe" {
			cause = audit.Wiped
		}
		s.record(audit.Event{Kind: audit.Died, Sender: x.num, Cause: cause})
		x.exit()
		if dir, hasDir := s.walDirs[x.num]; hasDir && d.What == "wipe" {
			if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o700)); err != nil {
				s.fail(err)
			}
		}
	case "term", "signals":
		x.whenRunning(func() {
			if !x.dead && !x.shuttingDown {
				s.record(audit.Event{Kind: audit.Died, Sender: x.num})
				x.terminate()
			}
		})
	case "stop":
		if !x.stopped() {
			x.stoppedAt = s.now
			s.record(audit.Event{Kind: audit.Died, Sender: x.num}) // nothing is due from it until it goes on
		}
		x.stoppedUntil = max(x.stoppedUntil, d.Until)
		s.at(x.stoppedUntil, x.resume)
	case "drain":
		x.draining = true
		if d.Until > 0 {
			s.at(d.Until, func() { s.senders[d.Sender].draining = false })
		}
	case "activate":
		x.draining = false
	case "retune":
		s.settingsUpdates[x.num] = d
		set, err := readProfile(s.profile(x.num), 0)
		if err != nil {
			s.fail(err)
			return
		}
		x.updateSettings(set)
	}
}

// profile is what a sender's configuration says now.
func (s *Sim) profile(num int) map[string]any {
	if d, is := s.settingsUpdates[num]; is {
		return UpdatedSettings(s.plan, d)
	}
	return Profile(s.plan, num)
}

// link is what ails the way between two parties now.
func (s *Sim) link(from, to string) scenario.LinkState {
	if len(s.plan.Links) == 0 {
		return scenario.LinkState{}
	}
	return s.plan.LinkState(s.now, from, to)
}

// extraDelay draws how much later something arrives than on a sound way.
func (s *Sim) extraDelay(w scenario.LinkState) time.Duration {
	if w.Jitter > 0 {
		return w.Delay + time.Duration(s.rng.Int64N(int64(w.Jitter)))
	}
	return w.Delay
}

// linksChanged: ways have changed. Connections on those that are cut now break, and a watch goes on where it was silent.
func (s *Sim) linksChanged() {
	for _, x := range s.senders {
		x.linksChanged()
	}
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

// discoveryDown: discovery goes down, and watches end.
func (x *sender) discoveryDown() {
	if x.watching && !x.dead {
		x.watching = false
		x.sim.environment.Polled(x.sim.now, x.num, false, true)
		x.step(state.ListUpdate{Kind: control.ListFailed})
	}
}

// applyChange does what the plan says, and discovery tells of it, late.
func (s *Sim) applyChange(c scenario.Change) {
	notifiedAt, err := s.environment.Apply(s.now, c)
	if err != nil {
		s.fail(err)
	}
	for num, at := range notifiedAt {
		s.at(at, func() { s.senders[num].receiveChanges() })
	}
}
