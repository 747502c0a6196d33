package deadletter

import (
	"errors"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// item is a report of the event loop that is not stored yet.
type item interface {
	write(q *Queue, t *Tx, b *writtenBatch) error
}

// writtenBatch collects the results of a write transaction that are processed after its commit.
type writtenBatch struct {
	now    time.Time
	stored []control.MessageID // dead letters that are stored
	ended  []endedRedelivery
}

// endedRedelivery identifies a redelivery that has ended.
type endedRedelivery struct {
	sequence uint64
	admitted bool // by the event loop
}

// walState is the state of the write-ahead log at the start: the ids of dead letters that it still contains, and the
// sequence numbers of records in redelivery.
type walState struct {
	pendingReports []string
	inFlight       []uint64
}

func (x walState) write(q *Queue, t *Tx, b *writtenBatch) error {
	q.walStateKnown = true
	return q.reconcile(t, x, b.now)
}

// forgottenIDs contains ids of messages that the write-ahead log no longer contains.
type forgottenIDs struct{ ids []string }

func (x forgottenIDs) write(_ *Queue, t *Tx, _ *writtenBatch) error {
	for _, id := range x.ids {
		if err := t.clearReportPending(id); err != nil {
			return err
		}
	}
	return nil
}

// deadLetterItem is a dead letter, or the end of a redelivery.
type deadLetterItem state.DeadLetter

func (x deadLetterItem) write(q *Queue, t *Tx, b *writtenBatch) error {
	letter := state.DeadLetter(x)
	if !letter.NotAdmitted {
		b.stored = append(b.stored, letter.Number)
	}
	if letter.Seq == 0 {
		return q.addRecord(t, &letter, b.now)
	}
	b.ended = append(b.ended, endedRedelivery{letter.Seq, !letter.NotAdmitted})
	return q.endRedelivery(t, &letter, b.now)
}

// toQueueTime converts a time of the event loop to the queue's clock. Unix time 0 and the zero time stand for an
// unknown time and are converted to the zero time.
func (q *Queue) toQueueTime(eventTime, now time.Time) time.Time {
	if eventTime.IsZero() || eventTime.Unix() == 0 {
		return time.Time{}
	}
	return now.Add(-time.Since(eventTime))
}

// attemptHistory converts attempts of the event loop to the queue's clock. Redelivery is the number of the redelivery
// that they belong to; 0 stands for the attempts before the message became a dead letter.
func (q *Queue) attemptHistory(attempts []state.AttemptRecord, redelivery int, now time.Time) []Attempt {
	list := convertAttempts(attempts, redelivery)
	for i := range list {
		list[i].At = q.toQueueTime(list[i].At, now)
	}
	return list
}

// addRecord adds a new dead letter to the store.
func (q *Queue) addRecord(t *Tx, letter *state.DeadLetter, now time.Time) error {
	message, platform := letter.Message, q.platform.Load()
	r := Record{
		State: Held, ID: message.ID, Key: message.Key, Class: nameAt(platform.Classes, message.Class),
		Tenant: nameAt(platform.Tenants, message.Tenant), Destination: message.Destination, Size: len(message.Body),
		Reason: letter.Reason, Deferred: letter.Deferred, Deadline: message.Deadline.Round(0),
		HeldAt: now, AttemptCount: letter.AttemptCount,
	}
	r.addAttempts(q.attemptHistory(letter.Attempts, 0, now))
	q.mu.Lock()
	hasRules := q.settings.HasAfterRule()
	q.mu.Unlock()
	if hasRules {
		r.ReviewAt = now
	}
	added, err := t.Add(&r, message.Body)
	if err == nil && added {
		err = t.markReportPending(message.ID)
	}
	return err
}

// endRedelivery records the end of a redelivery. A repeated report has no effect.
func (q *Queue) endRedelivery(t *Tx, letter *state.DeadLetter, now time.Time) error {
	err := t.change(letter.Seq, func(r *Record) error {
		if r.State != InFlight || r.ID != letter.Message.ID {
			return errUnchanged
		}
		if letter.NotAdmitted { // the message did not reach the controller
			r.Redeliveries--
			r.schedule(now.Add(notAdmittedDelay), r.Until)
			return nil
		}
		r.AttemptCount = max(r.AttemptCount, letter.AttemptCount)
		r.addAttempts(q.attemptHistory(letter.Attempts, r.Redeliveries, now))
		switch {
		case letter.Delivered:
			r.addEvent(now, "delivered", "sender")
			r.end(now, Delivered)
		case letter.Final:
			r.addEvent(now, "the partner's side says that it is over", "sender")
			r.end(now, Closed)
		default:
			r.Reason = letter.Reason
			q.redeliveryFailed(r, now)
		}
		return nil
	})
	if errors.Is(err, errUnchanged) || errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// redeliveryFailed schedules a record again if its order has not expired and it is still eligible. Otherwise the record
// is held again.
func (q *Queue) redeliveryFailed(r *Record, now time.Time) {
	until := r.Until
	r.unschedule(time.Time{})
	notEligible := q.eligible(r, now)
	switch {
	case notEligible != nil:
		r.addEvent(now, "not delivered: "+r.Reason+"; "+notEligible.Reason, "sender")
	case now.Before(until):
		r.addEvent(now, "not delivered: "+r.Reason, "sender")
		r.schedule(now, until)
		return
	default:
		r.addEvent(now, "not delivered: "+r.Reason+"; its order has run out", "sender")
	}
	if q.hasRules() {
		r.ReviewAt = now
	}
}

// notAdmittedDelay is the delay before the retry of a redelivery that the event loop did not admit.
const notAdmittedDelay = 100 * time.Millisecond

// errUnchanged cancels the change of a record.
var errUnchanged = errors.New("held: record unchanged")

// reconcile synchronizes the store with the state of the write-ahead log at the start. Records that the store has in
// flight and the log does not are treated as interrupted redeliveries.
func (q *Queue) reconcile(t *Tx, wal walState, now time.Time) error {
	pending := map[string]bool{}
	for _, id := range wal.pendingReports {
		pending[id] = true
	}
	if err := t.reconcileReports(pending); err != nil {
		return err
	}
	inFlight := map[uint64]bool{}
	for _, sequence := range wal.inFlight {
		inFlight[sequence] = true
	}
	list, _, err := t.List(Filter{State: InFlight}, 0, maxScanned)
	if err != nil {
		return err
	}
	for _, r := range list {
		if inFlight[r.Sequence] {
			continue
		}
		err := t.change(r.Sequence, func(r *Record) error { q.recordInterruptedRedelivery(r, now); return nil })
		if err != nil {
			return err
		}
	}
	return nil
}

// reconcileReports updates which delivery reports are pending: those of the messages that the write-ahead log still
// contains and that have a record. The event loop may report these messages again.
func (t *Tx) reconcileReports(pending map[string]bool) error {
	var acknowledged []string
	c := t.Bucket(bucketPendingReports).Cursor()
	for id, _ := c.First(); id != nil; id, _ = c.Next() {
		if !pending[decodeName(id)] {
			acknowledged = append(acknowledged, decodeName(id))
		}
	}
	for _, id := range acknowledged {
		if err := t.clearReportPending(id); err != nil {
			return err
		}
	}
	for id := range pending {
		if _, known := t.sequenceByID(id); known {
			if err := t.markReportPending(id); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordInterruptedRedelivery ends a redelivery that was in flight when the sender stopped. The record was marked as in
// flight before the message was sent, so an attempt is added that may have run.
func (q *Queue) recordInterruptedRedelivery(r *Record, now time.Time) {
	at := r.HeldAt
	if n := len(r.Events); n > 0 {
		at = r.Events[n-1].At
	}
	r.addAttempts([]Attempt{{At: at, Result: resultNames[control.Unknown], MayHaveRun: true, Redelivery: r.Redeliveries}})
	until := r.Until
	r.unschedule(time.Time{})
	r.addEvent(now, "on its way as the sender ended: it may have been sent", "sender")
	if q.eligible(r, now) == nil && now.Before(until) {
		r.schedule(now, until)
	}
}
