package control

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"cleathold/internal/fleethealth"
	"cleathold/internal/reachability"
)

// A route is what waits, limits and outages hold for: a destination, or one
// endpoint of it where endpoints are routes apart.
type route struct {
	wait    time.Duration // told: nothing is sent before this
	bad     int           // answers in a row that served nothing
	since   time.Duration // the first of them
	badAt   time.Duration // the latest of them
	goodAt  time.Duration // the latest answer that served
	open    bool          // taken for an outage: lone calls only
	before  time.Duration // open or warming: T_m before the trouble
	proved  bool          // open: a probe was answered, so one call may go
	risky   bool          // open: a call may be lost, so a probe goes first
	retryAt time.Duration // open: the next lone call
	backoff time.Duration // open: pause after the next failed call
	backAt  time.Duration // when it came back; slow start until backAt + Cold
	warmAt  time.Duration // from where its pace rises: backAt, or before if answers are quick
	warming bool
	warmBy  []int   // siblings that found it warm since
	tokens  float64 // token bucket of the slow start
	filled  time.Duration
	share   float64       // this instance's part of the limit
	cutAt   time.Duration // when a refusal last lowered it
	grownAt time.Duration // when an answer last raised it
	told    bool          // a report came, also one that tells of no limit
	limit   float64       // reported limit in calls a second; 0 = none known
}

// An endpoint is a listed endpoint with what its own calls have shown.
type endpoint struct {
	Endpoint
	dest   *dest
	route  *route
	out    int // calls out
	bad    int // answers in a row that served nothing
	used   time.Duration
	served time.Duration // the latest answer that served
	linked bool          // a connection is thought open
	roomAt time.Duration // it may have room for a connection again
	turned int           // answers in a row that it has none
	left   time.Duration // when it was last seen to be listed
	last   *call         // the latest call, which sends of one instant may share

	verdict fleethealth.Health // what siblings and this sender found of it, in a large fleet
}

// A call is one connection's worth of messages: one slot, one fate.
type call struct {
	at   time.Duration
	idle int // band of the time its connection lay idle
	size int // messages put in
	left int // outcomes still to come
}

// A callTime is what answers have shown of the time of calls.
type callTime struct {
	tm  time.Duration // T_m, the moving estimate
	dev time.Duration // mean deviation from it
}

// A dest is a destination with its two queues.
type dest struct {
	id         int
	endpoints  []*endpoint
	shared     *route
	fresh, old []*message
	out        int        // calls out
	shy        bool       // a call failed and none was served since
	outs       []*attempt // attempts out, in order of sending
	late       int        // time-outs in a row
	awake      bool       // in Controller.busy
	callTime
	answers  int           // that T_m rests on
	answered time.Duration // the latest answer
	gap      time.Duration // usual time between answers while calls are out
	stalled  time.Duration // calls sent before this skip T_m
	rate     float64       // arrivals, decayed, for the rate of its traffic
	rateAt   time.Duration
}

// A turn keeps the order of the messages with one key.
type turn struct {
	key    uint64
	line   []*message
	rest   time.Duration // later messages wait until this
	restBy *message      // whose attempt may still run
	out    int           // attempts without an outcome
}

// A message is one message held or out.
type message struct {
	Message
	class *Class
	dest  *dest
	due   time.Duration // when it is given up
	sends int
	out   *attempt
	ran   bool          // an attempt may have run
	ranAt time.Duration // when the first such attempt was sent
	ranIn int           // and the zone it went to
	over  bool
	live  bool // its streamed answer has started
	turn  *turn
}

// An attempt is one send of a message, until its outcome.
type attempt struct {
	message   *message
	wanted    time.Duration // called off from here on if others want its slot
	calledOff bool
	endpoint  *endpoint
	call      *call
	sent      time.Duration
	idle      int           // band of the time its connection lay idle
	usual     time.Duration // answered within this if all is well
}

// kind returns what is known of a kind of destination.
func (c *Controller) kind(i int) Kind {
	if i < 0 || i >= len(c.set.Kinds) {
		return Kind{MaxBatch: 1}
	}
	return c.set.Kinds[i]
}

// dest returns the destination with that number.
func (c *Controller) dest(id int) *dest {
	if d := c.byID[id]; d != nil {
		return d
	}
	d := &dest{id: id, shared: c.newRoute(), rateAt: c.now}
	c.byID[id] = d
	return d
}

// spoilt tells that each endpoint which may be called has failed when last called, by this sender or its siblings.
func (c *Controller) spoilt(d *dest) bool {
	return !slices.ContainsFunc(d.endpoints, func(e *endpoint) bool { return e.State == Ready && e.bad == 0 && !c.dead(e) })
}

