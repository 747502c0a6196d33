package simulation

import (
	"math/rand/v2"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
)

// Environment is discovery and the partners as the senders see them, on sockets and in virtual time alike: the
// partners, the changes that a plan makes to them, and discovery's endpoint list with the time at which each sender
// is notified of each change. It does no I/O and is not safe for concurrent use. Times are counted from the start of
// the run.
type Environment struct {
	Plan  *scenario.Plan
	Model *partner.Model

	record       func(audit.Event)
	rng          *rand.Rand
	kinds        map[string]int            // numbers of the kinds of destinations
	listed       map[string]ListedEndpoint // by id, removed ones too
	order        []string                  // of the ids in the list
	version      int64                     // of the list
	updates      [][]scheduledUpdate       // by sender, in the order of their times and versions
	baseVersions []int64                   // by sender: updates up to this version are forgotten
	overloads    int                       // routes that were overloaded
	polls        []pollState               // by sender
	departures   []departure               // endpoints that began to drain or were removed, in the order of their times
}

// NewEnvironment makes the environment of a plan. It passes the events that it sees to record.
func NewEnvironment(p *scenario.Plan, record func(audit.Event)) (*Environment, error) {
	m, err := p.Model()
	if err != nil {
		return nil, err
	}
	g := &Environment{
		Plan: p, Model: m, record: record, rng: rand.New(rand.NewPCG(p.Seed, 97)), kinds: map[string]int{},
		listed: map[string]ListedEndpoint{}, version: 1, updates: make([][]scheduledUpdate, p.Scenario.Senders),
		baseVersions: make([]int64, p.Scenario.Senders), polls: make([]pollState, p.Scenario.Senders),
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

// addEndpoint appends an endpoint to the list.
func (g *Environment) addEndpoint(d *scenario.Destination, e partner.EndpointSpec, address string) {
	l := ListedEndpoint{e.ID, address, d.Dest, g.kinds[d.Kind], e.Zone, control.Ready, d.AnnouncedRate}
	g.listed[e.ID] = l
	g.order = append(g.order, e.ID)
}

// Rules returns the rules that the senders of a plan have to keep.
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

const (
	sameZoneDelay  = 500 * time.Microsecond // of the network, one way
	crossZoneDelay = 10 * time.Millisecond
)

// NetworkDelay returns the delay, one way, between a sender and an endpoint in these zones.
func NetworkDelay(zone, other int) time.Duration {
	if zone == other {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// Apply makes a change of the plan to an endpoint. If the list changes with it, notifiedAt has for each sender the
// time from which on discovery tells it of that. Errors are those of the model.
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
		notifiedAt = g.depart(now, l, control.Draining)
		return notifiedAt, g.Model.SetFault(now, l.ID, partner.Fault{Mode: partner.Draining})
	case c.Leaves:
		notifiedAt = g.depart(now, l, control.Removed)
		return notifiedAt, g.Model.Leave(now, l.ID)
	case l.State == control.Draining:
		return nil, nil // no fault befalls an endpoint that drains
	}
	return nil, g.setFault(now, l, c.Fault)
}

// depart lists an endpoint as draining or removed. It returns when each sender is notified.
func (g *Environment) depart(now time.Duration, l ListedEndpoint, to control.EndpointState) []time.Duration {
	previous := l
	l.State = to
	g.listed[l.ID] = l
	g.departures = append(g.departures, departure{now, l.ID, l.Dest})
	return g.announce(now, previous, true, l.ID)
}

// setFault sets an endpoint's fault, and records where an outage begins or ends with it.
func (g *Environment) setFault(now time.Duration, l ListedEndpoint, to partner.Fault) error {
	from := g.Model.Fault(l.ID)
	err := g.Model.SetFault(now, l.ID, to)
	if to.Outage() && !from.Outage() {
		g.record(audit.Event{Kind: audit.OutageBegan, Dest: l.Dest, Endpoint: l.ID})
	} else if from.Outage() && !to.Outage() {
		g.record(audit.Event{Kind: audit.OutageEnded, Dest: l.Dest, Endpoint: l.ID})
	}
	return err
}

// Collect records what happened in the model since the last call, and returns the answers that it gave since.
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
		g.record(audit.Event{
			Kind: audit.Executed, Sender: e.Sender, Call: e.Call, Message: e.Message.ID, Class: e.Message.Class,
			Endpoint: e.Endpoint, Cause: cause,
		})
	}
	return g.Model.Answers()
}

// Overloads returns how many routes were overloaded as they returned.
func (g *Environment) Overloads() int { return g.overloads }

// OutcomeOf returns how an answer counts for the rules, and the cause that a ledger has for it.
func OutcomeOf(k partner.AnswerKind) (audit.Outcome, string) {
	switch k {
	case partner.Delivered:
		return audit.Delivered, ""
	case partner.Rejected, partner.Unprocessable:
		return audit.NeverRan, k.String()
	}
	return audit.Failed, k.String()
}
