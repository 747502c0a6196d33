package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

// Redelivery is the queue's request to send a dead letter again.
type Redelivery struct {
	Seq          uint64
	Message      *Message
	Attempts     int           // number of earlier attempts
	MayHaveRun   bool          // one of them may have run
	FirstRunAgo  time.Duration // age of the first attempt that may have run
	FirstRunZone int
}

func (r Redelivery) apply(l *Loop) { l.admitRedelivery(r) }

// RedeliveryDenial is the reason why a redelivery is not admitted, or empty if it is admitted. It becomes the Reason of
// the dead letter that goes back to the queue, as a text for operators.
type RedeliveryDenial string

// The denials, in the order in which they are checked.
const (
	RedeliveryAdmitted     RedeliveryDenial = ""
	DeniedStopping         RedeliveryDenial = "the sender stops"
	DeniedDuplicateID      RedeliveryDenial = "its id is in use"
	DeniedNoEndpoint       RedeliveryDenial = "no target of its destination is listed"
	DeniedManyOpenMessages RedeliveryDenial = "the sender holds much live traffic"
	DeniedManyCalls        RedeliveryDenial = "few slots are free"
	DeniedLogFull          RedeliveryDenial = "the journal has little room"
	DeniedKeyOpen          RedeliveryDenial = "a message with its key is open"
	DeniedMessagesWaiting  RedeliveryDenial = "live messages for its destination wait"
	DeniedLogFailed        RedeliveryDenial = "the journal can't be written"
)

// admitRedelivery admits a message that the queue sends again, unless capacity is short or live messages for its
// destination are waiting: live traffic has priority.
func (l *Loop) admitRedelivery(r Redelivery) {
	e := &entry{Message: r.Message, num: l.table.next, responded: true, deadLetterSeq: r.Seq, attempts: r.Attempts}
	if denial := l.redeliveryDenial(e); denial != RedeliveryAdmitted {
		l.denyRedelivery(e, denial)
		return
	}
	if r.MayHaveRun {
		e.mayHaveRun = append(e.mayHaveRun, wal.Attempt{
			Index: max(0, r.Attempts-1), At: l.now.Add(-r.FirstRunAgo), Zone: r.FirstRunZone, InDeadLetter: true,
		})
	}
	l.table.add(e)
	// The entry is logged before the controller gets it, because the controller may end it within this iteration.
	l.wal.AddEntry(e.logEntry())
	l.admitted = append(l.admitted, e)
	l.submitToController(e, false)
}

// denyRedelivery returns to the queue a message that was never sent.
func (l *Loop) denyRedelivery(e *entry, denial RedeliveryDenial) {
	l.deadLetterQueue.Add(DeadLetter{
		Seq: e.deadLetterSeq, Message: e.Message, NotAdmitted: true, Reason: string(denial), At: l.now,
	})
}

// redeliveryDenial returns the reason why a redelivery can't be admitted now.
func (l *Loop) redeliveryDenial(e *entry) RedeliveryDenial {
	switch {
	case l.stopped || l.halted:
		return DeniedStopping
	case l.table.byID[e.ID] != nil:
		return DeniedDuplicateID
	case !l.group.Serves(e.Destination):
		return DeniedNoEndpoint
	case l.settings.MaxOpenMessages > 0 && 2*l.table.open >= l.settings.MaxOpenMessages:
		return DeniedManyOpenMessages
	case 4*l.callsInFlight >= 3*l.settings.MaxInFlight:
		return DeniedManyCalls
	case !l.wal.HasCapacity(2 * (l.table.liveBytes + storageCost(e.Message))):
		return DeniedLogFull
	}
	for _, other := range l.table.entries {
		if other.report != nil {
			continue
		}
		if e.Key != "" && other.Key == e.Key && other.Class == e.Class {
			return DeniedKeyOpen
		}
		if other.deadLetterSeq == 0 && other.Destination == e.Destination && other.inFlight == 0 {
			return DeniedMessagesWaiting
		}
	}
	return RedeliveryAdmitted
}

// endRedelivery ends a message that the queue had redelivered. The queue has to store the result before the message is
// forgotten.
func (l *Loop) endRedelivery(e *entry, r control.Result) {
	d := l.newDeadLetter(e)
	d.Delivered, d.Final = r == control.Served, r != control.Served
	l.endWithDeadLetter(e, DeliveryReport{}, d)
}
