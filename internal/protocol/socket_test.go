package protocol

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// eventRecorder collects what is posted; the listener's side answers each message as told.
type eventRecorder struct {
	events   chan state.Event
	response state.Response
}

func newEventRecorder() *eventRecorder { return &eventRecorder{events: make(chan state.Event, 64)} }

func (p *eventRecorder) Post(e state.Event) { p.events <- e }

func (p *eventRecorder) PostBefore(e state.Event, _ time.Time) bool {
	p.events <- e
	e.(state.Submitted).Response <- p.response
	return true
}

// next waits for an event; only a hang makes it fail.
func next[T any](t *testing.T, p *eventRecorder) T {
	t.Helper()
	select {
	case e := <-p.events:
		return e.(T)
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was posted")
		panic("unreachable")
	}
}

// callTo makes a call of messages to an address, for so long.
func callTo(addr string, limit time.Duration, ids ...string) *state.Call {
	c := &state.Call{Target: state.Target{ID: "s", Addr: addr}, ConnectBy: time.Now().Add(time.Minute)}
	for _, id := range ids {
		m := &state.Message{ID: id, Key: "k-" + id, Body: []byte("body of " + id)}
		c.Attempts = append(c.Attempts, &state.Attempt{Message: m, Deadline: time.Now().Add(limit)})
	}
	return c
}

// Each way in which a call can end has its outcome.
func TestAttemptOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		limit        time.Duration
		want         state.AttemptResult
	}{
		{"served", socktest.Status(200), time.Minute, state.AttemptResult{Result: control.Served, Final: true}},
		{"error", socktest.Status(500), time.Minute, state.AttemptResult{Result: control.Failed}},
		{"wait", socktest.Status(429, "Retry-After: 0.25"), time.Minute, state.AttemptResult{Result: control.Rejected, RetryAfter: 250 * time.Millisecond}},
		{"full", socktest.Status(503), time.Minute, state.AttemptResult{Result: control.Rejected}},
		{"no room for connections", socktest.Status(503, "Connection: close"), time.Minute, state.AttemptResult{Result: control.ConnectionRejected}},
		{"shut", socktest.Status(503, "Connection: close", "Retry-After: 4"), time.Minute, state.AttemptResult{Result: control.Rejected, RetryAfter: 4 * time.Second}},
		{"no slot", socktest.Status(503, "X-Over-Slots: 1"), time.Minute, state.AttemptResult{Result: control.NotSent, NoSlot: true}},
		{"spent", socktest.Status(504), time.Minute, state.AttemptResult{Result: control.NotSent}},
		{"over", socktest.Status(410), time.Minute, state.AttemptResult{Result: control.NotSent, Final: true}},
		{"odd", socktest.Status(302), time.Minute, state.AttemptResult{Result: control.Unknown}},
		{"not for it", socktest.Status(400), time.Minute, state.AttemptResult{Result: control.Unprocessable}},
		{"no HTTP", "what?\r\n\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
		{"noise without end", "what?", time.Minute, state.AttemptResult{Result: control.Failed}},
		{"head without end", "HTTP/1.1 503 x\r\nA: " + strings.Repeat("x", 2*maxHeaderBytes+state.MaxBody), time.Minute, state.AttemptResult{Result: control.Failed}},
		{"head left off", "HTTP/1.1 503 x\r\nRetry-After: 1\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
		{"body left off", "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\nx", time.Minute, state.AttemptResult{Result: control.Failed}},
		{"served, then noise", "HTTP/1.1 200 x\r\nwhat\r\n\r\n", time.Minute, state.AttemptResult{Result: control.Served, Final: true}},
		{"served, head left off", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x\r\nA: b", time.Minute, state.AttemptResult{Result: control.Served, Final: true}},
		{"served, body left off", "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nx", time.Minute, state.AttemptResult{Result: control.Served, Final: true}},
		{"no such status", "HTTP/1.1 2000 x\r\n\r\n", time.Minute, state.AttemptResult{Result: control.Failed}},
		{"news first", "HTTP/1.1 103 x\r\n\r\n" + socktest.Status(500), time.Minute, state.AttemptResult{Result: control.Failed}},
		{"news without end", strings.Repeat("HTTP/1.1 103 x\r\n\r\n", maxHeaderBytes+state.MaxBody), time.Minute, state.AttemptResult{Result: control.Failed}},
		{"reset", "", time.Minute, state.AttemptResult{Result: control.ConnectionLost}},
		{"hang", "hang", 500 * time.Millisecond, state.AttemptResult{Result: control.TimedOut}},
		{"called off", "hang", time.Minute, state.AttemptResult{Result: control.Canceled}},
		{"refused", "shut", time.Minute, state.AttemptResult{Result: control.ConnectFailed}},
	} {
		p := newEventRecorder()
		s := NewTransport(p, time.Minute, 8, discardLog)
		got := make(chan struct{}, 1)
		addr := socktest.Serve(t, func(_ int, r *http.Request, body string) string {
			if r.URL.Path != "/receive" || r.Header.Get("X-Request-Id") != "a" || r.Header.Get("Idempotency-Key") != "k-a" || body != "body of a" {
				t.Errorf("%s: target got %v %q", c.name, r, body)
			}
			got <- struct{}{}
			return c.answer
		})
		if c.answer == "shut" {
			addr = socktest.Refusing(t)
		}
		call := callTo(addr, c.limit, "a")
		s.Send(call)
		if c.name == "called off" {
			<-got
			s.Cancel(call)
		}
		e := next[state.CallEnded](t, p).Results[0]
		if e.SentAt.IsZero() != (c.want.Result == control.ConnectFailed) {
			t.Errorf("%s: left at %v", c.name, e.SentAt)
		}
		e.Elapsed, e.SentAt, e.Attempt = 0, time.Time{}, nil
		if e != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, e, c.want)
		}
	}
}

