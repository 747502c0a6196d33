// Package simulation is the laboratory: it plays scenarios. Here in virtual time, where the
// senders are the loops that real senders run, with stages, table, limits, journal
// and controller, and only sockets are left out. Partners are the model of
// internal/partner, and internal/audit judges what was seen. What fronts on sockets
// share with virtual time is Ground, Tally and Profile.
package simulation

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
	"cleathold/internal/timeline"
)

// epoch is when virtual time begins, by the loops' clock.
var epoch = time.Unix(1_700_000_000, 0)

const (
	listFirst  = 20 * time.Millisecond  // until discovery answers a question
	noticeTime = 2 * time.Millisecond   // until the platform has acknowledged a notice
	clientHop  = 500 * time.Microsecond // from a client to a sender
	idleSpan   = 15 * time.Second       // an idle connection is closed after this
	drainSpan  = 30 * time.Second       // a run goes on for so long after the last arrival

	// Of a sender that ends. The figures of lifecycle and of DEPLOY.
	restartSpan = 600 * time.Millisecond
	startSpan   = 50 * time.Millisecond // until it is ready
	stopSpan    = 500 * time.Millisecond
	haltSpan    = 2 * time.Second
	finishSpan  = 3300 * time.Millisecond
	quietCheck  = 20 * time.Millisecond

	// Of ways that fail. The figures of internal/protocol.
	connectSpan = 1500 * time.Millisecond // until a connection that does not come up is given up
	askSpan     = 2 * time.Second         // until discovery's silence counts as a failure
)

// Result is what a run showed.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Score
	Connections    int               `json:"connections"`
	Overloads      int               `json:"falls"`
	Restarts       int               `json:"restarts"`
	GossipSent     int               `json:"notes"`            // between senders, one for each receiver...
	GossipReceived int               `json:"notes_heard"`      // ...and those that arrived, again where they came twice
	Orders         int               `json:"orders,omitempty"` // times that a sender went out by order of agents
	OverBudget     []string          `json:"over,omitempty"`   // of them, those that were one too many
	Plans          []string          `json:"plans,omitempty"`  // what became of each
	StillOut       []string          `json:"left,omitempty"`   // senders that are out in the end
	Counts         audit.Counts      `json:"counts"`
	Violations     []audit.Violation `json:"breaks,omitempty"`
	Events         int               `json:"events"` // of the simulation
}

// A Sim plays one plan.
type Sim struct {
	plan    *scenario.Plan
	ground  *Environment
	rng     *rand.Rand
	agents  *agents // nil: none
	log     *slog.Logger
	struck  bool // answers to clients may not come: ways fail, or processes are stopped
	now     time.Duration
	todo    timeline.Queue[func()]
	serial  uint64
	modelAt time.Duration // when the model is looked at next; below 0 = not

	senders  []*sender
	starts   uint64                         // of senders, for their seeds
	dirs     map[int]string                 // of those that are killed: where their journals are
	tuned    map[int]scenario.PlannedAction // the latest new settings, by sender
	tmp      string
	calls    map[uint64]*flight
	callNum  uint64
	auditor  *audit.Auditor
	tally    *ServiceMeter
	sink     func(audit.Event) error
	arrivals *scenario.Arrivals
	messages map[string]*ClientRequest
	result   Result
	err      error
}

// at has something done at a time.
func (s *Sim) at(when time.Duration, do func()) {
	s.serial++
	s.todo.Push(max(when, s.now), s.serial, do)
}

// fail ends the run; the first error counts.
func (s *Sim) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// note gives an event to all that read them.
func (s *Sim) note(e audit.Event) {
	e.At = s.now
	if err := s.auditor.Read(e); err != nil {
		s.fail(err)
	}
	if err := s.tally.Read(e); err != nil {
		s.fail(err)
	}
	if s.sink != nil {
		if err := s.sink(e); err != nil {
			s.fail(err)
		}
	}
}

