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
	idleSpan   = 2500 * time.Millisecond // a client's connection may lie idle so long after a request
	readSpan   = 2 * time.Second         // a request must be read within this; the first one from the connection on
	answerSpan = 300 * time.Millisecond  // ... and answered within this, as clients wait 400 ms
	closeGrace = 20 * time.Millisecond   // one that is to end: a request on its way still gets its answer
	lingerSpan = 500 * time.Millisecond  // after the half-close what still comes is read for so long...
	lingerLess = 5 * time.Millisecond    // ...or for so long, where too many are being closed
	lingerPart = 8                       // part of the connections served that may be read out beside them...
	lingerBase = 8                       // ...but so many at least
	drainGrace = time.Second             // a drained sender still takes messages on for so long, in which the front notices
	busyPause  = time.Second             // when to come again if the loop is not to be had

	acceptPause     = 5 * time.Millisecond   // after an accept that failed, doubled up to...
	acceptPauseMost = 100 * time.Millisecond // ...this
)

// EventQueue takes what the listener reads; the loop is one.
type EventQueue interface {
	EventPoster
	PostBefore(event state.Event, limit time.Time) bool
}

// Listener is the clients' side.
type Listener struct {
	to      EventQueue
	terms   atomic.Pointer[terms]
	log     *slog.Logger
	sock    net.Listener
	places  chan struct{} // holds a token for each connection that is served
	linger  chan struct{} // and for each that is read out before it is closed
	closing atomic.Bool
	leaving atomic.Bool               // messages are still taken, each as the last on its connection
	crowded atomic.Bool               // a connection waits for a place: others end after their answer
	away    atomic.Pointer[time.Time] // since when clients are sent away, by the monotonic clock; nil = they are not
	wg      sync.WaitGroup            // of connections that are served
	out     sync.WaitGroup            // and of those that are read out

	keep   int        // so many connections are kept after a request
	claims KeyClaimer // nil: keys have no owner besides the table
	counts *Counters

	mu     sync.Mutex
	open   map[*client]struct{}
	served int // of those, the ones that had a request
}

// terms are the words of the settings in force, and the classes that they number.
type terms struct {
	names   Names
	classes []control.Class
}

// SetNames has requests read by other words from now on.
func (l *Listener) SetNames(n Names, classes []control.Class) { l.terms.Store(&terms{n, classes}) }

// KeyClaimer is asked before a message with a key is taken on: one of that key may be
// kept for later. False: it is on its way, and the client should come again.
type KeyClaimer interface {
	ClaimKey(class int, key string, by time.Time) bool
}

// SetKeyClaimer names the claimer; before Serve.
func (l *Listener) SetKeyClaimer(c KeyClaimer) { l.claims = c }

// SetCounters has what it does added to counters from now on; before Serve.
func (l *Listener) SetCounters(c *Counters) { l.counts = c }

// A client is one client's connection.
type client struct {
	*link
	// All under the listener's mutex.
	idle    bool // no request is being read or answered
	gone    bool // looked at for eviction since it is idle
	evicted bool // it makes room, with the answer to a request that came in that instant at the latest
	served  bool // it has had a request
	since   time.Time

	// Its own goroutine's.
	last bool  // the request that it reads is the last
	owed bool  // a request was read, or a part of one, and has no answer
	err  error // why that is so, if it is
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
		to: to, log: log, sock: sock,
		places: make(chan struct{}, most), linger: make(chan struct{}, MaxLingering(most)), keep: keep, open: map[*client]struct{}{}, counts: &Counters{},
	}
	l.SetNames(n, classes)
	l.wg.Add(1) // for Serve
	return l
}

// MaxLingering is how many connections may be read out before they are closed, beside so many that are served.
func MaxLingering(served int) int { return max(lingerBase, served/lingerPart) }

// File is the listening socket for another process: connections that wait in its queue outlast Close.
func (l *Listener) File() (*os.File, error) {
	sock, ok := l.sock.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP socket")
	}
	return sock.File()
}

// Addr is the address that it listens on.
func (l *Listener) Addr() net.Addr { return l.sock.Addr() }

// Serve accepts connections until Close. At their limit the next one waits
// until a place is free, and one on which nothing goes on gives way at once.
func (l *Listener) Serve() {
	defer l.wg.Done()
	wait := acceptPause
	for {
		c, err := l.sock.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.counts.acceptFailed.Add(1)
			l.log.Warn("accept", "err", err)
			time.Sleep(wait) // out of descriptors: not at full speed round and round
			wait = min(2*wait, acceptPauseMost)
			continue
		}
		wait = acceptPause
		l.counts.accepted.Add(1)
		select {
		case l.places <- struct{}{}:
		default:
			l.evict()
			l.places <- struct{}{}
			l.crowded.Store(false)
		}
		k := &client{link: newLink(c), idle: true, since: time.Now()}
		l.mu.Lock()
		l.open[k] = struct{}{}
		l.mu.Unlock()
		l.wg.Add(1)
		go l.attend(k)
	}
}

