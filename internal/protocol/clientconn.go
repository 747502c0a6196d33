package protocol

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cleathold/internal/connbudget"
	"cleathold/internal/httpconn"
)

const (
	idleTimeout     = 2500 * time.Millisecond // maximum wait for another request on a connection
	readTimeout     = 2 * time.Second         // maximum time to read a request; for the first one since the accept
	responseTimeout = 300 * time.Millisecond  // maximum time to respond to a request; clients wait 400 ms
	closeGrace      = 20 * time.Millisecond   // wait before a close for a request that is already in transit

	lingerTimeout      = 500 * time.Millisecond // how long input is discarded after a half-close
	shortLingerTimeout = 5 * time.Millisecond   // the same if too many connections are lingering
)

// A connState is the state of a client connection. Listener.setState makes all transitions.
type connState int

const (
	connNew       connState = iota // accepted, waiting for the first request
	connIdle                       // waiting for another request
	connDraining                   // closes unless a request is already in transit
	connActive                     // a request is being read or answered
	connEvicted                    // closes to free its slot; a request that has just arrived is still served, as the last
	connLingering                  // half-closed, input is discarded until the close; final state
)

func (s connState) String() string {
	return [...]string{"new", "idle", "draining", "active", "evicted", "lingering"}[s]
}

// waiting reports whether a connection in this state waits for a request and may be evicted or drained.
func (s connState) waiting() bool { return s == connNew || s == connIdle || s == connDraining }

// A clientConn is a connection accepted from a client.
type clientConn struct {
	*httpconn.Conn

	// Guarded by the listener's mutex.
	state        connState
	used         bool          // at least one request was received
	waitingSince time.Time     // when the wait for a request began
	waitingIn    *list.List    // the list of the listener's wait queue that holds the connection; nil if none does
	waitElement  *list.Element // its element in that list

	reader *requestReader // reads the requests

	// Used only by the goroutine that serves the connection.
	lastRequest  bool  // the connection closes after the request being read
	responseOwed bool  // a request was received at least in part, and has no response yet
	err          error // the error that prevented the response
}

func newClientConn(conn net.Conn, budget *connbudget.Budget) *clientConn {
	c := &clientConn{Conn: httpconn.NewFromClient(conn), waitingSince: time.Now()}
	c.reader = newRequestReader(c.Conn, budget)
	return c
}

// setState moves a connection to a state and sets the deadline that applies in it. The caller must hold the listener's
// mutex. Only connEvicted and connDraining may be set by goroutines other than the one serving the connection.
func (l *Listener) setState(c *clientConn, next connState) {
	now := time.Now()
	if !next.waiting() {
		l.waiting.remove(c)
	}
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
		c.SetReadDeadline(httpconn.PastDeadline)
	case connLingering:
		delete(l.conns, c)
		if c.used {
			l.usedConns--
		}
	}
	c.state = next
}

// readDeadline returns the time by which a request whose first byte has arrived now must have been read. The wait for a
// client that sends only a part of its first request is no longer than for one that sends nothing.
func (c *clientConn) readDeadline(now time.Time) time.Time {
	if c.used {
		return now.Add(readTimeout)
	}
	deadline := c.waitingSince.Add(readTimeout)
	if earliest := now.Add(responseTimeout); deadline.Before(earliest) { // the first byte came just before the deadline
		return earliest
	}
	return deadline
}

// enterWaiting moves a connection to the waiting state that the state of the listener requires.
func (l *Listener) enterWaiting(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == connEvicted { // evicted right after its accept
		return
	}
	c.waitingSince = time.Now()
	l.waiting.push(c)
	switch {
	case l.closing.Load() || (l.slotAwaited.Load() || l.drainedSince.Load() != nil) && c.used:
		l.setState(c, connDraining)
	case !c.used:
		l.setState(c, connNew)
	default:
		l.setState(c, connIdle)
	}
}

// activate moves a connection to connActive once the first byte of a request has arrived.
func (l *Listener) activate(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setState(c, connActive)
}

// closesAfterResponse reports whether a connection must be closed after the current response.
func (l *Listener) closesAfterResponse(c *clientConn) bool {
	if c.lastRequest || l.closing.Load() || l.keepAliveDisabled.Load() ||
		l.slotAwaited.Load() || l.drainedSince.Load() != nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedConns > l.maxKeepAlive
}

// serveConn serves the requests on a connection one after another, and then closes it.
func (l *Listener) serveConn(c *clientConn) {
	defer l.serving.Done()
	for l.awaitRequest(c) {
		l.activate(c)
		l.counters.requests.Add(1)
		c.responseOwed = true
		c.reader.begin()
		keep := l.serveRequest(c)
		c.reader.end()
		if !keep {
			break
		}
	}
	if c.responseOwed {
		l.counters.unanswered.Add(1)
		if !errors.Is(c.err, io.ErrUnexpectedEOF) { // the client did not disconnect in the middle of its request
			l.log.Info("connection ended before the request was answered", "client", c.RemoteAddr().String(), "err", c.err)
		}
	}
	l.closeConn(c)
}

// awaitRequest waits for the first byte of a request and reports whether one arrived. Eviction and draining interrupt
// the wait by setting the read deadline; a request that arrives at the same time is still answered, as the last one.
func (l *Listener) awaitRequest(c *clientConn) bool {
	l.enterWaiting(c)
	c.ReadLimit.N = httpconn.MaxHeaderBytes
	_, err := c.Reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.OpenWithoutInput() {
		c.lastRequest = true
		c.SetReadDeadline(time.Now().Add(closeGrace))
		_, err = c.Reader.Peek(1)
	}
	return err == nil
}

// closeConn closes a connection gracefully. It frees the serving slot at once, unless too many connections are
// lingering already.
func (l *Listener) closeConn(c *clientConn) {
	l.mu.Lock()
	l.setState(c, connLingering)
	l.mu.Unlock()
	select {
	case l.lingerSlots <- struct{}{}:
		<-l.servingSlots
		l.lingering.Go(func() {
			c.CloseGracefully(time.Now().Add(lingerTimeout))
			<-l.lingerSlots
		})
	default:
		if c.reader.refused() == connbudget.NotRefused { // others wait for the slot of a refused one
			c.CloseGracefully(time.Now().Add(shortLingerTimeout))
		}
		c.Close()
		<-l.servingSlots
	}
}
