package state

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/store"
)

// environment is everything around a loop.
type environment struct {
	t       *testing.T
	dir     string
	calls   chan *Call
	notices chan DeliveryReport
	pending chan []Pending // of the journal, as each call leaves
	held    chan *Call
}

func (o *environment) Send(c *Call) {
	list, err := ReadPending(o.dir, discardLog)
	if err != nil {
		o.t.Error(err)
	}
	o.pending <- list
	o.calls <- c
}
func (o *environment) Cancel(*Call)                  {}
func (o *environment) CancelUnsent(c *Call)          { o.held <- c }
func (o *environment) HealthCheck(Target, time.Time) {}
func (o *environment) Disconnect(string)             {}
func (o *environment) Watch(bool, int64)             {}
func (o *environment) Fetch()                        {}
func (o *environment) Report(n DeliveryReport)       { o.notices <- n }

// receive waits for something; only a hang makes it fail.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// newTestLoop makes a loop over a folder with one target of a destination, which
// takes calls of three messages. The first function may still change it.
func newTestLoop(t *testing.T, dir string, disk int64) (*Loop, *environment) {
	t.Helper()
	target := Target{ID: "s", Addr: "nowhere"}
	target.Endpoint = control.Endpoint{Destination: 7, State: control.Ready}
	return newTestLoopWith(t, dir, disk, ListUpdate{Kind: control.ListCached, Version: 1, Targets: []Target{target}})
}

// newTestLoopWithoutList makes a loop that was started while discovery is down, without a list.
func newTestLoopWithoutList(t *testing.T, dir string) (*Loop, *environment) {
	t.Helper()
	return newTestLoopWith(t, dir, 1e6, ListUpdate{Kind: control.ListCached, Version: NoVersion})
}

func newTestLoopWith(t *testing.T, dir string, disk int64, known ListUpdate) (*Loop, *environment) {
	t.Helper()
	classes := []control.Class{
		{LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1, Idempotency: control.Idempotent},
		{LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1, Idempotency: control.IdempotentByKey, KeyRetention: 12 * time.Second},
		{LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1, Idempotency: control.NotIdempotent},
	}
	set := control.Settings{
		FleetSize: 1, Classes: classes, Kinds: []control.Kind{{MaxBatch: 3, SeparateRoutes: true}}, MaxInFlight: 8, MaxOpenMessages: 6,
		MaxAttempts: 12, CanSendRetryAfter: true, MaxRetryAfter: time.Minute, ConnectTimeout: time.Second, HeadroomIndex: -1, LimitIndex: -1, AllowHedging: true, CanCancel: true,
		OverloadWindow: 2 * time.Second, WarmUp: 10 * time.Second, ColdCapacity: 0.2, OverloadFactor: 2,
	}
	l, err := NewLoop(Setup{Settings: set, Dir: dir, DiskBytes: disk, Log: discardLog, Known: known})
	if err != nil {
		t.Fatal(err)
	}
	o := &environment{t, dir, make(chan *Call, 64), make(chan DeliveryReport, 64), make(chan []Pending, 64), make(chan *Call, 64)}
	l.Connect(o, o, o)
	return l, o
}

// start runs a loop until the test ends.
func start(t *testing.T, l *Loop) {
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() { cancel(); <-l.finished })
}

// submit posts a message and returns where its verdict will come.
func submit(l *Loop, id string, size int) chan Response {
	v := make(chan Response, 1)
	l.Post(Submitted{Message: &Message{ID: id, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: make([]byte, size)}, Response: v})
	return v
}

// The journal knows a message before its client does, and a forward before it
// leaves; that is after the client was answered. Nothing is owed after its end.
func TestOrderOfThings(t *testing.T) {
	dir := t.TempDir()
	l, o := newTestLoop(t, dir, 1e6)
	start(t, l)
	if v := receive(t, submit(l, "a", 10)); !v.Accepted {
		t.Fatalf("verdict %+v", v)
	}
	if list, _ := ReadPending(dir, discardLog); len(list) != 1 || list[0].ID != "a" || list[0].Attempts != 0 {
		t.Fatalf("journal after the verdict: %+v", list)
	}
	l.Idle() // a round passes
	if len(o.calls) > 0 {
		t.Fatal("forward left before the client was answered")
	}
	l.Post(ResponseWritten{"a", true})
	c := receive(t, o.calls)
	if list := <-o.pending; len(list) != 1 || !list[0].MayHaveRun || list[0].Attempts != 1 {
		t.Fatalf("journal as the forward leaves: %+v", list)
	}
	l.Post(CallEnded{c, []AttemptResult{{Attempt: c.Attempts[0], Result: control.Served, Final: true}}})
	if !l.Idle() {
		t.Fatal("something is owed after the end")
	}
	l.Idle() // the round that booked it has passed
	if list, _ := ReadPending(dir, discardLog); len(list) != 0 {
		t.Errorf("journal after the end: %+v", list)
	}
}

