package simulation

import (
	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// reachesDiscovery reports whether the links to discovery and back pass anything.
func (x *sender) reachesDiscovery() bool {
	s := x.sim
	return s.link(x.name, scenario.Discovery).Passes() && s.link(scenario.Discovery, x.name).Passes()
}

// pollFailed has the loop see that discovery does not answer: soon where the link is cut, else after a timeout.
func (x *sender) pollFailed() {
	s := x.sim
	after := discoveryDelay
	if !s.cutBetween(x.name, scenario.Discovery) {
		after = pollTimeout
	}
	s.at(s.now+after, func() { x.step(state.ListUpdate{Kind: control.ListFailed}) })
}

// Watch begins or ends a watch. Since is the version that the loop knows; for state.NoVersion the first update is the
// full list. It implements state's discovery, as does Fetch.
func (x *sender) Watch(on bool, since int64) {
	s := x.sim
	if x.watching = false; !on {
		s.environment.Polled(s.now, x.num, false, false)
		return
	}
	s.at(s.now+discoveryDelay, func() {
		if !x.reachesDiscovery() {
			s.environment.Polled(s.now, x.num, false, true)
			x.pollFailed()
			return
		}
		_, down := s.environment.DiscoveryOutage(s.now)
		if !x.dead {
			s.environment.Polled(s.now, x.num, !down, down)
		}
		if down {
			x.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		x.watching = true
		if since != state.NoVersion {
			x.listVersion = since
			x.receiveChanges()
			return
		}
		x.receiveFullList()
	})
}

// Fetch gives the loop the full list once.
func (x *sender) Fetch() {
	s := x.sim
	s.at(s.now+discoveryDelay, func() {
		if !x.reachesDiscovery() {
			x.pollFailed()
			return
		}
		_, down := s.environment.DiscoveryOutage(s.now)
		if !x.dead && !x.watching {
			s.environment.Polled(s.now, x.num, false, down)
		}
		if down {
			x.step(state.ListUpdate{Kind: control.ListFailed})
			return
		}
		x.receiveFullList()
	})
}

// receiveFullList gives the loop the list as discovery tells it to this sender now.
func (x *sender) receiveFullList() {
	if x.dead {
		return
	}
	endpoints, version := x.sim.environment.FullList(x.sim.now, x.num)
	x.listVersion = max(x.listVersion, version)
	x.receiveUpdate(control.ListFull, version, endpoints)
}

// receiveChanges gives the loop of a sender that watches what has changed after its version.
func (x *sender) receiveChanges() {
	if _, down := x.sim.environment.DiscoveryOutage(x.sim.now); down || !x.watching || x.dead || !x.reachesDiscovery() {
		return
	}
	endpoints, version, full := x.sim.environment.ListChanges(x.sim.now, x.num, x.listVersion)
	x.listVersion = version
	if full {
		x.receiveUpdate(control.ListFull, version, endpoints)
	} else if len(endpoints) > 0 {
		x.receiveUpdate(control.ListDelta, version, endpoints)
	}
}

// receiveUpdate gives the loop an update, and records of which endpoints it notifies the sender.
func (x *sender) receiveUpdate(kind control.ListUpdateKind, version int64, endpoints []ListedEndpoint) {
	update := state.ListUpdate{Kind: kind, Version: version}
	for _, l := range endpoints {
		if l.State != control.Ready || kind == control.ListDelta {
			x.sim.record(audit.Event{
				Kind: audit.Notified, Sender: x.num, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready,
			})
		}
		t := state.Target{ID: l.ID, Addr: l.Address}
		t.Destination, t.Kind, t.Zone, t.State, t.Weight = l.Dest, l.Kind, l.Zone, l.State, l.Weight
		update.Targets = append(update.Targets, t)
	}
	x.step(update)
}
