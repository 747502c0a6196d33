// Package control makes the decisions of an outbound gateway that calls many partners' systems. Its interface
// stands in types.go; everything that is decided, and every tuned value, stands here.
//
// For each destination messages wait in a fresh and a deferred queue. A round sends the fresh head if its age
// plus the expected call time T_m meets the aim, and defers it otherwise; once no fresh message is left it
// sends the deferred head if that meets the deadline, and refuses it otherwise.
package control

import (
	"math"
	"time"

	"cleathold/internal/fleethealth"
)

const (
	alpha        = 0.25                   // weight of the latest call in T_m
	stallFactor  = 6.0                    // a gap between answers of so many usual gaps marks a stall
	wideCap      = 0.75                   // share of the slots that one destination may take
	narrowCap    = 0.5                    // the same after a failure, until a call is served
	deviations   = 4.0                    // mean deviations above T_m that a usual call takes at most
	driftWeight  = 0.1                    // weight of the latest call in how calls now compare with T_m
	cutSafe      = 3.0                    // a repeatable message waits for an answer so many usual calls
	wanted       = 0.5                    // part of that, after which others may have its slot
	cutUnsafe    = 8.0                    // one that can't be repeated: cutting it short loses it
	rateSpan     = 10 * time.Second       // memory of the rate of a destination's traffic
	burst        = 200 * time.Millisecond // depth of a limit's token bucket
	shareDown    = 0.65                   // a refusal takes the share of a limit down to this part
	shareRise    = 0.08                   // and each second with served calls adds so much again
	leastPart    = 0.4                    // but it leaves so much of this instance's part
	evenStart    = 2.0                    // even parts of a limit that one of many siblings starts with...
	evenRise     = 0.5                    // ...gains each second...
	evenMost     = 4.0                    // ...and has at most
	evenCut      = 0.7                    // a refusal, its own or a sibling's, takes its share to this part...
	evenOver     = 1.5                    // ...of so many even parts at most
	evenLeast    = 0.02                   // but leaves so much of one
	aloneCut     = 0.25                   // one that hears nobody: to this part, of one even part...
	aloneRise    = 0.03                   // ...and each served call adds this part of it
	evenCold     = 1.3                    // times its sure part on a cold return: the sum of all is known
	evenDepth    = 6.0                    // calls that may come together after a pause
	leastShare   = 0.01                   // with reports the share grows from here
	roomLeft     = 0.5                    // a refusal with less of a limit left is no outage
	shareUp      = 0.1                    // an answer with all the allowance left raises it by this part
	briefIdle    = 250 * time.Millisecond // a connection idle for less counts as busy
	idleBands    = 8                      // bands of idle time, each twice the last
	lossWeight   = 0.15                   // weight of the latest call in the losses of a band
	lossLimit    = 0.3                    // part of the calls lost that makes a band's connections stale...
	lossContrast = 3.0                    // ...if it is so many times that on busy connections
	lossFade     = 0.01                   // part of that memory lost with each connection closed for it
	crowdWeight  = 0.05                   // weight of the latest call in the part of a kind's calls...
	crowdLimit   = 0.01                   // ...that get no connection; above this they are closed once idle
	turnedMost   = 3                      // times that the wait for room at an endpoint doubles
	manySiblings = 8                      // from here on a fleet is large: its sum counts
	reserve      = 0.25                   // part of the slots kept for calls that bring at least...
	lowYield     = 0.5                    // ...so much of what slots usually bring for their time
	yieldWeight  = 0.02                   // weight of the latest call in that
	streak       = 3                      // bad answers in a row that open a route
	firstTest    = 4                      // part of the cold time that the first test of a route waits at most
	testMost     = 8                      // part of the cold time between two tests of a route at most
	briskCall    = 1.5                    // so many T_m of before the trouble take calls of a warm destination
	briskStep    = 0.1                    // and takes this part off the rest of its slow start
	pulse        = 100 * time.Millisecond // step at which the clock is watched while calls are out
	askRetry     = 0.1                    // share of the ask period to wait after a failed call
	askPart      = 0.8                    // share of the ask period over which many spread asks at most...
	spreadMost   = 43 * time.Second / 10  // ...and this: a tenth more and an answer are under 6 s
	askMost      = 12 * time.Second / 5   // after a failed call: half more and two answers are, too
	askTurn      = 50 * time.Millisecond  // what a large fleet leaves discovery for each ask of one of them
)

// UpdateEndpoints takes news of the endpoint list.
func (c *Controller) UpdateEndpoints(now time.Duration, news ListUpdateKind, list []Endpoint) {
	c.clock(now)
	c.heard(news)
	if news == ListFull || news == ListCached {
		c.unlist(list)
	}
	for _, e := range list {
		c.learn(e)
	}
	c.prune()
}

