package state

import (
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/endpointgroup"
)

// A doubt about the endpoint list outlives the process: it is stored in the state folder for the next process, and passed
// to a successor at a hand-over. There it ends as it would have here, with a complete answer of discovery or at its
// deadline.

// ListDoubt tells the known from the doubted in the endpoint list of a HandoverState. The list itself has the endpoints
// that may have left as draining, and NoVersion while there is a doubt, for a successor that knows nothing of ListDoubt:
// it polls the full list, which ends the doubt.
type ListDoubt struct {
	// LatestFor is the time since the latest answer of discovery that could not be read. 0 = the list is certain.
	LatestFor time.Duration `json:"latest_ns,omitempty"`
	// Departed holds the IDs of endpoints that have left although the latest complete list has them as ready.
	Departed []string `json:"departed,omitempty"`
}

// departuresRetryInterval is the delay between two attempts to store the departures.
const departuresRetryInterval = 100 * time.Millisecond

// storeDepartures stores for the next process which endpoints have left, and the doubt about the others. A failed write
// is repeated.
func (l *Loop) storeDepartures() {
	if l.successor != nil {
		return // another process owns the state folder
	}
	var doubt endpointgroup.Doubt
	if since, latest := l.certainty.lasting(l.group.Suspended(), l.settings.DrainGrace > 0); !since.IsZero() {
		base := l.wal.TimeBase()
		doubt = endpointgroup.Doubt{Since: base.Stamp(since), Latest: base.Stamp(latest)}
	}
	if l.departures.Update(l.group, doubt) || l.departuresRetryPending {
		return
	}
	l.departuresRetryPending = true
	l.runAfter(departuresRetryInterval, func() {
		l.departuresRetryPending = false
		l.storeDepartures()
	})
}

// restoreDepartures applies what an earlier process stored about the endpoint list that this process starts with.
func (l *Loop) restoreDepartures() {
	doubt := l.departures.Doubt()
	switch {
	case doubt != endpointgroup.Doubt{}:
		base := l.wal.TimeBase()
		l.restoreUncertainty(base.Time(doubt.Since), base.Time(doubt.Latest))
	case l.departures.MayAllHaveLeft(l.group.Targets()):
		l.departures.ForgetIDs()
		timeout := UncertaintyTimeout(l.settings.MaxPollInterval)
		l.restoreUncertainty(l.now.Add(-timeout), l.now)
	}
	l.markDeparted(l.departures.IDs())
	l.reviewList()
}

// markDeparted withholds new sends from endpoints that have left, until discovery has answered.
func (l *Loop) markDeparted(ids []string) {
	if endpoints := l.group.MarkDeparted(ids, l.now); len(endpoints) > 0 {
		l.log.Info("endpoints draining until discovery answers", "count", len(endpoints))
		l.endpointsExcluded(endpoints)
	}
}

// restoreUncertainty continues the uncertainty of an earlier process. It does not end before this process has been able
// to poll discovery.
func (l *Loop) restoreUncertainty(since, latest time.Time) {
	since, latest = earliest(since, l.now), earliest(latest, l.now)
	l.certainty.markUncertain(since)
	l.certainty.markUncertain(latest)
	l.certainty.endsAfter = l.now.Add(l.settings.PollSpread() + initialListTimeout)
	l.log.Warn("endpoint list is uncertain since an earlier process", "elapsed", l.now.Sub(since).Round(time.Millisecond))
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// handOverListDoubt adds the doubt about the endpoint list to the state for a successor.
func (l *Loop) handOverListDoubt(s *HandoverState) {
	s.ListDoubt = &ListDoubt{Departed: l.group.Departed()}
	if l.certainty.uncertain() {
		s.UncertainFor = max(1, l.now.Sub(l.certainty.since))
		s.ListDoubt.LatestFor = max(1, l.now.Sub(l.certainty.latest))
	}
}

// handedOverList returns the endpoint list that a successor starts with.
func handedOverList(s *HandoverState) ListUpdate {
	list := ListUpdate{Kind: control.ListCached, Version: s.Version, Targets: slices.Clone(s.Targets)}
	if s.ListDoubt == nil {
		list.Version = NoVersion // an earlier version doesn't tell which endpoints it only doubts
		return list
	}
	for i := range list.Targets {
		if slices.Contains(s.ListDoubt.Departed, list.Targets[i].ID) {
			list.Targets[i].State = control.Ready // as the list has it; restoreListDoubt follows
		}
	}
	return list
}

// restoreListDoubt continues the predecessor's doubt about the endpoint list, once the endpoints are listed.
func (l *Loop) restoreListDoubt(s *HandoverState) {
	elapsed := max(0, l.now.Sub(l.handoverTime(s)))
	latest := s.UncertainFor
	if s.ListDoubt != nil {
		latest = s.ListDoubt.LatestFor
		l.markDeparted(s.ListDoubt.Departed)
	}
	if s.UncertainFor > 0 {
		l.restoreUncertainty(l.now.Add(-elapsed-s.UncertainFor), l.now.Add(-elapsed-latest))
	}
	l.reviewList()
}
