package store

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv("STORE_HOLD"); dir != "" { // the other process of TestLocked
		if _, err := (Dir(dir)).Lock(); err == nil {
			fmt.Println("held")
		}
		io.Copy(io.Discard, os.Stdin)
		return
	}
	goleak.VerifyTestMain(m)
}

// memoryFS is a file system in memory that can fail at any byte, run full, and lose what was not synced. It counts the
// bytes of all files at every step.
type memoryFS struct {
	mu     sync.Mutex
	files  map[string]*memoryFile
	left   int   // bytes and steps until it dies; below 0 = it lives
	full   int64 // bytes that all files may have; 0 = any
	most   int64 // that they had
	faulty error // what a sync returns
	short  bool  // the next write is cut short, with an error
	syncs  int
	calls  int // that change something; at the one of number dieAt it dies
	dieAt  int
}

type memoryFile struct {
	fs     *memoryFS
	data   []byte
	synced []byte
	named  bool // its name would outlast a power cut
}

var (
	errDead   = errors.New("the process is dead")
	errNoRoom = errors.New("no space left on device")
	errIO     = errors.New("input/output error")
)

func newMemoryFS() *memoryFS { return &memoryFS{files: map[string]*memoryFile{}, left: -1} }

// allow counts down to the failure and returns how many of n bytes are still written.
func (m *memoryFS) allow(n int) (int, error) {
	if m.calls++; m.dieAt > 0 && m.calls >= m.dieAt {
		return 0, errDead
	}
	if m.left < 0 {
		return n, nil
	}
	if m.left < n {
		n, m.left = m.left, 0
		return n, errDead
	}
	m.left -= n
	return n, nil
}

func (m *memoryFS) usedBytes() int64 {
	sum := int64(blockSize)
	for _, f := range m.files {
		sum += roundToBlocks(int64(len(f.data)))
	}
	return sum
}

func (m *memoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.allow(1); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, os.ErrExist
	}
	m.files[name] = &memoryFile{fs: m}
	return m.files[name], nil
}

func (m *memoryFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.files[name]; f != nil {
		return f, nil
	}
	return nil, os.ErrNotExist // as the machine's
}

func (m *memoryFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.allow(1); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFS) List() (names []string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.files {
		names = append(names, name)
	}
	return names, nil
}

func (m *memoryFS) Size(name string) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] == nil {
		return 0, os.ErrNotExist
	}
	return int64(len(m.files[name].data)), nil
}

func (m *memoryFS) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.files {
		f.named = true
	}
	return nil
}

type noLock struct{}

func (noLock) Close() error { return nil }

func (m *memoryFS) Lock() (io.Closer, error) { return noLock{}, nil }

func (f *memoryFile) ReadAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if at >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memoryFile) WriteAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	n, err := f.fs.allow(len(p))
	if f.fs.short && err == nil {
		f.fs.short = false
		n, err = n/2, errIO
	}
	grown := at + int64(n) - int64(len(f.data))
	if f.fs.full > 0 && grown > 0 && f.fs.usedBytes()+grown > f.fs.full {
		return 0, errNoRoom
	}
	if grown > 0 {
		f.data = append(f.data, make([]byte, grown)...)
	}
	copy(f.data[at:], p[:n])
	f.fs.most = max(f.fs.most, f.fs.usedBytes())
	return n, err
}

func (f *memoryFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.allow(1); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *memoryFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.allow(1); err != nil {
		return err
	}
	if f.fs.faulty != nil {
		return f.fs.faulty
	}
	f.fs.syncs++
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }

// cutPower is a power cut: of what was not synced some is there, and of names too.
func (m *memoryFS) cutPower(rng *rand.Rand) {
	for name, f := range m.files {
		if !f.named {
			delete(m.files, name)
			continue
		}
		keep := len(f.synced)
		if more := len(f.data) - keep; more > 0 {
			keep += rng.IntN(more + 1)
		}
		f.data = f.data[:keep]
	}
	m.left, m.dieAt = -1, 0
}

const budget = 256 << 10

