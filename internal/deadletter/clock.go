package deadletter

import "time"

// clock never goes back while the process runs: it reads the wall clock once at the start and then advances with the
// monotonic clock.
type clock struct {
	base     time.Time // wall time at the start
	start    time.Time // the same instant with its monotonic reading
	wentBack bool      // at the start the wall clock was behind the latest time in the store
}

// newClock returns a clock that starts now.
func newClock() clock {
	now := time.Now()
	return clock{base: now.Round(0), start: now}
}

// now returns the current time without a monotonic reading.
func (c *clock) now() time.Time { return c.base.Add(time.Since(c.start)) }

// advancePast moves the clock past the latest time in a store, which is in whole microseconds, if the wall clock was
// set back. The times of this process are then distinct from those of earlier processes.
func (c *clock) advancePast(latest time.Time) {
	if latest.After(c.now().Add(clockTolerance)) {
		c.base, c.wentBack = latest.Add(time.Microsecond), true
	}
}

// elapsedKnown reports whether the time that has elapsed since at can be computed. After the wall clock was set back it
// is unknown for times of earlier processes.
func (c *clock) elapsedKnown(at time.Time) bool { return !c.wentBack || !at.Before(c.base) }
