package control

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns plain settings: one safe, one keyed and one unsafe class.
func settings() Settings {
	class := Class{LatencyObjective: 1000 * ms, Deadline: 8000 * ms, PriorityWeight: 1, LateWeight: 0.5, KeyRetention: 5000 * ms}
	safe, keyed, unsafe := class, class, class
	keyed.Idempotency, keyed.PriorityWeight = IdempotentByKey, 2
	unsafe.Idempotency, unsafe.PriorityWeight = NotIdempotent, 4
	return Settings{
		Seed: 1, FleetSize: 2, Classes: []Class{safe, keyed, unsafe}, Kinds: []Kind{{MaxBatch: 1}}, MaxInFlight: 8,
		MaxOpenMessages: 200, MaxAttempts: 12, CanCancel: true, CanHealthCheck: true, CanSendRetryAfter: true, MaxRetryAfter: 2000 * ms,
		StreamsPerConn: 1, ConnIdleTimeout: 10000 * ms, ConnectTimeout: 1000 * ms, HeadroomIndex: 0, LimitIndex: 1,
		Tick: 5 * ms, ResponseGrace: 20 * ms, MaxPollInterval: 10000 * ms, DrainGrace: 500 * ms, ColdCapacity: 0.2,
		WarmUp: 9000 * ms, OverloadFactor: 2, OverloadWindow: 1500 * ms, OrderedPause: 700 * ms,
	}
}

// A recorder carries out actions and holds them to the rules.
type recorder struct {
	t        testing.TB
	c        *Controller
	set      Settings
	now      time.Duration
	trace    []string
	msgs     map[MessageID]*tracked
	list     map[EndpointID]*listed
	arrivals []MessageID
	probes   []EndpointID
	wakes    []wake
	watches  int
	closed   []EndpointID
	told     []Observation
}

type wake struct {
	at    time.Duration
	token uint32
}

type listed struct {
	Endpoint
	stop time.Duration // told that it drains or is gone; 0 = never
	wait time.Duration
}

type tracked struct {
	Message
	class     Class
	due       time.Duration
	sends     int
	out       bool
	to        EndpointID
	sentAt    time.Duration
	timeout   time.Duration
	ran       bool
	ranAt     time.Duration
	ranZone   int
	final     string
	cancelled bool
	advice    time.Duration
	restTill  time.Duration
}

func newRecorder(t testing.TB, set Settings) *recorder {
	r := &recorder{t: t, set: set, now: time.Hour, msgs: map[MessageID]*tracked{}, list: map[EndpointID]*listed{}}
	c, err := New(set, r)
	if err != nil {
		t.Fatal(err)
	}
	r.c = c
	return r
}

func (r *recorder) log(format string, a ...any) {
	r.trace = append(r.trace, fmt.Sprintf("%v ", r.now)+fmt.Sprintf(format, a...))
}

func (r *recorder) broken(format string, a ...any) {
	r.t.Helper()
	r.t.Fatalf("rule broken at %v: %s\n%v", r.now, fmt.Sprintf(format, a...), r.trace[max(0, len(r.trace)-12):])
}

func (r *recorder) Send(id MessageID, to EndpointID, timeout time.Duration) {
	r.log("send %d to %d for %v", id, to, timeout)
	m, e := r.msgs[id], r.list[to]
	switch {
	case m == nil || m.final != "":
		r.broken("sent message %d, which is over", id)
	case e == nil || e.Destination != m.Destination:
		r.broken("sent message %d to endpoint %d, not of its destination", id, to)
	case m.out:
		r.broken("message %d has two attempts out", id)
	case m.ran && m.class.Idempotency == NotIdempotent:
		r.broken("unsafe message %d sent again", id)
	case m.ran && m.class.Idempotency == IdempotentByKey && r.now > m.ranAt+m.class.KeyRetention:
		r.broken("keyed message %d sent after its memory", id)
	case m.ran && m.class.Idempotency == IdempotentByKey && m.class.KeyZoneScoped && e.Zone != m.ranZone:
		r.broken("keyed message %d sent outside its zone", id)
	case e.stop > 0 && r.now > e.stop+r.set.DrainGrace:
		r.broken("sent to endpoint %d after its drain", to)
	case r.now < r.waitOf(e):
		r.broken("sent to endpoint %d before its wait is over", to)
	case m.sends >= r.set.MaxAttempts:
		r.broken("message %d sent too often", id)
	}
	r.checkTurn(m)
	m.sends++
	m.cancelled = false
	m.out, m.to, m.sentAt, m.timeout = true, to, r.now, timeout
}

