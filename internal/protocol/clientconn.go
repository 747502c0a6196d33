package protocol

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

const (
	idleTimeout     = 2500 * time.Millisecond // how long a connection may wait for another request
	readTimeout     = 2 * time.Second         // a request must be read within this; the first one from the accept on
	responseTimeout = 300 * time.Millisecond  // ...and answered within this: clients wait 400 ms
	closeGrace      = 20 * time.Millisecond   // a connection that is to end: a request on its way still gets its response

	lingerTimeout      = 500 * time.Millisecond // how long input is discarded after a half-close...
	shortLingerTimeout = 5 * time.Millisecond   // ...and where too many linger
)

// A connState is what a client's connection is doing. Its changes go through Listener.setState.
type connState int

const (
	connNew       connState = iota // accepted, waits for its first request
	connIdle                       // waits for another request
	connDraining                   // is to end, unless a request is on its way
	connActive                     // a request is being read or answered
	connEvicted                    // chosen to make room; a request that came in that instant is still served, as the last
	connLingering                  // half-closed: input is discarded until the close; the last state
)

func (s connState) String() string {
	return [...]string{"new", "idle", "draining", "active", "evicted", "lingering"}[s]
}

// waiting reports whether a connection waits for a request and may be evicted or drained.
func (s connState) waiting() bool { return s == connNew || s == connIdle || s == connDraining }

// A clientConn is one client's connection.
type clientConn struct {
	*bufferedConn

	// Under the listener's mutex.
	state           connState
	used            bool      // it has had a request
	evictionChecked bool      // it had input pending when it was to be evicted, since it waits
	waitingSince    time.Time // for a request

	// Of the goroutine that serves it.
	lastRequest  bool  // the request that it reads is the last
	responseOwed bool  // a request was read, or a part of one, and has no response
	err          error // why that is so, if it is
}

func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{bufferedConn: newBufferedConn(conn), waitingSince: time.Now()}
}

// setState has a connection enter a state, and sets how long it may be in it. Its caller holds the listener's mutex,
// and is the goroutine that serves the connection for each state but connEvicted and connDraining.
func (l *Listener) setState(c *clientConn, next connState) {
	now := time.Now()
	switch next {
	case connNew:
		c.SetDeadline(now.Add(readTimeout))
	case connIdle:
		c.SetDeadline(now.Add(idleTimeout))
	case connDraining:
		c.SetReadDeadline(now.Add(closeGrace))
	case connActive:
		c.SetDeadline(c.readDeadline(now))
		if c.state == connEvicted {
			c.lastRequest = true
		}
		if !c.used {
			c.used = true
			l.usedConns++
		}
	case connEvicted:
		c.SetReadDeadline(pastDeadline)
	case connLingering:
		delete(l.conns, c)
		if c.used {
			l.usedConns--
		}
	}
	c.state = next
}

// readDeadline is when a request that began to come now must have been read. A client that connects and sends no whole
// request is not waited for any longer than one that sends nothing.
func (c *clientConn) readDeadline(now time.Time) time.Time {
	if c.used {
		return now.Add(readTimeout)
	}
	deadline := c.waitingSince.Add(readTimeout)
	if earliest := now.Add(responseTimeout); deadline.Before(earliest) { // its first byte came in the last instant
		return earliest
	}
	return deadline
}

// enterWaiting has a connection wait for a request, in the state that follows from what the listener is doing.
func (l *Listener) enterWaiting(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == connEvicted { // between its accept and now
		return
	}
	c.evictionChecked, c.waitingSince = false, time.Now()
	switch {
	case l.closing.Load() || (l.slotAwaited.Load() || l.drainedSince.Load() != nil) && c.used:
		l.setState(c, connDraining)
	case !c.used:
		l.setState(c, connNew)
	default:
		l.setState(c, connIdle)
	}
}

// activate has a connection read and answer a request whose first byte is there.
func (l *Listener) activate(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setState(c, connActive)
}

// evictedBefore reports whether a connection is evicted before another one.
func (c *clientConn) evictedBefore(other *clientConn) bool {
	if c.used != other.used {
		return other.used
	}
	return c.waitingSince.Before(other.waitingSince)
}

// closesAfterResponse reports whether a connection is to end after the response under way.
func (l *Listener) closesAfterResponse(c *clientConn) bool {
	if c.lastRequest || l.closing.Load() || l.keepAliveDisabled.Load() ||
		l.slotAwaited.Load() || l.drainedSince.Load() != nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedConns > l.maxKeepAlive
}

// serveConn serves one connection, one request after another, and closes it.
func (l *Listener) serveConn(c *clientConn) {
	defer l.serving.Done()
	for l.awaitRequest(c) {
		l.activate(c)
		l.counters.requests.Add(1)
		c.responseOwed = true
		if !l.serveRequest(c) {
			break
		}
	}
	if c.responseOwed {
		l.counters.unanswered.Add(1)
		if !errors.Is(c.err, io.ErrUnexpectedEOF) { // the client did not leave in the middle of its request
			l.log.Info("request unanswered", "client", c.RemoteAddr().String(), "err", c.err)
		}
	}
	l.closeConn(c)
}

// awaitRequest waits for the first byte of a request. Whoever wants the connection to end moves its deadline; a request
// that came in that instant still gets its response, as the last.
func (l *Listener) awaitRequest(c *clientConn) bool {
	l.enterWaiting(c)
	c.readLimit.N = maxHeaderBytes
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.openWithoutInput() {
		c.lastRequest = true
		c.SetReadDeadline(time.Now().Add(closeGrace))
		_, err = c.reader.Peek(1)
	}
	return err == nil
}

// closeConn closes a connection gracefully. Its slot is free at once, unless too many linger.
func (l *Listener) closeConn(c *clientConn) {
	l.mu.Lock()
	l.setState(c, connLingering)
	l.mu.Unlock()
	select {
	case l.lingerSlots <- struct{}{}:
		<-l.servingSlots
		l.lingering.Go(func() {
			c.closeGracefully(time.Now().Add(lingerTimeout))
			<-l.lingerSlots
		})
	default:
		c.closeGracefully(time.Now().Add(shortLingerTimeout))
		<-l.servingSlots
	}
}
