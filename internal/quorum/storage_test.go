package quorum

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"cleathold/internal/store"
)

// failingFS is a file system whose writes fail while full is true.
type failingFS struct {
	store.FS
	full *bool
}

func (d failingFS) Create(name string) (store.File, error) {
	f, err := d.FS.Create(name)
	return failingFile{f, d.full}, err
}

func (d failingFS) Open(name string) (store.File, error) {
	f, err := d.FS.Open(name)
	return failingFile{f, d.full}, err
}

type failingFile struct {
	store.File
	full *bool
}

func (f failingFile) WriteAt(b []byte, at int64) (int, error) {
	if *f.full {
		return 0, errFull
	}
	return f.File.WriteAt(b, at)
}

var errFull = errors.New("no space left on device")

// TestStorageFailures checks that a node whose folder can't be written stops before it commits anything that is not
// stored, and that the entries that it has committed are there when it is opened again. A damaged folder must not be
// opened at all.
func TestStorageFailures(t *testing.T) {
	dir := t.TempDir()
	if err := Bootstrap(store.Dir(dir), "a", []string{"a"}); err != nil {
		t.Fatal(err)
	}
	full := false
	open := func() (*Node, *recordingMachine, func() error) {
		m := newRecordingMachine()
		n, err := Open(Config{Name: "a", FS: failingFS{store.Dir(dir), &full}, Peers: map[string]string{"a": ""},
			Machine: m, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		return n, m, func() error { stop(); return <-done }
	}
	proposeAndWait := func(n *Node, m *recordingMachine, text string) bool {
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			err := n.Propose(t.Context(), []byte(text))
			if err == nil {
				return m.waitFor(text, 300*time.Millisecond)
			}
			if errors.Is(err, ErrStopped) {
				return false
			}
		}
		return false
	}
	n, m, stop := open()
	if !proposeAndWait(n, m, "one") {
		t.Fatal("a single agent commits nothing")
	}
	full = true
	if proposeAndWait(n, m, "two") {
		t.Error("an entry was committed that could not be written")
	}
	if err := stop(); !errors.Is(err, errFull) {
		t.Errorf("Run returned %v", err)
	}
	full = false
	n, m, stop = open()
	if !proposeAndWait(n, m, "three") || slices.Contains(m.all(), "two") || !slices.Contains(m.all(), "one") {
		t.Errorf("%v", m.all())
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
	if err := Bootstrap(store.Dir(dir), "a", []string{"a"}); !errors.Is(err, ErrAlreadyBootstrapped) {
		t.Errorf("second bootstrap: %v", err)
	}
	if _, err := Open(Config{Name: "b", FS: store.Dir(dir), Machine: newRecordingMachine(),
		Log: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("another agent's folder was opened")
	}
	names, _ := store.Dir(dir).List()
	for _, name := range names {
		if f, err := store.Dir(dir).Open(name); err == nil && name != "lock" {
			f.WriteAt([]byte("xxxxxxxx"), 60)
			f.Close()
		}
	}
	if _, err := Open(Config{Name: "a", FS: store.Dir(dir), Machine: newRecordingMachine(),
		Log: slog.New(slog.DiscardHandler)}); !errors.Is(err, ErrDamaged) {
		t.Errorf("a damaged folder: %v", err)
	}
}
