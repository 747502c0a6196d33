package protocol

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// maxListBytes bounds the body of a response, of which discovery's list is the longest.
const maxListBytes = 4 << 20

// An httpClient sends one request after another to one address on a connection that it keeps.
type httpClient struct {
	addr   string
	conn   *bufferedConn
	pacing readPacing // of a response that has begun; zero: the request's deadline alone holds
}

// A readPacing bounds a response from its first byte on, whatever the request's deadline is.
type readPacing struct {
	maxGap      time.Duration // between two reads that bring something
	maxDuration time.Duration // of the whole response
}

// An exchange is the response to a request, as far as it came.
type exchange struct {
	status    int
	body      []byte
	startedAt time.Time // when the first byte of the response came; zero: none did
}

// do sends a request and reads its response, by the deadline. It never sends twice. With an error the exchange tells
// how much of the response came.
func (h *httpClient) do(ctx context.Context, method, path string, body []byte, deadline time.Time) (exchange, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if h.conn != nil && h.conn.stale() {
		h.close()
	}
	if h.conn == nil {
		c, err := dial(ctx, h.addr)
		if err != nil {
			return exchange{}, err
		}
		h.conn = c
	}
	defer interruptOnDone(ctx, h.conn)()
	if _, err := h.conn.Write(h.encodeRequest(method, path, body)); err != nil {
		h.close()
		return exchange{}, err
	}
	e, closes, err := h.readResponse(ctx, method)
	if err != nil || closes {
		h.close()
	}
	return e, err
}

func (h *httpClient) encodeRequest(method, path string, body []byte) []byte {
	var out bytes.Buffer
	out.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + h.addr + "\r\n")
	if method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

// readResponse reads the response to a request that was sent, and reports whether the connection can't be used any
// more.
func (h *httpClient) readResponse(ctx context.Context, method string) (e exchange, closes bool, err error) {
	c := h.conn
	c.readLimit.N = maxHeaderBytes + maxListBytes
	if _, err := c.reader.Peek(1); err != nil {
		return exchange{}, true, err
	}
	e.startedAt = time.Now()
	if h.pacing.maxGap > 0 {
		c.readLimit.R = &pacedReader{
			ctx: ctx, conn: c.Conn, maxGap: h.pacing.maxGap, deadline: e.startedAt.Add(h.pacing.maxDuration),
		}
		defer func() { c.readLimit.R = c.Conn }()
	}
	r, err := c.readResponse(method, maxListBytes, nil)
	e.status, e.body = r.status, r.body
	return e, r.closes, err
}

// setAddress has the next requests go to another address, if it is one.
func (h *httpClient) setAddress(addr string) {
	if h.addr != addr {
		h.close()
		h.addr = addr
	}
}

func (h *httpClient) close() {
	if h.conn != nil {
		h.conn.Close()
		h.conn = nil
	}
}

// A pacedReader reads a connection within the bounds of a readPacing, and only while its context lasts.
type pacedReader struct {
	ctx      context.Context
	conn     net.Conn
	maxGap   time.Duration
	deadline time.Time
}

// Read fails with os.ErrDeadlineExceeded after a gap that is too long, or after the deadline.
func (r *pacedReader) Read(p []byte) (int, error) {
	next := time.Now().Add(r.maxGap)
	if next.After(r.deadline) {
		next = r.deadline
	}
	r.conn.SetReadDeadline(next)
	if r.ctx.Err() != nil { // it ended while the deadline was moved
		return 0, os.ErrDeadlineExceeded
	}
	return r.conn.Read(p)
}

// localErrors are errors of this machine, which the system reports at once.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
}

// isLocalError tells an error of this machine from one of the other side.
func isLocalError(err error) bool {
	for _, e := range localErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
