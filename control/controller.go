// Package control makes the decisions of an outbound gateway that calls many partners' systems. It does no I/O,
// takes the time as a parameter and keeps nothing beyond its process: its host carries out the Actions that it asks
// for.
//
// For each destination messages wait in a fresh and a deferred queue. A round of selection sends the fresh head if
// its age plus the expected call time T_m meets the latency objective, and defers it otherwise; once no fresh
// message is left it sends the deferred head if that meets the deadline, and rejects it otherwise.
//
// Each decision has a file of its own, with the state that it rests on and its tuned constants. Controller, in
// controller.go, takes the events and puts the decisions in order.
package control

import (
	"cleathold/internal/fleethealth"
	"cleathold/internal/reachability"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	timerResolution = 100 * time.Millisecond // step at which the clock is watched while calls are out
)

// Controller decides for one instance. It is not safe for concurrent use.
type Controller struct {
	settings             Settings
	actions              Actions
	rng                  *rand.Rand
	now                  time.Duration
	endpoints            map[EndpointID]*endpoint
	destinations         map[int]*destination
	busy                 []*destination // those with messages or calls out, in order of id
	slotWeight           float64        // worth that calls brought lately...
	slotSeconds          float64        // ...and the seconds of slots they took
	messages             map[MessageID]*message
	openMessages         []*message // not over, in order of arrival
	sequences            map[uint64]*keySequence
	idleSequences        []*keySequence     // turns that no message holds, to be dropped after their rest
	lossByIdleBand       [idleBands]float64 // part of the calls lost, by band of idle time
	connectionRejections map[int]float64    // part of the calls that got no connection, by kind
	overallCallTime      callTime           // of all destinations
	callTimeDrift        float64            // call times lately over the T_m of their destinations
	releasedEndpoints    []*endpoint        // endpoints with outcomes at this instant
	callsInFlight        int                // slots taken
	remoteInFlight       int                // and those taken by another process of this instance
	timerToken           uint32
	timerAt              time.Duration
	resumedAt            time.Duration // the end of this instance's latest standstill
	listSubscribed       bool
	listPolling          bool
	listFailed           bool // the latest ask failed
	nextPoll             time.Duration
	peers                reachability.Detector
	gossipLimiter        fleethealth.RateLimiter
}

// New returns a controller for one instance, or an error that names the
// setting that makes no sense.
func New(set Settings, act Actions) (*Controller, error) {
	if err := validate(&set); err != nil {
		return nil, err
	}
	return &Controller{
		peers: reachability.Detector{FleetSize: set.FleetSize}, settings: set, actions: act,
		rng:       rand.New(rand.NewPCG(set.Seed, 0)),
		endpoints: map[EndpointID]*endpoint{}, destinations: map[int]*destination{},
		connectionRejections: map[int]float64{}, messages: map[MessageID]*message{}, sequences: map[uint64]*keySequence{},
	}, nil
}

// UpdateSettings takes other settings while messages are held and out. Each keeps the class that it came with. What
// this instance is among its siblings, and how destinations are built, no settings can change under way.
func (c *Controller) UpdateSettings(now time.Duration, set Settings) error {
	c.advanceClock(now)
	old := &c.settings
	set.Seed, set.Index, set.FleetSize, set.Zone = old.Seed, old.Index, old.FleetSize, old.Zone
	set.Kinds, set.CanGossip, set.PollsList = old.Kinds, old.CanGossip, old.PollsList
	if err := validate(&set); err != nil {
		return err
	}
	c.settings = set
	for _, m := range slices.Clone(c.openMessages) { // fewer attempts may be allowed than some had
		if m.inFlight == nil && !m.streaming && !c.mayRetry(m) {
			c.finishUndelivered(m)
		}
	}
	return nil
}

// UpdateEndpoints takes news of the endpoint list.
func (c *Controller) UpdateEndpoints(now time.Duration, news ListUpdateKind, list []Endpoint) {
	c.advanceClock(now)
	c.recordListAnswer(news)
	if news == ListFull || news == ListCached {
		c.removeUnlisted(list)
	}
	for _, e := range list {
		c.updateEndpoint(e)
	}
	c.pruneRemoved()
}

// Submit takes a message handed in.
func (c *Controller) Submit(now time.Duration, msg Message) {
	c.advanceClock(now)
	if c.messages[msg.ID] != nil {
		return
	}
	if msg.Class < 0 || msg.Class >= len(c.settings.Classes) {
		msg.Class = 0
	}
	d := c.destination(msg.Destination)
	m := &message{Message: msg, class: &c.settings.Classes[msg.Class], destination: d, deadline: now + msg.TimeLeft}
	m.attemptCount, m.mayHaveRun, m.firstRunAt, m.firstRunZone = msg.Attempts, msg.MayHaveRun, now-msg.FirstRunAgo,
		msg.FirstRunZone
	c.messages[m.ID] = m
	c.openMessages = append(c.openMessages, m)
	if m.class.Ordered && m.Key != 0 {
		m.sequence = c.sequenceOf(m.Key)
		m.sequence.queue = append(m.sequence.queue, m)
	}
	d.countArrival(now)
	c.inheritCallTime(d)
	if !c.mayRetry(m) { // what it had before allows no further attempt
		c.finishUndelivered(m)
		return
	}
	d.fresh = append(d.fresh, m)
	c.markBusy(d)
}

