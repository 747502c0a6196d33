package protocol

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// Send: the fourth stage. A call goes out on a connection of its own; what
// comes back is read by the next stage, relay.

// EventPoster takes events; the loop is one.
type EventPoster interface{ Post(event state.Event) }

// Transport carries calls and probes to targets.
type Transport struct {
	events       EventPoster
	log          *slog.Logger
	pool         *connPool
	healthChecks chan struct{} // holds a token for each probe out
	dial         func(ctx context.Context, addr string) (*bufferedConn, error)

	mu       sync.Mutex
	inFlight map[*state.Call]*inFlightCall
}

var _ state.Transport = (*Transport)(nil)

// maxHealthChecks bounds the probes out at once.
const maxHealthChecks = 32

// NewTransport returns a sender whose connections may lie idle for so long at
// the target, and which keeps so many at most.
func NewTransport(post EventPoster, idle time.Duration, most int, log *slog.Logger) *Transport {
	return &Transport{
		events: post, log: log, pool: newConnPool(idle, most), healthChecks: make(chan struct{}, maxHealthChecks), dial: dial,
		inFlight: map[*state.Call]*inFlightCall{},
	}
}

// Run drops connections before their targets do, until the context ends.
func (s *Transport) Run(ctx context.Context) { s.pool.run(ctx) }

// Send sends a call on a goroutine of its own. The controller's slots bound
// how many there are.
func (s *Transport) Send(c *state.Call) {
	last := c.Attempts[0].Deadline
	for _, f := range c.Attempts {
		if f.Deadline.After(last) {
			last = f.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), last)
	f := &inFlightCall{Transport: s, call: c, ctx: ctx, cancel: cancel, startedAt: time.Now(), attempts: c.Attempts, ended: make([]bool, len(c.Attempts))}
	s.mu.Lock()
	s.inFlight[c] = f
	s.mu.Unlock()
	go func() {
		defer cancel()
		f.run()
		s.mu.Lock()
		delete(s.inFlight, c)
		s.mu.Unlock()
	}()
}

// Cancel gives a call up by closing its connection.
func (s *Transport) Cancel(c *state.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.inFlight[c]; f != nil {
		f.cancel()
	}
}

// CancelUnsent ends a call that still waits for its connection.
func (s *Transport) CancelUnsent(c *state.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.inFlight[c]; f != nil && f.state.CompareAndSwap(connecting, canceledUnsent) {
		f.cancel()
	}
}

// Disconnect closes the idle connections to a target.
func (s *Transport) Disconnect(target string) { s.pool.closeIdle(target) }

// HealthCheck asks a target how it is, on a goroutine of its own.
func (s *Transport) HealthCheck(t state.Target, deadline time.Time) {
	select {
	case s.healthChecks <- struct{}{}:
	default:
		go s.events.Post(state.HealthChecked{Target: t.Endpoint.ID, Result: control.Unknown})
		return
	}
	go func() {
		defer func() { <-s.healthChecks }()
		began := time.Now()
		r := s.checkHealth(t, deadline)
		s.events.Post(state.HealthChecked{Target: t.Endpoint.ID, Result: r, Elapsed: time.Since(began)})
	}()
}

func (s *Transport) checkHealth(t state.Target, deadline time.Time) control.Result {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	l, err := s.connect(ctx, t)
	if err != nil {
		return control.ConnectFailed
	}
	d := httpClient{addr: t.Addr, conn: l}
	said, err := d.do(ctx, http.MethodGet, "/ping", nil, deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return control.TimedOut
	case err != nil:
		return control.ConnectionLost
	}
	if d.conn != nil {
		s.pool.put(t.ID, d.conn)
	}
	return resultOfStatus(said.status)
}

// connect takes a connection that lies idle, or opens one.
func (s *Transport) connect(ctx context.Context, t state.Target) (*bufferedConn, error) {
	if l := s.pool.get(t.ID, t.Addr); l != nil {
		return l, nil
	}
	return s.dial(ctx, t.Addr)
}

// A inFlightCall is one call on its way.
type inFlightCall struct {
	*Transport
	call      *state.Call
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	sentAt    time.Time // when its first byte was written; zero: not yet
	state     atomic.Int32

	attempts []*state.Attempt // of the call, those that go out with it...
	ended    []bool           // ...and which of them have ended
}

// The stages of a flight, of which it leaves the first one for one of the others.
const (
	connecting int32 = iota
	sending
	canceledUnsent
)

// run sends the call and waits for its answer.
func (f *inFlightCall) run() {
	t := f.call.Target
	// Before the last byte is written nothing has run, whatever went wrong.
	l, err := f.openConnection()
	if !f.state.CompareAndSwap(connecting, sending) {
		if err == nil {
			f.pool.put(t.ID, l)
		}
		f.endAll(control.NotSent)
		return
	}
	if err != nil {
		f.endAll(control.ConnectFailed)
		return
	}
	if !f.dropEnded() {
		f.pool.put(t.ID, l)
		return
	}
	f.transmit(l)
}

