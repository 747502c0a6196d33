package protocol

import (
	"context"
	"sync"
	"time"
)

const (
	// idleTimeFraction is the time that the pool keeps idle connections, as a fraction of the endpoints' idle timeout. A
	// request sent while the endpoint closes the connection would be lost.
	idleTimeFraction = 0.8

	// defaultIdleTimeout is used if the settings don't contain the idle timeout of the endpoints.
	defaultIdleTimeout = 2 * time.Second
)

// A connPool keeps idle connections to endpoints. For each endpoint ID it is a stack with the most recently used
// connection on top.
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

// get removes and returns the most recently used connection to an endpoint that is still usable and was dialed for
// addr. It closes unusable ones, and returns nil if none is left.
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

// put adds an idle connection to the pool, or closes it if the pool is full.
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

// closeStale closes connections that have been idle for too long or are stale.
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

// run closes stale connections periodically until the context is done.
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
