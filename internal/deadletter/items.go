package deadletter

import (
	"errors"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// item is something that the event loop reported and the store does not have yet.
type item interface {
	write(q *Queue, t *Tx, b *writtenBatch) error
}

// writtenBatch is what a transaction of the writer did, for what follows once it is committed.
type writtenBatch struct {
	now    time.Time
	stored []control.MessageID // dead letters that the store has now
	ended  []endedRedelivery
}

// endedRedelivery is a redelivery that has ended.
type endedRedelivery struct {
	sequence uint64
	admitted bool // by the event loop
}

// journalState is the state of the write-ahead log at the start: ids of dead letters that it still has, and records
// in redelivery.
type journalState struct {
	owed     []string
	inFlight []uint64
}

func (x journalState) write(q *Queue, t *Tx, b *writtenBatch) error {
	q.journalKnown = true
	return q.reconcile(t, x, b.now)
}

// forgotten are ids that the write-ahead log has forgotten.
type forgotten struct{ ids []string }

func (x forgotten) write(_ *Queue, t *Tx, _ *writtenBatch) error {
	for _, id := range x.ids {
		if err := t.clearReportPending(id); err != nil {
			return err
		}
	}
	return nil
}

// newLetter is a dead letter, or the end of a redelivery.
type newLetter state.DeadLetter

func (x newLetter) write(q *Queue, t *Tx, b *writtenBatch) error {
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

// toQueueTime converts a time of the event loop to the queue's clock. Unix time 0 and the zero time mean an unknown
// time.
func (q *Queue) toQueueTime(when, now time.Time) time.Time {
	if when.IsZero() || when.Unix() == 0 {
		return time.Time{}
	}
	return now.Add(-time.Since(when))
}

// history converts the attempts of a message, or of a redelivery by its number.
func (q *Queue) history(attempts []state.AttemptRecord, redelivery int, now time.Time) []Attempt {
	list := attemptsOf(attempts, redelivery)
	for i := range list {
		list[i].At = q.toQueueTime(list[i].At, now)
	}
	return list
}

// addRecord adds a dead letter that is new to the store.
func (q *Queue) addRecord(t *Tx, p *state.DeadLetter, now time.Time) error {
	m, words := p.Message, q.platform.Load()
	r := Record{
		State: Held, ID: m.ID, Key: m.Key, Class: nameAt(words.Classes, m.Class), Tenant: nameAt(words.Tenants, m.Tenant),
		Destination: m.Destination, Size: len(m.Body), Reason: p.Reason, Deferred: p.Deferred, Deadline: m.Deadline.Round(0),
		HeldAt: now, AttemptCount: p.AttemptCount,
	}
	r.addAttempts(q.history(p.Attempts, 0, now))
	q.mu.Lock()
	hasRules := q.settings.Rules()
	q.mu.Unlock()
	if hasRules {
		r.ReviewAt = now
	}
	added, err := t.Add(&r, m.Body)
	if err == nil && added {
		err = t.markReportPending(m.ID)
	}
	return err
}

// endRedelivery records the end of a redelivery. A second report of it changes nothing.
func (q *Queue) endRedelivery(t *Tx, letter *state.DeadLetter, now time.Time) error {
	err := t.change(letter.Seq, func(r *Record) error {
		if r.State != Out || r.ID != letter.Message.ID {
			return errUnchanged
		}
		if letter.NotAdmitted { // the controller never had it
			r.Redeliveries--
			r.schedule(now.Add(notAdmittedDelay), r.Until)
			return nil
		}
		r.AttemptCount = max(r.AttemptCount, letter.AttemptCount)
		r.addAttempts(q.history(letter.Attempts, r.Redeliveries, now))
		switch {
		case letter.Delivered:
			r.addEvent(now, "delivered", "sender")
			r.end(now, Delivered)
		case letter.Final:
			r.addEvent(now, "the partner's side says that it is over", "sender")
			r.end(now, Over)
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

// redeliveryFailed schedules a record again as long as its order holds and it is eligible, else it stays for review.
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

// notAdmittedDelay is the time until a redelivery that the event loop did not admit is due again.
const notAdmittedDelay = 100 * time.Millisecond

// errUnchanged ends a change that leaves a record as it is.
var errUnchanged = errors.New("held: nothing to change")

// reconcile brings the store in line with the write-ahead log at the start. Dead letters that the log still has may
// be reported again.
func (q *Queue) reconcile(t *Tx, journal journalState, now time.Time) error {
	owed := map[string]bool{}
	for _, id := range journal.owed {
		owed[id] = true
	}
	if err := t.reconcileReports(owed); err != nil {
		return err
	}
	inFlight := map[uint64]bool{}
	for _, sequence := range journal.inFlight {
		inFlight[sequence] = true
	}
	list, _, err := t.List(Filter{State: Out}, 0, maxScanned)
	if err != nil {
		return err
	}
	for _, r := range list {
		if inFlight[r.Sequence] {
			continue
		}
		if err := t.change(r.Sequence, func(r *Record) error { q.lostRedelivery(r, now); return nil }); err != nil {
			return err
		}
	}
	return nil
}

// reconcileReports sets which delivery reports are pending: of the ids that the write-ahead log has, those with a
// record.
func (t *Tx) reconcileReports(owed map[string]bool) error {
	var acknowledged []string
	c := t.Bucket(bucketOwed).Cursor()
	for id, _ := c.First(); id != nil; id, _ = c.Next() {
		if !owed[nameOf(id)] {
			acknowledged = append(acknowledged, nameOf(id))
		}
	}
	for _, id := range acknowledged {
		if err := t.clearReportPending(id); err != nil {
			return err
		}
	}
	for id := range owed {
		if _, known := t.byID(id); known {
			if err := t.markReportPending(id); err != nil {
				return err
			}
		}
	}
	return nil
}

// lostRedelivery takes back a record that was being redelivered when the sender ended. It was written down before it
// left, so that an attempt counts.
func (q *Queue) lostRedelivery(r *Record, now time.Time) {
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
