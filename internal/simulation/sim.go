// Package simulation runs scenarios in virtual time. The senders run the production event loop, write-ahead log and
// controller; only the sockets are simulated. Partners are simulated by the model of internal/partner, and
// internal/audit checks the recorded events. Environment, ServiceMeter, ClientRequest and Profile are shared with
// internal/harness, which runs the same scenarios on sockets.
//
// A run is deterministic: the same plan produces the same events. Nothing in this package may depend on the wall clock,
// on goroutine scheduling or on the iteration order of a map, and the order of random draws is part of the behavior.
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
	discoveryDelay  = 20 * time.Millisecond  // from a poll to discovery's answer
	reportAckDelay  = 2 * time.Millisecond   // from a delivery report to the platform's acknowledgement
	clientDelay     = 500 * time.Microsecond // one-way network delay from a client to a sender
	idleConnTimeout = 15 * time.Second       // endpoints close connections that were idle for this long
	drainPeriod     = 30 * time.Second       // how long a run continues after the end of the scenario

	// Graceful shutdown of a sender, counted from SIGTERM, and its restart. These are the values of package lifecycle
	// and of DEPLOY.
	restartDelay         = 600 * time.Millisecond  // from the end of a process to the start of the next one
	startupDelay         = 50 * time.Millisecond   // from the start of a process until it is ready
	stopDelay            = 500 * time.Millisecond  // until it accepts no more messages
	haltDelay            = 2 * time.Second         // until it starts no more attempts
	shutdownTimeout      = 3300 * time.Millisecond // until it exits even if calls are in flight
	drainedCheckInterval = 20 * time.Millisecond   // between checks whether anything is in flight

	// Timeouts on failed links. These are the values of internal/protocol.
	connectTimeout = 1500 * time.Millisecond // for opening a connection
	pollTimeout    = 2 * time.Second         // for an answer of discovery
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
	GossipReceived int               `json:"notes_heard"`      // packets that arrived, duplicates included
	Orders         int               `json:"orders,omitempty"` // times that agents took a sender out of service
	OverBudget     []string          `json:"over,omitempty"`   // orders that exceeded the budget
	Plans          []string          `json:"plans,omitempty"`  // each rollout plan with its last phase
	StillOut       []string          `json:"left,omitempty"`   // senders that are out of service at the end
	Counts         audit.Counts      `json:"counts"`
	Violations     []audit.Violation `json:"breaks,omitempty"`
	Events         int               `json:"events"` // steps of the simulation
}

// A Sim runs one plan. It is not safe for concurrent use.
type Sim struct {
	plan             *scenario.Plan
	environment      *Environment
	rng              *rand.Rand
	agents           *agentCluster // nil: none
	log              *slog.Logger
	responsesMayFail bool // links fail, or processes are stopped
	now              time.Duration
	schedule         timeline.Queue[func()]
	serial           uint64        // of the latest scheduled step; steps at the same time run in this order
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

// at schedules a step. A step in the past is scheduled for the current time.
func (s *Sim) at(when time.Duration, step func()) {
	s.serial++
	s.schedule.Push(max(when, s.now), s.serial, step)
}

// fail ends the run. Run returns the first error passed to fail.
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

// NewSim prepares a run of a plan. Each event is passed to sink, unless sink is nil; an error of sink ends the run.
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

// makeWALDirs creates a folder for the write-ahead log of each sender that the plan restarts. The other senders keep
// their logs in memory.
func (s *Sim) makeWALDirs() error {
	if len(s.plan.Actions) == 0 {
		return nil
	}
	var err error
	if s.tempDir, err = os.MkdirTemp("", "cleathold-lab-"); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	for _, action := range s.plan.Actions {
		if !action.EndsProcess() {
			continue
		}
		dir := filepath.Join(s.tempDir, fmt.Sprint("n", action.Sender))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		s.walDirs[action.Sender] = dir
	}
	return nil
}

// schedulePlan schedules everything in the plan except the arrivals. The order of scheduling must not change, since it
// decides the order of steps at the same time.
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
		s.responsesMayFail = s.responsesMayFail || action.Kind == "stop"
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

// markNotified records periodically which senders count as notified although they did not poll.
func (s *Sim) markNotified() {
	s.environment.MarkNotified(s.now)
	s.at(s.now+NotifiedCheckInterval, s.markNotified)
}

// Run runs the plan to its end and removes the temporary files. It returns the first error of an event loop, of the
// auditor or of the sink.
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

// collect schedules the arrival of the model's answers since the last step, and the model's next advance.
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
