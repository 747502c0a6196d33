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
	listOrder    []string                  // of the ids in the list
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
	env := &Environment{
		Plan: p, Model: m, record: record, rng: rand.New(rand.NewPCG(p.Seed, 97)), kinds: map[string]int{},
		listed: map[string]ListedEndpoint{}, version: 1, updates: make([][]scheduledUpdate, p.Scenario.Senders),
		baseVersions: make([]int64, p.Scenario.Senders), polls: make([]pollState, p.Scenario.Senders),
	}
	for i := range env.baseVersions {
		env.baseVersions[i] = 1
	}
	for i, kind := range p.Scenario.Kinds {
		env.kinds[kind.Name] = i
	}
	for i := range p.Dests {
		for _, e := range p.Dests[i].Endpoints {
			env.addEndpoint(&p.Dests[i], e, e.ID)
		}
	}
	return env, nil
}

// addEndpoint appends an endpoint to the list.
func (env *Environment) addEndpoint(d *scenario.Destination, e partner.EndpointSpec, address string) {
	l := ListedEndpoint{e.ID, address, d.Dest, env.kinds[d.Kind], e.Zone, control.Ready, d.AnnouncedRate}
	env.listed[e.ID] = l
	env.listOrder = append(env.listOrder, e.ID)
}

// Rules returns the rules that the senders of a plan have to keep.
func Rules(p *scenario.Plan, settings control.Settings) audit.Rules {
	var classes []audit.Class
	for _, c := range settings.Classes {
		classes = append(classes, audit.Class{Idempotency: audit.Idempotency(c.Idempotency), KeyRetention: c.KeyRetention})
	}
	rules := audit.SocketRules(classes, settings.DrainGrace)
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
func (env *Environment) Apply(now time.Duration, c scenario.Change) (notifiedAt []time.Duration, err error) {
	l, listed := env.listed[c.Endpoint]
	switch {
	case c.Joins != nil:
		if err := env.Model.Join(now, c.Dest, *c.Joins); err != nil {
			return nil, err
		}
		address := c.Joins.ID
		if old, wasListed := env.listed[c.Address]; wasListed {
			address = old.Address
		}
		env.addEndpoint(&env.Plan.Dests[c.Dest-1], *c.Joins, address)
		return env.scheduleNotifications(now, ListedEndpoint{}, false, c.Joins.ID), nil
	case !listed || l.State == control.Removed:
		return nil, nil
	case c.Drains:
		notifiedAt = env.setLeaving(now, l, control.Draining)
		return notifiedAt, env.Model.SetFault(now, l.ID, partner.Fault{Mode: partner.Draining})
	case c.Leaves:
		notifiedAt = env.setLeaving(now, l, control.Removed)
		return notifiedAt, env.Model.Leave(now, l.ID)
	case l.State == control.Draining:
		return nil, nil // no fault befalls an endpoint that drains
	}
	return nil, env.setFault(now, l, c.Fault)
}

// setLeaving lists an endpoint as draining or removed. It returns when each sender is notified.
func (env *Environment) setLeaving(now time.Duration, l ListedEndpoint, state control.EndpointState) []time.Duration {
	previous := l
	l.State = state
	env.listed[l.ID] = l
	env.departures = append(env.departures, departure{now, l.ID, l.Dest})
	return env.scheduleNotifications(now, previous, true, l.ID)
}

// setFault sets an endpoint's fault, and records where an outage begins or ends with it.
func (env *Environment) setFault(now time.Duration, l ListedEndpoint, to partner.Fault) error {
	from := env.Model.Fault(l.ID)
	err := env.Model.SetFault(now, l.ID, to)
	if to.Outage() && !from.Outage() {
		env.record(audit.Event{Kind: audit.OutageBegan, Dest: l.Dest, Endpoint: l.ID})
	} else if from.Outage() && !to.Outage() {
		env.record(audit.Event{Kind: audit.OutageEnded, Dest: l.Dest, Endpoint: l.ID})
	}
	return err
}

// Collect records what happened in the model since the last call, and returns the answers that it gave since.
func (env *Environment) Collect() []partner.Answer {
	for _, f := range env.Model.Overloads() {
		env.overloads++
		env.record(audit.Event{Kind: audit.Overloaded, Dest: f.Dest, Endpoint: f.Endpoint, CallsBySender: f.CallsBySender})
	}
	for _, e := range env.Model.Effects() {
		cause := ""
		if e.Dropped {
			cause = "dropped"
		} else if e.Late {
			cause = "late"
		}
		env.record(audit.Event{
			Kind: audit.Executed, Sender: e.Sender, Call: e.Call, Message: e.Message.ID, Class: e.Message.Class,
			Endpoint: e.Endpoint, Cause: cause,
		})
	}
	return env.Model.Answers()
}

// Overloads returns how many routes were overloaded as they returned.
func (env *Environment) Overloads() int { return env.overloads }

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
