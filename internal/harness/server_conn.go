package harness

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/partner"
	"cleathold/internal/simulation"
)

const (
	idleTimeout    = 15 * time.Second // the endpoint closes connections that are idle for this long
	requestTimeout = 10 * time.Second // from the first byte of a request to its last
	// timeoutSlack distinguishes timeouts from cancellations: a sender that closes the connection less than this before
	// the end of its announced waiting time, or later, has timed out; one that closes it earlier has canceled the call.
	timeoutSlack = 30 * time.Millisecond
)

// A serverConn is the endpoint's side of a connection from a sender. Its fields are used by the connection's goroutine
// only, except for the environment behind listener.
type serverConn struct {
	listener          *endpointListener
	conn              net.Conn
	reader            *bufio.Reader
	endpoint          string // the listener's endpoint when the connection was accepted
	dest              int
	zone              int
	networkDelay      time.Duration // one-way delay between the zones of sender and endpoint
	overCapacity      bool          // accepted beyond the endpoint's connection limit: answers one call, then closes
	firstCall         bool          // no call has been served on the connection yet
	modelDisconnected bool          // the model no longer counts the connection
}

// serve registers a new connection with the model, and serves its calls until the connection must be closed.
func (e *endpointListener) serve(conn net.Conn) {
	s, ok := e.register(conn)
	if !ok {
		resetConn(conn)
		return
	}
	e.env.writeEarlyResponse(conn)
	for s.serveNext() {
		s.firstCall = false
	}
	e.unregister(s)
	conn.Close()
}

// register registers a connection with the model. It returns false if the endpoint refuses the connection or no longer
// listens.
func (e *endpointListener) register(conn net.Conn) (*serverConn, bool) {
	env := e.env
	env.mu.Lock()
	defer env.mu.Unlock()
	s := &serverConn{
		listener: e, conn: conn, reader: bufio.NewReader(conn), firstCall: true,
		endpoint: e.endpoint, dest: e.dest, zone: e.zone,
		networkDelay: simulation.NetworkDelay(e.zone, e.sender%len(env.plan.Scenario.Zones)),
	}
	kind := env.simulated.Model.Connect(env.now(), s.endpoint)
	s.overCapacity = kind == partner.ConnectionOverCapacity
	env.connections++
	if e.listener == nil || kind == partner.ConnectionRefused || e.refusesCall() {
		return nil, false
	}
	e.connections[conn] = true
	return s, true
}

func (e *endpointListener) unregister(s *serverConn) {
	env := e.env
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(e.connections, s.conn)
	if !s.overCapacity && !s.modelDisconnected {
		env.simulated.Model.Disconnect(env.now(), s.endpoint)
	}
}

// serveNext reads and serves one call. It returns false if the connection must be closed.
func (s *serverConn) serveNext() bool {
	s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	if _, err := s.reader.Peek(1); err != nil {
		return false
	}
	firstByte := s.listener.env.currentTime()
	if !s.awaitLink(false, nil) {
		return false
	}
	s.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	c, err := readCall(s.reader)
	if err != nil {
		fmt.Fprintf(s.conn, "HTTP/1.1 %d no\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", errorStatus(err))
		return false
	}
	return s.serveCall(c, firstByte)
}

// awaitLink waits until the link from the sender, or the one back to it, passes data, and then for the link's delay. It
// returns false if the sender has closed the connection in the meantime or the run ends.
func (s *serverConn) awaitLink(back bool, peerGone <-chan bool) bool {
	env, waited := s.listener.env, false
	for {
		env.mu.Lock()
		link, backLink := s.listener.linkStates()
		changed := env.linksChanged
		env.mu.Unlock()
		if back {
			link = backLink
		}
		if link.Passes() {
			delay := link.Delay
			if link.Jitter > 0 {
				delay += rand.N(link.Jitter)
			}
			return !(waited && peerGone == nil && peerClosed(s.conn)) && (delay == 0 || env.sleep(delay))
		}
		waited = true
		select {
		case <-changed:
		case <-peerGone:
			return false
		case <-env.ctx.Done():
			return false
		}
	}
}

// writeAnswer writes an answer in the format that PROTOCOL defines. It returns false if the connection must be closed.
func (s *serverConn) writeAnswer(a partner.Answer, c *receivedCall) bool {
	status, header, body := http.StatusOK, "", ""
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
			header = "Retry-After: " + strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 6, 64) + "\r\n"
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
	if c.closes {
		header += "Connection: close\r\n"
	}
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)
	err := s.listener.env.writeResponse(s.conn, text)
	return err == nil && !s.overCapacity && !c.closes
}

// peerClosed reports whether the peer has closed the connection, even if unread data is still buffered.
func peerClosed(c net.Conn) (closed bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(pollFDs, 0)
		for err == unix.EINTR { // a signal of the runtime
			_, err = unix.Poll(pollFDs, 0)
		}
		closed = err != nil || pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
