package handover

import (
	"context"
	"sync"

	"cleathold/internal/state"
)

// ResultQueue collects the results of attempts that were in flight when an event loop handed over. Its size is bounded
// by the sender's limit of calls in flight. It is safe for concurrent use.
type ResultQueue struct {
	mu      sync.Mutex
	results []state.RemoteResult
	last    bool
	changed chan struct{} // closed and replaced when a result is added
}

// NewResultQueue returns an empty queue.
func NewResultQueue() *ResultQueue { return &ResultQueue{changed: make(chan struct{})} }

var _ state.Successor = (*ResultQueue)(nil)

// RemoteResult adds the result of an attempt. The zero value is not added; it only carries last.
func (q *ResultQueue) RemoteResult(r state.RemoteResult, last bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r != (state.RemoteResult{}) {
		q.results = append(q.results, r)
	}
	q.last = q.last || last
	close(q.changed)
	q.changed = make(chan struct{})
}

// Drained returns a channel that is closed once no attempt is in flight any more or the context is done.
func (q *ResultQueue) Drained(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.forEach(ctx, func(*state.RemoteResult, bool) error { return nil })
	}()
	return done
}

// EventPoster receives events. The event loop implements it.
type EventPoster interface{ Post(event state.Event) }

// PostTo posts the results to the event loop of the same process after a failed hand-over, as they arrive.
func (q *ResultQueue) PostTo(ctx context.Context, poster EventPoster) {
	q.forEach(ctx, func(r *state.RemoteResult, last bool) error {
		if r != nil {
			poster.Post(*r)
		}
		if last {
			poster.Post(state.PredecessorLost{})
		}
		return nil
	})
}

// forEach calls handle with each result as it arrives, until the last one, the end of the context or an error.
func (q *ResultQueue) forEach(ctx context.Context, handle func(r *state.RemoteResult, last bool) error) error {
	for i := 0; ; i++ {
		r, last, ok := q.next(ctx, i)
		if !ok {
			return ctx.Err()
		}
		if err := handle(r, last); err != nil || last {
			return err
		}
	}
}

// next waits for the result with the given index, and returns it and whether it is the last. A nil result with last set
// means that no results remain; ok is false once the context is done.
func (q *ResultQueue) next(ctx context.Context, i int) (r *state.RemoteResult, last, ok bool) {
	for {
		r, last, changed := q.peek(i)
		if r != nil || last {
			return r, last, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, false
		}
	}
}

// peek returns the result with the given index, if it has arrived, and whether it is the last. Otherwise it returns a
// channel that is closed with the next change.
func (q *ResultQueue) peek(i int) (r *state.RemoteResult, last bool, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i < len(q.results) {
		return &q.results[i], q.last && i == len(q.results)-1, nil
	}
	return nil, q.last, q.changed
}
