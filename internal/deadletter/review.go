package deadletter

import (
	"errors"
	"time"

	"cleathold/internal/settings"
)

// maintain does what time alone has made due: bounds, rules, resends.
func (k *Queue) maintain(s *Store) (time.Duration, error) {
	now := k.clock.now()
	var dests []int
	var seqs []uint64
	var next time.Time
	over := false
	k.mu.Lock()
	set := k.settings
	k.mu.Unlock()
	bounds := Bounds{set.Held.MaxBytes, set.Held.MaxRecords, set.Held.MaxAge, set.Held.KeepEnded}
	err := s.View(func(t *Tx) error {
		seqs, next = t.due(now, maxDue)
		dests = t.readyDestinations()
		over = int64(t.counter(metaBytes)) > bounds.Bytes || t.counter(metaCount) > uint64(bounds.Records)
		return nil
	})
	if err != nil {
		return 0, err
	}
	busy := false
	if over || now.Sub(k.maintainedAt) >= maintenanceInterval {
		var gone Evicted
		err := s.Update(func(t *Tx) (err error) {
			if gone, err = t.evict(bounds, now); err == nil {
				err = k.saveTime(t)
			}
			return err
		})
		if err != nil {
			return 0, err
		}
		if gone.Open+gone.Aged > 0 {
			k.log.Warn("held: records evicted", "over_bounds", gone.Open, "too_old", gone.Aged, "ended", gone.Ended)
		}
		busy = over && gone.Open+gone.Aged+gone.Ended > 0
		if !busy {
			k.maintainedAt = now
		}
		k.mu.Lock()
		k.planner.Prune(k.since())
		k.mu.Unlock()
	}
	if len(seqs) > 0 || k.sweeping {
		if err := s.Update(func(t *Tx) error { return k.review(t, set, seqs, now) }); err != nil {
			return 0, err
		}
		busy = true
	}
	if k.journalKnown && len(dests) > 0 {
		sent, err := k.redeliverReady(s, dests, now)
		if err != nil {
			return 0, err
		}
		busy = busy || sent
	}
	if busy {
		return 0, nil
	}
	wait := maintenanceInterval
	if !next.IsZero() {
		wait = min(wait, max(0, next.Sub(now)))
	}
	if len(dests) > 0 {
		k.mu.Lock()
		at := k.since()
		wait = min(wait, k.planner.NextGrant(at, dests)-at)
		k.mu.Unlock()
	}
	return max(wait, time.Millisecond), nil
}

// review asks the rules about records whose time has come, and readies orders.
func (k *Queue) review(t *Tx, set *settings.Settings, seqs []uint64, now time.Time) error {
	if k.sweeping {
		list, next, err := t.List(Filter{State: Held}, k.sweepPosition, maxSweep)
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
		k.sweepPosition, k.sweeping = next, next > 0
	}
	for _, seq := range seqs {
		err := t.change(seq, func(r *Record) error {
			switch {
			case t.ReportPending(r.ID): // not before its client was told
				if r.State == Ordered {
					r.NotBefore = now.Add(reportPendingDelay)
				} else {
					r.ReviewAt = now.Add(reportPendingDelay)
				}
			case r.State == Ordered && !now.Before(r.Until):
				k.expireOrder(r, now)
			case r.State == Ordered:
				r.Ready = true
			case r.State == Held:
				k.askRule(r, set, now)
			}
			return nil
		})
		if err != nil && !errors.Is(err, ErrNotFound) {
			return err
		}
	}
	return nil
}

// expireOrder ends an order that was not carried out in its time.
func (k *Queue) expireOrder(r *Record, now time.Time) {
	r.unschedule(time.Time{})
	r.addEvent(now, "its order has run out", "sender")
	if k.hasRules() {
		r.ReviewAt = now
	}
}

// askRule asks the rule after about a held record.
func (k *Queue) askRule(r *Record, set *settings.Settings, now time.Time) {
	k.mu.Lock()
	partner := k.partner(r.Destination)
	k.mu.Unlock()
	answer, err := set.Decide(ruleView(r, now), partner)
	if err != nil {
		k.warnOnce("held: the rule after failed, the record is kept", "err", err.Error())
	}
	r.ReviewAt = time.Time{}
	switch answer.Action {
	case settings.KeepRecord:
		if answer.ReviewIn > 0 {
			r.ReviewAt = now.Add(answer.ReviewIn)
		}
	case settings.DropRecord:
		r.addEvent(now, "dropped", "rule")
		r.end(now, Dropped)
	case settings.Redeliver:
		if why := k.eligible(r, now); why != nil {
			r.addEvent(now, "not sent again: "+why.Reason, "rule")
			return
		}
		r.addEvent(now, "ordered", "rule")
		r.schedule(now.Add(answer.Delay), now.Add(answer.Delay+answer.Within))
	}
}

// ruleView is a record as rules see it.
func ruleView(r *Record, now time.Time) settings.Record {
	_, _, ran := r.FirstRun()
	return settings.Record{
		ID: r.ID, Key: r.Key, Class: r.Class, Tenant: r.Tenant, Destination: r.Destination, Size: r.Size, Reason: r.Reason,
		MayHaveRun: ran, Deferred: r.Deferred, Attempts: r.AttemptCount, Resends: r.Redeliveries,
		TimeLeft: max(0, r.Deadline.Sub(r.HeldAt)), Age: max(0, now.Sub(r.HeldAt)),
	}
}

func (k *Queue) hasRules() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.settings.Rules()
}

// eligible asks whether a record may be sent now.
func (k *Queue) eligible(r *Record, now time.Time) *NotEligible {
	k.mu.Lock()
	blind := k.claimsLostUntil
	k.mu.Unlock()
	if r.Key != "" && !blind.IsZero() && r.HeldAt.Before(blind) {
		return neverEligible("its key may have been handed in anew while the store could not be asked")
	}
	at, _, _ := r.FirstRun()
	return k.platform.Load().rules.Eligible(r, now, k.clock.certain(at))
}
