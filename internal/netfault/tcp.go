package netfault

import (
	"net"
	"sync"
	"time"
)

// proxiedConn is one connection through a link.
type proxiedConn struct {
	from, to string
	mu       sync.Mutex
	conns    []net.Conn
	closed   bool
}

func (p *proxiedConn) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.conns = append(p.conns, c)
	return true
}

// reset breaks both ends.
func (p *proxiedConn) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		if t, is := c.(*net.TCPConn); is {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxiedConn) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

const (
	maxPieceBytes   = 32 << 10
	maxQueuedPieces = 256 // pieces that wait for their time
	dialTimeout     = 2 * time.Second
)

// TCP opens an address on a host by which one party reaches another's address. The other need not listen yet.
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
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := &proxiedConn{from: from, to: to}
			n.mu.Lock()
			if n.closed {
				n.mu.Unlock()
				c.Close()
				return
			}
			n.conns[p] = true
			n.wg.Go(func() { n.proxy(p, c, target) })
			n.mu.Unlock()
		}
	})
	return l.Addr().String(), nil
}

// proxy serves one connection.
func (n *Net) proxy(p *proxiedConn, c net.Conn, target string) {
	defer func() {
		p.reset()
		n.mu.Lock()
		delete(n.conns, p)
		n.mu.Unlock()
	}()
	there, back := direction{p.from, p.to}, direction{p.to, p.from}
	if !p.add(c) || !n.awaitPassing(p, there) {
		return
	}
	d, err := net.DialTimeout("tcp4", target, dialTimeout)
	if err != nil || !p.add(d) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.forward(p, there, c, d) })
	wg.Go(func() { n.forward(p, back, d, c) })
	wg.Wait()
}

// awaitPassing waits until a way lets something pass; false: it is cut, or the connection is no more.
func (n *Net) awaitPassing(p *proxiedConn, w direction) bool {
	for {
		s, change := n.currentState(w)
		switch {
		case s.Cut || p.isClosed():
			return false
		case !s.Silent:
			return true
		}
		select {
		case <-change:
		case <-time.After(100 * time.Millisecond): // somebody may have ended the connection
		}
	}
}

// forward passes one direction on, in order, each piece after its delay. An end passes on as well, unless the way is silent.
func (n *Net) forward(p *proxiedConn, w direction, in, out net.Conn) {
	type piece struct {
		data []byte
		at   time.Time
	}
	queue := make(chan piece, maxQueuedPieces)
	go func() {
		defer close(queue)
		last := time.Time{}
		for {
			b := make([]byte, maxPieceBytes)
			k, err := in.Read(b)
			if k > 0 {
				s, _ := n.currentState(w)
				at := time.Now().Add(s.Delay + n.randomDelay(s.Jitter))
				if n.chance(s.Loss) {
					at = at.Add(retransmissionDelay)
				}
				if at.Before(last) {
					at = last
				}
				last = at
				queue <- piece{b[:k], at}
			}
			if err != nil {
				return
			}
		}
	}()
	fault := false
	for x := range queue { // to its end, or its reader would hang
		if fault {
			continue
		}
		if d := time.Until(x.at); d > 0 {
			time.Sleep(d)
		}
		if !n.awaitPassing(p, w) {
			fault = true
			p.reset()
			continue
		}
		if _, err := out.Write(x.data); err != nil {
			fault = true
			p.reset()
			continue
		}
		n.recordPassed(w, len(x.data), false)
	}
	if !fault && n.awaitPassing(p, w) {
		if t, is := out.(*net.TCPConn); is {
			t.CloseWrite()
		}
	}
}
