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
	"cleathold/internal/httpconn"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// TestLateConnection checks that a connection established late carries no attempt whose deadline has passed and nothing
// of a canceled call. Each attempt ends at its own deadline.
func TestLateConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		overdue []int // attempts whose deadline passes while the connection is being established
		during  func(s *Transport, call *state.Call)
		sent    string // path and messages that the endpoint receives; empty: none
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
			transport := NewTransport(recorder, discardLog)
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
				waitForResults() // attempts end at their own deadline, although the connection is not established
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

// shortenDeadlines makes some attempts of a call end soon, by an early Deadline or an early NotAfter.
func shortenDeadlines(call *state.Call, attempts []int) {
	for n, i := range attempts {
		if soon := time.Now().Add(10 * time.Millisecond); n%2 == 0 {
			call.Attempts[i].NotAfter = soon
		} else {
			call.Attempts[i].Deadline = soon
		}
	}
}

// collectResults waits for a CallEnded event and adds its results to results. Each attempt may end only once.
func collectResults(t *testing.T, recorder *eventRecorder, results map[*state.Attempt]control.Result) {
	for _, e := range next[state.CallEnded](t, recorder).Results {
		if _, twice := results[e.Attempt]; twice {
			t.Errorf("%s ended twice", e.Attempt.Message.ID)
		}
		results[e.Attempt] = e.Result
	}
}

// serveBatches starts an endpoint that delivers all messages, and sends the path and message IDs of each call to got.
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

// dialWhenUp returns a dial function that returns the connection only once the channel up is closed.
func dialWhenUp(up <-chan struct{}) func(context.Context, string) (*httpconn.Conn, error) {
	return func(ctx context.Context, addr string) (*httpconn.Conn, error) {
		c, err := httpconn.Dial(context.Background(), addr)
		select {
		case <-up:
			return c, err
		case <-ctx.Done():
			c.Close()
			return nil, ctx.Err()
		}
	}
}

// TestLateConnectionWithoutAttempts checks that a connection established after all attempts of its call have ended
// carries no request and is closed.
func TestLateConnectionWithoutAttempts(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, discardLog)
	received := make(chan []byte, 1)
	addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
		b, _ := io.ReadAll(conn)
		received <- b
	})
	call := callTo(addr, 0, "a") // its deadline has passed already, which can only happen in a call with further attempts
	f := &inFlightCall{Transport: transport, call: call, ended: make([]bool, 1), attempts: call.Attempts}
	f.ctx, f.cancel = context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
	defer f.cancel()
	up, runDone := make(chan struct{}), make(chan struct{})
	transport.dial = func(_ context.Context, addr string) (*httpconn.Conn, error) {
		<-up
		return httpconn.Dial(context.Background(), addr)
	}
	go func() { defer close(runDone); f.run() }()
	if e := next[state.CallEnded](t, recorder).Results[0]; e.Result != control.ConnectFailed {
		t.Errorf("%+v", e)
	}
	close(up)
	<-runDone
	if b := <-received; len(b) > 0 {
		t.Errorf("%q was sent", b)
	}
}

// TestStalledWrite checks that a call that can't be written completely before the deadline of one of its attempts ends
// as a whole, as not processed.
func TestStalledWrite(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, discardLog)
	clientSide, serverSide := net.Pipe() // unbuffered: a write blocks until its bytes are read
	defer serverSide.Close()
	transport.dial = func(context.Context, string) (*httpconn.Conn, error) { return httpconn.New(clientSide), nil }
	call := callTo("nowhere", time.Minute, "a", "b")
	call.Attempts[1].Deadline = time.Now().Add(50 * time.Millisecond)
	transport.Send(call)
	io.ReadFull(serverSide, make([]byte, 40)) // only the beginning of the request
	for _, e := range next[state.CallEnded](t, recorder).Results {
		if e.Result != control.ConnectFailed {
			t.Errorf("%s: %+v", e.Attempt.Message.ID, e)
		}
	}
}

// TestResponseBeforeRequestSent checks a response of an endpoint that responds and closes the connection before it has
// read the whole request. No message was processed then, and a Retry-After must still be honored.
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
		transport := NewTransport(recorder, discardLog)
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
			conn.Close() // with unread input, which resets the connection
		}()
		transport.dial = func(ctx context.Context, addr string) (*httpconn.Conn, error) {
			l, err := httpconn.Dial(ctx, addr)
			if err == nil {
				l.Conn.(*net.TCPConn).SetWriteBuffer(1 << 10)
			}
			return l, err
		}
		call := callTo(sock.Addr().String(), time.Minute, "a")
		call.Attempts[0].Message.Body = make([]byte, 8<<20) // larger than all socket buffers together
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

// TestTruncatedResponse checks that a response truncated at any byte ends each message of the call once, and that only a
// complete one counts: a part of one may belong to another request.
func TestTruncatedResponse(t *testing.T) {
	for _, c := range []struct {
		ids    []string
		answer string
	}{
		{[]string{"a"}, "HTTP/1.1 200 OK\r\nX-Load: x0=0.4\r\nContent-Length: 2\r\n\r\nok"},
		{[]string{"a"}, "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{[]string{"a", "b"}, socktest.JSON("a delivered\r\nb delivered\r\n")},
	} {
		for n := range len(c.answer) + 1 {
			recorder := newEventRecorder()
			transport := NewTransport(recorder, discardLog)
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
			case n == len(c.answer):
				want = control.Served
			}
			if len(results) != len(c.ids) || results[0].Result != want || results[len(results)-1].Result != want {
				t.Errorf("%q: %+v, want %v", c.answer[:n], results, want)
			}
			sock.Close()
		}
	}
}
