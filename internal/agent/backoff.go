package agent

import "time"

// A restartBackoff bounds restarts: so many within a span, each after a pause that doubles, until one has run for a while.
type restartBackoff struct {
	starts []time.Time
	delay  time.Duration
}

// nextStart is when a process that has ended after so long may be started again.
func (b *restartBackoff) nextStart(ran time.Duration, now time.Time) time.Time {
	b.delay = min(max(2*b.delay, minRestartDelay), maxRestartDelay)
	if ran > startWindow {
		b.delay = minRestartDelay
	}
	at := now.Add(b.delay)
	for len(b.starts) > 0 && now.Sub(b.starts[0]) > startWindow {
		b.starts = b.starts[1:]
	}
	if len(b.starts) >= maxStarts {
		at = latest(at, b.starts[0].Add(startWindow))
	}
	return at
}

func (b *restartBackoff) started(now time.Time) { b.starts = append(b.starts, now) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