// A client that could not be told has no message here: it may hand it in again.
func TestUntoldClient(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	receive(t, submit(l, "a", 10))
	l.Post(ResponseWritten{"a", false})
	if l.Idle(); !l.Idle() || len(o.calls) > 0 {
		t.Error("message kept, or sent")
	}
}

// What goes to one target in one round shares a call, up to the kind's batch
// and to what a body may hold.
func TestRoundShares(t *testing.T) {
	for _, c := range []struct {
		size, slots int
		want        []int
	}{{10, 8, []int{3, 1}}, {30 << 10, 8, []int{2, 2}}, {30 << 10, 1, []int{2}}} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		l.settings.MaxInFlight = c.slots // the controller still has eight
		var verdicts []chan Response
		for _, id := range []string{"a", "b", "c", "d"} {
			verdicts = append(verdicts, submit(l, id, c.size))
		}
		start(t, l)
		for i, v := range verdicts {
			receive(t, v)
			l.Post(ResponseWritten{string(rune('a' + i)), true})
		}
		for _, want := range c.want {
			if got := receive(t, o.calls); len(got.Attempts) != want {
				t.Errorf("bodies of %d: a call of %d, want %d", c.size, len(got.Attempts), want)
			}
		}
		if l.Idle(); len(o.calls) > 0 {
			t.Errorf("%d slots: a call more than that", c.slots)
		}
	}
}

// The first message of a call is the one that is waited for longest, and where no second copies are allowed all
// are waited for as long, each within its own time.
func TestLongestWaitedForGoesFirst(t *testing.T) {
	for _, c := range []struct {
		copies bool
		want   string // the messages in the order in which they stand in the call, and how long it waits for each
	}{{true, "unsafe 4s, safe 1.5s, brief 700ms, "}, {false, "safe 4s, unsafe 4s, brief 700ms, "}} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		l.settings.AllowHedging = c.copies
		now := time.Now()
		l.clock = func() time.Time { return now }
		l.start = now
		for i, m := range []Message{{ID: "brief", Deadline: now.Add(700 * time.Millisecond)}, {ID: "safe"}, {ID: "unsafe", Class: 2}} {
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
			t.Errorf("second copies allowed %v: %s, want %s", c.copies, got, c.want)
		}
	}
}

// callOf hands a message in, has its client answered, and takes the call that leaves with it.
func (o *environment) callOf(t *testing.T, l *Loop, id string) *Call {
	t.Helper()
	receive(t, submit(l, id, 10))
	l.Post(ResponseWritten{id, true})
	return receive(t, o.calls)
}

// A time-out and the answer of one forward in one round of the loop: the first counts, and its slot is freed once.
func TestTimeOutAndAnswerInOneRound(t *testing.T) {
	served, timedOut := AttemptResult{Result: control.Served, Final: true}, AttemptResult{Result: control.TimedOut}
	for _, c := range []struct {
		name    string
		ends    []AttemptResult
		pending int
	}{
		{"answer first", []AttemptResult{served, timedOut}, 0},
		{"time-out first", []AttemptResult{timedOut, served}, 1},
	} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		start(t, l)
		call := o.callOf(t, l, "a")
		drained, flying := make(chan struct{}), make(chan int, 1)
		l.Post(inspect(func() { <-drained })) // the next events come in this round
		for _, end := range c.ends {
			end.Attempt = call.Attempts[0]
			l.Post(CallEnded{call, []AttemptResult{end}})
		}
		l.Post(inspect(func() { flying <- l.callsInFlight }))
		close(drained)
		if n := <-flying; n != 0 {
			t.Errorf("%s: %d calls count as out", c.name, n)
		}
		if l.Idle(); c.pending == 1 {
			if again := receive(t, o.calls); again.Attempts[0].Message.ID != "a" {
				t.Errorf("%s: %+v", c.name, again)
			}
		}
		list, err := ReadPending(o.dir, discardLog)
		if l.Idle(); err != nil || len(list) != c.pending || len(o.calls) > 0 {
			t.Errorf("%s: pending %+v, %v, %d further calls", c.name, list, err, len(o.calls))
		}
	}
}

