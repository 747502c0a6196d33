package state

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
	"cleathold/internal/store"
)

// maxEventsPerIteration is the most events that are drained before the controller decides.
const maxEventsPerIteration = 512

// Setup is what a loop is built from.
type Setup struct {
	Settings    control.Settings
	Classes     []string // names of the classes in the settings, by their numbers
	Known       ListUpdate
	Dir         string
	DiskBytes   int64
	Log         *slog.Logger
	DeadLetters DeadLetterQueue // nil: what can't be delivered is not kept

	Handover *HandoverState // of a process before this one that runs on; nil: there is none

	Counters *Counters // of the process; nil: of this loop alone

	Durability store.Durability // of the journal
	GroupWait  time.Duration    // where that is Group

	// For a laboratory that drives the loop by Step, in a time of its own.
	Clock    func() time.Time // nil: the machine's
	InMemory bool             // the journal is kept nowhere; its limit holds all the same
}

// Loop owns the controller, the table, the target group and the journal. All
// of them are touched by its own goroutine alone; others only post events.
type Loop struct {
	settings        control.Settings
	log             *slog.Logger
	controller      *control.Controller
	transport       Transport
	discovery       Discovery
	reporter        Reporter
	deadLetterQueue DeadLetterQueue
	gossipSender    GossipSender
	gossip          []gossip.Observation // to be told to the other senders at the end of the round

	events chan Event
	clock  func() time.Time
	start  time.Time
	now    time.Time // of the round
	timer  *time.Timer
	token  uint32
	wakeAt time.Time // what the timer is set to

	table    *table
	group    *group
	wal      *writeAheadLog
	counters *Counters

	admitted        []*entry // taken in this round, their clients not answered yet
	callsByEndpoint map[control.EndpointID]*Call
	newCalls        []*Call          // of this round
	readyCalls      []*Call          // to be launched at the end of the round
	reports         []DeliveryReport // to be told at the end of the round
	deadLetters     []*DeadLetter    // to be given to the keeper at the end of the round
	forgottenIDs    []string         // ids that the journal has forgotten, of messages that the keeper has
	backlog         []Event          // events of the loop's own making, for the next round
	inFlight        map[*Call]int    // forwards without an end
	callsInFlight   int              // calls with the carrier

	handOver       *HandOver                // asked for in this round
	successor      Successor                // to whom everything was given
	remoteInFlight map[remoteAttemptKey]int // forwards out at another process, and in which of its calls

	departures      *departures
	retryAfters     map[routeKey]retryAfter
	walRetryPending bool          // a round that writes the journal again is on its way
	certainty       listCertainty // whether the list of targets is the one that was told last

	started  bool
	stopped  bool // no new messages
	halted   bool // no new forwards
	finished chan struct{}
}

// NewLoop reads the journal and makes a loop; Run starts it.
func NewLoop(s Setup) (*Loop, error) {
	virtual := s.Clock != nil
	if !virtual {
		s.Clock = time.Now
	}
	if s.Counters == nil {
		s.Counters = &Counters{}
	}
	classes := &classRegistry{}
	for i, c := range s.Settings.Classes {
		named := NamedClass{Class: c}
		if i < len(s.Classes) {
			named.Name = s.Classes[i]
		}
		classes.list, classes.records = append(classes.list, named), append(classes.records, string(classRecord(named)))
	}
	j, t, err := &writeAheadLog{limit: s.DiskBytes, inMemory: true}, newTable(), error(nil)
	if t.classes = classes; !s.InMemory {
		j, t, err = openWAL(walOptions{
			dir: s.Dir, limit: s.DiskBytes, durability: s.Durability, groupWait: s.GroupWait, classes: classes, virtual: virtual, log: s.Log,
		})
	}
	if err != nil {
		return nil, err
	}
	s.Settings.Classes = classes.classes() // with those of messages from before other settings
	l := &Loop{
		settings: s.Settings, log: s.Log, deadLetterQueue: s.DeadLetters, events: make(chan Event, 2*maxEventsPerIteration),
		clock: s.Clock, start: s.Clock(), table: t, group: newGroup(), wal: j, counters: s.Counters,
		retryAfters: map[routeKey]retryAfter{}, callsByEndpoint: map[control.EndpointID]*Call{}, inFlight: map[*Call]int{}, finished: make(chan struct{}),
	}
	if l.controller, err = control.New(s.Settings, (*actions)(l)); err != nil {
		return nil, err
	}
	now := map[string]int{}
	for i, name := range s.Classes {
		now[name] = i
	}
	l.notifyClasses(now)
	l.departures = &departures{}
	if !s.InMemory {
		l.departures = openDepartures(s.Dir, s.Log)
	}
	if s.Handover != nil {
		l.restoreHandover(s.Handover)
	} else {
		s.Known.Targets = slices.Clone(s.Known.Targets)
		l.departures.apply(s.Known.Targets)
		l.backlog = append(l.backlog, s.Known)
	}
	return l, nil
}

