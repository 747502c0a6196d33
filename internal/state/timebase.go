package state

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Times in the journal outlast the process, and what is counted from them are spans of real time: deadlines, the memory of
// keys, waits. The wall clock may be stepped between two processes, and while one runs. So times are written by a time base
// that goes on with the system's monotonic clock from one process to the next; it is set by the wall clock only once, and
// again after the machine has been started anew.

const (
	timeBaseFile = "clock"
	bootIDPath   = "/proc/sys/kernel/random/boot_id"
)

// A timeBase turns times of this process into stamps, microseconds, and back. A nil one goes by the wall clock.
type timeBase struct {
	zero  time.Time // an instant, with its monotonic reading...
	stamp int64     // ...and what stands for it
}

// An clockAnchor is what a folder keeps of its time base.
type clockAnchor struct {
	Boot      string `json:"boot"`         // which start of the machine the monotonic clock counts from
	Monotonic int64  `json:"monotonic_us"` // the monotonic clock at an instant...
	Stamp     int64  `json:"stamp_us"`     // ...and what stands for it

	zero time.Time // the instant, in this process
}

// openTimeBase goes on with the time base of a folder, or begins one. A folder that can't keep it has this process's own.
func openTimeBase(dir string, log *slog.Logger) *timeBase {
	here, err := anchorNow()
	if err != nil {
		log.Warn("journal: no monotonic clock, times go by the wall clock", "err", err)
		return nil
	}
	before, err := readAnchor(dir)
	if err == nil && here.follows(before) {
		here.Stamp = before.Stamp + here.Monotonic - before.Monotonic
		return here.base()
	}
	here.Stamp = max(here.Stamp, before.Stamp)
	if err := writeAnchor(dir, here); err != nil {
		log.Warn("journal: its time base can't be kept", "err", err)
	}
	return here.base()
}

// readTimeBase is openTimebase for one who changes nothing.
func readTimeBase(dir string) *timeBase {
	here, err := anchorNow()
	if err != nil {
		return nil
	}
	before, err := readAnchor(dir)
	if err != nil || !here.follows(before) {
		return nil
	}
	here.Stamp = before.Stamp + here.Monotonic - before.Monotonic
	return here.base()
}

// anchorNow is an anchor of this instant, by the wall clock.
func anchorNow() (clockAnchor, error) {
	boot, err := os.ReadFile(bootIDPath)
	if err != nil {
		return clockAnchor{}, err
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return clockAnchor{}, fmt.Errorf("monotonic clock: %w", err)
	}
	zero := time.Now()
	zero = zero.Add(-time.Duration(zero.Nanosecond()) % time.Microsecond) // a whole microsecond, as stamps are
	return clockAnchor{strings.TrimSpace(string(boot)), now.Nano() / int64(time.Microsecond), zero.UnixMicro(), zero}, nil
}

// follows tells whether a later anchor counts from the same start of the machine.
func (a clockAnchor) follows(before clockAnchor) bool {
	return a.Boot == before.Boot && a.Monotonic >= before.Monotonic
}

func (a clockAnchor) base() *timeBase { return &timeBase{zero: a.zero, stamp: a.Stamp} }

func readAnchor(dir string) (a clockAnchor, err error) {
	text, err := os.ReadFile(filepath.Join(dir, timeBaseFile))
	if err == nil {
		err = json.Unmarshal(text, &a)
	}
	if err != nil {
		return clockAnchor{}, err
	}
	return a, nil
}

// writeAnchor replaces the anchor whole or not at all.
func writeAnchor(dir string, a clockAnchor) error {
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, timeBaseFile), text)
}

// replaceFile puts a text in the place of a file, whole or not at all.
func replaceFile(path string, text []byte) error {
	fresh := path + ".new"
	err := os.WriteFile(fresh, text, 0o600)
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		os.Remove(fresh) // half a file must not count against the limit
	}
	return err
}

// stampOf is what stands for a time.
func (b *timeBase) stampOf(t time.Time) int64 {
	if b == nil {
		return t.UnixMicro()
	}
	return b.stamp + t.Sub(b.zero).Microseconds()
}

// timeOf is the time that a stamp stands for. It has a monotonic reading, so that steps of the wall clock leave it alone.
func (b *timeBase) timeOf(stamp int64) time.Time {
	if b == nil {
		return time.UnixMicro(stamp)
	}
	return b.zero.Add(time.Duration(stamp-b.stamp) * time.Microsecond)
}