// evict ends the connection that has gone without a request for longest, if
// nothing lies unread on it. Those that never had one come first: some peers
// connect by hundreds and say nothing, and others should not have to make room
// for them. Where none is to be had, the next that has its answer ends.
func (l *Listener) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var first *client
		for k := range l.open {
			if k.idle && !k.gone && (first == nil || k.before(first)) {
				first = k
			}
		}
		if first == nil {
			l.crowded.Store(true)
			return
		}
		first.gone = true
		if first.quiet() {
			first.evicted = true
			l.counts.evicted.Add(1)
			first.SetReadDeadline(time.Unix(1, 0))
			return
		}
	}
}

// before tells whether a connection gives way before another one.
func (k *client) before(o *client) bool {
	if k.served != o.served {
		return o.served
	}
	return k.since.Before(o.since)
}

// ending tells that a connection is to end after the answer under way.
func (l *Listener) ending(k *client) bool {
	if l.closing.Load() || l.leaving.Load() || l.crowded.Load() || l.away.Load() != nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return k.evicted || l.served > l.keep
}

// DisableKeepAlive ends each connection with its next answer. Clients that are told so
// send nothing more on it, while a plain close could cross a request.
func (l *Listener) DisableKeepAlive() { l.leaving.Store(true) }

// Drain sends clients away: health says no, connections end with their next answer, idle ones at once,
// and after a while messages get a fixed response. What was taken on is not touched.
func (l *Listener) Drain() {
	if now := time.Now(); l.away.CompareAndSwap(nil, &now) {
		l.endIdle()
	}
}

// Activate takes clients back.
func (l *Listener) Activate() { l.away.Store(nil) }

// endIdle gives connections between requests a last look.
func (l *Listener) endIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.open {
		if k.idle {
			k.SetReadDeadline(time.Now().Add(closeGrace))
		}
	}
}

// turnsAway tells whether a drained sender takes no message on any more.
func (l *Listener) turnsAway() bool {
	since := l.away.Load()
	return since != nil && time.Since(*since) > drainGrace
}

// Close ends accepting and idle connections, and lets the others end with the answer that is under way. It waits until
// no request is served any more, or the deadline. Connections that are read out go on: see Finish.
func (l *Listener) Close(deadline time.Time) {
	l.closing.Store(true)
	l.sock.Close()
	l.endIdle()
	until(deadline, &l.wg)
}

// Wait waits after Close until all connections are closed, or the deadline: the end of the process would reset those
// that are still read out.
func (l *Listener) Wait(deadline time.Time) { until(deadline, &l.out) }

