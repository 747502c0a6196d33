package state

import (
	"context"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/store"
	"cleathold/internal/wal"
)

// environment is the transport, discovery and reporter of a loop under test.
type environment struct {
	t        *testing.T
	dir      string
	calls    chan *Call
	reports  chan DeliveryReport
	pending  chan []Pending // the messages that the log owes as each call is sent
	withheld chan *Call
}

func (o *environment) Send(c *Call) {
	list, err := ReadPending(o.dir, discardLog)
	if err != nil {
		o.t.Error(err)
	}
	o.pending <- list
	o.calls <- c
}

func (o *environment) Cancel(*Call) {}

func (o *environment) CancelUnsent(c *Call) { o.withheld <- c }

func (o *environment) HealthCheck(Target, time.Time) {}

func (o *environment) Watch(bool, int64) {}

func (o *environment) Fetch() {}

func (o *environment) Report(n DeliveryReport) { o.reports <- n }

// receive returns the next value of a channel, and fails the test after 10 seconds without one.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("timed out waiting for a value")
		panic("unreachable")
	}
}

// newTestLoop returns a loop whose list holds one endpoint of a destination, which accepts batches of three messages.
func newTestLoop(t *testing.T, dir string, disk int64) (*Loop, *environment) {
	t.Helper()
	target := Target{ID: "s", Addr: "nowhere"}
	target.Endpoint = control.Endpoint{Destination: 7, State: control.Ready}
	return newTestLoopWith(t, dir, disk, ListUpdate{Kind: control.ListCached, Version: 1, Targets: []Target{target}})
}

// newTestLoopWithoutList returns a loop without an endpoint list, as after a start while discovery is down.
func newTestLoopWithoutList(t *testing.T, dir string) (*Loop, *environment) {
	t.Helper()
	return newTestLoopWith(t, dir, 1e6, ListUpdate{Kind: control.ListCached, Version: NoVersion})
}

// testClass returns a class with an idempotency.
func testClass(i control.Idempotency) control.Class {
	return control.Class{LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1, Idempotency: i}
}

func newTestLoopWith(t *testing.T, dir string, disk int64, known ListUpdate) (*Loop, *environment) {
	t.Helper()
	classes := []control.Class{
		testClass(control.Idempotent), testClass(control.IdempotentByKey), testClass(control.NotIdempotent),
	}
	classes[1].KeyRetention = 12 * time.Second
	settings := control.Settings{
		FleetSize: 1, Classes: classes, Kinds: []control.Kind{{MaxBatch: 3, SeparateRoutes: true}}, MaxInFlight: 8,
		MaxOpenMessages: 6, MaxAttempts: 12, CanSendRetryAfter: true, MaxRetryAfter: time.Minute, ConnectTimeout: time.Second,
		HeadroomIndex: -1, LimitIndex: -1, AllowHedging: true, CanCancel: true,
		OverloadWindow: 2 * time.Second, WarmUp: 10 * time.Second, ColdCapacity: 0.2, OverloadFactor: 2,
	}
	l, err := NewLoop(Setup{Settings: settings, Dir: dir, MaxDiskBytes: disk, Log: discardLog, InitialList: known})
	if err != nil {
		t.Fatal(err)
	}
	o := &environment{
		t: t, dir: dir, calls: make(chan *Call, 64), reports: make(chan DeliveryReport, 64),
		pending: make(chan []Pending, 64), withheld: make(chan *Call, 64),
	}
	l.Connect(o, o, o)
	return l, o
}

// start runs a loop until the end of the test.
func start(t *testing.T, l *Loop) {
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() { cancel(); <-l.finished })
}

// newMessage returns a message to the endpoint's destination with a deadline after the given time.
func newMessage(id string, class int, within time.Duration) *Message {
	return &Message{ID: id, Class: class, Destination: 7, Deadline: time.Now().Add(within), Body: []byte("body")}
}

// endedWith returns the event that the first attempt of a call ended with a result.
func endedWith(c *Call, r AttemptResult) CallEnded {
	r.Attempt = c.Attempts[0]
	return CallEnded{c, []AttemptResult{r}}
}

// submit posts a message and returns the channel of its response.
func submit(l *Loop, id string, size int) chan Response {
	v := make(chan Response, 1)
	m := newMessage(id, 0, time.Minute)
	m.Body = make([]byte, size)
	l.Post(Submitted{Message: m, Response: v})
	return v
}

// submitAndReceiveCall submits a message, marks its response as written and returns the call that is sent for it.
func (o *environment) submitAndReceiveCall(t *testing.T, l *Loop, id string) *Call {
	t.Helper()
	receive(t, submit(l, id, 10))
	l.Post(ResponseWritten{id, true})
	return receive(t, o.calls)
}

// successorStub receives the results of the attempts that a loop had in flight when it handed over.
type successorStub chan RemoteResult

func (h successorStub) RemoteResult(r RemoteResult, _ bool) {
	if r.Target != "" {
		h <- r
	}
}

// performHandover hands over a loop that has one attempt in flight.
func performHandover(t *testing.T, l *Loop) (HandoverState, successorStub) {
	t.Helper()
	done, successor := make(chan HandoverResult, 1), successorStub(make(chan RemoteResult, 4))
	l.Post(Handover{Successor: successor, Done: done})
	result := receive(t, done)
	if result.Err != nil || len(result.State.InFlight) != 1 {
		t.Fatalf("%+v", result)
	}
	return result.State, successor
}

// discardLog is the logger of loops under test.
var discardLog = slog.New(slog.DiscardHandler)

// openTestLog opens the log in a folder.
func openTestLog(t *testing.T, dir string) (*wal.Log, *table) {
	t.Helper()
	l, table, err := openLog(Setup{Dir: dir, MaxDiskBytes: 1e6, Log: discardLog}, &classRegistry{})
	if err != nil {
		t.Fatal(err)
	}
	return l, table
}

// logAccepted adds the first record of a message to the log.
func logAccepted(l *wal.Log, e *entry) {
	accepted := e.accepted()
	l.AddAccepted(&accepted)
}

// logFile returns the path of the only segment of a small log.
func logFile(t *testing.T, dir string) string {
	t.Helper()
	list, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	if len(list) != 1 {
		t.Fatalf("segments: %v", list)
	}
	return list[0]
}

// fullableDisk is a folder whose files can't be written while full is set.
type fullableDisk struct {
	store.FS
	full atomic.Bool
}

// Create creates a file on the disk.
func (d *fullableDisk) Create(name string) (store.File, error) {
	f, err := d.FS.Create(name)
	return fullableFile{f, d}, err
}

// Open opens a file on the disk.
func (d *fullableDisk) Open(name string) (store.File, error) {
	f, err := d.FS.Open(name)
	return fullableFile{f, d}, err
}

type fullableFile struct {
	store.File
	disk *fullableDisk
}

// WriteAt fails with ENOSPC while the disk is full.
func (f fullableFile) WriteAt(b []byte, at int64) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.WriteAt(b, at)
}
