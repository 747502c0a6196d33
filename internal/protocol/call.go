package protocol

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/httpconn"
	"cleathold/internal/state"
)

const (
	// callResponseTimeout limits the time to receive the response to a call from its first byte on.
	callResponseTimeout = 300 * time.Millisecond

	// retryAfterTimeout is the time for which the end of the connection is awaited after a response with Retry-After.
	// Calls may arrive for 100 ms after such a response was written, and none afterwards.
	retryAfterTimeout = 50 * time.Millisecond
)

// emptyKeyPlaceholder is written in a batch frame in place of the idempotency key if the message has none.
const emptyKeyPlaceholder = "-"

// A callState is the state of a call in flight. It changes once, from callConnecting to one of the other states.
type callState int32

const (
	callConnecting callState = iota
	callSending
	callCanceled // canceled before its first byte was sent
)

// An inFlightCall is a call in flight. It runs on its own goroutine.
type inFlightCall struct {
	*Transport
	call      *state.Call
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	sentAt    time.Time    // when writing the request began; zero before that
	state     atomic.Int32 // a callState

	attempts []*state.Attempt // the attempts of the call that are sent
	ended    []bool           // ended[i] reports whether attempts[i] has ended
}

// advance changes the state from callConnecting to next. It reports false if the state has changed before.
func (f *inFlightCall) advance(next callState) bool {
	return f.state.CompareAndSwap(int32(callConnecting), int32(next))
}

// run sends the call on a connection of its own and waits for its response.
func (f *inFlightCall) run() {
	// The endpoint processes no message of the call before the last byte is written, so any earlier failure means that
	// none was processed.
	c, err := f.openConnection()
	unsent := !f.advance(callSending)
	if err == nil {
		defer c.Close()
	}
	switch {
	case unsent:
		f.endAll(control.NotSent)
	case err != nil:
		f.endAll(control.ConnectFailed)
	case f.dropEnded():
		f.transmit(c)
	}
}

// transmit sends the call on an open connection and waits for its response. It closes the connection before it posts
// the results: they may trigger the next call to this endpoint, which should find the connection's capacity free.
func (f *inFlightCall) transmit(c *httpconn.Conn) {
	stop := httpconn.InterruptOnDone(f.ctx, c)
	defer stop()
	early := !c.OpenWithoutInput()
	if early {
		f.counters.earlyInput.Add(1)
	}
	if early || !f.writeRequest(c) {
		result := f.resultBeforeSent(c)
		c.Close()
		f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return result, true })
		return
	}
	x := f.readExchange(c)
	c.Close()
	f.endExchange(c.LocalAddr().String(), x)
}

// openConnection dials a connection. Attempts whose send deadline passes meanwhile end with control.ConnectFailed; the
// remaining attempts continue to wait.
func (f *inFlightCall) openConnection() (*httpconn.Conn, error) {
	defer f.endOverdue(control.ConnectFailed, sendDeadline) // no attempt may be sent after its send deadline
	ctx, cancel := context.WithDeadline(f.ctx, f.call.ConnectBy)
	defer cancel()
	type dialResult struct {
		c   *httpconn.Conn
		err error
	}
	dialed := make(chan dialResult, 1)
	go func() {
		c, err := f.dial(ctx, f.call.Target.Addr)
		dialed <- dialResult{c, err}
	}()
	for {
		var overdue <-chan time.Time
		if next, ok := f.nextDeadline(sendDeadline); ok {
			overdue = time.After(time.Until(next))
		}
		select {
		case d := <-dialed:
			return d.c, d.err
		case <-overdue:
			f.endOverdue(control.ConnectFailed, sendDeadline)
		}
	}
}

// dropEnded removes the attempts that ended before the call is sent, and reports whether any remain.
func (f *inFlightCall) dropEnded() bool {
	var live []*state.Attempt // a new slice, because the event loop owns the one in the call
	for i, a := range f.attempts {
		if !f.ended[i] {
			live = append(live, a)
		}
	}
	f.attempts, f.ended = live, make([]bool, len(live))
	return len(live) > 0
}

