package deadletter

import (
	"errors"
	"time"

	"cleathold/internal/settings"
)

// dueWork is the work that is due according to the store.
type dueWork struct {
	records      []uint64  // due for review, by sequence
	next         time.Time // when the next record becomes due for review; zero: never
	destinations []int     // of records that are ready to be redelivered
	overBounds   bool
}

// maintain runs the work that is due: it enforces the bounds, reviews records and redelivers messages. It returns the
// time until the next work is due.
func (q *Queue) maintain(s *Store) (time.Duration, error) {
	now := q.clock.now()
	q.mu.Lock()
	current := q.settings
	q.mu.Unlock()
	bounds := Bounds{current.DeadLetterQueue.MaxBytes, current.DeadLetterQueue.MaxRecords, current.DeadLetterQueue.MaxAge,
		current.DeadLetterQueue.KeepEnded}
	due, err := s.findDue(now, bounds)
	if err != nil {
		return 0, err
	}
	moreWork, err := q.enforceBounds(s, bounds, due.overBounds, now)
	if err != nil {
		return 0, err
	}
	if len(due.records) > 0 || q.sweeping {
		if err := s.Update(func(t *Tx) error { return q.review(t, current, due.records, now) }); err != nil {
			return 0, err
		}
		moreWork = true
	}
	if q.walStateKnown && len(due.destinations) > 0 {
		sent, err := q.redeliverReady(s, due.destinations, now)
		if err != nil {
			return 0, err
		}
		moreWork = moreWork || sent
	}
	if moreWork {
		return 0, nil
	}
	return q.untilDue(due, now), nil
}

// findDue returns the work that is due.
func (s *Store) findDue(now time.Time, bounds Bounds) (due dueWork, err error) {
	err = s.View(func(t *Tx) error {
		due.records, due.next = t.dueRecords(now, maxDueRecords)
		due.destinations = t.readyDestinations()
		due.overBounds = int64(t.counter(metaBytes)) > bounds.Bytes || t.counter(metaCount) > uint64(bounds.Records)
		return nil
	})
	return due, err
}

// enforceBounds evicts records if the store exceeds its bounds, and every maintenanceInterval. It reports whether more
// records may have to be evicted.
func (q *Queue) enforceBounds(s *Store, bounds Bounds, over bool, now time.Time) (more bool, err error) {
	if !over && now.Sub(q.maintainedAt) < maintenanceInterval {
		return false, nil
	}
	var evicted Evicted
	err = s.Update(func(t *Tx) (err error) {
		if evicted, err = t.evict(bounds, now); err == nil {
			err = q.saveTime(t)
		}
		return err
	})
	if err != nil {
		return false, err
	}
	if evicted.Open+evicted.Aged > 0 {
		q.log.Warn("dead letters evicted", "over_bounds", evicted.Open, "too_old", evicted.Aged, "ended", evicted.Ended)
	}
	more = over && evicted.Open+evicted.Aged+evicted.Ended > 0
	if !more {
		q.maintainedAt = now
	}
	q.mu.Lock()
	q.planner.Prune(q.plannerTime())
	q.mu.Unlock()
	return more, nil
}

// untilDue returns the time until the next work is due.
func (q *Queue) untilDue(due dueWork, now time.Time) time.Duration {
	wait := maintenanceInterval
	if !due.next.IsZero() {
		wait = min(wait, max(0, due.next.Sub(now)))
	}
	if len(due.destinations) > 0 {
		q.mu.Lock()
		at := q.plannerTime()
		wait = min(wait, q.planner.NextGrant(at, due.destinations)-at)
		q.mu.Unlock()
	}
	return max(wait, time.Millisecond)
}

// review applies the rules to held records that are due, and marks ordered records that are due as ready.
func (q *Queue) review(t *Tx, current *settings.Settings, due []uint64, now time.Time) error {
	if q.sweeping {
		if err := q.scheduleReviews(t, now); err != nil {
			return err
		}
	}
	for _, sequence := range due {
		err := t.change(sequence, func(r *Record) error {
			q.reviewRecord(r, current, t.ReportPending(r.ID), now)
			return nil
		})
		if err != nil && !errors.Is(err, ErrNotFound) {
			return err
		}
	}
	return nil
}

