package state

import (
	"time"

	"cleathold/control"
)

// Keep: what becomes of a message that ends undelivered, where a keeper of such
// messages is connected. A message is then either its client's again or the
// keeper's, never both, and the journal says which before anyone is told. Until
// the keeper has it, the journal keeps it. A message that the keeper sends again
// comes back as one more message to the controller, without a client.

// A AttemptRecord is one attempt in the history of a message.
type AttemptRecord struct {
	Target string // its id; "" = not known, from before a restart
	Zone   int
	At     time.Time // Unix time 0: not known
	Result control.Result
	Open   bool // no end is known
}

// deadLetterFraction: messages that the keeper does not have yet take one part in so many of
// the journal at most.
const deadLetterFraction = 10

// maxAttemptLog bounds the history of a message where the settings don't.
const maxAttemptLog = 64

// A DeadLetter is a message that goes to the keeper, or comes back to it.
type DeadLetter struct {
	Num          control.MessageID
	Seq          uint64 // the record that was sent again; 0 = a message that is new to the keeper
	Message      *Message
	Attempts     []AttemptRecord // of a message sent again: those since
	AttemptCount int             // attempts in all
	Reason       string
	Deferred     bool // without the keeper it would be handed back to its client
	Delivered    bool
	Final        bool // the target says that nothing more is owed
	NotAdmitted  bool // not let in: it was never journaled and never sent
	At           time.Time
}

// The reasons for which a message ends undelivered.
const (
	ReasonExpired           = "expired"        // its time was up
	ReasonMayHaveRun        = "may-have-run"   // an attempt may have run, and its class allows no other
	ReasonKeyExpired        = "memory-passed"  // the same, and the partner's memory of its key is over
	ReasonAttemptsExhausted = "attempts-spent" // it had all its attempts
	ReasonUnprocessable     = "rejected"       // a target can't use it
)

// A Redelivery asks for a held message to be sent again.
type Redelivery struct {
	Seq          uint64
	Message      *Message
	Attempts     int           // attempts before
	MayHaveRun   bool          // one of them may have run
	FirstRunAgo  time.Duration // the first such
	FirstRunZone int
}

// LoopLoad is how busy the loop is.
type LoopLoad struct{ MaxInFlight, InFlight, MaxOpenMessages, Open int }

// DestinationCapacity is what the target group knows of a destination.
type DestinationCapacity struct {
	Weight float64 // calls a second that it takes from all senders together; 0 = not told
	Ready  int     // targets that take new work
}

// DeadLetterQueue keeps what can't be delivered. None of its methods may block: the loop
// calls them within its rounds. It posts Resend, and Stored once it has a parting.
type DeadLetterQueue interface {
	// ClassesChanged tells, before Begin and again with new settings, the names of all classes by number, those of messages from
	// before other settings included, which numbers the names of the settings have now, and the settings.
	ClassesChanged(names []string, now map[string]int, set control.Settings)
	// Begin tells once, at the start, which partings the journal still owes (by id),
	// and which records it is sending again.
	Begin(owed []string, out []uint64)
	// Accepts tells who gets a message that ends: the keeper (true) or its client.
	Accepts(p *DeadLetter) bool
	// Add gives it a parting; an answer is owed by Stored, except where it was turned.
	Add(p DeadLetter)
	// Forget tells that the journal has forgotten messages, so that they never come again.
	Forget(ids []string)
	// CallEnded tells what came of a call.
	CallEnded(destination int, r control.Result, wait time.Duration, resend bool)
	// CapacityChanged tells what is known of the destinations.
	CapacityChanged(map[int]DestinationCapacity)
	// LoadChanged tells how busy the loop is, once a round.
	LoadChanged(LoopLoad)
}

// DeadLettersStored tells that the keeper has partings for good.
type DeadLettersStored struct{ Nums []control.MessageID }

// reasonOf says why a message ends undelivered.
func (l *Loop) reasonOf(e *entry) string {
	class := l.settings.Classes[min(max(e.Class, 0), len(l.settings.Classes)-1)]
	first, ran := e.firstRun()
	switch {
	case e.unprocessable:
		return ReasonUnprocessable
	case ran && class.Idempotency == control.NotIdempotent:
		return ReasonMayHaveRun
	case l.settings.MaxAttempts > 0 && e.attempts >= l.settings.MaxAttempts:
		return ReasonAttemptsExhausted
	case ran && class.Idempotency == control.IdempotentByKey && l.now.Sub(first.at) >= class.KeyRetention/2 && l.now.Before(e.Deadline.Add(-class.Deadline/10)):
		return ReasonKeyExpired
	}
	return ReasonExpired
}