// until waits for a group until a deadline.
func until(deadline time.Time, wg *sync.WaitGroup) {
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
func (l *Listener) setIdle(k *client, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := k.since
	k.idle, k.gone, k.since = idle, false, time.Now()
	switch {
	case idle && k.evicted: // before it was waited on
		k.SetReadDeadline(time.Unix(1, 0))
	case !idle && !k.served: // one that connects and sends no whole request is not waited for
		by := began.Add(readSpan)
		if least := k.since.Add(answerSpan); by.Before(least) { // its first byte came in the last instant
			by = least
		}
		k.SetDeadline(by)
	case !idle:
		k.SetDeadline(k.since.Add(readSpan))
	case l.closing.Load() || (l.crowded.Load() || l.away.Load() != nil) && k.served:
		k.SetDeadline(k.since.Add(closeGrace))
	case !k.served:
		k.SetDeadline(k.since.Add(readSpan))
	default:
		k.SetDeadline(k.since.Add(idleSpan))
	}
	if !idle && !k.served {
		k.served = true
		l.served++
	}
}

// attend serves one connection, one request after another.
func (l *Listener) attend(k *client) {
	defer l.wg.Done()
	for l.begins(k) {
		l.setIdle(k, false)
		l.counts.requests.Add(1)
		k.owed = true
		if !l.serve(k) {
			break
		}
	}
	if k.owed {
		l.counts.unanswered.Add(1)
	}
	if k.owed && !errors.Is(k.err, io.ErrUnexpectedEOF) { // it did not leave in the middle of its request
		l.log.Info("a request ends without an answer", "client", k.RemoteAddr().String(), "err", k.err)
	}
	l.mu.Lock()
	delete(l.open, k)
	if k.served {
		l.served--
	}
	l.mu.Unlock()
	select {
	case l.linger <- struct{}{}:
		<-l.places
		l.out.Go(func() {
			k.end(time.Now().Add(lingerSpan))
			<-l.linger
		})
	default:
		k.end(time.Now().Add(lingerLess))
		<-l.places
	}
}

// begins waits for the first byte of a request. Whoever wants the connection to end moves its deadline; a request that
// came in that instant still gets its answer, as the last.
func (l *Listener) begins(k *client) bool {
	l.setIdle(k, true)
	k.limit.N = maxHead
	_, err := k.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !k.quiet() {
		k.last = true
		k.SetReadDeadline(time.Now().Add(closeGrace))
		_, err = k.in.Peek(1)
	}
	return err == nil
}

// serve reads one request and answers it. It tells whether another may follow.
func (l *Listener) serve(k *client) bool {
	r, err := readRequest(k.in)
	arrived := time.Now()
	if err != nil {
		var f *fault
		switch {
		case errors.As(err, &f):
		case k.limit.N <= 0:
			f = &fault{http.StatusRequestHeaderFieldsTooLarge, "head too large", true}
		case errors.Is(err, os.ErrDeadlineExceeded):
			f = &fault{http.StatusRequestTimeout, "request not whole in time", true}
		case gone(err):
			k.err = err
			return false
		default:
			f = &fault{http.StatusBadRequest, "malformed request", true}
		}
		return l.refuse(k, f, true)
	}
	k.limit.N = state.MaxBody + maxHead // chunks take more than what they hold
	if r.Header.Get("Expect") != "" && r.ContentLength <= state.MaxBody {
		io.WriteString(k, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	words := l.terms.Load()
	m, err := parseMessage(r, arrived, words.names, words.classes)
	var f *fault
	errors.As(err, &f)
	// A body that nobody wanted must not be taken for the next request.
	rest := m == nil && (f == nil || !f.shut) && !drained(r)
	last := r.Close || rest || k.last || l.ending(k)
	switch {
	case f != nil:
		f.shut = f.shut || rest
		return l.refuse(k, f, last)
	case m == nil:
		if l.closing.Load() {
			return l.reply(k, http.StatusServiceUnavailable, 0, "stopping", true)
		}
		if l.away.Load() != nil {
			return l.reply(k, http.StatusServiceUnavailable, 0, "drained", true)
		}
		return l.reply(k, http.StatusOK, 0, "ok", last)
	}
	return l.hand(k, m, last)
}

// drained reads what is left of a request, and tells whether that was all.
func drained(r *http.Request) bool {
	_, err := io.CopyN(io.Discard, r.Body, state.MaxBody+1)
	return err == io.EOF
}

// gone tells an end of the connection from a request that can't be read.
func gone(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

// hand gives a message to the loop and its client the verdict.
func (l *Listener) hand(k *client, m *state.Message, last bool) bool {
	if l.turnsAway() {
		return l.reply(k, http.StatusServiceUnavailable, busyPause, "drained", true)
	}
	verdict := make(chan state.Response, 1)
	limit := time.Now().Add(answerSpan)
	if l.claims != nil && m.Key != "" && !l.claims.ClaimKey(m.Class, m.Key, limit) {
		return l.reply(k, http.StatusServiceUnavailable, busyPause, "a message with this key is on its way", last)
	}
	handed := state.Submitted{Message: m, Response: verdict, Decision: &state.AdmissionDecision{}}
	if !l.to.PostBefore(handed, limit) {
		return l.reply(k, http.StatusServiceUnavailable, busyPause, "busy", last)
	}
	v, decided := await(verdict, handed.Decision, limit)
	last = last || l.ending(k) // the end may have been asked for meanwhile: the answer says so
	switch {
	case !decided:
		return l.reply(k, http.StatusServiceUnavailable, busyPause, "busy", last)
	case v.Accepted:
		err := l.write(k, http.StatusAccepted, 0, "", last)
		l.to.Post(state.ResponseWritten{ID: m.ID, OK: err == nil})
		return err == nil && !last
	case v.Invalid == state.UnknownDestination:
		return l.reply(k, http.StatusBadRequest, 0, "unknown destination", last)
	case v.Invalid == state.DuplicateID:
		return l.reply(k, http.StatusConflict, 0, "X-Request-Id in use", last)
	case v.Permanent:
		return l.reply(k, http.StatusInternalServerError, 0, "failed", last)
	}
	return l.reply(k, http.StatusServiceUnavailable, v.RetryAfter, "come again", last)
}

// await waits for the verdict on a message until a limit. Where none has come by then the message is refused, and can't
// be taken on any more; one that was taken on in that instant is not refused.
func await(verdict <-chan state.Response, d *state.AdmissionDecision, limit time.Time) (v state.Response, decided bool) {
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

// refuse gives the fixed response for a fault.
func (l *Listener) refuse(k *client, f *fault, last bool) bool {
	return l.reply(k, f.status, 0, f.text, last || f.shut)
}

// reply writes an answer and tells whether another request may follow.
func (l *Listener) reply(k *client, status int, again time.Duration, text string, last bool) bool {
	return l.write(k, status, again, text, last) == nil && !last
}

// write writes an answer; the last one on its connection says so.
func (l *Listener) write(k *client, status int, again time.Duration, text string, last bool) error {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	if again > 0 {
		b.WriteString("Retry-After: " + seconds(max(again, time.Millisecond)) + "\r\n")
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
	k.SetWriteDeadline(time.Now().Add(answerSpan))
	_, err := k.Write(b.Bytes())
	if err != nil {
		k.err = err
		return err
	}
	k.owed = false
	l.counts.answers[status].Add(1)
	return nil
}