// heard notes that the list answered, or failed to. Where the list answers
// only when asked, a failure may have ended the subscription.
func (c *Controller) heard(news ListUpdateKind) {
	if !c.set.PollsList {
		return
	}
	switch news {
	case ListCached:
		if c.askAt = c.now; c.set.PollSpread() > 0 {
			c.askAt += time.Duration(c.rng.Float64() * float64(c.set.PollSpread()))
		}
	case ListExcluded:
	case ListFailed:
		// Each ask made again puts discovery further behind, which works off those that nobody awaits any more.
		// Connections from before are closed: a drain may be hidden that only new ones would meet.
		if c.watching, c.asking, c.blind = false, false, c.even(); c.blind {
			c.freeAll()
		}
		wait := min(askMost, max(c.set.PollSpread(), time.Duration(askRetry*float64(c.set.MaxPollInterval))))
		c.askAt = c.now + time.Duration((0.5+c.rng.Float64())*float64(wait))
	default:
		c.watching, c.asking, c.blind = true, false, false
	}
}

// many tells a large fleet.
func (s *Settings) many() bool { return s.FleetSize >= manySiblings }

// PollSpread is the time over which a large fleet spreads asks that would come at one instant; else 0. At any
// size it leaves time to ask before the list counts as told.
func (s *Settings) PollSpread() time.Duration {
	if !s.many() {
		return 0
	}
	spread := min(spreadMost, time.Duration(s.FleetSize)*askTurn)
	if s.MaxPollInterval > 0 {
		spread = min(spread, time.Duration(askPart*float64(s.MaxPollInterval)))
	}
	return spread
}

// ask subscribes to the list where it answers only when asked.
func (c *Controller) ask() {
	if c.set.PollsList && !c.watching && !c.asking && c.now >= c.askAt {
		c.asking = true
		c.act.Watch(true)
	}
}

// Submit takes a message handed in.
func (c *Controller) Submit(now time.Duration, msg Message) {
	c.clock(now)
	if c.messages[msg.ID] != nil {
		return
	}
	if msg.Class < 0 || msg.Class >= len(c.set.Classes) {
		msg.Class = 0
	}
	d := c.dest(msg.Destination)
	m := &message{Message: msg, class: &c.set.Classes[msg.Class], dest: d, due: now + msg.TimeLeft}
	m.sends, m.ran, m.ranAt, m.ranIn = msg.Attempts, msg.MayHaveRun, now-msg.FirstRunAgo, msg.FirstRunZone
	c.messages[m.ID] = m
	c.held = append(c.held, m)
	if m.class.Ordered && m.Key != 0 {
		m.turn = c.turnOf(m.Key)
		m.turn.line = append(m.turn.line, m)
	}
	d.count(now)
	c.expect(d)
	if !c.mayRetry(m) { // what it had before allows no further attempt
		c.giveUp(m)
		return
	}
	d.fresh = append(d.fresh, m)
	c.wake(d)
}

// AttemptDone takes the outcome of an attempt.
func (c *Controller) AttemptDone(now time.Duration, o Outcome) {
	c.clock(now)
	m := c.messages[o.ID]
	if m == nil || m.out == nil || o.Attempt != m.sends-1 {
		return
	}
	a := m.out
	m.out = nil
	c.release(a)
	a.endpoint.dest.outs = without(a.endpoint.dest.outs, a)
	c.judge(a, o)
	c.earn(m, o.Elapsed, o.Result)
	if o.Result.MayHaveRun() && !m.ran {
		m.ran, m.ranAt, m.ranIn = true, a.sent, a.endpoint.Zone
	}
	if t := m.turn; t != nil {
		t.out--
		if o.Result == TimedOut || o.Result == ConnectionLost || o.Result == Canceled || o.Result == Unknown {
			t.rest, t.restBy = now+c.set.OrderedPause, m
		}
	}
	switch {
	case o.Final:
		c.close(m)
	case m.over:
	case o.Result == Unprocessable: // it would be rejected again
		c.act.Fail(m.ID)
		c.close(m)
	case c.mayRetry(m):
		m.dest.fresh = append([]*message{m}, m.dest.fresh...)
	default:
		c.giveUp(m)
	}
	c.forget(m)
}

// HealthChecked takes the answer to a probe.
func (c *Controller) HealthChecked(
	now time.Duration, to EndpointID, r Result, took time.Duration, load []float32,
) {
	c.clock(now)
	e := c.endpoints[to]
	if e == nil {
		return
	}
	c.report(e, load)
	// A probe may be answered beside the queue: it lets one ordinary call go, whose answer counts.
	if e.route.proved = r == Served; !e.route.proved {
		c.health(e, now-took, r, 0)
	}
}

