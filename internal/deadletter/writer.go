package deadletter

import (
	"context"
	"errors"
	"maps"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// An change is a change that somebody outside the queue waits for.
type change struct {
	apply func(*Tx) error
	done  chan error
}

// applyChange has the writer run a change, and waits for it.
func (k *Queue) applyChange(ctx context.Context, run func(*Tx) error) error {
	o := change{run, make(chan error, 1)}
	select {
	case k.changes <- o:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run opens the store and writes it until the context ends. What has not been
// written then stays with the journal.
func (k *Queue) Run(ctx context.Context) {
	retry := minRetryDelay
	pause := func(err error) {
		k.setFailing(true)
		k.log.Error("held: the store can't be written; nothing is held until it can", "err", err, "retry_in", retry)
		select {
		case <-ctx.Done():
		case <-time.After(retry):
		}
		retry = min(2*retry, maxRetryDelay)
	}
	var damage error
	for ctx.Err() == nil {
		k.mu.Lock()
		s, folder := k.store, k.settings.Held.Folder
		k.mu.Unlock()
		if s == nil {
			var err error
			if s, err = openOrRecover(folder, damage, k.log); err != nil {
				pause(err)
				continue
			}
			damage = nil
			k.useStore(s)
		}
		next, err := k.iterate(s)
		if err == nil {
			err = k.wait(ctx, s, next)
			retry = minRetryDelay
		}
		switch {
		case errors.Is(err, ErrDamaged): // also seen by an order: bbolt may have left its lock taken
			damage = err
			k.mu.Lock()
			k.store = nil
			k.mu.Unlock()
			s.abandon()
			pause(err)
			continue
		case err != nil:
			pause(err)
			continue
		}
	}
	k.mu.Lock()
	s := k.store
	k.store = nil
	k.mu.Unlock()
	if s != nil {
		s.Close()
	}
	for { // whoever still waits is told
		select {
		case o := <-k.changes:
			o.done <- errors.New("held: the sender stops")
		default:
			return
		}
	}
}

// wait waits until there is something to do, and runs an order if one comes.
func (k *Queue) wait(ctx context.Context, s *Store, most time.Duration) error {
	k.setFailing(false)
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.work:
	case o := <-k.changes:
		if err := k.runChange(s, o); errors.Is(err, ErrDamaged) {
			return err
		}
	case <-timer.C:
	}
	return nil
}

func (k *Queue) setFailing(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing = on
}

// useStore takes a store over.
func (k *Queue) useStore(s *Store) {
	s.View(func(t *Tx) error {
		if us := t.counter(metaLatest); us > 0 {
			k.clock.adopt(time.UnixMicro(int64(us)))
		}
		return nil
	})
	if k.clock.wentBack {
		k.log.Warn("held: the clock went back while the sender was down; memory spans from before can't be judged")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store = s
	k.sweeping = k.settings.Rules()
}

// runChange runs an order.
func (k *Queue) runChange(s *Store, o change) error {
	err := s.Update(func(t *Tx) error {
		if err := o.apply(t); err != nil {
			return err
		}
		return k.saveTime(t)
	})
	o.done <- err
	return err
}

// saveTime keeps the latest time.
func (k *Queue) saveTime(t *Tx) error {
	return t.Bucket(bucketMeta).Put([]byte(metaLatest), encodeUint(uint64(k.clock.now().UnixMicro())))
}

// iterate writes what is queued, looks after what is due and sends what may be
// sent. It returns how long nothing more is to be done.
func (k *Queue) iterate(s *Store) (time.Duration, error) {
	k.mu.Lock()
	items := k.items[:min(len(k.items), maxBatch)]
	claims := maps.Clone(k.pendingClaims)
	k.mu.Unlock()
	var stored []control.MessageID
	var back []endedRedelivery
	if len(items)+len(claims) > 0 {
		err := s.Update(func(t *Tx) error {
			stored, back = stored[:0], back[:0]
			for _, x := range items {
				if err := k.storeItem(t, x, &stored, &back); err != nil {
					return err
				}
			}
			for c := range claims {
				if err := k.supersede(t, c[0], c[1]); err != nil {
					return err
				}
			}
			return k.saveTime(t)
		})
		if err != nil {
			return 0, err
		}
		k.mu.Lock()
		k.items = k.items[len(items):]
		for _, x := range items {
			if p, ok := x.(state.DeadLetter); ok && p.Seq == 0 {
				k.newLetters--
			}
		}
		for c := range claims {
			delete(k.pendingClaims, c)
		}
		for _, b := range back {
			if dest, ours := k.granted[b.sequence]; ours {
				delete(k.granted, b.sequence)
				k.planner.RedeliveryEnded(k.since(), dest, b.admitted)
			}
		}
		rest := len(k.items)
		k.mu.Unlock()
		if len(stored) > 0 {
			k.loop.Post(state.DeadLettersStored{Nums: stored})
		}
		if rest > 0 {
			return 0, nil
		}
	}
	return k.maintain(s)
}

// A endedRedelivery is a resend that has ended.
type endedRedelivery struct {
	sequence uint64
	admitted bool
}
