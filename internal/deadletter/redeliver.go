package deadletter

import (
	"slices"
	"time"

	"cleathold/internal/state"
)

// redeliverReady has the planner say what may go, writes it down as sent, and gives it to
// the loop.
func (k *Queue) redeliverReady(s *Store, dests []int, now time.Time) (bool, error) {
	k.mu.Lock()
	grants := k.planner.Grant(k.since(), dests, k.load)
	k.mu.Unlock()
	if len(grants) == 0 {
		return false, nil
	}
	var leaving []state.Redelivery
	var unused []int
	err := s.Update(func(t *Tx) error {
		leaving, unused = leaving[:0], unused[:0]
		for _, dest := range grants {
			e, err := k.takeNext(t, dest, now)
			if err != nil {
				return err
			}
			if e == nil {
				unused = append(unused, dest)
			} else {
				leaving = append(leaving, *e)
			}
		}
		return k.saveTime(t)
	})
	if err != nil {
		unused, leaving = grants, nil
	}
	k.mu.Lock()
	for _, dest := range unused {
		k.planner.RedeliveryEnded(k.since(), dest, true)
	}
	for _, e := range leaving {
		k.granted[e.Seq] = e.Message.Destination
	}
	k.mu.Unlock()
	for _, e := range leaving {
		k.loop.Post(e)
	}
	return true, err
}

// takeNext takes the next record for a destination out of the store; nil where
// the one that was next may not go.
func (k *Queue) takeNext(t *Tx, dest int, now time.Time) (*state.Redelivery, error) {
	tenants := t.readyTenants(dest)
	if len(tenants) == 0 {
		return nil, nil
	}
	k.mu.Lock()
	tenant := k.planner.NextTenant(k.since(), dest, tenants)
	k.mu.Unlock()
	seq, found := t.readyFirst(dest, tenant)
	if !found {
		return nil, nil
	}
	var leaving *state.Redelivery
	err := t.change(seq, func(r *Record) error {
		why := k.eligible(r, now)
		switch {
		case t.ReportPending(r.ID):
			r.schedule(now.Add(reportPendingDelay), r.Until)
			return nil
		case !now.Before(r.Until):
			k.expireOrder(r, now)
			return nil
		case why != nil:
			r.unschedule(time.Time{})
			r.addEvent(now, "not sent again: "+why.Reason, "sender")
			return nil
		}
		body, err := t.Body(seq)
		if err != nil {
			return err
		}
		e := &state.Redelivery{Seq: seq, Attempts: r.AttemptCount, Message: k.message(r, body, now)}
		at, zone, ran := r.FirstRun()
		if e.MayHaveRun, e.FirstRunZone = ran, zone; ran {
			e.FirstRunAgo = now.Sub(at)
		}
		r.State, r.Ready = Out, false
		r.Redeliveries++
		r.addEvent(now, "sent again", "sender")
		leaving = e
		return nil
	})
	return leaving, err
}

// message is a record as a message once more. Its time is short of its class's
// by the aim, so that it is among the deferred ones from the start: by the
// design's selection round, fresh messages for the partner go first.
func (k *Queue) message(r *Record, body []byte, now time.Time) *state.Message {
	words := k.platform.Load()
	class := words.rules.Classes[r.Class]
	left := max(class.Deadline-class.LatencyObjective, class.Deadline/2)
	m := &state.Message{
		ID: r.ID, Key: r.Key, Destination: r.Destination, Resubmitted: true,
		Deadline: time.Now().Add(min(left, r.Until.Sub(now))), Body: append([]byte(nil), body...),
		Class: words.classNumber(r.Class), Tenant: max(0, slices.Index(words.Tenants, r.Tenant)),
	}
	return m
}
