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
	"cleathold/internal/state"
)

const (
	lingeringDivisor = 8 // part of the served connections that may linger beside them...
	minLingering     = 8 // ...but so many at least

	minAcceptBackoff = 5 * time.Millisecond // after an accept that failed, doubled up to maxAcceptBackoff
	maxAcceptBackoff = 100 * time.Millisecond

	// drainAcceptWindow is how long a drained sender still accepts messages: the clients' balancer notices only then.
	drainAcceptWindow = time.Second
)

// EventQueue takes what the listener reads; the loop is one.
type EventQueue interface {
	EventPoster
	PostBefore(event state.Event, deadline time.Time) bool
}

// KeyClaimer is asked before a message with an idempotency key is accepted: one of that key may wait in the dead-letter
// queue. False: it is on its way, and the client should retry later.
type KeyClaimer interface {
	ClaimKey(class int, key string, deadline time.Time) bool
}

// Listener accepts the clients' connections and serves their requests. Its methods may be called from any goroutine,
// the setters before Serve only.
type Listener struct {
	events     EventQueue
	settings   atomic.Pointer[requestSettings]
	log        *slog.Logger
	socket     net.Listener
	keyClaimer KeyClaimer // nil: keys have no owner besides the loop's table
	counters   *Counters

	servingSlots chan struct{}  // holds a token for each connection that is served
	lingerSlots  chan struct{}  // and for each that lingers
	serving      sync.WaitGroup // connections that are served, and Serve
	lingering    sync.WaitGroup // connections that linger

	closing           atomic.Bool
	keepAliveDisabled atomic.Bool               // each connection ends with its next response
	slotAwaited       atomic.Bool               // a connection waits for a slot, and none could be evicted
	drainedSince      atomic.Pointer[time.Time] // by the monotonic clock; nil: not drained

	maxKeepAlive int // so many connections are kept after a request

	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	usedConns int // of those, the ones that had a request
}

// requestSettings are the names that requests may use, and the classes that they number.
type requestSettings struct {
	names   Names
	classes []control.Class
}

// Listen opens the listening socket, for most connections at once. Of those that had a request keep are kept for the
// next one: some clients ask once and never close their connection, and clients may not hold that many.
func Listen(
	addr string, events EventQueue, n Names, classes []control.Class, maxConns, maxKeepAlive int, log *slog.Logger,
) (*Listener, error) {
	socket, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ListenOn(socket, events, n, classes, maxConns, maxKeepAlive, log), nil
}

// ListenOn is Listen on a socket that another process has opened.
func ListenOn(
	socket net.Listener, events EventQueue, n Names, classes []control.Class, maxConns, maxKeepAlive int, log *slog.Logger,
) *Listener {
	l := &Listener{
		events: events, log: log, socket: socket, counters: &Counters{}, maxKeepAlive: maxKeepAlive,
		servingSlots: make(chan struct{}, maxConns), lingerSlots: make(chan struct{}, MaxLingering(maxConns)),
		conns: map[*clientConn]struct{}{},
	}
	l.SetNames(n, classes)
	l.serving.Add(1) // for Serve
	return l
}

// MaxLingering is how many half-closed connections may linger until their close, beside so many that are served.
func MaxLingering(served int) int { return max(minLingering, served/lingeringDivisor) }

// SetNames has requests read by other names and classes from now on; also while it serves.
func (l *Listener) SetNames(n Names, classes []control.Class) {
	l.settings.Store(&requestSettings{n, classes})
}

// SetKeyClaimer names the claimer; before Serve.
func (l *Listener) SetKeyClaimer(c KeyClaimer) { l.keyClaimer = c }

// SetCounters has what it does added to counters from now on; before Serve.
func (l *Listener) SetCounters(c *Counters) { l.counters = c }

// File returns the listening socket for another process: connections that wait in its queue outlast Close.
func (l *Listener) File() (*os.File, error) {
	socket, ok := l.socket.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP socket")
	}
	return socket.File()
}

// Addr is the address that it listens on.
func (l *Listener) Addr() net.Addr { return l.socket.Addr() }

// Serve accepts connections until Close. At their limit the next one waits for a slot, and an idle one is evicted.
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
			time.Sleep(backoff) // out of descriptors: don't spin
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		l.counters.accepted.Add(1)
		l.awaitSlot()
		c := newClientConn(conn)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		l.serving.Add(1)
		go l.serveConn(c)
	}
}

// awaitSlot takes a slot for a connection.
func (l *Listener) awaitSlot() {
	select {
	case l.servingSlots <- struct{}{}:
	default:
		l.evictIdle()
		l.servingSlots <- struct{}{}
		l.slotAwaited.Store(false)
	}
}

// evictIdle ends the connection that has waited for a request for longest, if no input is pending on it. Those that
// never had a request come first: some peers connect by hundreds and send nothing, and others should not have to make
// room for them. Where none can be evicted, the next that has its response ends.
func (l *Listener) evictIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var oldest *clientConn
		for c := range l.conns {
			if c.state.waiting() && !c.evictionChecked && (oldest == nil || c.evictedBefore(oldest)) {
				oldest = c
			}
		}
		if oldest == nil {
			l.slotAwaited.Store(true)
			return
		}
		oldest.evictionChecked = true
		if oldest.openWithoutInput() {
			l.counters.evicted.Add(1)
			l.setState(oldest, connEvicted)
			return
		}
	}
}

// DisableKeepAlive ends each connection with its next response. Clients that are told so send nothing more on it,
// while a plain close could cross a request.
func (l *Listener) DisableKeepAlive() { l.keepAliveDisabled.Store(true) }

// Drain sends clients away: health says no, connections end with their next response, idle ones at once, and after
// drainAcceptWindow messages are rejected. Accepted messages are not touched.
func (l *Listener) Drain() {
	if now := time.Now(); l.drainedSince.CompareAndSwap(nil, &now) {
		l.drainIdle()
	}
}

// Activate ends Drain.
func (l *Listener) Activate() { l.drainedSince.Store(nil) }

// drainIdle ends connections that wait for a request, unless one is on its way.
func (l *Listener) drainIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state.waiting() {
			l.setState(c, connDraining)
		}
	}
}

// rejectsMessages reports whether a drained sender accepts no message any more.
func (l *Listener) rejectsMessages() bool {
	since := l.drainedSince.Load()
	return since != nil && time.Since(*since) > drainAcceptWindow
}

// Close ends accepting and idle connections, and lets the others end with the response under way. It waits until no
// request is served any more, or the deadline. Connections that linger go on: see Wait.
func (l *Listener) Close(deadline time.Time) {
	l.closing.Store(true)
	l.socket.Close()
	l.drainIdle()
	waitUntil(deadline, &l.serving)
}

// Wait waits after Close until all connections are closed, or the deadline: the end of the process would reset those
// that still linger.
func (l *Listener) Wait(deadline time.Time) { waitUntil(deadline, &l.lingering) }

// waitUntil waits for a group until a deadline.
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