// transmit sends the call on a connection that is up, and waits for its answer.
func (f *inFlightCall) transmit(l *bufferedConn) {
	stop := interruptOnDone(f.ctx, l)
	if !f.writeRequest(l) {
		e := f.resultBeforeSent(l)
		stop()
		l.Close()
		f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return e, true })
		return
	}
	r, err := f.readResponse(l)
	// The connection first, then the news: with the news comes the next call to
	// this target, which should find the connection idle and the slot free.
	l.SetReadDeadline(time.Time{})
	if stop() && err == nil && !r.closes {
		f.pool.put(f.call.Target.ID, l)
	} else {
		l.Close()
	}
	f.endAnswered(r, err)
}

// openConnection takes a connection that lies idle, or opens one. It may come up late: forwards that must not leave any
// more end as those that got none, and the others wait on.
func (f *inFlightCall) openConnection() (*bufferedConn, error) {
	t := f.call.Target
	defer f.endOverdue(control.ConnectFailed, sendDeadline) // nothing goes out after its time
	if l := f.pool.get(t.ID, t.Addr); l != nil {
		return l, nil
	}
	dialing, cancel := context.WithDeadline(f.ctx, f.call.ConnectBy)
	defer cancel()
	type dialed struct {
		l   *bufferedConn
		err error
	}
	up := make(chan dialed, 1)
	go func() {
		l, err := f.dial(dialing, t.Addr)
		up <- dialed{l, err}
	}()
	for {
		var late <-chan time.Time
		if next, ok := f.nextDeadline(sendDeadline); ok {
			late = time.After(time.Until(next))
		}
		select {
		case d := <-up:
			return d.l, d.err
		case <-late:
			f.endOverdue(control.ConnectFailed, sendDeadline)
		}
	}
}

// dropEnded leaves out the forwards that ended before the call goes out, and tells whether any is left.
func (f *inFlightCall) dropEnded() bool {
	var live []*state.Attempt // the call's own list is the loop's
	for i, w := range f.attempts {
		if !f.ended[i] {
			live = append(live, w)
		}
	}
	f.attempts, f.ended = live, make([]bool, len(live))
	return len(live) > 0
}

// writeRequest writes the call, and tells whether its last byte was written, from when on it may have run. A forward whose
// time comes in the middle of it ends the whole call: it can't be taken out any more.
func (f *inFlightCall) writeRequest(l *bufferedConn) bool {
	head, body := f.encodeRequest()
	next, _ := f.nextDeadline(sendDeadline)
	l.SetWriteDeadline(next)
	if f.ctx.Err() != nil { // it ended while the deadline was moved
		return false
	}
	f.sentAt = time.Now()
	n, err := l.Write(append(head, body...))
	return err == nil || n == len(head)+len(body)
}

// resultBeforeSent is the end of a call that was broken off before its last byte was written. It has not run. What the target has
// answered by then may tell that it turns calls away, and a wait that binds.
func (f *inFlightCall) resultBeforeSent(l *bufferedConn) state.AttemptResult {
	e := state.AttemptResult{Result: control.ConnectFailed}
	if f.ctx.Err() != nil {
		return e
	}
	l.readLimit.N = maxHeaderBytes
	r, err := l.readResponse(http.MethodPost, state.MaxBody, func(int) time.Time { return time.Now().Add(servedTailTimeout) })
	if f.ctx.Err() != nil || err != nil || resultOfStatus(r.status) != control.Rejected {
		return e
	}
	return resultOfResponse(r)
}

// encodeRequest writes a single call, or one of several messages as frames.
func (f *inFlightCall) encodeRequest() (head, body []byte) {
	var h bytes.Buffer
	c := f.call
	if len(f.attempts) == 1 {
		m := f.attempts[0].Message
		h.WriteString("POST /receive HTTP/1.1\r\nHost: " + c.Target.Addr + "\r\nX-Request-Id: " + m.ID + "\r\n")
		if m.Key != "" {
			h.WriteString("Idempotency-Key: " + m.Key + "\r\n")
		}
		body = m.Body
	} else {
		h.WriteString("POST /receive-many HTTP/1.1\r\nHost: " + c.Target.Addr + "\r\n")
		body = encodeBatch(f.attempts)
	}
	deadline, _ := f.ctx.Deadline()
	h.WriteString("X-Deadline: " + formatSeconds(time.Until(deadline)) + "\r\n")
	h.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	return h.Bytes(), body
}

// encodeBatch writes each message as a line with id, key and length and its bytes.
func encodeBatch(forwards []*state.Attempt) []byte {
	var b bytes.Buffer
	for _, f := range forwards {
		key := f.Message.Key
		if key == "" {
			key = "-"
		}
		b.WriteString(f.Message.ID + " " + key + " " + strconv.Itoa(len(f.Message.Body)) + "\r\n")
		b.Write(f.Message.Body)
		b.WriteString("\r\n")
	}
	return b.Bytes()
}
