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

	"cleathold/internal/simulation"
)

// maxIdleConns limits the number of idle connections to one sender.
const maxIdleConns = 256

// errResponseTimeout means that no response arrived before the client's deadline.
var errResponseTimeout = errors.New("no response before the deadline")

// A senderPool contains the clients' information about one sender: the idle connections to it, and whether the clients'
// load balancer may choose it.
type senderPool struct {
	addr string

	mu        sync.Mutex
	idle      []*clientConn
	closed    bool      // connections are closed instead of kept
	draining  bool      // the sender's health check reports that it does not accept clients
	downSince time.Time // since when the sender's process is down; zero = a process serves
	upSince   time.Time // when the sender's process became available again
}

// A clientConn is one connection of a client to a sender.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// SetDown notifies the clients' load balancer that the process of a sender has ended or serves again. The load balancer
// still chooses a sender that is down until simulation.DeadSenderTimeout has passed.
func (c *Clients) SetDown(sender int, down bool) {
	p := c.senders[sender]
	p.mu.Lock()
	defer p.mu.Unlock()
	if down {
		if p.downSince.IsZero() {
			p.downSince = time.Now()
		}
		return
	}
	p.downSince, p.upSince = time.Time{}, time.Now()
}

// SetDraining notifies the clients' load balancer of the result of a sender's health check. It takes effect at once.
func (c *Clients) SetDraining(sender int, draining bool) {
	p := c.senders[sender]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = draining
}

// chooseSender picks a random sender for a submission, preferring senders that are available.
func (c *Clients) chooseSender() (int, *senderPool) {
	c.mu.Lock()
	first := c.rng.IntN(len(c.senders))
	c.mu.Unlock()
	for i := range c.senders {
		n := (first + i) % len(c.senders)
		if p := c.senders[n]; !p.unavailable(c.keepConnections) {
			return n, p
		}
	}
	return first, c.senders[first]
}

// unavailable reports whether the clients' load balancer excludes the sender. With keepConnections, a sender that is
// down is not excluded as long as there are idle connections to it.
func (p *senderPool) unavailable(keepConnections bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	down := !p.downSince.IsZero() && time.Since(p.downSince) > simulation.DeadSenderTimeout
	return p.draining || down && !(keepConnections && len(p.idle) > 0)
}

// get returns an idle connection, or a new one if there is none.
func (p *senderPool) get(deadline time.Time) (c *clientConn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	c, err = p.dial(deadline)
	return c, false, err
}

func (p *senderPool) dial(deadline time.Time) (*clientConn, error) {
	conn, err := (&net.Dialer{Deadline: deadline}).Dial("tcp4", p.addr)
	if err != nil {
		return nil, fmt.Errorf("connecting to a sender: %w", err)
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// put returns a connection to the pool for another submission, or closes it if the pool is closed or full.
func (p *senderPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *senderPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle, p.closed = nil, true
}

// roundTrip sends a request and reads the response. It returns errResponseTimeout if no byte of a response arrived
// before the deadline, and io.EOF if the connection was closed or reset before that.
func (c *clientConn) roundTrip(request []byte, deadline time.Time) (*http.Response, error) {
	c.SetDeadline(deadline)
	_, err := c.Write(request)
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, errResponseTimeout
	case err != nil:
		return nil, io.EOF
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
