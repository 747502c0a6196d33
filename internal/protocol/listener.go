package protocol

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/connbudget"
	"cleathold/internal/state"
)

const (
	lingeringDivisor = 8 // one connection may linger for this many served connections
	minLingering     = 8 // minimum number of connections that may linger

	minAcceptBackoff = 5 * time.Millisecond // backoff after a failed accept, doubled up to maxAcceptBackoff
	maxAcceptBackoff = 100 * time.Millisecond

	// slotRetryInterval is how long a new connection waits for a slot before another connection is evicted for it.
	slotRetryInterval = 5 * time.Millisecond

	// maxSilence is how long a new connection may be without a request before it gives way as if that were incomplete.
	// Before, incomplete requests give way.
	maxSilence = 50 * time.Millisecond

	// drainAcceptWindow is how long a drained sender still accepts messages. The load balancer of the clients needs this
	// time to notice the failing health check.
	drainAcceptWindow = time.Second
)

// EventQueue is the interface for submitting messages and posting events. The event loop implements it.
type EventQueue interface {
	EventPoster
	// PostBefore posts an event and reports false if that is not possible before the deadline.
	PostBefore(event state.Event, deadline time.Time) bool
}

// KeyClaimer claims an idempotency key before a message with that key is accepted, because an earlier message with the
// same key may be in the dead-letter queue.
type KeyClaimer interface {
	// ClaimKey reports false if the earlier message is being redelivered, or if the claim fails by the deadline. The
	// client should retry later then.
	ClaimKey(class int, key string, deadline time.Time) bool
}

// Listener accepts client connections and serves their requests. Its methods are safe for concurrent use, except that
// SetKeyClaimer and SetCounters must be called before Serve.
type Listener struct {
	events     EventQueue
	settings   atomic.Pointer[requestSettings]
	log        *slog.Logger
	socket     net.Listener
	keyClaimer KeyClaimer // nil if only the event loop tracks keys
	counters   *Counters
	budget     *connbudget.Budget

	servingSlots chan struct{}  // holds a token for each connection being served
	lingerSlots  chan struct{}  // holds a token for each lingering connection
	serving      sync.WaitGroup // counts the connections being served, and Serve
	lingering    sync.WaitGroup // counts the lingering connections

	closing           atomic.Bool
	keepAliveDisabled atomic.Bool               // each connection closes after its next response
	slotAwaited       atomic.Bool               // a new connection waits for a slot and none could be evicted
	drainedSince      atomic.Pointer[time.Time] // has a monotonic clock reading; nil if not drained

	maxKeepAlive int // maximum number of connections kept open after a request

	mu        sync.Mutex
	conns     map[*clientConn]struct{} // connections that are not lingering
	waiting   waitQueue                // those of conns that wait for a request
	usedConns int                      // number of conns that had at least one request
}

// requestSettings holds the names that requests may use and the classes, which are indexed by class number.
type requestSettings struct {
	names   Names
	classes []control.Class
}

// Listen opens the listening socket. The budget limits the connections that are served at once and the memory that their
// requests may use. At most maxKeepAlive connections are kept open after a request: some clients send a single request
// and never close the connection, and clients have a limit on their own connections.
func Listen(
	addr string, events EventQueue, n Names, classes []control.Class, budget *connbudget.Budget, maxKeepAlive int,
	log *slog.Logger,
) (*Listener, error) {
	socket, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ListenOn(socket, events, n, classes, budget, maxKeepAlive, log), nil
}

// ListenOn is like Listen but uses a listening socket that is already open, such as one inherited from another process.
func ListenOn(
	socket net.Listener, events EventQueue, n Names, classes []control.Class, budget *connbudget.Budget, maxKeepAlive int,
	log *slog.Logger,
) *Listener {
	maxConns := budget.Limits().Connections
	l := &Listener{
		events: events, log: log, socket: socket, counters: &Counters{}, budget: budget, maxKeepAlive: maxKeepAlive,
		servingSlots: make(chan struct{}, maxConns), lingerSlots: make(chan struct{}, MaxLingering(maxConns)),
		conns: map[*clientConn]struct{}{},
	}
	l.SetNames(n, classes)
	l.serving.Add(1) // for Serve
	return l
}

// MaxLingering returns the maximum number of half-closed connections that may linger in addition to the served ones.
func MaxLingering(served int) int { return max(minLingering, served/lingeringDivisor) }

// SetNames sets the names and classes used to parse requests. It may be called while the listener is serving.
func (l *Listener) SetNames(n Names, classes []control.Class) {
	l.settings.Store(&requestSettings{n, classes})
}

// SetKeyClaimer sets the KeyClaimer. It must be called before Serve.
func (l *Listener) SetKeyClaimer(c KeyClaimer) { l.keyClaimer = c }

// SetCounters sets the counters that the listener updates. It must be called before Serve.
func (l *Listener) SetCounters(c *Counters) { l.counters = c }

