package simulation

import (
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
)

const (
	maxListDelay                = 3 * time.Second     // discovery tells a sender of a change this late at most
	maxPollInterval             = 10 * time.Second    // a sender that has not asked for so long counts as told what was listed before that...
	maxPollIntervalAfterFailure = 4 * maxPollInterval // ...and for so long if discovery failed it then (WIRE, guarantees.must-ask-in-ms)
	sameZoneDelay               = 500 * time.Microsecond
	crossZoneDelay              = 10 * time.Millisecond
)

// ListedEndpoint is an endpoint as discovery lists it.
type ListedEndpoint struct {
	ID      string
	Address string // the id of the endpoint that had this address first
	Dest    int
	Kind    int
	Zone    int
	State   control.EndpointState
	Weight  float64
}

// A scheduledUpdate is a change that a sender is told of from a time on.
type scheduledUpdate struct {
	due      time.Duration
	version  int64
	endpoint ListedEndpoint
	previous ListedEndpoint // as the sender knew it...
	known    bool           // ...if it did
}

// NotifiedCheckInterval is how often Deem is to be called.
const NotifiedCheckInterval = 250 * time.Millisecond

// An pollState is how a sender stands with discovery.
type pollState struct {
	lastAt   time.Duration // it asked last, or its watch ended
	watching bool
	failed   bool
	notified int // of left, those of which it counts as told
}

type departure struct {
	at   time.Duration
	id   string
	dest int
}

// announce draws when each sender is told of a change. Its order stays: no sender
// is told of the newer of two changes first.
func (g *Environment) announce(now time.Duration, previous ListedEndpoint, known bool, id string) []time.Duration {
	g.version++
	due := make([]time.Duration, len(g.updates))
	for i := range g.updates {
		due[i] = now + time.Duration(g.rng.Float64()*float64(maxListDelay))
		if n := len(g.updates[i]); n > 0 {
			due[i] = max(due[i], g.updates[i][n-1].due)
		}
		g.updates[i] = append(g.updates[i], scheduledUpdate{due[i], g.version, g.listed[id], previous, known})
	}
	return due
}

// Polled tells that a sender asked discovery, or that its watch ended, and whether
// discovery failed it.
func (g *Environment) Polled(now time.Duration, sender int, watches, failed bool) {
	a := &g.polls[sender]
	a.lastAt, a.watching, a.failed = now, watches, failed
}

// Watching tells whether a sender has a call open at discovery that waits for news.
func (g *Environment) Watching(sender int) bool { return g.polls[sender].watching }

// MarkNotified notes what senders count as told of that have neither watched nor asked for
// as long as they may.
func (g *Environment) MarkNotified(now time.Duration) {
	for i := range g.polls {
		a := &g.polls[i]
		interval := maxPollInterval
		if a.failed {
			interval = maxPollIntervalAfterFailure
		}
		if a.watching || now-a.lastAt < interval {
			continue
		}
		for ; a.notified < len(g.departures) && g.departures[a.notified].at <= now-interval; a.notified++ {
			l := g.departures[a.notified]
			g.record(audit.Event{Kind: audit.Notified, Sender: i, Endpoint: l.id, Dest: l.dest, Leaves: true})
		}
	}
}

// DiscoveryOutage tells whether discovery is down, and until when.
func (g *Environment) DiscoveryOutage(now time.Duration) (until time.Duration, down bool) {
	for _, b := range g.Plan.DiscoveryOutages {
		if now >= b.From && now < b.To {
			return b.To, true
		}
	}
	return 0, false
}

// ListChanges returns what has changed for a sender after a version, and its version now.
// Whole is true where too much was forgotten: it is then the whole list.
func (g *Environment) ListChanges(now time.Duration, sender int, since int64) (endpoints []ListedEndpoint, version int64, full bool) {
	if since < g.baseVersions[sender] {
		endpoints, version = g.FullList(now, sender)
		return endpoints, version, true
	}
	version = since
	seen := 0
	for _, t := range g.updates[sender] {
		if t.due > now {
			break
		}
		if t.version <= since {
			seen++ // it has these
			continue
		}
		endpoints, version = append(endpoints, t.endpoint), t.version
	}
	if seen > 0 {
		g.baseVersions[sender] = g.updates[sender][seen-1].version
		g.updates[sender] = slices.Delete(g.updates[sender], 0, seen)
	}
	return endpoints, version, false
}

// NextListUpdate is when a sender is told of something newer than a version; false where
// nothing is on its way.
func (g *Environment) NextListUpdate(sender int, since int64) (time.Duration, bool) {
	for _, t := range g.updates[sender] {
		if t.version > since {
			return t.due, true
		}
	}
	return 0, false
}

// FullList is the list as a sender is told of it now.
func (g *Environment) FullList(now time.Duration, sender int) ([]ListedEndpoint, int64) {
	version := g.baseVersions[sender]
	pending := map[string]scheduledUpdate{}
	for _, t := range slices.Backward(g.updates[sender]) {
		if t.due > now {
			pending[t.endpoint.ID] = t // the earliest that it does not know of counts
			continue
		}
		version = max(version, t.version)
	}
	var endpoints []ListedEndpoint
	for _, id := range g.order {
		l, known := g.listed[id], true
		if t, is := pending[id]; is {
			l, known = t.previous, t.known
		}
		if known && l.State != control.Removed {
			endpoints = append(endpoints, l)
		}
	}
	return endpoints, version
}