// judge learns from an outcome: T_m, the stall, the report and the health.
func (c *Controller) judge(a *attempt, o Outcome) {
	if o.Result == Canceled {
		o.Result = TimedOut // only overdue calls are called off
	}
	if o.Result == NotSent || o.Result == Unprocessable { // neither tells of the destination
		return
	}
	if o.RetryAfter > 0 { // told with any answer, it binds alike
		a.endpoint.route.wait = max(a.endpoint.route.wait, c.now+o.RetryAfter)
	}
	d := a.endpoint.dest
	d.stall(c.now, a.sent)
	rt := a.endpoint.route
	timed := o.Result == Served && c.now != c.resumed // a call time that holds no standstill
	if timed && rt.warming && o.Elapsed <= time.Duration(briskCall*float64(rt.before)) {
		// A cold destination is slow. One as quick as before is warm: its pace may rise sooner, to an even
		// part of what it takes and no further, as siblings that send as much may have seen less.
		if c.even() && c.now-rt.warmAt < c.set.WarmUp { // they have yet to gain by it
			c.speak(a.endpoint, ObservedWarm)
		}
		rt.warmer(c.set.WarmUp)
	}
	// Quick refusals and errors say nothing of the call time, and a time-out only that it is longer:
	// either would let T_m, and with it both tests of a round, follow the trouble and not the work.
	if timed && a.sent >= d.stalled {
		c.drift += driftWeight * (float64(o.Elapsed)/float64(max(d.tm, c.set.Tick, 1)) - c.drift)
		d.learn(o.Elapsed)
		c.overall.learn(o.Elapsed)
		d.late = 0
		d.answers++
	}
	c.reuse(a, o.Result)
	c.crowding(a.endpoint, o.Result)
	if o.Result == ConnectionRejected {
		// Among many siblings it is full of them: room comes as calls end. It proves neither a limit nor an outage.
		if o.Result = Rejected; c.even() && !rt.open {
			e := a.endpoint
			e.roomAt = c.now + time.Duration((0.5+c.rng.Float64())*float64(max(d.tm, c.set.Tick)<<e.turned))
			e.turned = min(e.turned+1, turnedMost)
			return
		}
	}
	a.endpoint.turned = 0
	c.report(a.endpoint, o.LoadReport)
	if !c.crowded(a.endpoint, o) {
		c.health(a.endpoint, a.sent, o.Result, o.RetryAfter)
	}
	c.share(a, o.Result, o.LoadReport)
}

// crowded tells a refusal above a known limit, with nothing of it left, from an outage.
func (c *Controller) crowded(e *endpoint, o Outcome) bool {
	i := c.set.HeadroomIndex
	rt := e.route
	if o.Result != Rejected || o.RetryAfter >= c.set.OverloadWindow || rt.open || rt.limit <= 0 ||
		i < 0 || i >= len(o.LoadReport) || o.LoadReport[i] > roomLeft {
		return false
	}
	rt.wait = max(rt.wait, c.now+o.RetryAfter)
	return true
}

// stall marks a pause of the destination: a gap between answers far above the
// usual one while calls were out. Calls sent before its end skip T_m.
func (d *dest) stall(now, sent time.Duration) {
	from := max(sent, d.answered)
	gap := now - from
	if d.gap > 0 && float64(gap) > stallFactor*float64(d.gap) {
		d.stalled = now
	}
	d.gap = ewma(d.gap, gap)
	d.answered = now
}

// learn moves T_m towards the time of the latest call.
func (p *callTime) learn(took time.Duration) {
	if p.tm == 0 {
		p.tm, p.dev = took, took/2
	}
	p.dev = ewma(p.dev, max(took-p.tm, p.tm-took))
	p.tm = ewma(p.tm, took)
}

// expect gives a destination that has not answered yet the call time of all: one of many sees little of each.
func (c *Controller) expect(d *dest) {
	if d.answers == 0 {
		d.callTime = c.overall
	}
}

// usual is the time within which a call is answered if all is well. It doubles with each time-out in a row,
// only a lower bound, and grows if calls everywhere take longer than a T_m of few answers says.
func (c *Controller) usual(d *dest, k *Class) time.Duration {
	u := max(d.tm+time.Duration(deviations*float64(d.dev)), 2*d.tm)
	if d.tm == 0 {
		u = k.LatencyObjective / 2
	}
	return time.Duration(float64(u<<min(d.late, 4)) * max(1, c.drift))
}

// timeout is how long an attempt may go unanswered. Hung calls hold slots
// that other destinations need; a repeatable message can go elsewhere.
func (c *Controller) timeout(m *message) time.Duration {
	u := float64(c.usual(m.dest, m.class))
	if m.class.Idempotency == NotIdempotent {
		return min(m.due-c.now, time.Duration(cutUnsafe*u))
	}
	return min(m.due-c.now, time.Duration(cutSafe*u))
}

// reclaim calls off the most overdue call of a silent destination when all slots
// are taken and others' messages wait: with slots to spare it may yet be answered.
func (c *Controller) reclaim() {
	if !c.set.CanCancel || c.calls+c.abroad < c.set.MaxInFlight {
		return
	}
	var worst *attempt
	waiting := false
	for _, d := range c.busy {
		waiting = waiting || len(d.fresh)+len(d.old) > 0 && !d.shared.open && d.out < c.cap(d)
		for _, a := range d.outs {
			if a.calledOff {
				return
			}
			silent := a.endpoint.route.open && d.answered <= a.sent
			if silent && c.now >= a.wanted && !a.message.live && (worst == nil || a.wanted < worst.wanted) {
				worst = a
			}
		}
	}
	if worst == nil || !waiting {
		return
	}
	for _, a := range worst.endpoint.dest.outs {
		if a.call == worst.call {
			a.calledOff = true
			c.act.Cancel(a.message.ID, a.message.sends-1)
		}
	}
}

