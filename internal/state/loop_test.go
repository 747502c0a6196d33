package state

import (
	"testing"
	"time"

	"cleathold/control"
)

// TestLogResponseSendOrder checks that a message is logged before its client is answered, and an attempt is logged
// before it is sent, which is after the client was answered. After the end of the message nothing is owed.
func TestLogResponseSendOrder(t *testing.T) {
	dir := t.TempDir()
	l, o := newTestLoop(t, dir, 1e6)
	start(t, l)
	if v := receive(t, submit(l, "a", 10)); !v.Accepted {
		t.Fatalf("response %+v", v)
	}
	if list, _ := ReadPending(dir, discardLog); len(list) != 1 || list[0].ID != "a" || list[0].Attempts != 0 {
		t.Fatalf("log after the response: %+v", list)
	}
	l.Idle() // an iteration passes
	if len(o.calls) > 0 {
		t.Fatal("attempt was sent before the client was answered")
	}
	l.Post(ResponseWritten{"a", true})
	c := receive(t, o.calls)
	if list := <-o.pending; len(list) != 1 || !list[0].MayHaveRun || list[0].Attempts != 1 {
		t.Fatalf("log as the attempt leaves: %+v", list)
	}
	l.Post(endedWith(c, AttemptResult{Result: control.Served, Final: true}))
	if !l.Idle() {
		t.Fatal("something is owed after the end")
	}
	l.Idle() // the iteration that recorded the end has passed
	if list, _ := ReadPending(dir, discardLog); len(list) != 0 {
		t.Errorf("log after the end: %+v", list)
	}
}

// TestResponseNotWritten checks that a message whose response could not be written is dropped, because its client may
// submit it again.
func TestResponseNotWritten(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	receive(t, submit(l, "a", 10))
	l.Post(ResponseWritten{"a", false})
	if l.Idle(); !l.Idle() || len(o.calls) > 0 {
		t.Error("message was kept or sent")
	}
}

// TestIterationSharesCalls checks that messages sent to one endpoint in one iteration share a call, up to the batch
// limit of its kind and the maximum size of a body.
func TestIterationSharesCalls(t *testing.T) {
	for _, c := range []struct {
		size, slots int
		want        []int
	}{{10, 8, []int{3, 1}}, {30 << 10, 8, []int{2, 2}}, {30 << 10, 1, []int{2}}} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		l.settings.MaxInFlight = c.slots // the controller's limit stays at eight
		var responses []chan Response
		for _, id := range []string{"a", "b", "c", "d"} {
			responses = append(responses, submit(l, id, c.size))
		}
		start(t, l)
		for i, v := range responses {
			receive(t, v)
			l.Post(ResponseWritten{string(rune('a' + i)), true})
		}
		for _, want := range c.want {
			if got := receive(t, o.calls); len(got.Attempts) != want {
				t.Errorf("bodies of %d bytes: call with %d messages, want %d", c.size, len(got.Attempts), want)
			}
		}
		if l.Idle(); len(o.calls) > 0 {
			t.Errorf("MaxInFlight of %d: more calls were sent than expected", c.slots)
		}
	}
}

// TestLatestDeadlineFirst checks that the attempt with the latest deadline is the first in a call. If hedged requests
// are not allowed, all attempts of a call wait equally long, but none beyond the deadline of its message.
func TestLatestDeadlineFirst(t *testing.T) {
	for _, c := range []struct {
		hedging bool
		want    string // the messages in the order of the call, with their timeouts
	}{{true, "unsafe 4s, safe 1.5s, brief 700ms, "}, {false, "safe 4s, unsafe 4s, brief 700ms, "}} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		l.settings.AllowHedging = c.hedging
		now := time.Now()
		l.clock = func() time.Time { return now }
		l.startedAt = now
		for i, m := range []Message{{ID: "brief", Deadline: now.Add(700 * time.Millisecond)}, {ID: "safe"}, {ID: "unsafe",
			Class: 2}} {
			if m.Destination = 7; i > 0 {
				m.Deadline = now.Add(time.Minute)
			}
			l.Post(Submitted{Message: &m, Response: make(chan Response, 1)})
			l.Post(ResponseWritten{m.ID, true})
		}
		start(t, l)
		call := receive(t, o.calls)
		got := ""
		for _, f := range call.Attempts {
			got += f.Message.ID + " " + f.Deadline.Sub(now).String() + ", "
		}
		if got != c.want {
			t.Errorf("hedged requests allowed %v: %s, want %s", c.hedging, got, c.want)
		}
	}
}

