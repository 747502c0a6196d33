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
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/fleethealth"
	"cleathold/internal/reachability"
)

// timerResolution is the step at which the time is watched while calls are in flight.
const timerResolution = 100 * time.Millisecond

// Controller decides for one sender. It is not safe for concurrent use. Times are those of its host's clock, which must
// not go back.
type Controller struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	now      time.Duration

	endpoints    map[EndpointID]*endpoint
	destinations map[int]*destination
	busy         []*destination // those with messages or attempts, in order of id
	messages     map[MessageID]*message
	openMessages []*message // not finished, in order of submission
	sequences    keySequences

	callsInFlight  int // slots that this process uses
	remoteInFlight int // slots that another process of this sender uses
	slotYield      slotYield

	overallCallTime callTime // of all destinations
	callTimeDrift   callTimeDrift
	connections     connectionStats
	released        []*endpoint // with outcomes at this instant

	timerToken uint32
	timerAt    time.Duration // 0 = not set
	resumedAt  time.Duration // the end of this sender's latest stall

	list          listPoller
	peers         reachability.Detector
	gossipLimiter fleethealth.RateLimiter
}

// New returns a controller for one sender that asks act for what is to be done. The error names the setting that no
// decision could be based on.
func New(settings Settings, actions Actions) (*Controller, error) {
	if err := validate(&settings); err != nil {
		return nil, err
	}
	return &Controller{
		settings:     settings,
		actions:      actions,
		rng:          rand.New(rand.NewPCG(settings.Seed, 0)),
		endpoints:    map[EndpointID]*endpoint{},
		destinations: map[int]*destination{},
		messages:     map[MessageID]*message{},
		sequences:    keySequences{byKey: map[uint64]*keySequence{}},
		connections:  connectionStats{rejectionRate: map[int]float64{}},
		peers:        reachability.Detector{FleetSize: settings.FleetSize},
	}, nil
}

// UpdateSettings takes other settings while messages are open. Each message keeps the class that it came with. Seed,
// Index, FleetSize, Zone, Kinds, CanGossip and PollsList stay as they were at the start. On an error, which names the
// setting as that of New does, nothing changes.
func (c *Controller) UpdateSettings(now time.Duration, settings Settings) error {
	c.advanceClock(now)
	old := &c.settings
	settings.Seed, settings.Index, settings.FleetSize, settings.Zone = old.Seed, old.Index, old.FleetSize, old.Zone
	settings.Kinds, settings.CanGossip, settings.PollsList = old.Kinds, old.CanGossip, old.PollsList
	if err := validate(&settings); err != nil {
		return err
	}
	c.settings = settings
	for _, msg := range slices.Clone(c.openMessages) { // fewer attempts may be allowed than some had
		if msg.waiting() && !c.mayRetry(msg) {
			c.finishUndelivered(msg)
		}
	}
	return nil
}

// UpdateEndpoints takes an update of the endpoint list.
func (c *Controller) UpdateEndpoints(now time.Duration, kind ListUpdateKind, list []Endpoint) {
	c.advanceClock(now)
	c.recordListAnswer(kind)
	if kind == ListFull || kind == ListCached {
		c.removeUnlisted(list)
	}
	for _, entry := range list {
		c.updateEndpoint(entry)
	}
	c.pruneRemoved()
}

// Submit takes a message. One whose id is open already is ignored.
func (c *Controller) Submit(now time.Duration, submitted Message) {
	c.advanceClock(now)
	if c.messages[submitted.ID] != nil {
		return
	}
	if submitted.Class < 0 || submitted.Class >= len(c.settings.Classes) {
		submitted.Class = 0
	}
	dest := c.destination(submitted.Destination)
	msg := &message{
		Message:      submitted,
		class:        &c.settings.Classes[submitted.Class],
		destination:  dest,
		deadline:     now + submitted.TimeLeft,
		attempts:     submitted.Attempts,
		mayHaveRun:   submitted.MayHaveRun,
		firstRunAt:   now - submitted.FirstRunAgo,
		firstRunZone: submitted.FirstRunZone,
	}
	c.messages[msg.ID] = msg
	c.openMessages = append(c.openMessages, msg)
	if msg.class.Ordered && msg.Key != 0 {
		c.sequences.forKey(msg.Key).add(msg)
	}
	dest.traffic.record(now)
	c.inheritCallTime(dest)
	if !c.mayRetry(msg) { // its earlier attempts allow no further one
		c.finishUndelivered(msg)
		return
	}
	dest.fresh = append(dest.fresh, msg)
	c.markBusy(dest)
}