// Connect names those that carry, list and notify; before Run.
func (l *Loop) Connect(c Transport, d Discovery, n Reporter) {
	l.transport, l.discovery, l.reporter = c, d, n
}

// ConnectPeers names the one who tells the other senders; before Run. Without one nothing is told.
func (l *Loop) ConnectPeers(t GossipSender) { l.gossipSender = t }

// Post hands an event to the loop. It blocks while the queue is full, as its
// callers are goroutines of their own.
func (l *Loop) Post(event Event) {
	select {
	case l.events <- event:
	case <-l.finished:
	}
}

// PostBefore is Post for one who can't wait longer than to a time.
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

// Stop ends the taking of new messages.
func (l *Loop) Stop() { l.Post(stopping{}) }

// Halt ends the making of new forwards; those out are awaited.
func (l *Loop) Halt() { l.Post(halting{}) }

// Idle tells whether nothing is owed any more, or nothing is out of a halted loop.
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

// Close lets go of the journal, as the end of the process would. Run does it by itself.
func (l *Loop) Close() {
	if l.successor != nil {
		return // it was closed when it was given
	}
	if err := l.wal.close(); err != nil {
		l.log.Error("journal not closed", "err", err)
	}
}

// ListedTargets are the targets that discovery lists; none where the loop does not answer by a time.
func (l *Loop) ListedTargets(by time.Time) []ListedTarget {
	answer := make(chan []ListedTarget, 1)
	if !l.PostBefore(inspect(func() { answer <- l.group.listed() }), by) {
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

// Drained is Idle for one who calls Step.
func (l *Loop) Drained() bool {
	if l.successor != nil {
		return len(l.inFlight)+len(l.remoteInFlight) == 0
	}
	return l.table.idle() || l.halted && len(l.inFlight)+len(l.remoteInFlight) == 0
}

// Run runs rounds until the context ends. In a round all events that are in
// are handed on, the controller decides once, and what it did is settled.
func (l *Loop) Run(ctx context.Context) {
	defer l.Close()
	defer close(l.finished)
	l.timer = time.NewTimer(time.Hour)
	defer l.timer.Stop()
	l.begin()
	for {
		if len(l.backlog) == 0 {
			select {
			case <-ctx.Done():
				return
			case e := <-l.events:
				l.backlog = append(l.backlog, e)
			case <-l.timer.C:
				l.backlog = append(l.backlog, timerFired{l.token})
			}
		}
		l.iterate()
	}
}

// begin takes up what the journal told is owed.
func (l *Loop) begin() {
	l.started = true
	l.now = l.clock()
	l.beginDeadLetterQueue()
	for _, e := range l.table.ordered() {
		if e.deadLetter != nil {
			e.deadLetter = l.restoreDeadLetter(e)
			l.deadLetters = append(l.deadLetters, e.deadLetter)
		}
		if e.report != nil && e.deadLetterSeq == 0 {
			l.reporter.Report(*e.report)
		}
		if e.report != nil || e.remoteInFlight > 0 {
			continue
		}
		l.submitToController(e, true)
	}
}

// Step runs rounds until these events and what they bring about are dealt with. It
// takes the place of Run, for one who has the time in hand; TimerElapsed stands for the timer.
func (l *Loop) Step(events ...Event) {
	if !l.started {
		l.begin()
	}
	for _, e := range events {
		if _, timer := e.(TimerElapsed); timer {
			l.wakeAt = time.Time{}
			e = timerFired{l.token}
		}
		l.backlog = append(l.backlog, e)
	}
	for l.iterate(); len(l.backlog) > 0; {
		l.iterate()
	}
}

// WakeAt is when the timer goes off; zero where it is not set. For one who calls Step.
func (l *Loop) WakeAt() time.Time { return l.wakeAt }

// iterate is one round.
func (l *Loop) iterate() {
	l.now = l.clock()
	events := l.backlog
	l.backlog = nil
	if l.successor != nil {
		for _, e := range events {
			l.handleHandedOver(e)
		}
		return
	}
	for _, e := range events {
		l.handle(e)
	}
	for n := len(events); n < maxEventsPerIteration; n++ {
		select {
		case e := <-l.events:
			l.now = l.clock() // what came in the middle of the round is not older than that
			l.handle(e)
			continue
		default:
		}
		break
	}
	if !l.halted {
		l.controller.Decide(l.sinceStart())
	}
	l.commit()
	if l.handOver != nil {
		l.completeHandOver()
	}
}

// sinceStart is the controller's clock.
func (l *Loop) sinceStart() time.Duration { return l.now.Sub(l.start) }

// handle passes one event to its stage.
func (l *Loop) handle(event Event) {
	switch e := event.(type) {
	case Submitted:
		l.admit(e)
	case ResponseWritten:
		l.responseWritten(e)
	case CallEnded:
		l.callEnded(e)
	case ListUpdate:
		l.controller.UpdateEndpoints(l.sinceStart(), e.Kind, l.group.update(e, l.now))
		l.applyRetryAfters(e.Targets)
		l.withholdUnavailable()
		l.notifyCapacity()
		if e.Kind == control.ListFull || e.Kind == control.ListDelta {
			l.departures.update(l.group)
			l.listKnown(e.PollPaused)
		}
	case ListUnreadable:
		l.listUnreadable(e)
	case PollOpen:
		l.listKnown(false)
	case PollFailed:
		l.certainty.markUncertain(e.Since)
		l.reviewList()
	case Redelivery:
		l.admitRedelivery(e)
	case DeadLettersStored:
		l.deadLettersStored(e)
	case ExclusionsChanged:
		if lines := l.group.setExcluded(e.IDs); len(lines) > 0 {
			l.controller.UpdateEndpoints(l.sinceStart(), control.ListExcluded, lines)
			l.withholdUnavailable()
			l.log.Info("targets taken out by the operators", "out", len(e.IDs), "changed", len(lines))
		}
	case HealthChecked:
		l.controller.HealthChecked(l.sinceStart(), e.Target, e.Result, e.Elapsed, nil)
	case GossipReceived:
		l.receiveGossip(e)
	case ReportsAcknowledged:
		l.reportsAcknowledged(e)
	case timerFired:
		l.controller.TimerFired(l.sinceStart(), e.token)
	case stopping:
		l.stopped = true
	case halting:
		// What has not left now is tried by the next process: it would be cut off in the middle.
		l.halted = true
		l.withhold(func(Target) bool { return true })
	case UpdateSettings:
		l.updateSettings(e)
	case HandOver:
		l.beginHandOver(e)
	case RemoteResult:
		l.remoteResult(e)
	case PredecessorLost:
		l.predecessorLost()
	case inspect:
		e()
	}
}

// commit makes a round's doings known. The journal comes first: no client
// hears that a message is taken on, no forward leaves and no notice goes out
// before the record of it is written.
func (l *Loop) commit() {
	for _, e := range l.admitted {
		if l.table.entries[e.num] == e && e.deadLetterSeq == 0 {
			l.wal.addAccepted(e)
		}
	}
	for _, c := range l.newCalls {
		if c.unanswered == 0 {
			l.readyCalls = append(l.readyCalls, c)
		}
	}
	l.newCalls = nil
	clear(l.callsByEndpoint)
	// A call that was parted by its size takes a slot more than the controller
	// knows of: it waits for one.
	wait := l.readyCalls[min(len(l.readyCalls), max(0, l.settings.MaxInFlight-l.callsInFlight-l.remoteCalls())):]
	l.readyCalls = l.readyCalls[:len(l.readyCalls)-len(wait)]
	for _, c := range l.readyCalls {
		l.logCall(c)
	}
	if err := l.wal.flush(); err != nil {
		l.log.Error("nothing can be promised", "err", err)
		l.rollBack()
	}
	for _, e := range l.admitted {
		if l.table.entries[e.num] == e && e.response != nil {
			if !e.decision.accept() {
				l.abandonRejected(e)
				continue
			}
			e.response <- Response{Accepted: true}
			e.response = nil
			l.counters.accepted.Add(1)
		}
	}
	for _, c := range l.readyCalls {
		l.launch(c)
	}
	l.counters.open.Store(int64(l.table.open))
	if len(l.gossip) > 0 {
		l.gossipSender.SendGossip(l.gossip)
		l.gossip = l.gossip[:0]
	}
	l.admitted, l.readyCalls = nil, wait
	if l.wal.incomplete {
		l.reportOverdue() // the rest is not known for good yet: in a later round
		l.scheduleWALRetry()
		return
	}
	for _, n := range l.reports {
		l.reporter.Report(n)
	}
	l.reports = nil
	if l.deadLetterQueue != nil {
		l.passDeadLetters()
		l.deadLetterQueue.LoadChanged(LoopLoad{l.settings.MaxInFlight, l.callsInFlight, l.settings.MaxOpenMessages, l.table.open})
	}
}

// reportOverdue tells the notices of messages whose time is up, though the journal lacks them: the next process, if it comes to
// that, gives these messages up as well, and a second notice does no harm.
func (l *Loop) reportOverdue() {
	l.reports = slices.DeleteFunc(l.reports, func(n DeliveryReport) bool {
		e := l.table.entries[n.Num]
		overdue := e != nil && !l.now.Before(e.Deadline)
		if overdue {
			l.reporter.Report(n)
		}
		return overdue
	})
}

// walRetryInterval is left between two attempts to write what the journal lacks.
const walRetryInterval = 20 * time.Millisecond

// scheduleWALRetry sees to it that a round comes soon, in which the journal is written again.
func (l *Loop) scheduleWALRetry() {
	if l.walRetryPending {
		return
	}
	l.walRetryPending = true
	time.AfterFunc(walRetryInterval, func() { l.Post(inspect(func() { l.walRetryPending = false })) })
}

// abandonRejected gives up a message whose client was refused while it was written down: the disk stalled, or the loop.
func (l *Loop) abandonRejected(e *entry) {
	e.response = nil
	l.counters.rejected.Add(1)
	l.backlog = append(l.backlog, inspect(func() { // what it lets go leaves with the records of the next round
		l.controller.Abandon(l.sinceStart(), e.num)
		l.forget(e)
		l.releaseCall(e)
	}))
}

// rollBack takes back what a round did and the journal could not hold.
func (l *Loop) rollBack() {
	for _, e := range l.admitted {
		if l.table.entries[e.num] == e && e.deadLetterSeq > 0 && e.report == nil {
			l.controller.Abandon(l.sinceStart(), e.num)
			l.table.drop(e)
			l.wal.forget(e.num)
			l.deadLetterQueue.Add(DeadLetter{Seq: e.deadLetterSeq, Message: e.Message, NotAdmitted: true, Reason: "the journal can't be written", At: l.now})
		} else if l.table.entries[e.num] == e && e.response != nil {
			l.reject(e, Response{RetryAfter: l.clientRetryAfter(fullRetryAfter)})
			l.wal.forget(e.num)
			l.controller.Abandon(l.sinceStart(), e.num)
			l.releaseCall(e)
		}
	}
	for _, c := range l.readyCalls {
		l.endUnsent(c, control.ConnectFailed)
	}
	l.readyCalls = nil
}
