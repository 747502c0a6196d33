package admin

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/internal/connbudget"
	"cleathold/internal/httpconn"
)

const (
	roomInterval = 2 * time.Millisecond   // between two looks for the place of a new connection
	roomTimeout  = 300 * time.Millisecond // after which the oldest connection is closed for it, whatever it does

	// acceptInterval is the mean time between connections, after a burst of acceptBurst, so that clients that connect
	// again and again leave time for the calls of others.
	acceptInterval = 600 * time.Microsecond
	acceptBurst    = 64
)

// limitedListener limits the open connections of a listener. At the limit a connection whose call is not whole gives way
// to a new one, so that clients that send no call, or a part of one, can't block others.
type limitedListener struct {
	net.Listener
	budget *connbudget.Budget

	closed chan struct{} // receives a token after a connection was closed

	nextAccept time.Time // used by the accepting goroutine

	mu   sync.Mutex
	open list.List // of *limitedConn, oldest first
}

func newLimitedListener(l net.Listener, budget *connbudget.Budget) *limitedListener {
	return &limitedListener{Listener: l, budget: budget, closed: make(chan struct{}, 1)}
}

// limitedConn is a connection that leaves its listener's open connections on Close. It may have to give way until the
// head of its call has arrived, which must be within the limits of httpconn, and again once a response was written.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	element  *list.Element // in the open connections; nil once it is closed; guarded by the listener's mutex
	request  connbudget.Request
	answered atomic.Bool // a part of the response was written

	// Used by the reading goroutine.
	head              httpconn.HeadScanner
	reading, complete bool // whether the first read has begun, and whether the head has arrived
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.pace()
	l.makeRoom()
	conn := &limitedConn{Conn: c, listener: l}
	conn.request.Interrupt = func(connbudget.Reason) { go conn.Close() }
	conn.request.Read = func() bool { return conn.answered.Load() || httpconn.OpenWithoutInput(c) }
	l.mu.Lock()
	conn.element = l.open.PushBack(conn)
	l.mu.Unlock()
	return conn, nil
}

// pace waits until another connection may be accepted.
func (l *limitedListener) pace() {
	now := time.Now()
	if earliest := now.Add(-acceptBurst * acceptInterval); l.nextAccept.Before(earliest) {
		l.nextAccept = earliest
	}
	l.nextAccept = l.nextAccept.Add(acceptInterval)
	time.Sleep(l.nextAccept.Sub(now))
}

// makeRoom waits until there is room for another connection.
func (l *limitedListener) makeRoom() {
	for until := time.Now().Add(roomTimeout); l.full(); {
		now := time.Now()
		if now.After(until) {
			l.closeOldest()
			return
		}
		l.budget.EvictOldest(now)
		select {
		case <-l.closed:
		case <-time.After(roomInterval):
		}
	}
}

func (l *limitedListener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open.Len() >= l.budget.Limits().Connections
}

// closeOldest closes the oldest connection.
func (l *limitedListener) closeOldest() {
	l.mu.Lock()
	front := l.open.Front()
	l.mu.Unlock()
	if front != nil {
		front.Value.(*limitedConn).Close()
	}
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if !c.reading { // only now, because on a busy machine a call may wait here for long before it is read
		c.reading = true
		c.mayGiveWay()
	}
	n, err := c.Conn.Read(p)
	if c.complete {
		return n, err
	}
	_, complete, tooLarge := c.head.Scan(p[:n])
	if tooLarge != nil {
		return 0, tooLarge
	}
	if complete {
		c.complete = true
		c.listener.budget.Complete(&c.request)
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.answered.Store(true)
	c.mayGiveWay()
	return n, err
}

// mayGiveWay allows new connections to take the place of this one, unless it is closed.
func (c *limitedConn) mayGiveWay() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.element != nil {
		c.listener.budget.Begin(&c.request, time.Now())
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	l := c.listener
	l.mu.Lock()
	if c.element != nil {
		l.open.Remove(c.element)
		c.element = nil
	}
	l.budget.End(&c.request)
	l.mu.Unlock()
	err := c.Conn.Close()
	select {
	case l.closed <- struct{}{}:
	default:
	}
	return err
}
