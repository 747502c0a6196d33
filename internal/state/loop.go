// Package state is the sender's event loop. The loop alone owns the controller, the table of accepted messages, the
// endpoint group (internal/endpointgroup) and the write-ahead log (internal/wal); other goroutines only post events to
// it.
//
// The package implements no protocol: Transport carries calls, Discovery polls for endpoints and Reporter delivers
// reports, and each of them posts its results to the loop. Package control decides what is sent and when, and package
// permit decides whether a send is allowed.
package state

import (
	"context"
	"log/slog"
	"time"

	"cleathold/control"
	"cleathold/internal/endpointgroup"
	"cleathold/internal/gossip"
	"cleathold/internal/store"
	"cleathold/internal/wal"
)

// maxEventsPerIteration is the maximum number of events that one iteration handles before the controller decides.
const maxEventsPerIteration = 512

// Setup is the configuration of a new loop.
type Setup struct {
	Settings     control.Settings
	Classes      []string   // names of the classes in Settings, by class number
	InitialList  ListUpdate // the endpoint list to start with; ignored if Handover is set
	AwaitList    bool       // nothing is sent before discovery has answered, or initialListTimeout has passed
	Dir          string     // the state folder
	MaxTargets   int        // the maximum number of known endpoints; 0: unlimited
	MaxDiskBytes int64      // the maximum size of all files in Dir
	Log          *slog.Logger
	DeadLetters  DeadLetterQueue // nil: undeliverable messages are not kept

	Handover *HandoverState // state of a predecessor that still runs; nil: there is none

	Counters *Counters // shared by all loops of the process; nil: the loop has its own

	Durability store.Durability // of the log
	GroupWait  time.Duration    // used if Durability is Group

	// For simulations that drive the loop with Step in virtual time.
	Clock    func() time.Time // nil: time.Now
	InMemory bool             // the log is not written to disk; its size limit applies nevertheless
}

// Loop is the event loop. Only its own goroutine accesses its state.
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
	startedAt  time.Time // the origin of the controller's clock
	now        time.Time // the time of the current iteration
	timer      *time.Timer
	timerToken uint32
	wakeAt     time.Time // when the timer goes off

	table       *table
	group       *endpointgroup.Group
	departures  *endpointgroup.Departures
	wal         *wal.Log
	counters    *Counters
	retryAfters retryAfterTable
	certainty   listCertainty // whether the known endpoint list is discovery's latest

	// Collected during an iteration and processed at its end.
	admitted        []*entry // messages whose clients have not been answered yet
	callsByEndpoint map[control.EndpointID]*Call
	newCalls        []*Call
	readyCalls      []*Call // calls that are ready to be launched
	reports         []DeliveryReport
	deadLetters     []*DeadLetter
	forgottenIDs    []string // IDs of dead letters that the log no longer holds
	gossip          []gossip.Observation
	backlog         []Event // events for the next iteration

	inFlight        map[*Call]int // attempts without a result, by call
	callsInFlight   int           // calls that the transport has
	walRetryPending bool          // an iteration that retries writing the log is scheduled

	departuresRetryPending bool // storing the departures again is scheduled

	overdueCheckedAt time.Time // when endOverdue last looked for overdue messages

	requestedHandover *Handover      // the hand-over that was requested, until it is complete
	successor         Successor      // set once the state has been handed over
	remote            remoteAttempts // attempts in flight at the predecessor

	awaitsList bool // sends are suspended from the start until discovery has answered

	started  bool
	stopped  bool // no new messages
	halted   bool // no new attempts
	finished chan struct{}
}

// NewLoop reads the log and returns a loop that Run starts. It returns an error if the state folder can't be used or
// the settings are invalid.
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
	s.Settings.Classes = registry.classes() // including the classes of logged messages from earlier settings
	s.Settings.MaxCallBytes = MaxBody
	l := &Loop{
		settings: s.Settings, log: s.Log, deadLetterQueue: s.DeadLetters, events: make(chan Event, 2*maxEventsPerIteration),
		clock: s.Clock, startedAt: s.Clock(), table: messages, group: endpointgroup.New(s.MaxTargets), wal: log, counters: s.Counters,
		retryAfters: retryAfterTable{}, callsByEndpoint: map[control.EndpointID]*Call{}, inFlight: map[*Call]int{},
		departures: &endpointgroup.Departures{}, finished: make(chan struct{}), awaitsList: s.AwaitList,
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
		l.backlog = append(l.backlog, s.InitialList, inspect(l.restoreDepartures))
	}
	return l, nil
}

