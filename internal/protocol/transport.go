package protocol

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// maxHealthChecks is the maximum number of concurrent health checks.
const maxHealthChecks = 32

// EventPoster is the interface for posting events. The event loop implements it.
type EventPoster interface{ Post(event state.Event) }

// Transport sends calls and health checks to endpoints, each on its own goroutine, and posts their results as events.
// Its methods are safe for concurrent use.
type Transport struct {
	events           EventPoster
	log              *slog.Logger
	pool             *connPool
	healthCheckSlots chan struct{} // holds a token for each health check in progress
	dial             func(ctx context.Context, addr string) (*bufferedConn, error)

	mu       sync.Mutex
	inFlight map[*state.Call]*inFlightCall
}

var _ state.Transport = (*Transport)(nil)

// NewTransport returns a transport that keeps up to maxIdleConns idle connections for reuse. idleTimeout is the time
// after which endpoints close an idle connection.
func NewTransport(events EventPoster, idleTimeout time.Duration, maxIdleConns int, log *slog.Logger) *Transport {
	return &Transport{
		events: events, log: log, pool: newConnPool(idleTimeout, maxIdleConns), dial: dial,
		healthCheckSlots: make(chan struct{}, maxHealthChecks), inFlight: map[*state.Call]*inFlightCall{},
	}
}

// Run closes idle connections before their endpoints close them. It returns when the context is done.
func (t *Transport) Run(ctx context.Context) { t.pool.run(ctx) }

// Send sends a call and posts state.CallEnded for its attempts. Attempts of one call may end at different times and
// are then reported in separate events. The controller limits the number of calls in flight.
func (t *Transport) Send(c *state.Call) {
	last := c.Attempts[0].Deadline
	for _, a := range c.Attempts {
		if a.Deadline.After(last) {
			last = a.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), last)
	f := &inFlightCall{
		Transport: t, call: c, ctx: ctx, cancel: cancel, startedAt: time.Now(),
		attempts: c.Attempts, ended: make([]bool, len(c.Attempts)),
	}
	t.mu.Lock()
	t.inFlight[c] = f
	t.mu.Unlock()
	go func() {
		defer cancel()
		f.run()
		t.mu.Lock()
		delete(t.inFlight, c)
		t.mu.Unlock()
	}()
}

// Cancel cancels a call in flight and closes its connection.
func (t *Transport) Cancel(c *state.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.inFlight[c]; f != nil {
		f.cancel()
	}
}

// CancelUnsent cancels a call that is still waiting for a connection. It has no effect once the call is being sent.
func (t *Transport) CancelUnsent(c *state.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.inFlight[c]; f != nil && f.advance(callCanceled) {
		f.cancel()
	}
}

// Disconnect closes the idle connections to an endpoint.
func (t *Transport) Disconnect(endpoint string) { t.pool.closeIdle(endpoint) }

// HealthCheck sends a health check to an endpoint and posts state.HealthChecked with the result by the deadline. The
// result is control.Unknown if maxHealthChecks are already in progress.
func (t *Transport) HealthCheck(target state.Target, deadline time.Time) {
	id := target.Endpoint.ID
	select {
	case t.healthCheckSlots <- struct{}{}:
	default:
		go t.events.Post(state.HealthChecked{Target: id, Result: control.Unknown})
		return
	}
	go func() {
		defer func() { <-t.healthCheckSlots }()
		startedAt := time.Now()
		result := t.checkHealth(target, deadline)
		t.events.Post(state.HealthChecked{Target: id, Result: result, Elapsed: time.Since(startedAt)})
	}()
}

func (t *Transport) checkHealth(target state.Target, deadline time.Time) control.Result {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := t.connect(ctx, target)
	if err != nil {
		return control.ConnectFailed
	}
	h := httpClient{addr: target.Addr, conn: c}
	e, err := h.do(ctx, http.MethodGet, "/ping", nil, deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return control.TimedOut
	case err != nil:
		return control.ConnectionLost
	}
	if h.conn != nil {
		t.pool.put(target.ID, h.conn)
	}
	return resultOfStatus(e.status)
}

// connect returns an idle connection to the target from the pool, or dials a new one.
func (t *Transport) connect(ctx context.Context, target state.Target) (*bufferedConn, error) {
	if c := t.pool.get(target.ID, target.Addr); c != nil {
		return c, nil
	}
	return t.dial(ctx, target.Addr)
}