// AttemptDone takes the outcome of an attempt. One that is not the latest of an open message is ignored.
func (c *Controller) AttemptDone(now time.Duration, o Outcome) {
	c.advanceClock(now)
	msg := c.messages[o.ID]
	if msg == nil || msg.inFlight == nil || o.Attempt != msg.attempts-1 {
		return
	}
	a := msg.inFlight
	msg.inFlight = nil
	c.releaseSlot(a)
	a.endpoint.destination.attempts = without(a.endpoint.destination.attempts, a)
	c.recordOutcome(a, o)
	c.recordSlotYield(msg, o.Elapsed, o.Result)
	if o.Result.MayHaveRun() && !msg.mayHaveRun {
		msg.mayHaveRun, msg.firstRunAt, msg.firstRunZone = true, a.sentAt, a.endpoint.Zone
	}
	if msg.sequence != nil {
		msg.sequence.attemptDone(msg, o.Result, now+c.settings.OrderedPause)
	}
	switch {
	case o.Final:
		c.finish(msg)
	case msg.finished:
	case o.Result == Unprocessable: // the destination would refuse it again
		c.actions.Fail(msg.ID)
		c.finish(msg)
	case c.mayRetry(msg):
		msg.destination.fresh = append([]*message{msg}, msg.destination.fresh...)
	default:
		c.finishUndelivered(msg)
	}
	c.forgetFinished(msg)
}

// StreamStarted takes that the streamed answer to a message's attempt has begun; from then on it belongs to the client.
func (c *Controller) StreamStarted(now time.Duration, id MessageID) {
	c.advanceClock(now)
	if msg := c.messages[id]; msg != nil {
		msg.streaming = true
	}
}

// Abandon takes that nobody wants a message any more. It gets no answer; an attempt in flight is awaited.
func (c *Controller) Abandon(now time.Duration, id MessageID) {
	c.advanceClock(now)
	if msg := c.messages[id]; msg != nil {
		c.finish(msg)
	}
}

// TimerFired takes that the timer of an earlier SetTimer fired.
func (c *Controller) TimerFired(now time.Duration, token uint32) {
	c.advanceClock(now)
	if token == c.timerToken {
		c.timerAt = 0
	}
}

// HealthChecked takes the answer to a health check, which took elapsed.
func (c *Controller) HealthChecked(
	now time.Duration, to EndpointID, result Result, elapsed time.Duration, load []float32,
) {
	c.advanceClock(now)
	endpoint := c.endpoints[to]
	if endpoint == nil {
		return
	}
	c.recordLoadReport(endpoint, load)
	// Health checks may be answered while calls are not: one lets a trial call go, and the answer to that counts.
	endpoint.route.breaker.healthCheckSucceeded = result == Served
	if result != Served {
		c.recordHealth(endpoint, now-elapsed, result, 0)
	}
}

// Decide acts on what the events of an instant have changed, once all are in. After a stall of this sender they come
// together: taken one by one, calls would seem overdue whose answers are the next event.
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
	c.setTimer()
}

// recordOutcome learns from the outcome of an attempt.
func (c *Controller) recordOutcome(a *attempt, o Outcome) {
	if o.Result == NotSent || o.Result == Unprocessable { // neither says anything of the endpoint
		return
	}
	if o.Result == Canceled {
		o.Result = TimedOut // only overdue calls are canceled
	}
	endpoint, route, dest := a.endpoint, a.endpoint.route, a.endpoint.destination
	if o.RetryAfter > 0 {
		route.extendRetryAfter(c.now + o.RetryAfter)
	}
	dest.stalls.recordAnswer(c.now, a.sentAt)
	if o.Result == Served && c.now != c.resumedAt { // the call time holds no stall of this sender
		c.recordWarmCall(endpoint, o.Elapsed)
		if a.sentAt >= dest.stalls.stalledUntil {
			c.recordCallTime(dest, o.Elapsed)
		}
	}
	c.recordConnection(a, o.Result)
	if o.Result == ConnectionRejected {
		// In a large fleet the endpoint is full of peers' connections: that proves neither a limit nor an outage.
		if c.settings.usesFleetRate() && !route.breaker.open {
			endpoint.connectBackoff.reject(c.now, max(dest.callTime.mean, c.settings.Tick), c.rng.Float64())
			return
		}
		o.Result = Rejected
	}
	endpoint.connectBackoff.rejections = 0
	c.recordLoadReport(endpoint, o.LoadReport)
	if c.rejectedAtLimit(route, o) {
		route.extendRetryAfter(c.now + o.RetryAfter)
	} else {
		c.recordHealth(endpoint, a.sentAt, o.Result, o.RetryAfter)
	}
	c.adjustLimitFraction(a, o.Result, o.LoadReport)
}

