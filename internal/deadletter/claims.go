package deadletter

import (
	"context"
	"errors"
	"time"
)

// ClaimKey ends the held records of a key that a client submits again, so that only the new message is delivered. The
// client's goroutine calls it before the message is accepted. It waits for the store only if a record of the key may
// exist. It returns false if such a record is being redelivered or the store does not respond by the deadline; the
// client should then retry later.
func (q *Queue) ClaimKey(classNumber int, key string, deadline time.Time) bool {
	class := nameAt(q.platform.Load().Classes, classNumber)
	q.mu.Lock()
	s := q.store
	if s == nil { // the claim is stored before any record is redelivered
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

// errKeyInFlight rejects the claim of a key if a record with this key is being redelivered.
var errKeyInFlight = errors.New("held: a record with this key is being redelivered")

// keyInFlight reports whether a record with a key may be in redelivery. It returns true if the store cannot be read.
func (q *Queue) keyInFlight(s *Store, class, key string) (inFlight bool) {
	err := s.View(func(t *Tx) error {
		inFlight = len(t.inFlightWithKey(class, key)) > 0
		return nil
	})
	return inFlight || err != nil
}

// maxInFlightScan limits the records in redelivery that are searched for a key. There are usually few of them.
const maxInFlightScan = 4096

// inFlightWithKey returns the records with a key that are being redelivered. If the store cannot be read, the result is
// not empty, so that the key counts as in flight.
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

// supersede ends the held and ordered records with a key that a client submitted again.
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