// dead tells that siblings found an endpoint dead, and not too many others of its destination.
func (c *Controller) dead(e *endpoint) bool {
	if !e.verdict.Ejected(c.now, c.terms()) { // nothing ever does in a small fleet
		return false
	}
	n, all := 0, 0
	for _, o := range e.dest.endpoints {
		if o.State == Ready {
			if all++; o.verdict.Ejected(c.now, c.terms()) {
				n++
			}
		}
	}
	return fleethealth.WithinEjectionLimit(n, all)
}

func (c *Controller) terms() fleethealth.Params {
	return fleethealth.NewParams(c.set.FleetSize, c.set.OverloadWindow)
}

// word takes what a sibling found of an endpoint. One that is back has its even part of the senders look at it first.
func (c *Controller) word(e *endpoint, w fleethealth.Report) {
	over, back := e.verdict.Merge(c.now, w, c.terms(), c.rng.Float64())
	if over {
		e.bad = 0
	}
	if back && c.rng.Float64()*float64(len(e.dest.endpoints)) < 1 {
		e.used = c.now
	}
}

// speak tells siblings what a call to an endpoint has just shown, as often as a fleet may.
func (c *Controller) speak(e *endpoint, what ObservationKind) {
	if !c.hear.Isolated(c.now) && c.voice.Allow(c.now, c.terms()) {
		c.act.Gossip(Observation{Endpoint: e.ID, Kind: what})
	}
}

// wake puts a destination that has work among the busy ones.
func (c *Controller) wake(d *dest) {
	if d.awake {
		return
	}
	d.awake = true
	i := sort.Search(len(c.busy), func(i int) bool { return c.busy[i].id > d.id })
	c.busy = slices.Insert(c.busy, i, d)
}

// trim leaves out of the busy destinations those without messages and calls.
func (c *Controller) trim() {
	c.busy = slices.DeleteFunc(c.busy, func(d *dest) bool {
		d.awake = len(d.fresh)+len(d.old)+len(d.outs) > 0
		return !d.awake
	})
}

// turnOf returns the turn of a key.
func (c *Controller) turnOf(key uint64) *turn {
	t := c.turns[key]
	if t == nil {
		t = &turn{key: key}
		c.turns[key] = t
	}
	return t
}

