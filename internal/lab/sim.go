// Package lab is the laboratory: it plays scenarios. Here in virtual time, where the
// senders are the loops that real senders run, with stages, table, limits and
// controller, and only sockets and files are left out. Partners are the model of
// internal/partner, and internal/audit judges what was seen.
package lab

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
	"cleathold/internal/timeline"
)

// epoch is when virtual time begins, by the loops' clock.
var epoch = time.Unix(1_700_000_000, 0)

const (
	sameZone   = 500 * time.Microsecond // one way
	listFirst  = 20 * time.Millisecond  // until discovery answers the first question
	listLate   = 3 * time.Second        // it tells of a change this late at most
	noticeTime = 2 * time.Millisecond   // until the platform has acknowledged a notice
	clientHop  = 500 * time.Microsecond // from a client to a sender
	idleSpan   = 15 * time.Second       // an idle connection is closed after this
	drainSpan  = 30 * time.Second       // a run goes on for so long after the last arrival
	windowSpan = 10 * time.Second       // of the worst stretch
)

// Result is what a run in virtual time showed.
type Result struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Messages int           `json:"messages"`
	Service  float64       `json:"service"` // whole run, worst 10 s, class and tenant, as BRIEF 9 weighs them
	Whole    float64       `json:"whole"`
	Worst    float64       `json:"worst_10s"`
	WorstAt  time.Duration `json:"worst_at"`
	Classes  []float64     `json:"classes"`
	Tenants  []float64     `json:"tenants"`
	Calls    int           `json:"calls"`
	Refused  int           `json:"refused"`
	Conns    int           `json:"connections"`
	Falls    int           `json:"falls"`
	Counts   audit.Counts  `json:"counts"`
	Breaks   []audit.Break `json:"breaks,omitempty"`
	Events   int           `json:"events"` // of the simulation
}

// A Sim plays one plan.
type Sim struct {
	plan    *scenario.Plan
	model   *partner.Model
	rng     *rand.Rand
	log     *slog.Logger
	now     time.Duration
	todo    timeline.Queue[func()]
	serial  uint64
	modelAt time.Duration // when the model is looked at next; below 0 = not

	senders  []*sender
	targets  map[string]*target
	version  int64
	calls    map[uint64]*flight
	callNum  uint64
	auditor  *audit.Auditor
	arrivals *scenario.Arrivals
	messages map[string]*message
	worths   []worth // by window
	byClass  []worth
	byTenant []worth
	result   Result
	err      error
}

// A worth is what was asked for and what was brought.
type worth struct{ asked, brought float64 }

func (w worth) share() float64 {
	if w.asked == 0 {
		return 1
	}
	return w.brought / w.asked
}

// A message is one first hand-in with its retries.
type message struct {
	scenario.Arrival
	key   string
	tries int
	done  bool
}

// A target is an endpoint as discovery knows it.
type target struct {
	state.Target
	lists bool // on the list
}

// at has something done at a time.
func (s *Sim) at(when time.Duration, do func()) {
	s.serial++
	s.todo.Push(max(when, s.now), s.serial, do)
}

// note gives the auditor an event.
func (s *Sim) note(e audit.Event) {
	e.At = s.now
	if err := s.auditor.Read(e); err != nil && s.err == nil {
		s.err = err
	}
}

// NewSim makes a run of a plan.
func NewSim(p *scenario.Plan, log *slog.Logger) (*Sim, error) {
	m, err := p.Model()
	if err != nil {
		return nil, err
	}
	s := &Sim{
		plan: p, model: m, rng: rand.New(rand.NewPCG(p.Seed, 99)), log: log, modelAt: -1,
		targets: map[string]*target{}, calls: map[uint64]*flight{}, messages: map[string]*message{},
		arrivals: p.Arrivals(), version: 1,
		byClass: make([]worth, len(p.Scenario.Traffic.Classes)), byTenant: make([]worth, len(p.Scenario.Traffic.Tenants)),
	}
	s.result.Scenario, s.result.Seed = p.Scenario.Name, p.Seed
	set := Settings(p)
	var classes []audit.Class
	for _, c := range set.Classes {
		classes = append(classes, audit.Class{Effect: audit.Effect(c.Effect), Memory: c.Memory})
	}
	terms := audit.Sockets(classes, set.DrainGrace)
	for i := range p.Dests {
		d := &p.Dests[i]
		terms.Apart[d.Dest] = d.Apart
		for _, e := range d.Endpoints {
			s.list(d, e)
		}
	}
	s.auditor = audit.New(terms)
	for i := range p.Scenario.Senders {
		one := set
		one.Index, one.Seed, one.Zone = i, p.Seed*1_000_003+uint64(i), i%len(p.Scenario.Zones)
		x, err := s.newSender(i, one)
		if err != nil {
			return nil, err
		}
		s.senders = append(s.senders, x)
	}
	for _, c := range p.Changes {
		s.at(c.At, func() { s.change(c) })
	}
	s.next()
	return s, nil
}

