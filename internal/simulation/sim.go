// Package simulation plays scenarios in virtual time. The senders run the event loop, the write-ahead log and the
// controller that real senders run; only sockets are left out. Partners are the model of internal/partner, and
// internal/audit judges what was recorded. Environment, ServiceMeter, ClientRequest and Profile are shared with
// internal/harness, which plays the same scenarios on sockets.
//
// The same plan gives the same events: nothing here may depend on the wall clock, on goroutines or on the iteration
// order of a map, and the order of random draws is part of the behavior.
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

// virtualStart is the wall-clock time that the event loops read at virtual time 0.
var virtualStart = time.Unix(1_700_000_000, 0)

const (
	discoveryDelay  = 20 * time.Millisecond  // until discovery answers a poll
	reportAckDelay  = 2 * time.Millisecond   // until the platform has acknowledged a delivery report
	clientDelay     = 500 * time.Microsecond // from a client to a sender, one way
	idleConnTimeout = 15 * time.Second       // endpoints close connections that were idle for this long
	drainPeriod     = 30 * time.Second       // how long a run goes on after the end of the scenario

	// Graceful shutdown of a sender, counted from SIGTERM, and its restart. The values of lifecycle and of DEPLOY.
	restartDelay         = 600 * time.Millisecond  // until a process that ended is started again
	startupDelay         = 50 * time.Millisecond   // from the start until it is ready
	stopDelay            = 500 * time.Millisecond  // until it accepts no more messages
	haltDelay            = 2 * time.Second         // until it starts no more attempts
	shutdownTimeout      = 3300 * time.Millisecond // until it exits, whatever is in flight
	drainedCheckInterval = 20 * time.Millisecond   // between checks whether anything is in flight

	// Links that fail. The values of internal/protocol.
	connectTimeout = 1500 * time.Millisecond // for a connection that does not come up
	pollTimeout    = 2 * time.Second         // for discovery to answer
)

// Result is the outcome of a run. Its JSON form is that of result.json.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Score
	Connections    int               `json:"connections"`
	Overloads      int               `json:"falls"`
	Restarts       int               `json:"restarts"`
	GossipSent     int               `json:"notes"`            // gossip between senders, counted for each receiver
	GossipReceived int               `json:"notes_heard"`      // of them, those that arrived; duplicates count again
	Orders         int               `json:"orders,omitempty"` // times that agents took a sender out of service
	OverBudget     []string          `json:"over,omitempty"`   // of them, those beyond the budget
	Plans          []string          `json:"plans,omitempty"`  // each rollout plan with its last phase
	StillOut       []string          `json:"left,omitempty"`   // senders that are out of service at the end
	Counts         audit.Counts      `json:"counts"`
	Violations     []audit.Violation `json:"breaks,omitempty"`
	Events         int               `json:"events"` // steps of the simulation
}

// A Sim plays one plan. It is not safe for concurrent use.
type Sim struct {
	plan             *scenario.Plan
	environment      *Environment
	rng              *rand.Rand
	agents           *agentCluster // nil: none
	log              *slog.Logger
	responsesMayFail bool // links fail, or processes are stopped
	now              time.Duration
	schedule         timeline.Queue[func()]
	serial           uint64        // of the latest scheduled step; steps of one time run in this order
	modelAdvanceAt   time.Duration // when the model advances next; below 0: not scheduled

	senders         []*sender
	senderStarts    uint64                         // processes started so far; seeds their random sources
	walDirs         map[int]string                 // folders of the write-ahead logs of senders that restart
	settingsUpdates map[int]scenario.PlannedAction // the latest settings update of each sender
	tempDir         string
	calls           map[uint64]*inFlightCall // calls that a partner still has to answer, by id
	lastCall        uint64
	auditor         *audit.Auditor
	meter           *ServiceMeter
	eventSink       func(audit.Event) error
	arrivals        *scenario.Arrivals
	messages        map[string]*ClientRequest // by the id of their latest submission
	result          Result
	err             error
}

// at schedules a step; one in the past runs now.
func (s *Sim) at(when time.Duration, step func()) {
	s.serial++
	s.schedule.Push(max(when, s.now), s.serial, step)
}

// fail ends the run. The first error is the one that Run returns.
func (s *Sim) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// record passes an event to the auditor, the service meter and the sink.
func (s *Sim) record(e audit.Event) {
	e.At = s.now
	if err := s.auditor.Read(e); err != nil {
		s.fail(err)
	}
	if err := s.meter.Read(e); err != nil {
		s.fail(err)
	}
	if s.eventSink != nil {
		if err := s.eventSink(e); err != nil {
			s.fail(err)
		}
	}
}

