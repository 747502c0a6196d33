// Package state is the sender's event loop, which alone owns the controller, the table of the messages that were
// accepted, the endpoint group (internal/endpointgroup) and the write-ahead log (internal/wal). Others only post
// events to it.
//
// It speaks no protocol: its Transport carries calls, its Discovery polls, its Reporter delivers reports, and each
// posts what came of that. It decides neither what is sent when (package control) nor whether a send is allowed
// (package permit).
package state

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/endpointgroup"
	"cleathold/internal/gossip"
	"cleathold/internal/store"
	"cleathold/internal/wal"
)

// maxEventsPerIteration is the most events that are drained before the controller decides.
const maxEventsPerIteration = 512

// Setup is what a loop is built from.
type Setup struct {
	Settings    control.Settings
	Classes     []string   // names of the classes in the settings, by their numbers
	Known       ListUpdate // the endpoint list to start with; not used where Handover has one
	Dir         string     // the state folder
	DiskBytes   int64      // that all files in it may take
	Log         *slog.Logger
	DeadLetters DeadLetterQueue // nil: what can't be delivered is not kept

	Handover *HandoverState // of a process before this one that runs on; nil: there is none

	Counters *Counters // of the process; nil: of this loop alone

	Durability store.Durability // of the log
	GroupWait  time.Duration    // where that is Group

	// For a simulation that drives the loop by Step, in a time of its own.
	Clock    func() time.Time // nil: the machine's
	InMemory bool             // the log is kept nowhere; its limit holds all the same
}

// Loop is the event loop. All it owns is touched by its own goroutine alone.
type Loop struct {
	settings        control.Settings
	log             *slog.Logger
	controller      *control.Controller
	transport       Transport
	discovery       Discovery
	reporter        Reporter
	deadLetterQueue DeadLetterQueue
	gossipSender    GossipSender

	events     chan Event
	clock      func() time.Time
	startedAt  time.Time // from which the controller counts
	now        time.Time // of the iteration
	timer      *time.Timer
	timerToken uint32
	wakeAt     time.Time // what the timer is set to

	table       *table
	group       *endpointgroup.Group
	departures  *endpointgroup.Departures
	wal         *wal.Log
	counters    *Counters
	retryAfters retryAfterTable
	certainty   listCertainty // whether the endpoint list is the one that was told last

	// What an iteration collects for its end.
	admitted        []*entry // their clients are not answered yet
	callsByEndpoint map[control.EndpointID]*Call
	newCalls        []*Call
	readyCalls      []*Call // to be launched
	reports         []DeliveryReport
	deadLetters     []*DeadLetter
	forgottenIDs    []string // that the log has forgotten, of messages that the dead-letter queue has
	gossip          []gossip.Observation
	backlog         []Event // of the loop's own making, for the next iteration

	inFlight        map[*Call]int // attempts without an end
	callsInFlight   int           // calls with the transport
	walRetryPending bool          // an iteration that writes the log again is on its way

	handOver  *HandOver      // asked for in this iteration
	successor Successor      // to whom everything was handed over
	remote    remoteAttempts // in flight at the predecessor

	started  bool
	stopped  bool // no new messages
	halted   bool // no new attempts
	finished chan struct{}
}

