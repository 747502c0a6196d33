// Package world holds the stand-ins of the review's cases: clients, endpoints and the platform (discovery and notices),
// all on loopback addresses and the real clock. They do what the protocol page describes, and write down what they see.
package world

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// World is one run of a case: its clock and its record.
type World struct {
	Start time.Time

	mu    sync.Mutex
	lines []line
	file  string
	echo  bool
}

type line struct {
	at   time.Duration
	text string
}

// New starts a run whose record goes to a file.
func New(file string) *World {
	return &World{Start: time.Now(), file: file, echo: os.Getenv("ECHO") == "1"}
}

// Now returns the time since the start of the run.
func (w *World) Now() time.Duration { return time.Since(w.Start) }

// Note adds a line to the record.
func (w *World) Note(format string, args ...any) {
	w.NoteAt(time.Now(), format, args...)
}

// NoteAt adds a line about an earlier instant to the record.
func (w *World) NoteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := line{at.Sub(w.Start), fmt.Sprintf(format, args...)}
	w.lines = append(w.lines, l)
	if w.echo {
		fmt.Fprintln(os.Stderr, l.String())
	}
}

func (l line) String() string { return fmt.Sprintf("%9.3f  %s", l.at.Seconds(), l.text) }

// Save writes the record.
func (w *World) Save() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.SliceStable(w.lines, func(i, j int) bool { return w.lines[i].at < w.lines[j].at })
	f, err := os.Create(w.file)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, l := range w.lines {
		if _, err := fmt.Fprintln(f, l.String()); err != nil {
			return err
		}
	}
	return nil
}