// NewSim prepares a run of a plan. Each event goes to sink, unless it is nil; an error of sink ends the run.
func NewSim(p *scenario.Plan, log *slog.Logger, sink func(audit.Event) error) (*Sim, error) {
	s := &Sim{
		plan: p, rng: rand.New(rand.NewPCG(p.Seed, 99)), log: log, modelAdvanceAt: -1, walDirs: map[int]string{},
		settingsUpdates: map[int]scenario.PlannedAction{}, calls: map[uint64]*inFlightCall{},
		messages: map[string]*ClientRequest{}, arrivals: p.Arrivals(), meter: NewServiceMeter(p.Scenario), eventSink: sink,
	}
	var err error
	if s.environment, err = NewEnvironment(p, s.record); err != nil {
		return nil, err
	}
	s.result.Scenario, s.result.Seed = p.Scenario.Name, p.Seed
	settings, err := Settings(p, 0, 0)
	if err != nil {
		return nil, err
	}
	s.auditor = audit.New(Rules(p, settings))
	if err := s.makeWALDirs(); err != nil {
		return nil, err
	}
	for i := range p.Scenario.Senders {
		sd, err := s.newSender(i)
		if err != nil {
			return nil, err
		}
		s.senders = append(s.senders, sd)
	}
	s.schedulePlan()
	s.scheduleArrival()
	return s, nil
}

// makeWALDirs makes a folder for the write-ahead log of each sender that is restarted. The others keep theirs in
// memory.
func (s *Sim) makeWALDirs() error {
	if len(s.plan.Actions) == 0 {
		return nil
	}
	var err error
	if s.tempDir, err = os.MkdirTemp("", "cleathold-lab-"); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	for _, action := range s.plan.Actions {
		switch action.What {
		case "kill", "wipe", "term", "signals":
			dir := filepath.Join(s.tempDir, fmt.Sprint("n", action.Sender))
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return fmt.Errorf("lab: %w", err)
			}
			s.walDirs[action.Sender] = dir
		}
	}
	return nil
}

// schedulePlan schedules all that the plan has drawn, but the arrivals. The order of what falls on one time stays.
func (s *Sim) schedulePlan() {
	p := s.plan
	for _, c := range p.Changes {
		s.at(c.At, func() { s.applyChange(c) })
	}
	for _, outage := range p.DiscoveryOutages {
		s.at(outage.From, func() {
			for _, sd := range s.senders {
				sd.discoveryDown()
			}
		})
	}
	s.responsesMayFail = len(p.Links) > 0
	for _, action := range p.Actions {
		s.at(action.At, func() { s.applyAction(action) })
		s.responsesMayFail = s.responsesMayFail || action.What == "stop"
	}
	for _, at := range p.LinkChanges() {
		s.at(at, s.linksChanged)
	}
	if p.Scenario.Agents.Number > 0 {
		s.agents = newAgentCluster(s)
	}
	if len(p.Scenario.Churns) > 0 {
		s.at(NotifiedCheckInterval, s.markNotified)
	}
}

// markNotified records, again and again, which senders count as notified though they did not poll.
func (s *Sim) markNotified() {
	s.environment.MarkNotified(s.now)
	s.at(s.now+NotifiedCheckInterval, s.markNotified)
}

// Run plays the plan to its end and removes the temporary files. It returns the first error of a loop, of the auditor
// or of the sink.
func (s *Sim) Run() (Result, error) {
	defer func() {
		if s.tempDir != "" {
			os.RemoveAll(s.tempDir)
		}
	}()
	end := s.plan.Scenario.Length + drainPeriod
	for s.err == nil {
		if at, _, ok := s.schedule.First(); !ok || at > end {
			break
		}
		now, step := s.schedule.Pop()
		s.now = now
		s.result.Events++
		step()
		s.collect()
	}
	if s.err != nil {
		return s.result, s.err
	}
	s.now = end
	if s.agents != nil {
		s.agents.recordResult()
	}
	s.result.Violations = s.auditor.Close(end)
	s.result.Counts, _ = s.auditor.Totals()
	s.result.Score = s.meter.Score()
	s.result.Overloads = s.environment.Overloads()
	return s.result, nil
}

// Now returns the virtual time, counted from the start of the run.
func (s *Sim) Now() time.Duration { return s.now }

// collect schedules the answers that the model gave since the last step, and the model's next one.
func (s *Sim) collect() {
	for _, a := range s.environment.Collect() {
		if f := s.calls[a.Call]; f != nil {
			s.at(max(s.now, a.At)+f.delay, func() { f.receiveAnswer(a) })
		}
	}
	at, ok := s.environment.Model.Next()
	if !ok || s.modelAdvanceAt >= 0 && s.modelAdvanceAt <= at && s.modelAdvanceAt > s.now {
		return
	}
	s.modelAdvanceAt = at
	s.at(at, func() { s.environment.Model.Advance(s.now) })
}