// silence finds destinations that have answered nothing since their oldest call out was overdue. Slow and
// hung ones look the same: until they answer they get lone calls, so that they don't fill the slots.
// One of many sees a few calls: one overdue says that of its endpoint alone.
func (c *Controller) silence() {
	for _, d := range c.busy {
		for i, a := range d.outs {
			e, rt := a.endpoint, a.endpoint.route
			if c.now < a.sent+a.usual || rt.open ||
				!c.even() && (i > 0 || d.answered > a.sent) || c.even() && e.served > a.sent {
				continue
			}
			if c.even() {
				e.bad = max(1, e.bad)
			}
			if !c.even() || c.spoilt(d) {
				rt.risky = true
				c.open(e)
			}
		}
	}
}

// probes tests open routes at their time, by the endpoint that was not called for longest, where messages
// wait. Where the last call was turned away before it ran, an ordinary call risks nothing and is the test.
func (c *Controller) probes() {
	for _, d := range c.busy {
		if len(d.fresh)+len(d.old) == 0 {
			continue
		}
		var to *endpoint
		for _, e := range d.endpoints {
			due := e.route.open && e.route.risky && !e.route.proved && c.allowed(probing, nil, e)
			if due && (to == nil || e.used < to.used) {
				to = e
			}
		}
		if to != nil {
			to.used = c.now
			c.open(to)
			c.act.HealthCheck(to.ID)
		}
	}
}

// open takes a route for out of order: lone calls only, ever more seldom. All siblings may be testing when
// it returns, and each test pushes: the more there are, the later the first and the rarer the last.
func (c *Controller) open(e *endpoint) {
	rt := e.route
	if !rt.open {
		rt.before = e.dest.tm
		first := min(c.rare(e), c.set.WarmUp/firstTest, c.set.OverloadWindow*time.Duration(c.set.FleetSize)/8)
		rt.open, rt.backoff = true, max(first, c.set.OverloadWindow/2)
	}
	rt.retryAt = c.now + time.Duration((0.75+c.rng.Float64()/2)*float64(rt.backoff))
	rt.backoff = min(rt.backoff*2, max(c.set.WarmUp/testMost, c.rare(e)))
}

// rare is the time between tests that takes this instance's part of half the
// budget of a cold return.
func (c *Controller) rare(e *endpoint) time.Duration {
	rate := c.part(e) * c.set.ColdCapacity * c.set.OverloadFactor / 2
	return min(c.set.WarmUp, time.Duration(float64(time.Second)/max(rate, 0.01)))
}

// ewma is the exponentially weighted moving average of the paper.
func ewma(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return time.Duration(alpha*float64(latest) + (1-alpha)*float64(old))
}

// health moves the state of a route on an answer to a call sent at that time.
func (c *Controller) health(e *endpoint, sent time.Duration, r Result, wait time.Duration) {
	rt := e.route
	// Calls from before a long told wait may still be served in it. That proves nothing of its end.
	if r == Served && rt.open && c.now < rt.wait && rt.wait-rt.badAt >= c.set.OverloadWindow {
		return
	}
	if r == Served {
		if c.even() && e.verdict.Served(c.now, c.terms()) {
			c.speak(e, ObservedUp)
		}
		e.dest.shy = false
		rt.goodAt, e.served = c.now, c.now
		// Mere silence that ends in an answer was slowness, and a short streak bad luck or a limit met.
		// Failures over a while mean an outage, and a cold return; one met on the way back goes on.
		if rt.bad > 0 && c.now-rt.since >= c.set.OverloadWindow {
			if c.even() && rt.open {
				c.act.Gossip(Observation{Endpoint: e.ID, Kind: ObservedRecovery, Age: c.now - sent})
			}
			c.back(rt)
		}
		rt.open = false
		e.bad, rt.bad = 0, 0
		return
	}
	// A refusal between answers that serve is one above a limit, which share and its pace deal with. Taken
	// for an outage, it would cost a pause and a slow start while there is room.
	if r == Rejected && !rt.open && wait < c.set.OverloadWindow &&
		rt.goodAt > 0 && c.now-rt.goodAt < c.set.OverloadWindow {
		rt.wait = max(rt.wait, c.now+wait)
		return
	}
	if r != Rejected && c.even() && e.verdict.Failed(c.now, c.terms(), c.rng.Float64()) {
		c.speak(e, ObservedDown)
	}
	if r == TimedOut && sent >= rt.badAt {
		e.dest.late++
	}
	// Calls sent together fail together: they count as one.
	if rt.bad == 0 || sent >= rt.badAt {
		if rt.bad == 0 {
			rt.since = c.now
		}
		e.bad++
		rt.bad++
		rt.badAt = c.now
	}
	e.dest.shy = true
	if wait > 0 {
		rt.wait = max(rt.wait, c.now+wait)
	}
	// A long wait tells of a shut destination that comes back cold, for all siblings at one instant.
	if wait >= c.set.OverloadWindow && !rt.open {
		c.open(e)
		rt.retryAt = rt.wait + time.Duration(c.rng.Float64()*float64(c.rare(e)))
	}
	rt.risky = r.MayHaveRun()
	// One of many sees a few calls: it may meet the same dead endpoints again and again while others serve.
	if !rt.open && rt.bad >= streak && (r == Rejected || !c.even() || c.spoilt(e.dest)) {
		c.open(e)
	}
}

