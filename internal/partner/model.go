// Package partner models partner systems: their endpoints, limits, queues, connections, retained idempotency keys,
// faults and slow starts after an outage. It does no I/O, takes the time as a parameter and has its own random source,
// so that the same calls at the same times have the same results. internal/simulation drives the model in virtual time
// and internal/harness on sockets; neither may add behavior of its own.
package partner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/timeline"
)

// Model simulates a set of destinations. It is not safe for concurrent use. Times are counted from its start and must
// not decrease.
type Model struct {
	rng          *rand.Rand
	now          time.Duration
	destinations map[int]*destination
	endpoints    map[string]*endpoint
	jobs         map[uint64]*job // by the ids of their calls
	completions  timeline.Queue[scheduledCompletion]
	answers      []Answer
	effects      []Effect
	overloads    []Overload
	serial       uint64 // version of the latest scheduledCompletion
}

type destination struct {
	Spec
	route         *route      // route of the endpoints, unless they have separate routes
	endpoints     []*endpoint // without removed endpoints
	seenKeys      map[string]firstUse
	nextKeyExpiry time.Duration // time at which expired keys are deleted next
}

type endpoint struct {
	EndpointSpec
	dest    *destination
	route   *route
	fault   Fault
	running []*job
	queue   []*job // jobs that wait for a server
	conns   int    // open connections
	removed bool
}

// New returns a model without destinations. The seed initializes its random source.
func New(seed uint64) *Model {
	return &Model{
		rng: rand.New(rand.NewPCG(seed, 11)), destinations: map[int]*destination{}, endpoints: map[string]*endpoint{},
		jobs: map[uint64]*job{},
	}
}

// Add adds a destination with its endpoints. It returns the error of Spec.Check, or an error if the model already has a
// destination with the same number.
func (m *Model) Add(s Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	if m.destinations[s.Dest] != nil {
		return fmt.Errorf("destination %d: duplicate number", s.Dest)
	}
	d := &destination{Spec: s, seenKeys: map[string]firstUse{}}
	d.route = m.newRoute(d, nil)
	m.destinations[s.Dest] = d
	for _, e := range s.Endpoints {
		if err := m.Join(m.now, s.Dest, e); err != nil {
			return err
		}
	}
	return nil
}

// Join adds an endpoint to a destination. It returns an error for an unknown destination and for an id that was already
// used.
func (m *Model) Join(now time.Duration, dest int, s EndpointSpec) error {
	m.Advance(now)
	d := m.destinations[dest]
	if d == nil || m.endpoints[s.ID] != nil {
		return fmt.Errorf("endpoint %q: destination %d is unknown, or the id was already used", s.ID, dest)
	}
	e := &endpoint{EndpointSpec: s, dest: d, route: d.route}
	if d.SeparateRoutes {
		e.route = m.newRoute(d, e)
	}
	m.endpoints[s.ID] = e
	d.endpoints = append(d.endpoints, e)
	return nil
}

// Leave removes an endpoint and resets its connections. Its id must not be used again. Leave returns ErrUnknownEndpoint
// for an endpoint that the model does not have.
func (m *Model) Leave(now time.Duration, id string) error {
	m.Advance(now)
	e := m.endpoints[id]
	if e == nil {
		return ErrUnknownEndpoint
	}
	m.resetAll(e)
	e.removed = true
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(o *endpoint) bool { return o == e })
	return nil
}

// SetFault sets an endpoint's fault; the zero Fault ends it. After an outage the endpoint's route warms up. SetFault
// returns ErrUnknownEndpoint for an endpoint that was removed or that the model does not have.
func (m *Model) SetFault(now time.Duration, id string, f Fault) error {
	m.Advance(now)
	e := m.endpoints[id]
	if e == nil || e.removed {
		return ErrUnknownEndpoint
	}
	old := e.fault
	if old.Mode == Paused && f.Mode != Paused { // work resumes now
		for _, j := range e.running {
			j.since = m.now
		}
	}
	m.updateWork(e)
	e.fault = f
	switch {
	case f.Mode == Down || f.Mode == Overloaded:
		m.resetAll(e)
	case old.Outage() && !f.Outage() && e.otherEndpointsDown():
		r := e.route
		r.warming, r.recoveredAt, r.arrivals = true, m.now, nil
	}
	m.scheduleCompletions(e)
	m.startQueued(e)
	return nil
}

// Fault returns an endpoint's fault; a fault of mode Down for an endpoint that the model does not have.
func (m *Model) Fault(id string) Fault {
	if e := m.endpoints[id]; e != nil {
		return e.fault
	}
	return Fault{Mode: Down}
}

// otherEndpointsDown reports whether the other endpoints of the endpoint's route are down as well. A route does not
// warm up if any of its endpoints stayed in service.
func (e *endpoint) otherEndpointsDown() bool {
	if e.route.endpoint != nil {
		return true
	}
	for _, o := range e.dest.endpoints {
		if o != e && !o.fault.Outage() {
			return false
		}
	}
	return true
}

// Answers returns the answers since the previous call of Answers, in the order of their times.
func (m *Model) Answers() []Answer {
	list := m.answers
	m.answers = nil
	return list
}

// Effects returns the effects since the previous call of Effects.
func (m *Model) Effects() []Effect {
	list := m.effects
	m.effects = nil
	return list
}

// Overloads returns the overloads since the previous call of Overloads.
func (m *Model) Overloads() []Overload {
	list := m.overloads
	m.overloads = nil
	return list
}

// ErrUnknownEndpoint is returned for an endpoint that the model does not have.
var ErrUnknownEndpoint = errors.New("partner: no such endpoint")
