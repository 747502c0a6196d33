package deadletter

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cleathold/control"
	"cleathold/internal/redelivery"
	"cleathold/internal/settings"
	"cleathold/internal/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordedEvents records the events that the queue posts to the event loop.
type recordedEvents struct {
	redeliveries chan state.Redelivery
	stored       chan state.DeadLettersStored
}

func (r *recordedEvents) Post(event state.Event) {
	switch e := event.(type) {
	case state.Redelivery:
		r.redeliveries <- e
	case state.DeadLettersStored:
		r.stored <- e
	}
}

func receive[T any](t *testing.T, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing received within 20 seconds")
		panic("unreachable")
	}
}

func parseSettings(t testing.TB, dir, rules string) *settings.Settings {
	t.Helper()
	s, err := settings.Parse(filepath.Join(dir, "s.star"),
		[]byte("held(folder = \"held\", queue = 8)\nresend(share = 1.0)\n"+rules))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// start runs a queue with its store in a folder until the test ends or stop is called. The function change may modify
// the queue before Run starts.
func start(t *testing.T, dir, rules string, change func(*Queue)) (q *Queue, events *recordedEvents, stop func()) {
	t.Helper()
	platform := control.Settings{FleetSize: 1, ColdCapacity: 0.5, WarmUp: 100 * time.Millisecond,
		OverloadWindow: 50 * time.Millisecond, OverloadFactor: 2}
	names := Names{Classes: []string{"safe", "keyed", "unsafe"}, Tenants: []string{"t0", "t1"}}
	for _, name := range names.Classes {
		c := classRules.Classes[name]
		c.LatencyObjective, c.Deadline = time.Second, 10*time.Second
		platform.Classes = append(platform.Classes, c)
	}
	q = NewQueue(Config{Settings: parseSettings(t, dir, rules), Platform: platform, Names: names, Log: quiet})
	events = &recordedEvents{make(chan state.Redelivery, 1024), make(chan state.DeadLettersStored, 1024)}
	q.Connect(events)
	if change != nil {
		change(q)
	}
	q.LoadChanged(state.LoopLoad{MaxInFlight: 64, MaxOpenMessages: 1000})
	q.CapacityChanged(map[int]state.DestinationCapacity{1: {Weight: 1000, Ready: 1}, 2: {Weight: 1000, Ready: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); q.Run(ctx) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return q, events, stop
}

// addDeadLetter adds a dead letter to a queue, waits until it is stored and acknowledges its delivery report.
func addDeadLetter(t *testing.T, q *Queue, events *recordedEvents, id string, class, dest, tenant int,
	attempts ...state.AttemptRecord) {
	t.Helper()
	q.Add(state.DeadLetter{Number: 1, Message: &state.Message{ID: id, Key: "key-" + id, Class: class, Tenant: tenant,
		Destination: dest, Deadline: time.Now(), Body: []byte("body")}, Attempts: attempts, At: time.Now(),
		Reason: state.ReasonExpired})
	receive(t, events.stored)
	q.Forget([]string{id})
}

func (q *Queue) record(t *testing.T, seq uint64) (r Record) {
	t.Helper()
	if err := q.View(func(tx *Tx) (err error) { r, err = tx.Get(seq); return }); err != nil {
		t.Fatal(err)
	}
	return r
}

// awaitState waits until a record is in a state.
func (q *Queue) awaitState(t *testing.T, seq uint64, state State) Record {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		var r Record
		q.View(func(tx *Tx) (err error) { r, err = tx.Get(seq); return }) // the record may not exist yet
		if r.State == state {
			return r
		}
	}
	t.Fatalf("record did not reach state %s: %+v", state, q.record(t, seq))
	return Record{}
}

// finishRedelivery reports the result of a redelivery to a queue.
func finishRedelivery(q *Queue, e state.Redelivery, delivered bool, attempts ...state.AttemptRecord) {
	q.CallEnded(e.Message.Destination, map[bool]control.Result{true: control.Served, false: control.Rejected}[delivered],
		0, true)
	q.Add(state.DeadLetter{Number: 1, Seq: e.Seq, Message: e.Message, Delivered: delivered, AttemptCount: e.Attempts + 1,
		Attempts: attempts, At: time.Now(), Reason: state.ReasonExpired})
}

var ctx = context.Background()

func selectOne(seq uint64) Selection { return Selection{Sequences: []uint64{seq}} }

// TestRedeliveryRoundTrip follows records from their order to the end of the redelivery, and checks their history and
// the audit trail. A record that is not idempotent and may have run must not be redelivered again.
func TestRedeliveryRoundTrip(t *testing.T) {
	q, events, _ := start(t, t.TempDir(), "", nil)
	q.Begin(nil, nil)
	addDeadLetter(t, q, events, "a", 2, 1, 0, state.AttemptRecord{Target: "s", At: time.Now(), Result: control.Rejected})
	if o, err := q.Redeliver(ctx, "uid 1", selectOne(1), time.Minute, false); err != nil || o.Done != 1 {
		t.Fatal(o, err)
	}
	e := receive(t, events.redeliveries)
	if e.Message.ID != "a" || string(e.Message.Body) != "body" || e.Message.Key != "key-a" || e.MayHaveRun ||
		q.record(t, 1).State != InFlight {
		t.Errorf("%+v, %+v", e, q.record(t, 1))
	}
	if left := time.Until(e.Message.Deadline); left > 9*time.Second { // class deadline less latency objective
		t.Errorf("%v left until the deadline: new messages would not have priority", left)
	}
	if o, _ := q.Drop(ctx, "uid 1", selectOne(1), false); o.Done != 0 || o.Rejected[0].Reason != "it is being sent" {
		t.Errorf("drop of a record in redelivery: %+v", o)
	}
	finishRedelivery(q, e, false, state.AttemptRecord{Target: "s", At: time.Now(), Result: control.ConnectionLost})
	receive(t, events.stored)
	r := q.awaitState(t, 1, Held) // not idempotent and may have run: never redelivered again
	if _, _, ran := r.FirstRun(); !ran || r.Redeliveries != 1 || len(r.Attempts) != 2 || r.Attempts[1].Redelivery != 1 {
		t.Errorf("%+v", r)
	}
	if o, _ := q.Redeliver(ctx, "uid 1", selectOne(1), time.Minute, false); o.Done != 0 ||
		!strings.Contains(o.Rejected[0].Reason, "must never take effect twice") {
		t.Errorf("%+v", o)
	}
	addDeadLetter(t, q, events, "b", 0, 1, 0)
	q.Redeliver(ctx, "uid 1", selectOne(2), time.Minute, false)
	e = receive(t, events.redeliveries)
	finishRedelivery(q, e, false)
	e = receive(t, events.redeliveries) // its order has not expired
	finishRedelivery(q, e, true)
	finishRedelivery(q, e, true) // the write-ahead log may report it twice
	if r := q.awaitState(t, 2, Delivered); r.Redeliveries != 2 {
		t.Errorf("%+v", r)
	}
	var auditEntries []AuditEntry
	q.View(func(tx *Tx) (err error) { auditEntries, err = tx.Audit(10); return })
	if len(auditEntries) != 4 || auditEntries[3].Command != "resend" || auditEntries[3].Caller != "uid 1" ||
		auditEntries[3].Done != 1 || auditEntries[2].Rejected != 1 {
		t.Errorf("audit %+v", auditEntries)
	}
}

// TestConcurrentCommands checks that only one of several concurrent commands orders a record, and that an ordered
// record that is dropped before its redelivery is not sent.
func TestConcurrentCommands(t *testing.T) {
	q, events, _ := start(t, t.TempDir(), "", func(q *Queue) {
		q.planner.CallEnded(0, 1, 1, time.Hour, false) // Retry-After of an hour
	})
	q.Begin(nil, nil)
	addDeadLetter(t, q, events, "a", 0, 1, 0)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done, dropped := 0, 0
	for range 8 {
		wg.Go(func() {
			o, err := q.Redeliver(ctx, "uid 1", selectOne(1), time.Minute, false)
			mu.Lock()
			defer mu.Unlock()
			if done += o.Done; err != nil || o.Done == 0 && o.Rejected[0].Reason != "it is ordered already" {
				t.Errorf("%+v %v", o, err)
			}
		})
	}
	wg.Wait()
	for range 8 {
		wg.Go(func() {
			o, _ := q.Drop(ctx, "uid 2", selectOne(1), false)
			mu.Lock()
			defer mu.Unlock()
			dropped += o.Done
		})
	}
	wg.Wait()
	if done != 1 || dropped != 1 || q.record(t, 1).State != Dropped || len(events.redeliveries) > 0 {
		t.Errorf("ordered %d, dropped %d, %+v", done, dropped, q.record(t, 1))
	}
}

// TestNotRedeliveredBeforeReported checks that a record is not redelivered before its delivery report is acknowledged.
func TestNotRedeliveredBeforeReported(t *testing.T) {
	q, events, _ := start(t, t.TempDir(), "", nil)
	q.Begin(nil, nil)
	q.Add(state.DeadLetter{Number: 1, Message: &state.Message{ID: "a", Destination: 1, Body: []byte("x")}, At: time.Now()})
	receive(t, events.stored)
	addDeadLetter(t, q, events, "b", 0, 1, 0)
	for seq := range uint64(2) {
		q.Redeliver(ctx, "uid 1", selectOne(seq+1), time.Minute, false)
	}
	if e := receive(t, events.redeliveries); e.Message.ID != "b" || q.record(t, 1).State != Ordered {
		t.Errorf("%+v", e)
	}
	finishRedelivery(q, state.Redelivery{Seq: 2, Message: &state.Message{ID: "b", Destination: 1}}, true)
	q.Forget([]string{"a"})
	if e := receive(t, events.redeliveries); e.Message.ID != "a" {
		t.Errorf("%+v", e)
	}
}

// TestRestartDuringRedelivery checks that a record whose redelivery was in flight when the sender stopped counts as
// sent after the restart, unless the write-ahead log contains the redelivery.
func TestRestartDuringRedelivery(t *testing.T) {
	dir := t.TempDir()
	q, events, stop := start(t, dir, "", nil)
	q.Begin(nil, nil)
	for i, class := range []int{0, 1, 2, 2} {
		addDeadLetter(t, q, events, fmt.Sprint("a", i), class, i+1, 0)
		q.Redeliver(ctx, "uid 1", selectOne(uint64(i+1)), time.Minute, false)
		receive(t, events.redeliveries)
	}
	stop()
	q, events, _ = start(t, dir, "", nil)
	q.Begin(nil, []uint64{4})
	if e := receive(t, events.redeliveries); e.Seq != 1 { // safe
		t.Errorf("%+v", e)
	}
	if e := receive(t, events.redeliveries); e.Seq != 2 || !e.MayHaveRun { // keyed, within the key retention
		t.Errorf("%+v", e)
	}
	if r := q.awaitState(t, 3, Held); classRules.Eligible(&r, time.Now(), true) == nil {
		t.Errorf("%+v", r)
	}
	if r := q.record(t, 4); r.State != InFlight { // the write-ahead log contains its redelivery
		t.Errorf("%+v", r)
	}
}

// TestClockSetBack checks the eligibility of records after the wall clock was set back while the sender was down. The
// age of earlier attempts is then unknown, so the partner may have forgotten their keys.
func TestClockSetBack(t *testing.T) {
	dir := t.TempDir()
	q, events, stop := start(t, dir, "", func(q *Queue) { q.clock.base = q.clock.base.Add(time.Hour) })
	q.Begin(nil, nil)
	ran := state.AttemptRecord{At: time.Now(), Open: true}
	addDeadLetter(t, q, events, "a", 1, 1, 0, ran)
	addDeadLetter(t, q, events, "b", 0, 1, 0, ran)
	stop()
	q, events, _ = start(t, dir, "", func(q *Queue) { // the store is opened a second after the start
		q.clock.base, q.clock.start = q.clock.base.Add(-time.Second), q.clock.start.Add(-time.Second)
	})
	q.Begin(nil, nil)
	addDeadLetter(t, q, events, "c", 1, 1, 0, state.AttemptRecord{At: time.Now(), Open: true})
	for seq, want := range map[uint64]string{1: "the clock went back", 2: "", 3: ""} {
		o, err := q.Redeliver(ctx, "uid 1", selectOne(seq), time.Minute, true)
		if err != nil || (want == "") != (o.Done == 1) || want != "" && !strings.Contains(o.Rejected[0].Reason, want) {
			t.Errorf("record %d: %+v %v", seq, o, err)
		}
	}
}

// TestRuleAfter checks that records are kept if the rule "after" fails, and are reviewed again after a reload of the
// rules, also if it happens during a redelivery.
func TestRuleAfter(t *testing.T) {
	dir := t.TempDir()
	const endlessRule = "def after(record, partner):\n  for i in range(10000):\n    for j in range(10000):\n      pass\n"
	q, events, _ := start(t, dir, endlessRule, nil)
	q.Begin(nil, nil)
	addDeadLetter(t, q, events, "a", 0, 1, 0)
	addDeadLetter(t, q, events, "b", 0, 1, 1)
	q.Redeliver(ctx, "uid 1", selectOne(2), time.Minute, false)
	e := receive(t, events.redeliveries)
	if r := q.record(t, 1); r.State != Held {
		t.Errorf("%+v", r)
	}
	q.UpdateSettings(parseSettings(t, dir,
		"def after(record, partner):\n  return drop() if record.tenant == \"t0\" else again()\n"))
	q.awaitState(t, 1, Dropped)
	if r := q.record(t, 2); r.State != InFlight {
		t.Errorf("record in redelivery: %+v", r)
	}
	finishRedelivery(q, e, false)
	finishRedelivery(q, receive(t, events.redeliveries), true)
	q.awaitState(t, 2, Delivered)
	q.UpdateSettings(parseSettings(t, dir,
		"def after(record, partner):\n  return keep(0.05) if record.age < 0.2 else drop()\n"))
	addDeadLetter(t, q, events, "c", 0, 1, 0)
	q.awaitState(t, 3, Dropped)
}

// TestClaimKey checks that a client that submits the key of a held record again supersedes the record, and that the
// claim is rejected while a record with the key is being redelivered.
func TestClaimKey(t *testing.T) {
	dir := t.TempDir()
	q, events, stop := start(t, dir, "", nil)
	q.Begin(nil, nil)
	deadline := func() time.Time { return time.Now().Add(10 * time.Second) }
	addDeadLetter(t, q, events, "a", 1, 1, 0)
	addDeadLetter(t, q, events, "b", 1, 1, 0)
	addDeadLetter(t, q, events, "c", 1, 1, 0)
	if !q.ClaimKey(1, "key-z", deadline()) || !q.ClaimKey(1, "key-a", deadline()) {
		t.Error("claim of an unused key or of a held record rejected")
	}
	if r := q.record(t, 1); r.State != Superseded {
		t.Errorf("%+v", r)
	}
	q.Redeliver(ctx, "uid 1", selectOne(2), time.Minute, false)
	e := receive(t, events.redeliveries)
	if q.ClaimKey(1, "key-b", deadline()) {
		t.Error("claim accepted during the redelivery")
	}
	finishRedelivery(q, e, true)
	q.awaitState(t, 2, Delivered)
	if !q.ClaimKey(1, "key-b", deadline()) {
		t.Error("claim rejected after the record has ended")
	}
	stop()
	q, _, _ = start(t, dir, "", func(q *Queue) { // before the store is open
		if !q.ClaimKey(1, "key-c", deadline()) {
			t.Error("claim rejected while the store is not open")
		}
	})
	q.Begin(nil, nil)
	for q.View(func(*Tx) error { return nil }) != nil {
		time.Sleep(time.Millisecond)
	}
	q.awaitState(t, 3, Superseded)
}

// TestStoreFailure checks that the queue accepts no dead letters while the store cannot be opened, and stores those
// that it has already accepted once the store is available. It also checks that a store that is damaged while in use is
// recovered without a restart.
func TestStoreFailure(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "held")
	if err := os.WriteFile(folder, nil, 0o600); err != nil { // prevents the creation of the folder
		t.Fatal(err)
	}
	q, events, _ := start(t, dir, "", nil)
	m := &state.Message{ID: "a", Destination: 1, Body: []byte("body")}
	q.Begin(nil, nil)
	q.Add(state.DeadLetter{Number: 1, Message: m, At: time.Now()})
	accepted := func() bool { return q.Accepts(&state.DeadLetter{Message: m, At: time.Now()}) }
	for limit := time.Now().Add(20 * time.Second); accepted(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("messages are still accepted as dead letters")
		}
	}
	if _, err := q.Redeliver(ctx, "uid 1", selectOne(1), 0, false); err != ErrNoStore {
		t.Errorf("order while the store is not open: %v, want ErrNoStore", err)
	}
	os.Remove(folder)
	receive(t, events.stored)
	q.Forget([]string{"a"})
	for i := range 20 {
		addDeadLetter(t, q, events, fmt.Sprint("b", i), 0, 1, 0)
	}
	// Overwrite the header of each page after the meta pages while the store is open.
	path := filepath.Join(folder, fileName)
	info, _ := os.Stat(path)
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	const metaPagesSize = 8192
	whole, _ := os.ReadFile(path)
	for at := metaPagesSize; at < len(whole); at += 4096 { // the content of the pages is kept
		f.WriteAt(bytes.Repeat([]byte{0xff}, 16), int64(at))
	}
	f.Close()
	q.Add(state.DeadLetter{Number: 1, Message: &state.Message{ID: "c", Destination: 1, Body: []byte("body")},
		At: time.Now()})
	receive(t, events.stored)
	var stats Stats
	q.View(func(tx *Tx) (err error) { stats, err = tx.Stats(); return })
	damagedFiles, _ := filepath.Glob(path + damagedSuffix + "*")
	if stats.Records != 22 || len(damagedFiles) != 1 {
		t.Errorf("%d of 22 records, damaged files %v; the file had %d bytes", stats.Records, damagedFiles, info.Size())
	}
}

