package partner

import (
	"math"
	"time"
)

// An agendaEntry of the agenda; one whose version is not its job's any more is void.
type agendaEntry struct {
	version uint64
	job     *job
}

// speed is how fast an endpoint works now.
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

// updateWork enters what the running jobs of an endpoint have done so far.
func (m *Model) updateWork(e *endpoint) {
	x := m.speed(e)
	for _, j := range e.running {
		j.workLeft = max(0, j.workLeft-time.Duration(float64(m.now-j.since)*x))
		j.since = m.now
	}
}

// schedule plans the ends of an endpoint's running jobs at its present speed. One
// that warms up is looked at again from time to time.
func (m *Model) schedule(e *endpoint) {
	const look = 250 * time.Millisecond
	x := m.speed(e)
	for _, j := range e.running {
		if x <= 0 {
			j.version = 0
			continue
		}
		j.endsAt = m.now + time.Duration(math.Ceil(float64(j.workLeft)/x))
		at := j.endsAt
		if x < 1 && e.route.warming {
			at = min(at, m.now+look)
		}
		m.serial++
		j.version = m.serial
		m.agenda.Push(at, j.version, agendaEntry{j.version, j})
	}
}

// startQueued gives free servers the calls that wait.
func (m *Model) startQueued(e *endpoint) {
	started := false
	for len(e.running) < e.dest.Servers && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.running, j.since = true, m.now
		e.running = append(e.running, j)
		started = true
	}
	if started {
		m.updateWork(e)
		m.schedule(e)
	}
}

// Next is when something happens by itself; false where nothing will.
func (m *Model) Next() (time.Duration, bool) {
	for {
		at, e, some := m.agenda.First()
		if !some || e.version == e.job.version {
			return at, some
		}
		m.agenda.Pop()
	}
}

// Advance lets the time pass. What happens meanwhile happens at its own instant.
func (m *Model) Advance(now time.Duration) {
	for {
		at, some := m.Next()
		if !some || at > now {
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
