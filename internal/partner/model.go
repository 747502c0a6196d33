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
	rng       *rand.Rand
	now       time.Duration
	dests     map[int]*dest
	endpoints map[string]*endpoint
	calls     map[uint64]*job
	due       timeline.Queue[entry]
	answers   []Answer
	effects   []Effect
	falls     []Overload
	serial    uint64
}

// A route is what a limit, a wait and a fall hold for.
type route struct {
	dest     *dest
	only     *endpoint // a route apart
	tokens   float64
	filledAt time.Duration
	span     int64 // Window: the number of the span...
	count    int   // ...and what it has taken
	backAt   time.Duration
	cold     bool
	pushes   []push
}

type push struct {
	at     time.Duration
	sender int
}

type dest struct {
	Spec
	shared *route
	all    []*endpoint
	keys   map[string]memory
	sweep  time.Duration // keys are looked through then
}

// memory is where and when a key was seen first.
type memory struct {
	at       time.Duration
	zone     int
	endpoint string
}

type endpoint struct {
	EndpointSpec
	dest    *dest
	route   *route
	trouble Fault
	running []*job
	queue   []*job
	conns   int
	removed bool
}

// A job is a call that was taken in.
type job struct {
	Call
	at        *endpoint
	work      time.Duration // left to do, at full speed
	since     time.Duration // running since
	ends      time.Duration
	version   uint64 // of its entry in the agenda
	running   bool
	cancelled bool
	fate      AnswerKind
	early     bool // Breaking: before its effect
	silent    bool
}

// An entry of the agenda; one whose version is not its job's any more is void.
type entry struct {
	version uint64
	job     *job
}

// New makes a model; each seed draws its own times.
func New(seed uint64) *Model {
	return &Model{
		rng: rand.New(rand.NewPCG(seed, 11)), dests: map[int]*dest{}, endpoints: map[string]*endpoint{}, calls: map[uint64]*job{},
	}
}