// TestTimeoutAndAnswerInOneIteration checks an attempt with both a timeout and an answer in the same iteration of the
// loop: the first of them counts, and the slot of the attempt is freed once.
func TestTimeoutAndAnswerInOneIteration(t *testing.T) {
	served, timedOut := AttemptResult{Result: control.Served, Final: true}, AttemptResult{Result: control.TimedOut}
	for _, c := range []struct {
		name    string
		results []AttemptResult
		pending int
	}{
		{"answer first", []AttemptResult{served, timedOut}, 0},
		{"timeout first", []AttemptResult{timedOut, served}, 1},
	} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		start(t, l)
		call := o.submitAndReceiveCall(t, l, "a")
		drained, inFlight := make(chan struct{}), make(chan int, 1)
		l.Post(inspect(func() { <-drained })) // the next events are handled in this iteration
		for _, r := range c.results {
			l.Post(endedWith(call, r))
		}
		l.Post(inspect(func() { inFlight <- l.callsInFlight }))
		close(drained)
		if n := <-inFlight; n != 0 {
			t.Errorf("%s: %d calls counted as in flight", c.name, n)
		}
		if l.Idle(); c.pending == 1 {
			if retry := receive(t, o.calls); retry.Attempts[0].Message.ID != "a" {
				t.Errorf("%s: %+v", c.name, retry)
			}
		}
		list, err := ReadPending(o.dir, discardLog)
		if l.Idle(); err != nil || len(list) != c.pending || len(o.calls) > 0 {
			t.Errorf("%s: pending %+v, %v, %d further calls", c.name, list, err, len(o.calls))
		}
	}
}

// TestRetryAfterWithholds checks that a Retry-After withholds the calls that were decided on before it and have not
// left yet.
func TestRetryAfterWithholds(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	first, second := o.submitAndReceiveCall(t, l, "a"), o.submitAndReceiveCall(t, l, "b")
	receive(t, submit(l, "c", 10)) // its client is not answered yet
	l.Post(endedWith(first, AttemptResult{Result: control.Rejected, RetryAfter: time.Hour}))
	if c := receive(t, o.withheld); c != second && receive(t, o.withheld) != second {
		t.Error("the call that was connecting was not withheld")
	}
	l.Post(ResponseWritten{"c", true})
	if l.Idle(); l.Idle() || len(o.calls) > 0 {
		t.Error("a call was sent during the Retry-After")
	}
}

// TestWithheldCalls checks that a call that has not left yet is never sent once its endpoint drains, is removed from
// the list or is excluded by the operators, or once the loop is halted.
func TestWithheldCalls(t *testing.T) {
	drains := Target{ID: "s", Addr: "nowhere"}
	drains.Endpoint = control.Endpoint{Destination: 7, State: control.Draining}
	for name, event := range map[string]Event{
		"drains":   ListUpdate{Kind: control.ListDelta, Version: 2, Targets: []Target{drains}},
		"removed":  ListUpdate{Kind: control.ListFull, Version: 2},
		"excluded": ExclusionsChanged{IDs: []string{"s"}},
		"halted":   halting{},
	} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		start(t, l)
		connecting := o.submitAndReceiveCall(t, l, "a")
		receive(t, submit(l, "b", 10)) // its client is not answered yet
		l.Post(event)
		if c := receive(t, o.withheld); c != connecting {
			t.Errorf("%s: another call was withheld", name)
		}
		l.Post(endedWith(connecting, AttemptResult{Result: control.NotSent}))
		l.Post(ResponseWritten{"b", true})
		l.Idle()
		l.Idle() // two iterations
		if len(o.calls) > 0 {
			t.Errorf("%s: a call was sent", name)
		}
		list, err := ReadPending(o.dir, discardLog)
		if err != nil || len(list) != 2 {
			t.Errorf("%s: pending %+v, %v", name, list, err)
		}
		for _, p := range list {
			if p.MayHaveRun {
				t.Errorf("%s: %+v may have run", name, p)
			}
		}
	}
}