// waitOf is the end of the waits that bind an endpoint.
func (r *recorder) waitOf(e *listed) time.Duration {
	if r.set.Kinds[e.Kind].SeparateRoutes {
		return e.wait
	}
	var end time.Duration
	for _, o := range r.list {
		if o.Destination == e.Destination {
			end = max(end, o.wait)
		}
	}
	return end
}

func (r *recorder) checkTurn(m *tracked) {
	if !m.class.Ordered || m.Key == 0 {
		return
	}
	for _, id := range r.arrivals {
		o := r.msgs[id]
		if o == m {
			return
		}
		if o.class.Ordered && o.Key == m.Key && (o.final == "" || o.out || r.now < o.restTill) {
			r.broken("message %d sent out of its turn, after %d", m.ID, o.ID)
		}
	}
}

func (r *recorder) Cancel(id MessageID, attempt int) {
	r.log("cancel %d.%d", id, attempt)
	m := r.msgs[id]
	if m == nil || attempt != m.sends-1 || !r.set.CanCancel {
		r.broken("cancelled attempt %d of message %d, which was never made", attempt, id)
	}
	m.cancelled = true
}

func (r *recorder) Reject(id MessageID, after time.Duration) {
	r.log("refuse %d, back after %v", id, after)
	m := r.msgs[id]
	if m.ran && (m.class.Idempotency == NotIdempotent || m.class.Idempotency == IdempotentByKey && m.class.KeyZoneScoped) || m.out {
		r.broken("message %d refused though it may have run", id)
	}
	m.advice = after
	r.end(id, "refused")
}

func (r *recorder) Fail(id MessageID) {
	r.log("fail %d", id)
	r.end(id, "failed")
}

func (r *recorder) end(id MessageID, how string) {
	m := r.msgs[id]
	if m == nil || m.final != "" {
		r.broken("second answer for message %d: %s", id, how)
	}
	if r.now > m.due+r.set.ResponseGrace {
		r.broken("answer for message %d came %v late", id, r.now-m.due)
	}
	m.final = how
}

func (r *recorder) HealthCheck(to EndpointID) {
	r.log("probe %d", to)
	if e := r.list[to]; !r.set.CanHealthCheck || r.now < r.waitOf(e) {
		r.broken("probe of %d against the rules", to)
	}
	r.probes = append(r.probes, to)
}

func (r *recorder) Disconnect(to EndpointID) {
	r.log("close %d", to)
	r.closed = append(r.closed, to)
}

func (r *recorder) Watch(on bool) {
	r.log("watch %v", on)
	r.watches++
}

func (r *recorder) Fetch() { r.log("fetch") }

func (r *recorder) SetTimer(after time.Duration, token uint32) {
	r.wakes = append(r.wakes, wake{r.now + after, token})
}

func (r *recorder) Gossip(n Observation) { r.told = append(r.told, n) }
func (r *recorder) Log(text string)      { r.log("log %s", text) }

