package wal

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/atomicfile"
)

// Times in the log outlast the process, and what is counted from them are spans of real time: deadlines, key
// retention, Retry-After. The wall clock may be stepped between two processes, and while one runs. So times are
// written by a time base that goes on with the system's monotonic clock from one process to the next; it is set by
// the wall clock only once, and again after the machine has been started anew.

const (
	// TimeBaseFile is the name of the file in the state folder that keeps the time base.
	TimeBaseFile = "clock"
	bootIDPath   = "/proc/sys/kernel/random/boot_id"
)

// TimeBase turns times of this process into stamps, in microseconds, and back. A nil one goes by the wall clock.
type TimeBase struct {
	origin      time.Time // an instant, with its monotonic reading...
	originStamp int64     // ...and what stands for it
}

// NewTimeBase returns a time base in which a stamp in microseconds stands for an instant.
func NewTimeBase(instant time.Time, stamp int64) *TimeBase {
	return &TimeBase{origin: instant, originStamp: stamp}
}

// Anchor is what a folder keeps of its time base.
type Anchor struct {
	Boot      string `json:"boot"`         // the boot ID of the machine's start that the monotonic clock counts from
	Monotonic int64  `json:"monotonic_us"` // the monotonic clock at an instant, in microseconds...
	Stamp     int64  `json:"stamp_us"`     // ...and what stands for it

	instant time.Time // the instant, in this process
}

// OpenTimeBase goes on with the time base of a folder, or begins one. Where the folder can't keep it, the time base
// holds for this process alone; without a monotonic clock it is nil.
func OpenTimeBase(dir string, log *slog.Logger) *TimeBase {
	current, err := AnchorNow()
	if err != nil {
		log.Warn("no monotonic clock, spans follow the wall clock", "err", err)
		return nil
	}
	stored, err := readAnchor(dir)
	if err == nil && current.continues(stored) {
		return current.timeBaseSince(stored)
	}
	current.Stamp = max(current.Stamp, stored.Stamp)
	if err := WriteAnchor(dir, current); err != nil {
		log.Warn("time base not written", "err", err)
	}
	return NewTimeBase(current.instant, current.Stamp)
}

// readTimeBase is OpenTimeBase for a reader that changes nothing.
func readTimeBase(dir string) *TimeBase {
	current, err := AnchorNow()
	if err != nil {
		return nil
	}
	stored, err := readAnchor(dir)
	if err != nil || !current.continues(stored) {
		return nil
	}
	return current.timeBaseSince(stored)
}

// AnchorNow returns an anchor of this instant, stamped by the wall clock.
func AnchorNow() (Anchor, error) {
	boot, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Anchor{}, err
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return Anchor{}, fmt.Errorf("monotonic clock: %w", err)
	}
	zero := time.Now()
	zero = zero.Add(-time.Duration(zero.Nanosecond()) % time.Microsecond) // a whole microsecond, as stamps are
	return Anchor{strings.TrimSpace(string(boot)), now.Nano() / int64(time.Microsecond), zero.UnixMicro(), zero}, nil
}

// continues tells whether a later anchor counts from the same start of the machine.
func (a Anchor) continues(before Anchor) bool {
	return a.Boot == before.Boot && a.Monotonic >= before.Monotonic
}

// timeBaseSince is the time base that an earlier anchor began, as of this one.
func (a Anchor) timeBaseSince(before Anchor) *TimeBase {
	return NewTimeBase(a.instant, before.Stamp+a.Monotonic-before.Monotonic)
}

func readAnchor(dir string) (a Anchor, err error) {
	text, err := os.ReadFile(filepath.Join(dir, TimeBaseFile))
	if err == nil {
		err = json.Unmarshal(text, &a)
	}
	if err != nil {
		return Anchor{}, err
	}
	return a, nil
}

// WriteAnchor replaces the anchor of a folder, whole or not at all.
func WriteAnchor(dir string, a Anchor) error {
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(dir, TimeBaseFile), text)
}

// Stamp returns what stands for a time, in microseconds.
func (b *TimeBase) Stamp(t time.Time) int64 {
	if b == nil {
		return t.UnixMicro()
	}
	return b.originStamp + t.Sub(b.origin).Microseconds()
}

// Time returns the time that a stamp stands for. It has a monotonic reading, so that steps of the wall clock leave it
// alone.
func (b *TimeBase) Time(stamp int64) time.Time {
	if b == nil {
		return time.UnixMicro(stamp)
	}
	return b.origin.Add(time.Duration(stamp-b.originStamp) * time.Microsecond)
}
