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

// roundMost is the most events that are drained before the controller decides.
const roundMost = 512

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
	set      control.Settings
	log      *slog.Logger
	ctl      *control.Controller
	carrier  Transport
	list     Discovery
	notifier Reporter
	keeper   DeadLetterQueue
	teller   GossipSender
	tidings  []gossip.Observation // to be told to the other senders at the end of the round

	events chan Event
	clock  func() time.Time
	start  time.Time
	now    time.Time // of the round
	timer  *time.Timer
	token  uint32
	wakeAt time.Time // what the timer is set to

	table    *table
	group    *group
	journal  *journal
	counters *Counters

	fresh    []*entry // taken in this round, their clients not answered yet
	round    map[control.EndpointID]*Call
	calls    []*Call          // of this round
	ready    []*Call          // to be launched at the end of the round
	notices  []DeliveryReport // to be told at the end of the round
	partings []*DeadLetter    // to be given to the keeper at the end of the round
	settled  []string         // ids that the journal has forgotten, of messages that the keeper has
	backlog  []Event          // events of the loop's own making, for the next round
	out      map[*Call]int    // forwards without an end
	flying   int              // calls with the carrier

	leaving *HandOver      // asked for in this round
	heir    Successor      // to whom everything was given
	abroad  map[abroad]int // forwards out at another process, and in which of its calls

	departures *departures
	waits      map[routeKey]toldWait
	retrying   bool      // a round that writes the journal again is on its way
	certain    certainty // whether the list of targets is the one that was told last

	begun    bool
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
	classes := &classBook{}
	for i, c := range s.Settings.Classes {
		named := NamedClass{Class: c}
		if i < len(s.Classes) {
			named.Name = s.Classes[i]
		}
		classes.list, classes.records = append(classes.list, named), append(classes.records, string(classRecord(named)))
	}
	j, t, err := &journal{limit: s.DiskBytes, nowhere: true}, newTable(), error(nil)
	if t.classes = classes; !s.InMemory {
		j, t, err = openJournal(journalSetup{
			dir: s.Dir, limit: s.DiskBytes, durability: s.Durability, groupWait: s.GroupWait, classes: classes, virtual: virtual, log: s.Log,
		})
	}
	if err != nil {
		return nil, err
	}
	s.Settings.Classes = classes.classes() // with those of messages from before other settings
	l := &Loop{
		set: s.Settings, log: s.Log, keeper: s.DeadLetters, events: make(chan Event, 2*roundMost),
		clock: s.Clock, start: s.Clock(), table: t, group: newGroup(), journal: j, counters: s.Counters,
		waits: map[routeKey]toldWait{}, round: map[control.EndpointID]*Call{}, out: map[*Call]int{}, finished: make(chan struct{}),
	}
	if l.ctl, err = control.New(s.Settings, (*actions)(l)); err != nil {
		return nil, err
	}
	now := map[string]int{}
	for i, name := range s.Classes {
		now[name] = i
	}
	l.tellClasses(now)
	l.departures = &departures{}
	if !s.InMemory {
		l.departures = openDepartures(s.Dir, s.Log)
	}
	if s.Handover != nil {
		l.inherit(s.Handover)
	} else {
		s.Known.Targets = slices.Clone(s.Known.Targets)
		l.departures.apply(s.Known.Targets)
		l.backlog = append(l.backlog, s.Known)
	}
	return l, nil
}

// Connect names those that carry, list and notify; before Run.
func (l *Loop) Connect(c Transport, d Discovery, n Reporter) {
	l.carrier, l.list, l.notifier = c, d, n
}

// ConnectPeers names the one who tells the other senders; before Run. Without one nothing is told.
func (l *Loop) ConnectPeers(t GossipSender) { l.teller = t }

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
	if l.heir != nil {
		return // it was closed when it was given
	}
	if err := l.journal.close(); err != nil {
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
	if l.heir != nil {
		return len(l.out)+len(l.abroad) == 0
	}
	return l.table.idle() || l.halted && len(l.out)+len(l.abroad) == 0
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
		l.turn()
	}
}

