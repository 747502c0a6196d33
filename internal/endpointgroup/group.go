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

// removedRetention is how long a removed target keeps its number. Within this time it may be listed again under the
// same ID, and the controller still has state for it. Then it is deleted, as memory would otherwise grow without bound
// where new targets replace old ones continuously.
const removedRetention = 2 * time.Minute

// Group is the set of known targets of a sender. It is not safe for concurrent use.
type Group struct {
	byID              map[string]*Target
	byNumber          map[control.EndpointID]*Target
	byHash            map[uint32]control.EndpointID // numbers by the ID hashes that gossip uses
	version           int64
	nextNumber        control.EndpointID
	maxTargets        int                  // 0: unlimited
	ignored           int                  // listed targets beyond maxTargets, counted each time
	knownDestinations map[int]bool         // destinations that have or had a target
	removedAt         map[string]time.Time // removal times of targets that are no longer listed, by ID
	excluded          map[string]bool      // IDs of targets that operators have excluded
	suspended         bool                 // no new sends go to any target

	// departed holds the IDs of targets that have left according to another source than the list, which has them as ready:
	// an earlier process, or an incomplete answer of discovery. It ends with the next complete answer, which holds all
	// changes since the version of the list.
	departed map[string]bool

	unavailableSince map[control.EndpointID]time.Time // when discovery first reported a target as draining or removed
}

// New returns a group without targets or list version, for at most maxTargets targets. 0 means unlimited.
func New(maxTargets int) *Group {
	return &Group{
		byID: map[string]*Target{}, byNumber: map[control.EndpointID]*Target{}, byHash: map[uint32]control.EndpointID{},
		version: NoVersion, nextNumber: 1, maxTargets: maxTargets, knownDestinations: map[int]bool{}, removedAt: map[string]time.Time{},
		unavailableSince: map[control.EndpointID]time.Time{}, departed: map[string]bool{},
	}
}

// Version returns the version of the latest list, or NoVersion if there was none.
func (g *Group) Version() int64 { return g.version }

// Ignored returns how many listed targets were ignored so far because there were too many.
func (g *Group) Ignored() int { return g.ignored }

// ByID returns the target with an ID, or nil if it is unknown.
func (g *Group) ByID(id string) *Target { return g.byID[id] }

// ByNumber returns the target with a controller number, or nil if it is unknown.
func (g *Group) ByNumber(number control.EndpointID) *Target { return g.byNumber[number] }

// NumberByHash returns the number of the target whose ID has the given gossip hash.
func (g *Group) NumberByHash(hash uint32) (number control.EndpointID, known bool) {
	number, known = g.byHash[hash]
	return number, known
}

// All returns all known targets, including recently removed ones, in no particular order.
func (g *Group) All() iter.Seq[*Target] { return maps.Values(g.byID) }

// UnavailableSince returns when discovery first reported a target as draining or removed, or the zero time if the
// target is ready.
func (g *Group) UnavailableSince(number control.EndpointID) time.Time {
	return g.unavailableSince[number]
}

// Serves reports whether a destination has or had a target. It returns true for any destination as long as no target is
// known at all.
func (g *Group) Serves(destination int) bool {
	return len(g.knownDestinations) == 0 || g.knownDestinations[destination]
}

// Ready reports whether a target is listed and has not left, regardless of exclusion and suspension.
func (g *Group) Ready(id string) bool { return g.listedReady(id) && !g.departed[id] }

// listedReady reports whether a target is ready according to the list.
func (g *Group) listedReady(id string) bool {
	t := g.byID[id]
	_, removed := g.removedAt[id]
	return t != nil && !removed && t.State == control.Ready
}

// Available reports whether the controller may plan new sends to a target, given exclusion and suspension.
func (g *Group) Available(t Target) bool {
	known := g.byNumber[t.Endpoint.ID]
	_, removed := g.removedAt[t.ID]
	return known != nil && !removed && g.controllerState(known).State == control.Ready
}

// Targets returns the listed targets in no particular order.
func (g *Group) Targets() []Target {
	var list []Target
	for id, t := range g.byID {
		if _, removed := g.removedAt[id]; !removed {
			list = append(list, *t)
		}
	}
	return list
}

