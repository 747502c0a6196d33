package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/simulation"
)

// A serverConn is one connection.
type serverConn struct {
	listener          *endpointListener
	conn              net.Conn
	reader            *bufio.Reader
	endpoint          string
	dest              int
	zone              int
	networkDelay      time.Duration
	overCapacity      bool
	firstCall         bool
	modelDisconnected bool // by the model, which counts it no more
}

// serveNext serves one call; false ends the connection.
func (s *serverConn) serveNext() bool {
	s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	if _, err := s.reader.Peek(1); err != nil {
		return false
	}
	first := s.listener.env.currentTime()
	if !s.awaitLink(false, nil) {
		return false
	}
	s.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	c, err := readCall(s.reader)
	if err != nil {
		fmt.Fprintf(s.conn, "HTTP/1.1 %d no\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", errorStatus(err))
		return false
	}
	return s.serveCall(c, first)
}

// awaitLink waits until the way from the sender, or back to it, lets something pass; false: the sender has gone meanwhile,
// or the world ends.
func (s *serverConn) awaitLink(back bool, left <-chan bool) bool {
	w, waited := s.listener.env, false
	for {
		w.mu.Lock()
		there, home := s.listener.linkStates()
		turn := w.linksChanged
		w.mu.Unlock()
		if back {
			there = home
		}
		if there.Passes() {
			late := there.Delay
			if there.Jitter > 0 {
				late += rand.N(there.Jitter)
			}
			return !(waited && left == nil && peerClosed(s.conn)) && (late == 0 || w.sleep(late))
		}
		waited = true
		select {
		case <-turn:
		case <-left:
			return false
		case <-w.ctx.Done():
			return false
		}
	}
}

// serveCall brings a call to the model, and its answer back.
func (s *serverConn) serveCall(c *receivedCall, first time.Duration) bool {
	w := s.listener.env
	answer := make(chan partner.Answer, 1)
	call := partner.Call{Sender: s.listener.sender, Endpoint: s.endpoint, Fresh: s.firstCall, OverCapacity: s.overCapacity, HealthCheck: c.healthCheck}
	var ids []string
	w.mu.Lock()
	w.lastCallID++
	call.ID = w.lastCallID
	for _, m := range c.messages {
		m.Class = w.submissions[m.ID].class
		call.Messages = append(call.Messages, m)
		ids = append(ids, m.ID)
	}
	w.pendingAnswers[call.ID] = answer
	w.record(audit.Event{Kind: audit.Sent, Sender: s.listener.sender, Call: call.ID, Endpoint: s.endpoint, Zone: s.zone, Dest: s.dest, Messages: ids, First: first})
	w.mu.Unlock()

	s.conn.SetReadDeadline(time.Time{})
	left := make(chan bool, 1) // whether the sender has gone, or the reader was called back
	go func() {
		_, err := s.reader.Peek(1)
		left <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	reach := s.networkDelay
	if s.firstCall {
		reach += 2 * s.networkDelay // the connection was up at once
	}
	if !w.sleep(reach) {
		return s.stopReader(left)
	}
	w.mu.Lock()
	if err := w.simulated.Model.Call(w.now(), call); err != nil {
		answer <- partner.Answer{Call: call.ID, Kind: partner.Reset}
		delete(w.pendingAnswers, call.ID)
	}
	w.dispatchAndWake()
	w.mu.Unlock()

	select {
	case <-left:
		s.modelDisconnected = true
		s.recordAbandoned(call.ID, first, c.timeout)
		if w.sleep(s.networkDelay) {
			w.mu.Lock()
			w.simulated.Model.Cancel(w.now(), call.ID, s.endpoint)
			w.dispatchAndWake()
			w.mu.Unlock()
		}
		return false
	case <-w.ctx.Done():
		return s.stopReader(left)
	case a := <-answer:
		if !w.sleep(s.networkDelay) {
			return s.stopReader(left)
		}
		select {
		case <-left: // it left as the answer was on its way
			s.recordAbandoned(call.ID, first, c.timeout)
			return false
		default:
		}
		if peerClosed(s.conn) { // it gave up in this instant: what would be written is told to nobody
			s.recordAbandoned(call.ID, first, c.timeout)
			return false
		}
		s.recordAnswer(call.ID, a, ids)
		if !s.awaitLink(true, left) {
			return false
		}
		ok := s.writeAnswer(a, c)
		return !s.stopReader(left) && ok
	}
}

// stopReader has the reader of a connection stop, and tells whether the sender has gone.
func (s *serverConn) stopReader(left <-chan bool) bool {
	s.conn.SetReadDeadline(time.Unix(1, 0))
	return <-left
}

// recordAbandoned notes that a sender waits no more for a call.
func (s *serverConn) recordAbandoned(id uint64, first, limit time.Duration) {
	w := s.listener.env
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pendingAnswers, id)
	cause := "cancelled"
	if limit > 0 && w.now()-first >= limit-timeoutSlack {
		cause = "timeout"
		w.record(audit.Event{Kind: audit.FailureSeen, Sender: s.listener.sender, Dest: s.dest, Endpoint: s.endpoint})
	}
	w.record(audit.Event{Kind: audit.Ended, Sender: s.listener.sender, Call: id, Outcome: audit.Failed, Cause: cause})
}

