package store

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv("STORE_HOLD"); dir != "" { // this is the child process of TestLocked
		if _, err := (Dir(dir)).Lock(); err == nil {
			fmt.Println("held")
		}
		io.Copy(io.Discard, os.Stdin)
		return
	}
	goleak.VerifyTestMain(m)
}

const testBudget = 256 << 10

func openStore(t testing.TB, fs FS, d Durability) *Store {
	t.Helper()
	s, err := Open(Options{FS: fs, Budget: testBudget, Segment: 16 << 10, Durability: d, GroupWait: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Under a long workload with a small budget, the store must never exceed the budget, compaction steps must stay short,
// and no record may be lost, also after the store is opened again.
func TestCompaction(t *testing.T) {
	m := newMemoryFS()
	s := openStore(t, m, ProcessExit)
	l := newWorkload(1)
	for i := range 20_000 {
		if err := l.step(s); err != nil {
			t.Fatalf("append %d: %v; %+v", i, err, s.Stats())
		}
	}
	l.checkContent(t, s, "at the end", 0)
	stats := s.Stats()
	if m.peakBytes > testBudget || stats.DiskBytes != m.usedBytes() {
		t.Errorf("peak of %d bytes, budget %d; %d counted, %d in files", m.peakBytes, testBudget, stats.DiskBytes,
			m.usedBytes())
	}
	if stats.Removed < 50 || stats.LargestStep > 64<<10 {
		t.Errorf("%+v", stats)
	}
	t.Logf("%+v, write amplification %.2f", stats, 1+float64(stats.Copied)/float64(stats.Appended))
	s.Close()
	reopened := openStore(t, m, ProcessExit)
	l.checkContent(t, reopened, "after reopening", 0)
	if len(reopened.Damages()) > 0 {
		t.Errorf("damage: %+v", reopened.Damages())
	}
	keys := 0
	reopened.ByKey("k7", func(e Entity) bool { keys++; return e.Key == "k7" })
	dests := 0
	reopened.ByDestination(3, func(e Entity) bool { dests++; return e.Dest == 3 })
	times := int64(0)
	reopened.ByTime(0, func(e Entity) bool {
		if e.Time < times {
			t.Error("ByTime is not in ascending order of time")
		}
		times = e.Time
		return true
	})
	wantKeys, wantDests := 0, 0
	for id := range l.live {
		if id%50 == 7 {
			wantKeys++
		}
		if id%7 == 3 {
			wantDests++
		}
	}
	if keys != wantKeys || dests != wantDests {
		t.Errorf("by key %d, want %d; by destination %d, want %d", keys, wantKeys, dests, wantDests)
	}
}

// After a kill at any byte of a write, also during compaction, all acknowledged records must be present and the store
// must accept appends.
func TestCrashAtRandomWrite(t *testing.T) {
	for seed := range uint64(400) {
		m := newMemoryFS()
		s := openStore(t, m, ProcessExit)
		l := newWorkload(seed)
		for range 300 { // until compaction runs
			if err := l.step(s); err != nil {
				t.Fatal(err)
			}
		}
		for round := range 4 {
			m.crashAfter = l.rng.IntN(60_000)
			var err error
			for err == nil {
				err = l.step(s)
			}
			if !errors.Is(err, errCrashed) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			m.crashAfter = -1
			uncertain := l.lastEntity
			s = openStore(t, m, ProcessExit)
			l.checkContent(t, s, fmt.Sprintf("seed %d, round %d", seed, round), uncertain)
			for _, d := range s.Damages() {
				if !d.Tail {
					t.Errorf("seed %d: damage after a kill: %+v", seed, d)
				}
			}
			if t.Failed() {
				return
			}
			l.endUncertain(t, s, uncertain)
		}
		if m.peakBytes > testBudget {
			t.Fatalf("seed %d: peak of %d bytes, budget %d", seed, m.peakBytes, testBudget)
		}
	}
}

// After a power failure all acknowledged records must be present with durability EachAppend, and all records up to the
// latest sync with GroupSync. With ProcessExit no record is guaranteed, but the log must be readable.
func TestPowerCut(t *testing.T) {
	for seed := range uint64(100) {
		for _, d := range []Durability{EachAppend, GroupSync, ProcessExit} {
			m := newMemoryFS()
			s := openStore(t, m, d)
			l := newWorkload(seed)
			for range 400 {
				if err := l.step(s); err != nil {
					t.Fatal(err)
				}
			}
			if d == GroupSync {
				if err := s.Sync(); err != nil {
					t.Fatal(err)
				}
				s.timer.Stop()
			}
			m.crashAfter = 3000 // with EachAppend, append until a simulated crash
			var err error
			for err == nil && d == EachAppend {
				err = l.step(s)
			}
			uncertain := l.lastEntity
			m.cutPower(rand.New(rand.NewPCG(seed, 2)))
			s = openStore(t, m, d)
			if d != ProcessExit {
				l.checkContent(t, s, fmt.Sprintf("seed %d, durability %d", seed, d), uncertain)
			}
			if t.Failed() {
				return
			}
			s.Close()
		}
	}
}

// If the disk is full, a write is short or a sync fails, the append must return an error and no earlier record may be
// lost. After a failed sync the store must reject all appends.
func TestFaults(t *testing.T) {
	m := newMemoryFS()
	s := openStore(t, m, ProcessExit)
	l := newWorkload(3)
	for range 200 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	m.capacity = m.usedBytes()
	var err error
	for err == nil {
		err = l.step(s)
	}
	uncertain := l.lastEntity
	if !errors.Is(err, errNoSpace) {
		t.Fatalf("disk full: %v", err)
	}
	l.checkContent(t, s, "with the disk full", uncertain)
	m.capacity = 0
	for range 50 {
		m.shortWrite = true
		if err := l.step(s); !errors.Is(err, errIO) {
			t.Fatalf("short write: %v", err)
		}
		l.checkContent(t, s, "after a short write", 0)
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s = openStore(t, m, EachAppend)
	l.checkContent(t, s, "after reopening", 0)
	if len(s.Damages()) > 0 {
		t.Errorf("%+v", s.Damages())
	}
	m.syncErr = errIO
	if err := l.step(s); !errors.Is(err, ErrBroken) {
		t.Fatalf("failed sync: %v", err)
	}
	m.syncErr = nil
	if err := s.Append(Record{Entity: 1 << 40}); !errors.Is(err, ErrBroken) {
		t.Errorf("append after a failed sync: %v", err)
	}
}

// If live records exhaust the budget, appends must return ErrFull, and End records must still be accepted and free
// space.
func TestBudgetExhausted(t *testing.T) {
	m := newMemoryFS()
	s := openStore(t, m, ProcessExit)
	id := uint64(0)
	for s.CanAdmit(1000) {
		id++
		if err := s.Append(Record{Entity: id, Data: make([]byte, 900)}); err != nil {
			t.Fatalf("append failed after CanAdmit: %v, %+v", err, s.Stats())
		}
	}
	var err error
	for err == nil {
		id++
		err = s.Append(Record{Entity: id, Data: make([]byte, 900)})
	}
	if !errors.Is(err, ErrFull) || m.peakBytes > testBudget {
		t.Fatalf("%v, peak of %d bytes", err, m.peakBytes)
	}
	for i := uint64(1); i < id; i++ {
		if err := s.Append(Record{Entity: i, Kind: End}); err != nil {
			t.Fatalf("end %d of %d: %v", i, id, err)
		}
	}
	if err := s.Append(Record{Entity: id, Data: make([]byte, 900)}); err != nil || !s.CanAdmit(1000) {
		t.Errorf("append after all entities have ended: %v", err)
	}
}

// A second process must get ErrLocked with the PID of the first.
func TestLocked(t *testing.T) {
	dir := t.TempDir()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "STORE_HOLD="+dir)
	in, _ := c.StdinPipe()
	out, _ := c.StdoutPipe()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := out.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	_, err := Open(Options{FS: Dir(dir), Budget: testBudget, Segment: 16 << 10})
	if !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), fmt.Sprint("process ", c.Process.Pid)) {
		t.Errorf("%v", err)
	}
	in.Close()
	c.Wait()
	s, err := Open(Options{FS: Dir(dir), Budget: testBudget, Segment: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
}

// With durability GroupSync one sync covers many appends.
func TestGroupDurability(t *testing.T) {
	m := newMemoryFS()
	s, err := Open(Options{FS: m, Budget: testBudget, Segment: 16 << 10, Durability: GroupSync,
		GroupWait: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range 20 {
		if err := s.Append(Record{Entity: uint64(i + 1)}); err != nil {
			t.Fatal(err)
		}
	}
	for until := time.Now().Add(20 * time.Second); s.Stats().Syncs == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no sync within 20 s")
		}
	}
	if n := s.Stats().Syncs; n > 20 {
		t.Errorf("%d syncs", n)
	}
}

// A crash at any modifying file system call, also while starting a segment or compacting, must not lose acknowledged
// records. It is a kill with durability ProcessExit and a power failure, which loses unsynced data, with EachAppend.
func TestCrashAtEveryCall(t *testing.T) {
	run := func(m *memoryFS, d Durability, l *workload) error {
		s, err := Open(Options{FS: m, Budget: 80 << 10, Segment: 5 << 10, Durability: d, GroupWait: time.Hour})
		for i := 0; err == nil && i < 260; i++ {
			err = l.step(s)
		}
		return err
	}
	for _, d := range []Durability{ProcessExit, EachAppend} {
		reference := newMemoryFS()
		if err := run(reference, d, newWorkload(4)); err != nil {
			t.Fatal(err)
		}
		for n := 1; n <= reference.calls; n++ {
			m, l := newMemoryFS(), newWorkload(4)
			m.crashAtCall = n
			if err := run(m, d, l); !errors.Is(err, errCrashed) {
				t.Fatalf("call %d of %d: %v", n, reference.calls, err)
			}
			m.crashAtCall = 0
			if d == EachAppend {
				m.cutPower(rand.New(rand.NewPCG(uint64(n), 3)))
			}
			s, err := Open(Options{FS: m, Budget: 80 << 10, Segment: 5 << 10, Durability: d})
			if err != nil {
				t.Fatalf("call %d: %v", n, err)
			}
			l.checkContent(t, s, fmt.Sprintf("durability %d, call %d of %d", d, n, reference.calls), l.lastEntity)
			for _, x := range s.Damages() {
				if !x.Tail {
					t.Errorf("durability %d, call %d: %+v", d, n, x)
				}
			}
			if t.Failed() {
				return
			}
		}
	}
}