// A call withheld before its connection is up never leaves; one that has left goes on.
func TestCancelUnsent(t *testing.T) {
	p := newEventRecorder()
	s := NewTransport(p, time.Minute, 8, discardLog)
	got, goOn := make(chan string, 2), make(chan struct{})
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		got <- r.Header.Get("X-Request-Id")
		<-goOn
		return socktest.Status(200)
	})
	left := callTo(addr, time.Minute, "left")
	s.Send(left)
	<-got
	s.CancelUnsent(left)
	f := &inFlightCall{Transport: s, call: callTo(addr, time.Minute, "held"), ended: make([]bool, 1)}
	f.attempts = f.call.Attempts
	f.ctx, f.cancel = context.WithCancel(t.Context())
	s.inFlight[f.call] = f
	s.CancelUnsent(f.call)
	f.run()
	if e := next[state.CallEnded](t, p).Results[0]; e.Result != control.NotSent || e.Final {
		t.Errorf("withheld: %+v", e)
	}
	close(goOn)
	if e := next[state.CallEnded](t, p).Results[0]; e.Result != control.Served || len(got) > 0 {
		t.Errorf("left: %+v, and %d more calls", e, len(got))
	}
}

// Messages of one call have an end each; one whose own time is up first ends
// alone, and the others still get theirs.
func TestBatchResults(t *testing.T) {
	p := newEventRecorder()
	s := NewTransport(p, time.Minute, 8, discardLog)
	goOn := make(chan struct{})
	addr := socktest.Serve(t, func(_ int, r *http.Request, body string) string {
		if r.URL.Path != "/receive-many" || !strings.HasPrefix(body, "a k-a 9\r\nbody of a\r\nb k-b 9\r\n") {
			t.Errorf("target got %v %q", r, body)
		}
		<-goOn
		const ends = "a delivered\r\nb refused\r\nc delivered\r\n"
		return fmt.Sprintf("HTTP/1.1 200 x\r\nRetry-After: 2\r\nContent-Length: %d\r\n\r\n%s", len(ends), ends)
	})
	c := callTo(addr, time.Minute, "a", "b", "c")
	c.Attempts[2].Deadline = time.Now().Add(20 * time.Millisecond)
	s.Send(c)
	first := next[state.CallEnded](t, p).Results
	if len(first) != 1 || first[0].Attempt != c.Attempts[2] || first[0].Result != control.TimedOut {
		t.Fatalf("first %+v", first)
	}
	close(goOn)
	then := next[state.CallEnded](t, p).Results
	if len(then) != 2 || then[0].Result != control.Served || then[1].Result != control.Rejected || then[1].RetryAfter != 2*time.Second {
		t.Fatalf("then %+v", then)
	}
}

