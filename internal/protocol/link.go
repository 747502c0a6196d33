// Package protocol speaks HTTP/1.1 on sockets: with clients, targets, discovery
// and the platform. It decides nothing; package state does.
package protocol

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cleathold/internal/state"
)

const (
	maxHead = 16 << 10 // a request line or status line with its headers
	maxList = 4 << 20  // discovery's answer
)

var errTooLong = errors.New("longer than allowed")

// A link is one connection with its buffer. What it reads is bounded, as the
// HTTP parser itself sets no limit to headers.
type link struct {
	net.Conn
	limit *io.LimitedReader
	in    *bufio.Reader
	addr  string    // that it was dialled for
	idle  time.Time // since when it lies idle
}

func newLink(c net.Conn) *link {
	limit := &io.LimitedReader{R: c}
	return &link{Conn: c, limit: limit, in: bufio.NewReaderSize(limit, 4<<10)}
}

// dial opens a connection, within the context's time.
func dial(ctx context.Context, addr string) (*link, error) {
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	l := newLink(c)
	l.addr = addr
	return l, nil
}

// stale tells whether the other side has closed an idle connection, or sent
// what nobody asked for: a request written to it would be lost.
func (l *link) stale() bool { return !l.quiet() || l.in.Buffered() > 0 }

// quiet tells whether the connection is open and nothing has come on it. It
// takes no lock that a reader holds, and so may be asked while one waits.
func (l *link) quiet() bool {
	raw, err := l.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
	})
	return err == nil && quiet
}

// lingerMost is the most that is read of a connection before it is closed.
const lingerMost = 16 * state.MaxBody

// end closes a connection in order: half-close, read out within a bound, close. A plain close over bytes that were not
// read resets the connection, and what the other side has not read of an answer goes with it. Nothing read here is acted on.
func (l *link) end(by time.Time) {
	if c, ok := l.Conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		l.SetReadDeadline(by)
		io.CopyN(io.Discard, l.Conn, lingerMost)
	}
	l.Close()
}

// A reply is what came back on a connection, as far as it could be read.
type reply struct {
	first  int // the status that the first line tells, even if nothing else can be read
	status int // of an answer whose head can be read
	header http.Header
	body   []byte
	last   bool // the connection is of no use any more
}

// answer reads a response and its body. Once its first byte is in, the rest
// must follow by a time that the function tells from the first line: a peer may
// leave off in the middle and keep the connection open.
func (l *link) answer(method string, most int64, by func(first int) time.Time) (reply, error) {
	l.limit.N = maxHead + most
	until := func(first int) {
		if by != nil {
			l.SetReadDeadline(by(first))
		}
	}
	for {
		until(0)
		first := l.firstLine()
		until(first)
		a := reply{first: first, last: true}
		r, err := http.ReadResponse(l.in, &http.Request{Method: method})
		if err != nil {
			return a, err
		}
		if r.StatusCode < http.StatusOK {
			continue // news on the way to the answer
		}
		a.status, a.header = r.StatusCode, r.Header
		a.body, err = readBody(r.Body, most)
		a.last = r.Close || err != nil
		return a, err
	}
}

// firstLine reads the status off the first line without taking it; 0 = it has none.
func (l *link) firstLine() int {
	for n := 1; n <= l.in.Size(); n = l.in.Buffered() + 1 {
		if _, err := l.in.Peek(n); err != nil {
			return 0
		}
		seen, _ := l.in.Peek(l.in.Buffered())
		if line, _, whole := bytes.Cut(seen, []byte("\n")); whole {
			return statusOf(string(line))
		}
	}
	return 0
}

// statusOf reads a status line.
func statusOf(line string) int {
	version, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r"), " ")
	code, _, _ := strings.Cut(rest, " ")
	if !strings.HasPrefix(version, "HTTP/1.") || len(code) != 3 {
		return 0
	}
	n, err := strconv.Atoi(code)
	if err != nil || n < 100 {
		return 0
	}
	return n
}

