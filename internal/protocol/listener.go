package protocol

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

const (
	idleTimeout        = 2500 * time.Millisecond // a client's connection may lie idle so long after a request
	readTimeout        = 2 * time.Second         // a request must be read within this; the first one from the connection on
	responseTimeout    = 300 * time.Millisecond  // ... and answered within this, as clients wait 400 ms
	closeGrace         = 20 * time.Millisecond   // one that is to end: a request on its way still gets its answer
	lingerTimeout      = 500 * time.Millisecond  // after the half-close what still comes is read for so long...
	shortLingerTimeout = 5 * time.Millisecond    // ...or for so long, where too many are being closed
	lingeringDivisor   = 8                       // part of the connections served that may be read out beside them...
	minLingering       = 8                       // ...but so many at least
	drainAcceptWindow  = time.Second             // a drained sender still takes messages on for so long, in which the front notices
	busyRetryAfter     = time.Second             // when to come again if the loop is not to be had

	minAcceptBackoff = 5 * time.Millisecond   // after an accept that failed, doubled up to...
	maxAcceptBackoff = 100 * time.Millisecond // ...this
)

// EventQueue takes what the listener reads; the loop is one.
type EventQueue interface {
	EventPoster
	PostBefore(event state.Event, limit time.Time) bool
}

// Listener is the clients' side.
type Listener struct {
	events            EventQueue
	settings          atomic.Pointer[requestSettings]
	log               *slog.Logger
	socket            net.Listener
	servingSlots      chan struct{} // holds a token for each connection that is served
	lingerSlots       chan struct{} // and for each that is read out before it is closed
	closing           atomic.Bool
	keepAliveDisabled atomic.Bool               // messages are still taken, each as the last on its connection
	slotAwaited       atomic.Bool               // a connection waits for a place: others end after their answer
	drainedSince      atomic.Pointer[time.Time] // since when clients are sent away, by the monotonic clock; nil = they are not
	serving           sync.WaitGroup            // of connections that are served
	lingering         sync.WaitGroup            // and of those that are read out

	maxKeptAlive int        // so many connections are kept after a request
	keyClaimer   KeyClaimer // nil: keys have no owner besides the table
	counters     *Counters

	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	usedConns int // of those, the ones that had a request
}

// requestSettings are the words of the settings in force, and the classes that they number.
type requestSettings struct {
	names   Names
	classes []control.Class
}

// SetNames has requests read by other words from now on.
func (l *Listener) SetNames(n Names, classes []control.Class) {
	l.settings.Store(&requestSettings{n, classes})
}

// KeyClaimer is asked before a message with a key is taken on: one of that key may be
// kept for later. False: it is on its way, and the client should come again.
type KeyClaimer interface {
	ClaimKey(class int, key string, by time.Time) bool
}

// SetKeyClaimer names the claimer; before Serve.
func (l *Listener) SetKeyClaimer(c KeyClaimer) { l.keyClaimer = c }

// SetCounters has what it does added to counters from now on; before Serve.
func (l *Listener) SetCounters(c *Counters) { l.counters = c }

// A clientConn is one client's connection.
type clientConn struct {
	*bufferedConn
	// All under the listener's mutex.
	idle          bool // no request is being read or answered
	evictionTried bool // looked at for eviction since it is idle
	evicted       bool // it makes room, with the answer to a request that came in that instant at the latest
	used          bool // it has had a request
	since         time.Time

	// Its own goroutine's.
	lastRequest  bool  // the request that it reads is the last
	responseOwed bool  // a request was read, or a part of one, and has no answer
	err          error // why that is so, if it is
}

// Listen opens the listening socket, for so many connections at most. Of those
// that had a request so many are kept for the next one: some clients ask once and
// hold on to their connection for good, and clients may not hold that many.
func Listen(addr string, to EventQueue, n Names, classes []control.Class, most, keep int, log *slog.Logger) (*Listener, error) {
	sock, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ListenOn(sock, to, n, classes, most, keep, log), nil
}

// ListenOn is Listen on a socket that another process has opened.
func ListenOn(sock net.Listener, to EventQueue, n Names, classes []control.Class, most, keep int, log *slog.Logger) *Listener {
	l := &Listener{
		events: to, log: log, socket: sock,
		servingSlots: make(chan struct{}, most), lingerSlots: make(chan struct{}, MaxLingering(most)), maxKeptAlive: keep, conns: map[*clientConn]struct{}{}, counters: &Counters{},
	}
	l.SetNames(n, classes)
	l.serving.Add(1) // for Serve
	return l
}

