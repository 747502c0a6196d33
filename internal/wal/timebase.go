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

// Times in the log outlive the process, and durations of real time are measured from them: deadlines, key retention and
// Retry-After. The wall clock may be stepped between two processes and while one is running. Timestamps therefore come
// from a time base that advances with the system's monotonic clock across processes. It is set from the wall clock only
// when it is created and after each reboot of the machine.

const (
	// TimeBaseFile is the name of the file in the state folder that stores the anchor of the time base.
	TimeBaseFile = "clock"
	bootIDPath   = "/proc/sys/kernel/random/boot_id"
)

// TimeBase converts between times of this process and timestamps in microseconds. A nil TimeBase uses the wall clock.
type TimeBase struct {
	origin      time.Time // an instant with a monotonic clock reading
	originStamp int64     // timestamp of origin, in microseconds
}

// NewTimeBase returns a time base that assigns a timestamp in microseconds to an instant.
func NewTimeBase(instant time.Time, stamp int64) *TimeBase {
	return &TimeBase{origin: instant, originStamp: stamp}
}

// Anchor is the stored form of a time base: a reading of the monotonic clock and the timestamp that belongs to it.
type Anchor struct {
	Boot      string `json:"boot"`         // boot ID of the machine, as the monotonic clock starts at boot
	Monotonic int64  `json:"monotonic_us"` // reading of the monotonic clock, in microseconds
	Stamp     int64  `json:"stamp_us"`     // timestamp at that reading, in microseconds

	instant time.Time // time of the reading in this process
}

// OpenTimeBase continues the time base that is stored in a folder, or creates one. If the anchor can't be written, the
// time base is valid for this process only. If the machine has no monotonic clock, OpenTimeBase returns nil.
func OpenTimeBase(dir string, log *slog.Logger) *TimeBase {
	current, err := AnchorNow()
	if err != nil {
		log.Warn("monotonic clock is unavailable; measuring durations by the wall clock", "err", err)
		return nil
	}
	stored, err := readAnchor(dir)
	if err == nil && current.continues(stored) {
		return current.timeBaseSince(stored)
	}
	current.Stamp = max(current.Stamp, stored.Stamp)
	if err := WriteAnchor(dir, current); err != nil {
		log.Warn("failed to write time base", "err", err)
	}
	return NewTimeBase(current.instant, current.Stamp)
}

// readTimeBase returns the time base that is stored in a folder, without writing to the folder. It returns nil if none
// is stored or the stored one does not belong to the current boot.
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

// AnchorNow returns an anchor for the current time, with a timestamp from the wall clock.
func AnchorNow() (Anchor, error) {
	boot, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Anchor{}, err
	}
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return Anchor{}, fmt.Errorf("monotonic clock: %w", err)
	}
	instant := time.Now()
	// Truncate to whole microseconds, the resolution of timestamps. time.Time.Truncate would strip the monotonic
	// clock reading.
	instant = instant.Add(-time.Duration(instant.Nanosecond()) % time.Microsecond)
	return Anchor{
		strings.TrimSpace(string(boot)), monotonic.Nano() / int64(time.Microsecond), instant.UnixMicro(), instant,
	}, nil
}

// continues reports whether the monotonic clock has been running since an earlier anchor, which is so if both anchors
// belong to the same boot of the machine.
func (a Anchor) continues(earlier Anchor) bool {
	return a.Boot == earlier.Boot && a.Monotonic >= earlier.Monotonic
}

// timeBaseSince returns the time base of an earlier anchor of the same boot, advanced to this anchor.
func (a Anchor) timeBaseSince(earlier Anchor) *TimeBase {
	return NewTimeBase(a.instant, earlier.Stamp+a.Monotonic-earlier.Monotonic)
}

func readAnchor(dir string) (a Anchor, err error) {
	data, err := os.ReadFile(filepath.Join(dir, TimeBaseFile))
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	if err != nil {
		return Anchor{}, err
	}
	return a, nil
}

// WriteAnchor atomically replaces the anchor in a folder.
func WriteAnchor(dir string, a Anchor) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(dir, TimeBaseFile), data)
}

// Stamp returns the timestamp of a time, in microseconds.
func (b *TimeBase) Stamp(t time.Time) int64 {
	if b == nil {
		return t.UnixMicro()
	}
	return b.originStamp + t.Sub(b.origin).Microseconds()
}

// Time returns the time of a timestamp. The result has a monotonic clock reading, so that steps of the wall clock don't
// affect durations measured from it.
func (b *TimeBase) Time(stamp int64) time.Time {
	if b == nil {
		return time.UnixMicro(stamp)
	}
	return b.origin.Add(time.Duration(stamp-b.originStamp) * time.Microsecond)
}