// begin takes up what the journal told is owed.
func (l *Loop) begin() {
	l.begun = true
	l.now = l.clock()
	l.beginKeeper()
	for _, e := range l.table.ordered() {
		if e.parting != nil {
			e.parting = l.reparted(e)
			l.partings = append(l.partings, e.parting)
		}
		if e.notice != nil && e.seq == 0 {
			l.notifier.Report(*e.notice)
		}
		if e.notice != nil || e.abroad > 0 {
			continue
		}
		l.hand(e, true)
	}
}

// Step runs rounds until these events and what they bring about are dealt with. It
// takes the place of Run, for one who has the time in hand; TimerElapsed stands for the timer.
func (l *Loop) Step(events ...Event) {
	if !l.begun {
		l.begin()
	}
	for _, e := range events {
		if _, timer := e.(TimerElapsed); timer {
			l.wakeAt = time.Time{}
			e = timerFired{l.token}
		}
		l.backlog = append(l.backlog, e)
	}
	for l.turn(); len(l.backlog) > 0; {
		l.turn()
	}
}

// WakeAt is when the timer goes off; zero where it is not set. For one who calls Step.
func (l *Loop) WakeAt() time.Time { return l.wakeAt }

// turn is one round.
func (l *Loop) turn() {
	l.now = l.clock()
	events := l.backlog
	l.backlog = nil
	if l.heir != nil {
		for _, e := range events {
			l.pass(e)
		}
		return
	}
	for _, e := range events {
		l.handle(e)
	}
	for n := len(events); n < roundMost; n++ {
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
		l.ctl.Decide(l.since())
	}
	l.settle()
	if l.leaving != nil {
		l.leave()
	}
}

// since is the controller's clock.
func (l *Loop) since() time.Duration { return l.now.Sub(l.start) }

// handle passes one event to its stage.
func (l *Loop) handle(event Event) {
	switch e := event.(type) {
	case Submitted:
		l.admit(e)
	case ResponseWritten:
		l.answered(e)
	case CallEnded:
		l.book(e)
	case ListUpdate:
		l.ctl.UpdateEndpoints(l.since(), e.Kind, l.group.take(e, l.now))
		l.bind(e.Targets)
		l.unlisted()
		l.tellListing()
		if e.Kind == control.ListFull || e.Kind == control.ListDelta {
			l.departures.follow(l.group)
			l.listKnown(e.PollPaused)
		}
	case ListUnreadable:
		l.unread(e)
	case PollOpen:
		l.listKnown(false)
	case PollFailed:
		l.certain.doubt(e.Since)
		l.reviewList()
	case Redelivery:
		l.admitHeld(e)
	case DeadLettersStored:
		l.stored(e)
	case ExclusionsChanged:
		if lines := l.group.setAside(e.IDs); len(lines) > 0 {
			l.ctl.UpdateEndpoints(l.since(), control.ListExcluded, lines)
			l.unlisted()
			l.log.Info("targets taken out by the operators", "out", len(e.IDs), "changed", len(lines))
		}
	case HealthChecked:
		l.ctl.HealthChecked(l.since(), e.Target, e.Result, e.Elapsed, nil)
	case GossipReceived:
		l.heard(e)
	case ReportsAcknowledged:
		l.acknowledged(e)
	case timerFired:
		l.ctl.TimerFired(l.since(), e.token)
	case stopping:
		l.stopped = true
	case halting:
		// What has not left now is tried by the next process: it would be cut off in the middle.
		l.halted = true
		l.withhold(func(Target) bool { return true })
	case UpdateSettings:
		l.retune(e)
	case HandOver:
		l.giveWay(e)
	case RemoteResult:
		l.returned(e)
	case PredecessorLost:
		l.lost()
	case inspect:
		e()
	}
}