// scheduleReviews schedules the next batch of held records for review after a change of rules.
func (q *Queue) scheduleReviews(t *Tx, now time.Time) error {
	list, next, err := t.List(Filter{State: Held}, q.sweepPosition, maxSweepRecords)
	if err != nil {
		return err
	}
	for _, r := range list {
		if !r.ReviewAt.IsZero() {
			continue
		}
		if err := t.change(r.Sequence, func(r *Record) error { r.ReviewAt = now; return nil }); err != nil {
			return err
		}
	}
	q.sweepPosition, q.sweeping = next, next > 0
	return nil
}

// reviewRecord runs the due review of a record. It postpones the review while the delivery report is pending.
func (q *Queue) reviewRecord(r *Record, current *settings.Settings, reportPending bool, now time.Time) {
	switch {
	case reportPending && r.State == Ordered:
		r.NotBefore = now.Add(reportPendingDelay)
	case reportPending:
		r.ReviewAt = now.Add(reportPendingDelay)
	case r.State == Ordered && !now.Before(r.Until):
		q.expireOrder(r, now)
	case r.State == Ordered:
		r.Ready = true
	case r.State == Held:
		q.applyRule(r, current, now)
	}
}

// expireOrder cancels an order that was not carried out before its deadline.
func (q *Queue) expireOrder(r *Record, now time.Time) {
	r.unschedule(time.Time{})
	r.addEvent(now, "its order has run out", "sender")
	if q.hasRules() {
		r.ReviewAt = now
	}
}

// applyRule evaluates the rule "after" for a held record and applies its decision. If the rule fails, the record is
// kept.
func (q *Queue) applyRule(r *Record, current *settings.Settings, now time.Time) {
	q.mu.Lock()
	partner := q.partner(r.Destination)
	q.mu.Unlock()
	decision, err := current.Decide(ruleView(r, now), partner)
	if err != nil {
		q.warnRateLimited("rule after failed, record kept", "err", err.Error())
	}
	r.ReviewAt = time.Time{}
	switch decision.Action {
	case settings.KeepRecord:
		if decision.ReviewIn > 0 {
			r.ReviewAt = now.Add(decision.ReviewIn)
		}
	case settings.DropRecord:
		r.addEvent(now, "dropped", "rule")
		r.end(now, Dropped)
	case settings.Redeliver:
		if notEligible := q.eligible(r, now); notEligible != nil {
			r.addEvent(now, "not sent again: "+notEligible.Reason, "rule")
			return
		}
		r.addEvent(now, "ordered", "rule")
		r.schedule(now.Add(decision.Delay), now.Add(decision.Delay+decision.Within))
	}
}

// ruleView returns the attributes of a record for the rules.
func ruleView(r *Record, now time.Time) settings.Record {
	_, _, ran := r.FirstRun()
	return settings.Record{
		ID: r.ID, Key: r.Key, Class: r.Class, Tenant: r.Tenant, Destination: r.Destination, Size: r.Size, Reason: r.Reason,
		MayHaveRun: ran, Deferred: r.Deferred, Attempts: r.AttemptCount, Redeliveries: r.Redeliveries,
		TimeLeft: max(0, r.Deadline.Sub(r.HeldAt)), Age: max(0, now.Sub(r.HeldAt)),
	}
}

// hasRules reports whether the settings define the rule "after".
func (q *Queue) hasRules() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.settings.HasAfterRule()
}

// eligible returns nil if a record may be redelivered now, and the reason otherwise. A record with a key is not
// eligible if a claim of its key may have been lost.
func (q *Queue) eligible(r *Record, now time.Time) *NotEligible {
	q.mu.Lock()
	claimsLostUntil := q.claimsLostUntil
	q.mu.Unlock()
	if r.Key != "" && !claimsLostUntil.IsZero() && r.HeldAt.Before(claimsLostUntil) {
		return neverEligible("its key may have been handed in anew while the store could not be asked")
	}
	at, _, _ := r.FirstRun()
	return q.platform.Load().rules.Eligible(r, now, q.clock.elapsedKnown(at))
}
