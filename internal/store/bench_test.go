package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// BenchmarkMessageLifecycle measures the appends of a message's lifecycle at a sender: its acceptance, an attempt and
// its end.
func BenchmarkMessageLifecycle(b *testing.B) {
	for _, c := range []struct {
		live   int
		budget int64 // 0: no compaction
	}{{100, 0}, {100, 3 << 20}, {1000, 3 << 20}, {2500, 3 << 20}} {
		b.Run(fmt.Sprint(c.live, "-live-", c.budget>>20, "MB"), func(b *testing.B) {
			live := c.live
			s, err := Open(Options{FS: Dir(b.TempDir()), Budget: c.budget})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			body := make([]byte, 400)
			id := uint64(0)
			var pauses []time.Duration
			for b.Loop() {
				id++
				began := time.Now()
				err := s.Append(Record{Entity: id, Time: int64(id), Destination: int64(id % 30), Key: fmt.Sprint("m", id),
					Data: body})
				if err == nil {
					err = s.Append(Record{Entity: id, Data: body[:30]})
				}
				if err == nil && id > uint64(live) {
					err = s.Append(Record{Entity: id - uint64(live), Kind: End})
				}
				if err != nil {
					b.Fatal(err)
				}
				pauses = append(pauses, time.Since(began))
			}
			slices.Sort(pauses)
			b.ReportMetric(float64(pauses[len(pauses)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(pauses[len(pauses)*999/1000].Microseconds()), "p99.9-µs")
			b.ReportMetric(float64(pauses[len(pauses)-1].Microseconds()), "worst-µs")
			t := s.Stats()
			b.ReportMetric(1+float64(t.Copied)/float64(max(1, t.Appended)), "amplification")
		})
	}
}

// BenchmarkBolt runs the workload of BenchmarkMessageLifecycle on bbolt for comparison, without syncs as with
// ProcessExit.
func BenchmarkBolt(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, &bbolt.Options{NoSync: true, NoFreelistSync: true})
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	name := []byte("messages")
	if err := db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket(name); return err }); err != nil {
		b.Fatal(err)
	}
	body := make([]byte, 400)
	id := uint64(0)
	key := func(id, n uint64) []byte {
		return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, id), n)
	}
	var pauses []time.Duration
	for b.Loop() {
		id++
		began := time.Now()
		for n := range uint64(3) {
			err := db.Update(func(tx *bbolt.Tx) error {
				t := tx.Bucket(name)
				if n < 2 {
					return t.Put(key(id, n), body[:400-370*n])
				}
				if id <= 100 {
					return nil
				}
				return errors.Join(t.Delete(key(id-100, 0)), t.Delete(key(id-100, 1)))
			})
			if err != nil {
				b.Fatal(err)
			}
		}
		pauses = append(pauses, time.Since(began))
	}
	slices.Sort(pauses)
	b.ReportMetric(float64(pauses[len(pauses)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(pauses[len(pauses)*999/1000].Microseconds()), "p99.9-µs")
}

// BenchmarkOpen measures memory usage and the time to open a store by number and size of live records. The largest case
// has 1 GB.
func BenchmarkOpen(b *testing.B) {
	for _, c := range []struct{ n, size int }{{10_000, 1000}, {100_000, 1000}, {1_000_000, 100}, {1_000_000, 1000}} {
		b.Run(fmt.Sprint(c.n, "x", c.size), func(b *testing.B) { benchmarkOpen(b, c.n, c.size) })
	}
}

func benchmarkOpen(b *testing.B, n, size int) {
	dir := Dir(b.TempDir())
	s, err := Open(Options{FS: dir})
	if err != nil {
		b.Fatal(err)
	}
	body := make([]byte, size)
	batch := make([]Record, 0, 100)
	began := time.Now()
	for i := range uint64(n) {
		batch = append(batch, Record{Entity: i + 1, Time: int64(i), Destination: int64(i % 1000), Data: body})
		if len(batch) == cap(batch) {
			if err := s.Append(batch...); err != nil {
				b.Fatal(err)
			}
			batch = batch[:0]
		}
	}
	b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(n), "append-ns/record")
	s.Close()
	for b.Loop() {
		began := time.Now()
		debug.FreeOSMemory()
		os.WriteFile("/proc/self/clear_refs", []byte("5"), 0) // reset the peak memory usage
		s, err := Open(Options{FS: dir})
		b.ReportMetric(peakMB(), "peak-MB")
		if err != nil || s.Stats().Entities != n {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(began).Seconds(), "open-s")
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapAlloc)/float64(n), "heap-B/record")
		s.Close()
	}
}

// peakMB returns the peak resident memory of this process in MB.
func peakMB() float64 {
	text, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(text)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
