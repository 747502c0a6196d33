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

// keptPart: messages that the keeper does not have yet take one part in so many of
// the journal at most.
const keptPart = 10

// triesMost bounds the history of a message where the settings don't.
const triesMost = 64

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
	class := l.set.Classes[min(max(e.Class, 0), len(l.set.Classes)-1)]
	first, ran := e.first()
	switch {
	case e.rejected:
		return ReasonUnprocessable
	case ran && class.Idempotency == control.NotIdempotent:
		return ReasonMayHaveRun
	case l.set.MaxAttempts > 0 && e.sends >= l.set.MaxAttempts:
		return ReasonAttemptsExhausted
	case ran && class.Idempotency == control.IdempotentByKey && l.now.Sub(first.at) >= class.KeyRetention/2 && l.now.Before(e.Deadline.Add(-class.Deadline/10)):
		return ReasonKeyExpired
	}
	return ReasonExpired
}

// parting makes one of a message that ends.
func (l *Loop) parting(e *entry) *DeadLetter {
	return &DeadLetter{
		Num: e.num, Seq: e.seq, Message: e.Message, Attempts: e.history(), AttemptCount: e.sends, Reason: l.reasonOf(e), At: l.now,
	}
}

// history returns what is known of a message's attempts. Of those from before a
// restart only the ones that may have run stand in the journal.
func (e *entry) history() []AttemptRecord {
	list := make([]AttemptRecord, 0, len(e.tries)+len(e.ran))
	for _, s := range e.ran {
		known := s.told
		for _, t := range e.tries {
			known = known || t.attempt == s.attempt
		}
		if !known {
			list = append(list, AttemptRecord{Target: s.target, Zone: s.zone, At: s.at, Open: true})
		}
	}
	for _, t := range e.tries {
		list = append(list, t.AttemptRecord)
	}
	return list
}

// A numbered try knows its attempt.
type numberedTry struct {
	AttemptRecord
	attempt int
}

// tried notes an attempt that is about to leave.
func (l *Loop) tried(e *entry, s sent) {
	if l.keeper == nil || len(e.tries) >= triesMost {
		return
	}
	e.tries = append(e.tries, numberedTry{AttemptRecord{Target: s.target, Zone: s.zone, At: s.at, Open: true}, s.attempt})
}

// came notes what came of an attempt.
func (e *entry) came(attempt int, r control.Result) {
	for i := range e.tries {
		if e.tries[i].attempt == attempt {
			e.tries[i].Result, e.tries[i].Open = r, false
		}
	}
}

// keeps tells whether the keeper gets a message that ends with a notice. A
// message whose client has not been answered yet may come again: it is not kept.
// Nor is it where what waits for the keeper takes a tenth of the journal: a store
// that is slow must not keep new messages out.
func (l *Loop) keeps(e *entry, n *DeliveryReport) (*DeadLetter, bool) {
	if l.keeper == nil || !e.answered || l.table.kept+e.cost > l.journal.limit/keptPart {
		return nil, false
	}
	p := l.parting(e)
	p.Deferred = n.Deferred
	return p, l.keeper.Accepts(p)
}

// part ends a message that the keeper is owed: the journal says so, and at the
// end of the round the keeper is told.
func (l *Loop) part(e *entry, n DeliveryReport, p *DeadLetter) {
	n.Num, n.ID, n.DeadLetter = e.num, e.ID, p
	e.parting = p
	l.table.settle(e, n)
	l.journal.settled(e)
	l.partings = append(l.partings, p)
}

// admitHeld lets a message in that the keeper sends again. Live traffic goes
// first: it is turned where slots or room run short, or live messages for its
// destination wait.
func (l *Loop) admitHeld(r Redelivery) {
	e := &entry{
		Message: r.Message, num: l.table.next, answered: true, seq: r.Seq, sends: r.Attempts,
	}
	if why := l.turns(e); why != "" {
		l.keeper.Add(DeadLetter{Seq: r.Seq, Message: r.Message, NotAdmitted: true, Reason: why, At: l.now})
		return
	}
	if r.MayHaveRun {
		e.ran = append(e.ran, sent{attempt: max(0, r.Attempts-1), at: l.now.Add(-r.FirstRunAgo), zone: r.FirstRunZone, told: true})
	}
	l.table.add(e)
	// Before the controller sees it: it may end within this round.
	l.journal.enter(e)
	l.fresh = append(l.fresh, e)
	l.hand(e, false)
}

