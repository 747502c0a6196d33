package harness

import (
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// linkState is what ails the way between two parties now; under the lock.
func (env *Environment) linkState(from, to string) scenario.LinkState {
	return env.plan.LinkState(env.now(), from, to)
}

// updateLinks: ways have changed; under the lock.
func (env *Environment) updateLinks() {
	for i := range env.discoveryCut {
		cut := !env.linkState(scenario.Sender(i), scenario.Discovery).Passes() || !env.linkState(scenario.Discovery, scenario.Sender(i)).Passes()
		if cut == env.discoveryCut[i] {
			continue
		}
		env.discoveryCut[i] = cut
		env.record(audit.Event{Kind: map[bool]audit.EventKind{true: audit.Unreachable, false: audit.ReachableAgain}[cut], Sender: i})
		if cut {
			env.simulated.Polled(env.now(), i, false, true)
		}
	}
	env.updateListeners()
	close(env.linksChanged)
	env.linksChanged = make(chan struct{})
	if env.links != nil {
		env.links.Refresh()
	}
}

// UseLinks has what passes through links of a net fail as the plan says, from Begin on. Between senders datagrams take as
// long, and are lost as often, as in virtual time.
func (env *Environment) UseLinks(n *netfault.Net) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.links = n
}

// linkRule is what ails a way of the net. It takes no lock: the net has its own.
func (env *Environment) linkRule(begun time.Time) func(from, to string) netfault.State {
	senders := map[string]bool{}
	for i := range env.plan.Scenario.Senders {
		senders[scenario.Sender(i)] = true
	}
	return func(from, to string) netfault.State {
		s := netfault.State(env.plan.LinkState(time.Since(begun), from, to))
		if senders[from] && senders[to] {
			s.Loss = 1 - (1-s.Loss)*(1-env.plan.Scenario.GossipLoss)
			s.Delay, s.Jitter = s.Delay+simulation.MinGossipDelay, s.Jitter+simulation.MaxGossipDelay-simulation.MinGossipDelay
		}
		return s
	}
}