// A spoilt answer to several messages ends them all alike, at once, and its
// connection is not used again.
func TestMalformedBatchResponse(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 x\r\nContent-Length: 13\r\n\r\na delivered\r\n", // nothing of b
		"HTTP/1.1 200 x\r\nContent-Length: 90\r\n\r\na delivered\r\nb deli",
		"HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n",
		socktest.JSON("a delivered\r\na delivered\r\nb delivered\r\n"),
		socktest.JSON("a deliv\r\nb delivered\r\n"),
	} {
		p := newEventRecorder()
		s := NewTransport(p, time.Minute, 8, discardLog)
		s.Send(callTo(socktest.Serve(t, func(int, *http.Request, string) string { return answer }), time.Minute, "a", "b"))
		ends := next[state.CallEnded](t, p).Results
		if len(ends) != 2 || ends[0].Result != control.Failed || ends[1].Result != control.Failed {
			t.Errorf("%q: %+v", answer, ends)
		}
	}
}

// A connection is used again, unless its target has closed it meanwhile: a
// request written to that one would be lost.
func TestConnectionReuse(t *testing.T) {
	p := newEventRecorder()
	s := NewTransport(p, time.Minute, 8, discardLog)
	conns := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
		conns <- conn
		return socktest.Status(200)
	})
	call := func() int {
		s.Send(callTo(addr, time.Minute, "a"))
		if e := next[state.CallEnded](t, p).Results[0]; e.Result != control.Served {
			t.Fatalf("%+v", e)
		}
		return <-conns
	}
	a, b := call(), call() // the connection is back before its call's end is known
	l := s.pool.pop("s")
	l.Conn.(*net.TCPConn).CloseRead() // reads as closed by the other side
	s.pool.put("s", l)
	if c := call(); a != b || b == c {
		t.Errorf("connections %d %d %d, want the first twice and then another", a, b, c)
	}
}

// startListener starts a listener over the posts.
func startListener(t *testing.T, p *eventRecorder) *Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0", p, testNames, testClasses, 4, 3, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve()
	t.Cleanup(func() { l.Close(time.Now().Add(10 * time.Second)) })
	return l
}

const submission = "POST /status HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\nX-Tenant: acme\r\nX-Deadline: 1\r\nX-Addressing: dest=1\r\nContent-Length: 2\r\n\r\nhi"

// Every request that can be read gets an answer, and malformed ones hurt nobody.
func TestListenerResponses(t *testing.T) {
	p := newEventRecorder()
	l := startListener(t, p)
	for _, c := range []struct {
		name, send string
		verdict    state.Response
		status     int
		again      string
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
		{"chunked", strings.Replace(submission, "Content-Length: 2\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 1), state.Response{}, 411, ""},
		{"id twice", strings.Replace(submission, "X-Tenant", "X-Request-Id: j\r\nX-Tenant", 1), state.Response{}, 400, ""},
		{"older HTTP", strings.Replace(submission, "HTTP/1.1", "HTTP/1.0", 1), state.Response{}, 505, ""},
		{"health", "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n", state.Response{}, 200, ""},
	} {
		p.response = c.verdict
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, c.send)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || r.StatusCode != c.status || r.Header.Get("Retry-After") != c.again {
			t.Errorf("%s: %v %+v", c.name, err, r)
		}
		conn.Close()
		if c.status == 202 || c.verdict != (state.Response{}) {
			if m := next[state.Submitted](t, p).Message; string(m.Body) != "hi" {
				t.Errorf("%s: body %q", c.name, m.Body)
			}
		}
		if c.verdict.Accepted && !next[state.ResponseWritten](t, p).OK {
			t.Errorf("%s: answer not confirmed", c.name)
		}
	}
}

// A request with two lengths hides another in its body: neither is taken in.
func TestRequestSmuggling(t *testing.T) {
	p := newEventRecorder()
	p.response = state.Response{Accepted: true}
	l := startListener(t, p)
	for _, outer := range []string{submission, strings.Replace(submission, "/status", "/nothing", 1)} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, strings.Replace(outer, "Content-Length: 2\r\n\r\nhi",
			fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(submission)+5, submission), 1))
		answers, err := io.ReadAll(conn)
		if err != nil || !strings.HasPrefix(string(answers), "HTTP/1.1 411 ") || strings.Count(string(answers), "HTTP/1.1") != 1 || len(p.events) > 0 {
			t.Errorf("%v %d messages, answers %q", err, len(p.events), answers)
		}
	}
}

