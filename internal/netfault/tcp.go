package netfault

import (
	"net"
	"sync"
	"time"
)

const (
	maxChunkBytes      = 32 << 10
	maxQueuedChunks    = 256 // pieces of one direction that wait for their time
	dialTimeout        = 2 * time.Second
	resetCheckInterval = 100 * time.Millisecond // a connection that waits for its link looks so often whether it was reset
)

// A proxiedConn is one connection through a link: the conns to both parties.
type proxiedConn struct {
	from, to string // from opened it

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

func (c *proxiedConn) forward() direction { return direction{c.from, c.to} }

func (c *proxiedConn) back() direction { return direction{c.to, c.from} }

// addConn makes the connection own a conn. If it was reset already, it closes the conn and returns false.
func (c *proxiedConn) addConn(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// reset breaks the connection at both ends.
func (c *proxiedConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		if t, ok := conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		conn.Close()
	}
}

func (c *proxiedConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// TCP opens an address on a host by which one party reaches another's address, the target. Nobody need listen there
// yet. The link ends with the network.
func (n *Net) TCP(from, to, host, target string) (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	if !n.track(l) {
		return "", net.ErrClosed
	}
	n.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil || !n.serve(&proxiedConn{from: from, to: to}, conn, target) {
				return
			}
		}
	})
	return l.Addr().String(), nil
}

// serve starts to serve a connection; false if the network is closed.
func (n *Net) serve(c *proxiedConn, conn net.Conn, target string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		conn.Close()
		return false
	}
	n.conns[c] = true
	n.wg.Go(func() { n.proxy(c, conn, target) })
	return true
}

// proxy serves one connection until both directions have ended.
func (n *Net) proxy(c *proxiedConn, conn net.Conn, target string) {
	defer func() {
		c.reset()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	if !c.addConn(conn) || !n.awaitPassing(c, c.forward()) {
		return
	}
	peer, err := net.DialTimeout("tcp4", target, dialTimeout)
	if err != nil || !c.addConn(peer) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.forward(c, c.forward(), conn, peer) })
	wg.Go(func() { n.forward(c, c.back(), peer, conn) })
	wg.Wait()
}

// awaitPassing waits until a direction passes data; false if it is cut or the connection was reset.
func (n *Net) awaitPassing(c *proxiedConn, d direction) bool {
	for {
		s, changed := n.currentState(d)
		switch {
		case s.Cut || c.isClosed():
			return false
		case !s.Silent:
			return true
		}
		select {
		case <-changed:
		case <-time.After(resetCheckInterval):
		}
	}
}

// A chunk is what one read returned, and when it is to be passed on.
type chunk struct {
	data []byte
	at   time.Time
}

// forward passes on one direction of a connection, in order, each piece after its delay. The end of the stream is
// passed on, too, unless the direction is silent.
func (n *Net) forward(c *proxiedConn, d direction, in, out net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		n.readChunks(d, in, queue)
	}()
	failed := false
	for p := range queue { // to its end even after a failure, or the reader would block for ever
		if failed {
			continue
		}
		if delay := time.Until(p.at); delay > 0 {
			time.Sleep(delay)
		}
		if !n.awaitPassing(c, d) {
			failed = true
			c.reset()
			continue
		}
		if _, err := out.Write(p.data); err != nil {
			failed = true
			c.reset()
			continue
		}
		n.recordPassed(d, len(p.data))
	}
	if !failed && n.awaitPassing(c, d) {
		if t, ok := out.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	}
}

// readChunks reads a conn to its end, and gives each piece its time. A loss delays a piece and all behind it.
func (n *Net) readChunks(d direction, in net.Conn, queue chan<- chunk) {
	last := time.Time{}
	for {
		data := make([]byte, maxChunkBytes)
		size, err := in.Read(data)
		if size > 0 {
			s, _ := n.currentState(d)
			at := time.Now().Add(s.Delay + n.randomDelay(s.Jitter))
			if n.randomBool(s.Loss) {
				at = at.Add(retransmissionDelay)
			}
			if at.Before(last) {
				at = last
			}
			last = at
			queue <- chunk{data[:size], at}
		}
		if err != nil {
			return
		}
	}
}
