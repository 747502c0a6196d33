package control

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns basic settings with one class for each level of idempotency.
func testSettings() Settings {
	class := Class{LatencyObjective: 1000 * ms, Deadline: 8000 * ms, PriorityWeight: 1, LateWeight: 0.5,
		KeyRetention: 5000 * ms}
	idempotent, keyed, notIdempotent := class, class, class
	keyed.Idempotency, keyed.PriorityWeight = IdempotentByKey, 2
	notIdempotent.Idempotency, notIdempotent.PriorityWeight = NotIdempotent, 4
	return Settings{
		Seed: 1, FleetSize: 2, Classes: []Class{idempotent, keyed, notIdempotent}, Kinds: []Kind{{MaxBatch: 1}},
		MaxInFlight: 8, MaxOpenMessages: 200, MaxAttempts: 12, CanCancel: true, CanHealthCheck: true, CanSendRetryAfter: true,
		MaxRetryAfter:  2000 * ms,
		StreamsPerConn: 1, ConnIdleTimeout: 10000 * ms, ConnectTimeout: 1000 * ms, HeadroomIndex: 0, LimitIndex: 1,
		Tick: 5 * ms, ResponseGrace: 20 * ms, MaxPollInterval: 10000 * ms, DrainGrace: 500 * ms, ColdCapacity: 0.2,
		WarmUp: 9000 * ms, OverloadFactor: 2, OverloadWindow: 1500 * ms, OrderedPause: 700 * ms,
	}
}

// A recorder is a host that records the requested actions and fails the test if an action violates a rule.
type recorder struct {
	t            testing.TB
	c            *Controller
	cfg          Settings
	now          time.Duration
	trace        []string
	messages     map[MessageID]*trackedMessage
	list         map[EndpointID]*listedEndpoint
	submitted    []MessageID
	healthChecks []EndpointID
	timers       []timer
	watches      int
	disconnected []EndpointID
	gossiped     []Observation
}

type timer struct {
	at    time.Duration
	token uint32
}

type listedEndpoint struct {
	Endpoint
	stoppedAt  time.Duration // time when it was listed as draining or removed; 0 = never
	retryAfter time.Duration
}

type trackedMessage struct {
	Message
	class        Class
	deadline     time.Duration
	attempts     int
	inFlight     bool
	endpoint     EndpointID
	sentAt       time.Duration
	timeout      time.Duration
	mayHaveRun   bool
	firstRunAt   time.Duration
	firstRunZone int
	outcome      string
	canceled     bool
	retryAfter   time.Duration
	pausedUntil  time.Duration
}

func newRecorder(t testing.TB, cfg Settings) *recorder {
	r := &recorder{t: t, cfg: cfg, now: time.Hour, messages: map[MessageID]*trackedMessage{},
		list: map[EndpointID]*listedEndpoint{}}
	c, err := New(cfg, r)
	if err != nil {
		t.Fatal(err)
	}
	r.c = c
	return r
}

func (r *recorder) log(format string, a ...any) {
	r.trace = append(r.trace, fmt.Sprintf("%v ", r.now)+fmt.Sprintf(format, a...))
}

func (r *recorder) violation(format string, a ...any) {
	r.t.Helper()
	r.t.Fatalf("rule violated at %v: %s\n%v", r.now, fmt.Sprintf(format, a...), r.trace[max(0, len(r.trace)-12):])
}

func (r *recorder) Send(id MessageID, to EndpointID, timeout time.Duration) {
	r.log("send %d to %d for %v", id, to, timeout)
	m, e := r.messages[id], r.list[to]
	switch {
	case m == nil || m.outcome != "":
		r.violation("sent message %d, which is unknown or finished", id)
	case e == nil || e.Destination != m.Destination:
		r.violation("sent message %d to endpoint %d, which is not of its destination", id, to)
	case m.inFlight:
		r.violation("message %d has two attempts in flight", id)
	case m.mayHaveRun && m.class.Idempotency == NotIdempotent:
		r.violation("message %d, which is not idempotent, sent again", id)
	case m.mayHaveRun && m.class.Idempotency == IdempotentByKey && r.now > m.firstRunAt+m.class.KeyRetention:
		r.violation("keyed message %d sent after its key retention", id)
	case m.mayHaveRun && m.class.Idempotency == IdempotentByKey && m.class.KeyZoneScoped && e.Zone != m.firstRunZone:
		r.violation("keyed message %d sent outside its zone", id)
	case e.stoppedAt > 0 && r.now > e.stoppedAt+r.cfg.DrainGrace:
		r.violation("sent to endpoint %d after its drain", to)
	case r.now < r.retryAfterOf(e):
		r.violation("sent to endpoint %d before its Retry-After has passed", to)
	case m.attempts >= r.cfg.MaxAttempts:
		r.violation("message %d sent more often than allowed", id)
	}
	r.checkOrder(m)
	m.attempts++
	m.canceled = false
	m.inFlight, m.endpoint, m.sentAt, m.timeout = true, to, r.now, timeout
}

