package endpointgroup

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// removedRetention is how long a target that left is known by its number: it may come back under its id, and the
// controller remembers it for a while. Then it is forgotten, as new ones may replace old ones all day.
const removedRetention = 2 * time.Minute

// Group is the endpoint group. It is not safe for concurrent use.
type Group struct {
	byID              map[string]*Target
	byNumber          map[control.EndpointID]*Target
	byHash            map[uint32]control.EndpointID // by the hashes that gossip uses
	version           int64
	nextNumber        control.EndpointID
	knownDestinations map[int]bool         // destinations that have or had a target
	removedAt         map[string]time.Time // targets off the list, and since when
	excluded          map[string]bool      // ids of targets that operators have taken out
	suspended         bool                 // nothing new goes to any target

	unavailableSince map[control.EndpointID]time.Time // when discovery told that a target drains or is gone
}

// New returns a group of which nothing is known yet.
func New() *Group {
	return &Group{
		byID: map[string]*Target{}, byNumber: map[control.EndpointID]*Target{}, byHash: map[uint32]control.EndpointID{},
		version: NoVersion, nextNumber: 1, knownDestinations: map[int]bool{}, removedAt: map[string]time.Time{},
		unavailableSince: map[control.EndpointID]time.Time{},
	}
}

// Version returns the version of the latest list; NoVersion where there was none.
func (g *Group) Version() int64 { return g.version }

// ByID returns a target by its id; nil where it is not known.
func (g *Group) ByID(id string) *Target { return g.byID[id] }

// ByNumber returns a target by the controller's number; nil where it is not known.
func (g *Group) ByNumber(number control.EndpointID) *Target { return g.byNumber[number] }

// NumberByHash returns the number of a target by the hash that gossip names it by.
func (g *Group) NumberByHash(hash uint32) (number control.EndpointID, known bool) {
	number, known = g.byHash[hash]
	return number, known
}

// All returns all targets that are known, those that left not long ago included, in no order.
func (g *Group) All() iter.Seq[*Target] { return maps.Values(g.byID) }

// UnavailableSince returns when discovery told that a target drains or is gone; the zero time stands for never.
func (g *Group) UnavailableSince(number control.EndpointID) time.Time {
	return g.unavailableSince[number]
}

// Serves tells whether a destination has or had a target; as long as none is known at all, any may have one.
func (g *Group) Serves(destination int) bool {
	return len(g.knownDestinations) == 0 || g.knownDestinations[destination]
}

// Ready tells whether a target is on the list and not about to leave it.
func (g *Group) Ready(id string) bool {
	t := g.byID[id]
	_, removed := g.removedAt[id]
	return t != nil && !removed && t.State == control.Ready
}

// Available tells whether the controller sees a target as one that takes new work.
func (g *Group) Available(t Target) bool {
	known := g.byNumber[t.Endpoint.ID]
	_, removed := g.removedAt[t.ID]
	return known != nil && !removed && g.controllerState(known).State == control.Ready
}

