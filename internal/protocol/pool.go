package protocol

import (
	"context"
	"sync"
	"time"
)

// A connPool keeps connections to targets that lie idle, the latest used on top.
type connPool struct {
	maxIdleTime  time.Duration // less than the targets keep them
	maxIdleConns int

	mu        sync.Mutex
	idle      map[string][]*bufferedConn
	idleCount int
}

// idleTimeFraction of the time that a target keeps an idle connection is when it is
// dropped here: a request that crosses the target's close would be lost.
const idleTimeFraction = 0.8

// defaultIdleTimeout is used where the settings don't tell how long targets keep one.
const defaultIdleTimeout = 2 * time.Second

func newConnPool(idle time.Duration, most int) *connPool {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	return &connPool{maxIdleTime: time.Duration(idleTimeFraction * float64(idle)), maxIdleConns: most, idle: map[string][]*bufferedConn{}}
}

// get takes the connection to a target that lay idle for the shortest time, if
// it is sound and leads to its present address.
func (p *connPool) get(target, addr string) *bufferedConn {
	for {
		l := p.pop(target)
		if l == nil {
			return nil
		}
		if time.Since(l.idleSince) < p.maxIdleTime && l.addr == addr && !l.stale() {
			return l
		}
		l.Close()
	}
}

func (p *connPool) pop(target string) *bufferedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	p.idle[target] = list[:len(list)-1]
	p.idleCount--
	return l
}

// put lets a connection lie idle, or closes it if there are too many.
func (p *connPool) put(target string, l *bufferedConn) {
	l.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleCount >= p.maxIdleConns {
		l.Close()
		return
	}
	p.idle[target] = append(p.idle[target], l)
	p.idleCount++
}

// closeIdle closes the idle connections to a target.
func (p *connPool) closeIdle(target string) {
	for l := p.pop(target); l != nil; l = p.pop(target) {
		l.Close()
	}
}

// closeStale closes those that lay idle for too long or that the target has closed.
func (p *connPool) closeStale() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, l := range list {
			if time.Since(l.idleSince) < p.maxIdleTime && !l.stale() {
				kept = append(kept, l)
				continue
			}
			l.Close()
			p.idleCount--
		}
		if p.idle[target] = kept; len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

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
