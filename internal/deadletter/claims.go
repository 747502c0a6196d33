package deadletter

import (
	"context"
	"errors"
	"time"
)

// ClaimKey ends the held records of a key that a client submits anew: from now on the message is its client's. It is
// called by the client's goroutine before the message is accepted, and waits for the store only if a record may be
// held. It returns false if such a record is being redelivered or the store does not answer by the deadline: the
// client should come again.
func (q *Queue) ClaimKey(classNumber int, key string, deadline time.Time) bool {
	class := nameAt(q.platform.Load().Classes, classNumber)
	q.mu.Lock()
	s := q.store
	if s == nil { // the claim is written before anything is redelivered
		if len(q.pendingClaims) < maxPendingClaims {
			q.pendingClaims[[2]string{class, key}] = true
		} else {
			q.claimsLostUntil = time.Now()
		}
		q.mu.Unlock()
		return true
	}
	q.mu.Unlock()
	if !s.MayContain(class, key) && !q.keyInFlight(s, class, key) {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return q.applyChange(ctx, func(t *Tx) error {
		if len(t.inFlightWithKey(class, key)) > 0 {
			return errKeyInFlight
		}
		return q.supersede(t, class, key)
	}) == nil
}

// errKeyInFlight ends the claim of a key of which a record is being redelivered.
var errKeyInFlight = errors.New("held: a record of that key is being sent")

// keyInFlight reports whether a record of a key is being redelivered, or may be.
func (q *Queue) keyInFlight(s *Store, class, key string) (inFlight bool) {
	err := s.View(func(t *Tx) error {
		inFlight = len(t.inFlightWithKey(class, key)) > 0
		return nil
	})
	return inFlight || err != nil
}

// maxInFlightScan bounds the records in redelivery that are searched for a key; there are few of them.
const maxInFlightScan = 4096

// inFlightWithKey lists the records of a key that are being redelivered.
func (t *Tx) inFlightWithKey(class, key string) (seqs []uint64) {
	list, _, err := t.List(Filter{State: InFlight}, 0, maxInFlightScan)
	for _, r := range list {
		if r.Class == class && r.Key == key {
			seqs = append(seqs, r.Sequence)
		}
	}
	if err != nil {
		seqs = append(seqs, 1)
	}
	return seqs
}

// supersede ends the held records of a key that a client submitted anew.
func (q *Queue) supersede(t *Tx, class, key string) error {
	now := q.clock.now()
	for _, seq := range t.sequencesByKey(class, key) {
		err := t.change(seq, func(r *Record) error {
			r.addEvent(now, "its client handed the key in anew", "sender")
			r.end(now, Superseded)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
