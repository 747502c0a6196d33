package partner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/timeline"
)

// Model is a set of destinations. It is not safe for concurrent use. Times are
// counted from its start and never go back.
type Model struct {
	rng          *rand.Rand
	now          time.Duration
	destinations map[int]*destination
	endpoints    map[string]*endpoint
	jobs         map[uint64]*job
	agenda       timeline.Queue[agendaEntry]
	answers      []Answer
	effects      []Effect
	overloads    []Overload
	serial       uint64
}

// A route is what a limit, a wait and a fall hold for.
type route struct {
	dest        *destination
	endpoint    *endpoint // a route apart
	tokens      float64
	filledAt    time.Duration
	window      int64 // Window: the number of the span...
	count       int   // ...and what it has taken
	recoveredAt time.Duration
	warming     bool
	arrivals    []arrival
}

type arrival struct {
	at     time.Duration
	sender int
}

type destination struct {
	Spec
	route     *route
	endpoints []*endpoint
	seenKeys  map[string]keyUse
	sweepAt   time.Duration // keys are looked through then
}

// keyUse is where and when a key was seen first.
type keyUse struct {
	at       time.Duration
	zone     int
	endpoint string
}

type endpoint struct {
	EndpointSpec
	dest    *destination
	route   *route
	fault   Fault
	running []*job
	queue   []*job
	conns   int
	removed bool
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

// An agendaEntry of the agenda; one whose version is not its job's any more is void.
type agendaEntry struct {
	version uint64
	job     *job
}

// New makes a model; each seed draws its own times.
func New(seed uint64) *Model {
	return &Model{
		rng: rand.New(rand.NewPCG(seed, 11)), destinations: map[int]*destination{}, endpoints: map[string]*endpoint{}, jobs: map[uint64]*job{},
	}
}

// Add puts a destination in.
func (m *Model) Add(s Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	if m.destinations[s.Dest] != nil {
		return fmt.Errorf("destination %d: twice", s.Dest)
	}
	d := &destination{Spec: s, seenKeys: map[string]keyUse{}}
	d.route = m.newRoute(d, nil)
	m.destinations[s.Dest] = d
	for _, e := range s.Endpoints {
		if err := m.Join(m.now, s.Dest, e); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) newRoute(d *destination, only *endpoint) *route {
	r := &route{dest: d, endpoint: only, filledAt: m.now, window: -1}
	r.tokens = r.bucketSize()
	return r
}

// Join adds an endpoint to a destination.
func (m *Model) Join(now time.Duration, to int, s EndpointSpec) error {
	m.Advance(now)
	d := m.destinations[to]
	if d == nil || m.endpoints[s.ID] != nil {
		return fmt.Errorf("endpoint %q: no destination %d, or an id that was used", s.ID, to)
	}
	e := &endpoint{EndpointSpec: s, dest: d, route: d.route}
	if d.SeparateRoutes {
		e.route = m.newRoute(d, e)
	}
	m.endpoints[s.ID] = e
	d.endpoints = append(d.endpoints, e)
	return nil
}

// Leave takes an endpoint away: its connections break. Its id is not used again,
// though its address may be.
func (m *Model) Leave(now time.Duration, id string) error {
	m.Advance(now)
	e := m.endpoints[id]
	if e == nil {
		return ErrUnknown
	}
	m.resetAll(e)
	e.removed = true
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(o *endpoint) bool { return o == e })
	return nil
}

// SetFault gives an endpoint a trouble, or takes it away. From an outage it returns cold.
func (m *Model) SetFault(now time.Duration, id string, t Fault) error {
	m.Advance(now)
	e := m.endpoints[id]
	if e == nil || e.removed {
		return ErrUnknown
	}
	old := e.fault
	if old.Mode == Paused && t.Mode != Paused { // all that stood goes on
		for _, j := range e.running {
			j.since = m.now
		}
	}
	m.updateWork(e)
	e.fault = t
	switch {
	case t.Mode == Down || t.Mode == Overloaded:
		m.resetAll(e)
	case old.Outage() && !t.Outage() && e.othersDown():
		r := e.route
		r.warming, r.recoveredAt, r.arrivals = true, m.now, nil
	}
	m.schedule(e)
	m.startQueued(e)
	return nil
}

// othersDown tells whether all others of an endpoint's route are out: a destination
// of which some endpoints went on serving is not cold.
func (e *endpoint) othersDown() bool {
	if e.route.endpoint != nil {
		return true
	}
	for _, o := range e.dest.endpoints {
		if o != e && !o.fault.Outage() {
			return false
		}
	}
	return true
}

// Fault tells what ails an endpoint.
func (m *Model) Fault(id string) Fault {
	if e := m.endpoints[id]; e != nil {
		return e.fault
	}
	return Fault{Mode: Down}
}

// bucketSize is the depth of a rate's tokens.
func (r *route) bucketSize() float64 {
	return max(1, r.dest.Limit.PerSecond*r.dest.Limit.Burst.Seconds())
}

// Capacity is the part of its capacity that an endpoint's route has now.
func (m *Model) Capacity(id string) float64 {
	if e := m.endpoints[id]; e != nil {
		return m.capacity(e.route)
	}
	return 0
}

func (m *Model) capacity(r *route) float64 {
	d := r.dest
	if !r.warming {
		return 1
	}
	if d.WarmUp <= 0 || m.now >= r.recoveredAt+d.WarmUp {
		r.warming = false
		return 1
	}
	return d.ColdCapacity + (1-d.ColdCapacity)*float64(m.now-r.recoveredAt)/float64(d.WarmUp)
}

// ratedCapacity is the calls a second at which a warm route is at its capacity: what its
// servers do. Its limit lies below that.
func (r *route) ratedCapacity() float64 {
	servers := r.dest.Servers * max(1, len(r.dest.endpoints))
	if r.endpoint != nil {
		servers = r.dest.Servers
	}
	return float64(servers) / r.dest.Mean.Seconds()
}

// Connect opens a connection. One that crowds is not counted: it needs no
// Disconnect, and a Call on it is Crowded.
func (m *Model) Connect(now time.Duration, id string) ConnectionResult {
	m.Advance(now)
	e := m.endpoints[id]
	switch {
	case e == nil || e.removed || e.fault.Mode == Down || e.fault.Mode == Overloaded:
		return ConnectionRefused
	case e.dest.MaxConnections > 0 && e.conns >= e.dest.MaxConnections:
		return ConnectionOverCapacity
	}
	e.conns++
	return ConnectionOpened
}

// Disconnect closes a connection on which no call is out.
func (m *Model) Disconnect(now time.Duration, id string) {
	m.Advance(now)
	if e := m.endpoints[id]; e != nil && e.conns > 0 {
		e.conns--
	}
}

// Listens tells whether an endpoint takes connections at all.
func (m *Model) Listens(id string) bool {
	e := m.endpoints[id]
	return e != nil && !e.removed && e.fault.Mode != Down && e.fault.Mode != Overloaded
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

// retryAfter is the wait that goes with a refusal, if one does. It is honest: at its end
// there is room again, unless others have taken it.
func (m *Model) retryAfter(e *endpoint, until time.Duration) time.Duration {
	d := e.dest
	if m.rng.Float64() >= d.RetryAfterShare {
		return 0
	}
	switch {
	case e.fault.Mode == Shut && until > m.now:
		return until - m.now
	case e.fault.Mode == Shut:
		return 0 // it does not know itself
	case d.Limit.Form == Window:
		return d.Limit.Window - m.now%d.Limit.Window
	case d.Limit.Form == Rate:
		return max(d.RetryAfter, time.Duration((1-e.route.tokens)/e.limit()*float64(time.Second)))
	}
	return d.RetryAfter
}

// limit is the calls a second that an endpoint's route takes now.
func (e *endpoint) limit() float64 {
	if e.fault.Mode == LimitReduced {
		return e.dest.Limit.PerSecond * e.fault.Factor
	}
	return e.dest.Limit.PerSecond
}

// admit counts a call against the limit.
func (m *Model) admit(e *endpoint) bool {
	r, l, rate := e.route, e.dest.Limit, e.limit()
	switch l.Form {
	case Rate:
		r.tokens = min(r.bucketSize(), r.tokens+rate*(m.now-r.filledAt).Seconds())
		r.filledAt = m.now
		if r.tokens >= 1 {
			r.tokens--
			return true
		}
		if l.CountRejected { // what keeps coming keeps it exhausted
			r.tokens = max(r.tokens-1, -r.bucketSize())
		}
		return false
	case Window:
		if span := int64(m.now / l.Window); span != r.window {
			r.window, r.count = span, 0
		}
		most := int(rate*l.Window.Seconds() + 1e-9)
		if r.count < max(1, most) {
			r.count++
			return true
		}
		if l.CountRejected {
			r.count++
		}
		return false
	}
	return true
}

// checkOverload counts what reaches a cold route, refused or not, and pushes it over.
func (m *Model) checkOverload(r *route, sender int) {
	d := r.dest
	if m.capacity(r) >= 1 || d.OverloadWindow <= 0 {
		r.arrivals = r.arrivals[:0]
		return
	}
	r.arrivals = append(r.arrivals, arrival{m.now, sender})
	for len(r.arrivals) > 0 && m.now-r.arrivals[0].at >= d.OverloadWindow {
		r.arrivals = r.arrivals[1:]
	}
	const slack = 2 // calls; for chance
	budget := d.OverloadFactor*m.capacity(r)*r.ratedCapacity()*d.OverloadWindow.Seconds() + slack
	if float64(len(r.arrivals)) <= budget {
		return
	}
	f := Overload{At: m.now, Dest: d.Dest, RecoveredAt: r.recoveredAt, CallsBySender: map[int]int{}}
	for _, p := range r.arrivals {
		f.CallsBySender[p.sender]++
	}
	r.arrivals = nil
	for _, e := range d.endpoints {
		if r.endpoint != nil && e != r.endpoint {
			continue
		}
		m.updateWork(e)
		e.fault = Fault{Mode: Overloaded}
		m.resetAll(e)
	}
	if r.endpoint != nil {
		f.Endpoint = r.endpoint.ID
	}
	m.overloads = append(m.overloads, f)
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

// applyEffects lets the messages of a call take effect, but for those whose keys are
// remembered.
func (m *Model) applyEffects(j *job) {
	e, d := j.endpoint, j.endpoint.dest
	for _, msg := range j.Messages {
		dropped := false
		if msg.Key != "" && d.KeyRetention > 0 {
			k, known := d.seenKeys[msg.Key]
			known = known && m.now-k.at < d.KeyRetention
			switch d.KeyScope {
			case SameZone:
				known = known && k.zone == e.Zone
			case SameEndpoint:
				known = known && k.endpoint == e.ID
			}
			if dropped = known; !known {
				d.seenKeys[msg.Key] = keyUse{m.now, e.Zone, e.ID}
			}
		}
		m.effects = append(m.effects, Effect{m.now, j.ID, msg, e.ID, j.Sender, dropped, j.canceled})
	}
	if m.now >= d.sweepAt {
		for key, k := range d.seenKeys {
			if m.now-k.at >= d.KeyRetention {
				delete(d.seenKeys, key)
			}
		}
		d.sweepAt = m.now + d.KeyRetention
	}
}

// Answers returns the answers since it was last asked, in the order of their times.
func (m *Model) Answers() []Answer {
	list := m.answers
	m.answers = nil
	return list
}

// Effects returns the effects since it was last asked.
func (m *Model) Effects() []Effect {
	list := m.effects
	m.effects = nil
	return list
}

// Overloads returns what was pushed over since it was last asked.
func (m *Model) Overloads() []Overload {
	list := m.overloads
	m.overloads = nil
	return list
}