// list puts an endpoint on discovery's list.
func (s *Sim) list(d *scenario.Destination, e partner.EndpointSpec) *target {
	kind := 0
	for i, k := range s.plan.Scenario.Kinds {
		if k.Name == d.Kind {
			kind = i
		}
	}
	t := &target{lists: true}
	t.ID, t.Addr = e.ID, e.ID
	t.Destination, t.Kind, t.Zone, t.State, t.Weight = d.Dest, kind, e.Zone, control.Ready, d.Told
	s.targets[e.ID] = t
	return t
}

// Settings are what a sender of a plan is told, as the platform would.
func Settings(p *scenario.Plan) control.Settings {
	s := p.Scenario
	rng := rand.New(rand.NewPCG(p.Seed, 98))
	set := control.Settings{
		Siblings: s.Senders, OverShareWorth: 1, SendCap: 12, SecondCopies: true, CanCancel: true, CanProbe: true, CanAdvise: true,
		MaxAdvice: 3 * time.Second, StreamsPerConn: 1, ConnIdle: idleSpan, ConnectTimeout: 1500 * time.Millisecond,
		ReportShare: -1, ReportLimit: -1, Weights: control.RoughWeights, Ask: true, Tick: 5 * time.Millisecond,
		AnswerSlack: 20 * time.Millisecond, MustAsk: 10 * time.Second, DrainGrace: 2 * time.Second,
		ColdFrom: 0.22, Cold: 13 * time.Second, FallMultiple: 2, FallWindow: 2 * time.Second,
	}
	for _, c := range s.Traffic.Classes {
		k := control.Class{Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth, LateWorth: c.Late, Memory: c.Memory}
		k.Effect = map[string]control.Effect{"safe": control.Safe, "keyed": control.Keyed, "unsafe": control.Unsafe}[c.Effect]
		set.Classes = append(set.Classes, k)
	}
	for _, k := range s.Kinds {
		set.Kinds = append(set.Kinds, control.Kind{Batch: k.Batch, Apart: k.Apart})
	}
	shares := 0.0
	for _, t := range s.Traffic.Tenants {
		shares += t.Share
	}
	for _, t := range s.Traffic.Tenants {
		set.Tenants = append(set.Tenants, control.Tenant{Rate: p.Rate * t.Share / shares, Portion: t.Share / shares})
	}
	busy := 0.0 // calls that the load keeps out
	for _, d := range p.Dests {
		busy += p.Rate * d.Share * (d.Mean + 10*time.Millisecond).Seconds()
	}
	part := 1 / float64(s.Senders)
	pick := func(r scenario.Range) float64 { return r.From + (r.To-r.From)*rng.Float64() }
	set.Slots = max(3, int(math.Ceil(pick(s.Slots)*busy*part)))
	set.HoldCap = max(16, int(math.Ceil(pick(s.Hold)*p.Rate*part)))
	return set
}

// Run plays the plan to its end.
func (s *Sim) Run() (Result, error) {
	end := s.plan.Scenario.Length + drainSpan
	for at, _, some := s.todo.First(); some && at <= end && s.err == nil; at, _, some = s.todo.First() {
		now, do := s.todo.Pop()
		s.now = now
		s.result.Events++
		do()
		s.settle()
	}
	if s.err != nil {
		return s.result, s.err
	}
	s.now = end
	s.result.Breaks = s.auditor.Close(end)
	s.result.Counts, _ = s.auditor.Counted()
	s.score()
	return s.result, nil
}

// next plans the next arrival.
func (s *Sim) next() {
	a, some := s.arrivals.Next()
	if !some {
		return
	}
	s.at(a.At, func() {
		m := &message{Arrival: a, key: fmt.Sprint("k", a.N)}
		class := s.plan.Scenario.Traffic.Classes[a.Class]
		i := int(a.At / windowSpan)
		for len(s.worths) <= i {
			s.worths = append(s.worths, worth{})
		}
		s.worths[i].asked += class.Worth
		s.byClass[a.Class].asked += class.Worth
		s.byTenant[a.Tenant].asked += class.Worth
		s.result.Messages++
		s.handIn(m)
		s.next()
	})
}

// handIn hands a message in, for the first time or again.
func (s *Sim) handIn(m *message) {
	class := s.plan.Scenario.Traffic.Classes[m.Class]
	left := m.At + class.Deadline - s.now
	if left <= 0 || m.done {
		return
	}
	to := s.senders[s.rng.IntN(len(s.senders))]
	id := fmt.Sprintf("m%d-%d", m.N, m.tries)
	again := m.tries > 0
	m.tries++
	s.messages[id] = m
	s.at(s.now+clientHop, func() {
		verdict := make(chan state.Verdict, 1)
		h := state.Handed{Verdict: verdict, Message: &state.Message{
			ID: id, Class: m.Class, Tenant: m.Tenant, Destination: m.Dest, Deadline: epoch.Add(s.now + left), Again: again, Body: make([]byte, m.Size),
		}}
		if class.Effect == "keyed" {
			h.Message.Key = m.key
		}
		s.note(audit.Event{What: audit.HandIn, Sender: to.num, Message: id, Class: m.Class, Dest: m.Dest, Left: left, Key: h.Message.Key})
		to.waiting = append(to.waiting, awaiting{id, verdict})
		to.step(h)
	})
}

