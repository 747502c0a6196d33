package deadletter

import "time"

// clock is a clock that never goes back while the process runs: it is set by the wall clock once and goes on with the
// monotonic clock.
type clock struct {
	base     time.Time // wall time of the start
	start    time.Time // the same instant with its monotonic reading
	wentBack bool      // at the start the wall clock was before the latest time in the store
}

// newClock returns a clock that starts now.
func newClock() clock {
	now := time.Now()
	return clock{base: now.Round(0), start: now}
}

// now returns the current time without a monotonic reading.
func (c *clock) now() time.Time { return c.base.Add(time.Since(c.start)) }

// advancePast takes the latest time in a store, in whole microseconds. If the wall clock went back, the times of this
// process begin behind it, so that they stay distinct from those of before.
func (c *clock) advancePast(latest time.Time) {
	if latest.After(c.now().Add(clockTolerance)) {
		c.base, c.wentBack = latest.Add(time.Microsecond), true
	}
}

// elapsedKnown reports whether the time since at is known.
func (c *clock) elapsedKnown(at time.Time) bool { return !c.wentBack || !at.Before(c.base) }
