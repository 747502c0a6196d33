package protocol

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// A connection that comes up late carries only what is still wanted: no attempt whose deadline has come, and nothing
// of a call that is withdrawn or over. Each attempt ends at its own deadline, and the connection is kept.
func TestLateConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		overdue []int // the attempts whose deadline comes while the connection is not up
		during  func(s *Transport, call *state.Call)
		sent    string // path and messages that arrive; empty = none
		want    []control.Result
	}{
		{"in time", nil, nil, "/receive-many a b c", []control.Result{control.Served, control.Served, control.Served}},
		{"one is over", []int{1}, nil, "/receive-many a c",
			[]control.Result{control.Served, control.ConnectFailed, control.Served}},
		{"all but one are over", []int{0, 1}, nil, "/receive c",
			[]control.Result{control.ConnectFailed, control.ConnectFailed, control.Served}},
		{"withdrawn", []int{1}, (*Transport).CancelUnsent, "",
			[]control.Result{control.NotSent, control.ConnectFailed, control.NotSent}},
		{"canceled", nil, (*Transport).Cancel, "",
			[]control.Result{control.ConnectFailed, control.ConnectFailed, control.ConnectFailed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := newEventRecorder()
			transport := NewTransport(recorder, time.Minute, 8, discardLog)
			got := make(chan string, 1)
			addr := serveBatches(t, got)
			up := make(chan struct{})
			transport.dial = dialWhenUp(up)
			call := callTo(addr, time.Minute, "a", "b", "c")
			shortenDeadlines(call, c.overdue)
			transport.Send(call)
			results := map[*state.Attempt]control.Result{}
			waitForResults := func() { collectResults(t, recorder, results) }
			for len(results) < len(c.overdue) {
				waitForResults() // at their own deadline, though the connection is not up
			}
			if c.during != nil {
				c.during(transport, call)
			} else {
				close(up)
			}
			for len(results) < 3 {
				waitForResults()
			}
			for i, want := range c.want {
				if f := call.Attempts[i]; results[f] != want {
					t.Errorf("%s ended with %v, want %v", f.Message.ID, results[f], want)
				}
			}
			if c.sent == "" {
				if len(got) > 0 {
					t.Errorf("%s was sent", <-got)
				}
			} else if sent := <-got; sent != c.sent {
				t.Errorf("%q was sent, want %q", sent, c.sent)
			}
		})
	}
}

// shortenDeadlines has some attempts of a call end soon: their deadline has come, or they must not be repeated any
// more.
func shortenDeadlines(call *state.Call, attempts []int) {
	for n, i := range attempts {
		if soon := time.Now().Add(10 * time.Millisecond); n%2 == 0 {
			call.Attempts[i].NotAfter = soon
		} else {
			call.Attempts[i].Deadline = soon
		}
	}
}

// collectResults waits for results and adds them to others, each attempt once.
func collectResults(t *testing.T, recorder *eventRecorder, results map[*state.Attempt]control.Result) {
	for _, e := range next[state.CallEnded](t, recorder).Results {
		if _, twice := results[e.Attempt]; twice {
			t.Errorf("%s ended twice", e.Attempt.Message.ID)
		}
		results[e.Attempt] = e.Result
	}
}

// serveBatches serves an address whose messages are all delivered, and sends the path and the messages of each call.
func serveBatches(t *testing.T, got chan<- string) (addr string) {
	return socktest.Serve(t, func(_ int, r *http.Request, body string) string {
		ids := r.Header.Get("X-Request-Id")
		if r.URL.Path == "/receive" {
			got <- r.URL.Path + " " + ids
			return socktest.Status(200)
		}
		answer := ""
		for _, id := range batchIDs(body) {
			ids += " " + id
			answer += id + " delivered\r\n"
		}
		got <- r.URL.Path + ids
		return socktest.JSON(answer)
	})
}

// dialWhenUp dials, and has the connection up once the channel is closed.
func dialWhenUp(up <-chan struct{}) func(context.Context, string) (*bufferedConn, error) {
	return func(ctx context.Context, addr string) (*bufferedConn, error) {
		c, err := dial(context.Background(), addr)
		select {
		case <-up:
			return c, err
		case <-ctx.Done():
			c.Close()
			return nil, ctx.Err()
		}
	}
}

// A connection that comes up once all attempts of a call have ended carries nothing, and serves the next call.
func TestLateConnectionWithoutAttempts(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, time.Minute, 8, discardLog)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		t.Errorf("%s was sent", r.Header.Get("X-Request-Id"))
		return socktest.Status(200)
	})
	call := callTo(addr, 0, "a") // over from the start, as those of a call to which others belonged
	f := &inFlightCall{Transport: transport, call: call, ended: make([]bool, 1), attempts: call.Attempts}
	f.ctx, f.cancel = context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
	defer f.cancel()
	up, runDone := make(chan struct{}), make(chan struct{})
	transport.dial = func(_ context.Context, addr string) (*bufferedConn, error) {
		<-up
		return dial(context.Background(), addr)
	}
	go func() { defer close(runDone); f.run() }()
	if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != control.ConnectFailed {
		t.Errorf("%+v", e)
	}
	close(up)
	<-runDone
	if transport.pool.popIdle("s") == nil {
		t.Error("the connection was not kept")
	}
}