// back begins the slow start of a route that was out of order.
func (c *Controller) back(rt *route) {
	if !rt.warming || c.now-rt.since >= c.set.WarmUp/2 {
		rt.warming, rt.warmAt, rt.backAt, rt.warmBy = true, c.now, c.now, rt.warmBy[:0]
	}
	rt.tokens, rt.filled = c.rng.Float64(), c.now // of many siblings each sends little, at a time of its own
}

// pace is the rate in calls a second that a route is sent; 0 = as they come. A known limit is kept by a
// token bucket, as each call above it is lost. A warming route gets the part that it can be sure to take.
func (c *Controller) pace(e *endpoint) float64 {
	rt := e.route
	whole := rt.limit
	if whole <= 0 && c.set.WeightKind != WeightsUnset && !rt.told {
		whole = e.Weight
	}
	if !rt.warming {
		if c.even() {
			return whole * rt.share
		}
		return max(whole*rt.share, min(whole, c.part(e)*leastPart))
	}
	f := c.set.ColdCapacity
	if c.set.WarmUp > 0 {
		f += (1 - f) * float64(c.now-rt.warmAt) / float64(c.set.WarmUp)
	}
	if c.even() {
		f *= evenCold
	}
	return c.part(e) * min(f, 1) * max(1, c.set.OverloadFactor/2)
}

// part is this instance's part of what a destination takes: halfway between an even one, which would starve
// busy instances, and its own traffic. In sum over the siblings that is the whole at most.
func (c *Controller) part(e *endpoint) float64 {
	d, whole := e.dest, e.route.limit
	own := d.rate * math.Exp(-float64(c.now-d.rateAt)/float64(rateSpan)) / rateSpan.Seconds()
	if whole <= 0 && c.set.WeightKind != WeightsUnset {
		whole = e.Weight
	}
	if whole <= 0 {
		return max(own, 1/float64(c.set.FleetSize))
	}
	if c.even() {
		return whole / float64(c.set.FleetSize)
	}
	return (min(own, whole) + whole/float64(c.set.FleetSize)) / 2
}

// even tells that this instance shares limits by even parts, in one movement with many siblings who tell one
// another of refusals. A few learn their shares alone.
func (c *Controller) even() bool { return c.set.CanGossip && c.set.many() }

// cut takes a share of a limit down after a refusal, a sibling's too: what all send in sum was too much. To
// one that hears nobody each of its own stands for many, and served calls alone raise its share again.
func (c *Controller) cut(rt *route) {
	part, over, to := 1/float64(c.set.FleetSize), evenOver, evenCut
	if c.hear.Isolated(c.now) {
		over, to = 1, aloneCut
	}
	rt.share = max(to*min(rt.share, over*part), evenLeast*part)
	rt.cutAt = c.now
	rt.tokens, rt.filled = c.rng.Float64(), max(c.now, rt.wait) // not all siblings at one instant
}

// ReceiveGossip takes a note from a sibling. It makes this instance more careful, or nothing of it.
func (c *Controller) ReceiveGossip(now time.Duration, n Observation) {
	c.clock(now)
	e := c.endpoints[n.Endpoint]
	if e == nil || !c.even() {
		return
	}
	c.hear.PeerHeard(now, n.Peer)
	if n.Kind == ReachabilityQuery && c.hear.ShouldReply(c.rng.Float64()) {
		c.act.Gossip(Observation{Endpoint: n.Endpoint, Kind: ReachabilityReply})
	}
	rt, sent := e.route, now-n.Age
	switch {
	case n.Kind == ObservedRejection && !rt.warming && sent >= rt.cutAt:
		c.cut(rt)
	case n.Kind == ObservedDown || n.Kind == ObservedUp:
		c.word(e, fleethealth.Report{Peer: n.Peer, At: sent, Up: n.Kind == ObservedUp})
	case n.Kind == ObservedWarm && sent > rt.backAt && rt.newTo(n.Peer):
		rt.warmer(c.set.WarmUp)
	case n.Kind == ObservedRecovery && rt.bad > 0 && sent > rt.badAt &&
		now >= max(rt.wait, rt.since+c.set.OverloadWindow):
		c.back(rt) // spared its own test, it starts as slowly as after one
		rt.open, e.bad, rt.bad = false, 0, 0
	}
}

