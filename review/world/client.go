package world

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// answerTimeout is how long a client waits for the answer to a message.
const answerTimeout = 400 * time.Millisecond

// A Submission is one hand-in of a message.
type Submission struct {
	ID, Class, Tenant, Key string
	Dest                   int
	Deadline               time.Duration
	Retry                  string // X-Retry
	Body                   []byte

	SentAt   time.Time
	HeardAt  time.Time // when the answer arrived
	Status   int       // 0: none
	Err      error
	Accepted bool
}

// Due returns when the time of the message is up.
func (s *Submission) Due() time.Time { return s.SentAt.Add(s.Deadline) }

// A Clients hands in messages, one request at a time on a connection, and keeps the connections.
type Clients struct {
	Addr  string
	world *World

	mu   sync.Mutex
	idle []*clientConn
	sent []*Submission
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// NewClients returns clients of the sender at an address.
func (w *World) NewClients(addr string) *Clients { return &Clients{Addr: addr, world: w} }

// Sent returns all hand-ins so far.
func (c *Clients) Sent() []*Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Submission(nil), c.sent...)
}

// Submit hands in a message and waits for the answer.
func (c *Clients) Submit(s *Submission) {
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	s.SentAt = time.Now()
	s.Status, s.Err = c.exchange(s)
	s.HeardAt = time.Now()
	s.Accepted = s.Status == http.StatusOK || s.Status == http.StatusAccepted
	if s.Err != nil {
		c.world.NoteAt(s.SentAt, "client hands in %s (%s, destination %d, %v): no answer: %v", s.ID, s.Class, s.Dest, s.Deadline,
			s.Err)
		return
	}
	c.world.NoteAt(s.SentAt, "client hands in %s (%s, destination %d, %v): %d after %v", s.ID, s.Class, s.Dest, s.Deadline,
		s.Status, s.HeardAt.Sub(s.SentAt).Round(100*time.Microsecond))
}

func (c *Clients) exchange(s *Submission) (int, error) {
	conn, kept := c.take()
	if kept {
		status, unread, err := c.try(conn, s)
		if !unread {
			return status, err
		}
		conn = nil // the sender closed the kept connection without having read the request
	}
	conn, err := c.dial()
	if err != nil {
		return 0, err
	}
	status, _, err := c.try(conn, s)
	return status, err
}

func (c *Clients) take() (conn *clientConn, kept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
		return conn, true
	}
	return nil, false
}

func (c *Clients) dial() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp4", c.Addr, answerTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// try sends the request on a connection. It reports unread if the connection ended before any byte of an answer.
func (c *Clients) try(conn *clientConn, s *Submission) (status int, unread bool, err error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Tenant: %s\r\nX-Deadline: %.3f\r\n",
		s.Class, s.ID, s.Tenant, s.Deadline.Seconds())
	if s.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", s.Key)
	}
	if s.Retry != "" {
		fmt.Fprintf(&b, "X-Retry: %s\r\n", s.Retry)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n", len(s.Body), s.Dest)
	b.Write(s.Body)
	conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := conn.Write(b.Bytes()); err != nil {
		conn.Close()
		return 0, true, err
	}
	if _, err := conn.in.Peek(1); err != nil {
		timeout, ok := err.(net.Error)
		conn.Close()
		return 0, !ok || !timeout.Timeout(), err
	}
	r, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		conn.Close()
		return 0, false, err
	}
	r.Body.Close()
	if r.Close {
		conn.Close()
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return r.StatusCode, false, nil
}

// Close closes the kept connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
