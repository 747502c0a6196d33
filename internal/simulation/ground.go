package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
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

// Environment is what lies outside the senders, on sockets and in virtual time alike:
// the partners, the changes that a plan brings them, and discovery's list with the
// time at which each sender is told of it. It does no I/O.
type Environment struct {
	Plan  *scenario.Plan
	Model *partner.Model

	record       func(audit.Event)
	rng          *rand.Rand
	kinds        map[string]int
	listed       map[string]ListedEndpoint
	order        []string
	version      int64
	updates      [][]scheduledUpdate // by sender, in the order of their times and versions
	baseVersions []int64             // by sender: tellings up to this version are forgotten
	overloads    int
	polls        []pollState // by sender
	departures   []departure // endpoints that began to drain or went
}

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

// NotifiedCheckInterval is how often Deem is to be called.
const NotifiedCheckInterval = 250 * time.Millisecond

// NewEnvironment makes the ground of a plan. What is seen on it is noted.
func NewEnvironment(p *scenario.Plan, note func(audit.Event)) (*Environment, error) {
	m, err := p.Model()
	if err != nil {
		return nil, err
	}
	g := &Environment{
		Plan: p, Model: m, record: note, rng: rand.New(rand.NewPCG(p.Seed, 97)), kinds: map[string]int{}, listed: map[string]ListedEndpoint{},
		version: 1, updates: make([][]scheduledUpdate, p.Scenario.Senders), baseVersions: make([]int64, p.Scenario.Senders),
		polls: make([]pollState, p.Scenario.Senders),
	}
	for i := range g.baseVersions {
		g.baseVersions[i] = 1
	}
	for i, k := range p.Scenario.Kinds {
		g.kinds[k.Name] = i
	}
	for i := range p.Dests {
		for _, e := range p.Dests[i].Endpoints {
			g.addEndpoint(&p.Dests[i], e, e.ID)
		}
	}
	return g, nil
}

func (g *Environment) addEndpoint(d *scenario.Destination, e partner.EndpointSpec, address string) ListedEndpoint {
	l := ListedEndpoint{e.ID, address, d.Dest, g.kinds[d.Kind], e.Zone, control.Ready, d.AnnouncedRate}
	g.listed[e.ID] = l
	g.order = append(g.order, e.ID)
	return l
}

// Rules are the rules as a plan's senders must keep them.
func Rules(p *scenario.Plan, set control.Settings) audit.Rules {
	var classes []audit.Class
	for _, c := range set.Classes {
		classes = append(classes, audit.Class{Idempotency: audit.Idempotency(c.Idempotency), KeyRetention: c.KeyRetention})
	}
	rules := audit.SocketRules(classes, set.DrainGrace)
	for i := range p.Dests {
		rules.SeparateRoutes[p.Dests[i].Dest] = p.Dests[i].SeparateRoutes
	}
	return rules
}

// NetworkDelay is the time one way between a sender and an endpoint.
func NetworkDelay(zone, other int) time.Duration {
	if zone == other {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// Apply does what the plan says to an endpoint. If discovery tells of it, told
// has, for each sender, the time from which on it does.
func (g *Environment) Apply(now time.Duration, c scenario.Change) (notifiedAt []time.Duration, err error) {
	l, listed := g.listed[c.Endpoint]
	switch {
	case c.Joins != nil:
		if err := g.Model.Join(now, c.Dest, *c.Joins); err != nil {
			return nil, err
		}
		address := c.Joins.ID
		if old, was := g.listed[c.Address]; was {
			address = old.Address
		}
		g.addEndpoint(&g.Plan.Dests[c.Dest-1], *c.Joins, address)
		return g.announce(now, ListedEndpoint{}, false, c.Joins.ID), nil
	case !listed || l.State == control.Removed:
		return nil, nil
	case c.Drains:
		previous := l
		l.State = control.Draining
		g.listed[l.ID] = l
		g.departures = append(g.departures, departure{now, l.ID, l.Dest})
		return g.announce(now, previous, true, l.ID), g.Model.SetFault(now, l.ID, partner.Fault{Mode: partner.Draining})
	case c.Leaves:
		previous := l
		l.State = control.Removed
		g.listed[l.ID] = l
		g.departures = append(g.departures, departure{now, l.ID, l.Dest})
		return g.announce(now, previous, true, l.ID), g.Model.Leave(now, l.ID)
	case l.State == control.Draining:
		return nil, nil // a trouble finds it leaving
	}
	was, is := g.Model.Fault(l.ID), c.Fault
	err = g.Model.SetFault(now, l.ID, is)
	if is.Outage() && !was.Outage() {
		g.record(audit.Event{Kind: audit.OutageBegan, Dest: l.Dest, Endpoint: l.ID})
	} else if was.Outage() && !is.Outage() {
		g.record(audit.Event{Kind: audit.OutageEnded, Dest: l.Dest, Endpoint: l.ID})
	}
	return nil, err
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

// Collect notes what the model has done since, and returns the answers that it gave.
func (g *Environment) Collect() []partner.Answer {
	for _, f := range g.Model.Overloads() {
		g.overloads++
		g.record(audit.Event{Kind: audit.Overloaded, Dest: f.Dest, Endpoint: f.Endpoint, CallsBySender: f.CallsBySender})
	}
	for _, e := range g.Model.Effects() {
		cause := ""
		if e.Dropped {
			cause = "dropped"
		} else if e.Late {
			cause = "late"
		}
		g.record(audit.Event{Kind: audit.Executed, Sender: e.Sender, Call: e.Call, Message: e.Message.ID, Class: e.Message.Class, Endpoint: e.Endpoint, Cause: cause})
	}
	return g.Model.Answers()
}

// Overloads is how many routes were pushed over.
func (g *Environment) Overloads() int { return g.overloads }

// OutcomeOf is how an answer counts for the rules, and the word for it in a ledger.
func OutcomeOf(k partner.AnswerKind) (audit.Outcome, string) {
	switch k {
	case partner.Delivered:
		return audit.Delivered, ""
	case partner.Rejected, partner.Unprocessable:
		return audit.NeverRan, k.String()
	}
	return audit.Failed, k.String()
}
