package simulation

import (
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// reachesDiscovery reports whether the links to discovery and back pass traffic.
func (sd *sender) reachesDiscovery() bool {
	s := sd.sim
	return s.link(sd.name, scenario.Discovery).Passes() && s.link(scenario.Discovery, sd.name).Passes()
}

// pollFailed notifies the event loop that a poll failed: after discoveryDelay if the link is cut, else after
// pollTimeout.
func (sd *sender) pollFailed() {
	s := sd.sim
	after := discoveryDelay
	if !s.cutBetween(sd.name, scenario.Discovery) {
		after = pollTimeout
	}
	s.at(s.now+after, func() { sd.step(state.ListUpdate{Kind: control.ListFailed}) })
}

// Watch starts or ends a watch of the endpoint list. Since is the list version that the event loop has; for
// state.NoVersion the first update is the full list. Watch and Fetch implement state.Discovery.
func (sd *sender) Watch(on bool, since int64) {
	s := sd.sim
	if sd.watching = false; !on {
		s.environment.Polled(s.now, sd.num, false, false)
		return
	}
	s.at(s.now+discoveryDelay, func() {
		if !sd.reachesDiscovery() {
			s.environment.Polled(s.now, sd.num, false, true)
			sd.pollFailed()
			return
		}
		_, down := s.environment.DiscoveryOutage(s.now)
		if !sd.dead {
			s.environment.Polled(s.now, sd.num, !down, down)
		}
		if down {
			sd.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		sd.watching = true
		if since != state.NoVersion {
			sd.listVersion = since
			sd.receiveChanges()
			return
		}
		sd.receiveFullList()
	})
}

// agentPollInterval is the interval at which a sender to which lists are pushed checks that it still receives them.
const agentPollInterval = 100 * time.Millisecond

// receivePushedLists keeps a sender notified of the list that its agent has.
func (sd *sender) receivePushedLists() {
	if sd.dead {
		return
	}
	if !sd.watching {
		since := sd.listVersion
		if since == 0 {
			since = state.NoVersion
		}
		sd.Watch(true, since)
	}
	sd.sim.at(sd.sim.now+agentPollInterval, sd.receivePushedLists)
}

// Fetch requests the full list once and passes it to the event loop.
func (sd *sender) Fetch() {
	s := sd.sim
	s.at(s.now+discoveryDelay, func() {
		if !sd.reachesDiscovery() {
			sd.pollFailed()
			return
		}
		_, down := s.environment.DiscoveryOutage(s.now)
		if !sd.dead && !sd.watching {
			s.environment.Polled(s.now, sd.num, false, down)
		}
		if down {
			sd.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		sd.receiveFullList()
	})
}

// receiveFullList passes the full list, as discovery currently returns it to this sender, to the event loop.
func (sd *sender) receiveFullList() {
	if sd.dead {
		return
	}
	endpoints, version := sd.sim.environment.FullList(sd.sim.now, sd.num)
	sd.listVersion = max(sd.listVersion, version)
	sd.receiveUpdate(control.ListFull, version, endpoints)
}

// receiveChanges passes the changes after the sender's list version to its event loop, if the sender watches.
func (sd *sender) receiveChanges() {
	s := sd.sim
	if _, down := s.environment.DiscoveryOutage(s.now); down || !sd.watching || sd.dead || !sd.reachesDiscovery() {
		return
	}
	endpoints, version, full := s.environment.ListChanges(s.now, sd.num, sd.listVersion)
	sd.listVersion = version
	if full {
		sd.receiveUpdate(control.ListFull, version, endpoints)
	} else if len(endpoints) > 0 {
		sd.receiveUpdate(control.ListDelta, version, endpoints)
	}
}

// receiveUpdate passes a list update to the event loop, and records which endpoints it notifies the sender of.
func (sd *sender) receiveUpdate(kind control.ListUpdateKind, version int64, endpoints []ListedEndpoint) {
	update := state.ListUpdate{Kind: kind, Version: version}
	for _, l := range endpoints {
		if l.State != control.Ready || kind == control.ListDelta {
			sd.sim.record(audit.Event{
				Kind: audit.Notified, Sender: sd.num, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready,
			})
		}
		t := state.Target{ID: l.ID, Addr: l.Address}
		t.Destination, t.Kind, t.Zone, t.State, t.Weight = l.Dest, l.Kind, l.Zone, l.State, l.Weight
		update.Targets = append(update.Targets, t)
	}
	sd.step(update)
}