// A call that can't be written completely before the deadline of one of its attempts has not run, and ends as a
// whole.
func TestStalledWrite(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, time.Minute, 8, discardLog)
	clientSide, serverSide := net.Pipe() // takes no byte that is not read
	defer serverSide.Close()
	transport.dial = func(context.Context, string) (*bufferedConn, error) { return newBufferedConn(clientSide), nil }
	call := callTo("nowhere", time.Minute, "a", "b")
	call.Attempts[1].Deadline = time.Now().Add(50 * time.Millisecond)
	transport.Send(call)
	io.ReadFull(serverSide, make([]byte, 40)) // the begin, and nothing more
	for _, e := range next[state.CallEnded](t, recorder).Results {
		if e.Result != control.ConnectFailed {
			t.Errorf("%s: %+v", e.Attempt.Message.ID, e)
		}
	}
}

// An endpoint answers and closes before it has read the whole call: nothing of the call has run, and its Retry-After
// binds all the same.
func TestResponseBeforeRequestSent(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         state.AttemptResult
	}{
		{"a wait", socktest.Status(429, "Retry-After: 0.75"),
			state.AttemptResult{Result: control.Rejected, RetryAfter: 750 * time.Millisecond}},
		{"shut", socktest.Status(503, "Connection: close", "Retry-After: 4"),
			state.AttemptResult{Result: control.Rejected, RetryAfter: 4 * time.Second}},
		{"no room", socktest.Status(503, "Connection: close"), state.AttemptResult{Result: control.ConnectionRejected}},
		{"an error", socktest.Status(500), state.AttemptResult{Result: control.ConnectFailed}},
		{"delivered, it says", socktest.Status(200), state.AttemptResult{Result: control.ConnectFailed}},
		{"half an answer", "HTTP/1.1 429 x\r\nRetry-Af", state.AttemptResult{Result: control.ConnectFailed}},
		{"nothing", "", state.AttemptResult{Result: control.ConnectFailed}},
	} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, time.Minute, 8, discardLog)
		sock, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer sock.Close()
		go func() {
			conn, err := sock.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetReadBuffer(1 << 10)
			io.ReadFull(conn, make([]byte, 1))
			io.WriteString(conn, c.answer)
			conn.Close() // over bytes that were not read
		}()
		transport.dial = func(ctx context.Context, addr string) (*bufferedConn, error) {
			l, err := dial(ctx, addr)
			if err == nil {
				l.Conn.(*net.TCPConn).SetWriteBuffer(1 << 10)
			}
			return l, err
		}
		call := callTo(sock.Addr().String(), time.Minute, "a")
		call.Attempts[0].Message.Body = make([]byte, 8<<20) // more than any buffer on the way holds
		transport.Send(call)
		e := next[state.CallEnded](t, recorder).Results[0]
		if e.SentAt.IsZero() {
			t.Errorf("%s: nothing was written", c.name)
		}
		e.Elapsed, e.SentAt, e.Attempt = 0, time.Time{}, nil
		if e != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, e, c.want)
		}
	}
}

// A response that is cut at any byte ends a call, and each of its messages once: a 200 to one message counts from its
// status line on, all else has to come completely.
func TestTruncatedResponse(t *testing.T) {
	for _, c := range []struct {
		ids      []string
		answer   string
		complete int // from so many bytes on the messages are delivered
	}{
		{[]string{"a"}, "HTTP/1.1 200 OK\r\nX-Load: x0=0.4\r\nContent-Length: 2\r\n\r\nok", len("HTTP/1.1 200 OK\r\n")},
		{[]string{"a"}, "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			len("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\n")},
		{[]string{"a", "b"}, socktest.JSON("a delivered\r\nb delivered\r\n"),
			len(socktest.JSON("a delivered\r\nb delivered\r\n"))},
	} {
		for n := range len(c.answer) + 1 {
			recorder := newEventRecorder()
			transport := NewTransport(recorder, time.Minute, 8, discardLog)
			sock, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := sock.Accept()
				if err != nil {
					return
				}
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.Copy(io.Discard, r.Body)
				}
				io.WriteString(conn, c.answer[:n])
				conn.Close()
			}()
			transport.Send(callTo(sock.Addr().String(), time.Minute, c.ids...))
			results := next[state.CallEnded](t, recorder).Results
			want := control.Failed
			switch {
			case n == 0:
				want = control.ConnectionLost
			case n >= c.complete:
				want = control.Served
			}
			if len(results) != len(c.ids) || results[0].Result != want || results[len(results)-1].Result != want {
				t.Errorf("%q: %+v, want %v", c.answer[:n], results, want)
			}
			sock.Close()
		}
	}
}
