package netfault

import (
	"net"
	"sync"
	"time"
)

// pipe is one connection through a link.
type pipe struct {
	from, to string
	mu       sync.Mutex
	ends     []net.Conn
	dead     bool
}

func (p *pipe) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		c.Close()
		return false
	}
	p.ends = append(p.ends, c)
	return true
}

// reset breaks both ends.
func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
	for _, c := range p.ends {
		if t, is := c.(*net.TCPConn); is {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (p *pipe) over() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

const (
	pieceMost = 32 << 10
	queueMost = 256 // pieces that wait for their time
	dialSpan  = 2 * time.Second
)

// TCP opens an address on a host by which one party reaches another's address. The other need not listen yet.
func (n *Net) TCP(from, to, host, target string) (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	if !n.keep(l) {
		return "", net.ErrClosed
	}
	n.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := &pipe{from: from, to: to}
			n.mu.Lock()
			if n.closed {
				n.mu.Unlock()
				c.Close()
				return
			}
			n.conns[p] = true
			n.wg.Go(func() { n.carry(p, c, target) })
			n.mu.Unlock()
		}
	})
	return l.Addr().String(), nil
}

// carry serves one connection.
func (n *Net) carry(p *pipe, c net.Conn, target string) {
	defer func() {
		p.reset()
		n.mu.Lock()
		delete(n.conns, p)
		n.mu.Unlock()
	}()
	there, back := way{p.from, p.to}, way{p.to, p.from}
	if !p.add(c) || !n.passable(p, there) {
		return
	}
	d, err := net.DialTimeout("tcp4", target, dialSpan)
	if err != nil || !p.add(d) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.pump(p, there, c, d) })
	wg.Go(func() { n.pump(p, back, d, c) })
	wg.Wait()
}

// passable waits until a way lets something pass; false: it is cut, or the connection is no more.
func (n *Net) passable(p *pipe, w way) bool {
	for {
		s, change := n.state(w)
		switch {
		case s.Cut || p.over():
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

// pump passes one direction on, in order, each piece after its delay. An end passes on as well, unless the way is silent.
func (n *Net) pump(p *pipe, w way, in, out net.Conn) {
	type piece struct {
		data []byte
		at   time.Time
	}
	queue := make(chan piece, queueMost)
	go func() {
		defer close(queue)
		last := time.Time{}
		for {
			b := make([]byte, pieceMost)
			k, err := in.Read(b)
			if k > 0 {
				s, _ := n.state(w)
				at := time.Now().Add(s.Delay + n.between(s.Jitter))
				if n.draw(s.Loss) {
					at = at.Add(retransmission)
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
		if !n.passable(p, w) {
			fault = true
			p.reset()
			continue
		}
		if _, err := out.Write(x.data); err != nil {
			fault = true
			p.reset()
			continue
		}
		n.count(w, len(x.data), false)
	}
	if !fault && n.passable(p, w) {
		if t, is := out.(*net.TCPConn); is {
			t.CloseWrite()
		}
	}
}