// retryAfterOf returns the end of the latest Retry-After that applies to an endpoint.
func (r *recorder) retryAfterOf(e *listedEndpoint) time.Duration {
	if r.cfg.Kinds[e.Kind].SeparateRoutes {
		return e.retryAfter
	}
	var end time.Duration
	for _, other := range r.list {
		if other.Destination == e.Destination {
			end = max(end, other.retryAfter)
		}
	}
	return end
}

func (r *recorder) checkOrder(m *trackedMessage) {
	if !m.class.Ordered || m.Key == 0 {
		return
	}
	for _, id := range r.submitted {
		earlier := r.messages[id]
		if earlier == m {
			return
		}
		if earlier.class.Ordered && earlier.Key == m.Key &&
			(earlier.outcome == "" || earlier.inFlight || r.now < earlier.pausedUntil) {
			r.violation("message %d sent out of order: message %d is unfinished or its key is paused", m.ID, earlier.ID)
		}
	}
}

func (r *recorder) Cancel(id MessageID, attempt int) {
	r.log("cancel %d.%d", id, attempt)
	m := r.messages[id]
	if m == nil || attempt != m.attempts-1 || !r.cfg.CanCancel {
		r.violation("canceled attempt %d of message %d, which is not the latest attempt or must not be canceled", attempt, id)
	}
	m.canceled = true
}

func (r *recorder) Reject(id MessageID, retryAfter time.Duration) {
	r.log("reject %d, retry after %v", id, retryAfter)
	m := r.messages[id]
	if m.mayHaveRun && (m.class.Idempotency == NotIdempotent || m.class.Idempotency == IdempotentByKey &&
		m.class.KeyZoneScoped) || m.inFlight {
		r.violation("message %d rejected though it may have run", id)
	}
	m.retryAfter = retryAfter
	r.finish(id, "rejected")
}

func (r *recorder) Fail(id MessageID) {
	r.log("fail %d", id)
	r.finish(id, "failed")
}

func (r *recorder) finish(id MessageID, outcome string) {
	m := r.messages[id]
	if m == nil || m.outcome != "" {
		r.violation("message %d is unknown or already answered: %s", id, outcome)
	}
	if r.now > m.deadline+r.cfg.ResponseGrace {
		r.violation("answer for message %d is %v late", id, r.now-m.deadline)
	}
	m.outcome = outcome
}

func (r *recorder) HealthCheck(to EndpointID) {
	r.log("health check %d", to)
	if e := r.list[to]; !r.cfg.CanHealthCheck || r.now < r.retryAfterOf(e) {
		r.violation("health check of endpoint %d is not allowed", to)
	}
	r.healthChecks = append(r.healthChecks, to)
}

func (r *recorder) Disconnect(to EndpointID) {
	r.log("disconnect %d", to)
	r.disconnected = append(r.disconnected, to)
}

func (r *recorder) WatchEndpoints(on bool) {
	r.log("watch %v", on)
	r.watches++
}

func (r *recorder) FetchEndpoints() { r.log("fetch") }

func (r *recorder) SetTimer(after time.Duration, token uint32) {
	r.timers = append(r.timers, timer{r.now + after, token})
}

func (r *recorder) Gossip(observation Observation) { r.gossiped = append(r.gossiped, observation) }
func (r *recorder) Log(text string)                { r.log("log %s", text) }