// openLog opens the log and returns it with a table of the messages recovered from it.
func openLog(s Setup, registry *classRegistry) (*wal.Log, *table, error) {
	t := newTable(registry)
	if s.InMemory {
		return wal.InMemory(s.MaxDiskBytes), t, nil
	}
	log, recovered, err := wal.Open(wal.Options{
		Dir: s.Dir, Limit: s.MaxDiskBytes, Reserved: endpointgroup.ReservedBytes, Durability: s.Durability,
		GroupWait: s.GroupWait, Virtual: s.Clock != nil, Log: s.Log,
	})
	if err != nil {
		return nil, nil, err
	}
	t.restore(recovered)
	return log, t, nil
}

// Connect sets the transport, discovery and reporter. It must be called before Run.
func (l *Loop) Connect(t Transport, d Discovery, r Reporter) {
	l.transport, l.discovery, l.reporter = t, d, r
}

// ConnectGossip sets the sender of gossip to the other senders of the fleet. It must be called before Run. Without it
// no gossip is sent.
func (l *Loop) ConnectGossip(g GossipSender) { l.gossipSender = g }

// Post posts an event to the loop. It blocks while the queue is full, which delays only the caller's goroutine. After
// the end of Run the event is dropped.
func (l *Loop) Post(event Event) {
	select {
	case l.events <- event:
	case <-l.finished:
	}
}

// PostBefore posts an event like Post, but waits no longer than until limit. It reports whether the event was posted.
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

// runAfter has the loop's goroutine run a function after a delay, between two events.
func (l *Loop) runAfter(delay time.Duration, function func()) {
	time.AfterFunc(max(0, delay), func() { l.Post(inspect(function)) })
}

// Stop ends the acceptance of new messages.
func (l *Loop) Stop() { l.Post(stopping{}) }

// Halt ends the making of new attempts. The loop still waits for the attempts in flight.
func (l *Loop) Halt() { l.Post(halting{}) }

// Idle reports whether nothing more is owed, or whether the loop is halted and nothing is in flight.
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

// AwaitEvents waits until all events that were posted before have been handled, but no longer than until limit.
func (l *Loop) AwaitEvents(limit time.Time) {
	handled := make(chan struct{})
	if !l.PostBefore(inspect(func() { close(handled) }), limit) {
		return
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case <-handled:
	case <-timer.C:
	case <-l.finished:
	}
}

// Drained reports the same as Idle, for a caller of Step.
func (l *Loop) Drained() bool {
	if l.successor != nil {
		return l.nothingInFlight()
	}
	return l.table.idle() || l.halted && l.nothingInFlight()
}

// ListedTargets returns the targets that discovery lists, or nil if the loop does not answer before the time limit.
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

// Close closes the log, as the end of the process would. Run calls it when it returns.
func (l *Loop) Close() {
	if l.successor != nil {
		return // it was closed when it was handed over
	}
	if err := l.wal.Close(); err != nil {
		l.log.Error("write-ahead log not closed", "err", err)
	}
}

// Run runs iterations until the context ends. Each iteration handles all queued events, lets the controller decide once
// and commits the results.
func (l *Loop) Run(ctx context.Context) {
	defer l.Close()
	defer close(l.finished)
	l.timer = time.NewTimer(time.Hour)
	defer l.timer.Stop()
	guarded := make(chan struct{})
	go func() { defer close(guarded); l.table.guard.run(ctx, l.reporter, l.log) }()
	defer func() { <-guarded }()
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

// Step runs iterations until the given events and all events that result from them are handled. A caller that controls
// the time uses it instead of Run, and passes TimerElapsed when the timer goes off.
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

// WakeAt returns when the timer goes off, or the zero time if it is not set. It is for callers of Step.
func (l *Loop) WakeAt() time.Time { return l.wakeAt }
