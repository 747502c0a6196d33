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

// maxListBytes is the maximum size of a response body. The endpoint list of discovery is the largest response.
const maxListBytes = 4 << 20

// An httpClient sends requests to one address, one at a time, over a persistent connection.
type httpClient struct {
	addr   string
	conn   *bufferedConn
	pacing readPacing // limits for reading a response; if zero, only the request's deadline applies
}

// A readPacing limits the time for reading a response from its first byte on, independently of the request's deadline.
type readPacing struct {
	maxGap      time.Duration // maximum time between two reads that return data
	maxDuration time.Duration // maximum time for the whole response
}

// An exchange is the part of a response that was received.
type exchange struct {
	status    int
	body      []byte
	startedAt time.Time // when the first byte of the response arrived; zero if none did
}

// do sends a request and reads its response, both by the deadline. It never sends a request twice. If it returns an
// error, the exchange holds the part of the response that was received.
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

// readResponse reads the response to a request that was sent. closes reports whether the connection must be closed.
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

// setAddress sets the address for the following requests. If it differs from the current one, the connection is closed.
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

// A pacedReader reads from a connection within the limits of a readPacing until its context is done.
type pacedReader struct {
	ctx      context.Context
	conn     net.Conn
	maxGap   time.Duration
	deadline time.Time
}

// Read returns os.ErrDeadlineExceeded if no data arrives within maxGap, or after the deadline.
func (r *pacedReader) Read(p []byte) (int, error) {
	next := time.Now().Add(r.maxGap)
	if next.After(r.deadline) {
		next = r.deadline
	}
	r.conn.SetReadDeadline(next)
	if r.ctx.Err() != nil { // the context may have ended before SetReadDeadline, which then overrode the interrupt
		return 0, os.ErrDeadlineExceeded
	}
	return r.conn.Read(p)
}

// localErrors are errors caused by the local machine, which system calls return without waiting for the remote side.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
}

// isLocalError reports whether err was caused by the local machine and not by the remote side.
func isLocalError(err error) bool {
	for _, e := range localErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
