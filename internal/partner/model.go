package partner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/timeline"
)

// Model is a set of destinations. It is not safe for concurrent use. Times are
// counted from its start and never go back.
type Model struct {
	rng          *rand.Rand
	now          time.Duration
	destinations map[int]*destination
	endpoints    map[string]*endpoint
	jobs         map[uint64]*job
	agenda       timeline.Queue[agendaEntry]
	answers      []Answer
	effects      []Effect
	overloads    []Overload
	serial       uint64
}

type destination struct {
	Spec
	route     *route
	endpoints []*endpoint
	seenKeys  map[string]keyUse
	sweepAt   time.Duration // keys are looked through then
}

type endpoint struct {
	EndpointSpec
	dest    *destination
	route   *route
	fault   Fault
	running []*job
	queue   []*job
	conns   int
	removed bool
}

// New makes a model; each seed draws its own times.
func New(seed uint64) *Model {
	return &Model{
		rng: rand.New(rand.NewPCG(seed, 11)), destinations: map[int]*destination{}, endpoints: map[string]*endpoint{}, jobs: map[uint64]*job{},
	}
}

// Add puts a destination in.
func (m *Model) Add(s Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	if m.destinations[s.Dest] != nil {
		return fmt.Errorf("destination %d: twice", s.Dest)
	}
	d := &destination{Spec: s, seenKeys: map[string]keyUse{}}
	d.route = m.newRoute(d, nil)
	m.destinations[s.Dest] = d
	for _, e := range s.Endpoints {
		if err := m.Join(m.now, s.Dest, e); err != nil {
			return err
		}
	}
	return nil
}

// Join adds an endpoint to a destination.
func (m *Model) Join(now time.Duration, to int, s EndpointSpec) error {
	m.Advance(now)
	d := m.destinations[to]
	if d == nil || m.endpoints[s.ID] != nil {
		return fmt.Errorf("endpoint %q: no destination %d, or an id that was used", s.ID, to)
	}
	e := &endpoint{EndpointSpec: s, dest: d, route: d.route}
	if d.SeparateRoutes {
		e.route = m.newRoute(d, e)
	}
	m.endpoints[s.ID] = e
	d.endpoints = append(d.endpoints, e)
	return nil
}

// Leave takes an endpoint away: its connections break. Its id is not used again,
// though its address may be.
func (m *Model) Leave(now time.Duration, id string) error {
	m.Advance(now)
	e := m.endpoints[id]
	if e == nil {
		return ErrUnknown
	}
	m.resetAll(e)
	e.removed = true
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(o *endpoint) bool { return o == e })
	return nil
}

// SetFault gives an endpoint a trouble, or takes it away. From an outage it returns cold.
func (m *Model) SetFault(now time.Duration, id string, t Fault) error {
	m.Advance(now)
	e := m.endpoints[id]
	if e == nil || e.removed {
		return ErrUnknown
	}
	old := e.fault
	if old.Mode == Paused && t.Mode != Paused { // all that stood goes on
		for _, j := range e.running {
			j.since = m.now
		}
	}
	m.updateWork(e)
	e.fault = t
	switch {
	case t.Mode == Down || t.Mode == Overloaded:
		m.resetAll(e)
	case old.Outage() && !t.Outage() && e.othersDown():
		r := e.route
		r.warming, r.recoveredAt, r.arrivals = true, m.now, nil
	}
	m.schedule(e)
	m.startQueued(e)
	return nil
}

// Fault tells what ails an endpoint.
func (m *Model) Fault(id string) Fault {
	if e := m.endpoints[id]; e != nil {
		return e.fault
	}
	return Fault{Mode: Down}
}

// othersDown tells whether all others of an endpoint's route are out: a destination
// of which some endpoints went on serving is not cold.
func (e *endpoint) othersDown() bool {
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

// Answers returns the answers since it was last asked, in the order of their times.
func (m *Model) Answers() []Answer {
	list := m.answers
	m.answers = nil
	return list
}

// Effects returns the effects since it was last asked.
func (m *Model) Effects() []Effect {
	list := m.effects
	m.effects = nil
	return list
}

// Overloads returns what was pushed over since it was last asked.
func (m *Model) Overloads() []Overload {
	list := m.overloads
	m.overloads = nil
	return list
}

// ErrUnknown tells of an endpoint that the model does not have.
var ErrUnknown = errors.New("partner: no such endpoint")
