package partner

import (
	"math"
	"time"
)

// A scheduledCompletion is the time at which a job ends or its speed is computed again. It is stale if its version is
// no longer the job's.
type scheduledCompletion struct {
	version uint64
	job     *job
}

// speed returns the current processing speed of an endpoint as a fraction of its full speed.
func (m *Model) speed(e *endpoint) float64 {
	speed := m.capacity(e.route)
	switch {
	case e.fault.Mode == Paused:
		return 0
	case e.fault.Mode == Slow && e.fault.Factor > 0:
		speed /= e.fault.Factor
	}
	return speed
}

// updateWork subtracts the work done since the last update from the running jobs of an endpoint.
func (m *Model) updateWork(e *endpoint) {
	x := m.speed(e)
	for _, j := range e.running {
		j.workLeft = max(0, j.workLeft-time.Duration(float64(m.now-j.since)*x))
		j.since = m.now
	}
}

// scheduleCompletions queues the completions of an endpoint's running jobs at its current speed. While the endpoint
// warms up, its speed changes, and the completions are computed again at a fixed interval.
func (m *Model) scheduleCompletions(e *endpoint) {
	const interval = 250 * time.Millisecond // between computations during warm-up
	x := m.speed(e)
	for _, j := range e.running {
		if x <= 0 {
			j.version = 0
			continue
		}
		at := m.now + time.Duration(math.Ceil(float64(j.workLeft)/x))
		if x < 1 && e.route.warming {
			at = min(at, m.now+interval)
		}
		m.serial++
		j.version = m.serial
		m.completions.Push(at, j.version, scheduledCompletion{j.version, j})
	}
}

// startQueued starts queued jobs on free servers.
func (m *Model) startQueued(e *endpoint) {
	started := false
	for len(e.running) < e.dest.Servers && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.since = m.now
		e.running = append(e.running, j)
		started = true
	}
	if started {
		m.updateWork(e)
		m.scheduleCompletions(e)
	}
}

// Next returns the time of the model's next scheduled completion; false if there is none.
func (m *Model) Next() (time.Duration, bool) {
	for {
		at, e, ok := m.completions.First()
		if !ok || e.version == e.job.version {
			return at, ok
		}
		m.completions.Pop()
	}
}

// Advance advances the time to now. Completions that are due until then happen at their own times.
func (m *Model) Advance(now time.Duration) {
	for {
		at, ok := m.Next()
		if !ok || at > now {
			break
		}
		_, due := m.completions.Pop()
		j := due.job
		m.now = max(m.now, at)
		e := j.endpoint
		m.updateWork(e)
		if j.workLeft > time.Microsecond {
			m.scheduleCompletions(e)
			continue
		}
		m.finish(j)
	}
	m.now = max(m.now, now)
}