// maySend reports whether the rules allow an attempt of a message at an endpoint now. No attempt is made without it.
func (c *Controller) maySend(msg *message, to *endpoint) bool {
	return !msg.finished && msg.inFlight == nil && c.now < msg.deadline && c.mayRetry(msg) &&
		msg.keyValidInZone(to.Zone) && c.isNextOfKey(msg) && c.available(to) && (c.freeSlots() > 0 || c.canJoinCall(to))
}

// send makes an attempt, if the rules allow it.
func (c *Controller) send(msg *message, to *endpoint) {
	if !c.maySend(msg, to) {
		return
	}
	if !c.canJoinCall(to) {
		to.lastCall = &call{startedAt: c.now, idleBand: c.closeStaleConnections(to)}
		to.route.bucket.tokens--
		c.callsInFlight++
		to.callsInFlight++
		to.destination.callsInFlight++
	}
	to.lastCall.size++
	to.lastCall.pending++
	if to.route.breaker.open {
		to.route.breaker.healthCheckSucceeded = false
		c.openCircuit(to)
	}
	timeout := c.attemptTimeout(msg)
	msg.inFlight = &attempt{
		message:       msg,
		endpoint:      to,
		call:          to.lastCall,
		sentAt:        c.now,
		idleBand:      to.lastCall.idleBand,
		expectedTime:  c.expectedCallTime(msg.destination, msg.class),
		preemptibleAt: c.now + time.Duration(preemptibleFraction*float64(timeout)),
	}
	msg.destination.attempts = append(msg.destination.attempts, msg.inFlight)
	msg.attempts++
	to.lastUsedAt, to.connected = c.now, true
	if msg.sequence != nil {
		msg.sequence.attemptsInFlight++
	}
	c.actions.Send(msg.ID, to.ID, timeout)
}

// releaseSlot frees the slot of a call once all its attempts have their outcomes.
func (c *Controller) releaseSlot(a *attempt) {
	a.endpoint.lastUsedAt = c.now
	c.released = append(c.released, a.endpoint)
	if a.call.pending--; a.call.pending == 0 {
		c.callsInFlight--
		a.endpoint.callsInFlight--
		a.endpoint.destination.callsInFlight--
	}
}

// advanceClock takes the time. A timer that fires late tells of a stall of this sender: all that came meanwhile is seen
// at this one instant, and call times hold the stall.
func (c *Controller) advanceClock(now time.Duration) {
	if now > c.now && c.timerAt > 0 && now > c.timerAt+timerResolution/2 {
		c.resumedAt = now
	}
	c.now = now
}

// setTimer asks for a timer at the next instant when time alone changes what can be done.
func (c *Controller) setTimer() {
	next := c.nextDecision()
	if next == math.MaxInt64 || c.timerAt > c.now && c.timerAt <= next {
		return
	}
	c.timerToken++
	c.timerAt = next
	c.actions.SetTimer(next-c.now, c.timerToken)
}

// nextDecision is the next instant when time alone changes what can be done, or the latest there is.
func (c *Controller) nextDecision() time.Duration {
	next := time.Duration(math.MaxInt64)
	consider := func(at time.Duration) {
		if at > c.now && at < next {
			next = at
		}
	}
	if c.callsInFlight > 0 {
		consider(c.now + timerResolution)
	}
	for _, msg := range c.openMessages {
		if msg.waiting() {
			consider(c.latestSendTime(msg))
		}
		if msg.sequence != nil {
			consider(msg.sequence.pausedUntil)
		}
	}
	for _, dest := range c.busy {
		if len(dest.attempts) > 0 {
			consider(dest.attempts[0].sentAt + dest.attempts[0].expectedTime)
			consider(dest.attempts[0].preemptibleAt)
		}
		if !dest.hasWaiting() {
			continue
		}
		for _, e := range dest.endpoints {
			consider(e.route.retryAfter)
			consider(e.connectBackoff.retryAt)
			consider(e.route.breaker.nextTrial)
			if rate := c.sendRate(e); rate > 0 {
				consider(c.now + e.route.bucket.untilToken(rate))
			}
		}
	}
	if c.settings.PollsList && c.list.idle() {
		consider(c.list.nextPoll)
	}
	return next
}