// newDeadLetter makes one of a message that ends.
func (l *Loop) newDeadLetter(e *entry) *DeadLetter {
	return &DeadLetter{
		Num: e.num, Seq: e.deadLetterSeq, Message: e.Message, Attempts: e.history(), AttemptCount: e.attempts, Reason: l.reasonOf(e), At: l.now,
	}
}

// history returns what is known of a message's attempts. Of those from before a
// restart only the ones that may have run stand in the journal.
func (e *entry) history() []AttemptRecord {
	list := make([]AttemptRecord, 0, len(e.attemptLog)+len(e.mayHaveRun))
	for _, s := range e.mayHaveRun {
		known := s.inDeadLetter
		for _, t := range e.attemptLog {
			known = known || t.attempt == s.attempt
		}
		if !known {
			list = append(list, AttemptRecord{Target: s.endpoint, Zone: s.zone, At: s.at, Open: true})
		}
	}
	for _, t := range e.attemptLog {
		list = append(list, t.AttemptRecord)
	}
	return list
}

// A numbered try knows its attempt.
type numberedAttempt struct {
	AttemptRecord
	attempt int
}

// logAttempt notes an attempt that is about to leave.
func (l *Loop) logAttempt(e *entry, s sentAttempt) {
	if l.deadLetterQueue == nil || len(e.attemptLog) >= maxAttemptLog {
		return
	}
	e.attemptLog = append(e.attemptLog, numberedAttempt{AttemptRecord{Target: s.endpoint, Zone: s.zone, At: s.at, Open: true}, s.attempt})
}

// logResult notes what came of an attempt.
func (e *entry) logResult(attempt int, r control.Result) {
	for i := range e.attemptLog {
		if e.attemptLog[i].attempt == attempt {
			e.attemptLog[i].Result, e.attemptLog[i].Open = r, false
		}
	}
}

// offerDeadLetter tells whether the keeper gets a message that ends with a notice. A
// message whose client has not been answered yet may come again: it is not kept.
// Nor is it where what waits for the keeper takes a tenth of the journal: a store
// that is slow must not keep new messages out.
func (l *Loop) offerDeadLetter(e *entry, n *DeliveryReport) (*DeadLetter, bool) {
	if l.deadLetterQueue == nil || !e.responded || l.table.deadLetterBytes+e.cost > l.wal.limit/deadLetterFraction {
		return nil, false
	}
	p := l.newDeadLetter(e)
	p.Deferred = n.Deferred
	return p, l.deadLetterQueue.Accepts(p)
}

// endWithDeadLetter ends a message that the keeper is owed: the journal says so, and at the
// end of the round the keeper is told.
func (l *Loop) endWithDeadLetter(e *entry, n DeliveryReport, p *DeadLetter) {
	n.Num, n.ID, n.DeadLetter = e.num, e.ID, p
	e.deadLetter = p
	l.table.markEnded(e, n)
	l.wal.addEnded(e)
	l.deadLetters = append(l.deadLetters, p)
}

// admitRedelivery lets a message in that the keeper sends again. Live traffic goes
// first: it is turned where slots or room run short, or live messages for its
// destination wait.
func (l *Loop) admitRedelivery(r Redelivery) {
	e := &entry{
		Message: r.Message, num: l.table.next, responded: true, deadLetterSeq: r.Seq, attempts: r.Attempts,
	}
	if why := l.redeliveryDenial(e); why != "" {
		l.deadLetterQueue.Add(DeadLetter{Seq: r.Seq, Message: r.Message, NotAdmitted: true, Reason: why, At: l.now})
		return
	}
	if r.MayHaveRun {
		e.mayHaveRun = append(e.mayHaveRun, sentAttempt{attempt: max(0, r.Attempts-1), at: l.now.Add(-r.FirstRunAgo), zone: r.FirstRunZone, inDeadLetter: true})
	}
	l.table.add(e)
	// Before the controller sees it: it may end within this round.
	l.wal.addEntry(e)
	l.admitted = append(l.admitted, e)
	l.submitToController(e, false)
}

