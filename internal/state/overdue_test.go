package state

import (
	"fmt"
	"testing"
	"time"

	"cleathold/control"
)

// TestLargeMessagesTakeTheirSlots guards against messages for healthy destinations that are neither sent nor ended while
// large ones for another destination hang: a call that their size splits into several takes a slot for each of them.
func TestLargeMessagesTakeTheirSlots(t *testing.T) {
	targets := make([]Target, 2)
	for i := range targets {
		targets[i] = Target{ID: fmt.Sprint("s", i), Addr: "nowhere"}
		targets[i].Endpoint = control.Endpoint{Destination: 7 + i, State: control.Ready}
	}
	l, o := newTestLoopWith(t, t.TempDir(), 10e6, ListUpdate{Kind: control.ListCached, Version: 1, Targets: targets})
	l.settings.MaxOpenMessages = 60
	var responses []chan Response
	for i := range 20 { // all in one iteration
		responses = append(responses, submit(l, fmt.Sprint("large", i), 33<<10))
	}
	start(t, l)
	for i, response := range responses {
		receive(t, response)
		l.Post(ResponseWritten{fmt.Sprint("large", i), true})
	}
	m := newMessage("small", 0, time.Minute)
	m.Destination = 8
	response := make(chan Response, 1)
	l.Post(Submitted{Message: m, Response: response})
	receive(t, response)
	l.Post(ResponseWritten{"small", true})
	for calls := 1; ; calls++ {
		if c := receive(t, o.calls); c.Target.ID == "s1" {
			return
		}
		if calls == 8 {
			t.Fatal("the large messages have taken all slots")
		}
	}
}

// TestOverdueMessageEnds guards against messages without an owner: one whose call waits for a slot behind a call that
// hangs, and one whose attempt is in flight at a predecessor that hangs. Their reports are due 300 ms after the deadline.
func TestOverdueMessageEnds(t *testing.T) {
	const left, due = 400 * time.Millisecond, 300 * time.Millisecond
	expectReport := func(t *testing.T, o *environment, m *Message) {
		t.Helper()
		if r := receive(t, o.reports); r.ID != m.ID || time.Since(m.Deadline) > due {
			t.Errorf("%+v, %v after the deadline", r, time.Since(m.Deadline))
		}
	}
	t.Run("waits for a slot", func(t *testing.T) {
		t.Parallel()
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		l.settings.MaxInFlight = 1 // the controller's limit stays at eight
		start(t, l)
		o.submitAndReceiveCall(t, l, "hangs")
		m := newMessage("waits", 0, left)
		response := make(chan Response, 1)
		l.Post(Submitted{Message: m, Response: response})
		receive(t, response)
		l.Post(ResponseWritten{m.ID, true})
		expectReport(t, o, m)
	})
	t.Run("in flight at a predecessor", func(t *testing.T) {
		t.Parallel()
		dir := t.TempDir()
		l, o := newTestLoop(t, dir, 1e6)
		m := newMessage("remote", 0, left)
		response := make(chan Response, 1)
		l.Post(Submitted{Message: m, Response: response})
		start(t, l)
		receive(t, response)
		l.Post(ResponseWritten{m.ID, true})
		receive(t, o.calls)
		state, _ := performHandover(t, l)
		successor, err := NewLoop(Setup{
			Settings: l.settings, Dir: dir, MaxDiskBytes: 1e6, Log: discardLog, Handover: &state,
		})
		if err != nil {
			t.Fatal(err)
		}
		successor.Connect(o, o, o)
		start(t, successor)
		expectReport(t, o, m)
		calls := make(chan int, 1)
		successor.Post(inspect(func() { calls <- successor.remote.calls() }))
		if n := receive(t, calls); n != 0 {
			t.Errorf("%d calls of the predecessor still take slots", n)
		}
	})
}

// TestReportWhileDiskHangs guards against a message that nobody ends while the event loop hangs in a write, or has given
// its state away and nobody has taken it over yet.
func TestReportWhileDiskHangs(t *testing.T) {
	const left, due = 400 * time.Millisecond, 300 * time.Millisecond
	for name, hang := range map[string]func(l *Loop, resume <-chan struct{}){
		"disk": func(l *Loop, resume <-chan struct{}) { l.Post(inspect(func() { <-resume })) },
		"successor": func(l *Loop, _ <-chan struct{}) {
			l.Post(Handover{Successor: successorStub(make(chan RemoteResult, 4)), Done: make(chan HandoverResult, 1)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, o := newTestLoop(t, t.TempDir(), 1e6)
			start(t, l)
			resume := make(chan struct{})
			defer close(resume)
			m := newMessage("m", 0, left)
			response := make(chan Response, 1)
			l.Post(Submitted{Message: m, Response: response})
			receive(t, response)
			hang(l, resume)
			if r := receive(t, o.reports); r.ID != m.ID || time.Since(m.Deadline) > due {
				t.Errorf("%+v, %v after the deadline", r, time.Since(m.Deadline))
			}
		})
	}
}