// NewSim makes a run of a plan. Each event goes to the sink, if there is one; its
// error ends the run.
func NewSim(p *scenario.Plan, log *slog.Logger, sink func(audit.Event) error) (*Sim, error) {
	s := &Sim{
		plan: p, rng: rand.New(rand.NewPCG(p.Seed, 99)), log: log, modelAt: -1, dirs: map[int]string{}, tuned: map[int]scenario.PlannedAction{},
		calls: map[uint64]*flight{}, messages: map[string]*ClientRequest{}, arrivals: p.Arrivals(), tally: NewServiceMeter(p.Scenario), sink: sink,
	}
	var err error
	if s.ground, err = NewEnvironment(p, s.note); err != nil {
		return nil, err
	}
	s.result.Scenario, s.result.Seed = p.Scenario.Name, p.Seed
	set, err := Settings(p, 0, 0)
	if err != nil {
		return nil, err
	}
	s.auditor = audit.New(Rules(p, set))
	if len(p.Actions) > 0 {
		if s.tmp, err = os.MkdirTemp("", "cleathold-lab-"); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		for _, d := range p.Actions {
			if d.What != "kill" && d.What != "wipe" && d.What != "term" && d.What != "signals" {
				continue
			}
			s.dirs[d.Sender] = filepath.Join(s.tmp, fmt.Sprint("n", d.Sender))
		}
		for _, dir := range s.dirs {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return nil, fmt.Errorf("lab: %w", err)
			}
		}
	}
	for i := range p.Scenario.Senders {
		x, err := s.newSender(i)
		if err != nil {
			return nil, err
		}
		s.senders = append(s.senders, x)
	}
	for _, c := range p.Changes {
		s.at(c.At, func() { s.change(c) })
	}
	for _, b := range p.DiscoveryOutages {
		s.at(b.From, func() {
			for _, x := range s.senders {
				x.blinded()
			}
		})
	}
	s.struck = len(p.Links) > 0
	for _, d := range p.Actions {
		s.at(d.At, func() { s.deed(d) })
		s.struck = s.struck || d.What == "stop"
	}
	for _, at := range p.LinkChanges() {
		s.at(at, s.turn)
	}
	if p.Scenario.Agents.Number > 0 {
		s.agents = newAgents(s)
	}
	if len(p.Scenario.Churns) > 0 {
		s.at(NotifiedCheckInterval, s.look)
	}
	s.next()
	return s, nil
}

// look finds who counts as told though it did not ask.
func (s *Sim) look() {
	s.ground.MarkNotified(s.now)
	s.at(s.now+NotifiedCheckInterval, s.look)
}

// Run plays the plan to its end, and leaves nothing behind.
func (s *Sim) Run() (Result, error) {
	defer func() {
		if s.tmp != "" {
			os.RemoveAll(s.tmp)
		}
	}()
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
	if s.agents != nil {
		s.agents.finish()
	}
	s.result.Violations = s.auditor.Close(end)
	s.result.Counts, _ = s.auditor.Totals()
	s.result.Score = s.tally.Score()
	s.result.Overloads = s.ground.Overloads()
	return s.result, nil
}

// Now is the virtual time, for progress.
func (s *Sim) Now() time.Duration { return s.now }

// next plans the next arrival.
func (s *Sim) next() {
	a, some := s.arrivals.Next()
	if !some {
		return
	}
	s.at(a.At, func() {
		s.note(audit.Event{Kind: audit.Requested, N: a.N, Class: a.Class, Tenant: a.Tenant, Dest: a.Dest})
		s.handIn(&ClientRequest{Arrival: a})
		s.next()
	})
}

// front deals a hand-in out: to any sender but those that it knows are dead.
func (s *Sim) front() *sender {
	first := s.rng.IntN(len(s.senders))
	for i := range s.senders {
		x := s.senders[(first+i)%len(s.senders)]
		if !x.shunned(s.now) {
			return x
		}
	}
	return s.senders[first]
}

// handIn hands a message in, for the first time or again.
func (s *Sim) handIn(m *ClientRequest) {
	left := m.TimeLeft(s.plan.Scenario, s.now)
	if left <= 0 {
		return
	}
	to := s.front()
	there := s.way(scenario.Clients, to.party)
	if !to.open || there.Cut {
		s.nowhere(m)
		return
	}
	id, again := m.NextSubmission()
	key := m.Key(s.plan.Scenario)
	s.messages[id] = m
	if there.Silent {
		s.note(audit.Event{Kind: audit.Submitted, Sender: to.num, Message: id, Class: m.Class, Dest: m.Dest, TimeLeft: left, Key: key, N: m.N, Tenant: m.Tenant})
		s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { s.unanswered(m, id, to) })
		return
	}
	s.at(s.now+clientHop+s.late(there), func() {
		s.note(audit.Event{Kind: audit.Submitted, Sender: to.num, Message: id, Class: m.Class, Dest: m.Dest, TimeLeft: left, Key: key, N: m.N, Tenant: m.Tenant})
		if !to.open { // it has died meanwhile
			s.gone(m, id, to)
			return
		}
		verdict := make(chan state.Response, 1)
		h := state.Submitted{Response: verdict, Message: &state.Message{
			ID: id, Class: m.Class, Tenant: m.Tenant, Destination: m.Dest, Deadline: epoch.Add(s.now + left), Resubmitted: again,
			Body: make([]byte, m.Size), Key: key,
		}}
		to.waiting = append(to.waiting, awaiting{id, verdict})
		to.step(h)
		if s.struck {
			s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { to.impatient(m, id) })
		}
	})
}

