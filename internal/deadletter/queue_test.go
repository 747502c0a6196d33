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

// recordedEvents are what the keeper tells the loop.
type recordedEvents struct {
	resends chan state.Redelivery
	stored  chan state.DeadLettersStored
}

func (p *recordedEvents) Post(event state.Event) {
	switch e := event.(type) {
	case state.Redelivery:
		p.resends <- e
	case state.DeadLettersStored:
		p.stored <- e
	}
}

func get[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func parse(t testing.TB, dir, rules string) *settings.Settings {
	t.Helper()
	s, err := settings.Parse(filepath.Join(dir, "s.star"),
		[]byte("held(folder = \"held\", queue = 8)\nresend(share = 1.0)\n"+rules))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// start runs a keeper over a folder until the test ends, or stop is called.
func start(t *testing.T, dir, rules string, change func(*Queue)) (k *Queue, p *recordedEvents, stop func()) {
	t.Helper()
	platform := control.Settings{FleetSize: 1, ColdCapacity: 0.5, WarmUp: 100 * time.Millisecond,
		OverloadWindow: 50 * time.Millisecond, OverloadFactor: 2}
	names := Names{Classes: []string{"safe", "keyed", "unsafe"}, Tenants: []string{"t0", "t1"}}
	for _, name := range names.Classes {
		c := terms.Classes[name]
		c.LatencyObjective, c.Deadline = time.Second, 10*time.Second
		platform.Classes = append(platform.Classes, c)
	}
	k = NewQueue(Config{Settings: parse(t, dir, rules), Platform: platform, Names: names, Log: quiet})
	p = &recordedEvents{make(chan state.Redelivery, 1024), make(chan state.DeadLettersStored, 1024)}
	k.Connect(p)
	if change != nil {
		change(k)
	}
	k.LoadChanged(state.LoopLoad{MaxInFlight: 64, MaxOpenMessages: 1000})
	k.CapacityChanged(map[int]state.DestinationCapacity{1: {Weight: 1000, Ready: 1}, 2: {Weight: 1000, Ready: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return k, p, stop
}

// addDeadLetter gives a keeper a message and waits until it has it.
func addDeadLetter(t *testing.T, k *Queue, p *recordedEvents, id string, class, dest, tenant int,
	tries ...state.AttemptRecord) {
	t.Helper()
	k.Add(state.DeadLetter{Number: 1, Message: &state.Message{ID: id, Key: "key-" + id, Class: class, Tenant: tenant,
		Destination: dest, Deadline: time.Now(), Body: []byte("body")}, Attempts: tries, At: time.Now(),
		Reason: state.ReasonExpired})
	get(t, p.stored)
	k.Forget([]string{id})
}

func (q *Queue) record(t *testing.T, seq uint64) (r Record) {
	t.Helper()
	if err := q.View(func(tx *Tx) (err error) { r, err = tx.Get(seq); return }); err != nil {
		t.Fatal(err)
	}
	return r
}

// awaitState waits for a record to come to a state.
func (q *Queue) awaitState(t *testing.T, seq uint64, s State) Record {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		var r Record
		q.View(func(tx *Tx) (err error) { r, err = tx.Get(seq); return }) // it may not have come yet
		if r.State == s {
			return r
		}
	}
	t.Fatalf("never %s: %+v", s, q.record(t, seq))
	return Record{}
}

// finishRedelivery gives the keeper what came of a resend.
func finishRedelivery(k *Queue, e state.Redelivery, delivered bool, tries ...state.AttemptRecord) {
	k.CallEnded(e.Message.Destination, map[bool]control.Result{true: control.Served, false: control.Rejected}[delivered],
		0, true)
	k.Add(state.DeadLetter{Number: 1, Seq: e.Seq, Message: e.Message, Delivered: delivered, AttemptCount: e.Attempts + 1,
		Attempts: tries, At: time.Now(), Reason: state.ReasonExpired})
}

var ctx = context.Background()

func selectOne(seq uint64) Selection { return Selection{Sequences: []uint64{seq}} }

func TestRedeliveryRoundTrip(t *testing.T) {
	k, p, _ := start(t, t.TempDir(), "", nil)
	k.Begin(nil, nil)
	addDeadLetter(t, k, p, "a", 2, 1, 0, state.AttemptRecord{Target: "s", At: time.Now(), Result: control.Rejected})
	if o, err := k.Redeliver(ctx, "uid 1", selectOne(1), time.Minute, false); err != nil || o.Done != 1 {
		t.Fatal(o, err)
	}
	e := get(t, p.resends)
	if e.Message.ID != "a" || string(e.Message.Body) != "body" || e.Message.Key != "key-a" || e.MayHaveRun ||
		k.record(t, 1).State != Out {
		t.Errorf("%+v, %+v", e, k.record(t, 1))
	}
	if left := time.Until(e.Message.Deadline); left > 9*time.Second { // deadline less aim: among the deferred
		t.Errorf("%v left: live messages would not go first", left)
	}
	if o, _ := k.Drop(ctx, "uid 1", selectOne(1), false); o.Done != 0 || o.Rejected[0].Reason != "it is being sent" {
		t.Errorf("drop of one that is out: %+v", o)
	}
	finishRedelivery(k, e, false, state.AttemptRecord{Target: "s", At: time.Now(), Result: control.ConnectionLost})
	get(t, p.stored)
	r := k.awaitState(t, 1, Held) // unsafe, and it may have run: never again
	if _, _, ran := r.FirstRun(); !ran || r.Redeliveries != 1 || len(r.Attempts) != 2 || r.Attempts[1].Redelivery != 1 {
		t.Errorf("%+v", r)
	}
	if o, _ := k.Redeliver(ctx, "uid 1", selectOne(1), time.Minute, false); o.Done != 0 ||
		!strings.Contains(o.Rejected[0].Reason, "must never take effect twice") {
		t.Errorf("%+v", o)
	}
	addDeadLetter(t, k, p, "b", 0, 1, 0)
	k.Redeliver(ctx, "uid 1", selectOne(2), time.Minute, false)
	e = get(t, p.resends)
	finishRedelivery(k, e, false)
	e = get(t, p.resends) // its order still stands
	finishRedelivery(k, e, true)
	finishRedelivery(k, e, true) // the journal brings it twice
	if r := k.awaitState(t, 2, Delivered); r.Redeliveries != 2 {
		t.Errorf("%+v", r)
	}
	var acts []AuditEntry
	k.View(func(tx *Tx) (err error) { acts, err = tx.Audit(10); return })
	if len(acts) != 4 || acts[3].Verb != "resend" || acts[3].By != "uid 1" || acts[3].Done != 1 || acts[2].Rejected != 1 {
		t.Errorf("audit %+v", acts)
	}
}

// Two operators at the same time: one order. An order that is dropped in time is not sent.
func TestRaces(t *testing.T) {
	k, p, _ := start(t, t.TempDir(), "", func(k *Queue) { k.planner.CallEnded(0, 1, 1, time.Hour, false) }) // told to wait
	k.Begin(nil, nil)
	addDeadLetter(t, k, p, "a", 0, 1, 0)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done, dropped := 0, 0
	for range 8 {
		wg.Go(func() {
			o, err := k.Redeliver(ctx, "uid 1", selectOne(1), time.Minute, false)
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
			o, _ := k.Drop(ctx, "uid 2", selectOne(1), false)
			mu.Lock()
			defer mu.Unlock()
			dropped += o.Done
		})
	}
	wg.Wait()
	if done != 1 || dropped != 1 || k.record(t, 1).State != Dropped || len(p.resends) > 0 {
		t.Errorf("ordered %d, dropped %d, %+v", done, dropped, k.record(t, 1))
	}
}

// Nothing is redelivered before its delivery report was acknowledged.
func TestNotRedeliveredBeforeReported(t *testing.T) {
	k, p, _ := start(t, t.TempDir(), "", nil)
	k.Begin(nil, nil)
	k.Add(state.DeadLetter{Number: 1, Message: &state.Message{ID: "a", Destination: 1, Body: []byte("x")}, At: time.Now()})
	get(t, p.stored)
	addDeadLetter(t, k, p, "b", 0, 1, 0)
	for seq := range uint64(2) {
		k.Redeliver(ctx, "uid 1", selectOne(seq+1), time.Minute, false)
	}
	if e := get(t, p.resends); e.Message.ID != "b" || k.record(t, 1).State != Ordered {
		t.Errorf("%+v", e)
	}
	finishRedelivery(k, state.Redelivery{Seq: 2, Message: &state.Message{ID: "b", Destination: 1}}, true)
	k.Forget([]string{"a"})
	if e := get(t, p.resends); e.Message.ID != "a" {
		t.Errorf("%+v", e)
	}
}

// After a start a redelivery that the write-ahead log does not have in flight counts as sent.
func TestKilledDuringRedelivery(t *testing.T) {
	dir := t.TempDir()
	k, p, stop := start(t, dir, "", nil)
	k.Begin(nil, nil)
	for i, class := range []int{0, 1, 2, 2} {
		addDeadLetter(t, k, p, fmt.Sprint("a", i), class, i+1, 0)
		k.Redeliver(ctx, "uid 1", selectOne(uint64(i+1)), time.Minute, false)
		get(t, p.resends)
	}
	stop()
	k, p, _ = start(t, dir, "", nil)
	k.Begin(nil, []uint64{4})
	if e := get(t, p.resends); e.Seq != 1 { // safe
		t.Errorf("%+v", e)
	}
	if e := get(t, p.resends); e.Seq != 2 || !e.MayHaveRun { // keyed, within its memory
		t.Errorf("%+v", e)
	}
	if r := k.awaitState(t, 3, Held); terms.Eligible(&r, time.Now(), true) == nil {
		t.Errorf("%+v", r)
	}
	if r := k.record(t, 4); r.State != Out { // the write-ahead log has it
		t.Errorf("%+v", r)
	}
}

// A clock that went back while the sender was down: no memory span can be judged.
func TestClockWentBack(t *testing.T) {
	dir := t.TempDir()
	k, p, stop := start(t, dir, "", func(k *Queue) { k.clock.base = k.clock.base.Add(time.Hour) })
	k.Begin(nil, nil)
	ran := state.AttemptRecord{At: time.Now(), Open: true}
	addDeadLetter(t, k, p, "a", 1, 1, 0, ran)
	addDeadLetter(t, k, p, "b", 0, 1, 0, ran)
	stop()
	k, p, _ = start(t, dir, "", func(k *Queue) { // a second goes by until its store is open
		k.clock.base, k.clock.start = k.clock.base.Add(-time.Second), k.clock.start.Add(-time.Second)
	})
	k.Begin(nil, nil)
	addDeadLetter(t, k, p, "c", 1, 1, 0, state.AttemptRecord{At: time.Now(), Open: true})
	for seq, want := range map[uint64]string{1: "the clock went back", 2: "", 3: ""} {
		o, err := k.Redeliver(ctx, "uid 1", selectOne(seq), time.Minute, true)
		if err != nil || (want == "") != (o.Done == 1) || want != "" && !strings.Contains(o.Rejected[0].Reason, want) {
			t.Errorf("number %d: %+v %v", seq, o, err)
		}
	}
}

// Rules: kept where they fail, asked again after a reload, in the middle of a resend too.
func TestRulesApplied(t *testing.T) {
	dir := t.TempDir()
	const endless = "def after(record, partner):\n  for i in range(10000):\n    for j in range(10000):\n      pass\n"
	k, p, _ := start(t, dir, endless, nil)
	k.Begin(nil, nil)
	addDeadLetter(t, k, p, "a", 0, 1, 0)
	addDeadLetter(t, k, p, "b", 0, 1, 1)
	k.Redeliver(ctx, "uid 1", selectOne(2), time.Minute, false)
	e := get(t, p.resends)
	if r := k.record(t, 1); r.State != Held {
		t.Errorf("%+v", r)
	}
	k.UpdateSettings(parse(t, dir, "def after(record, partner):\n  return drop() if record.tenant == \"t0\" else again()\n"))
	k.awaitState(t, 1, Dropped)
	if r := k.record(t, 2); r.State != Out {
		t.Errorf("the one that is out: %+v", r)
	}
	finishRedelivery(k, e, false)
	finishRedelivery(k, get(t, p.resends), true)
	k.awaitState(t, 2, Delivered)
	k.UpdateSettings(parse(t, dir, "def after(record, partner):\n  return keep(0.05) if record.age < 0.2 else drop()\n"))
	addDeadLetter(t, k, p, "c", 0, 1, 0)
	k.awaitState(t, 3, Dropped)
}

// A client that hands a key in anew has its message back; one whose record is on
// its way is told to come again.
func TestClaims(t *testing.T) {
	dir := t.TempDir()
	k, p, stop := start(t, dir, "", nil)
	k.Begin(nil, nil)
	by := func() time.Time { return time.Now().Add(10 * time.Second) }
	addDeadLetter(t, k, p, "a", 1, 1, 0)
	addDeadLetter(t, k, p, "b", 1, 1, 0)
	addDeadLetter(t, k, p, "c", 1, 1, 0)
	if !k.ClaimKey(1, "key-z", by()) || !k.ClaimKey(1, "key-a", by()) {
		t.Error("not free")
	}
	if r := k.record(t, 1); r.State != Superseded {
		t.Errorf("%+v", r)
	}
	k.Redeliver(ctx, "uid 1", selectOne(2), time.Minute, false)
	e := get(t, p.resends)
	if k.ClaimKey(1, "key-b", by()) {
		t.Error("free while it is out")
	}
	finishRedelivery(k, e, true)
	k.awaitState(t, 2, Delivered)
	if !k.ClaimKey(1, "key-b", by()) {
		t.Error("not free after its end")
	}
	stop()
	k, _, _ = start(t, dir, "", func(k *Queue) { // before the store is open
		if !k.ClaimKey(1, "key-c", by()) {
			t.Error("a client waits for a store that is not open")
		}
	})
	k.Begin(nil, nil)
	for k.View(func(*Tx) error { return nil }) != nil {
		time.Sleep(time.Millisecond)
	}
	k.awaitState(t, 3, Superseded)
}

// A store that can't be had, or is broken at work, holds nothing up: the keeper
// wants no more, takes what it was promised once it can, and goes on.
func TestStoreFails(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "held")
	if err := os.WriteFile(folder, nil, 0o600); err != nil { // no folder can be there
		t.Fatal(err)
	}
	k, p, _ := start(t, dir, "", nil)
	m := &state.Message{ID: "a", Destination: 1, Body: []byte("body")}
	k.Begin(nil, nil)
	k.Add(state.DeadLetter{Number: 1, Message: m, At: time.Now()})
	accepted := func() bool { return k.Accepts(&state.DeadLetter{Message: m, At: time.Now()}) }
	for limit := time.Now().Add(20 * time.Second); accepted(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("it goes on holding")
		}
	}
	if _, err := k.Redeliver(ctx, "uid 1", selectOne(1), 0, false); err != ErrNoStore {
		t.Errorf("an order without a store: %v", err)
	}
	os.Remove(folder)
	get(t, p.stored)
	k.Forget([]string{"a"})
	for i := range 20 {
		addDeadLetter(t, k, p, fmt.Sprint("b", i), 0, 1, 0)
	}
	// All behind the metas is overwritten while the store is open.
	path := filepath.Join(folder, fileName)
	info, _ := os.Stat(path)
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	const metas = 8192
	whole, _ := os.ReadFile(path)
	for at := metas; at < len(whole); at += 4096 { // pages' heads go, what stands in them stays
		f.WriteAt(bytes.Repeat([]byte{0xff}, 16), int64(at))
	}
	f.Close()
	k.Add(state.DeadLetter{Number: 1, Message: &state.Message{ID: "c", Destination: 1, Body: []byte("body")},
		At: time.Now()})
	get(t, p.stored)
	var n Stats
	k.View(func(tx *Tx) (err error) { n, err = tx.Stats(); return })
	aside, _ := filepath.Glob(path + damagedSuffix + "*")
	if n.Records != 22 || len(aside) != 1 {
		t.Errorf("%d records of 22, set aside %v; the file had %d bytes", n.Records, aside, info.Size())
	}
}

// Hundreds held for one destination, or of one tenant, keep nobody else's back.
func TestDestinationsInTurn(t *testing.T) {
	k, p, _ := start(t, t.TempDir(), "", func(k *Queue) {
		k.planner.CallEnded(0, 1, 1, time.Second, false)
		k.planner.CallEnded(0, 2, 1, time.Second, false)
	})
	k.Begin(nil, nil)
	for i := range 60 {
		addDeadLetter(t, k, p, fmt.Sprint("a", i), 0, 1, 0)
	}
	addDeadLetter(t, k, p, "other-tenant", 0, 1, 1)
	addDeadLetter(t, k, p, "other-destination", 0, 2, 0)
	if o, err := k.Redeliver(ctx, "uid 1", Selection{Limit: MaxPageSize}, time.Minute, false); err != nil || o.Done != 62 {
		t.Fatal(o, err)
	}
	at := map[string]int{}
	for i := range 62 {
		e := get(t, p.resends)
		at[e.Message.ID] = i
		finishRedelivery(k, e, true)
	}
	if at["other-tenant"] > 12 || at["other-destination"] > 12 {
		t.Errorf("came as numbers %d and %d", at["other-tenant"], at["other-destination"])
	}
}

// A partner without room for a connection is there: it has turned a call away, and is not out of order.
func TestConnectionRejectedIsNoFailure(t *testing.T) {
	for r, want := range map[control.Result]redelivery.Result{
		control.Served: redelivery.Served, control.Rejected: redelivery.Rejected,
		control.ConnectionRejected: redelivery.Rejected,
		control.ConnectFailed:      redelivery.Failed, control.NotSent: redelivery.NotSent,
	} {
		if got := partnerResult(r); got != want {
			t.Errorf("result %v: told %v, want %v", r, got, want)
		}
	}
}
