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
	maxHeaderBytes = 16 << 10 // a request line or status line with its headers
	maxListBytes   = 4 << 20  // discovery's answer
)

var errTooLong = errors.New("longer than allowed")

// A bufferedConn is one connection with its buffer. What it reads is bounded, as the
// HTTP parser itself sets no limit to headers.
type bufferedConn struct {
	net.Conn
	readLimit *io.LimitedReader
	reader    *bufio.Reader
	addr      string    // that it was dialled for
	idleSince time.Time // since when it lies idle
}

func newBufferedConn(c net.Conn) *bufferedConn {
	limit := &io.LimitedReader{R: c}
	return &bufferedConn{Conn: c, readLimit: limit, reader: bufio.NewReaderSize(limit, 4<<10)}
}

// dial opens a connection, within the context's time.
func dial(ctx context.Context, addr string) (*bufferedConn, error) {
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	l := newBufferedConn(c)
	l.addr = addr
	return l, nil
}

// stale tells whether the other side has closed an idle connection, or sent
// what nobody asked for: a request written to it would be lost.
func (l *bufferedConn) stale() bool { return !l.openWithoutInput() || l.reader.Buffered() > 0 }

// openWithoutInput tells whether the connection is open and nothing has come on it. It
// takes no lock that a reader holds, and so may be asked while one waits.
func (l *bufferedConn) openWithoutInput() bool {
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

// maxLingerBytes is the most that is read of a connection before it is closed.
const maxLingerBytes = 16 * state.MaxBody

// closeGracefully closes a connection in order: half-close, read out within a bound, close. A plain close over bytes that were not
// read resets the connection, and what the other side has not read of an answer goes with it. Nothing read here is acted on.
func (l *bufferedConn) closeGracefully(by time.Time) {
	if c, ok := l.Conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		l.SetReadDeadline(by)
		io.CopyN(io.Discard, l.Conn, maxLingerBytes)
	}
	l.Close()
}

// A response is what came back on a connection, as far as it could be read.
type response struct {
	firstStatus int // the status that the first line tells, even if nothing else can be read
	status      int // of an answer whose head can be read
	header      http.Header
	body        []byte
	closes      bool // the connection is of no use any more
}

// readResponse reads a response and its body. Once its first byte is in, the rest
// must follow by a time that the function tells from the first line: a peer may
// leave off in the middle and keep the connection open.
func (l *bufferedConn) readResponse(method string, most int64, by func(first int) time.Time) (response, error) {
	l.readLimit.N = maxHeaderBytes + most
	until := func(first int) {
		if by != nil {
			l.SetReadDeadline(by(first))
		}
	}
	for {
		until(0)
		first := l.peekStatus()
		until(first)
		a := response{firstStatus: first, closes: true}
		r, err := http.ReadResponse(l.reader, &http.Request{Method: method})
		if err != nil {
			return a, err
		}
		if r.StatusCode < http.StatusOK {
			continue // news on the way to the answer
		}
		a.status, a.header = r.StatusCode, r.Header
		a.body, err = readBody(r.Body, most)
		a.closes = r.Close || err != nil
		return a, err
	}
}

// peekStatus reads the status off the first line without taking it; 0 = it has none.
func (l *bufferedConn) peekStatus() int {
	for n := 1; n <= l.reader.Size(); n = l.reader.Buffered() + 1 {
		if _, err := l.reader.Peek(n); err != nil {
			return 0
		}
		seen, _ := l.reader.Peek(l.reader.Buffered())
		if line, _, whole := bytes.Cut(seen, []byte("\n")); whole {
			return parseStatusLine(string(line))
		}
	}
	return 0
}

// parseStatusLine reads a status line.
func parseStatusLine(line string) int {
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

// A httpClient asks one address one thing after another on a connection that it keeps.
type httpClient struct {
	addr   string
	conn   *bufferedConn
	pacing readPacing // how an answer must go on once it has begun; zero: by the question's deadline alone
}

// A readPacing bounds an answer from its first byte on, whatever the question's deadline is.
type readPacing struct {
	maxGap      time.Duration // no pause between two pieces is longer
	maxDuration time.Duration // the whole answer takes no longer
}

// An exchange is what became of a question.
type exchange struct {
	status    int
	body      []byte    // as far as it came
	startedAt time.Time // when the first byte of the answer was there; zero: none was
}

// do sends a request and reads its answer, by the deadline. It never asks twice. With an error the exchange tells how
// much of the answer came.
func (d *httpClient) do(ctx context.Context, method, path string, body []byte, deadline time.Time) (exchange, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if d.conn != nil && d.conn.stale() {
		d.close()
	}
	if d.conn == nil {
		l, err := dial(ctx, d.addr)
		if err != nil {
			return exchange{}, err
		}
		d.conn = l
	}
	l := d.conn
	defer interruptOnDone(ctx, l)()
	var out bytes.Buffer
	out.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + d.addr + "\r\n")
	if method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	if _, err := l.Write(out.Bytes()); err != nil {
		d.close()
		return exchange{}, err
	}
	e, last, err := d.readAnswer(ctx, method)
	if err != nil || last {
		d.close()
	}
	return e, err
}

// readAnswer reads the answer to a question that was sent, and tells whether the connection is of no use afterwards.
func (d *httpClient) readAnswer(ctx context.Context, method string) (e exchange, last bool, err error) {
	l := d.conn
	l.readLimit.N = maxHeaderBytes + maxListBytes
	if _, err := l.reader.Peek(1); err != nil {
		return exchange{}, true, err
	}
	e.startedAt = time.Now()
	if d.pacing.maxGap > 0 {
		l.readLimit.R = &pacedReader{ctx: ctx, conn: l.Conn, maxGap: d.pacing.maxGap, until: e.startedAt.Add(d.pacing.maxDuration)}
		defer func() { l.readLimit.R = l.Conn }()
	}
	r, err := l.readResponse(method, maxListBytes, nil)
	e.status, e.body = r.status, r.body
	return e, r.closes, err
}

// A pacedReader reads a connection within the bounds of a steadiness, and only while its context lasts.
type pacedReader struct {
	ctx    context.Context
	conn   net.Conn
	maxGap time.Duration
	until  time.Time
}

// Read fails with os.ErrDeadlineExceeded after a pause that is too long, or once the time is up.
func (r *pacedReader) Read(p []byte) (int, error) {
	by := time.Now().Add(r.maxGap)
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

// setAddress goes on with another address, if it is one.
func (d *httpClient) setAddress(addr string) {
	if d.addr != addr {
		d.close()
		d.addr = addr
	}
}

func (d *httpClient) close() {
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// interruptOnDone breaks off what goes on on a connection when the context ends. The
// function that it returns ends the watch, and tells whether it had not struck.
func interruptOnDone(ctx context.Context, l *bufferedConn) (stop func() bool) {
	l.SetDeadline(time.Time{})
	return context.AfterFunc(ctx, func() { l.SetDeadline(time.Unix(1, 0)) })
}

// formatSeconds is a duration in seconds with decimals, as it stands in headers.
func formatSeconds(d time.Duration) string {
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

// validToken tells whether a header's value can stand in a frame: no blanks, no
// controls, not too long.
func validToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}
