package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// After damage to any part of any segment, all intact records must be readable, and each entity that may lack a record
// must be marked as doubtful. An ended entity must not reappear without that mark.
func TestDamage(t *testing.T) {
	base := newMemoryFS()
	s := openStore(t, base, ProcessExit)
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
		name := names[rng.IntN(len(names)-1)] // not the last segment, where damage may look like a truncated append
		f := m.files[name]
		from := rng.IntN(len(f.data))
		to := min(len(f.data), from+1+rng.IntN(2000))
		for i := from; i < to; i++ {
			f.data[i] ^= byte(1 + rng.IntN(255))
		}
		s := openStore(t, m, ProcessExit)
		if len(s.Damages()) == 0 {
			t.Fatalf("%s, %d to %d: damage not detected", name, from, to)
		}
		intact := 0
		s.Entities(func(e Entity) bool {
			list, err := s.Load(e.ID)
			if err != nil {
				t.Errorf("%s, %d to %d: %v", name, from, to, err)
			}
			want, live := l.live[e.ID]
			if !e.MayLackRecords && (!live || len(list) != len(want)) {
				t.Errorf("%s, %d to %d: entity %d is not doubtful, live %t, %d records of %d", name, from, to, e.ID, live,
					len(list), len(want))
			}
			if !e.MayLackRecords {
				intact++
			}
			return true
		})
		if t.Failed() {
			return
		}
		for range 100 { // appends and compaction must still work
			if err := s.Append(Record{Entity: 1 << 30, Data: make([]byte, 300)},
				Record{Entity: 1 << 30, Kind: End}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Opening a store with a newer format must fail and leave the files unchanged.
func TestNewerFormat(t *testing.T) {
	m := newMemoryFS()
	s := openStore(t, m, ProcessExit)
	s.Append(Record{Entity: 1, Data: []byte("x")})
	s.Close()
	name := segmentName(1)
	f := m.files[name]
	f.data[8] = formatVersion + 1
	copy(f.data[20:24], func() []byte {
		b := encodeSegmentHeader(1)
		b[8] = formatVersion + 1
		return encodeChecksum(b[:20])
	}())
	before := slices.Clone(f.data)
	if _, err := Open(Options{FS: m, Budget: testBudget, Segment: 16 << 10}); !errors.Is(err, ErrNewer) {
		t.Errorf("%v", err)
	}
	if !slices.Equal(before, f.data) || len(m.files) != 1 {
		t.Error("the folder was changed")
	}
}

// A backup of a store in use must be complete: it contains all records that were acknowledged before the backup
// started, of entities that have not ended by its end. The copy can be opened as a store.
func TestBackup(t *testing.T) {
	m := newMemoryFS()
	s := openStore(t, m, ProcessExit)
	l := newWorkload(8)
	for range 500 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	liveBefore := map[uint64]int{} // record counts of entities live before the backup; the appends below may end them
	for id, list := range l.live {
		liveBefore[id] = len(list)
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
	copied := openStore(t, to, ProcessExit)
	for id, n := range liveBefore {
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
		t.Error("Backup wrote into a folder that has segments")
	}
}

// filledStore returns a store after a number of appends.
func filledStore(t *testing.T, seed uint64, appends int) (*memoryFS, *Store, *workload) {
	m := newMemoryFS()
	s, l := openStore(t, m, ProcessExit), newWorkload(seed)
	l.steps(t, s, appends)
	return m, s, l
}

// steps makes a number of appends.
func (l *workload) steps(t *testing.T, s *Store, number int) {
	for range number {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
}

// busyFS is the folder of a store that is in use: the store makes appends before each segment that a backup opens.
type busyFS struct {
	*memoryFS
	append func()
}

func (b busyFS) Open(name string) (File, error) {
	b.append()
	return b.memoryFS.Open(name)
}

// TestBackupDuringCompaction guards against a backup that lacks a segment which compaction removed before it was copied: the
// copy then counted as damaged, and what the segment had ended was live again. It must hold what was live when it began,
// unless that has ended since, and nothing that had ended then.
func TestBackupDuringCompaction(t *testing.T) {
	for _, appends := range []int{1, 10, 40, 100, 300} {
		for seed := range uint64(20) {
			m, s, l := filledStore(t, seed, 600)
			before, known := maps.Clone(l.live), l.next
			opened, to := 0, newMemoryFS()
			_, err := Backup(busyFS{m, func() {
				if opened++; opened < 60 { // then the backup catches up
					l.steps(t, s, appends)
				}
			}}, to)
			if err != nil {
				t.Fatal(err)
			}
			copied := openStore(t, to, ProcessExit)
			if err := copied.Verify(); err != nil || len(copied.Damages()) > 0 {
				t.Errorf("%d appends, seed %d: %v, %+v", appends, seed, err, copied.Damages())
			}
			for id := range known {
				list, _ := copied.Load(id)
				was, still := before[id] != nil, l.live[id] != nil
				if was && still && len(list) == 0 || !was && len(list) > 0 {
					t.Errorf("%d appends, seed %d: entity %d, live before %t, now %t, has %d records", appends, seed, id, was, still,
						len(list))
				}
			}
		}
	}
}

// TestBackupOfIncompleteStore checks that a segment that is missing in the source, also while compaction removes others, is
// missing in the copy, too.
func TestBackupOfIncompleteStore(t *testing.T) {
	m, _, _ := filledStore(t, 8, 600)
	names, _ := listSegments(m)
	m.Remove(names[2])
	to := newMemoryFS()
	if _, err := Backup(m, to); err != nil {
		t.Fatal(err)
	}
	if d := openStore(t, to, ProcessExit).Damages(); len(d) != 1 || !d[0].Missing || d[0].File != names[3] {
		t.Errorf("%+v", d)
	}
}

// TestBackupInterrupted ends a backup at each write of its target, as a power cut does. The source must stay as it is.
func TestBackupInterrupted(t *testing.T) {
	m, _, l := filledStore(t, 8, 300)
	for call := 1; ; call++ {
		to := newMemoryFS()
		to.crashAtCall = call
		_, err := Backup(m, to)
		readOnly, openErr := OpenReadOnly(m)
		if openErr != nil || len(readOnly.Damages()) > 0 {
			t.Fatalf("source after call %d: %v, %+v", call, openErr, readOnly.Damages())
		}
		l.checkContent(t, readOnly, fmt.Sprint("source after call ", call), 0)
		if err == nil && call > 2 {
			return
		}
	}
}

// A store in use can be opened read-only. A damaged store can be repaired into another folder without changing its
// files.
func TestOpenReadOnlyAndRepair(t *testing.T) {
	m := newMemoryFS()
	s := openStore(t, m, ProcessExit)
	l := newWorkload(8)
	for range 800 {
		if err := l.step(s); err != nil {
			t.Fatal(err)
		}
	}
	readOnly, err := OpenReadOnly(m)
	if err != nil {
		t.Fatal(err)
	}
	if sum := readOnly.Summary(); sum.Entities != len(l.live) || sum.Disk != s.Stats().DiskBytes ||
		readOnly.Verify() != nil {
		t.Errorf("%+v", sum)
	}
	if err := readOnly.Append(Record{Entity: 1}); err == nil {
		t.Error("Append succeeded on a read-only store")
	}
	var dump strings.Builder
	if err := readOnly.Dump(&dump); err != nil || strings.Count(dump.String(), "\n") < len(l.live) {
		t.Errorf("%v, %d lines", err, strings.Count(dump.String(), "\n"))
	}
	names, _ := listSegments(m)
	f := m.files[names[1]]
	f.data[len(f.data)/2] ^= 1
	before := slices.Clone(f.data)
	to := newMemoryFS()
	written, skipped, err := Repair(m, Options{FS: to, Budget: testBudget, Segment: 16 << 10}, false)
	if err != nil || written+skipped < len(l.live)-5 || !slices.Equal(before, f.data) {
		t.Errorf("%d written, %d skipped of %d, %v", written, skipped, len(l.live), err)
	}
	repaired := openStore(t, to, ProcessExit)
	if len(repaired.Damages()) > 0 || repaired.Verify() != nil || repaired.Summary().Entities != written {
		t.Errorf("%+v", repaired.Summary())
	}
}

// If a segment is missing, older entities must be marked as doubtful. Segments with swapped names must be read as
// before. A segment that exists twice must be rejected with an error that names both files.
func TestSegmentsRenamedOrMissing(t *testing.T) {
	base := newMemoryFS()
	s := openStore(t, base, ProcessExit)
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
	s = openStore(t, m, ProcessExit)
	l.checkContent(t, s, "names swapped", 0)
	for range 2000 { // until both segments have been compacted
		if err := s.Append(Record{Entity: 1 << 30, Data: make([]byte, 300)}, Record{Entity: 1 << 30, Kind: End}); err != nil {
			t.Fatal(err)
		}
	}
	l.checkContent(t, s, "names swapped, then compacted", 0)
	m = clone()
	delete(m.files, names[1])
	s = openStore(t, m, ProcessExit)
	s.Entities(func(e Entity) bool {
		list, err := s.Load(e.ID)
		want, live := l.live[e.ID]
		if err != nil || !e.MayLackRecords && (!live || len(list) != len(want)) {
			t.Errorf("segment missing: entity %d, doubtful %t, live %t, %d records of %d, %v", e.ID, e.MayLackRecords, live,
				len(list), len(want), err)
		}
		return !t.Failed()
	})
	if len(s.Damages()) != 1 || !s.Damages()[0].Missing {
		t.Errorf("segment missing: %+v", s.Damages())
	}
	m = clone()
	m.files["ffffffffffffff00.log"] = &memoryFile{fs: m, data: slices.Clone(m.files[names[1]].data)}
	if _, err := Open(Options{FS: m, Budget: testBudget, Segment: 16 << 10}); err == nil ||
		!strings.Contains(err.Error(), names[1]) {
		t.Errorf("segment exists twice: %v", err)
	}
}
