package deadletter

import (
	"slices"
	"time"

	"cleathold/internal/state"
)

// redeliverReady redelivers the records for which the planner grants a redelivery. It first stores them as in flight
// and then posts them to the event loop, so that no redelivery is forgotten after a crash. It reports whether the
// planner granted any.
func (q *Queue) redeliverReady(s *Store, destinations []int, now time.Time) (bool, error) {
	q.mu.Lock()
	grants := q.planner.Grant(q.plannerTime(), destinations, q.load)
	q.mu.Unlock()
	if len(grants) == 0 {
		return false, nil
	}
	var taken []state.Redelivery
	var unused []int
	err := s.Update(func(t *Tx) error {
		taken, unused = taken[:0], unused[:0]
		for _, dest := range grants {
			e, err := q.takeNextRecord(t, dest, now)
			if err != nil {
				return err
			}
			if e == nil {
				unused = append(unused, dest)
			} else {
				taken = append(taken, *e)
			}
		}
		return q.saveTime(t)
	})
	if err != nil {
		unused, taken = grants, nil
	}
	q.mu.Lock()
	for _, dest := range unused {
		q.planner.RedeliveryEnded(q.plannerTime(), dest, true)
	}
	for _, e := range taken {
		q.granted[e.Seq] = e.Message.Destination
	}
	q.mu.Unlock()
	for _, e := range taken {
		q.loop.Post(e)
	}
	return true, err
}

// takeNextRecord marks the next record for a destination as in flight and returns its redelivery. It returns nil if
// there is no record or it may not be redelivered now.
func (q *Queue) takeNextRecord(t *Tx, dest int, now time.Time) (*state.Redelivery, error) {
	tenants := t.readyTenants(dest)
	if len(tenants) == 0 {
		return nil, nil
	}
	q.mu.Lock()
	tenant := q.planner.NextTenant(q.plannerTime(), dest, tenants)
	q.mu.Unlock()
	seq, found := t.firstReady(dest, tenant)
	if !found {
		return nil, nil
	}
	var taken *state.Redelivery
	err := t.change(seq, func(r *Record) error {
		notEligible := q.eligible(r, now)
		switch {
		case t.ReportPending(r.ID):
			r.schedule(now.Add(reportPendingDelay), r.Until)
			return nil
		case !now.Before(r.Until):
			q.expireOrder(r, now)
			return nil
		case notEligible != nil:
			r.unschedule(time.Time{})
			r.addEvent(now, "not sent again: "+notEligible.Reason, "sender")
			return nil
		}
		body, err := t.Body(seq)
		if err != nil {
			return err
		}
		e := &state.Redelivery{Seq: seq, Attempts: r.AttemptCount, Message: q.message(r, body, now)}
		at, zone, ran := r.FirstRun()
		if e.MayHaveRun, e.FirstRunZone = ran, zone; ran {
			e.FirstRunAgo = now.Sub(at)
		}
		r.State, r.Ready = InFlight, false
		r.Redeliveries++
		r.addEvent(now, "sent again", "sender")
		taken = e
		return nil
	})
	return taken, err
}

// message converts a record to a message. Its deadline is the deadline of its class less the latency objective, so that
// the controller treats it as deferred from the start and prefers new messages for the destination.
func (q *Queue) message(r *Record, body []byte, now time.Time) *state.Message {
	platform := q.platform.Load()
	class := platform.rules.Classes[r.Class]
	left := max(class.Deadline-class.LatencyObjective, class.Deadline/2)
	m := &state.Message{
		ID: r.ID, Key: r.Key, Destination: r.Destination, Resubmitted: true,
		Deadline: time.Now().Add(min(left, r.Until.Sub(now))), Body: append([]byte(nil), body...),
		Class: platform.classNumber(r.Class), Tenant: max(0, slices.Index(platform.Tenants, r.Tenant)),
	}
	return m
}