// MaxLingering is how many connections may be read out before they are closed, beside so many that are served.
func MaxLingering(served int) int { return max(minLingering, served/lingeringDivisor) }

// File is the listening socket for another process: connections that wait in its queue outlast Close.
func (l *Listener) File() (*os.File, error) {
	sock, ok := l.socket.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP socket")
	}
	return sock.File()
}

// Addr is the address that it listens on.
func (l *Listener) Addr() net.Addr { return l.socket.Addr() }

// Serve accepts connections until Close. At their limit the next one waits
// until a place is free, and one on which nothing goes on gives way at once.
func (l *Listener) Serve() {
	defer l.serving.Done()
	wait := minAcceptBackoff
	for {
		c, err := l.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.counters.acceptFailed.Add(1)
			l.log.Warn("accept", "err", err)
			time.Sleep(wait) // out of descriptors: not at full speed round and round
			wait = min(2*wait, maxAcceptBackoff)
			continue
		}
		wait = minAcceptBackoff
		l.counters.accepted.Add(1)
		select {
		case l.servingSlots <- struct{}{}:
		default:
			l.evictIdle()
			l.servingSlots <- struct{}{}
			l.slotAwaited.Store(false)
		}
		k := &clientConn{bufferedConn: newBufferedConn(c), idle: true, since: time.Now()}
		l.mu.Lock()
		l.conns[k] = struct{}{}
		l.mu.Unlock()
		l.serving.Add(1)
		go l.serveConn(k)
	}
}

// evictIdle ends the connection that has gone without a request for longest, if
// nothing lies unread on it. Those that never had one come first: some peers
// connect by hundreds and say nothing, and others should not have to make room
// for them. Where none is to be had, the next that has its answer ends.
func (l *Listener) evictIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var first *clientConn
		for k := range l.conns {
			if k.idle && !k.evictionTried && (first == nil || k.evictedBefore(first)) {
				first = k
			}
		}
		if first == nil {
			l.slotAwaited.Store(true)
			return
		}
		first.evictionTried = true
		if first.openWithoutInput() {
			first.evicted = true
			l.counters.evicted.Add(1)
			first.SetReadDeadline(time.Unix(1, 0))
			return
		}
	}
}

// evictedBefore tells whether a connection gives way before another one.
func (k *clientConn) evictedBefore(o *clientConn) bool {
	if k.used != o.used {
		return o.used
	}
	return k.since.Before(o.since)
}

// closesAfterResponse tells that a connection is to end after the answer under way.
func (l *Listener) closesAfterResponse(k *clientConn) bool {
	if l.closing.Load() || l.keepAliveDisabled.Load() || l.slotAwaited.Load() || l.drainedSince.Load() != nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return k.evicted || l.usedConns > l.maxKeptAlive
}

// DisableKeepAlive ends each connection with its next answer. Clients that are told so
// send nothing more on it, while a plain close could cross a request.
func (l *Listener) DisableKeepAlive() { l.keepAliveDisabled.Store(true) }

// Drain sends clients away: health says no, connections end with their next answer, idle ones at once,
// and after a while messages get a fixed response. What was taken on is not touched.
func (l *Listener) Drain() {
	if now := time.Now(); l.drainedSince.CompareAndSwap(nil, &now) {
		l.closeIdle()
	}
}

// Activate takes clients back.
func (l *Listener) Activate() { l.drainedSince.Store(nil) }

// closeIdle gives connections between requests a last look.
func (l *Listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.conns {
		if k.idle {
			k.SetReadDeadline(time.Now().Add(closeGrace))
		}
	}
}

// rejectsMessages tells whether a drained sender takes no message on any more.
func (l *Listener) rejectsMessages() bool {
	since := l.drainedSince.Load()
	return since != nil && time.Since(*since) > drainAcceptWindow
}

// Close ends accepting and idle connections, and lets the others end with the answer that is under way. It waits until
// no request is served any more, or the deadline. Connections that are read out go on: see Finish.
func (l *Listener) Close(deadline time.Time) {
	l.closing.Store(true)
	l.socket.Close()
	l.closeIdle()
	waitUntil(deadline, &l.serving)
}

