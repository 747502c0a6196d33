package protocol

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// Accepts that fail for want of descriptors do not end the listener.
func TestAcceptWithoutDescriptors(t *testing.T) {
	_, conn := startFaulty(t, &faultyListener{acceptErrs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}},
		newEventRecorder())
	io.WriteString(conn, healthRequest)
	if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || r.StatusCode != 200 {
		t.Errorf("%+v, %v", r, err)
	}
}

// Every request that can be read gets a response, and malformed ones do no harm.
func TestListenerResponses(t *testing.T) {
	recorder := newEventRecorder()
	l := startListener(t, recorder)
	for _, c := range []struct {
		name, send string
		response   state.Response
		status     int
		retryAfter string
	}{
		{"taken", submission, state.Response{Accepted: true}, 202, ""},
		{"refused", submission, state.Response{RetryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{"failed", submission, state.Response{Permanent: true}, 500, ""},
		{"nowhere to go", submission, state.Response{Invalid: state.UnknownDestination}, 400, ""},
		{"id in use", submission, state.Response{Invalid: state.DuplicateID}, 409, ""},
		{"bad", strings.Replace(submission, "dest=1", "dest=", 1), state.Response{}, 400, ""},
		{"no HTTP", "what is this\r\n\r\n", state.Response{}, 400, ""},
		{"head too large", "GET /_health HTTP/1.1\r\nA: " + strings.Repeat("x", maxHeaderBytes), state.Response{}, 431, ""},
		{"body too large", strings.Replace(submission, "Length: 2", "Length: 99999", 1), state.Response{}, 413, ""},
		{"chunked", strings.Replace(submission, "Content-Length: 2\r\n\r\nhi",
			"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 1), state.Response{}, 411, ""},
		{"id twice", strings.Replace(submission, "X-Tenant", "X-Request-Id: j\r\nX-Tenant", 1), state.Response{}, 400, ""},
		{"older HTTP", strings.Replace(submission, "HTTP/1.1", "HTTP/1.0", 1), state.Response{}, 505, ""},
		{"health", healthRequest, state.Response{}, 200, ""},
	} {
		recorder.response = c.response
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, c.send)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || r.StatusCode != c.status || r.Header.Get("Retry-After") != c.retryAfter {
			t.Errorf("%s: %v %+v", c.name, err, r)
		}
		conn.Close()
		if c.status == 202 || c.response != (state.Response{}) {
			if m := next[state.Submitted](t, recorder).Message; string(m.Body) != "hi" {
				t.Errorf("%s: body %q", c.name, m.Body)
			}
		}
		if c.response.Accepted && !next[state.ResponseWritten](t, recorder).OK {
			t.Errorf("%s: answer not confirmed", c.name)
		}
	}
}

// A request with two lengths hides another in its body: neither is accepted.
func TestRequestSmuggling(t *testing.T) {
	recorder := newEventRecorder()
	recorder.response = state.Response{Accepted: true}
	l := startListener(t, recorder)
	for _, outer := range []string{submission, strings.Replace(submission, "/status", "/nothing", 1)} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, strings.Replace(outer, "Content-Length: 2\r\n\r\nhi",
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(submission)+5,
				submission), 1))
		answers, err := io.ReadAll(conn)
		if err != nil || !strings.HasPrefix(string(answers), "HTTP/1.1 411 ") ||
			strings.Count(string(answers), "HTTP/1.1") != 1 || len(recorder.events) > 0 {
			t.Errorf("%v %d messages, answers %q", err, len(recorder.events), answers)
		}
	}
}

// The body of a rejected request is not read as the next request.
func TestUnreadBody(t *testing.T) {
	l := startListener(t, newEventRecorder())
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, c := range []struct {
		send string
		want int
	}{
		{strings.Replace(submission, "/status", "/nothing", 1), 400}, {strings.Replace(submission, "POST", "PUT", 1), 405},
		{healthRequest, 200},
	} {
		io.WriteString(conn, c.send)
		if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != c.want {
			t.Fatalf("want %d: %v %+v", c.want, err, r)
		} else {
			io.Copy(io.Discard, r.Body)
		}
	}
}

// A listener without keep-alive still accepts messages, and tells each client that its connection ends with the
// response.
func TestDisableKeepAlive(t *testing.T) {
	recorder := newEventRecorder()
	recorder.response = state.Response{Accepted: true}
	l := startListener(t, recorder)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, last := range []bool{false, true} {
		if last {
			l.DisableKeepAlive()
		}
		io.WriteString(conn, submission)
		if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 202 || r.Close != last {
			t.Fatalf("last %t: %v %+v", last, err, r)
		}
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("connection still open: %v", err)
	}
}

// Peers that connect and send nothing, however many, keep nobody else out: a connection that has been served and is
// idle stays, and a new one is served. Each of them, and one that stops in the middle of a request, is closed.
func TestIdleConnectionFlood(t *testing.T) {
	l := startListener(t, newEventRecorder())
	for i, conn := range floodIdle(t, l) {
		if _, err := io.Copy(io.Discard, conn); os.IsTimeout(err) {
			t.Errorf("silent connection %d: %v", i, err)
		}
	}
}

// The connection that has been served stays also where it is still on its way to wait for the next request, as on a
// busy machine, while an idle one is evicted.
func TestIdleConnectionFloodAfterResponse(t *testing.T) {
	l, first := startFaulty(t, &faultyListener{write: func(c *net.TCPConn, b []byte) (int, error) {
		n, err := c.Write(b)
		time.Sleep(closeGrace + 10*time.Millisecond)
		return n, err
	}}, newEventRecorder())
	first.Close()
	floodIdle(t, l)
}

