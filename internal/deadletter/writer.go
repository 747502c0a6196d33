package deadletter

import (
	"context"
	"errors"
	"maps"
	"time"

	"cleathold/internal/state"
)

// errStopped is the result of changes that are still queued when the sender stops.
var errStopped = errors.New("held: the sender stops")

// change is a change to the store whose result another goroutine waits for.
type change struct {
	apply func(*Tx) error
	done  chan error
}

// applyChange queues a change, which the writer runs in a transaction, and waits for its result.
func (q *Queue) applyChange(ctx context.Context, apply func(*Tx) error) error {
	c := change{apply, make(chan error, 1)}
	select {
	case q.changes <- c:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run opens the store and writes to it until the context is done. Items that are not written by then are still in the
// write-ahead log.
func (q *Queue) Run(ctx context.Context) {
	delay := minRetryDelay
	var damage error
	for ctx.Err() == nil {
		written, err := q.runOnce(ctx, &damage)
		if written {
			delay = minRetryDelay
		}
		if err == nil {
			continue
		}
		q.setFailing(true)
		q.log.Error("dead-letter store not writable, no dead letters are accepted", "err", err, "retry_in", delay)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
	q.close()
}

// runOnce opens the store if it is not open, runs one iteration and waits for work. It reports whether the iteration
// succeeded. A damaged store is abandoned; damage is then set to the error, so that the next call recovers the store.
func (q *Queue) runOnce(ctx context.Context, damage *error) (written bool, err error) {
	q.mu.Lock()
	s, folder := q.store, q.settings.DeadLetterQueue.Folder
	q.mu.Unlock()
	if s == nil {
		if s, err = openOrRecover(folder, *damage, q.log); err != nil {
			return false, err
		}
		*damage = nil
		q.useStore(s)
	}
	next, err := q.iterate(s)
	if written = err == nil; written {
		err = q.wait(ctx, s, next)
	}
	if errors.Is(err, ErrDamaged) { // a change may detect it as well; bbolt may then still hold its own lock
		*damage = err
		q.mu.Lock()
		q.store = nil
		q.mu.Unlock()
		s.abandon()
	}
	return written, err
}

// close closes the store and fails the queued changes with errStopped.
func (q *Queue) close() {
	q.mu.Lock()
	s := q.store
	q.store = nil
	q.mu.Unlock()
	if s != nil {
		s.Close()
	}
	for {
		select {
		case c := <-q.changes:
			c.done <- errStopped
		default:
			return
		}
	}
}

// wait waits for work, at most for a timeout, and runs a change if one is queued. It returns an error only if the store
// is damaged.
func (q *Queue) wait(ctx context.Context, s *Store, timeout time.Duration) error {
	q.setFailing(false)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-q.wake:
	case c := <-q.changes:
		if err := q.runChange(s, c); errors.Is(err, ErrDamaged) {
			return err
		}
	case <-timer.C:
	}
	return nil
}

// setFailing sets whether the store is failing.
func (q *Queue) setFailing(failing bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.failing = failing
}

// useStore puts an open store into use and adjusts the clock to the latest time in it.
func (q *Queue) useStore(s *Store) {
	s.View(func(t *Tx) error {
		if micros := t.counter(metaLatest); micros > 0 {
			q.clock.advancePast(time.UnixMicro(int64(micros)))
		}
		return nil
	})
	if q.clock.wentBack {
		q.log.Warn("wall clock was set back while the sender was down; the age of earlier attempts is unknown")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.store = s
	q.sweeping = q.settings.HasAfterRule()
}

// runChange runs a change and sends its result to the waiting goroutine.
func (q *Queue) runChange(s *Store, c change) error {
	err := s.Update(func(t *Tx) error {
		if err := c.apply(t); err != nil {
			return err
		}
		return q.saveTime(t)
	})
	c.done <- err
	return err
}

// saveTime stores the current time, so that the next start can detect that the wall clock was set back.
func (q *Queue) saveTime(t *Tx) error {
	return t.Bucket(bucketMeta).Put([]byte(metaLatest), encodeUint(uint64(q.clock.now().UnixMicro())))
}

// iterate writes queued items. Once none are left it runs the due maintenance and redeliveries. It returns the time
// until the next iteration is due.
func (q *Queue) iterate(s *Store) (time.Duration, error) {
	more, err := q.writeItems(s)
	if err != nil || more {
		return 0, err
	}
	return q.maintain(s)
}

// writeItems writes a batch of items, and the keys that were claimed before the store was open. It reports whether
// items remain.
func (q *Queue) writeItems(s *Store) (more bool, err error) {
	q.mu.Lock()
	items := q.items[:min(len(q.items), maxBatch)]
	claims := maps.Clone(q.pendingClaims)
	q.mu.Unlock()
	if len(items)+len(claims) == 0 {
		return false, nil
	}
	var written writtenBatch
	err = s.Update(func(t *Tx) error {
		written = writtenBatch{}
		for _, x := range items {
			written.now = q.clock.now()
			if err := x.write(q, t, &written); err != nil {
				return err
			}
		}
		for c := range claims {
			if err := q.supersede(t, c[0], c[1]); err != nil {
				return err
			}
		}
		return q.saveTime(t)
	})
	if err != nil {
		return false, err
	}
	remaining := q.itemsWritten(items, claims, written.ended)
	if len(written.stored) > 0 {
		q.loop.Post(state.DeadLettersStored{Numbers: written.stored})
	}
	return remaining > 0, nil
}

// itemsWritten removes a stored batch from the queue and returns the number of remaining items.
func (q *Queue) itemsWritten(items []item, claims map[[2]string]bool, ended []endedRedelivery) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = q.items[len(items):]
	for _, x := range items {
		if isNew(x) {
			q.newDeadLetters--
		}
	}
	for c := range claims {
		delete(q.pendingClaims, c)
	}
	for _, e := range ended {
		if destination, granted := q.granted[e.sequence]; granted {
			delete(q.granted, e.sequence)
			q.planner.RedeliveryEnded(q.plannerTime(), destination, e.admitted)
		}
	}
	return len(q.items)
}
