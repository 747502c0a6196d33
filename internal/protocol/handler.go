package protocol

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"cleathold/internal/connbudget"
	"cleathold/internal/httpconn"
	"cleathold/internal/state"
)

// busyRetryAfter is the Retry-After of a 503 response to a message on which the event loop made no decision.
const busyRetryAfter = time.Second

// serveRequest reads one request and responds to it. It reports whether the connection may be used for another request.
func (l *Listener) serveRequest(c *clientConn) bool {
	r, err := c.reader.readHead()
	arrived := time.Now()
	if err != nil {
		rejected := c.requestErrorOf(err)
		if rejected == nil {
			c.err = err
			return false
		}
		return l.respondError(c, rejected, true)
	}
	c.ReadLimit.N = state.MaxBody + httpconn.MaxHeaderBytes // covers the body and a part of the next request
	if r.Header.Get("Expect") != "" && r.ContentLength <= state.MaxBody {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	settings := l.settings.Load()
	readBody := func() ([]byte, error) { return l.readBody(c) }
	m, err := parseMessage(r, readBody, arrived, settings.names, settings.classes)
	var rejected *requestError
	errors.As(err, &rejected)
	// Discard a body that was not read, so that it is not parsed as the next request.
	unread := m == nil && (rejected == nil || !rejected.closes) && !c.reader.discardBody()
	c.reader.complete()
	if c.reader.refused() != connbudget.NotRefused { // as its last byte was read; it is served
		c.lastRequest = true
	}
	closeAfter := r.Close || unread || l.closesAfterResponse(c)
	switch {
	case rejected != nil:
		rejected.closes = rejected.closes || unread
		return l.respondError(c, rejected, closeAfter)
	case m == nil:
		return l.respondHealth(c, closeAfter)
	}
	return l.submit(c, m, closeAfter)
}

// readBody reads the body of a request. The error is a requestError.
func (l *Listener) readBody(c *clientConn) ([]byte, error) {
	body, err := c.reader.readBody()
	if err == nil {
		return body, nil
	}
	if rejected := c.requestErrorOf(err); rejected != nil {
		return nil, rejected
	}
	return nil, &requestError{http.StatusBadRequest, "body unreadable", true}
}

// requestErrorOf returns the error response for a request that can't be read, or nil if the connection has ended.
func (c *clientConn) requestErrorOf(err error) *requestError {
	switch {
	case c.reader.refused() == connbudget.ShortMemory:
		return &requestError{http.StatusServiceUnavailable, "too much memory in use by requests", true}
	case c.reader.refused() == connbudget.ShortConnections:
		return &requestError{http.StatusRequestTimeout, "request not whole, and others wait", true}
	case errors.Is(err, httpconn.ErrHeadTooLarge), c.ReadLimit.N <= 0:
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, "head too large", true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &requestError{http.StatusRequestTimeout, "request not whole in time", true}
	case isConnectionEnd(err):
		return nil
	}
	return &requestError{http.StatusBadRequest, "malformed request", true}
}

// isConnectionEnd reports whether err means that the connection has ended, as opposed to a malformed request.
func isConnectionEnd(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

// respondHealth responds to a health check.
func (l *Listener) respondHealth(c *clientConn, closeAfter bool) bool {
	switch {
	case l.closing.Load():
		return l.respond(c, http.StatusServiceUnavailable, 0, "stopping", true)
	case l.drainedSince.Load() != nil:
		return l.respond(c, http.StatusServiceUnavailable, 0, "drained", true)
	}
	return l.respond(c, http.StatusOK, 0, "ok", closeAfter)
}

// submit submits a message to the event loop and sends the client the resulting response.
func (l *Listener) submit(c *clientConn, m *state.Message, closeAfter bool) bool {
	if l.rejectsMessages() {
		return l.respond(c, http.StatusServiceUnavailable, busyRetryAfter, "drained", true)
	}
	if c.PeerClosed() {
		return l.respondClosed(c)
	}
	responses := make(chan state.Response, 1)
	deadline := time.Now().Add(responseTimeout)
	if l.keyClaimer != nil && m.Key != "" && !l.keyClaimer.ClaimKey(m.Class, m.Key, deadline) {
		return l.respond(
			c, http.StatusServiceUnavailable, busyRetryAfter, "a message with this key is on its way", closeAfter)
	}
	submitted := state.Submitted{Message: m, Response: responses, Decision: &state.AdmissionDecision{}}
	queued, reserved := l.reserveQueued(m)
	if submitted.Taken = queued; !reserved || !l.events.PostBefore(submitted, deadline) {
		queued()
		return l.respond(c, http.StatusServiceUnavailable, busyRetryAfter, "busy", closeAfter)
	}
	r, decided := awaitResponse(responses, submitted.Decision, deadline)
	closeAfter = closeAfter || l.closesAfterResponse(c) // a close may have been requested while the message was pending
	switch {
	case !decided:
		return l.respond(c, http.StatusServiceUnavailable, busyRetryAfter, "busy", closeAfter)
	case r.Accepted && c.PeerClosed():
		l.events.Post(state.ResponseWritten{ID: m.ID, OK: false})
		return l.respondClosed(c)
	case r.Accepted:
		err := l.writeResponse(c, http.StatusAccepted, 0, "", closeAfter)
		l.events.Post(state.ResponseWritten{ID: m.ID, OK: err == nil})
		return err == nil && !closeAfter
	case r.Invalid == state.UnknownDestination:
		return l.respond(c, http.StatusBadRequest, 0, "unknown destination", closeAfter)
	case r.Invalid == state.DuplicateID:
		return l.respond(c, http.StatusConflict, 0, "X-Request-Id in use", closeAfter)
	case r.Permanent:
		return l.respond(c, http.StatusInternalServerError, 0, "failed", closeAfter)
	}
	return l.respond(c, http.StatusServiceUnavailable, r.RetryAfter, "come again", closeAfter)
}

// reserveQueued reserves memory for a message in the queue of the event loop, where it stays if the loop hangs, also
// after its client has got its response. The function returns the memory. It reports false if there is none.
func (l *Listener) reserveQueued(m *state.Message) (taken func(), reserved bool) {
	request, now := &connbudget.Request{Interrupt: func(connbudget.Reason) {}}, time.Now()
	l.budget.Begin(request, now)
	reserved = l.budget.Reserve(request, int64(len(m.Body)), now)
	l.budget.Complete(request)
	return func() { l.budget.End(request) }, reserved
}

// respondClosed rejects a message whose client has closed the connection, or has ended its sending, before it was
// accepted: it may submit the message again elsewhere, so this one must not run. A client that still reads gets the
// response.
func (l *Listener) respondClosed(c *clientConn) bool {
	l.counters.abandoned.Add(1)
	return l.respond(c, http.StatusServiceUnavailable, busyRetryAfter, "connection closed by the client", true)
}

// awaitResponse waits until the deadline for the event loop's response to a message. After the deadline it rejects the
// message, so that the loop can't accept it any more, unless the loop has just accepted it.
func awaitResponse(
	responses <-chan state.Response, decision *state.AdmissionDecision, deadline time.Time,
) (r state.Response, decided bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r = <-responses:
		return r, true
	case <-timer.C:
	}
	if decision.Reject() {
		return r, false
	}
	return <-responses, true
}

// respondError responds to a request that is rejected without involving the event loop.
func (l *Listener) respondError(c *clientConn, e *requestError, closeAfter bool) bool {
	return l.respond(c, e.status, 0, e.text, closeAfter || e.closes)
}

// respond writes a response and reports whether the connection may be used for another request.
func (l *Listener) respond(c *clientConn, status int, retryAfter time.Duration, text string, closeAfter bool) bool {
	return l.writeResponse(c, status, retryAfter, text, closeAfter) == nil && !closeAfter
}

// writeResponse writes a response. If closeAfter is set, the response has a Connection: close header.
func (l *Listener) writeResponse(
	c *clientConn, status int, retryAfter time.Duration, text string, closeAfter bool,
) error {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	if retryAfter > 0 {
		b.WriteString("Retry-After: " + formatSeconds(max(retryAfter, time.Millisecond)) + "\r\n")
	}
	if status == http.StatusMethodNotAllowed {
		b.WriteString("Allow: POST, GET\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	if text != "" {
		b.WriteString("Content-Type: text/plain\r\n")
		text += "\n"
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
	c.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := c.Write(b.Bytes()); err != nil {
		c.err = err
		return err
	}
	c.responseOwed = false
	l.counters.responses[status].Add(1)
	return nil
}