// refused has a client come again, as often as the scenario says.
func (s *Sim) refused(m *message, id string, told time.Duration) {
	delete(s.messages, id)
	t := s.plan.Scenario.Traffic
	if m.done || m.tries > t.Retries {
		return
	}
	pause := time.Duration((t.RetryIn.From + (t.RetryIn.To-t.RetryIn.From)*s.rng.Float64()) * float64(time.Second))
	s.at(s.now+max(told, pause), func() { s.handIn(m) })
}

// delivered counts the worth of a message, once.
func (s *Sim) delivered(id string) {
	m := s.messages[id]
	if m == nil || m.done {
		return
	}
	m.done = true
	delete(s.messages, id)
	c := s.plan.Scenario.Traffic.Classes[m.Class]
	w := c.Worth
	if age := s.now - m.At; age > c.Aim {
		w *= 1 - (1-c.Late)*min(1, float64(age-c.Aim)/float64(c.Deadline-c.Aim))
	}
	s.worths[int(m.At/windowSpan)].brought += w
	s.byClass[m.Class].brought += w
	s.byTenant[m.Tenant].brought += w
}

// score weighs the service as BRIEF 9 does.
func (s *Sim) score() {
	whole := worth{}
	r := &s.result
	r.Worst = 1
	for i, w := range s.worths {
		whole.asked += w.asked
		whole.brought += w.brought
		if x := w.share(); x < r.Worst && w.asked > 0 {
			r.Worst, r.WorstAt = x, time.Duration(i)*windowSpan
		}
	}
	r.Whole = whole.share()
	class, tenant := 1.0, 1.0
	for _, w := range s.byClass {
		r.Classes = append(r.Classes, w.share())
		class = min(class, w.share())
	}
	for _, w := range s.byTenant {
		r.Tenants = append(r.Tenants, w.share())
		tenant = min(tenant, w.share())
	}
	r.Service = 0.4*r.Whole + 0.3*r.Worst + 0.2*class + 0.1*tenant
}

// change does what the plan says to an endpoint, and discovery tells of it, late.
func (s *Sim) change(c scenario.Change) {
	t := s.targets[c.Endpoint]
	switch {
	case c.Joins != nil:
		d := &s.plan.Dests[c.Dest-1]
		if err := s.model.Join(s.now, c.Dest, *c.Joins); err != nil {
			s.err = err
			return
		}
		s.announce(s.list(d, *c.Joins))
	case c.Drains:
		s.model.Set(s.now, c.Endpoint, partner.Trouble{Mode: partner.Draining})
		t.State = control.Draining
		s.announce(t)
	case c.Leaves:
		s.model.Leave(s.now, c.Endpoint)
		t.State, t.lists = control.Removed, false
		s.announce(t)
	default:
		if t == nil || !t.lists {
			return // it has left meanwhile
		}
		if t.State == control.Draining {
			return
		}
		was, is := s.model.Trouble(c.Endpoint), c.Trouble
		s.model.Set(s.now, c.Endpoint, c.Trouble)
		if is.Outage() && !was.Outage() {
			s.note(audit.Event{What: audit.Trouble, Dest: t.Destination, Endpoint: t.ID})
		} else if was.Outage() && !is.Outage() {
			s.note(audit.Event{What: audit.Back, Dest: t.Destination, Endpoint: t.ID})
		}
	}
}

// announce has discovery tell each sender of a change, each at a time of its own.
func (s *Sim) announce(t *target) {
	s.version++
	line, version := t.Target, s.version
	for _, x := range s.senders {
		s.at(s.now+time.Duration(s.rng.Float64()*float64(listLate)), func() {
			s.note(audit.Event{What: audit.Told, Sender: x.num, Endpoint: line.ID, Dest: line.Destination, Leaves: line.State != control.Ready})
			x.step(state.News{Form: control.ListDelta, Version: version, Targets: []state.Target{line}})
		})
	}
}

// settle hands on what the model has done, and plans its next look.
func (s *Sim) settle() {
	for _, f := range s.model.Falls() {
		s.result.Falls++
		s.note(audit.Event{What: audit.Fell, Dest: f.Dest, Endpoint: f.Endpoint, Pushes: f.Pushes})
	}
	s.model.Effects()
	for _, a := range s.model.Answers() {
		if f := s.calls[a.Call]; f != nil {
			s.at(max(s.now, a.At)+f.hop, func() { f.answered(a) })
		}
	}
	at, some := s.model.Next()
	if !some || s.modelAt >= 0 && s.modelAt <= at && s.modelAt > s.now {
		return
	}
	s.modelAt = at
	s.at(at, func() { s.model.Advance(s.now) })
}
