package deadletter

import "time"

// A clock is one that never goes back while the process runs, whatever the
// machine's does.
type clock struct {
	base     time.Time // at the start, by the machine's clock
	start    time.Time // the same, with the monotonic reading
	wentBack bool      // at the start the machine's clock stood before the latest time in the store
}

func newClock() clock {
	now := time.Now()
	return clock{base: now.Round(0), start: now}
}

func (c *clock) now() time.Time { return c.base.Add(time.Since(c.start)) }

// adopt takes the latest time that a store has seen, in whole microseconds. Where the machine's clock went back this
// process's times begin there: none of them is one of before, however long the store took to open.
func (c *clock) adopt(latest time.Time) {
	if latest.After(c.now().Add(clockTolerance)) {
		c.base, c.wentBack = latest.Add(time.Microsecond), true
	}
}

// certain tells whether the time since another can be told.
func (c *clock) certain(at time.Time) bool { return !c.wentBack || !at.Before(c.base) }
