package partner

import (
	"math"
	"time"
)

// An agendaEntry is a time at which a job ends or changes its speed. It is void once the job has another version.
type agendaEntry struct {
	version uint64
	job     *job
}

// speed returns how fast an endpoint works now; 1 is its full speed.
func (m *Model) speed(e *endpoint) float64 {
	x := m.capacity(e.route)
	switch {
	case e.fault.Mode == Paused:
		return 0
	case e.fault.Mode == Slow && e.fault.Factor > 0:
		x /= e.fault.Factor
	}
	return x
}

// updateWork subtracts what the running jobs of an endpoint have done since the last update.
func (m *Model) updateWork(e *endpoint) {
	x := m.speed(e)
	for _, j := range e.running {
		j.workLeft = max(0, j.workLeft-time.Duration(float64(m.now-j.since)*x))
		j.since = m.now
	}
}

// schedule enters the ends of an endpoint's running jobs, at its present speed, into the agenda. While the endpoint
// warms up its speed changes, and the ends are computed again from time to time.
func (m *Model) schedule(e *endpoint) {
	const interval = 250 * time.Millisecond // between computations while it warms up
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
		m.agenda.Push(at, j.version, agendaEntry{j.version, j})
	}
}

// startQueued gives the calls that wait to free servers.
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
		m.schedule(e)
	}
}

// Next returns the next time at which the model changes by itself; false where there is none.
func (m *Model) Next() (time.Duration, bool) {
	for {
		at, e, ok := m.agenda.First()
		if !ok || e.version == e.job.version {
			return at, ok
		}
		m.agenda.Pop()
	}
}

// Advance moves the time on. What happens meanwhile happens at its own time.
func (m *Model) Advance(now time.Duration) {
	for {
		at, ok := m.Next()
		if !ok || at > now {
			break
		}
		_, due := m.agenda.Pop()
		j := due.job
		m.now = max(m.now, at)
		e := j.endpoint
		m.updateWork(e)
		if j.workLeft > time.Microsecond {
			m.schedule(e)
			continue
		}
		m.finish(j)
	}
	m.now = max(m.now, now)
}
