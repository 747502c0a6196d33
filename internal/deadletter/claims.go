package deadletter

import (
	"context"
	"errors"
	"time"
)

// ClaimKey ends the held records of a key that a client hands in anew: from now on
// the message is its client's. It is called before the message is taken on, by
// the client's goroutine, and waits for the store only if a record may be held.
// Where one is being sent, or the store can't be asked, the answer is no: the
// client should come again.
func (k *Queue) ClaimKey(number int, key string, by time.Time) bool {
	class := nameAt(k.platform.Load().Classes, number)
	k.mu.Lock()
	s := k.store
	if s == nil { // not open yet: it is told before anything is sent from it
		if len(k.pendingClaims) < maxPendingClaims {
			k.pendingClaims[[2]string{class, key}] = true
		} else {
			k.claimsLostUntil = time.Now()
		}
		k.mu.Unlock()
		return true
	}
	k.mu.Unlock()
	if !s.MayContain(class, key) && !k.keyInFlight(s, class, key) {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	return k.applyChange(ctx, func(t *Tx) error {
		if len(t.inFlightWithKey(class, key)) > 0 {
			return errKeyInFlight
		}
		return k.supersede(t, class, key)
	}) == nil
}

var errKeyInFlight = errors.New("held: a record of that key is being sent")

// keyInFlight tells whether a record of that key is being sent.
func (k *Queue) keyInFlight(s *Store, class, key string) (out bool) {
	err := s.View(func(t *Tx) error {
		out = len(t.inFlightWithKey(class, key)) > 0
		return nil
	})
	return out || err != nil
}

// inFlightWithKey lists the records of a key that are being sent; there are few of them.
func (t *Tx) inFlightWithKey(class, key string) (seqs []uint64) {
	list, _, err := t.List(Filter{State: Out}, 0, 4096)
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

func (k *Queue) supersede(t *Tx, class, key string) error {
	now := k.clock.now()
	for _, seq := range t.byKey(class, key) {
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
