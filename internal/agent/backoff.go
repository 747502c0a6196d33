package agent

import "time"

// The delays are the same as those with which the platform restarts a process.
const (
	minRestartDelay = 600 * time.Millisecond
	maxRestartDelay = 15 * time.Second
	maxStarts       = 6 // maximum number of starts within startWindow
	startWindow     = time.Minute
)

// restartBackoff limits the restarts of a process. The delay doubles with each restart up to maxRestartDelay, and is
// reset when a process has run for longer than startWindow. There are at most maxStarts starts within startWindow. The
// zero value is ready for use.
type restartBackoff struct {
	starts []time.Time
	delay  time.Duration
}

// nextStart returns the time of the next start of a process that has ended after runTime.
func (b *restartBackoff) nextStart(runTime time.Duration, now time.Time) time.Time {
	b.delay = min(max(2*b.delay, minRestartDelay), maxRestartDelay)
	if runTime > startWindow {
		b.delay = minRestartDelay
	}
	next := now.Add(b.delay)
	for len(b.starts) > 0 && now.Sub(b.starts[0]) > startWindow {
		b.starts = b.starts[1:]
	}
	if len(b.starts) >= maxStarts {
		if earliest := b.starts[0].Add(startWindow); earliest.After(next) {
			next = earliest
		}
	}
	return next
}

// started records a start.
func (b *restartBackoff) started(now time.Time) { b.starts = append(b.starts, now) }