// settle makes a round's doings known. The journal comes first: no client
// hears that a message is taken on, no forward leaves and no notice goes out
// before the record of it is written.
func (l *Loop) settle() {
	for _, e := range l.fresh {
		if l.table.entries[e.num] == e && e.seq == 0 {
			l.journal.take(e)
		}
	}
	for _, c := range l.calls {
		if c.unsent == 0 {
			l.ready = append(l.ready, c)
		}
	}
	l.calls = nil
	clear(l.round)
	// A call that was parted by its size takes a slot more than the controller
	// knows of: it waits for one.
	wait := l.ready[min(len(l.ready), max(0, l.set.MaxInFlight-l.flying-l.abroadCalls())):]
	l.ready = l.ready[:len(l.ready)-len(wait)]
	for _, c := range l.ready {
		l.recordCall(c)
	}
	if err := l.journal.flush(); err != nil {
		l.log.Error("nothing can be promised", "err", err)
		l.withdraw()
	}
	for _, e := range l.fresh {
		if l.table.entries[e.num] == e && e.verdict != nil {
			if !e.decision.accept() {
				l.tooLate(e)
				continue
			}
			e.verdict <- Response{Accepted: true}
			e.verdict = nil
			l.counters.taken.Add(1)
		}
	}
	for _, c := range l.ready {
		l.launch(c)
	}
	l.counters.open.Store(int64(l.table.open))
	if len(l.tidings) > 0 {
		l.teller.SendGossip(l.tidings)
		l.tidings = l.tidings[:0]
	}
	l.fresh, l.ready = nil, wait
	if l.journal.dirty {
		l.tellOverdue() // the rest is not known for good yet: in a later round
		l.retryJournal()
		return
	}
	for _, n := range l.notices {
		l.notifier.Report(n)
	}
	l.notices = nil
	if l.keeper != nil {
		l.tell()
		l.keeper.LoadChanged(LoopLoad{l.set.MaxInFlight, l.flying, l.set.MaxOpenMessages, l.table.open})
	}
}

// tellOverdue tells the notices of messages whose time is up, though the journal lacks them: the next process, if it comes to
// that, gives these messages up as well, and a second notice does no harm.
func (l *Loop) tellOverdue() {
	l.notices = slices.DeleteFunc(l.notices, func(n DeliveryReport) bool {
		e := l.table.entries[n.Num]
		overdue := e != nil && !l.now.Before(e.Deadline)
		if overdue {
			l.notifier.Report(n)
		}
		return overdue
	})
}

// journalPause is left between two attempts to write what the journal lacks.
const journalPause = 20 * time.Millisecond

// retryJournal sees to it that a round comes soon, in which the journal is written again.
func (l *Loop) retryJournal() {
	if l.retrying {
		return
	}
	l.retrying = true
	time.AfterFunc(journalPause, func() { l.Post(inspect(func() { l.retrying = false })) })
}

// tooLate gives up a message whose client was refused while it was written down: the disk stalled, or the loop.
func (l *Loop) tooLate(e *entry) {
	e.verdict = nil
	l.counters.refused.Add(1)
	l.backlog = append(l.backlog, inspect(func() { // what it lets go leaves with the records of the next round
		l.ctl.Abandon(l.since(), e.num)
		l.over(e)
		l.release(e)
	}))
}

// withdraw takes back what a round did and the journal could not hold.
func (l *Loop) withdraw() {
	for _, e := range l.fresh {
		if l.table.entries[e.num] == e && e.seq > 0 && e.notice == nil {
			l.ctl.Abandon(l.since(), e.num)
			l.table.drop(e)
			l.journal.forget(e.num)
			l.keeper.Add(DeadLetter{Seq: e.seq, Message: e.Message, NotAdmitted: true, Reason: "the journal can't be written", At: l.now})
		} else if l.table.entries[e.num] == e && e.verdict != nil {
			l.refuseNow(e, Response{RetryAfter: l.pause(fullPause)})
			l.journal.forget(e.num)
			l.ctl.Abandon(l.since(), e.num)
			l.release(e)
		}
	}
	for _, c := range l.ready {
		l.unsend(c, control.ConnectFailed)
	}
	l.ready = nil
}