// AttemptDone takes the outcome of an attempt.
func (c *Controller) AttemptDone(now time.Duration, o Outcome) {
	c.advanceClock(now)
	m := c.messages[o.ID]
	if m == nil || m.inFlight == nil || o.Attempt != m.attemptCount-1 {
		return
	}
	a := m.inFlight
	m.inFlight = nil
	c.releaseSlot(a)
	a.endpoint.destination.attempts = without(a.endpoint.destination.attempts, a)
	c.recordOutcome(a, o)
	c.recordSlotYield(m, o.Elapsed, o.Result)
	if o.Result.MayHaveRun() && !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, a.sentAt, a.endpoint.Zone
	}
	if t := m.sequence; t != nil {
		t.attemptsInFlight--
		if o.Result == TimedOut || o.Result == ConnectionLost || o.Result == Canceled || o.Result == Unknown {
			t.pausedUntil, t.pausedBy = now+c.settings.OrderedPause, m
		}
	}
	switch {
	case o.Final:
		c.finish(m)
	case m.finished:
	case o.Result == Unprocessable: // it would be rejected again
		c.actions.Fail(m.ID)
		c.finish(m)
	case c.mayRetry(m):
		m.destination.fresh = append([]*message{m}, m.destination.fresh...)
	default:
		c.finishUndelivered(m)
	}
	c.forgetFinished(m)
}

// StreamStarted tells that the streamed answer to an attempt has begun; from then on it belongs to the client.
func (c *Controller) StreamStarted(now time.Duration, id MessageID) {
	c.advanceClock(now)
	if m := c.messages[id]; m != nil {
		m.streaming = true
	}
}

// Abandon tells that nobody wants a message any more.
func (c *Controller) Abandon(now time.Duration, id MessageID) {
	c.advanceClock(now)
	if m := c.messages[id]; m != nil {
		c.finish(m)
	}
}

// TimerFired answers an earlier Wake.
func (c *Controller) TimerFired(now time.Duration, token uint32) {
	c.advanceClock(now)
	if token == c.timerToken {
		c.timerAt = 0
	}
}

// Decide acts on what the events of an instant have changed, once all are in. After a standstill of this
// instance they come together: judged one by one, calls would seem overdue whose answers are next in line.
func (c *Controller) Decide(now time.Duration) {
	c.advanceClock(now)
	c.trimBusy()
	c.pollList()
	c.expireMessages()
	c.detectUnresponsive()
	c.healthCheckOpenRoutes()
	c.runSelection()
	c.preemptOverdueCall()
	c.closeScarceConnections()
	c.armTimer()
}

// recordOutcome learns from an outcome: T_m, the stall, the report and the health.
func (c *Controller) recordOutcome(a *attempt, o Outcome) {
	if o.Result == Canceled {
		o.Result = TimedOut // only overdue calls are called off
	}
	if o.Result == NotSent || o.Result == Unprocessable { // neither tells of the destination
		return
	}
	if o.RetryAfter > 0 { // told with any answer, it binds alike
		a.endpoint.route.retryAfter = max(a.endpoint.route.retryAfter, c.now+o.RetryAfter)
	}
	d := a.endpoint.destination
	d.detectStall(c.now, a.sentAt)
	rt := a.endpoint.route
	timed := o.Result == Served && c.now != c.resumedAt // a call time that holds no standstill
	if timed && rt.slowStartActive && o.Elapsed <= time.Duration(warmCallFactor*float64(rt.callTimeBefore)) {
		// A cold destination is slow. One as quick as before is warm: its pace may rise sooner, to an even
		// part of what it takes and no further, as siblings that send as much may have seen less.
		if c.usesFleetRate() && c.now-rt.rampFrom < c.settings.WarmUp { // they have yet to gain by it
			c.gossipHealth(a.endpoint, ObservedWarm)
		}
		rt.advanceRamp(c.settings.WarmUp)
	}
	// Quick refusals and errors say nothing of the call time, and a time-out only that it is longer:
	// either would let T_m, and with it both tests of a round, follow the trouble and not the work.
	if timed && a.sentAt >= d.stalledUntil {
		c.callTimeDrift += callTimeDriftWeight * (float64(o.Elapsed)/float64(max(d.mean, c.settings.Tick,
			1)) - c.callTimeDrift)
		d.learn(o.Elapsed)
		c.overallCallTime.learn(o.Elapsed)
		d.consecutiveTimeouts = 0
		d.callTimeSamples++
	}
	c.recordReuse(a, o.Result)
	c.recordConnectionRejection(a.endpoint, o.Result)
	if o.Result == ConnectionRejected {
		// Among many siblings it is full of them: room comes as calls end. It proves neither a limit nor an outage.
		if o.Result = Rejected; c.usesFleetRate() && !rt.circuitOpen {
			e := a.endpoint
			e.capacityRetryAt = c.now + time.Duration((0.5+c.rng.Float64())*float64(max(d.mean,
				c.settings.Tick)<<e.capacityRejections))
			e.capacityRejections = min(e.capacityRejections+1, maxCapacityDoublings)
			return
		}
	}
	a.endpoint.capacityRejections = 0
	c.recordLoadReport(a.endpoint, o.LoadReport)
	if !c.rejectedAtLimit(a.endpoint, o) {
		c.recordHealth(a.endpoint, a.sentAt, o.Result, o.RetryAfter)
	}
	c.adjustLimitFraction(a, o.Result, o.LoadReport)
}

