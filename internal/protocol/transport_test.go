package protocol

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// TestResetUnderCall checks that a call whose connection is reset ends with ConnectionLost, however many bytes of it
// the endpoint has read, on new and on reused connections: all bytes were sent, so the call may have been processed.
func TestResetUnderCall(t *testing.T) {
	f := &inFlightCall{call: callTo("127.0.0.1:99999", time.Minute, "a", "b")}
	f.attempts = f.call.Attempts
	f.ctx = t.Context()
	head, body := f.encodeRequest()
	for _, reused := range []bool{false, true} {
		for _, n := range []int{1, len(head), len(head) + 1, len(head) + len(body) - 1, len(head) + len(body)} {
			recorder := newEventRecorder()
			transport := NewTransport(recorder, time.Minute, 8, discardLog)
			addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
				in := bufio.NewReader(conn)
				if reused {
					receive(in)
					io.WriteString(conn, socktest.Status(500))
				}
				io.ReadFull(in, make([]byte, n))
				reset(conn)
			})
			if reused {
				transport.Send(callTo(addr, time.Minute, "first"))
				if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != control.Failed {
					t.Fatalf("%+v", e)
				}
			}
			transport.Send(callTo(addr, time.Minute, "a", "b"))
			results := next[state.CallEnded](t, recorder).Results
			if len(results) != 2 || results[0].Result != control.ConnectionLost || results[1].Result != control.ConnectionLost {
				t.Errorf("reused %t, reset after %d bytes: %+v", reused, n, results)
			}
		}
	}
}

// TestClosedAfterStaleCheck checks a call on an idle connection that the endpoint closes between the staleness check
// and the write. If the request was written, the call may have been processed. If no byte could be sent, it was not
// processed and may be sent again.
func TestClosedAfterStaleCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn)
		want control.Result
	}{
		{"closed", func(conn *net.TCPConn) { conn.Close() }, control.ConnectionLost},
		{"half-closed", func(conn *net.TCPConn) { conn.CloseWrite() }, control.ConnectionLost},
		{"reset", reset, control.ConnectFailed},
	} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, time.Minute, 8, discardLog)
		conns := make(chan *net.TCPConn, 4)
		addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
			in := bufio.NewReader(conn)
			conns <- conn
			receive(in)
			io.WriteString(conn, socktest.Status(200))
		})
		transport.Send(callTo(addr, time.Minute, "first"))
		if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != control.Served {
			t.Fatalf("%+v", e)
		}
		call := callTo(addr, time.Minute, "a")
		f := &inFlightCall{Transport: transport, call: call, ended: make([]bool, 1), attempts: call.Attempts}
		f.ctx, f.cancel = context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
		defer f.cancel()
		conn, err := f.openConnection() // includes the staleness check
		if err != nil || len(conns) != 1 {
			t.Fatalf("%s: %v, %d connections", c.name, err, len(conns))
		}
		c.end(<-conns)
		for conn.openWithoutInput() { // wait until the close has arrived
			time.Sleep(time.Millisecond)
		}
		f.transmit(conn)
		if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != c.want {
			t.Errorf("%s: %+v, want %v", c.name, e, c.want)
		}
		if transport.pool.popIdle("s") != nil {
			t.Errorf("%s: the connection was kept", c.name)
		}
	}
}

// TestUnsolicitedResponse checks that bytes after a response are not parsed as the response to the next call, which
// uses another connection.
func TestUnsolicitedResponse(t *testing.T) {
	for _, stray := range []string{socktest.Status(200), "HTTP/1.1 2", "\r\n"} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, time.Minute, 8, discardLog)
		addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
			if conn == 0 {
				return socktest.Status(200) + stray
			}
			return socktest.Status(500)
		})
		for _, want := range []control.Result{control.Served, control.Failed} {
			transport.Send(callTo(addr, time.Minute, "a"))
			if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != want {
				t.Errorf("%q: %+v, want %v", stray, e, want)
			}
		}
	}
}

