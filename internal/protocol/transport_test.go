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
	"cleathold/internal/httpconn"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// TestResetUnderCall checks that a call whose connection is reset ends with ConnectionLost, however many bytes of it
// the endpoint has read: all bytes were sent, so the call may have been processed.
func TestResetUnderCall(t *testing.T) {
	f := &inFlightCall{call: callTo("127.0.0.1:99999", time.Minute, "a", "b")}
	f.attempts = f.call.Attempts
	f.ctx = t.Context()
	head, body := f.encodeRequest()
	for _, n := range []int{1, len(head), len(head) + 1, len(head) + len(body) - 1, len(head) + len(body)} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, discardLog)
		addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
			io.ReadFull(conn, make([]byte, n))
			reset(conn)
		})
		transport.Send(callTo(addr, time.Minute, "a", "b"))
		results := next[state.CallEnded](t, recorder).Results
		if len(results) != 2 || results[0].Result != control.ConnectionLost || results[1].Result != control.ConnectionLost {
			t.Errorf("reset after %d bytes: %+v", n, results)
		}
	}
}

// TestInputBeforeRequest checks that nothing is sent on a connection that the endpoint has closed, or on which it has
// sent bytes, before the request. The call was not processed then; a Retry-After must still be honored.
func TestInputBeforeRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(*net.TCPConn)
		want  state.AttemptResult
	}{
		{"closed", func(conn *net.TCPConn) { conn.Close() }, state.AttemptResult{Result: control.ConnectFailed}},
		{"half-closed", func(conn *net.TCPConn) { conn.CloseWrite() }, state.AttemptResult{Result: control.ConnectFailed}},
		{"reset", reset, state.AttemptResult{Result: control.ConnectFailed}},
		{"200", func(conn *net.TCPConn) { io.WriteString(conn, socktest.Status(200)) },
			state.AttemptResult{Result: control.ConnectFailed}},
		{"half a line", func(conn *net.TCPConn) { io.WriteString(conn, "HTTP/1.1 2") },
			state.AttemptResult{Result: control.ConnectFailed}},
		{"429", func(conn *net.TCPConn) { io.WriteString(conn, socktest.Status(429, "Retry-After: 2")) },
			state.AttemptResult{Result: control.Rejected, RetryAfter: 2 * time.Second}},
		{"no room", func(conn *net.TCPConn) { io.WriteString(conn, socktest.Status(503, "Connection: close")) },
			state.AttemptResult{Result: control.ConnectionRejected}},
	} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, discardLog)
		received, dialed := make(chan []byte, 1), make(chan struct{})
		addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
			<-dialed
			c.begin(conn)
			b, _ := io.ReadAll(conn)
			received <- b
		})
		transport.dial = func(ctx context.Context, addr string) (*httpconn.Conn, error) {
			conn, err := httpconn.Dial(ctx, addr)
			close(dialed)
			for err == nil && conn.OpenWithoutInput() {
				time.Sleep(time.Millisecond)
			}
			return conn, err
		}
		transport.Send(callTo(addr, time.Minute, "a"))
		e := next[state.CallEnded](t, recorder).Results[0]
		e.Elapsed, e.Attempt = 0, nil
		if e != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, e, c.want)
		}
		if b := <-received; len(b) > 0 {
			t.Errorf("%s: %q was sent", c.name, b)
		}
		if n := transport.counters.Counts().EarlyInput; n != 1 {
			t.Errorf("%s: counted %d times", c.name, n)
		}
	}
}

// TestUnsolicitedResponse checks that bytes after a response leave it unattributable unless they are a second copy, and
// that they are not parsed as the response to the next call.
func TestUnsolicitedResponse(t *testing.T) {
	for stray, first := range map[string]control.Result{
		socktest.Status(200): control.Served, socktest.Status(503): control.Failed, "HTTP/1.1 2": control.Failed,
		"\r\n": control.Failed,
	} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, discardLog)
		addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
			if conn == 0 {
				return socktest.Status(200) + stray
			}
			return socktest.Status(500)
		})
		for _, want := range []control.Result{first, control.Failed} {
			transport.Send(callTo(addr, time.Minute, "a"))
			if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != want {
				t.Errorf("%q: %+v, want %v", stray, e, want)
			}
		}
	}
}