// A wait that is told keeps back what was decided on before and has not left.
func TestWaitWithholds(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	first, second := o.callOf(t, l, "a"), o.callOf(t, l, "b")
	receive(t, submit(l, "c", 10)) // its client is not answered yet
	l.Post(CallEnded{first, []AttemptResult{{Attempt: first.Attempts[0], Result: control.Rejected, RetryAfter: time.Hour}}})
	if c := receive(t, o.held); c != second && receive(t, o.held) != second {
		t.Error("the call on its way was not withheld")
	}
	l.Post(ResponseWritten{"c", true})
	if l.Idle(); l.Idle() || len(o.calls) > 0 {
		t.Error("left during the wait")
	}
}

// A call that has not left when its target drains, leaves the list or is taken out by the operators never leaves,
// and no call does that has not left when the loop is halted.
func TestWithheldFromLeaving(t *testing.T) {
	drains := Target{ID: "s", Addr: "nowhere"}
	drains.Endpoint = control.Endpoint{Destination: 7, State: control.Draining}
	for name, event := range map[string]Event{
		"drains":    ListUpdate{Kind: control.ListDelta, Version: 2, Targets: []Target{drains}},
		"is gone":   ListUpdate{Kind: control.ListFull, Version: 2},
		"set aside": ExclusionsChanged{IDs: []string{"s"}},
		"halted":    halting{},
	} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		start(t, l)
		connecting := o.callOf(t, l, "a")
		receive(t, submit(l, "b", 10)) // its client is not answered yet
		l.Post(event)
		if c := receive(t, o.held); c != connecting {
			t.Errorf("%s: another call was withheld", name)
		}
		l.Post(CallEnded{connecting, []AttemptResult{{Attempt: connecting.Attempts[0], Result: control.NotSent}}})
		l.Post(ResponseWritten{"b", true})
		l.Idle()
		l.Idle() // two rounds
		if len(o.calls) > 0 {
			t.Errorf("%s: a call left", name)
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

// A process gives way while a call waits for its connection: the call does not leave any more, and the next process
// makes it, as one that never ran.
func TestWithheldAtHandOver(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	connecting := o.callOf(t, l, "a")
	done, heir := make(chan HandOverResult, 1), successorStub(make(chan RemoteResult, 1))
	l.Post(HandOver{Successor: heir, Done: done})
	given := receive(t, done)
	if given.Err != nil || len(given.State.InFlight) != 1 {
		t.Fatalf("%+v", given)
	}
	if c := receive(t, o.held); c != connecting {
		t.Error("another call was withheld")
	}
	next, o2 := newTestLoop(t, o.dir, 1e6)
	next.restoreHandover(&given.State)
	start(t, next)
	l.Post(CallEnded{connecting, []AttemptResult{{Attempt: connecting.Attempts[0], Result: control.NotSent}}})
	next.Post(receive(t, heir))
	if again := receive(t, o2.calls); again.Attempts[0].Message.ID != "a" {
		t.Errorf("%+v", again)
	}
	if next.Idle(); len(o2.calls)+len(o2.notices) > 0 {
		t.Error("a second call, or a notice")
	}
}

// What the journal could not take is not told, and is in it once it can write again;
// what was taken back meanwhile is not.
func TestJournalRecovers(t *testing.T) {
	dir := t.TempDir()
	j, tb := openTestWAL(t, dir, 1e6)
	a, b := addTestMessage(j, tb, "a", 10), addTestMessage(j, tb, "b", 10)
	j.store.Close()
	if err := j.flush(); err == nil || !j.incomplete {
		t.Fatal("a failed write went unseen")
	}
	tb.drop(b)
	j.forget(b.num)
	again, _ := openTestWAL(t, dir, 1e6)
	j.store = again.store
	if err := j.flush(); err != nil || j.incomplete {
		t.Fatal(err)
	}
	if list, _ := ReadPending(dir, discardLog); len(list) != 1 || list[0].ID != a.ID {
		t.Errorf("kept %+v", list)
	}
}

// A journal that fails for a while holds no notice back beyond the time of its message, when a next process would not send
// it any more; one of a message with time left waits until it is written.
func TestNoticesWhileTheJournalFails(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	hand := func(id string, class int, within time.Duration) {
		v := make(chan Response, 1)
		l.Post(Submitted{Message: &Message{ID: id, Class: class, Destination: 7, Deadline: time.Now().Add(within)}, Response: v})
		if !receive(t, v).Accepted {
			t.Fatalf("%s is not taken on", id)
		}
		l.Post(ResponseWritten{id, true})
	}
	hand("unsafe", 2, time.Minute)
	call := receive(t, o.calls)
	const within = 400 * time.Millisecond
	began := time.Now()
	hand("short", 2, within)
	short := receive(t, o.calls)
	time.AfterFunc(within, func() {
		l.Post(CallEnded{short, []AttemptResult{{Attempt: short.Attempts[0], Result: control.TimedOut}}})
	})
	whole := make(chan *store.Store, 1)
	l.Post(inspect(func() {
		broken, _ := openTestWAL(t, t.TempDir(), 1e6)
		broken.store.Close()
		whole <- l.wal.store
		l.wal.store = broken.store
	}))
	l.Post(CallEnded{call, []AttemptResult{{Attempt: call.Attempts[0], Result: control.ConnectionLost}}}) // given up at once
	if n := receive(t, o.notices); n.ID != "short" {
		t.Errorf("%s is told while it could be forgotten", n.ID)
	}
	if took := time.Since(began); took > within+200*time.Millisecond {
		t.Errorf("told %v after it was taken on, due after %v", took, within)
	}
	store := <-whole
	l.Post(inspect(func() { l.wal.store = store }))
	if n := receive(t, o.notices); n.ID != "unsafe" { // with no event but the loop's own
		t.Errorf("then told of %s", n.ID)
	}
}

// Beyond what may be held, or journaled, a message gets a fixed response.
func TestFixedResponses(t *testing.T) {
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
		t.Errorf("more than the disk holds: %+v", v)
	}
	if v := receive(t, submit(l, "b", 10)); !v.Accepted {
		t.Errorf("what fits: %+v", v)
	}
}

// What names no destination that there is, or an id that another message has
// or had, is not taken on, and the other message goes its way.
func TestWrongMessages(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	v := make(chan Response, 1)
	l.Post(Submitted{Message: &Message{ID: "x", Destination: 8, Deadline: time.Now().Add(time.Minute)}, Response: v})
	if got := receive(t, v); got.Accepted || got.Invalid != UnknownDestination {
		t.Errorf("nowhere to go: %+v", got)
	}
	receive(t, submit(l, "a", 10))
	if got := receive(t, submit(l, "a", 10)); got.Accepted || got.Invalid != DuplicateID {
		t.Errorf("id of an open one: %+v", got)
	}
	l.Post(ResponseWritten{"a", true})
	c := receive(t, o.calls)
	l.Post(CallEnded{c, []AttemptResult{{Attempt: c.Attempts[0], Result: control.Served, Final: true}}})
	if got := receive(t, submit(l, "a", 10)); got.Accepted || got.Invalid != DuplicateID {
		t.Errorf("id of a finished one: %+v", got)
	}
}

// Where a target rejects a call of several, each of them goes by itself; one
// that is rejected alone is at its end, and costs the others nothing.
func TestRejected(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	for _, id := range []string{"a", "b"} {
		submit(l, id, 10)
	}
	start(t, l)
	l.Post(ResponseWritten{"a", true})
	l.Post(ResponseWritten{"b", true})
	both := receive(t, o.calls)
	if len(both.Attempts) != 2 {
		t.Fatalf("a call of %d", len(both.Attempts))
	}
	l.Post(CallEnded{both, []AttemptResult{{Attempt: both.Attempts[0], Result: control.Unprocessable}, {Attempt: both.Attempts[1], Result: control.Unprocessable}}})
	for range 2 {
		c := receive(t, o.calls)
		end := AttemptResult{Attempt: c.Attempts[0], Result: control.Served, Final: true}
		if end.Attempt.Message.ID == "a" {
			end = AttemptResult{Attempt: c.Attempts[0], Result: control.Unprocessable}
		}
		if len(c.Attempts) != 1 {
			t.Fatalf("then a call of %d", len(c.Attempts))
		}
		l.Post(CallEnded{c, []AttemptResult{end}})
	}
	if n := receive(t, o.notices); n.ID != "a" || n.Deferred {
		t.Errorf("notice %+v", n)
	}
	if l.Idle(); len(o.calls) > 0 {
		t.Error("sent once more")
	}
}

// After a restart each message is owed its end, within what its class allows.
func TestRestart(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		class int
		left  time.Duration
		ago   time.Duration // since the forward; 0 = none
		ran   bool          // it may have run
		sends int           // expected attempt; -1 = none
		owed  string
	}{
		{"safe, fresh", 0, time.Minute, 0, false, 0, ""},
		{"safe, may have run", 0, time.Minute, time.Hour, true, 1, ""},
		{"keyed, remembered", 1, time.Minute, time.Second, true, 1, ""},
		{"keyed, forgotten", 1, time.Minute, 20 * time.Second, true, -1, "deferred"},
		{"keyed, clock set back since", 1, time.Minute, -time.Second, true, -1, "deferred"},
		{"keyed, never ran, clock set back", 1, time.Minute, -time.Second, false, 1, ""},
		{"unsafe, fresh", 2, time.Minute, 0, false, 0, ""},
		{"unsafe, never ran", 2, time.Minute, time.Second, false, 1, ""},
		{"unsafe, may have run", 2, time.Minute, time.Second, true, -1, "undeliverable"},
		{"safe, overdue", 0, -time.Second, 0, false, -1, "deferred"},
		{"unsafe, overdue", 2, -time.Second, time.Second, true, -1, "undeliverable"},
	} {
		dir := t.TempDir()
		j, tb := openTestWAL(t, dir, 1e6)
		e := &entry{num: 9, Message: &Message{ID: "a", Class: c.class, Destination: 7, Deadline: now.Add(c.left), Body: []byte("body")}}
		tb.add(e)
		j.add(acceptedRecord(j.times, e))
		if c.ago != 0 {
			j.add(attemptRecord(j.times, 9, sentAttempt{attempt: 0, at: now.Add(-c.ago), zone: 0}))
			if !c.ran {
				j.add(notRunRecord(9, 0))
			}
		}
		if err := errors.Join(j.flush(), j.close()); err != nil {
			t.Fatal(err)
		}
		l, o := newTestLoop(t, dir, 1e6)
		start(t, l)
		if c.owed != "" {
			if n := receive(t, o.notices); n.outcome() != c.owed || n.ID != "a" {
				t.Errorf("%s: %+v", c.name, n)
			}
			if l.Idle(); len(o.calls) > 0 {
				t.Errorf("%s: sent all the same", c.name)
			}
			continue
		}
		f := receive(t, o.calls).Attempts[0]
		want := time.Time{}
		if c.class == 1 && c.ran { // a repeat that leaves late must not leave the window
			want = now.Add(-c.ago).Add(12 * time.Second)
		}
		if off := f.NotAfter.Sub(want).Abs(); off > time.Millisecond { // the journal has whole microseconds, by two readings
			t.Errorf("%s: may leave until %v, want %v", c.name, f.NotAfter, want)
		}
		if f.attempt != c.sends || !bytes.Equal(f.Message.Body, []byte("body")) || len(o.notices) > 0 {
			t.Errorf("%s: attempt %d of %+v", c.name, f.attempt, f.Message)
		}
	}
}