// refill fills the token bucket of a route, and ends its slow start.
func (c *Controller) refill(e *endpoint) {
	rt := e.route
	if rt.warming && c.now >= rt.backAt+c.set.WarmUp {
		rt.warming = false
	}
	if c.hear.Isolated(c.now) {
		if rt.grownAt = c.now; rt.cutAt == c.hear.QueriedAt {
			c.cut(rt)
		}
		if c.hear.RepeatQuery(c.now) {
			c.act.Gossip(Observation{Endpoint: e.ID, Kind: ReachabilityQuery})
		}
	}
	if from := max(rt.grownAt, rt.cutAt, rt.wait); c.even() && !rt.warming && c.now > from {
		grown := (c.now - from).Seconds() * evenRise * c.hear.ReachableFraction(c.now)
		rt.share = min(evenMost/float64(c.set.FleetSize), rt.share+grown/float64(c.set.FleetSize))
		rt.grownAt = c.now
	}
	p, depth := c.pace(e), 1.0
	if !rt.warming {
		depth = max(1, p*burst.Seconds())
		if c.even() {
			depth = evenDepth // one of many sees its messages in clumps
		}
	}
	if c.now > rt.filled {
		rt.tokens = min(depth, rt.tokens+p*(c.now-rt.filled).Seconds())
		rt.filled = c.now
	}
}

// freshen closes the idle connections of an endpoint if calls on those idle for so long are lost and on busy
// ones are not: something on the way forgets connections, which looks like a hung partner but is not. Each
// use lets the memory fade, so that a healed way is found again.
func (c *Controller) freshen(e *endpoint) int {
	band := 0
	if e.out == 0 && e.linked {
		band = idleness(c.now - e.used)
	}
	for b := 1; b <= band; b++ {
		if c.lost[b] > lossLimit && c.lost[b] > lossContrast*c.lost[0] {
			c.lost[b] *= 1 - lossFade
			c.act.Disconnect(e.ID)
			return 0
		}
	}
	return band
}

// unlink: where connections are scarce, one that no message waits for would keep siblings out: it is closed.
func (c *Controller) unlink() {
	for _, e := range c.freed {
		if e.linked && e.out == 0 && (c.blind || c.crowd[e.Kind] > crowdLimit) {
			e.linked = false
			c.act.Disconnect(e.ID)
		}
	}
	c.freed = c.freed[:0]
}

// share learns this instance's part of a route's limit: refusals lower it, once for calls sent together, and
// served calls raise it slowly, so that the siblings meet near the limit. Reports that tell of allowance left
// raise it at once. A refusal and a report stand for what half the siblings see.
func (c *Controller) share(a *attempt, r Result, load []float32) {
	rt, fleet := a.endpoint.route, float64(c.set.FleetSize)/2
	switch {
	case r == Rejected && !rt.warming && c.even():
		if a.sent >= rt.cutAt {
			c.cut(rt)
			c.say(a.endpoint, c.now-a.sent)
		}
	case r == Rejected && !rt.warming:
		if a.sent >= rt.cutAt {
			rt.share *= math.Pow(shareDown, fleet)
			rt.cutAt = c.now
		}
		rt.tokens, rt.filled = c.rng.Float64()-0.5, max(c.now, rt.wait) // not all siblings at one instant
	case r == Served && c.hear.Isolated(c.now):
		rt.share = min(evenMost/float64(c.set.FleetSize), rt.share*(1+aloneRise))
	case r == Served && !c.even():
		grown := min(c.now-rt.grownAt, time.Second).Seconds() * shareRise
		rt.share, rt.grownAt = min(1, rt.share+grown), c.now
	}
	if i := c.set.HeadroomIndex; r == Served && i >= 0 && i < len(load) {
		rt.share = min(1, max(rt.share, leastShare)*math.Pow(1+shareUp*float64(load[i]), fleet))
	}
}

// A deed is an action that a rule may forbid.
type deed uint8

const (
	sending deed = iota
	refusing
	probing
)

// allowed is the one guard for the rules: no send, refusal or probe passes without it.
func (c *Controller) allowed(what deed, m *message, e *endpoint) bool {
	switch what {
	case refusing:
		return !m.over && m.out == nil && mayHandBack(m)
	case probing:
		return c.set.CanHealthCheck && e.State == Ready && c.now >= max(e.route.wait, e.route.retryAt)
	}
	return !m.over && m.out == nil && c.now < m.due && c.mayRetry(m) && c.sameMemory(m, e) &&
		c.hasTurn(m) && c.reachable(e) && (c.calls+c.abroad < c.set.MaxInFlight || c.joins(e))
}

// mayHandBack: a refusal tells that trying again is harmless.
func mayHandBack(m *message) bool {
	return !m.ran || m.class.Idempotency == Idempotent ||
		m.class.Idempotency == IdempotentByKey && !m.class.KeyZoneScoped
}

