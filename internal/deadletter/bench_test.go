package deadletter

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/settings"
	"cleathold/internal/state"
)

// BenchmarkIntoStore measures the rate at which records are stored and synced to the disk, by batch size.
func BenchmarkIntoStore(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			s, err := Open(b.TempDir(), quiet)
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			body := []byte(strings.Repeat("x", 1000))
			for n := 0; n < b.N; n += batch {
				update(b, s, func(tx *Tx) error {
					for i := n; i < min(b.N, n+batch); i++ {
						r := Record{State: Held, ID: fmt.Sprint("id-", i), Class: "unsafe", Tenant: "t", Destination: i % 20,
							HeldAt: time.Now(), Reason: "expired"}
						if _, err := tx.Add(&r, body); err != nil {
							return err
						}
					}
					return nil
				})
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkAccepts measures the time that the event loop spends on the rule "hold" for an undeliverable message.
func BenchmarkAccepts(b *testing.B) {
	set, err := settings.Parse("s.star", []byte(`
held(folder = "/h")
def hold(record, partner):
    return HOLD if record.message_class == "fee-payment" and record.left < 10 and partner.failing > 3 else GIVE_BACK
`))
	if err != nil {
		b.Fatal(err)
	}
	q := NewQueue(Config{Settings: set, Log: quiet, Platform: control.Settings{Classes: make([]control.Class, 1)},
		Names: Names{Classes: []string{"fee-payment"}}})
	letter := &state.DeadLetter{Message: &state.Message{ID: "id", Deadline: time.Now()}, At: time.Now()}
	b.ReportAllocs()
	for b.Loop() {
		q.Accepts(letter)
	}
}

// BenchmarkCallEnded measures the time that the event loop spends on the queue at the end of each call.
func BenchmarkCallEnded(b *testing.B) {
	set, _ := settings.Parse("s.star", []byte(`held(folder = "/h")`))
	q := NewQueue(Config{Settings: set, Log: quiet})
	b.ReportAllocs()
	for b.Loop() {
		q.CallEnded(7, control.Served, 0, false)
		q.LoadChanged(state.LoopLoad{})
	}
}

// BenchmarkHundredThousand measures opening, memory use, listing and statistics of a store with 100,000 records.
func BenchmarkHundredThousand(b *testing.B) {
	dir := b.TempDir()
	s := openStore(b, dir)
	addRecords(b, s, 100_000)
	s.Close()
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1e6
	}
	resident := func() float64 {
		text, _ := os.ReadFile("/proc/self/statm")
		var size, pages float64
		fmt.Sscan(string(text), &size, &pages)
		return pages * float64(os.Getpagesize()) / 1e6
	}
	b.Run("open", func(b *testing.B) {
		before, res := heap(), resident()
		var s *Store
		for b.Loop() {
			if s != nil {
				s.Close()
			}
			s, _ = Open(dir, quiet)
		}
		b.ReportMetric(heap()-before, "MB-heap")
		b.ReportMetric(resident()-res, "MB-resident")
		s.Close()
	})
	b.Run("list one destination and class", func(b *testing.B) {
		s := openStore(b, dir)
		dest := 2
		n := 0
		for b.Loop() {
			n = 0
			for next := uint64(0); ; {
				s.View(func(tx *Tx) error {
					page, after, _ := tx.List(Filter{Destination: &dest, Class: "unsafe"}, next, MaxPageSize)
					n, next = n+len(page), after
					return nil
				})
				if next == 0 {
					break
				}
			}
		}
		b.ReportMetric(float64(n), "records")
		b.ReportMetric(heap(), "MB-heap")
	})
	b.Run("stats", func(b *testing.B) {
		s := openStore(b, dir)
		for b.Loop() {
			s.View(func(tx *Tx) error { _, err := tx.Stats(); return err })
		}
	})
}
