package harness

import (
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// Where lists are pushed, an agent on the machine of each sender holds the latest list. The sender counts as notified of
// whatever the agent has, whether it asks or not. While discovery is down or out of reach, the agent is silent and
// learns nothing.

// agentUpdateInterval is the interval at which the agents' lists are updated.
const agentUpdateInterval = 5 * time.Millisecond

// agentReachable reports whether the agent of a sender answers and learns of changes. The caller must hold env.mu.
func (env *Environment) agentReachable(now time.Duration, sender int) bool {
	_, outage := env.simulated.DiscoveryOutage(now)
	return !outage && !env.discoveryCut[sender]
}

// runAgents records what the agents learn, until the run ends.
func (env *Environment) runAgents() {
	for env.sleep(agentUpdateInterval) {
		env.mu.Lock()
		for i := range env.agentVersions {
			env.updateAgent(i)
		}
		env.mu.Unlock()
	}
}

// updateAgent records the changes that an agent has learned of. The caller must hold env.mu.
func (env *Environment) updateAgent(sender int) {
	now := env.now()
	if !env.agentReachable(now, sender) {
		return
	}
	changes, version := env.simulated.AgentChanges(now, sender, env.agentVersions[sender])
	env.agentVersions[sender] = version
	for _, l := range changes {
		env.record(audit.Event{
			Kind: audit.Notified, Sender: sender, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready,
		})
	}
}

// KnownList returns the endpoint list of a sender's configuration: that of the beginning of the run.
func (env *Environment) KnownList(sender int) []any {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.knownList(0, sender).Servers
}

// heldList returns the endpoint list as a sender last held it.
func (env *Environment) heldList(sender int) knownList {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.heldLists[sender]
}

// knownList returns the endpoint list that discovery returns to a sender, in the form of the configuration. The caller
// must hold env.mu.
func (env *Environment) knownList(now time.Duration, sender int) knownList {
	lines, version := env.simulated.FullList(now, sender)
	list := knownList{Full: true, Servers: []any{}, Version: version}
	for _, l := range lines {
		list.Servers = append(list.Servers, env.listedServer(sender, l))
	}
	return list
}

// refusesCall reports whether an address that has been taken over from an endpoint of another destination must not be
// reachable for a sender yet. The sender can't know of it before it was notified that the earlier endpoint leaves and
// the drain grace has passed. The caller must hold env.mu.
func (e *endpointListener) refusesCall() bool {
	if e.previous == "" {
		return false
	}
	notifiedAt, notified := e.env.auditor.NotifiedOfDeparture(e.sender, e.previous)
	return !notified || e.env.now() < notifiedAt+takeoverGrace(e.env.plan.Scenario.Settings)
}

// takeoverGrace returns the time after the notification of a departure in which the sender may still call the address.
func takeoverGrace(s scenario.SenderSettings) time.Duration {
	return s.DrainGrace + 50*time.Millisecond
}