// updateList passes an update of the endpoint list to the controller.
func (r *recorder) updateList(kind ListUpdateKind, list ...Endpoint) {
	listed := map[EndpointID]bool{}
	for _, e := range list {
		listed[e.ID] = true
		l := r.list[e.ID]
		if l == nil {
			l = &listedEndpoint{}
			r.list[e.ID] = l
		}
		if l.Endpoint = e; e.State == Ready {
			l.stoppedAt = 0
		} else if l.stoppedAt == 0 {
			l.stoppedAt = r.now
		}
	}
	for id, l := range r.list {
		if kind == ListFull && !listed[id] && l.stoppedAt == 0 {
			l.stoppedAt = r.now
		}
	}
	r.c.UpdateEndpoints(r.now, kind, list)
	r.c.Decide(r.now)
}

// addReady lists n endpoints of a destination.
func (r *recorder) addReady(dest, n int) {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(100*dest + i), Destination: dest, State: Ready, Zone: i % 2})
	}
	r.updateList(ListDelta, list...)
}

// submit submits a message whose full deadline is left.
func (r *recorder) submit(id MessageID, class, dest int) *trackedMessage {
	return r.submitMessage(Message{ID: id, Class: class, Destination: dest, TimeLeft: r.cfg.Classes[class].Deadline})
}

func (r *recorder) submitMessage(m Message) *trackedMessage {
	r.log("submit %d class %d destination %d time left %v", m.ID, m.Class, m.Destination, m.TimeLeft)
	tracked := &trackedMessage{Message: m, class: r.cfg.Classes[m.Class], deadline: r.now + m.TimeLeft}
	r.messages[m.ID] = tracked
	r.submitted = append(r.submitted, m.ID)
	r.c.Submit(r.now, m)
	r.c.Decide(r.now)
	return tracked
}

// answer passes the result of a message's attempt in flight to the controller.
func (r *recorder) answer(id MessageID, result Result, retryAfter time.Duration, load ...float32) {
	m := r.messages[id]
	if !m.inFlight {
		r.t.Fatalf("message %d has no attempt in flight", id)
	}
	r.log("answer %d: %d", id, result)
	m.inFlight = false
	if result.MayHaveRun() && !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, m.sentAt, r.list[m.endpoint].Zone
	}
	if result == TimedOut || result == ConnectionLost || result == Canceled || result == Unknown {
		m.pausedUntil = r.now + r.cfg.OrderedPause
	}
	if retryAfter > 0 {
		r.list[m.endpoint].retryAfter = r.now + retryAfter
	}
	if result == Served && m.outcome == "" {
		m.outcome = "served"
	}
	r.c.AttemptDone(r.now, Outcome{ID: id, Attempt: m.attempts - 1, Endpoint: m.endpoint, Result: result,
		Elapsed: r.now - m.sentAt, Final: m.outcome != "", RetryAfter: retryAfter, LoadReport: load})
	r.c.Decide(r.now)
}

// advance advances the time tick by tick. It fires the timers and the timeouts of attempts.
func (r *recorder) advance(duration time.Duration) {
	for end := r.now + duration; r.now < end; {
		r.now += r.cfg.Tick
		for i := 0; i < len(r.timers); i++ {
			if timer := r.timers[i]; timer.at <= r.now {
				r.timers = slices.Delete(r.timers, i, i+1)
				i--
				r.c.TimerFired(r.now, timer.token)
				r.c.Decide(r.now)
			}
		}
		for _, id := range r.submitted {
			m := r.messages[id]
			if m.inFlight && m.canceled {
				m.canceled = false
				r.answer(id, Canceled, 0)
			}
			if m.inFlight && r.now >= m.sentAt+m.timeout {
				r.answer(id, TimedOut, 0)
			}
			if m.outcome == "" && r.now > m.deadline+r.cfg.ResponseGrace {
				r.violation("message %d was not answered in time", id)
			}
		}
	}
}

// serve advances the time and answers every attempt as served after callTime.
func (r *recorder) serve(duration, callTime time.Duration, load ...float32) {
	for end := r.now + duration; r.now < end; {
		r.advance(r.cfg.Tick)
		for _, id := range r.submitted {
			if m := r.messages[id]; m.inFlight && r.now >= m.sentAt+callTime {
				r.answer(id, Served, 0, load...)
			}
		}
	}
}

// attemptsInFlight returns the number of attempts in flight at a destination.
func (r *recorder) attemptsInFlight(dest int) int {
	n := 0
	for _, m := range r.messages {
		if m.inFlight && m.Destination == dest {
			n++
		}
	}
	return n
}
