package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// A senderPool is a sender as clients see it.
type senderPool struct {
	addr      string
	mu        sync.Mutex
	idle      []*clientConn
	closed    bool      // nothing is kept any more
	draining  bool      // it said that it wants no clients
	downSince time.Time // since when nobody is there; zero = somebody is
	upSince   time.Time // since when somebody is there again
}

// get takes an idle connection, or opens one.
func (p *senderPool) get(limit time.Time) (c *clientConn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	c, err = p.dial(limit)
	return c, false, err
}

func (p *senderPool) dial(limit time.Time) (*clientConn, error) {
	conn, err := (&net.Dialer{Deadline: limit}).Dial("tcp4", p.addr)
	if err != nil {
		return nil, errors.Join(errNoConnection, err)
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

func (p *senderPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// roundTrip sends a request and reads the answer. io.EOF tells that the connection was
// closed before any of it came.
func (c *clientConn) roundTrip(text []byte, limit time.Time) (*http.Response, error) {
	c.SetDeadline(limit)
	_, err := c.Write(text)
	if err == nil {
		if _, err = c.reader.Peek(1); err == nil {
			var r *http.Response
			if r, err = http.ReadResponse(c.reader, nil); err == nil {
				_, err = io.Copy(io.Discard, r.Body)
				return r, err
			}
			return nil, err
		}
	}
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return nil, errResponseTimeout
	}
	return nil, io.EOF // closed or reset
}

// errNoConnection tells that a hand-in did not reach a sender whole.
var errNoConnection = errors.New("nobody there")

// errResponseTimeout tells that no answer came while a client waited.
var errResponseTimeout = errors.New("no answer in time")

const (
	maxOpenSubmissions = 20_000 // hand-ins under way; more are left out, and the run is marked
	maxIdleConns       = 256    // idle connections to a sender
)

// formatRequest is a hand-in as PROTOCOL has it.
func formatRequest(s *scenario.Scenario, m *simulation.ClientRequest, id, key string, left time.Duration, again bool) []byte {
	text := fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Tenant: %s\r\nX-Deadline: %.6f\r\nX-Addressing: dest=%d\r\nContent-Length: %d\r\n",
		s.Traffic.Classes[m.Class].Name, id, s.Traffic.Tenants[m.Tenant].Name, left.Seconds(), m.Dest, m.Size)
	if key != "" {
		text = fmt.Appendf(text, "Idempotency-Key: %s\r\n", key)
	}
	if again {
		text = append(text, "X-Retry: 1\r\n"...)
	}
	text = append(text, "\r\n"...)
	return append(text, make([]byte, m.Size)...)
}

// SetDown tells the front layer that a sender's process has ended, or is there
// again. The front itself notices after a while.
func (c *Clients) SetDown(sender int, down bool) {
	f := c.senders[sender]
	f.mu.Lock()
	defer f.mu.Unlock()
	if down {
		if f.downSince.IsZero() {
			f.downSince = time.Now()
		}
		return
	}
	f.downSince, f.upSince = time.Time{}, time.Now()
}

// SetDraining tells the front layer what a sender said of its health. It heeds that at once.
func (c *Clients) SetDraining(sender int, away bool) {
	f := c.senders[sender]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = away
}

// chooseSender deals a hand-in out: to any sender but those that the front knows are gone.
func (c *Clients) chooseSender() (int, *senderPool) {
	c.mu.Lock()
	first := c.rng.IntN(len(c.senders))
	c.mu.Unlock()
	for i := range c.senders {
		n := (first + i) % len(c.senders)
		f := c.senders[n]
		f.mu.Lock()
		known := f.draining || !f.downSince.IsZero() && time.Since(f.downSince) > simulation.DeadSenderTimeout && !(c.keepConnections && len(f.idle) > 0)
		f.mu.Unlock()
		if !known {
			return n, f
		}
	}
	return first, c.senders[first]
}
