package partner

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Message is a message of a call.
type Message struct {
	ID    string
	Key   string // idempotency key; empty: each call with the message takes effect
	Class int    // copied to the effect
}

// Call is a call that an endpoint has received completely.
type Call struct {
	ID            uint64
	Sender        int
	Endpoint      string
	NewConnection bool // the first on its connection
	OverCapacity  bool // on a connection for which Connect returned ConnectionOverCapacity
	HealthCheck   bool // without messages
	Messages      []Message
}

// AnswerKind is the kind of an answer to a call.
type AnswerKind uint8

// The kinds of answer.
const (
	Delivered AnswerKind = iota
	Errored
	Rejected
	Reset   // the connection was reset
	Garbled // the answer cannot be read
	Unprocessable
)

// String returns the kind as written to a ledger as a cause.
func (k AnswerKind) String() string {
	return [...]string{"delivered", "error", "refused", "reset", "spoilt", "rejected"}[k]
}

// Answer is the answer that ends a call. Calls to an unresponsive endpoint get none.
type Answer struct {
	Call       uint64
	At         time.Duration
	Kind       AnswerKind
	RetryAfter time.Duration // of a rejection; 0: none
}

// A job is a call that is queued for a server or runs on one.
type job struct {
	Call
	endpoint          *endpoint
	workLeft          time.Duration // remaining work, in time at full speed, as of since
	since             time.Duration // time of the last update of workLeft
	version           uint64        // of its scheduledCompletion; 0: none
	canceled          bool
	answer            AnswerKind
	resetBeforeEffect bool // Reset: before its effect
	noAnswer          bool // it gets no answer
}

// Call delivers a call to an endpoint on an open connection. Answers returns the answer later. Call returns
// ErrUnknownEndpoint for an endpoint that was removed or that the model does not have.
func (m *Model) Call(now time.Duration, c Call) error {
	m.Advance(now)
	e := m.endpoints[c.Endpoint]
	if e == nil || e.removed {
		return ErrUnknownEndpoint
	}
	if m.jobs[c.ID] != nil {
		return fmt.Errorf("partner: call %d is already in flight", c.ID)
	}
	f := e.fault // if this call overloads the route, it is still handled with the fault from before
	if f.Mode != Overloaded {
		m.checkOverload(e.route, c.Sender)
	}
	if kind, retryAfter, done := m.answerImmediately(e, f, &c); done {
		if c.HealthCheck {
			retryAfter = 0 // PROTOCOL: a health check is answered with 200 or 503 only
		}
		m.answers = append(m.answers, Answer{c.ID, m.now, kind, retryAfter})
		return nil
	}
	j := m.newJob(e, f, c)
	m.jobs[c.ID] = j
	e.queue = append(e.queue, j)
	m.startQueued(e)
	return nil
}

// answerImmediately returns the answer to a call that an endpoint with fault f answers without a server. For a call
// that needs a server, done is false.
func (m *Model) answerImmediately(
	e *endpoint, f Fault, c *Call,
) (kind AnswerKind, retryAfter time.Duration, done bool) {
	switch {
	case f.Mode == Down || f.Mode == Overloaded:
		return Reset, 0, true
	case f.Mode == Shut:
		return Rejected, m.retryAfter(e, f.Until), true
	case f.Mode == Draining, c.OverCapacity && f.Mode != Unresponsive:
		return Rejected, 0, true
	case len(c.Messages) > e.dest.MaxBatch || !c.HealthCheck && len(c.Messages) == 0:
		return Unprocessable, 0, true
	case f.Mode != Unresponsive && !m.admit(e): // an unresponsive endpoint rejects no calls
		return Rejected, m.retryAfter(e, 0), true
	case c.HealthCheck && f.Mode != Unresponsive && f.Mode != Paused: // health checks need no server
		return Delivered, 0, true
	case len(e.running) >= e.dest.Servers && len(e.queue) >= e.dest.QueueLength:
		return Rejected, m.retryAfter(e, 0), true
	}
	return 0, 0, false
}

// newJob returns the job of a call. It draws the work and, as the endpoint's fault requires, the answer.
func (m *Model) newJob(e *endpoint, f Fault, c Call) *job {
	j := &job{Call: c, endpoint: e, workLeft: m.drawWork(e.dest, &c), noAnswer: f.Mode == Unresponsive}
	switch f.Mode {
	case ReturningErrors:
		if m.rng.Float64() < f.Share {
			j.answer, j.workLeft = Errored, j.workLeft/10 // errors are returned quickly
		}
	case BreakingConnections:
		if m.rng.Float64() < f.Share {
			j.answer, j.resetBeforeEffect = Reset, m.rng.IntN(2) == 0
		}
	case GarblingAnswers:
		if m.rng.Float64() < f.Share {
			j.answer = Garbled
		}
	}
	return j
}

// drawWork draws the work of a call from a lognormal distribution. Each further message and a new connection add work.
func (m *Model) drawWork(d *destination, c *Call) time.Duration {
	factor := 1.0
	if d.CV > 0 {
		sigma := math.Sqrt(math.Log(1 + d.CV*d.CV))
		factor = math.Exp(sigma*m.rng.NormFloat64() - sigma*sigma/2)
	}
	factor *= 1 + d.ItemCost*float64(max(0, len(c.Messages)-1))
	work := time.Duration(factor * float64(d.Mean))
	if c.NewConnection {
		work += d.ConnCost
	}
	return max(work, time.Microsecond)
}

// Cancel notifies an endpoint that the sender closed a call's connection. The call may have ended meanwhile. The
// endpoint may still finish the work, and the messages then take effect.
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
		m.stopWork(j)
	}
}

// stopWork ends a job before its messages take effect.
func (m *Model) stopWork(j *job) {
	e := j.endpoint
	m.updateWork(e)
	delete(m.jobs, j.ID)
	isJob := func(o *job) bool { return o == j }
	e.running, e.queue = slices.DeleteFunc(e.running, isJob), slices.DeleteFunc(e.queue, isJob)
	j.version = 0
	m.scheduleCompletions(e)
	m.startQueued(e)
}

// resetAll resets all connections of an endpoint. The calls on them end without an effect.
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

// finish completes a job: its messages take effect, unless the fault prevents that, and the call is answered if the
// sender still waits for the answer.
func (m *Model) finish(j *job) {
	e := j.endpoint
	delete(m.jobs, j.ID)
	j.version = 0
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	if j.answer != Errored && !(j.answer == Reset && j.resetBeforeEffect) {
		m.applyEffects(j)
	}
	if !j.canceled && !j.noAnswer {
		m.answers = append(m.answers, Answer{j.ID, m.now, j.answer, 0})
	}
	m.startQueued(e)
}