// Wait waits after Close until all connections are closed, or the deadline: the end of the process would reset those
// that are still read out.
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

// setIdle marks a connection as idle, or as busy, and sets how long it may be so.
func (l *Listener) setIdle(k *clientConn, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := k.since
	k.idle, k.evictionTried, k.since = idle, false, time.Now()
	switch {
	case idle && k.evicted: // before it was waited on
		k.SetReadDeadline(time.Unix(1, 0))
	case !idle && !k.used: // one that connects and sends no whole request is not waited for
		by := began.Add(readTimeout)
		if least := k.since.Add(responseTimeout); by.Before(least) { // its first byte came in the last instant
			by = least
		}
		k.SetDeadline(by)
	case !idle:
		k.SetDeadline(k.since.Add(readTimeout))
	case l.closing.Load() || (l.slotAwaited.Load() || l.drainedSince.Load() != nil) && k.used:
		k.SetDeadline(k.since.Add(closeGrace))
	case !k.used:
		k.SetDeadline(k.since.Add(readTimeout))
	default:
		k.SetDeadline(k.since.Add(idleTimeout))
	}
	if !idle && !k.used {
		k.used = true
		l.usedConns++
	}
}

// serveConn serves one connection, one request after another.
func (l *Listener) serveConn(k *clientConn) {
	defer l.serving.Done()
	for l.awaitRequest(k) {
		l.setIdle(k, false)
		l.counters.requests.Add(1)
		k.responseOwed = true
		if !l.serveRequest(k) {
			break
		}
	}
	if k.responseOwed {
		l.counters.unanswered.Add(1)
	}
	if k.responseOwed && !errors.Is(k.err, io.ErrUnexpectedEOF) { // it did not leave in the middle of its request
		l.log.Info("a request ends without an answer", "client", k.RemoteAddr().String(), "err", k.err)
	}
	l.mu.Lock()
	delete(l.conns, k)
	if k.used {
		l.usedConns--
	}
	l.mu.Unlock()
	select {
	case l.lingerSlots <- struct{}{}:
		<-l.servingSlots
		l.lingering.Go(func() {
			k.closeGracefully(time.Now().Add(lingerTimeout))
			<-l.lingerSlots
		})
	default:
		k.closeGracefully(time.Now().Add(shortLingerTimeout))
		<-l.servingSlots
	}
}

// awaitRequest waits for the first byte of a request. Whoever wants the connection to end moves its deadline; a request that
// came in that instant still gets its answer, as the last.
func (l *Listener) awaitRequest(k *clientConn) bool {
	l.setIdle(k, true)
	k.readLimit.N = maxHeaderBytes
	_, err := k.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !k.openWithoutInput() {
		k.lastRequest = true
		k.SetReadDeadline(time.Now().Add(closeGrace))
		_, err = k.reader.Peek(1)
	}
	return err == nil
}