// redeliveryDenial says why a resend is not let in now.
func (l *Loop) redeliveryDenial(e *entry) string {
	switch {
	case l.stopped || l.halted:
		return "the sender stops"
	case l.table.byID[e.ID] != nil:
		return "its id is in use"
	case !l.group.serves(e.Destination):
		return "no target of its destination is listed"
	case l.settings.MaxOpenMessages > 0 && 2*l.table.open >= l.settings.MaxOpenMessages:
		return "the sender holds much live traffic"
	case 4*l.callsInFlight >= 3*l.settings.MaxInFlight:
		return "few slots are free"
	case !l.wal.hasRoom(2 * (l.table.liveBytes + storageCost(e.Message))):
		return "the journal has little room"
	}
	for _, o := range l.table.entries {
		if o.report == nil && e.Key != "" && o.Key == e.Key && o.Class == e.Class {
			return "a message with its key is open"
		}
		if o.report == nil && o.deadLetterSeq == 0 && o.Destination == e.Destination && !l.isOut(o) {
			return "live messages for its destination wait"
		}
	}
	return ""
}

// isOut tells whether a forward of a message is out.
func (l *Loop) isOut(e *entry) bool { return e.inFlight > 0 }

// deadLettersStored goes on once the keeper has partings: nothing of them is owed to it.
func (l *Loop) deadLettersStored(s DeadLettersStored) {
	for _, num := range s.Nums {
		e := l.table.entries[num]
		if e == nil || e.deadLetter == nil {
			continue
		}
		e.deadLetter = nil
		if e.reported || e.deadLetterSeq > 0 {
			l.forget(e)
		}
	}
}

// passDeadLetters gives the keeper the round's partings, and what the journal has forgotten.
func (l *Loop) passDeadLetters() {
	for _, p := range l.deadLetters {
		if l.deadLetterQueue != nil {
			l.deadLetterQueue.Add(*p)
		}
	}
	if l.deadLetterQueue != nil && len(l.forgottenIDs) > 0 {
		l.deadLetterQueue.Forget(l.forgottenIDs)
	}
	l.deadLetters, l.forgottenIDs = nil, nil
}

// beginDeadLetterQueue tells the keeper what the journal knows, before anything else.
func (l *Loop) beginDeadLetterQueue() {
	if l.deadLetterQueue == nil {
		return
	}
	var owed []string
	var out []uint64
	for _, e := range l.table.ordered() {
		if e.deadLetterSeq > 0 {
			out = append(out, e.deadLetterSeq)
		} else if e.deadLetter != nil {
			owed = append(owed, e.ID)
		}
	}
	l.deadLetterQueue.Begin(owed, out)
}

// notifyClasses tells the keeper how classes are numbered.
func (l *Loop) notifyClasses(now map[string]int) {
	if l.deadLetterQueue == nil {
		return
	}
	names := make([]string, len(l.table.classes.list))
	for i, c := range l.table.classes.list {
		names[i] = c.Name
	}
	l.deadLetterQueue.ClassesChanged(names, now, l.settings)
}

// recordRemoteResult enters what came of a forward that another process had out.
func (l *Loop) recordRemoteResult(e *entry, r RemoteResult) {
	if l.deadLetterQueue == nil {
		return
	}
	for _, s := range e.mayHaveRun {
		if s.attempt == r.Attempt {
			l.logAttempt(e, sentAttempt{attempt: s.attempt, endpoint: s.endpoint, zone: s.zone, at: s.at})
		}
	}
	e.logResult(r.Attempt, r.Result)
	e.unprocessable = e.unprocessable || r.Result == control.Unprocessable
	l.deadLetterQueue.CallEnded(e.Destination, r.Result, r.RetryAfter, e.deadLetterSeq > 0)
}

// endRedelivery ends a message that the keeper had sent again: it hears of that first.
func (l *Loop) endRedelivery(e *entry, r control.Result) {
	p := l.newDeadLetter(e)
	p.Delivered, p.Final = r == control.Served, r != control.Served
	l.endWithDeadLetter(e, DeliveryReport{}, p)
}

// notifyCapacity tells the keeper what the target group knows.
func (l *Loop) notifyCapacity() {
	if l.deadLetterQueue == nil {
		return
	}
	all := map[int]DestinationCapacity{}
	for _, t := range l.group.byID {
		if t.State == control.Removed {
			continue
		}
		x := all[t.Destination]
		if l.separateRoutes(t.Kind) {
			x.Weight += t.Weight
		} else {
			x.Weight = max(x.Weight, t.Weight)
		}
		if t.State == control.Ready {
			x.Ready++
		}
		all[t.Destination] = x
	}
	l.deadLetterQueue.CapacityChanged(all)
}

// restoreDeadLetter completes a parting that the journal told of.
func (l *Loop) restoreDeadLetter(e *entry) *DeadLetter {
	p := *e.deadLetter
	p.Num, p.Seq, p.Message, p.Attempts, p.AttemptCount = e.num, e.deadLetterSeq, e.Message, e.history(), e.attempts
	e.report.DeadLetter = &p
	return &p
}
