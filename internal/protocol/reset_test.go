package protocol

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// reset ends a connection with a reset.
func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// receive reads a request and its body.
func receive(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// A connection that is reset once so many bytes of a call have come, on a new connection and on a kept one: all bytes
// had left, so the call may have run, and none of its messages is taken for one that has not.
func TestResetUnderCall(t *testing.T) {
	f := &inFlightCall{call: callTo("127.0.0.1:99999", time.Minute, "a", "b")}
	f.attempts = f.call.Attempts
	f.ctx = t.Context()
	head, body := f.encodeRequest()
	for _, kept := range []bool{false, true} {
		for _, n := range []int{1, len(head), len(head) + 1, len(head) + len(body) - 1, len(head) + len(body)} {
			p := newEventRecorder()
			s := NewTransport(p, time.Minute, 8, discardLog)
			addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
				in := bufio.NewReader(conn)
				if kept {
					receive(in)
					io.WriteString(conn, socktest.Status(500))
				}
				io.ReadFull(in, make([]byte, n))
				reset(conn)
			})
			if kept {
				s.Send(callTo(addr, time.Minute, "first"))
				if e := next[state.CallEnded](t, p).Results[0]; e.Result != control.Failed {
					t.Fatalf("%+v", e)
				}
			}
			s.Send(callTo(addr, time.Minute, "a", "b"))
			ends := next[state.CallEnded](t, p).Results
			if len(ends) != 2 || ends[0].Result != control.ConnectionLost || ends[1].Result != control.ConnectionLost {
				t.Errorf("kept %t, reset after %d bytes: %+v", kept, n, ends)
			}
		}
	}
}

// A target closes a connection that lay idle after the look at it and before the write. What was written there may have
// been read: it counts as run. Where no byte could leave any more it has not run, and may go again.
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
		p := newEventRecorder()
		s := NewTransport(p, time.Minute, 8, discardLog)
		conns := make(chan *net.TCPConn, 4)
		addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
			in := bufio.NewReader(conn)
			conns <- conn
			receive(in)
			io.WriteString(conn, socktest.Status(200))
		})
		s.Send(callTo(addr, time.Minute, "first"))
		if e := next[state.CallEnded](t, p).Results[0]; e.Result != control.Served {
			t.Fatalf("%+v", e)
		}
		call := callTo(addr, time.Minute, "a")
		f := &inFlightCall{Transport: s, call: call, ended: make([]bool, 1), attempts: call.Attempts}
		f.ctx, f.cancel = context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
		defer f.cancel()
		l, err := f.openConnection() // it looks...
		if err != nil || len(conns) != 1 {
			t.Fatalf("%s: %v, %d connections", c.name, err, len(conns))
		}
		c.end(<-conns)
		for l.openWithoutInput() { // ...and the end comes
			time.Sleep(time.Millisecond)
		}
		f.transmit(l)
		if e := next[state.CallEnded](t, p).Results[0]; e.Result != c.want {
			t.Errorf("%s: %+v, want %v", c.name, e, c.want)
		}
		if s.pool.pop("s") != nil {
			t.Errorf("%s: the connection was kept", c.name)
		}
	}
}

// Bytes behind an answer are nobody's: a second answer that came with the first is not the next call's, whose
// connection is another one.
func TestUnsolicitedResponse(t *testing.T) {
	for _, stray := range []string{socktest.Status(200), "HTTP/1.1 2", "\r\n"} {
		p := newEventRecorder()
		s := NewTransport(p, time.Minute, 8, discardLog)
		addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
			if conn == 0 {
				return socktest.Status(200) + stray
			}
			return socktest.Status(500)
		})
		for _, want := range []control.Result{control.Served, control.Failed} {
			s.Send(callTo(addr, time.Minute, "a"))
			if e := next[state.CallEnded](t, p).Results[0]; e.Result != want {
				t.Errorf("%q: %+v, want %v", stray, e, want)
			}
		}
	}
}

// cancelOnEnd calls a call off in the instant in which its end is posted.
type cancelOnEnd struct {
	*eventRecorder
	s *Transport
}

func (a *cancelOnEnd) Post(e state.Event) {
	if e, ok := e.(state.CallEnded); ok {
		a.s.Cancel(e.Call)
	}
	a.eventRecorder.Post(e)
}