// NewLoop reads the log and makes a loop; Run starts it. Errors are those of the state folder and of settings that
// make no sense.
func NewLoop(s Setup) (*Loop, error) {
	registry := &classRegistry{}
	for i, c := range s.Settings.Classes {
		named := NamedClass{Class: c}
		if i < len(s.Classes) {
			named.Name = s.Classes[i]
		}
		registry.add(named)
	}
	log, messages, err := openLog(s, registry)
	if err != nil {
		return nil, err
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Counters == nil {
		s.Counters = &Counters{}
	}
	s.Settings.Classes = registry.classes() // with those of messages from before other settings
	l := &Loop{
		settings: s.Settings, log: s.Log, deadLetterQueue: s.DeadLetters, events: make(chan Event, 2*maxEventsPerIteration),
		clock: s.Clock, startedAt: s.Clock(), table: messages, group: endpointgroup.New(), wal: log, counters: s.Counters,
		retryAfters: retryAfterTable{}, callsByEndpoint: map[control.EndpointID]*Call{}, inFlight: map[*Call]int{},
		departures: &endpointgroup.Departures{}, finished: make(chan struct{}),
	}
	if l.controller, err = control.New(s.Settings, (*actions)(l)); err != nil {
		return nil, err
	}
	numbers := map[string]int{}
	for i, name := range s.Classes {
		numbers[name] = i
	}
	l.notifyClasses(numbers)
	if !s.InMemory {
		l.departures = endpointgroup.OpenDepartures(s.Dir, s.Log)
	}
	if s.Handover != nil {
		l.restoreHandover(s.Handover)
	} else {
		s.Known.Targets = slices.Clone(s.Known.Targets)
		l.departures.Apply(s.Known.Targets)
		l.backlog = append(l.backlog, s.Known)
	}
	return l, nil
}

// openLog opens the log, and makes a table of what it tells.
func openLog(s Setup, registry *classRegistry) (*wal.Log, *table, error) {
	t := newTable(registry)
	if s.InMemory {
		return wal.InMemory(s.DiskBytes), t, nil
	}
	log, recovered, err := wal.Open(wal.Options{
		Dir: s.Dir, Limit: s.DiskBytes, Reserved: 2 * endpointgroup.MaxDeparturesBytes, Durability: s.Durability,
		GroupWait: s.GroupWait, Virtual: s.Clock != nil, Log: s.Log,
	})
	if err != nil {
		return nil, nil, err
	}
	t.restore(recovered)
	return log, t, nil
}

// Connect names those that carry calls, poll discovery and deliver reports; before Run.
func (l *Loop) Connect(c Transport, d Discovery, n Reporter) {
	l.transport, l.discovery, l.reporter = c, d, n
}

// ConnectPeers names the one who tells the other senders; before Run. Without one nothing is told.
func (l *Loop) ConnectPeers(t GossipSender) { l.gossipSender = t }

// Post hands an event to the loop. It blocks while the queue is full, as its callers are goroutines of their own.
// After the end of Run the event is dropped.
func (l *Loop) Post(event Event) {
	select {
	case l.events <- event:
	case <-l.finished:
	}
}

// PostBefore is Post for one who can't wait longer than to a time; false where the event was not posted.
func (l *Loop) PostBefore(event Event, limit time.Time) bool {
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case l.events <- event:
		return true
	case <-timer.C:
	case <-l.finished:
	}
	return false
}

// Stop ends the acceptance of new messages.
func (l *Loop) Stop() { l.Post(stopping{}) }

// Halt ends the making of new attempts; those in flight are awaited.
func (l *Loop) Halt() { l.Post(halting{}) }

// Idle tells whether nothing is owed any more, or nothing is in flight of a halted loop.
func (l *Loop) Idle() bool {
	answer := make(chan bool, 1)
	l.Post(inspect(func() { answer <- l.Drained() }))
	select {
	case idle := <-answer:
		return idle
	case <-l.finished:
		return true
	}
}

// Drained is Idle for one who calls Step.
func (l *Loop) Drained() bool {
	if l.successor != nil {
		return l.nothingInFlight()
	}
	return l.table.idle() || l.halted && l.nothingInFlight()
}

// ListedTargets are the targets that discovery lists; none where the loop does not answer by a time.
func (l *Loop) ListedTargets(by time.Time) []ListedTarget {
	answer := make(chan []ListedTarget, 1)
	if !l.PostBefore(inspect(func() { answer <- l.group.Listed() }), by) {
		return nil
	}
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case list := <-answer:
		return list
	case <-timer.C:
	case <-l.finished:
	}
	return nil
}

// Close lets go of the log, as the end of the process would. Run does it by itself.
func (l *Loop) Close() {
	if l.successor != nil {
		return // it was closed when it was handed over
	}
	if err := l.wal.Close(); err != nil {
		l.log.Error("write-ahead log not closed", "err", err)
	}
}

// Run runs iterations until the context ends. In an iteration all events that are in are handled, the controller
// decides once, and what it did is committed.
func (l *Loop) Run(ctx context.Context) {
	defer l.Close()
	defer close(l.finished)
	l.timer = time.NewTimer(time.Hour)
	defer l.timer.Stop()
	l.restoreMessages()
	for {
		if len(l.backlog) == 0 {
			select {
			case <-ctx.Done():
				return
			case e := <-l.events:
				l.backlog = append(l.backlog, e)
			case <-l.timer.C:
				l.backlog = append(l.backlog, timerFired{l.timerToken})
			}
		}
		l.iterate()
	}
}

// Step runs iterations until these events and what they bring about are dealt with. It takes the place of Run, for
// one who has the time in hand; TimerElapsed stands for the timer.
func (l *Loop) Step(events ...Event) {
	if !l.started {
		l.restoreMessages()
	}
	for _, e := range events {
		if _, timer := e.(TimerElapsed); timer {
			l.wakeAt = time.Time{}
			e = timerFired{l.timerToken}
		}
		l.backlog = append(l.backlog, e)
	}
	for l.iterate(); len(l.backlog) > 0; {
		l.iterate()
	}
}

// WakeAt is when the timer goes off; zero where it is not set. For one who calls Step.
func (l *Loop) WakeAt() time.Time { return l.wakeAt }
