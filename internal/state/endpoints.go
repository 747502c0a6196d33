package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/endpointgroup"
	"cleathold/internal/gossip"
)

// Target is one endpoint as the endpoint group knows it.
type Target = endpointgroup.Target

// ListedTarget is a target as discovery lists it.
type ListedTarget = endpointgroup.ListedTarget

// NoVersion stands where no version of the endpoint list is known.
const NoVersion = endpointgroup.NoVersion

// ListUpdate is one answer of discovery. Its targets are not numbered yet.
type ListUpdate struct {
	Kind       control.ListUpdateKind
	Version    int64
	Targets    []Target
	PollPaused bool // the next poll does not follow at once
}

func (e ListUpdate) apply(l *Loop) {
	l.controller.UpdateEndpoints(l.sinceStart(), e.Kind, l.group.Update(e.Kind, e.Version, e.Targets, l.now))
	l.applyRetryAfters(e.Targets)
	l.withholdUnavailable()
	l.notifyCapacity()
	if e.Kind == control.ListFull || e.Kind == control.ListDelta {
		l.departures.Update(l.group)
		l.listKnown(e.PollPaused)
	}
}

// ListUnreadable tells that an answer of discovery began at a time and could not be read, or not to its end. Leaving
// are the targets that the part which came names as draining or gone.
type ListUnreadable struct {
	At        time.Time
	Departing []Target
}

func (e ListUnreadable) apply(l *Loop) {
	l.certainty.markUncertain(e.At)
	l.counters.unreadableLists.Add(1)
	if endpoints := l.group.UpdateDeparting(e.Departing, l.now); len(endpoints) > 0 {
		l.log.Info("endpoints draining, from part of a list", "count", len(endpoints))
		l.endpointsExcluded(endpoints)
		l.departures.Update(l.group)
	}
	l.reviewList()
}

// PollOpen tells that a poll is open at discovery, which would have answered had there been anything to tell.
type PollOpen struct{}

func (PollOpen) apply(l *Loop) { l.listKnown(false) }

// PollFailed tells that the poll after a pause failed: what was told since a time is not known.
type PollFailed struct{ Since time.Time }

func (e PollFailed) apply(l *Loop) {
	l.certainty.markUncertain(e.Since)
	l.reviewList()
}

// ExclusionsChanged tells which targets operators have excluded: all of them, by their ids.
type ExclusionsChanged struct{ IDs []string }

func (e ExclusionsChanged) apply(l *Loop) {
	if endpoints := l.group.SetExcluded(e.IDs); len(endpoints) > 0 {
		l.endpointsExcluded(endpoints)
		l.log.Info("endpoints excluded by the operators", "count", len(e.IDs), "changed", len(endpoints))
	}
}

// endpointsExcluded has the controller know which endpoints take new work, where that is not by a list of discovery.
func (l *Loop) endpointsExcluded(endpoints []control.Endpoint) {
	l.controller.UpdateEndpoints(l.sinceStart(), control.ListExcluded, endpoints)
	l.withholdUnavailable()
}

// HealthChecked is the result of a health check.
type HealthChecked struct {
	Target  control.EndpointID
	Result  control.Result
	Elapsed time.Duration
}

func (e HealthChecked) apply(l *Loop) {
	l.controller.HealthChecked(l.sinceStart(), e.Target, e.Result, e.Elapsed, nil)
}

// GossipReceived is what another sender tells, by that sender's number.
type GossipReceived struct {
	Peer         int
	Observations []gossip.Observation
}

// Of endpoints that this sender does not know nothing is passed on.
func (e GossipReceived) apply(l *Loop) {
	for _, o := range e.Observations {
		if number, known := l.group.NumberByHash(o.EndpointHash); known {
			observation := control.Observation{Endpoint: number, Kind: o.Kind, Age: o.Age, Peer: e.Peer}
			l.controller.ReceiveGossip(l.sinceStart(), observation)
		}
	}
}

// notifyCapacity tells the dead-letter queue what the endpoint group knows of destinations.
func (l *Loop) notifyCapacity() {
	if l.deadLetterQueue == nil {
		return
	}
	all := map[int]DestinationCapacity{}
	for t := range l.group.All() {
		if t.State == control.Removed {
			continue
		}
		x := all[t.Destination]
		if l.separateRoutes(t.Kind) {
			x.Weight += t.Weight
		} else {
			x.Weight = max(x.Weight, t.Weight)
		}
		if t.State == control.Ready {
			x.Ready++
		}
		all[t.Destination] = x
	}
	l.deadLetterQueue.CapacityChanged(all)
}