// TestCancelDuringResponse checks that a call canceled at about the time of its response ends exactly once: as canceled
// if canceled before the response, with the result of the response if canceled after it, and with either if both happen
// at the same time. The connection of a call with a response is reused for the next one.
func TestCancelDuringResponse(t *testing.T) {
	recorder := &cancelOnEnd{eventRecorder: newEventRecorder()}
	transport := NewTransport(recorder, time.Minute, 8, discardLog)
	recorder.transport = transport
	var call *state.Call
	when := ""
	conns := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
		conns <- conn
		switch when {
		case "before":
			transport.Cancel(call)
			transport.waitUntilIdle()
		case "between":
			transport.Cancel(call)
		}
		return socktest.Status(200)
	})
	for _, c := range []struct {
		when   string
		want   []control.Result
		reused bool // the call reuses the previous connection
	}{
		{"after", []control.Result{control.Served}, false},
		{"after", []control.Result{control.Served}, true},
		{"before", []control.Result{control.Canceled}, true},
		{"after", []control.Result{control.Served}, false},
		{"between", []control.Result{control.Canceled, control.Served}, true},
	} {
		call, when = callTo(addr, time.Minute, "a"), c.when
		last := transport.pool.idleCount
		transport.Send(call)
		results := next[state.CallEnded](t, recorder.eventRecorder).Results
		if len(results) != 1 || !slices.Contains(c.want, results[0].Result) || c.reused != (last == 1) {
			t.Errorf("%s: %+v, want one of %v; %d connections kept before", c.when, results, c.want, last)
		}
		<-conns
		transport.waitUntilIdle() // no further event can be posted after this
		if len(recorder.events) > 0 {
			t.Errorf("%s: ended again: %+v", c.when, <-recorder.events)
		}
	}
}

// attemptOutcomes lists responses of an endpoint to a single message with the expected results.
var attemptOutcomes = []struct {
	name, answer string
	limit        time.Duration
	want         state.AttemptResult
}{
	{"served", socktest.Status(200), time.Minute, state.AttemptResult{Result: control.Served, Final: true}},
	{"error", socktest.Status(500), time.Minute, state.AttemptResult{Result: control.Failed}},
	{"wait", socktest.Status(429, "Retry-After: 0.25"), time.Minute,
		state.AttemptResult{Result: control.Rejected, RetryAfter: 250 * time.Millisecond}},
	{"full", socktest.Status(503), time.Minute, state.AttemptResult{Result: control.Rejected}},
	{"no room for connections", socktest.Status(503, "Connection: close"), time.Minute,
		state.AttemptResult{Result: control.ConnectionRejected}},
	{"shut", socktest.Status(503, "Connection: close", "Retry-After: 4"), time.Minute,
		state.AttemptResult{Result: control.Rejected, RetryAfter: 4 * time.Second}},
	{"no slot", socktest.Status(503, "X-Over-Slots: 1"), time.Minute,
		state.AttemptResult{Result: control.NotSent, NoSlot: true}},
	{"spent", socktest.Status(504), time.Minute, state.AttemptResult{Result: control.NotSent}},
	{"over", socktest.Status(410), time.Minute, state.AttemptResult{Result: control.NotSent, Final: true}},
	{"odd", socktest.Status(302), time.Minute, state.AttemptResult{Result: control.Unknown}},
	{"not for it", socktest.Status(400), time.Minute, state.AttemptResult{Result: control.Unprocessable}},
	{"no HTTP", "what?\r\n\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
	{"noise without end", "what?", time.Minute, state.AttemptResult{Result: control.Failed}},
	{"head without end", "HTTP/1.1 503 x\r\nA: " + strings.Repeat("x", 2*maxHeaderBytes+state.MaxBody), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"head left off", "HTTP/1.1 503 x\r\nRetry-After: 1\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
	{"body left off", "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\nx", time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"served, then noise", "HTTP/1.1 200 x\r\nwhat\r\n\r\n", time.Minute,
		state.AttemptResult{Result: control.Served, Final: true}},
	{"served, head left off", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x\r\nA: b", time.Minute,
		state.AttemptResult{Result: control.Served, Final: true}},
	{"served, body left off", "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nx", time.Minute,
		state.AttemptResult{Result: control.Served, Final: true}},
	{"no such status", "HTTP/1.1 2000 x\r\n\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
	{"news first", "HTTP/1.1 103 x\r\n\r\n" + socktest.Status(500), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"news without end", strings.Repeat("HTTP/1.1 103 x\r\n\r\n", maxHeaderBytes+state.MaxBody), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"reset", "", time.Minute, state.AttemptResult{Result: control.ConnectionLost}},
	{"hang", "hang", 500 * time.Millisecond, state.AttemptResult{Result: control.TimedOut}},
	{"canceled", "hang", time.Minute, state.AttemptResult{Result: control.Canceled}},
	{"refused", "shut", time.Minute, state.AttemptResult{Result: control.ConnectFailed}},
}

// TestAttemptOutcomes checks the result of each way in which a call can end.
func TestAttemptOutcomes(t *testing.T) {
	for _, c := range attemptOutcomes {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, time.Minute, 8, discardLog)
		got := make(chan struct{}, 1)
		addr := socktest.Serve(t, func(_ int, r *http.Request, body string) string {
			if r.URL.Path != "/receive" || r.Header.Get("X-Request-Id") != "a" || r.Header.Get("Idempotency-Key") != "k-a" ||
				body != "body of a" {
				t.Errorf("%s: target got %v %q", c.name, r, body)
			}
			got <- struct{}{}
			return c.answer
		})
		if c.answer == "shut" {
			addr = socktest.Refusing(t)
		}
		call := callTo(addr, c.limit, "a")
		transport.Send(call)
		if c.name == "canceled" {
			<-got
			transport.Cancel(call)
		}
		e := next[state.CallEnded](t, recorder).Results[0]
		if e.SentAt.IsZero() != (c.want.Result == control.ConnectFailed) {
			t.Errorf("%s: sent at %v", c.name, e.SentAt)
		}
		e.Elapsed, e.SentAt, e.Attempt = 0, time.Time{}, nil
		if e != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, e, c.want)
		}
	}
}