// mayRetry: a further attempt only as the class allows, and within the cap.
func (c *Controller) mayRetry(m *message) bool {
	if c.set.MaxAttempts > 0 && m.sends >= c.set.MaxAttempts {
		return false
	}
	if !m.ran || m.class.Idempotency == Idempotent {
		return true
	}
	// The repeat must arrive while the first is remembered, so a usual call's time is the margin.
	margin := min(c.usual(m.dest, m.class), m.class.KeyRetention/4)
	return m.class.Idempotency == IdempotentByKey && c.now+margin < m.ranAt+m.class.KeyRetention
}

// sameMemory: a keyed message that may have run stays where repeats are dropped.
func (c *Controller) sameMemory(m *message, e *endpoint) bool {
	return !m.ran || !m.class.KeyZoneScoped || e.Zone == m.ranIn
}

// hasTurn: messages of one key go one at a time, in the order taken.
func (c *Controller) hasTurn(m *message) bool {
	t := m.turn
	return t == nil || t.line[0] == m && t.out == 0 && (t.restBy == m || c.now >= t.rest)
}

// reachable: drains, told waits and the return of a cold destination.
func (c *Controller) reachable(e *endpoint) bool {
	rt := e.route
	if e.State != Ready || c.now < max(rt.wait, e.roomAt) {
		return false
	}
	if rt.open {
		return rt.proved || c.now >= rt.retryAt && !(rt.risky && c.set.CanHealthCheck)
	}
	if c.joins(e) {
		return true
	}
	c.refill(e)
	return rt.tokens >= 1 || c.pace(e) <= 0
}

// send makes an attempt, if the rules allow it.
func (c *Controller) send(m *message, e *endpoint) bool {
	if !c.allowed(sending, m, e) {
		return false
	}
	if !c.joins(e) {
		e.last = &call{at: c.now, idle: c.freshen(e)}
		e.route.tokens--
		c.calls++
		e.out++
		e.dest.out++
	}
	e.last.size++
	e.last.left++
	if e.route.open {
		e.route.proved = false
		c.open(e)
	}
	limit := c.timeout(m)
	m.out = &attempt{
		message: m, endpoint: e, call: e.last, sent: c.now, idle: e.last.idle, usual: c.usual(m.dest, m.class),
		wanted: c.now + time.Duration(wanted*float64(limit)),
	}
	m.dest.outs = append(m.dest.outs, m.out)
	m.sends++
	e.used, e.linked = c.now, true
	if m.turn != nil {
		m.turn.out++
	}
	c.act.Send(m.ID, e.ID, limit)
	return true
}

// giveUp gives the final answer at once: handed back if trying again is harmless, failed otherwise.
func (c *Controller) giveUp(m *message) {
	if c.allowed(refusing, m, nil) {
		c.act.Reject(m.ID, c.advice(m))
	} else if !m.over {
		c.act.Fail(m.ID)
	}
	c.close(m)
}

// advice tells a client when its destination may have room again: where its endpoints are routes apart, that
// is when the first of them has. Nothing known is no reason to come back at once.
func (c *Controller) advice(m *message) time.Duration {
	if !c.set.CanSendRetryAfter {
		return 0
	}
	soonest := time.Duration(math.MaxInt64)
	for _, e := range m.dest.endpoints {
		if e.State == Ready {
			soonest = min(soonest, max(e.route.wait, e.route.retryAt))
		}
	}
	if soonest == math.MaxInt64 {
		soonest = c.now + m.class.LatencyObjective
	}
	least := m.dest.tm
	if least == 0 {
		least = m.class.LatencyObjective / 2
	}
	return min(c.set.MaxRetryAfter, max(least, soonest-c.now))
}

// Decide acts on what the events of an instant have changed, once all are in. After a standstill of this
// instance they come together: judged one by one, calls would seem overdue whose answers are next in line.
func (c *Controller) Decide(now time.Duration) {
	c.clock(now)
	c.trim()
	c.ask()
	c.expire()
	c.silence()
	c.probes()
	c.rounds()
	c.reclaim()
	c.unlink()
	c.arm()
}

// lastCall is the time by which a held message must be on its way: its deadline less the expected call.
func (c *Controller) lastCall(m *message) time.Duration {
	return m.due - m.dest.tm - c.set.Tick
}

// expire gives up held messages that can no longer meet their deadline.
func (c *Controller) expire() {
	for i := 0; i < len(c.held); {
		m := c.held[i]
		if m.out == nil && !m.live && c.now >= c.lastCall(m) {
			c.giveUp(m)
			continue
		}
		i++
	}
}

// rounds runs rounds of selection while a slot is free: the head worth most for its slot-time goes first.
func (c *Controller) rounds() {
	for {
		var best *message
		var to *endpoint
		most := 0.0
		for _, d := range c.busy {
			m, e := c.round(d)
			if m == nil {
				continue
			}
			v := c.density(m)
			if c.joins(e) {
				v = math.Inf(1)
			} else if c.scarce(v) {
				continue
			}
			if best == nil || v > most {
				best, to, most = m, e, v
			}
		}
		if best == nil {
			return
		}
		best.dest.fresh = without(best.dest.fresh, best)
		best.dest.old = without(best.dest.old, best)
		c.send(best, to)
	}
}