// writeRequest writes the request and reports whether its last byte was written. From then on the endpoint may have
// processed the call. If the send deadline of any attempt passes during the write, the whole call fails, because a
// single attempt can't be removed from a partly written request.
func (f *inFlightCall) writeRequest(c *httpconn.Conn) bool {
	head, body := f.encodeRequest()
	next, _ := f.nextDeadline(sendDeadline)
	c.SetWriteDeadline(next)
	if f.ctx.Err() != nil { // the context may have ended before SetWriteDeadline, which then overrode the interrupt
		return false
	}
	f.sentAt = time.Now()
	n, err := c.Write(append(head, body...))
	return err == nil || n == len(head)+len(body)
}

// encodeRequest encodes the head and body of the request: a single message, or a batch of message frames.
func (f *inFlightCall) encodeRequest() (head, body []byte) {
	var h bytes.Buffer
	addr := f.call.Target.Addr
	if len(f.attempts) == 1 {
		m := f.attempts[0].Message
		h.WriteString("POST /receive HTTP/1.1\r\nHost: " + addr + "\r\nX-Request-Id: " + m.ID + "\r\n")
		if m.Key != "" {
			h.WriteString("Idempotency-Key: " + m.Key + "\r\n")
		}
		body = m.Body
	} else {
		h.WriteString("POST /receive-many HTTP/1.1\r\nHost: " + addr + "\r\n")
		body = encodeBatch(f.attempts)
	}
	deadline, _ := f.ctx.Deadline()
	h.WriteString("X-Deadline: " + formatSeconds(time.Until(deadline)) + "\r\n")
	h.WriteString("Connection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	return h.Bytes(), body
}

// encodeBatch encodes each message as a frame: a line with its ID, key and body length, followed by the body.
func encodeBatch(attempts []*state.Attempt) []byte {
	var b bytes.Buffer
	for _, a := range attempts {
		key := a.Message.Key
		if key == "" {
			key = emptyKeyPlaceholder
		}
		b.WriteString(a.Message.ID + " " + key + " " + strconv.Itoa(len(a.Message.Body)) + "\r\n")
		b.Write(a.Message.Body)
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// readExchange reads the responses to a call whose request was written completely, until the endpoint closes the
// connection.
func (f *inFlightCall) readExchange(c *httpconn.Conn) httpconn.Exchange {
	return c.ReadExchange(httpconn.ReadOptions{
		Method: http.MethodPost, MaxBody: state.MaxBody, ResponseTimeout: callResponseTimeout,
		Await: func(received []httpconn.Response) error { return f.awaitByte(c, received) },
	})
}

// awaitByte waits for the first byte of a response or the end of the connection. Attempts whose deadline passes before
// that end with control.TimedOut; the remaining attempts of the call continue to wait.
func (f *inFlightCall) awaitByte(c *httpconn.Conn, received []httpconn.Response) error {
	var settleBy time.Time // zero: no limit
	if maxRetryAfter(received) > 0 {
		settleBy = time.Now().Add(retryAfterTimeout)
	}
	for {
		next, limited := f.nextDeadline(responseDeadline)
		if !settleBy.IsZero() && (!limited || settleBy.Before(next)) {
			next = settleBy
		}
		c.SetReadDeadline(next)
		if f.ctx.Err() != nil { // the context may have ended before SetReadDeadline, which then overrode the interrupt
			return f.ctx.Err()
		}
		_, err := c.Reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.SetReadDeadline(time.Time{})
			return err
		}
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		f.endOverdue(control.TimedOut, responseDeadline)
		if !settleBy.IsZero() && !time.Now().Before(settleBy) {
			return err
		}
	}
}

// nextDeadline returns the earliest deadline among the attempts that have not ended, if it is before the deadline of
// the whole call. Otherwise it returns the zero time, which clears a connection's deadline, and false.
func (f *inFlightCall) nextDeadline(deadline func(*state.Attempt) time.Time) (next time.Time, ok bool) {
	last, _ := f.ctx.Deadline()
	for i, a := range f.attempts {
		if t := deadline(a); !f.ended[i] && t.Before(last) && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	return next, ok
}

// responseDeadline returns the time until which to wait for the response to an attempt that was sent.
func responseDeadline(a *state.Attempt) time.Time { return a.Deadline }

// sendDeadline returns the time after which an attempt must not be sent.
func sendDeadline(a *state.Attempt) time.Time {
	if !a.NotAfter.IsZero() && a.NotAfter.Before(a.Deadline) {
		return a.NotAfter
	}
	return a.Deadline
}
