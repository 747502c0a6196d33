package simulation

import (
	"math/rand/v2"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
)

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
