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
	listLate = 3 * time.Second  // discovery tells a sender of a change this late at most
	mustAsk  = 10 * time.Second // a sender that has not asked for so long counts as told what was listed before that...
	failAsk  = 4 * mustAsk      // ...and for so long if discovery failed it then (WIRE, guarantees.must-ask-in-ms)
	hopSame  = 500 * time.Microsecond
	hopCross = 10 * time.Millisecond
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

// A telling is a change that a sender is told of from a time on.
type telling struct {
	due     time.Duration
	version int64
	line    ListedEndpoint
	before  ListedEndpoint // as the sender knew it...
	known   bool           // ...if it did
}

// Environment is what lies outside the senders, on sockets and in virtual time alike:
// the partners, the changes that a plan brings them, and discovery's list with the
// time at which each sender is told of it. It does no I/O.
type Environment struct {
	Plan  *scenario.Plan
	Model *partner.Model

	note    func(audit.Event)
	rng     *rand.Rand
	kinds   map[string]int
	lines   map[string]ListedEndpoint
	order   []string
	version int64
	told    [][]telling // by sender, in the order of their times and versions
	base    []int64     // by sender: tellings up to this version are forgotten
	falls   int
	asks    []ask  // by sender
	left    []left // endpoints that began to drain or went
}

// An ask is how a sender stands with discovery.
type ask struct {
	at      time.Duration // it asked last, or its watch ended
	watches bool
	failed  bool
	deemed  int // of left, those of which it counts as told
}

type left struct {
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
		Plan: p, Model: m, note: note, rng: rand.New(rand.NewPCG(p.Seed, 97)), kinds: map[string]int{}, lines: map[string]ListedEndpoint{},
		version: 1, told: make([][]telling, p.Scenario.Senders), base: make([]int64, p.Scenario.Senders),
		asks: make([]ask, p.Scenario.Senders),
	}
	for i := range g.base {
		g.base[i] = 1
	}
	for i, k := range p.Scenario.Kinds {
		g.kinds[k.Name] = i
	}
	for i := range p.Dests {
		for _, e := range p.Dests[i].Endpoints {
			g.list(&p.Dests[i], e, e.ID)
		}
	}
	return g, nil
}

func (g *Environment) list(d *scenario.Destination, e partner.EndpointSpec, address string) ListedEndpoint {
	l := ListedEndpoint{e.ID, address, d.Dest, g.kinds[d.Kind], e.Zone, control.Ready, d.AnnouncedRate}
	g.lines[e.ID] = l
	g.order = append(g.order, e.ID)
	return l
}

// Rules are the rules as a plan's senders must keep them.
func Rules(p *scenario.Plan, set control.Settings) audit.Rules {
	var classes []audit.Class
	for _, c := range set.Classes {
		classes = append(classes, audit.Class{Idempotency: audit.Idempotency(c.Idempotency), KeyRetention: c.KeyRetention})
	}
	terms := audit.SocketRules(classes, set.DrainGrace)
	for i := range p.Dests {
		terms.SeparateRoutes[p.Dests[i].Dest] = p.Dests[i].SeparateRoutes
	}
	return terms
}

// NetworkDelay is the time one way between a sender and an endpoint.
func NetworkDelay(zone, other int) time.Duration {
	if zone == other {
		return hopSame
	}
	return hopCross
}

// Apply does what the plan says to an endpoint. If discovery tells of it, told
// has, for each sender, the time from which on it does.
func (g *Environment) Apply(now time.Duration, c scenario.Change) (told []time.Duration, err error) {
	l, listed := g.lines[c.Endpoint]
	switch {
	case c.Joins != nil:
		if err := g.Model.Join(now, c.Dest, *c.Joins); err != nil {
			return nil, err
		}
		address := c.Joins.ID
		if old, was := g.lines[c.Address]; was {
			address = old.Address
		}
		g.list(&g.Plan.Dests[c.Dest-1], *c.Joins, address)
		return g.announce(now, ListedEndpoint{}, false, c.Joins.ID), nil
	case !listed || l.State == control.Removed:
		return nil, nil
	case c.Drains:
		before := l
		l.State = control.Draining
		g.lines[l.ID] = l
		g.left = append(g.left, left{now, l.ID, l.Dest})
		return g.announce(now, before, true, l.ID), g.Model.SetFault(now, l.ID, partner.Fault{Mode: partner.Draining})
	case c.Leaves:
		before := l
		l.State = control.Removed
		g.lines[l.ID] = l
		g.left = append(g.left, left{now, l.ID, l.Dest})
		return g.announce(now, before, true, l.ID), g.Model.Leave(now, l.ID)
	case l.State == control.Draining:
		return nil, nil // a trouble finds it leaving
	}
	was, is := g.Model.Fault(l.ID), c.Fault
	err = g.Model.SetFault(now, l.ID, is)
	if is.Outage() && !was.Outage() {
		g.note(audit.Event{Kind: audit.OutageBegan, Dest: l.Dest, Endpoint: l.ID})
	} else if was.Outage() && !is.Outage() {
		g.note(audit.Event{Kind: audit.OutageEnded, Dest: l.Dest, Endpoint: l.ID})
	}
	return nil, err
}

