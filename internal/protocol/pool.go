package protocol

import (
	"context"
	"sync"
	"time"
)

const (
	// idleTimeFraction of the time that an endpoint keeps an idle connection is how long it is kept here: a request that
	// crosses the endpoint's close would be lost.
	idleTimeFraction = 0.8

	// defaultIdleTimeout is used where the settings don't tell how long endpoints keep an idle connection.
	defaultIdleTimeout = 2 * time.Second
)

// A connPool keeps idle connections to endpoints, by the endpoint's id, the latest used on top.
type connPool struct {
	maxIdleTime  time.Duration
	maxIdleConns int

	mu        sync.Mutex
	idle      map[string][]*bufferedConn
	idleCount int
}

func newConnPool(idleTimeout time.Duration, maxIdleConns int) *connPool {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	return &connPool{
		maxIdleTime: time.Duration(idleTimeFraction * float64(idleTimeout)), maxIdleConns: maxIdleConns,
		idle: map[string][]*bufferedConn{},
	}
}

// get takes the connection to an endpoint that was used last, if it can be used and leads to the endpoint's present
// address; nil if there is none.
func (p *connPool) get(id, addr string) *bufferedConn {
	for {
		c := p.popIdle(id)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < p.maxIdleTime && c.addr == addr && !c.stale() {
			return c
		}
		c.Close()
	}
}

func (p *connPool) popIdle(id string) *bufferedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[id] = conns[:len(conns)-1]
	p.idleCount--
	return c
}

// put keeps an idle connection, or closes it if there are too many.
func (p *connPool) put(id string, c *bufferedConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleCount >= p.maxIdleConns {
		c.Close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
	p.idleCount++
}

// closeIdle closes the idle connections to an endpoint.
func (p *connPool) closeIdle(id string) {
	for c := p.popIdle(id); c != nil; c = p.popIdle(id) {
		c.Close()
	}
}

// closeStale closes connections that were idle for too long or that the endpoint has closed.
func (p *connPool) closeStale() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.idle {
		usable := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleSince) < p.maxIdleTime && !c.stale() {
				usable = append(usable, c)
				continue
			}
			c.Close()
			p.idleCount--
		}
		if p.idle[id] = usable; len(usable) == 0 {
			delete(p.idle, id)
		}
	}
}

// run closes stale connections until the context ends.
func (p *connPool) run(ctx context.Context) {
	tick := time.NewTicker(max(p.maxIdleTime/20, 50*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.closeStale()
		}
	}
}
