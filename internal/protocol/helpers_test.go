package protocol

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/connbudget"
	"cleathold/internal/state"
)

// faultyListener is a listening socket that injects errors and runs hooks on its connections.
type faultyListener struct {
	net.Listener
	beforeRead  func() error // before the first read of a connection
	beforeClose func()       // before the first half-close or close of a connection
	write       func(c *net.TCPConn, b []byte) (int, error)
	acceptErrs  []error // returned by the first calls of Accept
}

func (s *faultyListener) Accept() (net.Conn, error) {
	if len(s.acceptErrs) > 0 {
		err := s.acceptErrs[0]
		s.acceptErrs = s.acceptErrs[1:]
		return nil, err
	}
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{TCPConn: c.(*net.TCPConn), listener: s}, nil
}

type faultyConn struct {
	*net.TCPConn
	listener            *faultyListener
	readOnce, closeOnce sync.Once
}

func (c *faultyConn) Read(b []byte) (int, error) {
	var err error
	c.readOnce.Do(func() {
		if c.listener.beforeRead != nil {
			err = c.listener.beforeRead()
		}
	})
	if err != nil {
		return 0, err
	}
	return c.TCPConn.Read(b)
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.listener.write != nil {
		return c.listener.write(c.TCPConn, b)
	}
	return c.TCPConn.Write(b)
}

func (c *faultyConn) beforeClose() {
	if c.listener.beforeClose != nil {
		c.closeOnce.Do(c.listener.beforeClose)
	}
}

func (c *faultyConn) CloseWrite() error { c.beforeClose(); return c.TCPConn.CloseWrite() }
func (c *faultyConn) Close() error      { c.beforeClose(); return c.TCPConn.Close() }

// startFaulty starts a Listener on a faultyListener and opens a connection to it.
func startFaulty(t *testing.T, s *faultyListener, recorder *eventRecorder) (*Listener, net.Conn) {
	t.Helper()
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Listener = sock
	l := ListenOn(s, recorder, testNames, testClasses, testBudget(4), 3, discardLog)
	go l.Serve()
	t.Cleanup(func() { l.Close(time.Now().Add(10 * time.Second)) })
	conn, err := net.Dial("tcp", sock.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return l, conn
}

// stalledDiscovery is a discovery client that blocks the event loop, as a slow disk could.
type stalledDiscovery struct {
	silentServices
	entered, resume chan struct{}
}

func (s stalledDiscovery) Watch(bool, int64) { close(s.entered); <-s.resume }

// hookedRecorder runs a hook before it accepts a message.
type hookedRecorder struct {
	*eventRecorder
	beforePost func()
}

func (r *hookedRecorder) PostBefore(e state.Event, _ time.Time) bool {
	r.beforePost()
	e.(state.Submitted).Response <- state.Response{Accepted: true}
	return true
}

// deadlineRecorder is a connection that records the deadlines set on it.
type deadlineRecorder struct {
	*net.TCPConn
	deadlines []time.Time
}

func (d *deadlineRecorder) SetDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return d.TCPConn.SetDeadline(t)
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return d.TCPConn.SetReadDeadline(t)
}

// silentServices implements a discovery client and a reporter that do nothing.
type silentServices struct{}

func (silentServices) Watch(bool, int64)           {}
func (silentServices) Fetch()                      {}
func (silentServices) Report(state.DeliveryReport) {}

// batchIDs lists the ids of the messages in a call's body.
func batchIDs(body string) (ids []string) {
	for in := bufio.NewReader(strings.NewReader(body)); ; {
		head, err := in.ReadString('\n')
		if err != nil {
			return ids
		}
		ids = append(ids, strings.Fields(head)[0])
		in.ReadString('\n') // bodies in these tests contain no newline
	}
}

var (
	testNames = Names{
		Classes: map[string]int{"status": 0, "order": 1}, Tenants: map[string]int{"acme": 0},
		Zones: map[string]int{"a": 0, "b": 1}, Kinds: map[string]int{"big": 0},
	}
	testClasses = []control.Class{
		{Deadline: 8 * time.Second}, {Deadline: 20 * time.Second, Idempotency: control.IdempotentByKey},
	}
)

// reset ends a connection with a reset.
func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// receive reads a request including its body.
func receive(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// cancelOnEnd cancels each call while its result is being posted.
type cancelOnEnd struct {
	*eventRecorder
	transport *Transport
}

func (a *cancelOnEnd) Post(e state.Event) {
	if e, ok := e.(state.CallEnded); ok {
		a.transport.Cancel(e.Call)
	}
	a.eventRecorder.Post(e)
}

// waitUntilIdle waits until no call is in flight.
func (t *Transport) waitUntilIdle() {
	for t.inFlightCount() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// inFlightCount returns the number of calls in flight.
func (t *Transport) inFlightCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight)
}

const changedList = `{"version":9,"full":false,"servers":[{"id":"a","state":"draining","cell":1}]}`

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// eventRecorder records the posted events, and decides each submitted message with its response.
type eventRecorder struct {
	events   chan state.Event
	response state.Response
}

func newEventRecorder() *eventRecorder { return &eventRecorder{events: make(chan state.Event, 64)} }

func (r *eventRecorder) Post(e state.Event) { r.events <- e }

func (r *eventRecorder) PostBefore(e state.Event, _ time.Time) bool {
	r.events <- e
	e.(state.Submitted).Response <- r.response
	return true
}

// runUntilEnd calls run on a goroutine, and cancels and awaits it at the end of the test.
func runUntilEnd(t *testing.T, run func(context.Context)) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
}

// next returns the next event, without those that a slow response begins and ends. The timeout is long enough that it only
// expires if no event is posted at all.
func next[T any](t *testing.T, recorder *eventRecorder) T {
	t.Helper()
	for {
		select {
		case e := <-recorder.events:
			switch e.(type) {
			case state.ListResponseBegan, state.ListResponseEnded:
				continue
			}
			return e.(T)
		case <-time.After(10 * time.Second):
			t.Fatal("no event was posted")
		}
	}
}

// callTo returns a call with these messages to an address. Each attempt ends after the timeout.
func callTo(addr string, timeout time.Duration, ids ...string) *state.Call {
	c := &state.Call{Target: state.Target{ID: "s", Addr: addr}, ConnectBy: time.Now().Add(time.Minute)}
	for _, id := range ids {
		m := &state.Message{ID: id, Key: "k-" + id, Body: []byte("body of " + id)}
		c.Attempts = append(c.Attempts, &state.Attempt{Message: m, Deadline: time.Now().Add(timeout)})
	}
	return c
}

// startListener starts a listener that posts to the recorder.
func startListener(t *testing.T, recorder *eventRecorder) *Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0", recorder, testNames, testClasses, testBudget(4), 3, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve()
	t.Cleanup(func() { l.Close(time.Now().Add(10 * time.Second)) })
	return l
}

// testBudget returns a budget for a number of connections.
func testBudget(connections int) *connbudget.Budget {
	return connbudget.New(connbudget.ForProcess(1, 0, connections))
}

// healthRequest is a health check.
const healthRequest = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"

// submission is a request with a message.
const submission = "POST /status HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\nX-Tenant: acme\r\nX-Deadline: 1\r\n" +
	"X-Addressing: dest=1\r\nContent-Length: 2\r\n\r\nhi"
