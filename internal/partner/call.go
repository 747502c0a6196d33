package partner

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Message is one message of a call.
type Message struct {
	ID    string
	Key   string // empty: each call of it takes effect
	Class int    // as its effect tells it
}

// Call is one call that has come in whole.
type Call struct {
	ID           uint64
	Sender       int
	Endpoint     string
	Fresh        bool // the first on its connection
	OverCapacity bool // on a connection that is one too many
	HealthCheck  bool // without messages
	Messages     []Message
}

// AnswerKind says how a call is answered.
type AnswerKind uint8

// The kinds of answer.
const (
	Delivered AnswerKind = iota
	Errored
	Rejected
	Reset   // the connection breaks
	Garbled // an answer that can't be read
	Unprocessable
)

func (k AnswerKind) String() string {
	return [...]string{"delivered", "error", "refused", "reset", "spoilt", "rejected"}[k]
}

// Answer ends a call. A call that gets none was taken in by a silent endpoint.
type Answer struct {
	Call       uint64
	At         time.Duration
	Kind       AnswerKind
	RetryAfter time.Duration // told with a refusal; 0 = none
}

// A job is a call that was taken in.
type job struct {
	Call
	endpoint   *endpoint
	workLeft   time.Duration // left to do, at full speed
	since      time.Duration // running since
	endsAt     time.Duration
	version    uint64 // of its entry in the agenda
	running    bool
	canceled   bool
	answer     AnswerKind
	failsEarly bool // Breaking: before its effect
	unanswered bool
}

// Call takes a call in, on an open connection. Its answer comes by Answers.
func (m *Model) Call(now time.Duration, c Call) error {
	m.Advance(now)
	e := m.endpoints[c.Endpoint]
	if e == nil || e.removed {
		return ErrUnknown
	}
	if m.jobs[c.ID] != nil {
		return fmt.Errorf("partner: call %d is out already", c.ID)
	}
	answer := func(k AnswerKind, wait time.Duration) {
		if c.HealthCheck {
			wait = 0 // PROTOCOL: a probe is answered 200 or 503
		}
		m.answers = append(m.answers, Answer{c.ID, m.now, k, wait})
	}
	t := e.fault
	if t.Mode != Overloaded {
		m.checkOverload(e.route, c.Sender)
	}
	switch {
	case t.Mode == Down || t.Mode == Overloaded:
		answer(Reset, 0)
		return nil
	case t.Mode == Shut:
		answer(Rejected, m.retryAfter(e, t.Until))
		return nil
	case t.Mode == Draining, c.OverCapacity && t.Mode != Unresponsive:
		answer(Rejected, 0)
		return nil
	case len(c.Messages) > e.dest.MaxBatch || !c.HealthCheck && len(c.Messages) == 0:
		answer(Unprocessable, 0)
		return nil
	case t.Mode != Unresponsive && !m.admit(e): // a silent one refuses nobody
		answer(Rejected, m.retryAfter(e, 0))
		return nil
	case c.HealthCheck && t.Mode != Unresponsive && t.Mode != Paused: // answered beside the queue
		answer(Delivered, 0)
		return nil
	case len(e.running) >= e.dest.Servers && len(e.queue) >= e.dest.QueueLength:
		answer(Rejected, m.retryAfter(e, 0))
		return nil
	}
	j := &job{Call: c, endpoint: e, workLeft: m.draw(e.dest, &c), unanswered: t.Mode == Unresponsive}
	switch t.Mode {
	case ReturningErrors:
		if m.rng.Float64() < t.Share {
			j.answer, j.workLeft = Errored, j.workLeft/10 // they fail quickly
		}
	case BreakingConnections:
		if m.rng.Float64() < t.Share {
			j.answer, j.failsEarly = Reset, m.rng.IntN(2) == 0
		}
	case GarblingAnswers:
		if m.rng.Float64() < t.Share {
			j.answer = Garbled
		}
	}
	m.jobs[c.ID] = j
	e.queue = append(e.queue, j)
	m.startQueued(e)
	return nil
}

// draw is the work of a call: lognormal around the mean, more for each further
// message, and for a connection that is new.
func (m *Model) draw(d *destination, c *Call) time.Duration {
	x := 1.0
	if d.CV > 0 {
		sigma := math.Sqrt(math.Log(1 + d.CV*d.CV))
		x = math.Exp(sigma*m.rng.NormFloat64() - sigma*sigma/2)
	}
	x *= 1 + d.ItemCost*float64(max(0, len(c.Messages)-1))
	work := time.Duration(x * float64(d.Mean))
	if c.Fresh {
		work += d.ConnCost
	}
	return max(work, time.Microsecond)
}

// Cancel tells that a sender waits no more for a call. Its connection is gone, also
// where the call has ended meanwhile. The work may go on, and take effect.
func (m *Model) Cancel(now time.Duration, id uint64, endpoint string) {
	m.Advance(now)
	j := m.jobs[id]
	if j == nil {
		m.Disconnect(now, endpoint)
		return
	}
	if j.canceled {
		return
	}
	j.canceled = true
	j.endpoint.conns = max(0, j.endpoint.conns-1)
	if m.rng.Float64() < j.endpoint.dest.StopsOnCancel {
		m.abort(j)
	}
}

// abort ends a job without its effect.
func (m *Model) abort(j *job) {
	e := j.endpoint
	m.updateWork(e)
	delete(m.jobs, j.ID)
	same := func(o *job) bool { return o == j }
	e.running, e.queue = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.queue, same)
	j.version = 0
	m.schedule(e)
	m.startQueued(e)
}

// resetAll breaks all connections of an endpoint, with the calls on them. What was
// being worked on has not taken effect.
func (m *Model) resetAll(e *endpoint) {
	for _, j := range slices.Concat(e.running, e.queue) {
		delete(m.jobs, j.ID)
		j.version = 0
		if !j.canceled {
			m.answers = append(m.answers, Answer{j.ID, m.now, Reset, 0})
		}
	}
	e.running, e.queue, e.conns = nil, nil, 0
}

// finish ends a job: its effect, and its answer if somebody waits for it.
func (m *Model) finish(j *job) {
	e := j.endpoint
	delete(m.jobs, j.ID)
	j.version = 0
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	errored := j.answer == Errored
	if !errored && !(j.answer == Reset && j.failsEarly) {
		m.applyEffects(j)
	}
	if !j.canceled && !j.unanswered {
		m.answers = append(m.answers, Answer{j.ID, m.now, j.answer, 0})
	}
	m.startQueued(e)
}
