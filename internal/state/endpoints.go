package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/endpointgroup"
	"cleathold/internal/gossip"
)

// Target is an endpoint as the endpoint group knows it.
type Target = endpointgroup.Target

// ListedTarget is a target as discovery lists it.
type ListedTarget = endpointgroup.ListedTarget

// NoVersion is the version of the endpoint list when none is known.
const NoVersion = endpointgroup.NoVersion

// ListUpdate is one answer of discovery. Its targets do not have endpoint numbers yet.
type ListUpdate struct {
	Kind       control.ListUpdateKind
	Version    int64
	Targets    []Target
	PollPaused bool // the next poll does not start immediately
}

func (e ListUpdate) apply(l *Loop) {
	ignored := l.group.Ignored()
	l.controller.UpdateEndpoints(l.sinceStart(), e.Kind, l.group.Update(e.Kind, e.Version, e.Targets, l.now))
	if n := l.group.Ignored() - ignored; n > 0 {
		l.log.Error("more endpoints than the memory limit allows, the last ones are ignored", "count", n)
	}
	l.applyRetryAfters(e.Targets)
	l.withholdUnavailable()
	l.notifyCapacity()
	if e.Kind == control.ListFull || e.Kind == control.ListDelta {
		l.listKnown(e.PollPaused)
	}
}

// ListUnreadable is the event that an answer of discovery could not be read, or not completely. StartedAt is when the
// answer began. Departing holds the targets that the part that could be read lists as draining or removed.
type ListUnreadable struct {
	StartedAt time.Time
	Departing []Target
}

func (e ListUnreadable) apply(l *Loop) {
	l.certainty.markUncertain(e.StartedAt)
	l.counters.unreadableLists.Add(1)
	if endpoints := l.group.UpdateDeparting(e.Departing, l.now); len(endpoints) > 0 {
		l.log.Info("endpoints draining according to an incomplete endpoint list", "count", len(endpoints))
		l.endpointsExcluded(endpoints)
	}
	l.reviewList()
}

// ListResponseBegan is the event that a response of discovery has begun, at StartedAt, and is not complete yet. If the
// process ends now, the next one must know that the response may have told of changes. ListResponseEnded follows.
type ListResponseBegan struct{ StartedAt time.Time }

func (e ListResponseBegan) apply(l *Loop) {
	l.certainty.responseSince = e.StartedAt
	l.storeDepartures()
}

// ListResponseEnded is the event that a response that had begun is over. An event with what it told, or that it could not
// be read, was posted before.
type ListResponseEnded struct{}

func (e ListResponseEnded) apply(l *Loop) {
	l.certainty.responseSince = time.Time{}
	l.storeDepartures()
}

// PollFailed is the event that the poll after a pause failed, so that list updates since a time may have been missed.
type PollFailed struct{ UncertainSince time.Time }

func (e PollFailed) apply(l *Loop) {
	l.certainty.markUncertain(e.UncertainSince)
	l.reviewList()
}

// ExclusionsChanged holds the IDs of all targets that operators have excluded.
type ExclusionsChanged struct{ IDs []string }

func (e ExclusionsChanged) apply(l *Loop) {
	if endpoints := l.group.SetExcluded(e.IDs); len(endpoints) > 0 {
		l.endpointsExcluded(endpoints)
		l.log.Info("endpoints excluded by the operators", "count", len(e.IDs), "changed", len(endpoints))
	}
}

// endpointsExcluded notifies the controller which endpoints take new work, when that changed for another reason than a
// list update.
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

// GossipReceived holds the observations that another sender sent. Peer is that sender's number.
type GossipReceived struct {
	Peer         int
	Observations []gossip.Observation
}

// apply ignores observations of endpoints that this sender does not know.
func (e GossipReceived) apply(l *Loop) {
	for _, o := range e.Observations {
		if number, known := l.group.NumberByHash(o.EndpointHash); known {
			observation := control.Observation{Endpoint: number, Kind: o.Kind, Age: o.Age, Peer: e.Peer}
			l.controller.ReceiveGossip(l.sinceStart(), observation)
		}
	}
}

// notifyCapacity passes the capacity of each destination, as the endpoint group knows it, to the dead-letter queue.
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
		if l.group.Ready(t.ID) {
			x.Ready++
		}
		all[t.Destination] = x
	}
	l.deadLetterQueue.CapacityChanged(all)
}