func open(t testing.TB, fs FS, d Durability) *Store {
	t.Helper()
	s, err := Open(Options{FS: fs, Budget: budget, Segment: 16 << 10, Durability: d, GroupWait: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// workload appends to entities that begin, grow and end, and keeps what must be in the store.
type workload struct {
	rng  *rand.Rand
	next uint64
	live map[uint64][]string // promised
	ids  []uint64
	last uint64 // the entity of the latest append, of which nobody knows if that failed
}

func newWorkload(seed uint64) *workload {
	return &workload{rng: rand.New(rand.NewPCG(seed, 1)), next: 1, live: map[uint64][]string{}}
}

// step appends once; its error ends the traffic.
func (l *workload) step(s *Store) error {
	if len(l.ids) > 0 && (len(l.ids) > 150 || l.rng.IntN(5) < 2) {
		i := l.rng.IntN(len(l.ids))
		id := l.ids[i]
		l.last = id
		if err := s.Append(Record{Entity: id, Kind: End}); err != nil {
			return err
		}
		delete(l.live, id)
		l.ids = slices.Delete(l.ids, i, i+1)
		return nil
	}
	if len(l.ids) > 0 && l.rng.IntN(2) == 0 {
		id := l.ids[l.rng.IntN(len(l.ids))]
		text := fmt.Sprint("more ", l.rng.IntN(1000))
		l.last = id
		r := Record{Entity: id, Time: int64(id), Dest: int64(id % 7), Key: fmt.Sprint("k", id%50), Data: []byte(text)}
		if l.rng.IntN(4) == 0 {
			r.Kind = Base
		}
		if err := s.Append(r); err != nil {
			return err
		}
		if r.Kind == Base {
			l.live[id] = nil
		}
		l.live[id] = append(l.live[id], text)
		return nil
	}
	id := l.next
	l.next++
	l.last = id
	text := strings.Repeat(strconv.Itoa(int(id)%10), 50+l.rng.IntN(600))
	if err := s.Append(Record{Entity: id, Time: int64(id), Dest: int64(id % 7), Key: fmt.Sprint("k", id%50),
		Data: []byte(text)}); err != nil {
		return err
	}
	l.live[id] = []string{text}
	l.ids = append(l.ids, id)
	return nil
}

// check checks that a store has what was appended, no more and no less. The entity of an append that failed may have
// that append or not.
func (l *workload) check(t *testing.T, s *Store, what string, unsure uint64) {
	t.Helper()
	seen := 0
	s.Entities(func(e Entity) bool {
		want, live := l.live[e.ID]
		if !live && e.ID != unsure {
			t.Errorf("%s: entity %d came back", what, e.ID)
			return false
		}
		if live {
			seen++
		}
		list, err := s.Load(e.ID)
		if err != nil {
			t.Errorf("%s: entity %d: %v", what, e.ID, err)
			return false
		}
		var got []string
		for _, r := range list {
			got = append(got, string(r.Data))
		}
		if e.ID != unsure && !slices.Equal(got, want) {
			t.Errorf("%s: entity %d has %d records, want %d", what, e.ID, len(got), len(want))
		}
		if e.ID != unsure && live && (e.Time != int64(e.ID) || e.Dest != int64(e.ID%7) || e.Key != fmt.Sprint("k", e.ID%50)) {
			t.Errorf("%s: entity %d reads as %+v", what, e.ID, e)
		}
		return !t.Failed()
	})
	missing := len(l.live) - seen
	if _, was := l.live[unsure]; was && missing == 1 {
		missing = 0 // its end got through
	}
	if missing != 0 {
		t.Errorf("%s: %d entities are lost", what, missing)
	}
}

// A long workload within a small budget: the budget is never exceeded, no step is long, nothing is lost, and the store
// reads as before when it is opened again.
func TestCompaction(t *testing.T) {
	m := newMemoryFS()
	s := open(t, m, Process)
	l := newWorkload(1)
	for i := range 20_000 {
		if err := l.step(s); err != nil {
			t.Fatalf("append %d: %v; %+v", i, err, s.Stats())
		}
	}
	l.check(t, s, "at the end", 0)
	stats := s.Stats()
	if m.most > budget || stats.DiskBytes != m.usedBytes() {
		t.Errorf("%d bytes at most of %d; %d counted, %d there", m.most, budget, stats.DiskBytes, m.usedBytes())
	}
	if stats.Removed < 50 || stats.LargestStep > 64<<10 {
		t.Errorf("%+v", stats)
	}
	t.Logf("%+v, write amplification %.2f", stats, 1+float64(stats.Copied)/float64(stats.Appended))
	s.Close()
	again := open(t, m, Process)
	l.check(t, again, "opened again", 0)
	if len(again.Damages()) > 0 {
		t.Errorf("damage: %+v", again.Damages())
	}
	keys := 0
	again.ByKey("k7", func(e Entity) bool { keys++; return e.Key == "k7" })
	dests := 0
	again.ByDest(3, func(e Entity) bool { dests++; return e.Dest == 3 })
	times := int64(0)
	again.ByTime(0, func(e Entity) bool {
		if e.Time < times {
			t.Error("not in the order of time")
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
		t.Errorf("by key %d of %d, by destination %d of %d", keys, wantKeys, dests, wantDests)
	}
}

// Killed at any byte, also in the middle of compaction: what was promised is there, and
// the traffic goes on.
func TestKilledAtEachWrite(t *testing.T) {
	for seed := range uint64(400) {
		m := newMemoryFS()
		s := open(t, m, Process)
		l := newWorkload(seed)
		for range 300 { // into compaction
			if err := l.step(s); err != nil {
				t.Fatal(err)
			}
		}
		for round := range 4 {
			m.left = l.rng.IntN(60_000)
			var err error
			for err == nil {
				err = l.step(s)
			}
			if !errors.Is(err, errDead) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			m.left = -1
			unsure := l.last
			s = open(t, m, Process)
			l.check(t, s, fmt.Sprintf("seed %d, round %d", seed, round), unsure)
			for _, d := range s.Damages() {
				if !d.Tail {
					t.Errorf("seed %d: a kill left damage: %+v", seed, d)
				}
			}
			if t.Failed() {
				return
			}
			l.resolveUnsure(t, s, unsure)
		}
		if m.most > budget {
			t.Fatalf("seed %d: %d bytes of %d", seed, m.most, budget)
		}
	}
}

// resolveUnsure ends the entity whose last append had an unknown outcome.
func (l *workload) resolveUnsure(t *testing.T, s *Store, unsure uint64) {
	t.Helper()
	if err := s.Append(Record{Entity: unsure, Kind: End}); err != nil {
		t.Fatal(err)
	}
	delete(l.live, unsure)
	l.ids = slices.DeleteFunc(l.ids, func(id uint64) bool { return id == unsure })
}

// A power cut: with each append synced all that was promised is there; with group sync
// all up to the latest sync; with neither nothing is promised, and the log can be read.
func TestPowerCut(t *testing.T) {
	for seed := range uint64(100) {
		for _, d := range []Durability{Each, Group, Process} {
			m := newMemoryFS()
			s := open(t, m, d)
			l := newWorkload(seed)
			for range 400 {
				if err := l.step(s); err != nil {
					t.Fatal(err)
				}
			}
			if d == Group {
				if err := s.Sync(); err != nil {
					t.Fatal(err)
				}
				s.timer.Stop()
			}
			m.left = 3000 // some more that nobody was promised, but with Each
			var err error
			for err == nil && d == Each {
				err = l.step(s)
			}
			unsure := l.last
			m.cutPower(rand.New(rand.NewPCG(seed, 2)))
			s = open(t, m, d)
			if d != Process {
				l.check(t, s, fmt.Sprintf("seed %d, durability %d", seed, d), unsure)
			}
			if t.Failed() {
				return
			}
			s.Close()
		}
	}
}

// A disk that runs full, a short write, a sync that fails: nothing is promised that is
// not there, nothing before is lost, and a sync that failed is not tried again.
func TestFaults(t *testing.T) {
	m := newMemoryFS()
	s := open(t, m, Process)
	l := newWorkload(3)
	for range 200 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	m.full = m.usedBytes()
	var err error
	for err == nil {
		err = l.step(s)
	}
	unsure := l.last
	if !errors.Is(err, errNoRoom) {
		t.Fatalf("a full disk: %v", err)
	}
	l.check(t, s, "with the disk full", unsure)
	m.full = 0
	for range 50 {
		m.short = true
		if err := l.step(s); !errors.Is(err, errIO) {
			t.Fatalf("a short write: %v", err)
		}
		l.check(t, s, "after a short write", 0)
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s = open(t, m, Each)
	l.check(t, s, "opened again", 0)
	if len(s.Damages()) > 0 {
		t.Errorf("%+v", s.Damages())
	}
	m.faulty = errIO
	if err := l.step(s); !errors.Is(err, ErrBroken) {
		t.Fatalf("a failed sync: %v", err)
	}
	m.faulty = nil
	if err := s.Append(Record{Entity: 1 << 40}); !errors.Is(err, ErrBroken) {
		t.Errorf("after a failed sync: %v", err)
	}
}

// More live than fits: the store says so, and ends still get through and make room.
func TestBudgetExhausted(t *testing.T) {
	m := newMemoryFS()
	s := open(t, m, Process)
	id := uint64(0)
	for s.CanAdmit(1000) {
		id++
		if err := s.Append(Record{Entity: id, Data: make([]byte, 900)}); err != nil {
			t.Fatalf("%v though there is room: %+v", err, s.Stats())
		}
	}
	var err error
	for err == nil {
		id++
		err = s.Append(Record{Entity: id, Data: make([]byte, 900)})
	}
	if !errors.Is(err, ErrFull) || m.most > budget {
		t.Fatalf("%v, %d bytes", err, m.most)
	}
	for i := uint64(1); i < id; i++ {
		if err := s.Append(Record{Entity: i, Kind: End}); err != nil {
			t.Fatalf("end %d of %d: %v", i, id, err)
		}
	}
	if err := s.Append(Record{Entity: id, Data: make([]byte, 900)}); err != nil || !s.CanAdmit(1000) {
		t.Errorf("after all have ended: %v", err)
	}
}

// Damage of any byte of any file: what can be read is, and what may lack a record is in
// doubt. Nothing that has ended is told as sound.
func TestDamage(t *testing.T) {
	base := newMemoryFS()
	s := open(t, base, Process)
	l := newWorkload(5)
	for range 600 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	names, _ := base.List()
	slices.Sort(names)
	rng := rand.New(rand.NewPCG(9, 9))
	for range 300 {
		m := newMemoryFS()
		for name, f := range base.files {
			m.files[name] = &memoryFile{fs: m, data: slices.Clone(f.data)}
		}
		name := names[rng.IntN(len(names)-1)] // not the last, whose tail a kill may cut
		f := m.files[name]
		from := rng.IntN(len(f.data))
		to := min(len(f.data), from+1+rng.IntN(2000))
		for i := from; i < to; i++ {
			f.data[i] ^= byte(1 + rng.IntN(255))
		}
		s := open(t, m, Process)
		if len(s.Damages()) == 0 {
			t.Fatalf("%s, %d to %d: not seen", name, from, to)
		}
		sound := 0
		s.Entities(func(e Entity) bool {
			list, err := s.Load(e.ID)
			if err != nil {
				t.Errorf("%s, %d to %d: %v", name, from, to, err)
			}
			want, live := l.live[e.ID]
			if !e.Doubtful && (!live || len(list) != len(want)) {
				t.Errorf("%s, %d to %d: entity %d is told as sound, live %t, %d records of %d", name, from, to, e.ID, live,
					len(list), len(want))
			}
			if !e.Doubtful {
				sound++
			}
			return true
		})
		if t.Failed() {
			return
		}
		for range 100 { // and it goes on
			if err := s.Append(Record{Entity: 1 << 30, Data: make([]byte, 300)},
				Record{Entity: 1 << 30, Kind: End}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A newer format is refused, and the file is as it was.
func TestNewerFormat(t *testing.T) {
	m := newMemoryFS()
	s := open(t, m, Process)
	s.Append(Record{Entity: 1, Data: []byte("x")})
	s.Close()
	name := segmentName(1)
	f := m.files[name]
	f.data[8] = formatVersion + 1
	copy(f.data[20:24], func() []byte { b := segmentHead(1); b[8] = formatVersion + 1; return crcOf(b[:20]) }())
	before := slices.Clone(f.data)
	if _, err := Open(Options{FS: m, Budget: budget, Segment: 16 << 10}); !errors.Is(err, ErrNewer) {
		t.Errorf("%v", err)
	}
	if !slices.Equal(before, f.data) || len(m.files) != 1 {
		t.Error("the folder was changed")
	}
}

// A second process is refused, with the pid of the first.
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
	_, err := Open(Options{FS: Dir(dir), Budget: budget, Segment: 16 << 10})
	if !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), fmt.Sprint("process ", c.Process.Pid)) {
		t.Errorf("%v", err)
	}
	in.Close()
	c.Wait()
	s, err := Open(Options{FS: Dir(dir), Budget: budget, Segment: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
}

// Group sync: one sync stands for many appends.
func TestGroupDurability(t *testing.T) {
	m := newMemoryFS()
	s, err := Open(Options{FS: m, Budget: budget, Segment: 16 << 10, Durability: Group, GroupWait: time.Millisecond})
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
			t.Fatal("never synced")
		}
	}
	if n := s.Stats().Syncs; n > 20 {
		t.Errorf("%d syncs", n)
	}
}

// A copy of a store in use is whole: it has what was promised before the copy began and
// is not ended before it ended. Its restored form takes appends.
func TestBackup(t *testing.T) {
	m := newMemoryFS()
	s := open(t, m, Process)
	l := newWorkload(8)
	for range 500 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	steady := map[uint64]int{} // live before the copy; the traffic below may end them
	for id, list := range l.live {
		steady[id] = len(list)
	}
	done := make(chan error, 1)
	go func() {
		for range 3000 {
			if err := l.step(s); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	to := newMemoryFS()
	if _, err := Backup(m, to); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	copied := open(t, to, Process)
	for id, n := range steady {
		if _, still := l.live[id]; !still {
			continue
		}
		list, err := copied.Load(id)
		if err != nil || len(list) < n {
			t.Errorf("entity %d: %d records of %d in the copy, %v", id, len(list), n, err)
		}
	}
	if err := copied.Verify(); err != nil || len(copied.Damages()) > 0 && !copied.Damages()[0].Tail {
		t.Errorf("%v, %+v", err, copied.Damages())
	}
	if _, err := Backup(m, to); err == nil {
		t.Error("copied over another")
	}
}

// A store in use can be looked into, and a damaged one repaired beside.
func TestOpenReadOnlyAndRepair(t *testing.T) {
	m := newMemoryFS()
	s := open(t, m, Process)
	l := newWorkload(8)
	for range 800 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	seen, err := OpenReadOnly(m)
	if err != nil {
		t.Fatal(err)
	}
	if sum := seen.Summary(); sum.Entities != len(l.live) || sum.Disk != s.Stats().DiskBytes || seen.Verify() != nil {
		t.Errorf("%+v", sum)
	}
	if err := seen.Append(Record{Entity: 1}); err == nil {
		t.Error("appended to a store that is only read")
	}
	var dump strings.Builder
	if err := seen.Dump(&dump); err != nil || strings.Count(dump.String(), "\n") < len(l.live) {
		t.Errorf("%v, %d lines", err, strings.Count(dump.String(), "\n"))
	}
	names, _ := listSegments(m)
	f := m.files[names[1]]
	f.data[len(f.data)/2] ^= 1
	before := slices.Clone(f.data)
	to := newMemoryFS()
	written, left, err := Repair(m, Options{FS: to, Budget: budget, Segment: 16 << 10}, false)
	if err != nil || written+left < len(l.live)-5 || !slices.Equal(before, f.data) {
		t.Errorf("%d written, %d left of %d, %v", written, left, len(l.live), err)
	}
	fixed := open(t, to, Process)
	if len(fixed.Damages()) > 0 || fixed.Verify() != nil || fixed.Summary().Entities != written {
		t.Errorf("%+v", fixed.Summary())
	}
}

// A crash at every call of the file system in turn, over rolls and compaction, by a kill
// and by a power cut that loses what was not synced.
func TestCrashAtEveryCall(t *testing.T) {
	run := func(m *memoryFS, d Durability, l *workload) error {
		s, err := Open(Options{FS: m, Budget: 80 << 10, Segment: 5 << 10, Durability: d, GroupWait: time.Hour})
		for i := 0; err == nil && i < 260; i++ {
			err = l.step(s)
		}
		return err
	}
	for _, d := range []Durability{Process, Each} {
		whole := newMemoryFS()
		if err := run(whole, d, newWorkload(4)); err != nil {
			t.Fatal(err)
		}
		for n := 1; n <= whole.calls; n++ {
			m, l := newMemoryFS(), newWorkload(4)
			m.dieAt = n
			if err := run(m, d, l); !errors.Is(err, errDead) {
				t.Fatalf("call %d of %d: %v", n, whole.calls, err)
			}
			m.dieAt = 0
			if d == Each {
				m.cutPower(rand.New(rand.NewPCG(uint64(n), 3)))
			}
			s, err := Open(Options{FS: m, Budget: 80 << 10, Segment: 5 << 10, Durability: d})
			if err != nil {
				t.Fatalf("call %d: %v", n, err)
			}
			l.check(t, s, fmt.Sprintf("durability %d, call %d of %d", d, n, whole.calls), l.last)
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

// A segment that is missing puts in doubt what began before; two whose names were
// swapped read as they were; one that is there twice is refused, with both names.
func TestSegmentsMoved(t *testing.T) {
	base := newMemoryFS()
	s := open(t, base, Process)
	l := newWorkload(6)
	for range 900 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	names, _ := listSegments(base)
	clone := func() *memoryFS {
		m := newMemoryFS()
		for name, f := range base.files {
			m.files[name] = &memoryFile{fs: m, data: slices.Clone(f.data)}
		}
		return m
	}
	m := clone()
	m.files[names[1]], m.files[names[2]] = m.files[names[2]], m.files[names[1]]
	s = open(t, m, Process)
	l.check(t, s, "swapped", 0)
	for range 2000 { // on through compaction of both
		if err := s.Append(Record{Entity: 1 << 30, Data: make([]byte, 300)}, Record{Entity: 1 << 30, Kind: End}); err != nil {
			t.Fatal(err)
		}
	}
	l.check(t, s, "swapped, then compacted", 0)
	m = clone()
	delete(m.files, names[1])
	s = open(t, m, Process)
	s.Entities(func(e Entity) bool {
		list, err := s.Load(e.ID)
		want, live := l.live[e.ID]
		if err != nil || !e.Doubtful && (!live || len(list) != len(want)) {
			t.Errorf("missing: entity %d, doubtful %t, live %t, %d records of %d, %v", e.ID, e.Doubtful, live, len(list),
				len(want), err)
		}
		return !t.Failed()
	})
	if len(s.Damages()) != 1 || !s.Damages()[0].Missing {
		t.Errorf("missing: %+v", s.Damages())
	}
	m = clone()
	m.files["ffffffffffffff00.log"] = &memoryFile{fs: m, data: slices.Clone(m.files[names[1]].data)}
	if _, err := Open(Options{FS: m, Budget: budget, Segment: 16 << 10}); err == nil ||
		!strings.Contains(err.Error(), names[1]) {
		t.Errorf("twice: %v", err)
	}
}