// Listed returns the targets that are on the list, by id.
func (g *Group) Listed() []ListedTarget {
	list := make([]ListedTarget, 0, len(g.byID))
	for id, t := range g.byID {
		if _, removed := g.removedAt[id]; !removed {
			list = append(list, ListedTarget{ID: id, Dest: t.Destination, Kind: t.Kind, Up: t.State == control.Ready})
		}
	}
	slices.SortFunc(list, func(a, b ListedTarget) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// controllerState is a target as the controller is to see it: one that is excluded drains, and all do while sends are
// suspended.
func (g *Group) controllerState(t *Target) control.Endpoint {
	e := t.Endpoint
	if (g.suspended || g.excluded[t.ID]) && e.State == control.Ready {
		e.State = control.Draining
	}
	return e
}

// SetExcluded takes the ids of all targets that are excluded, and returns those that change by it, as the controller
// is to see them, by number.
func (g *Group) SetExcluded(ids []string) []control.Endpoint {
	before := g.excluded
	g.excluded = make(map[string]bool, len(ids))
	for _, id := range ids {
		g.excluded[id] = true
	}
	var changed []control.Endpoint
	for id, t := range g.byID {
		if _, removed := g.removedAt[id]; !removed && g.excluded[id] != before[id] {
			changed = append(changed, g.controllerState(t))
		}
	}
	slices.SortFunc(changed, byNumber)
	return changed
}

// SetSuspended suspends sends to all targets, or lets them go on, and returns those that change by it, as the
// controller is to see them, by number.
func (g *Group) SetSuspended(suspended bool) (endpoints []control.Endpoint, changed bool) {
	if g.suspended == suspended {
		return nil, false
	}
	g.suspended = suspended
	for id, t := range g.byID {
		if g.Ready(id) && !g.excluded[id] {
			endpoints = append(endpoints, g.controllerState(t))
		}
	}
	slices.SortFunc(endpoints, byNumber)
	return endpoints, true
}

func byNumber(a, b control.Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// Update enters an answer of discovery and returns its targets as the controller is to see them, in the answer's
// order. A target that leaves keeps its number for a while.
func (g *Group) Update(kind control.ListUpdateKind, version int64, targets []Target, now time.Time) []control.Endpoint {
	if kind == control.ListFailed {
		return nil
	}
	g.version = version
	if kind != control.ListDelta {
		for id := range g.byID { // those that a whole list leaves out are gone
			g.remove(id, now)
		}
	}
	g.forgetRemoved(now)
	endpoints := make([]control.Endpoint, 0, len(targets))
	for _, t := range targets {
		known := g.byID[t.ID]
		if known == nil {
			if t.State == control.Removed {
				continue
			}
			known = g.add(t)
		}
		if t.State != control.Removed {
			known.Addr = t.Addr
			delete(g.removedAt, t.ID)
		} else {
			g.remove(t.ID, now)
		}
		t.Endpoint.ID, t.Destination = known.Endpoint.ID, known.Destination
		known.Endpoint = t.Endpoint
		g.trackReadiness(known, now)
		endpoints = append(endpoints, g.controllerState(known))
	}
	return endpoints
}

// UpdateDeparting enters targets that drain or are gone, of those that are known, and returns them as the controller
// is to see them. The version of the list stays: there may be more to it.
func (g *Group) UpdateDeparting(departing []Target, now time.Time) []control.Endpoint {
	known := slices.DeleteFunc(slices.Clone(departing), func(t Target) bool { return g.byID[t.ID] == nil })
	if len(known) == 0 {
		return nil
	}
	return g.Update(control.ListDelta, g.version, known, now)
}

// add gives a new target its number.
func (g *Group) add(t Target) *Target {
	known := &Target{ID: t.ID}
	known.Endpoint.ID = g.nextNumber
	g.nextNumber++
	g.byID[t.ID], g.byNumber[known.Endpoint.ID] = known, known
	g.byHash[gossip.HashID(t.ID)] = known.Endpoint.ID
	known.Destination = t.Destination
	g.knownDestinations[t.Destination] = true
	return known
}

// remove notes that a target is not listed any more.
func (g *Group) remove(id string, now time.Time) {
	if _, before := g.removedAt[id]; !before {
		g.removedAt[id] = now
	}
	if t := g.byID[id]; t != nil {
		g.trackReadiness(t, now)
	}
}

// trackReadiness notes since when a target is not ready.
func (g *Group) trackReadiness(t *Target, now time.Time) {
	number := t.Endpoint.ID
	if g.Ready(t.ID) {
		delete(g.unavailableSince, number)
	} else if _, before := g.unavailableSince[number]; !before {
		g.unavailableSince[number] = now
	}
}

// forgetRemoved forgets the targets that left long ago.
func (g *Group) forgetRemoved(now time.Time) {
	for id, since := range g.removedAt {
		if now.Sub(since) < removedRetention {
			continue
		}
		delete(g.removedAt, id)
		number := g.byID[id].Endpoint.ID
		delete(g.byNumber, number)
		delete(g.unavailableSince, number)
		if hash := gossip.HashID(id); g.byHash[hash] == number {
			delete(g.byHash, hash)
		}
		delete(g.byID, id)
	}
}