// Add puts a destination in.
func (m *Model) Add(s Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	if m.dests[s.Dest] != nil {
		return fmt.Errorf("destination %d: twice", s.Dest)
	}
	d := &dest{Spec: s, keys: map[string]memory{}}
	d.shared = m.newRoute(d, nil)
	m.dests[s.Dest] = d
	for _, e := range s.Endpoints {
		if err := m.Join(m.now, s.Dest, e); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) newRoute(d *dest, only *endpoint) *route {
	r := &route{dest: d, only: only, filledAt: m.now, span: -1}
	r.tokens = r.bucket()
	return r
}

// Join adds an endpoint to a destination.
func (m *Model) Join(now time.Duration, to int, s EndpointSpec) error {
	m.Advance(now)
	d := m.dests[to]
	if d == nil || m.endpoints[s.ID] != nil {
		return fmt.Errorf("endpoint %q: no destination %d, or an id that was used", s.ID, to)
	}
	e := &endpoint{EndpointSpec: s, dest: d, route: d.shared}
	if d.SeparateRoutes {
		e.route = m.newRoute(d, e)
	}
	m.endpoints[s.ID] = e
	d.all = append(d.all, e)
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
	e.dest.all = slices.DeleteFunc(e.dest.all, func(o *endpoint) bool { return o == e })
	return nil
}

// SetFault gives an endpoint a trouble, or takes it away. From an outage it returns cold.
func (m *Model) SetFault(now time.Duration, id string, t Fault) error {
	m.Advance(now)
	e := m.endpoints[id]
	if e == nil || e.removed {
		return ErrUnknown
	}
	old := e.trouble
	if old.Mode == Paused && t.Mode != Paused { // all that stood goes on
		for _, j := range e.running {
			j.since = m.now
		}
	}
	m.settle(e)
	e.trouble = t
	switch {
	case t.Mode == Down || t.Mode == Overloaded:
		m.resetAll(e)
	case old.Outage() && !t.Outage() && e.alone():
		r := e.route
		r.cold, r.backAt, r.pushes = true, m.now, nil
	}
	m.schedule(e)
	m.fill(e)
	return nil
}

// alone tells whether all others of an endpoint's route are out: a destination
// of which some endpoints went on serving is not cold.
func (e *endpoint) alone() bool {
	if e.route.only != nil {
		return true
	}
	for _, o := range e.dest.all {
		if o != e && !o.trouble.Outage() {
			return false
		}
	}
	return true
}

// Fault tells what ails an endpoint.
func (m *Model) Fault(id string) Fault {
	if e := m.endpoints[id]; e != nil {
		return e.trouble
	}
	return Fault{Mode: Down}
}

// bucket is the depth of a rate's tokens.
func (r *route) bucket() float64 {
	return max(1, r.dest.Limit.PerSecond*r.dest.Limit.Burst.Seconds())
}

// Capacity is the part of its capacity that an endpoint's route has now.
func (m *Model) Capacity(id string) float64 {
	if e := m.endpoints[id]; e != nil {
		return m.warmth(e.route)
	}
	return 0
}

func (m *Model) warmth(r *route) float64 {
	d := r.dest
	if !r.cold {
		return 1
	}
	if d.WarmUp <= 0 || m.now >= r.backAt+d.WarmUp {
		r.cold = false
		return 1
	}
	return d.ColdCapacity + (1-d.ColdCapacity)*float64(m.now-r.backAt)/float64(d.WarmUp)
}

// rated is the calls a second at which a warm route is at its capacity: what its
// servers do. Its limit lies below that.
func (r *route) rated() float64 {
	servers := r.dest.Servers * max(1, len(r.dest.all))
	if r.only != nil {
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
	case e == nil || e.removed || e.trouble.Mode == Down || e.trouble.Mode == Overloaded:
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
	return e != nil && !e.removed && e.trouble.Mode != Down && e.trouble.Mode != Overloaded
}

// Call takes a call in, on an open connection. Its answer comes by Answers.
func (m *Model) Call(now time.Duration, c Call) error {
	m.Advance(now)
	e := m.endpoints[c.Endpoint]
	if e == nil || e.removed {
		return ErrUnknown
	}
	if m.calls[c.ID] != nil {
		return fmt.Errorf("partner: call %d is out already", c.ID)
	}
	answer := func(k AnswerKind, wait time.Duration) {
		if c.HealthCheck {
			wait = 0 // PROTOCOL: a probe is answered 200 or 503
		}
		m.answers = append(m.answers, Answer{c.ID, m.now, k, wait})
	}
	t := e.trouble
	if t.Mode != Overloaded {
		m.push(e.route, c.Sender)
	}
	switch {
	case t.Mode == Down || t.Mode == Overloaded:
		answer(Reset, 0)
		return nil
	case t.Mode == Shut:
		answer(Rejected, m.told(e, t.Until))
		return nil
	case t.Mode == Draining, c.OverCapacity && t.Mode != Unresponsive:
		answer(Rejected, 0)
		return nil
	case len(c.Messages) > e.dest.MaxBatch || !c.HealthCheck && len(c.Messages) == 0:
		answer(Unprocessable, 0)
		return nil
	case t.Mode != Unresponsive && !m.admit(e): // a silent one refuses nobody
		answer(Rejected, m.told(e, 0))
		return nil
	case c.HealthCheck && t.Mode != Unresponsive && t.Mode != Paused: // answered beside the queue
		answer(Delivered, 0)
		return nil
	case len(e.running) >= e.dest.Servers && len(e.queue) >= e.dest.QueueLength:
		answer(Rejected, m.told(e, 0))
		return nil
	}
	j := &job{Call: c, at: e, work: m.draw(e.dest, &c), silent: t.Mode == Unresponsive}
	switch t.Mode {
	case ReturningErrors:
		if m.rng.Float64() < t.Share {
			j.fate, j.work = Errored, j.work/10 // they fail quickly
		}
	case BreakingConnections:
		if m.rng.Float64() < t.Share {
			j.fate, j.early = Reset, m.rng.IntN(2) == 0
		}
	case GarblingAnswers:
		if m.rng.Float64() < t.Share {
			j.fate = Garbled
		}
	}
	m.calls[c.ID] = j
	e.queue = append(e.queue, j)
	m.fill(e)
	return nil
}

// draw is the work of a call: lognormal around the mean, more for each further
// message, and for a connection that is new.
func (m *Model) draw(d *dest, c *Call) time.Duration {
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

// told is the wait that goes with a refusal, if one does. It is honest: at its end
// there is room again, unless others have taken it.
func (m *Model) told(e *endpoint, until time.Duration) time.Duration {
	d := e.dest
	if m.rng.Float64() >= d.RetryAfterShare {
		return 0
	}
	switch {
	case e.trouble.Mode == Shut && until > m.now:
		return until - m.now
	case e.trouble.Mode == Shut:
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
	if e.trouble.Mode == LimitReduced {
		return e.dest.Limit.PerSecond * e.trouble.Factor
	}
	return e.dest.Limit.PerSecond
}

// admit counts a call against the limit.
func (m *Model) admit(e *endpoint) bool {
	r, l, rate := e.route, e.dest.Limit, e.limit()
	switch l.Form {
	case Rate:
		r.tokens = min(r.bucket(), r.tokens+rate*(m.now-r.filledAt).Seconds())
		r.filledAt = m.now
		if r.tokens >= 1 {
			r.tokens--
			return true
		}
		if l.CountRejected { // what keeps coming keeps it exhausted
			r.tokens = max(r.tokens-1, -r.bucket())
		}
		return false
	case Window:
		if span := int64(m.now / l.Window); span != r.span {
			r.span, r.count = span, 0
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

// push counts what reaches a cold route, refused or not, and pushes it over.
func (m *Model) push(r *route, sender int) {
	d := r.dest
	if m.warmth(r) >= 1 || d.OverloadWindow <= 0 {
		r.pushes = r.pushes[:0]
		return
	}
	r.pushes = append(r.pushes, push{m.now, sender})
	for len(r.pushes) > 0 && m.now-r.pushes[0].at >= d.OverloadWindow {
		r.pushes = r.pushes[1:]
	}
	const slack = 2 // calls; for chance
	budget := d.OverloadFactor*m.warmth(r)*r.rated()*d.OverloadWindow.Seconds() + slack
	if float64(len(r.pushes)) <= budget {
		return
	}
	f := Overload{At: m.now, Dest: d.Dest, RecoveredAt: r.backAt, CallsBySender: map[int]int{}}
	for _, p := range r.pushes {
		f.CallsBySender[p.sender]++
	}
	r.pushes = nil
	for _, e := range d.all {
		if r.only != nil && e != r.only {
			continue
		}
		m.settle(e)
		e.trouble = Fault{Mode: Overloaded}
		m.resetAll(e)
	}
	if r.only != nil {
		f.Endpoint = r.only.ID
	}
	m.falls = append(m.falls, f)
}

// Cancel tells that a sender waits no more for a call. Its connection is gone, also
// where the call has ended meanwhile. The work may go on, and take effect.
func (m *Model) Cancel(now time.Duration, id uint64, endpoint string) {
	m.Advance(now)
	j := m.calls[id]
	if j == nil {
		m.Disconnect(now, endpoint)
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	j.at.conns = max(0, j.at.conns-1)
	if m.rng.Float64() < j.at.dest.StopsOnCancel {
		m.drop(j)
	}
}

// drop ends a job without its effect.
func (m *Model) drop(j *job) {
	e := j.at
	m.settle(e)
	delete(m.calls, j.ID)
	same := func(o *job) bool { return o == j }
	e.running, e.queue = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.queue, same)
	j.version = 0
	m.schedule(e)
	m.fill(e)
}

// resetAll breaks all connections of an endpoint, with the calls on them. What was
// being worked on has not taken effect.
func (m *Model) resetAll(e *endpoint) {
	for _, j := range slices.Concat(e.running, e.queue) {
		delete(m.calls, j.ID)
		j.version = 0
		if !j.cancelled {
			m.answers = append(m.answers, Answer{j.ID, m.now, Reset, 0})
		}
	}
	e.running, e.queue, e.conns = nil, nil, 0
}

// speed is how fast an endpoint works now.
func (m *Model) speed(e *endpoint) float64 {
	x := m.warmth(e.route)
	switch {
	case e.trouble.Mode == Paused:
		return 0
	case e.trouble.Mode == Slow && e.trouble.Factor > 0:
		x /= e.trouble.Factor
	}
	return x
}

// settle enters what the running jobs of an endpoint have done so far.
func (m *Model) settle(e *endpoint) {
	x := m.speed(e)
	for _, j := range e.running {
		j.work = max(0, j.work-time.Duration(float64(m.now-j.since)*x))
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
		j.ends = m.now + time.Duration(math.Ceil(float64(j.work)/x))
		at := j.ends
		if x < 1 && e.route.cold {
			at = min(at, m.now+look)
		}
		m.serial++
		j.version = m.serial
		m.due.Push(at, j.version, entry{j.version, j})
	}
}

// fill gives free servers the calls that wait.
func (m *Model) fill(e *endpoint) {
	started := false
	for len(e.running) < e.dest.Servers && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.running, j.since = true, m.now
		e.running = append(e.running, j)
		started = true
	}
	if started {
		m.settle(e)
		m.schedule(e)
	}
}

// Next is when something happens by itself; false where nothing will.
func (m *Model) Next() (time.Duration, bool) {
	for {
		at, e, some := m.due.First()
		if !some || e.version == e.job.version {
			return at, some
		}
		m.due.Pop()
	}
}

// Advance lets the time pass. What happens meanwhile happens at its own instant.
func (m *Model) Advance(now time.Duration) {
	for {
		at, some := m.Next()
		if !some || at > now {
			break
		}
		_, due := m.due.Pop()
		j := due.job
		m.now = max(m.now, at)
		e := j.at
		m.settle(e)
		if j.work > time.Microsecond {
			m.schedule(e)
			continue
		}
		m.finish(j)
	}
	m.now = max(m.now, now)
}

// finish ends a job: its effect, and its answer if somebody waits for it.
func (m *Model) finish(j *job) {
	e := j.at
	delete(m.calls, j.ID)
	j.version = 0
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	errored := j.fate == Errored
	if !errored && !(j.fate == Reset && j.early) {
		m.effect(j)
	}
	if !j.cancelled && !j.silent {
		m.answers = append(m.answers, Answer{j.ID, m.now, j.fate, 0})
	}
	m.fill(e)
}

// effect lets the messages of a call take effect, but for those whose keys are
// remembered.
func (m *Model) effect(j *job) {
	e, d := j.at, j.at.dest
	for _, msg := range j.Messages {
		dropped := false
		if msg.Key != "" && d.KeyRetention > 0 {
			k, known := d.keys[msg.Key]
			known = known && m.now-k.at < d.KeyRetention
			switch d.KeyScope {
			case SameZone:
				known = known && k.zone == e.Zone
			case SameEndpoint:
				known = known && k.endpoint == e.ID
			}
			if dropped = known; !known {
				d.keys[msg.Key] = memory{m.now, e.Zone, e.ID}
			}
		}
		m.effects = append(m.effects, Effect{m.now, j.ID, msg, e.ID, j.Sender, dropped, j.cancelled})
	}
	if m.now >= d.sweep {
		for key, k := range d.keys {
			if m.now-k.at >= d.KeyRetention {
				delete(d.keys, key)
			}
		}
		d.sweep = m.now + d.KeyRetention
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
	list := m.falls
	m.falls = nil
	return list
}