// A step of the wall clock between two processes changes no span: what was sent 5 s ago and is due in 20 s is so to the
// next process, whether the clock was put forward or back by an hour meanwhile.
func TestRestartAcrossAStepOfTheWallClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		dir := t.TempDir()
		before, err := anchorNow()
		if err != nil {
			t.Fatal(err)
		}
		before.Stamp -= step.Microseconds() // the wall clock was there as the first process began
		if err := writeAnchor(dir, before); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		wall := &timeBase{zero: now, stamp: now.Add(-step).UnixMicro()}
		j, tb := openTestWAL(t, dir, 1e6)
		e := &entry{num: 9, Message: &Message{ID: "a", Class: 1, Destination: 7, Deadline: now.Add(20 * time.Second)}}
		tb.add(e)
		j.add(acceptedRecord(wall, e))
		j.add(attemptRecord(wall, 9, sentAttempt{attempt: 0, at: now.Add(-5 * time.Second)}))
		if err := errors.Join(j.flush(), j.close()); err != nil {
			t.Fatal(err)
		}
		l, o := newTestLoop(t, dir, 1e6)
		start(t, l)
		f := receive(t, o.calls).Attempts[0]
		if off := f.NotAfter.Sub(now.Add(7 * time.Second)).Abs(); off > 50*time.Millisecond {
			t.Errorf("step %v: may leave in %v, not 7s", step, f.NotAfter.Sub(now))
		}
		if off := f.Message.Deadline.Sub(now.Add(20 * time.Second)).Abs(); off > 50*time.Millisecond {
			t.Errorf("step %v: due in %v, not 20s", step, f.Message.Deadline.Sub(now))
		}
		pending, err := ReadPending(dir, discardLog)
		if err != nil || len(pending) != 1 || pending[0].Deadline.Sub(now.Add(20*time.Second)).Abs() > 50*time.Millisecond {
			t.Errorf("step %v: pending %+v, %v", step, pending, err)
		}
	}
}

