package protocol

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/httpconn"
)

const (
	maxListBytes           = 4 << 20  // maximum size of the endpoint list of discovery
	maxAcknowledgmentBytes = 16 << 10 // maximum body of a response whose status alone counts
)

// An httpClient sends requests to one address, each on a connection of its own.
type httpClient struct {
	addr    string
	maxBody int64      // maximum size of a response's body in bytes
	pacing  readPacing // limits for reading a response; if zero, only the request's deadline applies
	// onSlowResponse, if set, is called once if a response is incomplete slowResponseDelay after its first byte. It is
	// not called after do has returned.
	onSlowResponse func(startedAt time.Time)
	dial           func(ctx context.Context, addr string) (*httpconn.Conn, error)
}

// A readPacing limits the time for reading a response from its first byte on, independently of the request's deadline.
type readPacing struct {
	maxGap      time.Duration // maximum time between two reads that return data
	maxDuration time.Duration // maximum time for the whole response
}

// slowResponseDelay is how long after its first byte a response is slow.
const slowResponseDelay = 10 * time.Millisecond

// errEarlyClose is returned for a connection that the server closed before the request.
var errEarlyClose = errors.New("connection closed before the request")

// An exchange is what a server sent for a request.
type exchange struct {
	status    int    // of the response to the request; 0 if it has none that is known to belong to it
	body      []byte // of that response
	received  []httpconn.Response
	startedAt time.Time // when the first byte of a response arrived; zero if none did
}

// do sends a request and reads its response, both by the deadline. It never sends a request twice. The error is a
// httpconn.DoubtError if something was received, or the request was sent, and no response is known to belong to the
// request; the exchange then holds what was received. Any other error means that the request was not sent completely.
func (h *httpClient) do(ctx context.Context, method, path string, body []byte, deadline time.Time) (exchange, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := h.dial(ctx, h.addr)
	if err != nil {
		return exchange{}, err
	}
	defer c.Close()
	defer httpconn.InterruptOnDone(ctx, c)()
	if !c.OpenWithoutInput() {
		return h.readEarlyInput(c)
	}
	if _, err := c.Write(h.encodeRequest(method, path, body)); err != nil {
		return exchange{}, err
	}
	return h.readExchange(ctx, c, method)
}

func (h *httpClient) encodeRequest(method, path string, body []byte) []byte {
	var out bytes.Buffer
	out.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + h.addr + "\r\nConnection: close\r\n")
	if method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

// readExchange reads the response to a request that was sent.
func (h *httpClient) readExchange(ctx context.Context, c *httpconn.Conn, method string) (exchange, error) {
	options := httpconn.ReadOptions{Method: method, MaxBody: h.maxBody}
	paced := false
	var slow slowResponseTimer
	defer slow.stop()
	options.Await = func([]httpconn.Response) error {
		_, err := c.Reader.Peek(1)
		if err == nil && h.onSlowResponse != nil {
			slow.start(h.onSlowResponse)
		}
		if err == nil && h.pacing.maxGap > 0 && !paced {
			paced = true
			c.Through(&pacedReader{
				ctx: ctx, conn: c.Conn, maxGap: h.pacing.maxGap, deadline: time.Now().Add(h.pacing.maxDuration),
			})
		}
		return err
	}
	x := c.ReadExchange(options)
	e := exchange{startedAt: x.StartedAt, received: x.Received()}
	if doubt := x.Doubt(httpconn.Equal); doubt != httpconn.NoDoubt {
		return e, &httpconn.DoubtError{Doubt: doubt, Cause: x.Err}
	}
	e.status, e.body = x.Responses[0].Status, x.Responses[0].Body
	return e, nil
}

// A slowResponseTimer calls a function slowResponseDelay after the first byte of a response, unless it is stopped before.
type slowResponseTimer struct {
	mu      sync.Mutex
	timer   *time.Timer // nil: not started
	stopped bool
}

// start starts the timer at the first byte. Later calls have no effect.
func (s *slowResponseTimer) start(onSlow func(startedAt time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		return
	}
	startedAt := time.Now()
	s.timer = time.AfterFunc(slowResponseDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped {
			onSlow(startedAt)
		}
	})
}

// stop stops the timer. The function is not called afterwards.
func (s *slowResponseTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped = true; s.timer != nil {
		s.timer.Stop()
	}
}

// readEarlyInput reads what a server sent before the request, which is not sent. It answers no request, but the sender
// may count as notified of its content.
func (h *httpClient) readEarlyInput(c *httpconn.Conn) (exchange, error) {
	c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	x := c.ReadExchange(httpconn.ReadOptions{Method: http.MethodGet, MaxBody: h.maxBody})
	if x.StartedAt.IsZero() {
		return exchange{}, errEarlyClose
	}
	return exchange{startedAt: x.StartedAt, received: x.Received()}, &httpconn.DoubtError{Doubt: httpconn.Early}
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