// readBody reads a body that may hold so much at most.
func readBody(from io.Reader, most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, most+1))
	if err == nil && int64(len(body)) > most {
		err = errTooLong
	}
	return body, err
}

// A dialog asks one address one thing after another on a connection that it keeps.
type dialog struct {
	addr   string
	link   *link
	steady steadiness // how an answer must go on once it has begun; zero: by the question's deadline alone
}

// A steadiness bounds an answer from its first byte on, whatever the question's deadline is.
type steadiness struct {
	gap  time.Duration // no pause between two pieces is longer
	most time.Duration // the whole answer takes no longer
}

// An exchange is what became of a question.
type exchange struct {
	status int
	body   []byte    // as far as it came
	began  time.Time // when the first byte of the answer was there; zero: none was
}

// ask sends a request and reads its answer, by the deadline. It never asks twice. With an error the exchange tells how
// much of the answer came.
func (d *dialog) ask(ctx context.Context, method, path string, body []byte, deadline time.Time) (exchange, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if d.link != nil && d.link.stale() {
		d.hangUp()
	}
	if d.link == nil {
		l, err := dial(ctx, d.addr)
		if err != nil {
			return exchange{}, err
		}
		d.link = l
	}
	l := d.link
	defer watch(ctx, l)()
	var out bytes.Buffer
	out.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + d.addr + "\r\n")
	if method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	if _, err := l.Write(out.Bytes()); err != nil {
		d.hangUp()
		return exchange{}, err
	}
	e, last, err := d.hear(ctx, method)
	if err != nil || last {
		d.hangUp()
	}
	return e, err
}

// hear reads the answer to a question that was sent, and tells whether the connection is of no use afterwards.
func (d *dialog) hear(ctx context.Context, method string) (e exchange, last bool, err error) {
	l := d.link
	l.limit.N = maxHead + maxList
	if _, err := l.in.Peek(1); err != nil {
		return exchange{}, true, err
	}
	e.began = time.Now()
	if d.steady.gap > 0 {
		l.limit.R = &steadyReader{ctx: ctx, conn: l.Conn, gap: d.steady.gap, until: e.began.Add(d.steady.most)}
		defer func() { l.limit.R = l.Conn }()
	}
	r, err := l.answer(method, maxList, nil)
	e.status, e.body = r.status, r.body
	return e, r.last, err
}

// A steadyReader reads a connection within the bounds of a steadiness, and only while its context lasts.
type steadyReader struct {
	ctx   context.Context
	conn  net.Conn
	gap   time.Duration
	until time.Time
}

// Read fails with os.ErrDeadlineExceeded after a pause that is too long, or once the time is up.
func (r *steadyReader) Read(p []byte) (int, error) {
	by := time.Now().Add(r.gap)
	if by.After(r.until) {
		by = r.until
	}
	r.conn.SetReadDeadline(by)
	if r.ctx.Err() != nil { // it ended while the deadline was moved
		return 0, os.ErrDeadlineExceeded
	}
	return r.conn.Read(p)
}

// localFailure tells an error of this machine's own, which the system reports at once, from one of the other side.
func localFailure(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// turn goes on with another address, if it is one.
func (d *dialog) turn(addr string) {
	if d.addr != addr {
		d.hangUp()
		d.addr = addr
	}
}

func (d *dialog) hangUp() {
	if d.link != nil {
		d.link.Close()
		d.link = nil
	}
}

// watch breaks off what goes on on a connection when the context ends. The
// function that it returns ends the watch, and tells whether it had not struck.
func watch(ctx context.Context, l *link) (stop func() bool) {
	l.SetDeadline(time.Time{})
	return context.AfterFunc(ctx, func() { l.SetDeadline(time.Unix(1, 0)) })
}

// seconds is a duration in seconds with decimals, as it stands in headers.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 3, 64)
}

// parseSeconds reads such a header. Only plain decimals count.
func parseSeconds(s string) (time.Duration, bool) {
	for _, c := range s {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(v, 1e9) * float64(time.Second)), true
}

// visible tells whether a header's value can stand in a frame: no blanks, no
// controls, not too long.
func visible(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}