// density is the worth of a message for each second that its call takes.
func (c *Controller) density(m *message) float64 {
	return c.worth(m, c.age(m)+m.dest.tm) / max(m.dest.tm, c.set.Tick, time.Millisecond).Seconds()
}

// worth is what a message brings when served at that age.
func (c *Controller) worth(m *message, age time.Duration) float64 {
	k := m.class
	if age <= k.LatencyObjective {
		return k.PriorityWeight
	}
	if c.set.WeightHalves {
		return k.PriorityWeight * max(k.LateWeight, math.Exp2(1-float64(age)/float64(max(k.LatencyObjective, 1))))
	}
	late := float64(age-k.LatencyObjective) / float64(max(k.Deadline-k.LatencyObjective, 1))
	return k.PriorityWeight * (1 - (1-k.LateWeight)*min(late, 1))
}

// scarce holds back a call that brings little for its time when few slots are left: a slow or sick
// destination may use idle slots, but not the last ones that quick calls to others need.
func (c *Controller) scarce(density float64) bool {
	free := c.set.MaxInFlight - c.calls - c.abroad
	return float64(free) <= reserve*float64(c.set.MaxInFlight) && c.time > 0 && density < lowYield*c.yield/c.time
}

// round is one round of selection for a destination: the message that goes next, and where to, or nil.
func (c *Controller) round(d *dest) (*message, *endpoint) {
	for {
		m, e := c.head(d, d.fresh)
		if m == nil {
			break
		}
		if c.age(m)+d.tm < m.class.LatencyObjective {
			return m, e
		}
		d.fresh = without(d.fresh, m)
		d.old = append(d.old, m)
	}
	for {
		m, e := c.head(d, d.old)
		if m == nil || c.age(m)+d.tm < m.class.Deadline {
			return m, e
		}
		c.giveUp(m)
	}
}

// head returns the message of a queue that goes first, and where to: of those
// that may go the one worth most when served now, then the longest waiting.
func (c *Controller) head(d *dest, queue []*message) (*message, *endpoint) {
	var best *message
	var to *endpoint
	most := 0.0
	for _, m := range queue {
		v := c.worth(m, c.age(m)+d.tm)
		if d.shared.open && m.class.Idempotency == NotIdempotent {
			v = -v // the lone call may be lost: it should be one that can be made again
		}
		if best != nil && v <= most {
			continue
		}
		if e := c.pick(d, m); e != nil {
			best, to, most = m, e, v
		}
	}
	return best, to
}

// cap is the number of calls that a destination may have out.
func (c *Controller) cap(d *dest) int {
	share := wideCap
	if d.shy {
		share = narrowCap
	}
	return max(1, int(share*float64(c.set.MaxInFlight)))
}

// pick chooses the endpoint for a message: least doubt, then fewest calls out, then the latest used.
func (c *Controller) pick(d *dest, m *message) *endpoint {
	var best *endpoint
	for _, e := range d.endpoints {
		if !c.joins(e) && d.out >= c.cap(d) || !c.allowed(sending, m, e) {
			continue
		}
		if c.joins(e) {
			return e // a message more in a call costs neither a slot nor the limit
		}
		if best == nil || c.better(m, e, best) {
			best = e
		}
	}
	return best
}

// better orders the endpoints of a destination for a message.
func (c *Controller) better(m *message, e, o *endpoint) bool {
	if x, y := c.doubt(m, e), c.doubt(m, o); x != y {
		return x < y
	}
	if x, y := c.toll(e), c.toll(o); x != y {
		return x < y
	}
	if e.out != o.out {
		return e.out < o.out
	}
	if c.even() && c.crowd[e.Kind] > crowdLimit {
		return e.used < o.used // without a connection to keep, all of many siblings would fill the same one
	}
	return e.used > o.used
}

// toll is the price of a message that an endpoint takes on, where its route stands by itself.
func (c *Controller) toll(e *endpoint) float64 {
	if !c.kind(e.Kind).SeparateRoutes || e.Zone < 0 || e.Zone >= len(c.set.ZoneCosts) {
		return 0
	}
	return c.set.ZoneCosts[e.Zone]
}

// doubt is the number of failures in a row that speak against an endpoint. A failed one is tried again, when
// the others are busy, by a message that may be repeated, or it would stay idle while another one serves.
// Where siblings found it dead one of them tests it for all: this one in its turn, by its next message.
func (c *Controller) doubt(m *message, e *endpoint) int {
	repeats, dead := m.class.Idempotency != NotIdempotent, c.dead(e)
	switch {
	case dead && repeats && e.out == 0 && c.now >= e.verdict.NextTrialAt():
		return -1
	case dead, !repeats && e.verdict.Suspected(c.now, c.terms()):
		return max(1, e.bad)
	}
	if repeats && e.out == 0 && c.now-e.used >= c.set.OverloadWindow<<min(max(e.bad-1, 0), 3) {
		return 0
	}
	return e.bad
}