// TestWithheldAtHandover checks that a call that waits for its connection at a hand-over is no longer sent by the
// predecessor, and that the successor sends its message as one that never ran.
func TestWithheldAtHandover(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	connecting := o.submitAndReceiveCall(t, l, "a")
	handedOver, successor := performHandover(t, l)
	if c := receive(t, o.withheld); c != connecting {
		t.Error("another call was withheld")
	}
	next, o2 := newTestLoop(t, o.dir, 1e6)
	next.restoreHandover(&handedOver)
	start(t, next)
	l.Post(endedWith(connecting, AttemptResult{Result: control.NotSent}))
	next.Post(receive(t, successor))
	if retry := receive(t, o2.calls); retry.Attempts[0].Message.ID != "a" {
		t.Errorf("%+v", retry)
	}
	if next.Idle(); len(o2.calls)+len(o2.reports) > 0 {
		t.Error("got a second call or a report")
	}
}

// TestRejections checks that messages beyond the limit on open messages or the size of the log are rejected with a
// Retry-After.
func TestRejections(t *testing.T) {
	l, _ := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	for i, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		v := receive(t, submit(l, id, 10))
		if want := i < 6; v.Accepted != want || !want && v.RetryAfter <= 0 {
			t.Errorf("message %d: %+v", i, v)
		}
	}
	l, _ = newTestLoop(t, t.TempDir(), 100_000)
	start(t, l)
	if v := receive(t, submit(l, "a", 50_000)); v.Accepted || v.RetryAfter <= 0 {
		t.Errorf("message larger than the log's limit: %+v", v)
	}
	if v := receive(t, submit(l, "b", 10)); !v.Accepted {
		t.Errorf("message that fits: %+v", v)
	}
}

// TestInvalidMessages checks that a message is not accepted if its destination is unknown or if another message has or
// had its ID. The other message is not affected.
func TestInvalidMessages(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	v := make(chan Response, 1)
	l.Post(Submitted{Message: &Message{ID: "x", Destination: 8, Deadline: time.Now().Add(time.Minute)}, Response: v})
	if got := receive(t, v); got.Accepted || got.Invalid != UnknownDestination {
		t.Errorf("unknown destination: %+v", got)
	}
	receive(t, submit(l, "a", 10))
	if got := receive(t, submit(l, "a", 10)); got.Accepted || got.Invalid != DuplicateID {
		t.Errorf("ID of an open message: %+v", got)
	}
	l.Post(ResponseWritten{"a", true})
	c := receive(t, o.calls)
	l.Post(endedWith(c, AttemptResult{Result: control.Served, Final: true}))
	if got := receive(t, submit(l, "a", 10)); got.Accepted || got.Invalid != DuplicateID {
		t.Errorf("ID of a message that has ended: %+v", got)
	}
}

// TestUnprocessable checks that if an endpoint can't process a call with several messages, each message is sent again
// in a call of its own. One that can't be processed alone ends undeliverable, and the others are delivered.
func TestUnprocessable(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	for _, id := range []string{"a", "b"} {
		submit(l, id, 10)
	}
	start(t, l)
	l.Post(ResponseWritten{"a", true})
	l.Post(ResponseWritten{"b", true})
	both := receive(t, o.calls)
	if len(both.Attempts) != 2 {
		t.Fatalf("call with %d messages, want 2", len(both.Attempts))
	}
	l.Post(CallEnded{both, []AttemptResult{
		{Attempt: both.Attempts[0], Result: control.Unprocessable}, {Attempt: both.Attempts[1],
			Result: control.Unprocessable},
	}})
	for range 2 {
		c := receive(t, o.calls)
		end := AttemptResult{Attempt: c.Attempts[0], Result: control.Served, Final: true}
		if end.Attempt.Message.ID == "a" {
			end = AttemptResult{Attempt: c.Attempts[0], Result: control.Unprocessable}
		}
		if len(c.Attempts) != 1 {
			t.Fatalf("retry with %d messages, want 1", len(c.Attempts))
		}
		l.Post(CallEnded{c, []AttemptResult{end}})
	}
	if n := receive(t, o.reports); n.ID != "a" || n.Deferred {
		t.Errorf("report %+v", n)
	}
	if l.Idle(); len(o.calls) > 0 {
		t.Error("a message was sent once more")
	}
}