// TestResponseWithoutClose checks that a response proves nothing while the endpoint keeps the connection open: a call
// with a 200 times out, and one with a Retry-After ends at once, as the wait has begun.
func TestResponseWithoutClose(t *testing.T) {
	for _, c := range []struct {
		answer string
		limit  time.Duration
		want   state.AttemptResult
	}{
		{socktest.Status(200), 100 * time.Millisecond, state.AttemptResult{Result: control.TimedOut}},
		{socktest.Status(503), 100 * time.Millisecond, state.AttemptResult{Result: control.TimedOut}},
		{socktest.Status(429, "Retry-After: 2"), time.Minute,
			state.AttemptResult{Result: control.Failed, RetryAfter: 2 * time.Second}},
	} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, discardLog)
		addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
			receive(bufio.NewReader(conn))
			io.WriteString(conn, c.answer)
			io.Copy(io.Discard, conn)
		})
		transport.Send(callTo(addr, c.limit, "a"))
		e := next[state.CallEnded](t, recorder).Results[0]
		e.Elapsed, e.SentAt, e.Attempt = 0, time.Time{}, nil
		if e != c.want {
			t.Errorf("%q: %+v, want %+v", c.answer, e, c.want)
		}
	}
}

// TestCancelDuringResponse checks that a call canceled at about the time of its response ends exactly once: as canceled
// if canceled before the response, with the result of the response if canceled after it, and with either if both happen
// at the same time.
func TestCancelDuringResponse(t *testing.T) {
	recorder := &cancelOnEnd{eventRecorder: newEventRecorder()}
	transport := NewTransport(recorder, discardLog)
	recorder.transport = transport
	var call *state.Call
	when := ""
	addr := socktest.Serve(t, func(int, *http.Request, string) string {
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
		when string
		want []control.Result
	}{
		{"after", []control.Result{control.Served}},
		{"before", []control.Result{control.Canceled}},
		{"after", []control.Result{control.Served}},
		{"between", []control.Result{control.Canceled, control.Served}},
	} {
		call, when = callTo(addr, time.Minute, "a"), c.when
		transport.Send(call)
		results := next[state.CallEnded](t, recorder.eventRecorder).Results
		if len(results) != 1 || !slices.Contains(c.want, results[0].Result) {
			t.Errorf("%s: %+v, want one of %v", c.when, results, c.want)
		}
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
	{"full", socktest.Status(503), time.Minute, state.AttemptResult{Result: control.RejectedUnexplained}},
	{"closes, as requested", socktest.Status(503, "Connection: close"), time.Minute,
		state.AttemptResult{Result: control.RejectedUnexplained}},
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
	{"head without end", "HTTP/1.1 503 x\r\nA: " + strings.Repeat("x", 2*httpconn.MaxHeaderBytes+state.MaxBody), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"head left off", "HTTP/1.1 503 x\r\nRetry-After: 1\r\n", time.Minute,
		state.AttemptResult{Result: control.Failed, RetryAfter: time.Second}},
	{"wait left off", "HTTP/1.1 503 x\r\nRetry-After: 1", time.Minute, state.AttemptResult{Result: control.Failed}},
	{"second head left off", socktest.Status(200) + "HTTP/1.1 503 x\r\nRetry-After: 1\r\nA", time.Minute,
		state.AttemptResult{Result: control.Failed, RetryAfter: time.Second}},
	{"body left off", "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\nx", time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"200, then noise", "HTTP/1.1 200 x\r\nwhat\r\n\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
	{"200, head left off", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x\r\nA: b", time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"200, body left off", "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nx", time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"200, body ends with the connection", "HTTP/1.1 200 x\r\n\r\nHTTP/1.1 503 x\r\n\r\n", time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"200 in the head of another response", "HTTP/1.1 200 x\r\nA: " + socktest.Status(503), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"200 twice", socktest.Status(200) + socktest.Status(200), time.Minute,
		state.AttemptResult{Result: control.Served, Final: true}},
	{"503 and 429", socktest.Status(503) + socktest.Status(429, "Retry-After: 3"), time.Minute,
		state.AttemptResult{Result: control.Rejected, RetryAfter: 3 * time.Second}},
	{"200 and 503", socktest.Status(200) + socktest.Status(503), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"429 and 200", socktest.Status(429, "Retry-After: 3") + socktest.Status(200), time.Minute,
		state.AttemptResult{Result: control.Failed, RetryAfter: 3 * time.Second}},
	{"410 and 504", socktest.Status(410) + socktest.Status(504), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"200 without end", strings.Repeat(socktest.Status(200), 1000), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"no such status", "HTTP/1.1 2000 x\r\n\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
	{"news first", "HTTP/1.1 103 x\r\n\r\n" + socktest.Status(500), time.Minute,
		state.AttemptResult{Result: control.Failed}},
	{"news without end", strings.Repeat("HTTP/1.1 103 x\r\n\r\n", httpconn.MaxHeaderBytes+state.MaxBody), time.Minute,
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
		transport := NewTransport(recorder, discardLog)
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
	transport := NewTransport(recorder, discardLog)
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

// TestConnectionPerCall checks that each call and each health check uses a connection of its own, and asks the endpoint
// to close it.
func TestConnectionPerCall(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, discardLog)
	conns := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, r *http.Request, _ string) string {
		if !r.Close {
			t.Errorf("%s %s does not ask for the close", r.Method, r.URL)
		}
		conns <- conn
		return socktest.Status(200)
	})
	for i := range 4 {
		if i%2 == 0 {
			transport.Send(callTo(addr, time.Minute, "a"))
			next[state.CallEnded](t, recorder)
		} else {
			transport.HealthCheck(state.Target{ID: "s", Addr: addr}, time.Now().Add(time.Minute))
			if e := next[state.HealthChecked](t, recorder); e.Result != control.Served {
				t.Errorf("%+v", e)
			}
		}
		if conn := <-conns; conn != i {
			t.Errorf("request %d used connection %d", i, conn)
		}
	}
	if counts := transport.counters.Counts(); counts.Opened != 4 || len(counts.Doubtful) > 0 {
		t.Errorf("%+v", counts)
	}
}

// TestDoubtfulHealthCheck checks that a health check without an attributable response does not succeed.
func TestDoubtfulHealthCheck(t *testing.T) {
	for answer, want := range map[string]control.Result{
		socktest.Status(200) + socktest.Status(200):    control.Served,
		socktest.Status(200) + socktest.Status(503):    control.ConnectionLost,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n": control.ConnectionLost,
	} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, discardLog)
		addr := socktest.Serve(t, func(int, *http.Request, string) string { return answer })
		transport.HealthCheck(state.Target{ID: "s", Addr: addr}, time.Now().Add(time.Second))
		if e := next[state.HealthChecked](t, recorder); e.Result != want {
			t.Errorf("%q: %v, want %v", answer, e.Result, want)
		}
	}
}

// TestUnannouncedClose checks that a response of an endpoint that announces the close of its connections otherwise is
// not believed without the announcement, unless that goes on.
func TestUnannouncedClose(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, discardLog)
	announced := true
	addr := socktest.Serve(t, func(int, *http.Request, string) string {
		if announced {
			return socktest.Status(200, "Connection: close")
		}
		return socktest.Status(200)
	})
	for i, c := range []struct {
		announced bool
		calls     int
		want      control.Result
	}{
		{false, 1, control.Served}, {true, 1, control.Served}, {false, maxUnannounced - 1, control.Failed},
		{true, 1, control.Served}, {false, maxUnannounced, control.Failed}, {false, 1, control.Served},
	} {
		announced = c.announced
		for range c.calls {
			transport.Send(callTo(addr, time.Minute, "a"))
			if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != c.want {
				t.Errorf("step %d: %v, want %v", i, e.Result, c.want)
			}
		}
	}
}