// floodIdle has a connection served, opens more that send nothing or half a request, and checks that the first one
// and a new one are served. It returns the silent ones.
func floodIdle(t *testing.T, l *Listener) (silent []net.Conn) {
	t.Helper()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	roundTrip := func(conn net.Conn) {
		t.Helper()
		io.WriteString(conn, healthRequest)
		if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || r.StatusCode != 200 {
			t.Fatal(err)
		}
	}
	used := dial()
	roundTrip(used)
	half := dial()
	io.WriteString(half, "POST /status HTTP/1.1\r\nHost")
	silent = append(silent, half)
	for range 40 {
		silent = append(silent, dial())
	}
	roundTrip(dial())
	roundTrip(used)
	return silent
}

// Of clients that ask once and keep their connection open only so many are kept: the next ones are told that theirs
// ends with the response, and those that are idle for long are closed. Clients that may not hold more connections
// could not send otherwise.
func TestKeepAliveLimit(t *testing.T) {
	l := startListener(t, newEventRecorder())
	var held []net.Conn
	for i := range 8 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(conn, healthRequest)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || r.Close != (i >= l.maxKeepAlive) {
			t.Fatalf("connection %d: %v, ends %t", i, err, err == nil && r.Close)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Fatal(err)
		}
		if held = append(held, conn); r.Close {
			io.Copy(io.Discard, conn) // until it has ended
		}
	}
	for i, conn := range held {
		if _, err := io.Copy(io.Discard, conn); os.IsTimeout(err) {
			t.Errorf("connection %d stays for good", i)
		}
	}
}

// At the limit of connections an idle one is evicted for a new one.
func TestConnectionLimit(t *testing.T) {
	l := startListener(t, newEventRecorder())
	for i := range 12 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, healthRequest)
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
}

// listenerClient is a client's side of a connection.
type listenerClient struct {
	net.Conn
	in *bufio.Reader
}

// dialListener connects to a listener until the end of the test.
func dialListener(t *testing.T, l *Listener) *listenerClient {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &listenerClient{conn, bufio.NewReader(conn)}
}

// roundTrip sends a request and reads its response.
func (c *listenerClient) roundTrip(t *testing.T, request string) *http.Response {
	t.Helper()
	io.WriteString(c, request)
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
	return r
}

// breakOffRequest sends a part of a request, and waits until it counts as unanswered.
func breakOffRequest(t *testing.T, l *Listener) {
	half := dialListener(t, l)
	io.WriteString(half, "POST /status HTTP/1.1\r\nHost: x\r\n")
	half.Close()
	for until := time.Now().Add(10 * time.Second); l.counters.unanswered.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("a request that broke off is not counted")
		}
	}
}

// A drained sender is not healthy, ends connections with their responses and idle ones at once, and rejects messages
// after a while, with a Retry-After; activated, it is as before.
func TestDrainedListener(t *testing.T) {
	recorder := newEventRecorder()
	recorder.response = state.Response{Accepted: true}
	classes := []control.Class{{Deadline: time.Minute, Idempotency: control.Idempotent}}
	l, err := Listen("127.0.0.1:0", recorder, Names{Classes: map[string]int{"status": 0}}, classes, 8, 8, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve()
	defer l.Close(time.Now().Add(time.Minute))
	n := 0
	message := func() string {
		n++
		return fmt.Sprintf("POST /status HTTP/1.1\r\nHost: x\r\nX-Request-Id: m%d\r\n"+
			"X-Deadline: 5\r\nX-Addressing: dest=1\r\nContent-Length: 0\r\n\r\n", n)
	}
	breakOffRequest(t, l)
	idle := dialListener(t, l)
	if r := idle.roundTrip(t, message()); r.StatusCode != http.StatusAccepted || r.Close {
		t.Fatalf("before: %d, close %v", r.StatusCode, r.Close)
	}
	l.Drain()
	drainedAt := time.Now()
	// It was idle, and had longer.
	if _, err := idle.in.ReadByte(); err != io.EOF || time.Since(drainedAt) > idleTimeout/2 {
		t.Errorf("an idle connection: %v after %v", err, time.Since(drainedAt))
	}
	for _, c := range []struct {
		name, request string
		since         time.Duration // before now
		status        int
	}{
		{"health", healthRequest, 0, http.StatusServiceUnavailable},
		{"a message at once", message(), 0, http.StatusAccepted},
		{"a message later", message(), drainAcceptWindow + time.Second, http.StatusServiceUnavailable},
		{"health later", healthRequest, drainAcceptWindow + time.Second, http.StatusServiceUnavailable},
	} {
		since := time.Now().Add(-c.since)
		l.drainedSince.Store(&since)
		r := dialListener(t, l).roundTrip(t, c.request)
		if r.StatusCode != c.status || !r.Close {
			t.Errorf("%s: %d, close %v", c.name, r.StatusCode, r.Close)
		}
		if retryAfter := r.Header.Get("Retry-After"); strings.HasPrefix(c.name, "a message later") != (retryAfter != "") {
			t.Errorf("%s: Retry-After %q", c.name, retryAfter)
		}
	}
	if n := l.counters.Counts(); n.Requests != 6 || n.Unanswered != 1 || n.Answers["202"] != 2 || n.Answers["503"] != 3 {
		t.Errorf("counted %+v", n)
	}
	l.Activate()
	conn := dialListener(t, l)
	for _, request := range []string{healthRequest, message(), healthRequest} {
		if r := conn.roundTrip(t, request); r.StatusCode >= 300 || r.Close {
			t.Errorf("activated: %d, close %v", r.StatusCode, r.Close)
		}
	}
}
