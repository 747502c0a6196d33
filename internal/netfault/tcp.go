package netfault

import (
	"net"
	"sync"
	"time"
)

const (
	maxChunkBytes      = 32 << 10
	maxQueuedChunks    = 256 // chunks of one direction that wait for the end of their delay
	dialTimeout        = 2 * time.Second
	resetCheckInterval = 100 * time.Millisecond // between checks whether a connection that waits for its link was reset
)

// A proxiedConn is one connection through a link. It consists of the network connections to both parties.
type proxiedConn struct {
	from, to string // from is the party that opened the connection

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

func (c *proxiedConn) forward() direction { return direction{c.from, c.to} }

func (c *proxiedConn) back() direction { return direction{c.to, c.from} }

// addConn adds the network connection to one of the parties. If c was already reset, it closes conn and returns false.
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

// reset resets the connections to both parties.
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

// TCP opens a link and returns its address on host, at which party from reaches the target address of party to. The
// target need not be listening yet. The link is closed with the network.
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

// serve starts serving a connection. It returns false if the network is closed.
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

// awaitPassing waits until a direction passes data. It returns false if the direction is cut or the connection was
// reset.
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

// A chunk is the data of one read and the time at which it is to be forwarded.
type chunk struct {
	data []byte
	at   time.Time
}

// forward forwards the chunks of one direction of a connection in order, each after its delay. It also forwards the end
// of the stream, as soon as the direction passes data; the end is not forwarded if the direction is cut.
func (n *Net) forward(c *proxiedConn, d direction, in, out net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		n.readChunks(d, in, queue)
	}()
	failed := false
	for p := range queue { // continues to the end even after a failure, since the reader would block forever otherwise
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

// readChunks reads a connection until it ends, and sets the time of each chunk. A loss delays a chunk and all later
// ones.
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
