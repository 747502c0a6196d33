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

// Once a response has begun its rest must come within these. Of a 200 to a single message only the status line matters.
const (
	responseTailTimeout = 300 * time.Millisecond
	servedTailTimeout   = 50 * time.Millisecond
)

// emptyKeyPlaceholder stands in the frame of a message that has no idempotency key.
const emptyKeyPlaceholder = "-"

// errMalformedResponse tells of a response that came and can't be read.
var errMalformedResponse = errors.New("response can't be read")

// A callState is how far a call has come. It leaves callConnecting once, for one of the others.
type callState int32

const (
	callConnecting callState = iota
	callSending
	callCanceled // canceled before any byte of it was sent
)

// An inFlightCall is one call under way, on a goroutine of its own.
type inFlightCall struct {
	*Transport
	call      *state.Call
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	sentAt    time.Time    // when its first byte was written; zero: not yet
	state     atomic.Int32 // a callState

	attempts []*state.Attempt // of the call, those that are sent with it...
	ended    []bool           // ...and which of them have ended
}

// advance leaves callConnecting, unless the call has left it.
func (f *inFlightCall) advance(next callState) bool {
	return f.state.CompareAndSwap(int32(callConnecting), int32(next))
}

// run sends the call and waits for its response.
func (f *inFlightCall) run() {
	id := f.call.Target.ID
	// Before the last byte is written nothing has run, whatever went wrong.
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

// transmit sends the call on a connection that is up, and waits for its response.
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
	// The connection first, then the results: with these comes the next call to this endpoint, which should find the
	// connection idle and the capacity free.
	c.SetReadDeadline(time.Time{})
	if stop() && err == nil && !r.closes {
		f.pool.put(f.call.Target.ID, c)
	} else {
		c.Close()
	}
	f.endAnswered(r, err)
}

// openConnection takes an idle connection, or opens one. It may come up late: attempts that must not be sent any more
// end then as those that got none, and the others wait on.
func (f *inFlightCall) openConnection() (*bufferedConn, error) {
	target := f.call.Target
	defer f.endOverdue(control.ConnectFailed, sendDeadline) // nothing is sent after its time
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

// dropEnded leaves out the attempts that ended before the call is sent, and reports whether any is left.
func (f *inFlightCall) dropEnded() bool {
	var live []*state.Attempt // the call's own slice is the loop's
	for i, a := range f.attempts {
		if !f.ended[i] {
			live = append(live, a)
		}
	}
	f.attempts, f.ended = live, make([]bool, len(live))
	return len(live) > 0
}

// writeRequest writes the call, and reports whether its last byte was written: from then on it may have run. An attempt
// whose time comes in the middle of it ends the whole call: it can't be taken out any more.
func (f *inFlightCall) writeRequest(c *bufferedConn) bool {
	head, body := f.encodeRequest()
	next, _ := f.nextDeadline(sendDeadline)
	c.SetWriteDeadline(next)
	if f.ctx.Err() != nil { // it ended while the deadline was moved
		return false
	}
	f.sentAt = time.Now()
	n, err := c.Write(append(head, body...))
	return err == nil || n == len(head)+len(body)
}

// encodeRequest writes a call of one message, or of several as a batch of frames.
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

// encodeBatch writes each message as a line with id, key and length, and its bytes.
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

// readResponse reads the response to a call that was written.
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

// statusSuffices reports whether a status line is all there is to know of a call.
func (f *inFlightCall) statusSuffices(firstStatus int) bool {
	return firstStatus == http.StatusOK && len(f.attempts) == 1
}

// awaitFirstByte waits for the first byte of the response. Attempts whose own deadline comes before that end as timed
// out, while the others of the call wait on.
func (f *inFlightCall) awaitFirstByte(c *bufferedConn) error {
	for {
		next, _ := f.nextDeadline(responseDeadline)
		c.SetReadDeadline(next)
		if f.ctx.Err() != nil { // it ended while the deadline was moved
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

// nextDeadline is the earliest deadline of an attempt that waits, if the call itself ends later; the zero time, for
// none, lifts a connection's deadline.
func (f *inFlightCall) nextDeadline(deadline func(*state.Attempt) time.Time) (next time.Time, ok bool) {
	last, _ := f.ctx.Deadline()
	for i, a := range f.attempts {
		if t := deadline(a); !f.ended[i] && t.Before(last) && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	return next, ok
}

// responseDeadline is how long the response to an attempt that was sent is awaited.
func responseDeadline(a *state.Attempt) time.Time { return a.Deadline }

// sendDeadline is the time after which an attempt must not be sent.
func sendDeadline(a *state.Attempt) time.Time {
	if !a.NotAfter.IsZero() && a.NotAfter.Before(a.Deadline) {
		return a.NotAfter
	}
	return a.Deadline
}