// announce draws when each sender is told of a change. Its order stays: no sender
// is told of the newer of two changes first.
func (g *Environment) announce(now time.Duration, before ListedEndpoint, known bool, id string) []time.Duration {
	g.version++
	due := make([]time.Duration, len(g.told))
	for i := range g.told {
		due[i] = now + time.Duration(g.rng.Float64()*float64(listLate))
		if n := len(g.told[i]); n > 0 {
			due[i] = max(due[i], g.told[i][n-1].due)
		}
		g.told[i] = append(g.told[i], telling{due[i], g.version, g.lines[id], before, known})
	}
	return due
}

// Polled tells that a sender asked discovery, or that its watch ended, and whether
// discovery failed it.
func (g *Environment) Polled(now time.Duration, sender int, watches, failed bool) {
	a := &g.asks[sender]
	a.at, a.watches, a.failed = now, watches, failed
}

// Watching tells whether a sender has a call open at discovery that waits for news.
func (g *Environment) Watching(sender int) bool { return g.asks[sender].watches }

// MarkNotified notes what senders count as told of that have neither watched nor asked for
// as long as they may.
func (g *Environment) MarkNotified(now time.Duration) {
	for i := range g.asks {
		a := &g.asks[i]
		span := mustAsk
		if a.failed {
			span = failAsk
		}
		if a.watches || now-a.at < span {
			continue
		}
		for ; a.deemed < len(g.left) && g.left[a.deemed].at <= now-span; a.deemed++ {
			l := g.left[a.deemed]
			g.note(audit.Event{Kind: audit.Notified, Sender: i, Endpoint: l.id, Dest: l.dest, Leaves: true})
		}
	}
}

// DiscoveryOutage tells whether discovery is down, and until when.
func (g *Environment) DiscoveryOutage(now time.Duration) (until time.Duration, blind bool) {
	for _, b := range g.Plan.DiscoveryOutages {
		if now >= b.From && now < b.To {
			return b.To, true
		}
	}
	return 0, false
}

// ListChanges returns what has changed for a sender after a version, and its version now.
// Whole is true where too much was forgotten: it is then the whole list.
func (g *Environment) ListChanges(now time.Duration, sender int, since int64) (lines []ListedEndpoint, version int64, whole bool) {
	if since < g.base[sender] {
		lines, version = g.FullList(now, sender)
		return lines, version, true
	}
	version = since
	seen := 0
	for _, t := range g.told[sender] {
		if t.due > now {
			break
		}
		if t.version <= since {
			seen++ // it has these
			continue
		}
		lines, version = append(lines, t.line), t.version
	}
	if seen > 0 {
		g.base[sender] = g.told[sender][seen-1].version
		g.told[sender] = slices.Delete(g.told[sender], 0, seen)
	}
	return lines, version, false
}

// NextListUpdate is when a sender is told of something newer than a version; false where
// nothing is on its way.
func (g *Environment) NextListUpdate(sender int, since int64) (time.Duration, bool) {
	for _, t := range g.told[sender] {
		if t.version > since {
			return t.due, true
		}
	}
	return 0, false
}

// FullList is the list as a sender is told of it now.
func (g *Environment) FullList(now time.Duration, sender int) ([]ListedEndpoint, int64) {
	version := g.base[sender]
	late := map[string]telling{}
	for _, t := range slices.Backward(g.told[sender]) {
		if t.due > now {
			late[t.line.ID] = t // the earliest that it does not know of counts
			continue
		}
		version = max(version, t.version)
	}
	var lines []ListedEndpoint
	for _, id := range g.order {
		l, known := g.lines[id], true
		if t, is := late[id]; is {
			l, known = t.before, t.known
		}
		if known && l.State != control.Removed {
			lines = append(lines, l)
		}
	}
	return lines, version
}

// Collect notes what the model has done since, and returns the answers that it gave.
func (g *Environment) Collect() []partner.Answer {
	for _, f := range g.Model.Overloads() {
		g.falls++
		g.note(audit.Event{Kind: audit.Overloaded, Dest: f.Dest, Endpoint: f.Endpoint, CallsBySender: f.CallsBySender})
	}
	for _, e := range g.Model.Effects() {
		cause := ""
		if e.Dropped {
			cause = "dropped"
		} else if e.Late {
			cause = "late"
		}
		g.note(audit.Event{Kind: audit.Executed, Sender: e.Sender, Call: e.Call, Message: e.Message.ID, Class: e.Message.Class, Endpoint: e.Endpoint, Cause: cause})
	}
	return g.Model.Answers()
}

// Overloads is how many routes were pushed over.
func (g *Environment) Overloads() int { return g.falls }

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