// way is what ails the way between two parties now.
func (s *Sim) way(from, to string) scenario.LinkState {
	if len(s.plan.Links) == 0 {
		return scenario.LinkState{}
	}
	return s.plan.LinkState(s.now, from, to)
}

// late draws how much later something arrives than on a sound way.
func (s *Sim) late(w scenario.LinkState) time.Duration {
	if w.Jitter > 0 {
		return w.Delay + time.Duration(s.rng.Int64N(int64(w.Jitter)))
	}
	return w.Delay
}

// turn: ways have changed. Connections on those that are cut now break, and a watch goes on where it was silent.
func (s *Sim) turn() {
	for _, x := range s.senders {
		x.turned()
	}
}

// unanswered: a client has waited long enough, and hands in again.
func (s *Sim) unanswered(m *ClientRequest, id string, x *sender) {
	s.note(audit.Event{Kind: audit.Abandoned, Sender: x.num, Message: id, Cause: "timeout"})
	delete(s.messages, id)
	if !m.Done {
		s.nowhere(m)
	}
}

// gone: a client has no answer, and hands in again.
func (s *Sim) gone(m *ClientRequest, id string, x *sender) {
	s.note(audit.Event{Kind: audit.Abandoned, Sender: x.num, Message: id, Cause: "died"})
	delete(s.messages, id)
	s.nowhere(m)
}

// nowhere has a client hand in again what reached nobody.
func (s *Sim) nowhere(m *ClientRequest) {
	if after, again := m.Unanswered(s.plan.Scenario, s.rng); again {
		s.at(s.now+after, func() { s.handIn(m) })
	}
}

// refused has a client come again, as often as the scenario says.
func (s *Sim) refused(m *ClientRequest, id string, told time.Duration) {
	delete(s.messages, id)
	if after, again := m.Rejected(s.plan.Scenario, s.rng, told); again {
		s.at(s.now+after, func() { s.handIn(m) })
	}
}

// delivered ends a message for its client.
func (s *Sim) delivered(id string) {
	if m := s.messages[id]; m != nil {
		m.Done = true
		delete(s.messages, id)
	}
}

// change does what the plan says, and discovery tells of it, late.
func (s *Sim) change(c scenario.Change) {
	told, err := s.ground.Apply(s.now, c)
	if err != nil {
		s.fail(err)
	}
	for num, at := range told {
		s.at(at, func() { s.senders[num].hear() })
	}
}

// deed does something to a sender. A reload without anything new changes nothing in virtual time, where there is no
// file to read again.
func (s *Sim) deed(d scenario.PlannedAction) {
	x := s.senders[d.Sender]
	if x.dead || x.leaving {
		return
	}
	switch d.What {
	case "kill", "wipe":
		lost := ""
		if d.What == "wipe" {
			lost = audit.Wiped
		}
		s.note(audit.Event{Kind: audit.Died, Sender: x.num, Cause: lost})
		x.die()
		if dir, kept := s.dirs[x.num]; kept && d.What == "wipe" {
			if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o700)); err != nil {
				s.fail(err)
			}
		}
	case "term", "signals":
		x.when(func() {
			if !x.dead && !x.leaving {
				s.note(audit.Event{Kind: audit.Died, Sender: x.num})
				x.leave()
			}
		})
	case "stop":
		if !x.stopped() {
			x.stoppedAt = s.now
			s.note(audit.Event{Kind: audit.Died, Sender: x.num}) // nothing is due from it until it goes on
		}
		x.wakes = max(x.wakes, d.Until)
		s.at(x.wakes, x.wake)
	case "drain":
		x.away = true
		if d.Until > 0 {
			s.at(d.Until, func() { s.senders[d.Sender].away = false })
		}
	case "activate":
		x.away = false
	case "retune":
		s.tuned[x.num] = d
		set, err := readProfile(s.told(x.num), 0)
		if err != nil {
			s.fail(err)
			return
		}
		x.retune(set)
	}
}

// told is what a sender's configuration says now.
func (s *Sim) told(num int) map[string]any {
	if d, is := s.tuned[num]; is {
		return UpdatedSettings(s.plan, d)
	}
	return Profile(s.plan, num)
}

// settle hands on what the model has done, and plans its next look.
func (s *Sim) settle() {
	for _, a := range s.ground.Collect() {
		if f := s.calls[a.Call]; f != nil {
			s.at(max(s.now, a.At)+f.hop, func() { f.answered(a) })
		}
	}
	at, some := s.ground.Model.Next()
	if !some || s.modelAt >= 0 && s.modelAt <= at && s.modelAt > s.now {
		return
	}
	s.modelAt = at
	s.at(at, func() { s.ground.Model.Advance(s.now) })
}
