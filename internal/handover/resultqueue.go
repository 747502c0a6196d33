package handover

import (
	"context"
	"sync"

	"cleathold/internal/state"
)

// ResultQueue collects the results of attempts that are in flight when a loop hands over: at most as many as the
// sender may have in flight. It is safe for concurrent use.
type ResultQueue struct {
	mu      sync.Mutex
	results []state.RemoteResult
	last    bool
	changed chan struct{} // closed and made anew with each result
}

// NewResultQueue returns one in which nothing is known yet.
func NewResultQueue() *ResultQueue { return &ResultQueue{changed: make(chan struct{})} }

var _ state.Successor = (*ResultQueue)(nil)

// RemoteResult adds the result of an attempt; one without a target only tells that there are no more.
func (q *ResultQueue) RemoteResult(r state.RemoteResult, last bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Target != "" {
		q.results = append(q.results, r)
	}
	q.last = q.last || last
	close(q.changed)
	q.changed = make(chan struct{})
}

// Drained returns a channel that is closed once nothing is in flight any more, or the context has ended.
func (q *ResultQueue) Drained(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.forEach(ctx, func(*state.RemoteResult, bool) error { return nil })
	}()
	return done
}

// EventPoster takes events; the loop is one.
type EventPoster interface{ Post(event state.Event) }

// PostTo posts all of it to the loop of a process that took back what it handed over.
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

// forEach goes through all of it as it comes, until the last, the end of the context or an error.
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

// next returns the result with that index, waiting for it, and whether it is the last. Nil: there is none, nor will
// be.
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

// peek returns the result with that index, if it is there, and whether it is the last; else when to look again.
func (q *ResultQueue) peek(i int) (r *state.RemoteResult, last bool, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i < len(q.results) {
		return &q.results[i], q.last && i == len(q.results)-1, nil
	}
	return nil, q.last, q.changed
}
