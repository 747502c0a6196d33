// Package simulation is the laboratory: it plays scenarios. Here in virtual time, where the
// senders are the loops that real senders run, with stages, table, limits, journal
// and controller, and only sockets are left out. Partners are the model of
// internal/partner, and internal/audit judges what was seen. What fronts on sockets
// share with virtual time is Ground, Tally and Profile.
package simulation

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/timeline"
)

// virtualStart is when virtual time begins, by the loops' clock.
var virtualStart = time.Unix(1_700_000_000, 0)

const (
	discoveryDelay  = 20 * time.Millisecond  // until discovery answers a question
	reportAckDelay  = 2 * time.Millisecond   // until the platform has acknowledged a notice
	clientDelay     = 500 * time.Microsecond // from a client to a sender
	idleConnTimeout = 15 * time.Second       // an idle connection is closed after this
	drainPeriod     = 30 * time.Second       // a run goes on for so long after the last arrival

	// Of a sender that ends. The figures of lifecycle and of DEPLOY.
	restartDelay         = 600 * time.Millisecond
	startupDelay         = 50 * time.Millisecond // until it is ready
	stopDelay            = 500 * time.Millisecond
	haltDelay            = 2 * time.Second
	shutdownTimeout      = 3300 * time.Millisecond
	drainedCheckInterval = 20 * time.Millisecond

	// Of ways that fail. The figures of internal/protocol.
	connectTimeout = 1500 * time.Millisecond // until a connection that does not come up is given up
	pollTimeout    = 2 * time.Second         // until discovery's silence counts as a failure
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
	plan             *scenario.Plan
	environment      *Environment
	rng              *rand.Rand
	agents           *agents // nil: none
	log              *slog.Logger
	responsesMayFail bool // answers to clients may not come: ways fail, or processes are stopped
	now              time.Duration
	schedule         timeline.Queue[func()]
	serial           uint64
	modelWakeAt      time.Duration // when the model is looked at next; below 0 = not

	senders         []*sender
	senderStarts    uint64                         // of senders, for their seeds
	walDirs         map[int]string                 // of those that are killed: where their journals are
	settingsUpdates map[int]scenario.PlannedAction // the latest new settings, by sender
	tempDir         string
	calls           map[uint64]*inFlightCall
	lastCall        uint64
	auditor         *audit.Auditor
	meter           *ServiceMeter
	sink            func(audit.Event) error
	arrivals        *scenario.Arrivals
	messages        map[string]*ClientRequest
	result          Result
	err             error
}

// at has something done at a time.
func (s *Sim) at(when time.Duration, do func()) {
	s.serial++
	s.schedule.Push(max(when, s.now), s.serial, do)
}

// fail ends the run; the first error counts.
func (s *Sim) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// record gives an event to all that read them.
func (s *Sim) record(e audit.Event) {
	e.At = s.now
	if err := s.auditor.Read(e); err != nil {
		s.fail(err)
	}
	if err := s.meter.Read(e); err != nil {
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
		plan: p, rng: rand.New(rand.NewPCG(p.Seed, 99)), log: log, modelWakeAt: -1, walDirs: map[int]string{}, settingsUpdates: map[int]scenario.PlannedAction{},
		calls: map[uint64]*inFlightCall{}, messages: map[string]*ClientRequest{}, arrivals: p.Arrivals(), meter: NewServiceMeter(p.Scenario), sink: sink,
	}
	var err error
	if s.environment, err = NewEnvironment(p, s.record); err != nil {
		return nil, err
	}
	s.result.Scenario, s.result.Seed = p.Scenario.Name, p.Seed
	set, err := Settings(p, 0, 0)
	if err != nil {
		return nil, err
	}
	s.auditor = audit.New(Rules(p, set))
	if len(p.Actions) > 0 {
		if s.tempDir, err = os.MkdirTemp("", "cleathold-lab-"); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		for _, d := range p.Actions {
			if d.What != "kill" && d.What != "wipe" && d.What != "term" && d.What != "signals" {
				continue
			}
			s.walDirs[d.Sender] = filepath.Join(s.tempDir, fmt.Sprint("n", d.Sender))
		}
		for _, dir := range s.walDirs {
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
		s.at(c.At, func() { s.applyChange(c) })
	}
	for _, b := range p.DiscoveryOutages {
		s.at(b.From, func() {
			for _, x := range s.senders {
				x.discoveryDown()
			}
		})
	}
	s.responsesMayFail = len(p.Links) > 0
	for _, d := range p.Actions {
		s.at(d.At, func() { s.inject(d) })
		s.responsesMayFail = s.responsesMayFail || d.What == "stop"
	}
	for _, at := range p.LinkChanges() {
		s.at(at, s.linksChanged)
	}
	if p.Scenario.Agents.Number > 0 {
		s.agents = newAgents(s)
	}
	if len(p.Scenario.Churns) > 0 {
		s.at(NotifiedCheckInterval, s.markNotified)
	}
	s.scheduleArrival()
	return s, nil
}

// markNotified finds who counts as told though it did not ask.
func (s *Sim) markNotified() {
	s.environment.MarkNotified(s.now)
	s.at(s.now+NotifiedCheckInterval, s.markNotified)
}

// Run plays the plan to its end, and leaves nothing behind.
func (s *Sim) Run() (Result, error) {
	defer func() {
		if s.tempDir != "" {
			os.RemoveAll(s.tempDir)
		}
	}()
	end := s.plan.Scenario.Length + drainPeriod
	for at, _, some := s.schedule.First(); some && at <= end && s.err == nil; at, _, some = s.schedule.First() {
		now, do := s.schedule.Pop()
		s.now = now
		s.result.Events++
		do()
		s.collect()
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
	s.result.Score = s.meter.Score()
	s.result.Overloads = s.environment.Overloads()
	return s.result, nil
}

// Now is the virtual time, for progress.
func (s *Sim) Now() time.Duration { return s.now }

// collect hands on what the model has done, and plans its next look.
func (s *Sim) collect() {
	for _, a := range s.environment.Collect() {
		if f := s.calls[a.Call]; f != nil {
			s.at(max(s.now, a.At)+f.delay, func() { f.receiveAnswer(a) })
		}
	}
	at, some := s.environment.Model.Next()
	if !some || s.modelWakeAt >= 0 && s.modelWakeAt <= at && s.modelWakeAt > s.now {
		return
	}
	s.modelWakeAt = at
	s.at(at, func() { s.environment.Model.Advance(s.now) })
}