// The body of a request that is not taken in is not read as the next request.
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
		{"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n", 200},
	} {
		io.WriteString(conn, c.send)
		if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != c.want {
			t.Fatalf("want %d: %v %+v", c.want, err, r)
		} else {
			io.Copy(io.Discard, r.Body)
		}
	}
}

// A listener that leaves still takes messages in, and tells each client that
// its connection ends with the answer.
func TestDisableKeepAlive(t *testing.T) {
	p := newEventRecorder()
	p.response = state.Response{Accepted: true}
	l := startListener(t, p)
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

// Peers that connect and say nothing, however many, keep nobody else out: a
// connection that has served and lies idle stays, and a new one is served. Each
// of them, and one that leaves off in the middle of a request, is closed.
func TestIdleConnectionFlood(t *testing.T) {
	l := startListener(t, newEventRecorder())
	dialed := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	ask := func(conn net.Conn) {
		t.Helper()
		io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || r.StatusCode != 200 {
			t.Fatal(err)
		}
	}
	kept := dialed()
	ask(kept)
	half := dialed()
	io.WriteString(half, "POST /status HTTP/1.1\r\nHost")
	silent := []net.Conn{half}
	for range 40 {
		silent = append(silent, dialed())
	}
	ask(dialed())
	ask(kept)
	for i, conn := range silent {
		if _, err := io.Copy(io.Discard, conn); os.IsTimeout(err) {
			t.Errorf("silent connection %d: %v", i, err)
		}
	}
}

// Of clients that ask once and hold on to their connection only so many are let:
// the next ones hear that theirs ends with the answer, and those that lie idle
// for long are closed. Clients that may not hold more could not ask otherwise.
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
		io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || r.Close != (i >= l.maxKeptAlive) {
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

// At the limit of connections one that lies idle gives way to a new one.
func TestConnectionLimit(t *testing.T) {
	l := startListener(t, newEventRecorder())
	for i := range 12 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
}

// A watch follows each answer until one fails, and asks from the latest version.
func TestPoll(t *testing.T) {
	asked := make(chan string, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		asked <- r.URL.Query().Get("since")
		if r.URL.Query().Get("since") == "9" {
			return socktest.Status(503)
		}
		const list = `{"version":9,"full":true,"servers":[]}`
		return fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	p := newEventRecorder()
	d := NewDiscovery(p, DiscoveryConfig{Addr: addr, Names: testNames, MaxPollInterval: time.Second, PollSpread: 0, Log: discardLog})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	d.Watch(true, 4)
	if n := next[state.ListUpdate](t, p); n.Kind != control.ListFull || n.Version != 9 {
		t.Errorf("first %+v", n)
	}
	if n := next[state.ListUpdate](t, p); n.Kind != control.ListFailed {
		t.Errorf("then %+v", n)
	}
	if a, b := <-asked, <-asked; a != "4" || b != "9" {
		t.Errorf("asked since %s and %s", a, b)
	}
}

// A list that has not changed yet has version zero: what is asked for then is what has changed since. Only
// where no version is known the whole list is asked for. After news a large fleet's sender rests.
func TestPollFromVersionZero(t *testing.T) {
	type ask struct {
		path string
		at   time.Time
	}
	asked := make(chan ask, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		asked <- ask{r.URL.RawQuery, time.Now()}
		const list = `{"version":0,"full":true,"servers":[{"id":"a","state":"up"}]}`
		return fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	const rest = 100 * time.Millisecond
	for _, c := range []struct {
		since       int64
		first, then string
	}{{0, "since=0&timeout_ms=1000", "since=0&timeout_ms=1000"}, {state.NoVersion, "", "since=0&timeout_ms=1000"}} {
		ctx, cancel := context.WithCancel(t.Context())
		d := NewDiscovery(newEventRecorder(), DiscoveryConfig{Addr: addr, Names: testNames, MaxPollInterval: time.Second, PollSpread: rest, Log: discardLog})
		ended := make(chan struct{})
		go func() { defer close(ended); d.Run(ctx) }()
		d.Watch(true, c.since)
		a, b := <-asked, <-asked
		if a.path != c.first || b.path != c.then {
			t.Errorf("since %d: asked %q, then %q", c.since, a.path, b.path)
		}
		if gap := b.at.Sub(a.at); gap < rest/2 {
			t.Errorf("asked again %v after news, wanted a rest of %v at least", gap, rest/2)
		}
		cancel()
		<-ended
		for len(asked) > 0 {
			<-asked
		}
	}
}

// Notices go out in order and again until 204; one that can't be read is left out.
func TestReports(t *testing.T) {
	var got []string
	tries := 0
	addr := socktest.Serve(t, func(_ int, r *http.Request, body string) string {
		if tries++; tries == 1 {
			return socktest.Status(503)
		}
		if strings.Contains(body, `"b"`) {
			return socktest.Status(400)
		}
		got = append(got, body)
		return socktest.Status(204)
	})
	p := newEventRecorder()
	n := NewReporter(p, addr, discardLog)
	for i, id := range []string{"a", "b", "c"} {
		n.Report(state.DeliveryReport{Num: control.MessageID(i), ID: id})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.Run(ctx)
	var nums []control.MessageID
	for len(nums) < 3 {
		nums = append(nums, next[state.ReportsAcknowledged](t, p).Nums...)
	}
	if nums[0] != 0 || nums[1] != 1 || nums[2] != 2 || !strings.Contains(strings.Join(got, ""), `"a"`) || !strings.Contains(strings.Join(got, ""), `"c"`) {
		t.Errorf("acknowledged %v, told %q", nums, got)
	}
}

// A drained sender says no, ends connections with their answers and idle ones at once, and turns messages away after a
// while, with a time to come back; activated, it is as before.
func TestDrainedListener(t *testing.T) {
	p := newEventRecorder()
	p.response = state.Response{Accepted: true}
	classes := []control.Class{{Deadline: time.Minute, Idempotency: control.Idempotent}}
	l, err := Listen("127.0.0.1:0", p, Names{Classes: map[string]int{"status": 0}}, classes, 8, 8, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve()
	defer l.Close(time.Now().Add(time.Minute))
	open := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c, bufio.NewReader(c)
	}
	ask := func(c net.Conn, in *bufio.Reader, request string) *http.Response {
		t.Helper()
		io.WriteString(c, request)
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		return r
	}
	const health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	n := 0
	message := func() string {
		n++
		return fmt.Sprintf("POST /status HTTP/1.1\r\nHost: x\r\nX-Request-Id: m%d\r\nX-Deadline: 5\r\nX-Addressing: dest=1\r\nContent-Length: 0\r\n\r\n", n)
	}
	half, _ := open()
	io.WriteString(half, "POST /status HTTP/1.1\r\nHost: x\r\n")
	half.Close()
	for until := time.Now().Add(10 * time.Second); l.counters.unanswered.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("a request that broke off is not counted")
		}
	}
	held, heldIn := open()
	if r := ask(held, heldIn, message()); r.StatusCode != http.StatusAccepted || r.Close {
		t.Fatalf("before: %d, close %v", r.StatusCode, r.Close)
	}
	l.Drain()
	began := time.Now()
	if _, err := heldIn.ReadByte(); err != io.EOF || time.Since(began) > idleTimeout/2 { // it was idle, and had longer
		t.Errorf("an idle connection: %v after %v", err, time.Since(began))
	}
	for _, c := range []struct {
		name, request string
		since         time.Duration // before now
		status        int
	}{
		{"health", health, 0, http.StatusServiceUnavailable},
		{"a message at once", message(), 0, http.StatusAccepted},
		{"a message later", message(), drainAcceptWindow + time.Second, http.StatusServiceUnavailable},
		{"health later", health, drainAcceptWindow + time.Second, http.StatusServiceUnavailable},
	} {
		since := time.Now().Add(-c.since)
		l.drainedSince.Store(&since)
		conn, in := open()
		r := ask(conn, in, c.request)
		if r.StatusCode != c.status || !r.Close {
			t.Errorf("%s: %d, close %v", c.name, r.StatusCode, r.Close)
		}
		if again := r.Header.Get("Retry-After"); strings.HasPrefix(c.name, "a message later") != (again != "") {
			t.Errorf("%s: Retry-After %q", c.name, again)
		}
	}
	if n := l.counters.Counts(); n.Requests != 6 || n.Unanswered != 1 || n.Answers["202"] != 2 || n.Answers["503"] != 3 {
		t.Errorf("counted %+v", n)
	}
	l.Activate()
	conn, in := open()
	for _, request := range []string{health, message(), health} {
		if r := ask(conn, in, request); r.StatusCode >= 300 || r.Close {
			t.Errorf("activated: %d, close %v", r.StatusCode, r.Close)
		}
	}
}
