package ledger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cleathold/internal/audit"
)

func testEvent(i int) audit.Event {
	return audit.Event{At: time.Duration(i) * time.Millisecond, Kind: audit.Submitted, Message: fmt.Sprint("m", i),
		Request: i}
}

// writeRun writes a run with a number of events and returns its folder. If finish is false, the run is incomplete.
func writeRun(t *testing.T, events int, finish bool) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "run")
	w, err := Create(dir, Header{Scenario: "s", Seed: 7}, []byte("script"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range events {
		if err := w.Append(testEvent(i)); err != nil {
			t.Fatal(err)
		}
	}
	if finish {
		err = w.Finish(map[string]int{"x": 1})
	} else {
		err = w.Flush() // as if the process were killed here
	}
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

func countEvents(t *testing.T, dir string) (events int, complete bool) {
	t.Helper()
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	complete, err = r.Events(func(e audit.Event) error {
		if e.Message != fmt.Sprint("m", events) || e.Request != events {
			t.Fatalf("event %d was read as %+v", events, e)
		}
		events++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return events, complete
}

func TestRun(t *testing.T) {
	dir := writeRun(t, 5000, true)
	if n, complete := countEvents(t, dir); n != 5000 || !complete {
		t.Errorf("%d events, complete %t", n, complete)
	}
	r, _ := Open(dir)
	if r.Head.Seed != 7 || string(r.Script) != "script" || r.Result == nil {
		t.Errorf("%+v", r)
	}
	if _, err := Create(dir, Header{}, nil); err == nil {
		t.Error("Create overwrote an existing run")
	}
}

// The events that were written before a process was killed can be read. A file that is truncated at any offset can
// still be read up to the truncation.
func TestIncompleteRun(t *testing.T) {
	dir := writeRun(t, 5000, false)
	if n, complete := countEvents(t, dir); n != 5000 || complete {
		t.Errorf("%d events, complete %t", n, complete)
	}
	if r, _ := Open(dir); r.Result != nil {
		t.Error("an incomplete run has a result")
	}
	path := filepath.Join(dir, eventsFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := 5000
	for cut := len(text) - 1; cut > 0; cut -= max(1, len(text)/40) {
		if err := os.WriteFile(path, text[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		n, complete := countEvents(t, dir)
		if n > last || complete {
			t.Errorf("%d of %d bytes: %d events after %d, complete %t", cut, len(text), n, last, complete)
		}
		last = n
	}
}

// After a write to a full disk fails, all later calls return that error.
func TestFullDisk(t *testing.T) {
	w, err := newWriter("", &limitedFile{free: 3000})
	if err != nil {
		t.Fatal(err)
	}
	var first error
	for i := 0; i < 100_000 && first == nil; i++ {
		first = w.Append(testEvent(i))
	}
	if !errors.Is(first, errFull) || !errors.Is(w.Append(testEvent(0)), errFull) || !errors.Is(w.Finish(nil), errFull) {
		t.Errorf("error for a full disk: %v", first)
	}
}

var errFull = errors.New("no space left on device")

type limitedFile struct{ free int }

func (s *limitedFile) Write(p []byte) (int, error) {
	if len(p) > s.free {
		return 0, errFull
	}
	s.free -= len(p)
	return len(p), nil
}

func (s *limitedFile) Close() error { return nil }

func TestOpenErrors(t *testing.T) {
	if _, err := Open(t.TempDir()); err == nil {
		t.Error("Open returned no error for an empty folder")
	}
	dir := writeRun(t, 1, true)
	if err := os.WriteFile(filepath.Join(dir, headFile), []byte(`{"format":2}`), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir); err == nil {
		t.Error("Open returned no error for a newer format")
	}
}