// After a start of the machine the time base begins anew, and never behind what it told before.
func TestTimebaseAfterABoot(t *testing.T) {
	dir := t.TempDir()
	ahead := time.Now().Add(time.Minute).UnixMicro()
	if err := writeAnchor(dir, clockAnchor{Boot: "another", Monotonic: 1, Stamp: ahead}); err != nil {
		t.Fatal(err)
	}
	if got := openTimeBase(dir, discardLog).stampOf(time.Now()); got < ahead {
		t.Errorf("%d after %d", got, ahead)
	}
	if err := os.WriteFile(filepath.Join(dir, timeBaseFile), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if got := openTimeBase(dir, discardLog).timeOf(now.UnixMicro()).Sub(now).Abs(); got > 50*time.Millisecond {
		t.Errorf("a damaged anchor: %v off", got)
	}
}

// The target group forgets those that left long ago, also where only a whole
// list tells of it, and keeps the numbers of those that come back.
func TestGroupForgets(t *testing.T) {
	g, now := newGroup(), time.Now()
	up := func(id string) Target { return Target{ID: id, Endpoint: control.Endpoint{State: control.Ready}} }
	back := up("back")
	first := g.update(ListUpdate{Kind: control.ListDelta, Targets: []Target{back, up("gone")}}, now)
	g.update(ListUpdate{Kind: control.ListFull, Targets: nil}, now)
	again := g.update(ListUpdate{Kind: control.ListDelta, Targets: []Target{back}}, now.Add(removedRetention/2))
	g.update(ListUpdate{Kind: control.ListDelta}, now.Add(2*removedRetention))
	if again[0].ID != first[0].ID || g.byID["back"] == nil || g.byID["gone"] != nil || len(g.byNumber) != 1 || len(g.removedAt) != 0 {
		t.Errorf("numbers %d and %d, known %v", first[0].ID, again[0].ID, g.byID)
	}
}

// The record of a forward lies in a damaged part: an unsafe message then ends as one
// that may have run, and a keyed one near the end of its memory does not go again.
func TestForwardInDamage(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		owed  string
	}{{"unsafe", 2, "undeliverable"}, {"keyed", 1, "deferred"}, {"safe", 0, ""}} {
		dir := t.TempDir()
		j, tb := openTestWAL(t, dir, 1e6)
		e := &entry{num: 9, Message: &Message{ID: "a", Key: "k", Class: c.class, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: []byte("body")}}
		tb.add(e)
		j.addAccepted(e)
		err := j.flush()
		j.add(attemptRecord(j.times, 9, sentAttempt{attempt: 0, at: time.Now().Add(-11 * time.Second), endpoint: "target-in-the-damage"}))
		err = errors.Join(err, j.flush())
		addTestMessage(j, tb, "later", 10) // so that it is no torn tail
		if err = errors.Join(err, j.flush(), j.close()); err != nil {
			t.Fatal(err)
		}
		name := logFile(t, dir)
		whole, _ := os.ReadFile(name)
		whole[bytes.Index(whole, []byte("in-the-damage"))] ^= 1
		if err := os.WriteFile(name, whole, 0o600); err != nil {
			t.Fatal(err)
		}
		l, o := newTestLoop(t, dir, 1e6)
		start(t, l)
		if c.owed == "" {
			if f := receive(t, o.calls).Attempts[0]; f.Message.ID != "a" {
				t.Errorf("%s: %s was sent", c.name, f.Message.ID)
			}
			continue
		}
		for n := receive(t, o.notices); n.ID != "a"; n = receive(t, o.notices) {
		}
		list, _ := ReadPending(dir, discardLog)
		for _, p := range list {
			if p.ID == "a" && p.Owed != c.owed {
				t.Errorf("%s: owed %s", c.name, p.Owed)
			}
		}
		for len(o.calls) > 0 {
			if f := (<-o.calls).Attempts[0]; f.Message.ID == "a" {
				t.Errorf("%s: sent again", c.name)
			}
		}
	}
}