// A guardedAction is an action that a rule may forbid.
type guardedAction uint8

const (
	actionSend guardedAction = iota
	actionReject
	actionHealthCheck
)

// allowed is the one guard for the rules: no send, refusal or probe passes without it.
func (c *Controller) allowed(what guardedAction, m *message, e *endpoint) bool {
	switch what {
	case actionReject:
		return !m.finished && m.inFlight == nil && mayReject(m)
	case actionHealthCheck:
		return c.settings.CanHealthCheck && e.State == Ready && c.now >= max(e.route.retryAfter, e.route.nextTrial)
	}
	return !m.finished && m.inFlight == nil && c.now < m.deadline && c.mayRetry(m) && c.keyRetainedAt(m, e) &&
		c.firstOfKey(m) && c.available(e) && (c.callsInFlight+c.remoteInFlight < c.settings.MaxInFlight || c.joinsCall(e))
}

// send makes an attempt, if the rules allow it.
func (c *Controller) send(m *message, e *endpoint) bool {
	if !c.allowed(actionSend, m, e) {
		return false
	}
	if !c.joinsCall(e) {
		e.lastCall = &call{startedAt: c.now, idleBand: c.closeStaleConnections(e)}
		e.route.tokens--
		c.callsInFlight++
		e.callsInFlight++
		e.destination.callsInFlight++
	}
	e.lastCall.size++
	e.lastCall.pending++
	if e.route.circuitOpen {
		e.route.probeSucceeded = false
		c.openCircuit(e)
	}
	limit := c.attemptTimeout(m)
	m.inFlight = &attempt{
		message: m, endpoint: e, call: e.lastCall, sentAt: c.now, idleBand: e.lastCall.idleBand,
		expectedTime:  c.expectedCallTime(m.destination, m.class),
		preemptibleAt: c.now + time.Duration(preemptibleFraction*float64(limit)),
	}
	m.destination.attempts = append(m.destination.attempts, m.inFlight)
	m.attemptCount++
	e.lastUsedAt, e.connected = c.now, true
	if m.sequence != nil {
		m.sequence.attemptsInFlight++
	}
	c.actions.Send(m.ID, e.ID, limit)
	return true
}

// releaseSlot frees the slot of a call once all its messages have their outcomes.
func (c *Controller) releaseSlot(a *attempt) {
	e := a.endpoint
	e.lastUsedAt = c.now
	c.releasedEndpoints = append(c.releasedEndpoints, e)
	if a.call.pending--; a.call.pending == 0 {
		c.callsInFlight--
		e.callsInFlight--
		e.destination.callsInFlight--
	}
}

// advanceClock takes the time. A wake that comes late tells of a standstill of this instance: all that came
// meanwhile is seen at this one instant, and call times hold the standstill too.
func (c *Controller) advanceClock(now time.Duration) {
	if now > c.now && c.timerAt > 0 && now > c.timerAt+timerResolution/2 {
		c.resumedAt = now
	}
	c.now = now
}

// armTimer asks to be woken when time alone changes what can be done.
func (c *Controller) armTimer() {
	next := time.Duration(math.MaxInt64)
	at := func(t time.Duration) {
		if t > c.now && t < next {
			next = t
		}
	}
	if c.callsInFlight > 0 {
		at(c.now + timerResolution)
	}
	for _, m := range c.openMessages {
		if m.inFlight == nil && !m.streaming {
			at(c.latestSendTime(m))
		}
		if m.sequence != nil {
			at(m.sequence.pausedUntil)
		}
	}
	for _, d := range c.busy {
		if len(d.attempts) > 0 {
			at(d.attempts[0].sentAt + d.attempts[0].expectedTime)
			at(d.attempts[0].preemptibleAt)
		}
		if len(d.fresh)+len(d.deferred) == 0 {
			continue
		}
		for _, e := range d.endpoints {
			at(e.route.retryAfter)
			at(e.capacityRetryAt)
			at(e.route.nextTrial)
			if p := c.sendRate(e); p > 0 {
				at(c.now + time.Duration((1-e.route.tokens)/p*float64(time.Second)))
			}
		}
	}
	if c.settings.PollsList && !c.listSubscribed && !c.listPolling {
		at(c.nextPoll)
	}
	if next == math.MaxInt64 || c.timerAt > c.now && c.timerAt <= next {
		return
	}
	c.timerToken++
	c.timerAt = next
	c.actions.SetTimer(next-c.now, c.timerToken)
}
