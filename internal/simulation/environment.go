package simulation

import (
	"math/rand/v2"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
)

// Environment models discovery and the partners, both for runs on sockets and in virtual time: the partners, the
// changes that a plan makes to them, and discovery's endpoint list with the time at which each sender is notified of
// each change. It does no I/O and is not safe for concurrent use. Times are counted from the start of the run.
type Environment struct {
	Plan  *scenario.Plan
	Model *partner.Model

	record       func(audit.Event)
	rng          *rand.Rand
	kinds        map[string]int            // numbers of the kinds of destinations
	listed       map[string]ListedEndpoint // by id, including removed endpoints
	listOrder    []string                  // ids in the order of the list
	version      int64                     // of the list
	updates      [][]scheduledUpdate       // by sender, in the order of their times and versions
	baseVersions []int64                   // by sender: updates up to this version were deleted
	overloads    int                       // overloads of routes that were warming up
	polls        []pollState               // by sender
	departures   []departure               // endpoints that began to drain or were removed, in the order of their times
}

// NewEnvironment returns the environment of a plan. It passes its events to record.
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
	for i := range p.Destinations {
		for _, e := range p.Destinations[i].Endpoints {
			env.addEndpoint(&p.Destinations[i], e, e.ID)
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

// Rules returns the rules by which the auditor checks the senders of a plan.
func Rules(p *scenario.Plan, settings control.Settings) audit.Rules {
	var classes []audit.Class
	for _, c := range settings.Classes {
		classes = append(classes, audit.Class{
			Idempotency: audit.Idempotency(c.Idempotency), KeyRetention: c.KeyRetention, KeyZoneScoped: c.KeyZoneScoped,
		})
	}
	rules := audit.SocketRules(classes, settings.DrainGrace)
	for i := range p.Destinations {
		rules.SeparateRoutes[p.Destinations[i].Dest] = p.Destinations[i].SeparateRoutes
	}
	return rules
}

const (
	sameZoneDelay  = 500 * time.Microsecond // one-way network delay
	crossZoneDelay = 10 * time.Millisecond
)

// NetworkDelay returns the one-way delay between a sender and an endpoint in these zones.
func NetworkDelay(zone, other int) time.Duration {
	if zone == other {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// Apply applies a change of the plan to an endpoint. If the change affects the endpoint list, notifiedAt contains, by
// sender, the time at which discovery notifies the sender of it. Errors are those of the model.
func (env *Environment) Apply(now time.Duration, c scenario.Change) (notifiedAt []time.Duration, err error) {
	l, listed := env.listed[c.Endpoint]
	switch {
	case c.Added != nil:
		if err := env.Model.Join(now, c.Dest, *c.Added); err != nil {
			return nil, err
		}
		address := c.Added.ID
		if old, wasListed := env.listed[c.Address]; wasListed {
			address = old.Address
		}
		env.addEndpoint(&env.Plan.Destinations[c.Dest-1], *c.Added, address)
		return env.scheduleNotifications(now, ListedEndpoint{}, false, c.Added.ID), nil
	case !listed || l.State == control.Removed:
		return nil, nil
	case c.StartsDraining:
		notifiedAt = env.setLeaving(now, l, control.Draining)
		return notifiedAt, env.Model.SetFault(now, l.ID, partner.Fault{Mode: partner.Draining})
	case c.Removed:
		notifiedAt = env.setLeaving(now, l, control.Removed)
		return notifiedAt, env.Model.Leave(now, l.ID)
	case l.State == control.Draining:
		return nil, nil // faults are not applied to a draining endpoint
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

// setFault sets an endpoint's fault, and records the beginning or end of an outage.
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

// Collect records the model's overloads and effects since the last call, and returns its answers since then.
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

// Overloads returns the number of overloads of routes that were warming up.
func (env *Environment) Overloads() int { return env.overloads }

// OutcomeOf returns the outcome that the audit rules assign to an answer, and its cause as written to a ledger.
func OutcomeOf(k partner.AnswerKind) (audit.Outcome, string) {
	switch k {
	case partner.Delivered:
		return audit.Delivered, ""
	case partner.Rejected, partner.Unprocessable:
		return audit.NeverRan, k.String()
	}
	return audit.Failed, k.String()
}