// serveRequest reads one request and answers it. It tells whether another may follow.
func (l *Listener) serveRequest(k *clientConn) bool {
	r, err := readRequest(k.reader)
	arrived := time.Now()
	if err != nil {
		var f *requestError
		switch {
		case errors.As(err, &f):
		case k.readLimit.N <= 0:
			f = &requestError{http.StatusRequestHeaderFieldsTooLarge, "head too large", true}
		case errors.Is(err, os.ErrDeadlineExceeded):
			f = &requestError{http.StatusRequestTimeout, "request not whole in time", true}
		case isConnectionEnd(err):
			k.err = err
			return false
		default:
			f = &requestError{http.StatusBadRequest, "malformed request", true}
		}
		return l.respondError(k, f, true)
	}
	k.readLimit.N = state.MaxBody + maxHeaderBytes // chunks take more than what they hold
	if r.Header.Get("Expect") != "" && r.ContentLength <= state.MaxBody {
		io.WriteString(k, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	words := l.settings.Load()
	m, err := parseMessage(r, arrived, words.names, words.classes)
	var f *requestError
	errors.As(err, &f)
	// A body that nobody wanted must not be taken for the next request.
	rest := m == nil && (f == nil || !f.closes) && !discardBody(r)
	last := r.Close || rest || k.lastRequest || l.closesAfterResponse(k)
	switch {
	case f != nil:
		f.closes = f.closes || rest
		return l.respondError(k, f, last)
	case m == nil:
		if l.closing.Load() {
			return l.respond(k, http.StatusServiceUnavailable, 0, "stopping", true)
		}
		if l.drainedSince.Load() != nil {
			return l.respond(k, http.StatusServiceUnavailable, 0, "drained", true)
		}
		return l.respond(k, http.StatusOK, 0, "ok", last)
	}
	return l.submit(k, m, last)
}

// discardBody reads what is left of a request, and tells whether that was all.
func discardBody(r *http.Request) bool {
	_, err := io.CopyN(io.Discard, r.Body, state.MaxBody+1)
	return err == io.EOF
}

// isConnectionEnd tells an end of the connection from a request that can't be read.
func isConnectionEnd(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

// submit gives a message to the loop and its client the verdict.
func (l *Listener) submit(k *clientConn, m *state.Message, last bool) bool {
	if l.rejectsMessages() {
		return l.respond(k, http.StatusServiceUnavailable, busyRetryAfter, "drained", true)
	}
	verdict := make(chan state.Response, 1)
	limit := time.Now().Add(responseTimeout)
	if l.keyClaimer != nil && m.Key != "" && !l.keyClaimer.ClaimKey(m.Class, m.Key, limit) {
		return l.respond(k, http.StatusServiceUnavailable, busyRetryAfter, "a message with this key is on its way", last)
	}
	handed := state.Submitted{Message: m, Response: verdict, Decision: &state.AdmissionDecision{}}
	if !l.events.PostBefore(handed, limit) {
		return l.respond(k, http.StatusServiceUnavailable, busyRetryAfter, "busy", last)
	}
	v, decided := awaitResponse(verdict, handed.Decision, limit)
	last = last || l.closesAfterResponse(k) // the end may have been asked for meanwhile: the answer says so
	switch {
	case !decided:
		return l.respond(k, http.StatusServiceUnavailable, busyRetryAfter, "busy", last)
	case v.Accepted:
		err := l.writeResponse(k, http.StatusAccepted, 0, "", last)
		l.events.Post(state.ResponseWritten{ID: m.ID, OK: err == nil})
		return err == nil && !last
	case v.Invalid == state.UnknownDestination:
		return l.respond(k, http.StatusBadRequest, 0, "unknown destination", last)
	case v.Invalid == state.DuplicateID:
		return l.respond(k, http.StatusConflict, 0, "X-Request-Id in use", last)
	case v.Permanent:
		return l.respond(k, http.StatusInternalServerError, 0, "failed", last)
	}
	return l.respond(k, http.StatusServiceUnavailable, v.RetryAfter, "come again", last)
}

// awaitResponse waits for the verdict on a message until a limit. Where none has come by then the message is refused, and can't
// be taken on any more; one that was taken on in that instant is not refused.
func awaitResponse(verdict <-chan state.Response, d *state.AdmissionDecision, limit time.Time) (v state.Response, decided bool) {
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case v = <-verdict:
		return v, true
	case <-timer.C:
	}
	if d.Reject() {
		return v, false
	}
	return <-verdict, true
}

// respondError gives the fixed response for a fault.
func (l *Listener) respondError(k *clientConn, f *requestError, last bool) bool {
	return l.respond(k, f.status, 0, f.text, last || f.closes)
}

// respond writes an answer and tells whether another request may follow.
func (l *Listener) respond(k *clientConn, status int, again time.Duration, text string, last bool) bool {
	return l.writeResponse(k, status, again, text, last) == nil && !last
}

// writeResponse writes an answer; the last one on its connection says so.
func (l *Listener) writeResponse(k *clientConn, status int, again time.Duration, text string, last bool) error {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	if again > 0 {
		b.WriteString("Retry-After: " + formatSeconds(max(again, time.Millisecond)) + "\r\n")
	}
	if status == http.StatusMethodNotAllowed {
		b.WriteString("Allow: POST, GET\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if text != "" {
		b.WriteString("Content-Type: text/plain\r\n")
		text += "\n"
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text)
	k.SetWriteDeadline(time.Now().Add(responseTimeout))
	_, err := k.Write(b.Bytes())
	if err != nil {
		k.err = err
		return err
	}
	k.responseOwed = false
	l.counters.answers[status].Add(1)
	return nil
}
