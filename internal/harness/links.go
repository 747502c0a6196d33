package harness

import (
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// linkState returns the current state of the link from one party to another. The caller must hold env.mu.
func (env *Environment) linkState(from, to string) scenario.LinkState {
	return env.plan.LinkState(env.now(), from, to)
}

// updateLinks applies the current states of all links: it updates which senders reach discovery, which endpoints
// listen, and the connections that pass through proxied links. The caller must hold env.mu.
func (env *Environment) updateLinks() {
	for i := range env.discoveryCut {
		sender := scenario.Sender(i)
		cut := !env.linkState(sender, scenario.Discovery).Passes() || !env.linkState(scenario.Discovery, sender).Passes()
		if cut == env.discoveryCut[i] {
			continue
		}
		env.discoveryCut[i] = cut
		if !cut {
			env.record(audit.Event{Kind: audit.ReachableAgain, Sender: i})
			continue
		}
		env.record(audit.Event{Kind: audit.Unreachable, Sender: i})
		env.simulated.Polled(env.now(), i, false, true)
	}
	env.updateListeners()
	close(env.linksChanged)
	env.linksChanged = make(chan struct{})
	if env.links != nil {
		env.links.Refresh()
	}
}

// SetNetwork sets the network whose links follow the plan from Begin on. Datagrams between senders also get the delays
// and losses that the simulation in virtual time applies to them.
func (env *Environment) SetNetwork(links *netfault.Net) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.links = links
}

// linkRule returns a function that computes the states of links from the plan, for a run that started at a given time.
// The function does not lock the environment, since the network calls it while holding its own lock.
func (env *Environment) linkRule(started time.Time) func(from, to string) netfault.State {
	senders := map[string]bool{}
	for i := range env.plan.Scenario.Senders {
		senders[scenario.Sender(i)] = true
	}
	return func(from, to string) netfault.State {
		s := netfault.State(env.plan.LinkState(time.Since(started), from, to))
		if senders[from] && senders[to] {
			s.Loss = 1 - (1-s.Loss)*(1-env.plan.Scenario.GossipLoss)
			s.Delay += simulation.MinGossipDelay
			s.Jitter += simulation.MaxGossipDelay - simulation.MinGossipDelay
		}
		return s
	}
}