// lists tells of endpoints.
func (r *recorder) lists(news ListUpdateKind, list ...Endpoint) {
	named := map[EndpointID]bool{}
	for _, e := range list {
		named[e.ID] = true
		l := r.list[e.ID]
		if l == nil {
			l = &listed{}
			r.list[e.ID] = l
		}
		if l.Endpoint = e; e.State == Ready {
			l.stop = 0
		} else if l.stop == 0 {
			l.stop = r.now
		}
	}
	for id, l := range r.list {
		if news == ListFull && !named[id] && l.stop == 0 {
			l.stop = r.now
		}
	}
	r.c.UpdateEndpoints(r.now, news, list)
	r.c.Decide(r.now)
}

// ready lists n endpoints of a destination.
func (r *recorder) ready(dest, n int) {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(100*dest + i), Destination: dest, State: Ready, Zone: i % 2})
	}
	r.lists(ListDelta, list...)
}

// arrive hands in a message with all its time left.
func (r *recorder) arrive(id MessageID, class, dest int) *tracked {
	return r.hand(Message{ID: id, Class: class, Destination: dest, TimeLeft: r.set.Classes[class].Deadline})
}

func (r *recorder) hand(m Message) *tracked {
	r.log("arrive %d class %d dest %d left %v", m.ID, m.Class, m.Destination, m.TimeLeft)
	k := &tracked{Message: m, class: r.set.Classes[m.Class], due: r.now + m.TimeLeft}
	r.msgs[m.ID] = k
	r.arrivals = append(r.arrivals, m.ID)
	r.c.Submit(r.now, m)
	r.c.Decide(r.now)
	return k
}

// answer ends the attempt that a message has out.
func (r *recorder) answer(id MessageID, res Result, wait time.Duration, load ...float32) {
	m := r.msgs[id]
	if !m.out {
		r.t.Fatalf("message %d has no attempt out", id)
	}
	r.log("answer %d: %d", id, res)
	m.out = false
	if res.MayHaveRun() && !m.ran {
		m.ran, m.ranAt, m.ranZone = true, m.sentAt, r.list[m.to].Zone
	}
	if res == TimedOut || res == ConnectionLost || res == Canceled || res == Unknown {
		m.restTill = r.now + r.set.OrderedPause
	}
	if wait > 0 {
		r.list[m.to].wait = r.now + wait
	}
	if res == Served && m.final == "" {
		m.final = "served"
	}
	r.c.AttemptDone(r.now, Outcome{ID: id, Attempt: m.sends - 1, Endpoint: m.to, Result: res, Elapsed: r.now - m.sentAt,
		Final: m.final != "", RetryAfter: wait, LoadReport: load})
	r.c.Decide(r.now)
}

// pass lets time go by, tick by tick: timers come due, attempts time out.
func (r *recorder) pass(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += r.set.Tick
		for i := 0; i < len(r.wakes); i++ {
			if w := r.wakes[i]; w.at <= r.now {
				r.wakes = slices.Delete(r.wakes, i, i+1)
				i--
				r.c.TimerFired(r.now, w.token)
				r.c.Decide(r.now)
			}
		}
		for _, id := range r.arrivals {
			m := r.msgs[id]
			if m.out && m.cancelled {
				m.cancelled = false
				r.answer(id, Canceled, 0)
			}
			if m.out && r.now >= m.sentAt+m.timeout {
				r.answer(id, TimedOut, 0)
			}
			if m.final == "" && r.now > m.due+r.set.ResponseGrace {
				r.broken("message %d lost", id)
			}
		}
	}
}

// serve answers every attempt that is out, over and over, after a call time.
func (r *recorder) serve(d, took time.Duration, load ...float32) {
	for end := r.now + d; r.now < end; {
		r.pass(r.set.Tick)
		for _, id := range r.arrivals {
			if m := r.msgs[id]; m.out && r.now >= m.sentAt+took {
				r.answer(id, Served, 0, load...)
			}
		}
	}
}

// out counts the attempts out at a destination.
func (r *recorder) out(dest int) int {
	n := 0
	for _, m := range r.msgs {
		if m.out && m.Destination == dest {
			n++
		}
	}
	return n
}
