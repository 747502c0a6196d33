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
	"cleathold/internal/httpconn"
	"cleathold/internal/state"
)

// maxHealthChecks is the maximum number of concurrent health checks.
const maxHealthChecks = 32

// EventPoster is the interface for posting events. The event loop implements it.
type EventPoster interface{ Post(event state.Event) }

// Transport sends calls and health checks to endpoints, each on its own goroutine and on a connection of its own, and
// posts their results as events.
// Its methods are safe for concurrent use.
type Transport struct {
	events           EventPoster
	log              *slog.Logger
	counters         *TransportCounters
	announcements    closeAnnouncements
	healthCheckSlots chan struct{} // holds a token for each health check in progress
	dial             func(ctx context.Context, addr string) (*httpconn.Conn, error)

	mu       sync.Mutex
	inFlight map[*state.Call]*inFlightCall
}

var _ state.Transport = (*Transport)(nil)

// NewTransport returns a transport.
func NewTransport(events EventPoster, log *slog.Logger) *Transport {
	t := &Transport{
		events: events, log: log, counters: &TransportCounters{},
		healthCheckSlots: make(chan struct{}, maxHealthChecks), inFlight: map[*state.Call]*inFlightCall{},
	}
	t.dial = t.dialCounted
	return t
}

// SetCounters sets the counters, which may be shared by several transports. It must be called before the first call.
func (t *Transport) SetCounters(c *TransportCounters) { t.counters = c }

// dialCounted opens a connection and counts it.
func (t *Transport) dialCounted(ctx context.Context, addr string) (*httpconn.Conn, error) {
	c, err := httpconn.Dial(ctx, addr)
	t.counters.countDial(err)
	return c, err
}

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
	client := httpClient{addr: target.Addr, maxBody: maxAcknowledgmentBytes, dial: t.dial}
	e, err := client.do(context.Background(), http.MethodGet, "/ping", nil, deadline)
	var doubt *httpconn.DoubtError
	switch {
	case err == nil:
		return resultOfStatus(e.status)
	case !errors.As(err, &doubt):
		return control.ConnectFailed
	}
	t.counters.doubtful[doubt.Doubt].Add(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return control.TimedOut
	}
	return control.ConnectionLost
}