// recordAnswer notes an answer just before it is written.
func (s *serverConn) recordAnswer(id uint64, a partner.Answer, ids []string) {
	w := s.listener.env
	outcome, cause := simulation.OutcomeOf(a.Kind)
	w.mu.Lock()
	w.record(audit.Event{Kind: audit.Ended, Sender: s.listener.sender, Call: id, Outcome: outcome, RetryAfter: a.RetryAfter, Cause: cause})
	if _, back := s.listener.linkStates(); a.Kind != partner.Delivered && back.Passes() {
		w.record(audit.Event{Kind: audit.FailureSeen, Sender: s.listener.sender, Dest: s.dest, Endpoint: s.endpoint})
	}
	w.mu.Unlock()
	if a.Kind == partner.Delivered && len(ids) > 0 {
		w.onDelivered(ids)
	}
}

// writeAnswer writes an answer in PROTOCOL's form; false where the connection ends with it.
func (s *serverConn) writeAnswer(a partner.Answer, c *receivedCall) bool {
	status, body := http.StatusOK, ""
	head := ""
	switch a.Kind {
	case partner.Delivered:
		if c.batch {
			var lines strings.Builder
			for _, m := range c.messages {
				lines.WriteString(m.ID + " delivered\r\n")
			}
			body = lines.String()
		}
	case partner.Errored:
		status = http.StatusInternalServerError
	case partner.Rejected:
		status = http.StatusServiceUnavailable
		if a.RetryAfter > 0 {
			status = http.StatusTooManyRequests
			head = "Retry-After: " + strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 6, 64) + "\r\n"
		}
	case partner.Unprocessable:
		status = http.StatusRequestEntityTooLarge
	case partner.Garbled:
		io.WriteString(s.conn, "HTTP/9.9 what\r\n\x00\x01\r\n\r\n")
		return false
	case partner.Reset:
		s.modelDisconnected = a.At > 0 && !s.listener.env.endpointListens(s.endpoint)
		resetConn(s.conn)
		return false
	}
	_, err := fmt.Fprintf(s.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err == nil && !s.overCapacity
}

// peerClosed tells whether the other end of a connection has closed it, though there may still be something to read.
func peerClosed(c net.Conn) (gone bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(ask, 0)
		gone = err != nil || ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
}

func (e *endpointListener) serve(c net.Conn) {
	w := e.env
	w.mu.Lock()
	v := &serverConn{listener: e, conn: c, reader: bufio.NewReader(c), endpoint: e.endpoint, dest: e.dest, zone: e.zone, firstCall: true}
	v.networkDelay = simulation.NetworkDelay(e.zone, e.sender%len(w.plan.Scenario.Zones))
	kind := w.simulated.Model.Connect(w.now(), v.endpoint)
	v.overCapacity = kind == partner.ConnectionOverCapacity
	w.connections++
	if e.listener == nil || kind == partner.ConnectionRefused {
		w.mu.Unlock()
		resetConn(c)
		return
	}
	e.connections[c] = true
	w.mu.Unlock()
	for v.serveNext() {
		v.firstCall = false
	}
	w.mu.Lock()
	delete(e.connections, c)
	if !v.overCapacity && !v.modelDisconnected {
		w.simulated.Model.Disconnect(w.now(), v.endpoint)
	}
	w.mu.Unlock()
	c.Close()
}

func (env *Environment) endpointListens(id string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.simulated.Model.Listens(id)
}

const (
	maxBodyBytes   = 1 << 20
	requestTimeout = 10 * time.Second // by when a request that has begun must be whole
	// A sender that stops waiting this close to the end of the time that it told has
	// timed out; sooner, it has called off.
	timeoutSlack = 30 * time.Millisecond
)