// without returns the list less one element, in the same order.
func without[T comparable](list []T, m T) []T {
	for i, x := range list {
		if x == m {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Controller decides for one instance. It is not safe for concurrent use.
type Controller struct {
	set       Settings
	act       Actions
	rng       *rand.Rand
	now       time.Duration
	endpoints map[EndpointID]*endpoint
	byID      map[int]*dest
	busy      []*dest // those with messages or calls out, in order of id
	yield     float64 // worth that calls brought lately...
	time      float64 // ...and the seconds of slots they took
	messages  map[MessageID]*message
	held      []*message // not over, in order of arrival
	turns     map[uint64]*turn
	idle      []*turn            // turns that no message holds, to be dropped after their rest
	lost      [idleBands]float64 // part of the calls lost, by band of idle time
	crowd     map[int]float64    // part of the calls that got no connection, by kind
	overall   callTime           // of all destinations
	drift     float64            // call times lately over the T_m of their destinations
	freed     []*endpoint        // endpoints with outcomes at this instant
	calls     int                // slots taken
	abroad    int                // and those taken by another process of this instance
	token     uint32
	armed     time.Duration
	resumed   time.Duration // the end of this instance's latest standstill
	watching  bool
	asking    bool
	blind     bool // the latest ask failed
	askAt     time.Duration
	hear      reachability.Detector
	voice     fleethealth.RateLimiter
}

// New returns a controller for one instance, or an error that names the
// setting that makes no sense.
func New(set Settings, act Actions) (*Controller, error) {
	if err := validate(&set); err != nil {
		return nil, err
	}
	return &Controller{
		hear: reachability.Detector{FleetSize: set.FleetSize}, set: set, act: act, rng: rand.New(rand.NewPCG(set.Seed, 0)),
		endpoints: map[EndpointID]*endpoint{}, byID: map[int]*dest{},
		crowd: map[int]float64{}, messages: map[MessageID]*message{}, turns: map[uint64]*turn{},
	}, nil
}

// say tells siblings of a refusal, and asks whether anybody hears, as what is heard has it.
func (c *Controller) say(e *endpoint, ago time.Duration) {
	tell, ask := c.hear.Rejected(c.now)
	if tell {
		c.act.Gossip(Observation{Endpoint: e.ID, Kind: ObservedRejection, Age: ago})
	}
	if ask {
		c.act.Gossip(Observation{Endpoint: e.ID, Kind: ReachabilityQuery})
	}
}

// newRoute returns a route on which nothing is known yet.
func (c *Controller) newRoute() *route {
	r := &route{share: 1, tokens: 1, filled: c.now}
	if c.even() {
		r.share, r.tokens = evenStart/float64(c.set.FleetSize), evenStart
	}
	return r
}

// age is the time since the message was first handed in, wherever that was.
func (c *Controller) age(m *message) time.Duration {
	return m.class.Deadline - (m.due - c.now)
}

// joins tells whether a send would share the call made at this instant.
func (c *Controller) joins(e *endpoint) bool {
	return e.last != nil && e.last.left > 0 && e.last.at == c.now && e.last.size < c.kind(e.Kind).MaxBatch
}

// unlist takes endpoints that a whole list leaves out for removed.
func (c *Controller) unlist(list []Endpoint) {
	named := make(map[EndpointID]bool, len(list))
	for _, e := range list {
		named[e.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // in order, as it acts
		if !named[id] {
			c.leave(c.endpoints[id])
		}
	}
}

// leave takes an endpoint off the list. Its idle connections are of no use: who
// comes under its address has another id.
func (c *Controller) leave(e *endpoint) {
	if e.State == Removed {
		return
	}
	e.State, e.left = Removed, c.now
	if e.linked && e.out == 0 {
		e.linked = false
		c.act.Disconnect(e.ID)
	}
}

// prune forgets endpoints that left long ago: where new ones replace old ones
// all day, what is known of those would grow without end, and each choice would
// look through it. One that comes back within a cold return is known again, so
// that an outage seen before is not forgotten.
func (c *Controller) prune() {
	keep := 2*c.set.WarmUp + c.set.OverloadWindow + c.set.DrainGrace
	for id, e := range c.endpoints {
		if e.State != Removed || e.out > 0 || c.now-e.left < keep {
			continue
		}
		delete(c.endpoints, id)
		d := e.dest
		d.endpoints = without(d.endpoints, e)
		if len(d.endpoints) == 0 && !d.awake {
			delete(c.byID, d.id)
		}
	}
}

// learn takes one line of the list.
func (c *Controller) learn(line Endpoint) {
	e := c.endpoints[line.ID]
	if e == nil {
		if line.State == Removed {
			return
		}
		d := c.dest(line.Destination)
		e = &endpoint{dest: d, route: d.shared}
		if c.kind(line.Kind).SeparateRoutes {
			e.route = c.newRoute()
		}
		c.endpoints[line.ID] = e
		i := sort.Search(len(d.endpoints), func(i int) bool { return d.endpoints[i].ID > line.ID })
		d.endpoints = append(d.endpoints, nil)
		copy(d.endpoints[i+1:], d.endpoints[i:])
		d.endpoints[i] = e
		e.Endpoint = line
		if c.even() { // many siblings must not all begin with the same one
			e.used = -time.Duration(rand.New(rand.NewPCG(c.set.Seed, uint64(line.ID))).Int64N(int64(time.Second)))
		}
	}
	line.Destination = e.Destination
	if line.State == Removed {
		c.leave(e)
		return
	}
	e.Endpoint = line
}

// close ends a message; an attempt still out is awaited.
func (c *Controller) close(m *message) {
	if m.over {
		return
	}
	m.over = true
	c.held = without(c.held, m)
	m.dest.fresh = without(m.dest.fresh, m)
	m.dest.old = without(m.dest.old, m)
	if m.turn != nil {
		m.turn.line = without(m.turn.line, m)
	}
	c.forget(m)
}

// forget drops a message that is over and has no attempt out.
func (c *Controller) forget(m *message) {
	if !m.over || m.out != nil {
		return
	}
	delete(c.messages, m.ID)
	if m.turn != nil {
		c.idle = append(c.idle, m.turn)
	}
	for len(c.idle) > 0 && (c.now >= c.idle[0].rest || !c.idle[0].free()) {
		if t := c.idle[0]; t.free() && c.turns[t.key] == t {
			delete(c.turns, t.key)
		}
		c.idle = c.idle[1:]
	}
}

// freeAll has all idle connections looked at again.
func (c *Controller) freeAll() {
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // in order, as it acts
		c.freed = append(c.freed, c.endpoints[id])
	}
}

// free tells that no message holds the turn.
func (t *turn) free() bool { return len(t.line) == 0 && t.out == 0 }

// release frees the slot of a call once all its messages have their outcomes.
func (c *Controller) release(a *attempt) {
	e := a.endpoint
	e.used = c.now
	c.freed = append(c.freed, e)
	if a.call.left--; a.call.left == 0 {
		c.calls--
		e.out--
		e.dest.out--
	}
}

// count follows the rate of the traffic for the destination.
func (d *dest) count(now time.Duration) {
	d.rate = d.rate*math.Exp(-float64(now-d.rateAt)/float64(rateSpan)) + 1
	d.rateAt = now
}

// clock takes the time. A wake that comes late tells of a standstill of this instance: all that came
// meanwhile is seen at this one instant, and call times hold the standstill too.
func (c *Controller) clock(now time.Duration) {
	if now > c.now && c.armed > 0 && now > c.armed+pulse/2 {
		c.resumed = now
	}
	c.now = now
}

// UpdateSettings takes other settings while messages are held and out. Each keeps the class that it came with. What
// this instance is among its siblings, and how destinations are built, no settings can change under way.
func (c *Controller) UpdateSettings(now time.Duration, set Settings) error {
	c.clock(now)
	old := &c.set
	set.Seed, set.Index, set.FleetSize, set.Zone = old.Seed, old.Index, old.FleetSize, old.Zone
	set.Kinds, set.CanGossip, set.PollsList = old.Kinds, old.CanGossip, old.PollsList
	if err := validate(&set); err != nil {
		return err
	}
	c.set = set
	for _, m := range slices.Clone(c.held) { // fewer attempts may be allowed than some had
		if m.out == nil && !m.live && !c.mayRetry(m) {
			c.giveUp(m)
		}
	}
	return nil
}

// reuse learns how calls fare on connections by the time these lay idle.
func (c *Controller) reuse(a *attempt, r Result) {
	if r == TimedOut || r == ConnectionLost {
		c.lost[a.idle] += lossWeight * (1 - c.lost[a.idle])
	} else if r == Served {
		c.lost[a.idle] -= lossWeight * c.lost[a.idle]
	}
}

// crowding learns how often endpoints of a kind refuse connections though they seem well: some take few, and
// idle ones of siblings count. In a large fleet they are scarce until calls show otherwise.
func (c *Controller) crowding(e *endpoint, r Result) {
	if _, known := c.crowd[e.Kind]; !known && c.set.many() {
		c.crowd[e.Kind] = 1
	}
	if (r == ConnectFailed || r == ConnectionRejected && c.even()) && !e.route.open {
		c.crowd[e.Kind] += crowdWeight
	}
	c.crowd[e.Kind] *= 1 - crowdWeight
}

// warmer takes a part off the rest of a slow start.
func (rt *route) warmer(cold time.Duration) { rt.warmAt -= time.Duration(float64(cold) * briskStep) }

// newTo takes down that a sibling found it warm, once each: one that lies must not hasten a cold partner alone. No more are needed
// than end the slow start.
func (rt *route) newTo(from int) bool {
	if slices.Contains(rt.warmBy, from) || len(rt.warmBy) >= int(1/briskStep) {
		return false
	}
	rt.warmBy = append(rt.warmBy, from)
	return true
}

// StreamStarted tells that the streamed answer to an attempt has begun; from then on it belongs to the client.
func (c *Controller) StreamStarted(now time.Duration, id MessageID) {
	c.clock(now)
	if m := c.messages[id]; m != nil {
		m.live = true
	}
}

// Abandon tells that nobody wants a message any more.
func (c *Controller) Abandon(now time.Duration, id MessageID) {
	c.clock(now)
	if m := c.messages[id]; m != nil {
		c.close(m)
	}
}

// TimerFired answers an earlier Wake.
func (c *Controller) TimerFired(now time.Duration, token uint32) {
	c.clock(now)
	if token == c.token {
		c.armed = 0
	}
}

// idleness sorts idle times of a connection by doublings from briefIdle.
func idleness(idle time.Duration) int {
	return min(idleBands-1, max(0, int(math.Log2(float64(idle)/float64(briefIdle)))+1))
}

// report takes what an endpoint told of its limit.
func (c *Controller) report(e *endpoint, load []float32) {
	if i := c.set.LimitIndex; i >= 0 && i < len(load) {
		e.route.limit, e.route.told = float64(load[i]), true
	}
}

// earn follows what the slots bring in for their time.
func (c *Controller) earn(m *message, took time.Duration, r Result) {
	c.yield *= 1 - yieldWeight
	c.time *= 1 - yieldWeight
	c.time += took.Seconds()
	if r == Served {
		c.yield += c.worth(m, c.age(m))
	}
}

// arm asks to be woken when time alone changes what can be done.
func (c *Controller) arm() {
	next := time.Duration(math.MaxInt64)
	at := func(t time.Duration) {
		if t > c.now && t < next {
			next = t
		}
	}
	if c.calls > 0 {
		at(c.now + pulse)
	}
	for _, m := range c.held {
		if m.out == nil && !m.live {
			at(c.lastCall(m))
		}
		if m.turn != nil {
			at(m.turn.rest)
		}
	}
	for _, d := range c.busy {
		if len(d.outs) > 0 {
			at(d.outs[0].sent + d.outs[0].usual)
			at(d.outs[0].wanted)
		}
		if len(d.fresh)+len(d.old) == 0 {
			continue
		}
		for _, e := range d.endpoints {
			at(e.route.wait)
			at(e.roomAt)
			at(e.route.retryAt)
			if p := c.pace(e); p > 0 {
				at(c.now + time.Duration((1-e.route.tokens)/p*float64(time.Second)))
			}
		}
	}
	if c.set.PollsList && !c.watching && !c.asking {
		at(c.askAt)
	}
	if next == math.MaxInt64 || c.armed > c.now && c.armed <= next {
		return
	}
	c.token++
	c.armed = next
	c.act.SetTimer(next-c.now, c.token)
}

// RouteStates tells what is known of the endpoints listed.
func (c *Controller) RouteStates(now time.Duration) []RouteState {
	c.clock(now)
	var list []RouteState
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		if rt := e.route; e.State != Removed {
			list = append(list, RouteState{
				Endpoint: id, RetryAfter: max(0, rt.wait-now), ConsecutiveFailures: rt.bad, FailingFor: now - rt.since, CircuitOpen: rt.open,
				NextTrial: max(0, rt.retryAt-now), Backoff: rt.backoff, SlowStart: rt.warming, RecoveredFor: now - rt.backAt,
				LimitFraction: rt.share, CallTime: e.dest.tm, CallTimeDeviation: e.dest.dev,
			})
		}
	}
	return list
}

// RestoreRoutes takes up what the controller before this one knew of endpoints that this one has in its list. A clock
// of this controller's begins at its start: times before it are negative.
func (c *Controller) RestoreRoutes(now time.Duration, list []RouteState) {
	c.clock(now)
	for _, r := range list {
		e := c.endpoints[r.Endpoint]
		if e == nil {
			continue
		}
		rt := e.route
		rt.wait = max(rt.wait, now+r.RetryAfter)
		rt.bad, rt.since, rt.badAt = r.ConsecutiveFailures, now-r.FailingFor, now
		rt.open, rt.retryAt, rt.backoff, rt.before = r.CircuitOpen, now+r.NextTrial, r.Backoff, r.CallTime
		rt.risky = r.CircuitOpen // what the lone calls met is not told: a probe goes first, where it may
		if rt.warming = r.SlowStart; rt.warming {
			rt.backAt, rt.warmAt, rt.tokens = now-r.RecoveredFor, now-r.RecoveredFor, 0
		}
		if r.LimitFraction > 0 && r.LimitFraction <= 1 {
			rt.share = r.LimitFraction
		}
		if r.CallTime > 0 && e.dest.tm == 0 {
			e.dest.tm, e.dest.dev, e.dest.answers = r.CallTime, r.CallTimeDeviation, 1
		}
		rt.filled = now
	}
}

// ApplyRetryAfter has a wait bind an endpoint that was told before the endpoint was listed, as by another one at its address.
func (c *Controller) ApplyRetryAfter(now time.Duration, id EndpointID, wait time.Duration) {
	c.clock(now)
	if e := c.endpoints[id]; e != nil {
		e.route.wait = max(e.route.wait, now+wait)
	}
}

// SetRemoteInFlight tells how many slots calls of another process of this instance take.
func (c *Controller) SetRemoteInFlight(now time.Duration, calls int) {
	c.clock(now)
	c.abroad = calls
}

// RemoteOutcome takes the outcome of a call that another process of this instance had out, sent so long ago: its waits bind,
// and it tells of the endpoint's health. What became of its message the host has seen to.
func (c *Controller) RemoteOutcome(now time.Duration, o Outcome, ago time.Duration) {
	c.clock(now)
	e := c.endpoints[o.Endpoint]
	if e == nil || o.Result == NotSent || o.Result == Unprocessable || o.Result == Canceled || o.Result == ConnectionRejected {
		return
	}
	if o.RetryAfter > 0 {
		e.route.wait = max(e.route.wait, c.now+o.RetryAfter)
	}
	c.health(e, now-ago, o.Result, o.RetryAfter)
}