// A call given up in the instant of its answer ends once: before the answer as called off, with the answer as it says,
// and between the two as either. The connection of one that was answered serves the next call.
func TestCancelDuringResponse(t *testing.T) {
	p := &cancelOnEnd{eventRecorder: newEventRecorder()}
	s := NewTransport(p, time.Minute, 8, discardLog)
	p.s = s
	var call *state.Call
	when := ""
	conns := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
		conns <- conn
		switch when {
		case "before":
			s.Cancel(call)
			s.waitUntilIdle()
		case "between":
			s.Cancel(call)
		}
		return socktest.Status(200)
	})
	for _, c := range []struct {
		when string
		want []control.Result
		kept bool // the connection is the one before
	}{
		{"after", []control.Result{control.Served}, false},
		{"after", []control.Result{control.Served}, true},
		{"before", []control.Result{control.Canceled}, true},
		{"after", []control.Result{control.Served}, false},
		{"between", []control.Result{control.Canceled, control.Served}, true},
	} {
		call, when = callTo(addr, time.Minute, "a"), c.when
		last := s.pool.idleCount
		s.Send(call)
		ends := next[state.CallEnded](t, p.eventRecorder).Results
		if len(ends) != 1 || !slices.Contains(c.want, ends[0].Result) || c.kept != (last == 1) {
			t.Errorf("%s: %+v, want one of %v; %d connections kept before", c.when, ends, c.want, last)
		}
		<-conns
		s.waitUntilIdle() // whatever it still did is done
		if len(p.events) > 0 {
			t.Errorf("%s: ended again: %+v", c.when, <-p.events)
		}
	}
}

// waitUntilIdle waits until no call is on its way.
func (t *Transport) waitUntilIdle() {
	for t.inFlightCount() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// inFlightCount is how many calls are on their way.
func (t *Transport) inFlightCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight)
}

// An answer of the old address that comes after a move is not the list: the new address is asked, for the whole one.
func TestResponseFromOldAddress(t *testing.T) {
	list := func(id string) string {
		return socktest.JSON(`{"version":4,"full":true,"servers":[{"id":"` + id + `","state":"up","cell":1}]}`)
	}
	watched, moved := make(chan struct{}), make(chan struct{})
	old := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		close(watched)
		<-moved
		return list("old")
	})
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if r.URL.Query().Has("since") {
			return socktest.Hang
		}
		return list("new")
	})
	p := newEventRecorder()
	d := NewDiscovery(p, DiscoveryConfig{Addr: old, Names: testNames, MaxPollInterval: 10 * time.Second, PollSpread: 0, Log: discardLog})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); d.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	d.Watch(true, 3)
	<-watched
	d.SetAddress(addr)
	close(moved)
	if n := next[state.ListUpdate](t, p); n.Kind != control.ListFull || n.Targets[0].ID != "new" {
		t.Errorf("%+v", n)
	}
}

// What the address after a move has to tell counts as told 4 s later, so that a first question there which is not
// answered is asked again here, soon, and is no failed ask of which the controller says when to repeat it.
func TestSetAddressToSlowServer(t *testing.T) {
	old := socktest.Serve(t, func(int, *http.Request, string) string { return socktest.Hang })
	var asked atomic.Int32
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if r.URL.Query().Has("since") {
			return socktest.Hang
		}
		switch asked.Add(1) {
		case 1:
			return socktest.Hang
		case 2:
			return socktest.Status(http.StatusServiceUnavailable)
		}
		return socktest.JSON(`{"version":4,"full":true,"servers":[{"id":"new","state":"up","cell":1}]}`)
	})
	p := newEventRecorder()
	d := NewDiscovery(p, DiscoveryConfig{Addr: old, Names: testNames, MaxPollInterval: 10 * time.Second, PollSpread: 4 * time.Second, DrainGrace: 2 * time.Second, Log: discardLog})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); d.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	d.Watch(true, 3)
	moved := time.Now()
	d.SetAddress(addr)
	if n := next[state.ListUpdate](t, p); n.Kind != control.ListFull || n.Targets[0].ID != "new" {
		t.Errorf("%+v", n)
	}
	if took := time.Since(moved); took > 4*time.Second {
		t.Errorf("known %v after the move", took)
	}
}