// turns says why a resend is not let in now.
func (l *Loop) turns(e *entry) string {
	switch {
	case l.stopped || l.halted:
		return "the sender stops"
	case l.table.ids[e.ID] != nil:
		return "its id is in use"
	case !l.group.serves(e.Destination):
		return "no target of its destination is listed"
	case l.set.MaxOpenMessages > 0 && 2*l.table.open >= l.set.MaxOpenMessages:
		return "the sender holds much live traffic"
	case 4*l.flying >= 3*l.set.MaxInFlight:
		return "few slots are free"
	case !l.journal.room(2 * (l.table.live + takeCost(e.Message))):
		return "the journal has little room"
	}
	for _, o := range l.table.entries {
		if o.notice == nil && e.Key != "" && o.Key == e.Key && o.Class == e.Class {
			return "a message with its key is open"
		}
		if o.notice == nil && o.seq == 0 && o.Destination == e.Destination && !l.isOut(o) {
			return "live messages for its destination wait"
		}
	}
	return ""
}

// isOut tells whether a forward of a message is out.
func (l *Loop) isOut(e *entry) bool { return e.flights > 0 }

// stored goes on once the keeper has partings: nothing of them is owed to it.
func (l *Loop) stored(s DeadLettersStored) {
	for _, num := range s.Nums {
		e := l.table.entries[num]
		if e == nil || e.parting == nil {
			continue
		}
		e.parting = nil
		if e.told || e.seq > 0 {
			l.over(e)
		}
	}
}

// tell gives the keeper the round's partings, and what the journal has forgotten.
func (l *Loop) tell() {
	for _, p := range l.partings {
		if l.keeper != nil {
			l.keeper.Add(*p)
		}
	}
	if l.keeper != nil && len(l.settled) > 0 {
		l.keeper.Forget(l.settled)
	}
	l.partings, l.settled = nil, nil
}

// beginKeeper tells the keeper what the journal knows, before anything else.
func (l *Loop) beginKeeper() {
	if l.keeper == nil {
		return
	}
	var owed []string
	var out []uint64
	for _, e := range l.table.ordered() {
		if e.seq > 0 {
			out = append(out, e.seq)
		} else if e.parting != nil {
			owed = append(owed, e.ID)
		}
	}
	l.keeper.Begin(owed, out)
}

// tellClasses tells the keeper how classes are numbered.
func (l *Loop) tellClasses(now map[string]int) {
	if l.keeper == nil {
		return
	}
	names := make([]string, len(l.table.classes.list))
	for i, c := range l.table.classes.list {
		names[i] = c.Name
	}
	l.keeper.ClassesChanged(names, now, l.set)
}

// known enters what came of a forward that another process had out.
func (l *Loop) known(e *entry, r RemoteResult) {
	if l.keeper == nil {
		return
	}
	for _, s := range e.ran {
		if s.attempt == r.Attempt {
			l.tried(e, sent{attempt: s.attempt, target: s.target, zone: s.zone, at: s.at})
		}
	}
	e.came(r.Attempt, r.Result)
	e.rejected = e.rejected || r.Result == control.Unprocessable
	l.keeper.CallEnded(e.Destination, r.Result, r.RetryAfter, e.seq > 0)
}

// resent ends a message that the keeper had sent again: it hears of that first.
func (l *Loop) resent(e *entry, r control.Result) {
	p := l.parting(e)
	p.Delivered, p.Final = r == control.Served, r != control.Served
	l.part(e, DeliveryReport{}, p)
}

// tellListing tells the keeper what the target group knows.
func (l *Loop) tellListing() {
	if l.keeper == nil {
		return
	}
	all := map[int]DestinationCapacity{}
	for _, t := range l.group.byID {
		if t.State == control.Removed {
			continue
		}
		x := all[t.Destination]
		if l.apart(t.Kind) {
			x.Weight += t.Weight
		} else {
			x.Weight = max(x.Weight, t.Weight)
		}
		if t.State == control.Ready {
			x.Ready++
		}
		all[t.Destination] = x
	}
	l.keeper.CapacityChanged(all)
}

// reparted completes a parting that the journal told of.
func (l *Loop) reparted(e *entry) *DeadLetter {
	p := *e.parting
	p.Num, p.Seq, p.Message, p.Attempts, p.AttemptCount = e.num, e.seq, e.Message, e.history(), e.sends
	e.notice.DeadLetter = &p
	return &p
}
