package simulation

import (
	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// reachesDiscovery tells whether discovery and it hear each other.
func (x *sender) reachesDiscovery() bool {
	s := x.sim
	return s.link(x.name, scenario.Discovery).Passes() && s.link(scenario.Discovery, x.name).Passes()
}

// pollFailed: discovery does not answer, and the sender sees it at once or after a while.
func (x *sender) pollFailed() {
	s := x.sim
	after := discoveryDelay
	if !s.link(x.name, scenario.Discovery).Cut && !s.link(scenario.Discovery, x.name).Cut {
		after = pollTimeout
	}
	s.at(s.now+after, func() { x.step(state.ListUpdate{Kind: control.ListFailed}) })
}

// Watch begins or ends a watch; without a version it answers with the whole list.
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

// Fetch answers with the whole list once.
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

func (x *sender) receiveFullList() {
	if x.dead {
		return
	}
	endpoints, version := x.sim.environment.FullList(x.sim.now, x.num)
	x.listVersion = max(x.listVersion, version)
	x.receiveUpdate(control.ListFull, version, endpoints)
}

// receiveChanges tells a sender that watches what is new.
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

func (x *sender) receiveUpdate(kind control.ListUpdateKind, version int64, endpoints []ListedEndpoint) {
	update := state.ListUpdate{Kind: kind, Version: version}
	for _, l := range endpoints {
		if l.State != control.Ready || kind == control.ListDelta {
			x.sim.record(audit.Event{Kind: audit.Notified, Sender: x.num, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready})
		}
		t := state.Target{ID: l.ID, Addr: l.Address}
		t.Destination, t.Kind, t.Zone, t.State, t.Weight = l.Dest, l.Kind, l.Zone, l.State, l.Weight
		update.Targets = append(update.Targets, t)
	}
	x.step(update)
}