// TestDestinationsAndTenantsTakeTurns checks that many ordered records of one destination or one tenant do not delay
// those of others.
func TestDestinationsAndTenantsTakeTurns(t *testing.T) {
	q, events, _ := start(t, t.TempDir(), "", func(q *Queue) {
		q.planner.CallEnded(0, 1, 1, time.Second, false)
		q.planner.CallEnded(0, 2, 1, time.Second, false)
	})
	q.Begin(nil, nil)
	for i := range 60 {
		addDeadLetter(t, q, events, fmt.Sprint("a", i), 0, 1, 0)
	}
	addDeadLetter(t, q, events, "other-tenant", 0, 1, 1)
	addDeadLetter(t, q, events, "other-destination", 0, 2, 0)
	if o, err := q.Redeliver(ctx, "uid 1", Selection{Limit: MaxPageSize}, time.Minute, false); err != nil || o.Done != 62 {
		t.Fatal(o, err)
	}
	positions := map[string]int{}
	for i := range 62 {
		e := receive(t, events.redeliveries)
		positions[e.Message.ID] = i
		finishRedelivery(q, e, true)
	}
	if positions["other-tenant"] > 12 || positions["other-destination"] > 12 {
		t.Errorf("other tenant redelivered at position %d, other destination at position %d",
			positions["other-tenant"], positions["other-destination"])
	}
}

// TestPartnerResult checks the conversion of call results. A partner that rejects a connection because it is at its
// connection limit is up, so this counts as a rejection and not as a failure.
func TestPartnerResult(t *testing.T) {
	for r, want := range map[control.Result]redelivery.Result{
		control.Served: redelivery.Served, control.Rejected: redelivery.Rejected,
		control.ConnectionRejected: redelivery.Rejected, control.RejectedUnexplained: redelivery.Rejected,
		control.ConnectFailed: redelivery.Failed, control.NotSent: redelivery.NotSent,
	} {
		if got := partnerResult(r); got != want {
			t.Errorf("result %v converted to %v, want %v", r, got, want)
		}
	}
}
