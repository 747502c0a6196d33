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

func event(i int) audit.Event {
	return audit.Event{At: time.Duration(i) * time.Millisecond, Kind: audit.Submitted, Message: fmt.Sprint("m", i), N: i}
}

// write writes a run of so many events and returns its folder.
func write(t *testing.T, events int, finish bool) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "run")
	w, err := Create(dir, Head{Scenario: "s", Seed: 7}, []byte("script"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range events {
		if err := w.Read(event(i)); err != nil {
			t.Fatal(err)
		}
	}
	if finish {
		err = w.Finish(map[string]int{"x": 1})
	} else {
		err = w.Flush() // the process is killed here
	}
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

func read(t *testing.T, dir string) (events int, whole bool) {
	t.Helper()
	r, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	whole, err = r.Events(func(e audit.Event) error {
		if e.Message != fmt.Sprint("m", events) || e.N != events {
			t.Fatalf("event %d reads as %+v", events, e)
		}
		events++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return events, whole
}

func TestRun(t *testing.T) {
	dir := write(t, 5000, true)
	if n, whole := read(t, dir); n != 5000 || !whole {
		t.Errorf("%d events, whole %t", n, whole)
	}
	r, _ := Open(dir)
	if r.Head.Seed != 7 || string(r.Script) != "script" || r.Result == nil {
		t.Errorf("%+v", r)
	}
	if _, err := Create(dir, Head{}, nil); err == nil {
		t.Error("written over")
	}
}

// What was written before a kill is read, up to where the file ends; a cut at any
// place hides what comes after it, and nothing before.
func TestBrokenOff(t *testing.T) {
	dir := write(t, 5000, false)
	if n, whole := read(t, dir); n != 5000 || whole {
		t.Errorf("%d events, whole %t", n, whole)
	}
	if r, _ := Open(dir); r.Result != nil {
		t.Error("a result of a run that was broken off")
	}
	path := filepath.Join(dir, eventsName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := 5000
	for cut := len(text) - 1; cut > 0; cut -= max(1, len(text)/40) {
		if err := os.WriteFile(path, text[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		n, whole := read(t, dir)
		if n > last || whole {
			t.Errorf("%d of %d bytes: %d events after %d, whole %t", cut, len(text), n, last, whole)
		}
		last = n
	}
}

// A full disk is an error that stays, and what was written can be read.
func TestFullDisk(t *testing.T) {
	w, err := newWriter("", &small{left: 3000})
	if err != nil {
		t.Fatal(err)
	}
	var first error
	for i := 0; i < 100_000 && first == nil; i++ {
		first = w.Read(event(i))
	}
	if !errors.Is(first, errFull) || !errors.Is(w.Read(event(0)), errFull) || !errors.Is(w.Finish(nil), errFull) {
		t.Errorf("a full disk: %v", first)
	}
}

var errFull = errors.New("no space left on device")

type small struct{ left int }

func (s *small) Write(p []byte) (int, error) {
	if len(p) > s.left {
		return 0, errFull
	}
	s.left -= len(p)
	return len(p), nil
}

func (s *small) Close() error { return nil }

func TestOpenErrors(t *testing.T) {
	if _, err := Open(t.TempDir()); err == nil {
		t.Error("an empty folder is a run")
	}
	dir := write(t, 1, true)
	if err := os.WriteFile(filepath.Join(dir, headName), []byte(`{"format":2}`), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir); err == nil {
		t.Error("a newer format is read")
	}
}