// File returns a duplicate of the listening socket to pass to another process. Connections in its accept queue are not
// lost when this listener closes.
func (l *Listener) File() (*os.File, error) {
	socket, ok := l.socket.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP socket")
	}
	return socket.File()
}

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() net.Addr { return l.socket.Addr() }

// Serve accepts connections until Close. At the connection limit it evicts an idle connection, and the new one waits
// for the slot.
func (l *Listener) Serve() {
	defer l.serving.Done()
	backoff := minAcceptBackoff
	for {
		conn, err := l.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.counters.acceptFailed.Add(1)
			l.log.Warn("accept failed", "err", err)
			time.Sleep(backoff) // avoids a busy loop while the process is out of file descriptors
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		l.counters.accepted.Add(1)
		l.awaitSlot()
		c := newClientConn(conn, l.budget)
		l.mu.Lock()
		l.add(c)
		l.mu.Unlock()
		l.serving.Add(1)
		go l.serveConn(c)
	}
}

// add adds a new connection, which waits for its first request. The caller must hold the mutex.
func (l *Listener) add(c *clientConn) {
	l.conns[c] = struct{}{}
	l.waiting.push(c)
}

// awaitSlot acquires a serving slot for a new connection. While none is free, it evicts another connection.
func (l *Listener) awaitSlot() {
	for {
		select {
		case l.servingSlots <- struct{}{}:
			l.slotAwaited.Store(false)
			return
		default:
		}
		l.evict()
		select {
		case l.servingSlots <- struct{}{}:
			l.slotAwaited.Store(false)
			return
		case <-time.After(slotRetryInterval):
		}
	}
}

// evict evicts a connection for a new one: first the one that has been without its first request, or with an incomplete
// one, for longest, then one that waits for another request. Clients that open hundreds of connections and send nothing,
// or stop in the middle of a request, should not displace connections in use. If none can be evicted, the next connection
// that completes a response is closed.
func (l *Listener) evict() {
	limits, now := l.budget.Limits(), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	silentSince := now.Add(-maxSilence)
	if since, incomplete := l.budget.OldestSince(); incomplete && since.Before(silentSince) {
		silentSince = since // the incomplete request goes before connections that are younger
	}
	switch {
	case l.evictWaiting(false, silentSince):
	case l.budget.EvictOldest(now):
	case l.evictWaiting(false, now.Add(-limits.Patience())):
	case limits.KeepsIdle(l.waiting.unused.Len() + l.budget.Incomplete()):
	case l.evictWaiting(true, now):
	default:
		l.slotAwaited.Store(true)
	}
}

// evictWaiting evicts the connection that has waited longest for a request, has no pending input and has waited since
// before a time. It considers those that had a request before, or those that never had one, and reports whether there
// was one. A connection with pending input is not considered again during its wait. The caller must hold the mutex.
func (l *Listener) evictWaiting(used bool, before time.Time) bool {
	for {
		oldest := l.waiting.oldest(used)
		if oldest == nil || oldest.waitingSince.After(before) {
			return false
		}
		l.waiting.remove(oldest)
		if oldest.OpenWithoutInput() {
			l.counters.evicted.Add(1)
			l.setState(oldest, connEvicted)
			return true
		}
	}
}

// DisableKeepAlive closes each connection after its next response. The response announces the close, so the client
// sends no further request on the connection; closing an idle connection could lose a request in transit.
func (l *Listener) DisableKeepAlive() { l.keepAliveDisabled.Store(true) }

// Drain makes clients use other senders: health checks fail, idle connections are closed at once and others after their
// next response, and messages are rejected after drainAcceptWindow. Accepted messages are not affected.
func (l *Listener) Drain() {
	if now := time.Now(); l.drainedSince.CompareAndSwap(nil, &now) {
		l.drainIdle()
	}
}

// Activate reverts Drain.
func (l *Listener) Activate() { l.drainedSince.Store(nil) }

// drainIdle closes connections that wait for a request, unless one is already in transit.
func (l *Listener) drainIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state.waiting() {
			l.setState(c, connDraining)
		}
	}
}

// rejectsMessages reports whether the sender has been drained for longer than drainAcceptWindow.
func (l *Listener) rejectsMessages() bool {
	since := l.drainedSince.Load()
	return since != nil && time.Since(*since) > drainAcceptWindow
}

// Close stops accepting connections, closes idle ones, and closes the others after their current response. It waits
// until no request is being served, or until the deadline. It doesn't wait for lingering connections; see Wait.
func (l *Listener) Close(deadline time.Time) {
	l.closing.Store(true)
	l.socket.Close()
	l.drainIdle()
	waitUntil(deadline, &l.serving)
}

// Wait waits after Close until all lingering connections are closed, or until the deadline. If the process exited
// earlier, they would be reset.
func (l *Listener) Wait(deadline time.Time) { waitUntil(deadline, &l.lingering) }

// waitUntil waits for wg, at most until the deadline.
func waitUntil(deadline time.Time, wg *sync.WaitGroup) {
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
