package deadletter

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cleathold/control"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

var classRules = ClassRules{MaxAttempts: 12, Classes: map[string]control.Class{
	"safe": {Idempotency: control.Idempotent}, "keyed": {Idempotency: control.IdempotentByKey,
		KeyRetention: 12 * time.Second}, "unsafe": {Idempotency: control.NotIdempotent},
}}

func openStore(t testing.TB, dir string) *Store {
	t.Helper()
	s, err := Open(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	s.db.NoSync = true // the tests do not depend on syncs, which are slow
	t.Cleanup(func() { s.Close() })
	return s
}

func update(t testing.TB, s *Store, f func(*Tx) error) {
	t.Helper()
	if err := s.Update(f); err != nil {
		t.Fatal(err)
	}
}

// addRecords adds records of three classes, four destinations and three tenants.
func addRecords(t testing.TB, s *Store, n int) {
	t.Helper()
	start := time.Now().Add(-time.Hour)
	for from := 0; from < n; from += 1000 {
		update(t, s, func(tx *Tx) error {
			for i := from; i < min(n, from+1000); i++ {
				r := Record{
					State: Held, ID: fmt.Sprint("id-", i), Key: fmt.Sprint("key-", i), Class: []string{"safe", "keyed", "unsafe"}[i%3],
					Tenant: fmt.Sprint("t", i%3), Destination: i%4 - 1, Reason: "expired",
					HeldAt:   start.Add(time.Duration(i) * time.Millisecond),
					Attempts: []Attempt{{Target: "s", At: start, Result: "refused"}}, AttemptCount: 1, Size: 100,
				}
				if _, err := tx.Add(&r, []byte(strings.Repeat("x", 100))); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

func listAll(t testing.TB, s *Store, f Filter) (list []Record) {
	t.Helper()
	for next := uint64(0); ; {
		err := s.View(func(tx *Tx) error {
			page, n, err := tx.List(f, next, 7)
			list, next = append(list, page...), n
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		if next == 0 {
			return list
		}
	}
}

// TestFilters checks the number and order of the records that filters select.
func TestFilters(t *testing.T) {
	s := openStore(t, t.TempDir())
	addRecords(t, s, 120)
	dest := -1
	start := listAll(t, s, Filter{})[0].HeldAt
	for _, c := range []struct {
		f    Filter
		want int
	}{
		{Filter{}, 120}, {Filter{Destination: &dest}, 30}, {Filter{Class: "keyed"}, 40}, {Filter{Tenant: "t2"}, 40},
		{Filter{Tenant: "t"}, 0},
		{Filter{Reason: "expired", State: Held}, 120}, {Filter{State: InFlight}, 0},
		{Filter{Destination: &dest, Class: "unsafe"}, 10},
		{Filter{Since: start.Add(100 * time.Millisecond)}, 20}, {Filter{Before: start.Add(20 * time.Millisecond)}, 20},
		{Filter{Since: start.Add(time.Hour)}, 0},
	} {
		if got := listAll(t, s, c.f); len(got) != c.want ||
			!slices.IsSortedFunc(got, func(a, b Record) int { return int(a.Sequence) - int(b.Sequence) }) {
			t.Errorf("%+v: %d, want %d", c.f, len(got), c.want)
		}
	}
}

// TestEligible checks whether the rules of a class allow a redelivery. Attempts that are missing from the history count
// as attempts that may have run.
func TestEligible(t *testing.T) {
	now := time.Now()
	ranAgo := func(ago time.Duration) []Attempt {
		return []Attempt{{At: now.Add(-time.Hour), Result: "refused"}, {At: now.Add(-ago), Result: "reset", MayHaveRun: true}}
	}
	for _, c := range []struct {
		name         string
		r            Record
		clockSetBack bool
		want         string
	}{
		{"safe that ran", Record{Class: "safe", Attempts: ranAgo(time.Hour)}, false, ""},
		{"unsafe that never ran", Record{Class: "unsafe", Attempts: []Attempt{{Result: "refused"}}}, false, ""},
		{"unsafe that may have run", Record{Class: "unsafe", Attempts: ranAgo(time.Second)}, false,
			"must never take effect twice"},
		{"unsafe with an incomplete history", Record{Class: "unsafe", HistoryIncomplete: true}, false, "not whole"},
		{"keyed within the retention", Record{Class: "keyed", Attempts: ranAgo(5 * time.Second)}, false, ""},
		{"keyed near the end of the retention", Record{Class: "keyed", Attempts: ranAgo(9 * time.Second)}, false,
			"remembers its key for"},
		{"keyed after the retention", Record{Class: "keyed", Attempts: ranAgo(time.Minute)}, false, "remembers its key for"},
		{"keyed, first attempt decides", Record{Class: "keyed", Attempts: append(ranAgo(time.Minute), ranAgo(0)...)}, false,
			"remembers"},
		{"keyed, run at an unknown time", Record{Class: "keyed", Attempts: []Attempt{{MayHaveRun: true}}}, false,
			"not known"},
		{"keyed with an incomplete history", Record{Class: "keyed", Attempts: ranAgo(time.Second), HistoryIncomplete: true},
			false, "not known"},
		{"keyed, clock set back", Record{Class: "keyed", Attempts: ranAgo(time.Second)}, true, "clock"},
		{"safe, clock set back", Record{Class: "safe", Attempts: ranAgo(time.Second)}, true, ""},
		{"in redelivery", Record{Class: "safe", State: InFlight}, false, "being sent"},
		{"ended", Record{Class: "safe", State: Dropped}, false, "ended"},
		{"body missing", Record{Class: "safe", BodyMissing: true}, false, "body"},
		{"no attempts left", Record{Class: "safe", AttemptCount: 12}, false, "12 attempts"},
		{"unknown class", Record{Class: "what"}, false, "class"},
	} {
		if c.r.State == "" {
			c.r.State = Held
		}
		why := classRules.Eligible(&c.r, now, !c.clockSetBack)
		if (why == nil) != (c.want == "") || why != nil && !strings.Contains(why.Reason, c.want) {
			t.Errorf("%s: %v, want %q", c.name, why, c.want)
		}
	}
	r := Record{} // a history that exceeds maxAttempts is incomplete only if the first attempt that may have run is lost
	for range maxAttempts + 1 {
		r.addAttempts([]Attempt{{At: now, Result: "refused"}})
	}
	if r.HistoryIncomplete {
		t.Error("history marked as incomplete although no attempt may have run")
	}
	if r.addAttempts([]Attempt{{At: now, MayHaveRun: true}}); !r.HistoryIncomplete {
		t.Error("history not marked as incomplete although an attempt that may have run was lost")
	}
}

// TestEviction checks that a store that exceeds its bounds evicts ended records first, then the oldest others, and
// never records in redelivery or records that the write-ahead log may report again.
func TestEviction(t *testing.T) {
	s := openStore(t, t.TempDir())
	addRecords(t, s, 100)
	now := time.Now()
	update(t, s, func(tx *Tx) error {
		for seq := uint64(91); seq <= 100; seq++ {
			if err := tx.change(seq, func(r *Record) error { r.end(now.Add(-time.Minute), Delivered); return nil }); err != nil {
				return err
			}
		}
		tx.change(1, func(r *Record) error { r.State = InFlight; return nil })
		return tx.markReportPending("id-1") // record 2
	})
	evict := func(b Bounds) (evicted Evicted) {
		update(t, s, func(tx *Tx) (err error) { evicted, err = tx.evict(b, now); return })
		return evicted
	}
	wideBounds := Bounds{Bytes: 1e9, Records: 1000, Age: 24 * time.Hour, EndedRetention: time.Hour}
	if got := evict(wideBounds); got != (Evicted{}) {
		t.Errorf("evicted within the bounds: %+v", got)
	}
	b := wideBounds
	b.Records = 85
	if got := evict(b); got != (Evicted{Ended: 10, Open: 5}) {
		t.Errorf("evicted over the bound of records: %+v", got)
	}
	list := listAll(t, s, Filter{})
	if len(list) != 85 || list[0].Sequence != 1 || list[1].Sequence != 2 || list[2].Sequence != 8 {
		t.Errorf("%d records left, the first ones are %d, %d, %d",
			len(list), list[0].Sequence, list[1].Sequence, list[2].Sequence)
	}
	b = wideBounds
	s.View(func(tx *Tx) error { b.Bytes = int64(tx.counter(metaBytes)) / 2; return nil })
	if got := evict(b); got.Open < 40 || got.Open > 45 {
		t.Errorf("evicted over the bound of bytes: %+v", got)
	}
	b = wideBounds
	b.Age = time.Minute
	if evict(b); len(listAll(t, s, Filter{})) != 2 || s.Count(-1)+s.Count(0) != 2 {
		t.Errorf("records left after eviction by age: %+v, counts %v", listAll(t, s, Filter{}), s.openCounts)
	}
}

// TestAddRejectsDuplicates checks that a message that is reported twice is stored once. This also applies after its
// record was removed, as long as the write-ahead log contains the message.
func TestAddRejectsDuplicates(t *testing.T) {
	s := openStore(t, t.TempDir())
	add := func() (added bool) {
		update(t, s, func(tx *Tx) (err error) {
			r := Record{State: Held, ID: "a", Class: "safe"}
			if added, err = tx.Add(&r, []byte("x")); err == nil && added {
				err = tx.markReportPending("a")
			}
			return err
		})
		return added
	}
	if !add() || add() {
		t.Error("message not stored on the first report, or stored again on the second")
	}
	update(t, s, func(tx *Tx) error {
		r, _ := tx.Get(1)
		return tx.remove(&r)
	})
	if add() {
		t.Error("message stored again after its removal, although the write-ahead log still contains it")
	}
	update(t, s, func(tx *Tx) error { return tx.clearReportPending("a") })
	if !add() {
		t.Error("new message with the same id not stored after the write-ahead log has forgotten the first")
	}
}

// TestStoreLock checks that a store that is open for writing cannot be opened for reading, and that it can after it was
// closed.
func TestStoreLock(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	if _, err := OpenReadOnly(dir); !errors.Is(err, ErrInUse) || !strings.Contains(err.Error(), fmt.Sprint(os.Getpid())) {
		t.Errorf("reader while a writer has the store open: %v, want ErrInUse with its process id", err)
	}
	s.Close()
	r, err := OpenReadOnly(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}

// TestDamagedStore checks that a store with a flipped bit at any position, or truncated at any length, can be opened,
// and that a record that was sent or dropped is not eligible for redelivery after the recovery.
func TestDamagedStore(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	addRecords(t, s, 200)
	update(t, s, func(tx *Tx) error { // records 3 and 6 are not idempotent: 3 is in flight, 6 is dropped
		if err := tx.change(3, func(r *Record) error { r.State = InFlight; return nil }); err != nil {
			return err
		}
		return tx.change(6, func(r *Record) error { r.end(time.Now(), Dropped); return nil })
	})
	s.Close()
	intact, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	reopen := func(name string, data []byte) (recovered int) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(dir, quiet)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		defer s.Close()
		err = s.View(func(tx *Tx) error {
			list, _, err := tx.List(Filter{}, 0, 1000)
			recovered = len(list)
			for _, r := range list {
				if (r.Sequence == 3 || r.Sequence == 6) && classRules.Eligible(&r, time.Now(), true) == nil {
					return fmt.Errorf("record %d may be redelivered: %+v", r.Sequence, r)
				}
			}
			return err
		})
		if errors.Is(err, ErrDamaged) { // the damage is detected after opening, and then recovered
			s.Close()
			if s, err = openOrRecover(dir, err, quiet); err != nil {
				t.Fatalf("%s: recovery: %v", name, err)
			}
			recovered = len(listAll(t, s, Filter{}))
		}
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		return recovered
	}
	step := len(intact)/80 | 1
	for at := 0; at < len(intact); at += step {
		data := slices.Clone(intact)
		data[at] ^= 1 << (at % 8)
		if kept := reopen(fmt.Sprintf("bit flipped at %d", at), data); kept < 190 {
			t.Errorf("bit flipped at %d: %d of 200 records recovered", at, kept)
		}
	}
	for at := 0; at < len(intact); at += 5 * step {
		reopen(fmt.Sprintf("cut at %d", at), intact[:at])
	}
	zeroed := slices.Clone(intact)
	clear(zeroed[:8192]) // both meta pages: only the scan of the raw file finds records
	if kept := reopen("no meta pages", zeroed); kept < 199 {
		t.Errorf("no meta pages: %d of 200 records recovered", kept)
	}
}

// TestInterruptedRecovery checks that an interrupted recovery is repeated if the damaged file was not renamed yet, and
// completed otherwise.
func TestInterruptedRecovery(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	s := openStore(t, dir)
	addRecords(t, s, 10)
	s.Close()
	os.WriteFile(path+newSuffix, []byte("half"), 0o600)
	s = openStore(t, dir)
	if n := len(listAll(t, s, Filter{})); n != 10 {
		t.Errorf("incomplete new file: %d records, want 10", n)
	}
	s.Close()
	os.Rename(path, path+newSuffix) // as after a recovery that had already renamed the damaged file
	if s = openStore(t, dir); len(listAll(t, s, Filter{})) != 10 {
		t.Error("new file not used")
	}
}

// TestIndexesMatchRecords checks that the indexes and counters match the records after any sequence of changes.
func TestIndexesMatchRecords(t *testing.T) {
	s := openStore(t, t.TempDir())
	rapid.Check(t, func(rt *rapid.T) {
		update(t, s, func(tx *Tx) error {
			for _, name := range allBuckets {
				tx.DeleteBucket(name)
			}
			return createBuckets(tx.Tx)
		})
		s.openCounts, s.keyCounts = map[int]int{}, map[uint64]int32{}
		model := map[uint64]State{}
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			seq := uint64(rapid.IntRange(1, 10).Draw(rt, "seq"))
			operation := rapid.IntRange(0, 5).Draw(rt, "operation")
			update(t, s, func(tx *Tx) error {
				_, known := model[seq]
				now := time.UnixMicro(int64(i))
				switch {
				case operation == 0:
					r := Record{State: Held, ID: fmt.Sprint("i", i), Key: fmt.Sprint("k", i%3), Class: "safe", Destination: i % 2,
						HeldAt: now}
					_, err := tx.Add(&r, []byte("x"))
					model[r.Sequence] = Held
					return err
				case !known:
					return nil
				case operation == 1:
					delete(model, seq)
					r, err := tx.Get(seq)
					return errors.Join(err, tx.remove(&r))
				case model[seq].Ended():
					return nil
				}
				return tx.change(seq, func(r *Record) error {
					switch operation {
					case 2:
						r.schedule(now, now.Add(time.Hour))
						r.Ready = i%2 == 0
					case 3:
						r.State, r.Ready = InFlight, false
					case 4:
						r.unschedule(now)
					case 5:
						r.end(now, Delivered)
					}
					model[seq] = r.State
					return nil
				})
			})
		}
		s.View(func(tx *Tx) error {
			want := map[string]int{}
			open := 0
			for seq, state := range model {
				r, err := tx.Get(seq)
				if err != nil || r.State != state {
					rt.Fatalf("record %d: %v, state %s, want %s", seq, err, r.State, state)
				}
				for _, x := range indexEntries(&r) {
					want[string(x.bucket)]++
					if got := tx.Bucket(x.bucket).Get(x.key); got == nil || string(got) != string(x.value) {
						rt.Fatalf("record %d is missing in index %s", seq, x.bucket)
					}
				}
				if _, err := tx.Body(seq); (err == nil) == state.Ended() {
					rt.Fatalf("record %d, state %s: body: %v", seq, state, err)
				}
				if !state.Ended() {
					open++
				}
			}
			for _, b := range indexedBuckets {
				if n := tx.Bucket(b).Stats().KeyN; n != want[string(b)] {
					rt.Fatalf("index %s has %d entries, want %d", b, n, want[string(b)])
				}
			}
			if n := s.Count(0) + s.Count(1); n != open || tx.counter(metaCount) != uint64(len(model)) {
				rt.Fatalf("%d open records counted, want %d; %d records counted, want %d",
					n, open, tx.counter(metaCount), len(model))
			}
			return nil
		})
	})
}