// TestCancelUnsent checks that CancelUnsent prevents the sending of a call without a connection, and has no effect on a
// call that was sent.
func TestCancelUnsent(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, time.Minute, 8, discardLog)
	got, respond := make(chan string, 2), make(chan struct{})
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		got <- r.Header.Get("X-Request-Id")
		<-respond
		return socktest.Status(200)
	})
	sent := callTo(addr, time.Minute, "left")
	transport.Send(sent)
	<-got
	transport.CancelUnsent(sent)
	f := &inFlightCall{Transport: transport, call: callTo(addr, time.Minute, "held"), ended: make([]bool, 1)}
	f.attempts = f.call.Attempts
	f.ctx, f.cancel = context.WithCancel(t.Context())
	transport.inFlight[f.call] = f
	transport.CancelUnsent(f.call)
	f.run()
	if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != control.NotSent || e.Final {
		t.Errorf("unsent call: %+v", e)
	}
	close(respond)
	if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != control.Served || len(got) > 0 {
		t.Errorf("sent call: %+v, and %d more calls", e, len(got))
	}
}

// TestConnectionReuse checks that a connection is reused unless the endpoint has closed it, in which case a request
// would be lost.
func TestConnectionReuse(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, time.Minute, 8, discardLog)
	conns := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
		conns <- conn
		return socktest.Status(200)
	})
	call := func() int {
		transport.Send(callTo(addr, time.Minute, "a"))
		if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != control.Served {
			t.Fatalf("%+v", e)
		}
		return <-conns
	}
	a, b := call(), call() // a connection is returned to the pool before the end of its call is posted
	conn := transport.pool.popIdle("s")
	conn.Conn.(*net.TCPConn).CloseRead() // has the same effect on reads as a close by the endpoint
	transport.pool.put("s", conn)
	if c := call(); a != b || b == c {
		t.Errorf("connections %d %d %d, want the first twice and then another", a, b, c)
	}
}
