package deadletter

import (
	"errors"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// The items of the queue, besides partings.
type (
	journalState struct {
		owed     []string
		inFlight []uint64
	}
	forgotten struct{ ids []string }
)

// storeItem enters one item.
func (k *Queue) storeItem(t *Tx, item any, stored *[]control.MessageID, back *[]endedRedelivery) error {
	now := k.clock.now()
	switch x := item.(type) {
	case journalState:
		k.journalKnown = true
		return k.reconcile(t, x, now)
	case forgotten:
		for _, id := range x.ids {
			if err := t.clearReportPending(id); err != nil {
				return err
			}
		}
	case state.DeadLetter:
		if !x.NotAdmitted {
			*stored = append(*stored, x.Num)
		}
		if x.Seq > 0 {
			*back = append(*back, endedRedelivery{x.Seq, !x.NotAdmitted})
			return k.endRedelivery(t, &x, now)
		}
		return k.addRecord(t, &x, now)
	}
	return nil
}

// toQueueTime turns a time of the loop into one of the keeper's clock.
func (k *Queue) toQueueTime(when, now time.Time) time.Time {
	if when.IsZero() || when.Unix() == 0 {
		return time.Time{}
	}
	return now.Add(-time.Since(when))
}

// history turns the loop's tries into attempts.
func (k *Queue) history(tries []state.AttemptRecord, n int, now time.Time) []Attempt {
	list := attemptsOf(tries, n)
	for i := range list {
		list[i].At = k.toQueueTime(list[i].At, now)
	}
	return list
}

// addRecord enters a message that is new to the store.
func (k *Queue) addRecord(t *Tx, p *state.DeadLetter, now time.Time) error {
	m, words := p.Message, k.platform.Load()
	r := Record{
		State: Held, ID: m.ID, Key: m.Key, Class: nameAt(words.Classes, m.Class), Tenant: nameAt(words.Tenants, m.Tenant),
		Destination: m.Destination, Size: len(m.Body), Reason: p.Reason, Deferred: p.Deferred, Deadline: m.Deadline.Round(0),
		HeldAt: now, AttemptCount: p.AttemptCount,
	}
	r.addAttempts(k.history(p.Attempts, 0, now))
	k.mu.Lock()
	asks := k.settings.Rules()
	k.mu.Unlock()
	if asks {
		r.ReviewAt = now
	}
	added, err := t.Add(&r, m.Body)
	if err == nil && added {
		err = t.markReportPending(m.ID)
	}
	return err
}

// endRedelivery enters what came of a resend. A second time it changes nothing.
func (k *Queue) endRedelivery(t *Tx, p *state.DeadLetter, now time.Time) error {
	err := t.change(p.Seq, func(r *Record) error {
		if r.State != Out || r.ID != p.Message.ID {
			return errUnchanged
		}
		if p.NotAdmitted { // it never was with the controller
			r.Redeliveries--
			r.schedule(now.Add(notAdmittedDelay), r.Until)
			return nil
		}
		r.AttemptCount = max(r.AttemptCount, p.AttemptCount)
		r.addAttempts(k.history(p.Attempts, r.Redeliveries, now))
		switch {
		case p.Delivered:
			r.addEvent(now, "delivered", "sender")
			r.end(now, Delivered)
			return nil
		case p.Final:
			r.addEvent(now, "the partner's side says that it is over", "sender")
			r.end(now, Over)
			return nil
		}
		r.Reason = p.Reason
		until := r.Until
		r.unschedule(time.Time{})
		why := k.eligible(r, now)
		switch {
		case why != nil:
			r.addEvent(now, "not delivered: "+p.Reason+"; "+why.Reason, "sender")
		case now.Before(until):
			r.addEvent(now, "not delivered: "+p.Reason, "sender")
			r.schedule(now, until)
			return nil
		default:
			r.addEvent(now, "not delivered: "+p.Reason+"; its order has run out", "sender")
		}
		if k.hasRules() {
			r.ReviewAt = now
		}
		return nil
	})
	if errors.Is(err, errUnchanged) || errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

const notAdmittedDelay = 100 * time.Millisecond // until one that was not let in is tried again

var errUnchanged = errors.New("held: nothing to change")

// reconcile makes the store agree with the journal: what that still owes may come
// once more, and what is out and not known to it counts as sent, as it was
// written down before it left.
func (k *Queue) reconcile(t *Tx, b journalState, now time.Time) error {
	owed := map[string]bool{}
	for _, id := range b.owed {
		owed[id] = true
	}
	var done []string
	c := t.Bucket(bucketOwed).Cursor()
	for id, _ := c.First(); id != nil; id, _ = c.Next() {
		if !owed[nameOf(id)] {
			done = append(done, nameOf(id))
		}
	}
	for _, id := range done {
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
	out := map[uint64]bool{}
	for _, seq := range b.inFlight {
		out[seq] = true
	}
	list, _, err := t.List(Filter{State: Out}, 0, maxScanned)
	if err != nil {
		return err
	}
	for _, r := range list {
		if out[r.Sequence] {
			continue
		}
		err := t.change(r.Sequence, func(r *Record) error {
			at := r.HeldAt
			if n := len(r.Events); n > 0 {
				at = r.Events[n-1].At
			}
			r.addAttempts([]Attempt{{At: at, Result: resultNames[control.Unknown], MayHaveRun: true, Redelivery: r.Redeliveries}})
			until := r.Until
			r.unschedule(time.Time{})
			r.addEvent(now, "on its way as the sender ended: it may have been sent", "sender")
			if k.eligible(r, now) == nil && now.Before(until) {
				r.schedule(now, until)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
