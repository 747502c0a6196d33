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
	"cleathold/internal/state"
)

// Time limits for the remainder of a response after its first byte. servedTailTimeout applies to a 200 response to a
// single message, of which only the status line matters.
const (
	responseTailTimeout = 300 * time.Millisecond
	servedTailTimeout   = 50 * time.Millisecond
)

// emptyKeyPlaceholder is written in a batch frame in place of the idempotency key if the message has none.
const emptyKeyPlaceholder = "-"

// errMalformedResponse is returned if a response was received but can't be parsed.
var errMalformedResponse = errors.New("malformed response")

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

// run sends the call and waits for its response.
func (f *inFlightCall) run() {
	id := f.call.Target.ID
	// The endpoint processes no message of the call before the last byte is written, so any earlier failure means that
	// none was processed.
	c, err := f.openConnection()
	if !f.advance(callSending) {
		if err == nil {
			f.pool.put(id, c)
		}
		f.endAll(control.NotSent)
		return
	}
	if err != nil {
		f.endAll(control.ConnectFailed)
		return
	}
	if !f.dropEnded() {
		f.pool.put(id, c)
		return
	}
	f.transmit(c)
}

// transmit sends the call on an open connection and waits for its response.
func (f *inFlightCall) transmit(c *bufferedConn) {
	stop := interruptOnDone(f.ctx, c)
	if !f.writeRequest(c) {
		result := f.resultBeforeSent(c)
		stop()
		c.Close()
		f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return result, true })
		return
	}
	r, err := f.readResponse(c)
	// Return the connection before posting the results: the results may trigger the next call to this endpoint, which
	// should find the connection idle and the capacity free.
	c.SetReadDeadline(time.Time{})
	if stop() && err == nil && !r.closes {
		f.pool.put(f.call.Target.ID, c)
	} else {
		c.Close()
	}
	f.endAnswered(r, err)
}

// openConnection returns an idle connection from the pool, or dials a new one. Attempts whose send deadline passes
// while it dials end with control.ConnectFailed; the remaining attempts continue to wait.
func (f *inFlightCall) openConnection() (*bufferedConn, error) {
	target := f.call.Target
	defer f.endOverdue(control.ConnectFailed, sendDeadline) // no attempt may be sent after its send deadline
	if c := f.pool.get(target.ID, target.Addr); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(f.ctx, f.call.ConnectBy)
	defer cancel()
	type dialResult struct {
		c   *bufferedConn
		err error
	}
	dialed := make(chan dialResult, 1)
	go func() {
		c, err := f.dial(ctx, target.Addr)
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
func (f *inFlightCall) writeRequest(c *bufferedConn) bool {
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
	h.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
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

// readResponse reads the response to a call whose request was written completely.
func (f *inFlightCall) readResponse(c *bufferedConn) (response, error) {
	c.readLimit.N = maxHeaderBytes
	if err := f.awaitFirstByte(c); err != nil {
		return response{closes: true}, err
	}
	startedAt := time.Now()
	r, err := c.readResponse(http.MethodPost, state.MaxBody, func(firstStatus int) time.Time {
		if f.statusSuffices(firstStatus) {
			return startedAt.Add(servedTailTimeout)
		}
		return startedAt.Add(responseTailTimeout)
	})
	if err != nil && f.ctx.Err() == nil {
		err = errMalformedResponse
	}
	return r, err
}

// statusSuffices reports whether the status line alone determines the result of the call.
func (f *inFlightCall) statusSuffices(firstStatus int) bool {
	return firstStatus == http.StatusOK && len(f.attempts) == 1
}

// awaitFirstByte waits for the first byte of the response. Attempts whose deadline passes before that end with
// control.TimedOut; the remaining attempts of the call continue to wait.
func (f *inFlightCall) awaitFirstByte(c *bufferedConn) error {
	for {
		next, _ := f.nextDeadline(responseDeadline)
		c.SetReadDeadline(next)
		if f.ctx.Err() != nil { // the context may have ended before SetReadDeadline, which then overrode the interrupt
			return f.ctx.Err()
		}
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.SetReadDeadline(time.Time{})
			return err
		}
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		f.endOverdue(control.TimedOut, responseDeadline)
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