// Listed returns the listed targets in ascending order of ID.
func (g *Group) Listed() []ListedTarget {
	list := make([]ListedTarget, 0, len(g.byID))
	for id, t := range g.byID {
		if _, removed := g.removedAt[id]; !removed {
			list = append(list, ListedTarget{ID: id, Dest: t.Destination, Kind: t.Kind, Up: g.Ready(id)})
		}
	}
	slices.SortFunc(list, func(a, b ListedTarget) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// controllerState returns a target's endpoint as passed to the controller. A ready target is passed as draining if it
// has left, is excluded or sends are suspended.
func (g *Group) controllerState(t *Target) control.Endpoint {
	e := t.Endpoint
	if (g.suspended || g.excluded[t.ID] || g.departed[t.ID]) && e.State == control.Ready {
		e.State = control.Draining
	}
	return e
}

// SetExcluded replaces the set of excluded targets by their IDs. It returns the new states for the controller of
// targets whose exclusion changed, in ascending order of number.
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

// Suspended reports whether sends to all targets are suspended.
func (g *Group) Suspended() bool { return g.suspended }

// SetSuspended suspends or resumes sends to all targets. It returns the new states for the controller of targets that
// are affected, in ascending order of number, and whether the suspension changed.
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

// Update applies a list update from discovery and returns the new states of its targets for the controller, in the
// order of the update. They are followed by those of targets of which the update tells that they have not left. A
// removed target keeps its number for removedRetention.
func (g *Group) Update(kind control.ListUpdateKind, version int64, targets []Target, now time.Time) []control.Endpoint {
	if kind == control.ListFailed {
		return nil
	}
	g.version = version
	departed := g.departed
	if kind != control.ListCached {
		g.departed = map[string]bool{}
	}
	if kind != control.ListDelta {
		for id := range g.byID { // a full list removes the targets that it lacks; those it contains are restored below
			g.remove(id, now)
		}
	}
	g.pruneRemoved(now)
	endpoints := make([]control.Endpoint, 0, len(targets))
	for _, t := range targets {
		known := g.byID[t.ID]
		if known == nil {
			if t.State == control.Removed {
				continue
			}
			if g.maxTargets > 0 && len(g.byID) >= g.maxTargets {
				g.ignored++
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
	return append(endpoints, g.returned(departed, endpoints, now)...)
}

// returned returns the states for the controller of the targets that had left and are ready now, without those that an
// update contains.
func (g *Group) returned(departed map[string]bool, updated []control.Endpoint, now time.Time) []control.Endpoint {
	var endpoints []control.Endpoint
	for id := range departed {
		if !g.Ready(id) {
			continue
		}
		t := g.byID[id]
		g.trackReadiness(t, now)
		if !slices.ContainsFunc(updated, func(e control.Endpoint) bool { return e.ID == t.Endpoint.ID }) {
			endpoints = append(endpoints, g.controllerState(t))
		}
	}
	slices.SortFunc(endpoints, byNumber)
	return endpoints
}

// UpdateDeparting applies reports of draining or removed targets and returns the new states for the controller. The list
// stays the same, as the reports may be only a part of a list update: they count until the next complete one.
func (g *Group) UpdateDeparting(departing []Target, now time.Time) []control.Endpoint {
	ids := make([]string, 0, len(departing))
	for _, t := range departing {
		ids = append(ids, t.ID)
	}
	return g.MarkDeparted(ids, now)
}

// MarkDeparted records that targets have left, ignoring those that the list does not have as ready, and returns the new
// states for the controller. It counts until the next complete list update.
func (g *Group) MarkDeparted(ids []string, now time.Time) []control.Endpoint {
	var endpoints []control.Endpoint
	for _, id := range ids {
		if !g.Ready(id) {
			continue
		}
		g.departed[id] = true
		g.trackReadiness(g.byID[id], now)
		endpoints = append(endpoints, g.controllerState(g.byID[id]))
	}
	return endpoints
}

// WithoutDoubt returns a target as it is listed, but draining if it has left.
func (g *Group) WithoutDoubt(t Target) Target {
	if g.departed[t.ID] && t.State == control.Ready {
		t.State = control.Draining
	}
	return t
}

// Departed returns the sorted IDs of the targets that have left although the list has them as ready.
func (g *Group) Departed() []string {
	ids := slices.DeleteFunc(slices.Collect(maps.Keys(g.departed)), func(id string) bool { return !g.listedReady(id) })
	slices.Sort(ids)
	return ids
}

// add adds a new target and assigns its number.
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

// remove records that a target is no longer listed.
func (g *Group) remove(id string, now time.Time) {
	if _, before := g.removedAt[id]; !before {
		g.removedAt[id] = now
	}
	if t := g.byID[id]; t != nil {
		g.trackReadiness(t, now)
	}
}

// trackReadiness records since when a target has not been ready.
func (g *Group) trackReadiness(t *Target, now time.Time) {
	number := t.Endpoint.ID
	if g.Ready(t.ID) {
		delete(g.unavailableSince, number)
	} else if _, before := g.unavailableSince[number]; !before {
		g.unavailableSince[number] = now
	}
}

// pruneRemoved deletes the targets that were removed at least removedRetention ago.
func (g *Group) pruneRemoved(now time.Time) {
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
