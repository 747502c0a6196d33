// Package control implements the scheduling decisions of an outbound gateway that delivers messages to many partners'
// systems. It performs no I/O, takes the current time as a parameter and persists nothing: its host executes the
// Actions that it requests.
//
// Each destination has a fresh and a deferred queue. A selection round sends the head of the fresh queue if its age
// plus the expected call time T_m meets the latency objective, and moves it to the deferred queue otherwise. Once no
// message of the fresh queue is left, it sends the head of the deferred queue if that meets its deadline, and rejects
// it otherwise.
//
// Each kind of decision has its own file with the state that it depends on and its tuned constants. Controller, in
// controller.go, handles the events and runs the decisions in order.
package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/fleethealth"
	"cleathold/internal/reachability"
)

// timerResolution is the timer interval while calls are in flight.
const timerResolution = 100 * time.Millisecond

// Controller makes the decisions of one sender. It is not safe for concurrent use. All times are readings of its host's
// clock, which must be monotonic.
type Controller struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	now      time.Duration

	endpoints    map[EndpointID]*endpoint
	destinations map[int]*destination
	busy         []*destination // destinations with messages or attempts, ordered by id
	messages     map[MessageID]*message
	openMessages []*message // unfinished messages in order of submission
	sequences    keySequences

	callsInFlight  int // slots used by this process
	remoteInFlight int // slots used by another process of this sender
	slotYield      slotYield

	overallCallTime callTime // over all destinations
	callTimeDrift   callTimeDrift
	connections     connectionStats
	released        []*endpoint // endpoints that had an outcome at this instant

	timerToken uint32
	timerAt    time.Duration // 0 = no timer is set
	resumedAt  time.Duration // end of this sender's latest stall

	list          listPoller
	peers         reachability.Detector
	gossipLimiter fleethealth.RateLimiter
}

// New returns a controller for one sender, which requests its actions from actions. If a setting is invalid, the error
// names it.
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

// UpdateSettings replaces the settings at run time. Open messages keep the class with which they were submitted. Seed,
// Index, FleetSize, Zone, Kinds, MaxCallBytes, CanGossip and PollEndpointList keep the values that were passed to New.
// If a setting is invalid, UpdateSettings changes nothing and returns an error that names it.
func (c *Controller) UpdateSettings(now time.Duration, settings Settings) error {
	c.advanceClock(now)
	old := &c.settings
	settings.Seed, settings.Index, settings.FleetSize, settings.Zone = old.Seed, old.Index, old.FleetSize, old.Zone
	settings.Kinds, settings.CanGossip, settings.PollEndpointList = old.Kinds, old.CanGossip, old.PollEndpointList
	settings.MaxCallBytes = old.MaxCallBytes
	if err := validate(&settings); err != nil {
		return err
	}
	c.settings = settings
	for _, msg := range slices.Clone(c.openMessages) { // MaxAttempts may now be below the attempts made
		if msg.waiting() && !c.mayRetry(msg) {
			c.finishUndelivered(msg)
		}
	}
	return nil
}

// UpdateEndpoints applies an update of the endpoint list.
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

// Submit accepts a message. It ignores a message whose id is already open.
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
	if !c.mayRetry(msg) { // its earlier attempts rule out another one
		c.finishUndelivered(msg)
		return
	}
	dest.fresh = append(dest.fresh, msg)
	c.markBusy(dest)
}

// AttemptDone processes the outcome of an attempt. It ignores the outcome unless the attempt is the latest one of an
// open message.
func (c *Controller) AttemptDone(now time.Duration, o Outcome) {
	c.advanceClock(now)
	msg := c.messages[o.ID]
	if msg == nil || msg.inFlight == nil || o.Attempt != msg.attempts-1 {
		return
	}
	a := msg.inFlight
	msg.inFlight = nil
	msg.sendAlone = msg.sendAlone || o.SendAlone
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
	case o.Result == Unprocessable: // the destination would refuse a retry, too
		c.actions.Fail(msg.ID)
		c.finish(msg)
	case c.mayRetry(msg):
		msg.destination.fresh = append([]*message{msg}, msg.destination.fresh...)
	default:
		c.finishUndelivered(msg)
	}
	c.forgetFinished(msg)
}

// StreamStarted records that the streamed response to a message's attempt has begun. From then on the message does not
// expire and its attempt is not preempted, as the client is receiving the response.
func (c *Controller) StreamStarted(now time.Duration, id MessageID) {
	c.advanceClock(now)
	if msg := c.messages[id]; msg != nil {
		msg.streaming = true
	}
}

// Abandon ends a message whose client no longer waits for it. The message gets no answer. An attempt in flight keeps
// its slot until its outcome.
func (c *Controller) Abandon(now time.Duration, id MessageID) {
	c.advanceClock(now)
	if msg := c.messages[id]; msg != nil {
		c.finish(msg)
	}
}

// TimerFired records that the timer of an earlier Actions.SetTimer has fired.
func (c *Controller) TimerFired(now time.Duration, token uint32) {
	c.advanceClock(now)
	if token == c.timerToken {
		c.timerAt = 0
	}
}

// HealthChecked processes the result of a health check that took elapsed.
func (c *Controller) HealthChecked(
	now time.Duration, to EndpointID, result Result, elapsed time.Duration, load []float32,
) {
	c.advanceClock(now)
	endpoint := c.endpoints[to]
	if endpoint == nil {
		return
	}
	c.recordLoadReport(endpoint, load)
	// An endpoint may answer health checks but no calls. A successful health check therefore only permits a trial call,
	// whose result decides whether the circuit closes.
	endpoint.route.breaker.healthCheckSucceeded = result == Served
	if result != Served {
		c.recordHealth(endpoint, now-elapsed, result, 0)
	}
}

// Decide makes the decisions that follow from the events of an instant. The host calls it once all of them have been
// passed in: after a stall of this sender many events arrive together, and a decision between two of them would treat a
// call as overdue whose answer is the next event.
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

// recordOutcome updates the state of an attempt's endpoint, route and destination from its outcome.
func (c *Controller) recordOutcome(a *attempt, o Outcome) {
	if o.Result == NotSent || o.Result == Unprocessable { // neither depends on the endpoint
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
	if o.Result == Served && c.now != c.resumedAt { // else the call time includes a stall of this sender
		c.recordWarmCall(endpoint, o.Elapsed)
		if a.sentAt >= dest.stalls.stalledUntil {
			c.recordCallTime(dest, o.Elapsed)
		}
	}
	o.Result = c.explainRejection(endpoint, o.Result)
	c.recordConnection(a, o.Result)
	if o.Result == ConnectionRejected {
		// In a large fleet the connections of peers use up the endpoint's capacity. This indicates neither a rate limit
		// nor an outage.
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

// maySend reports whether a message may be sent to an endpoint now. Every attempt is subject to this check.
func (c *Controller) maySend(msg *message, to *endpoint) bool {
	return !msg.finished && msg.inFlight == nil && c.now < msg.deadline && c.mayRetry(msg) &&
		msg.keyValidInZone(to.Zone) && c.isNextOfKey(msg) && c.available(msg, to) &&
		(c.freeSlots() > 0 || c.canJoinCall(msg, to))
}

// send starts an attempt if maySend allows it.
func (c *Controller) send(msg *message, to *endpoint) {
	if !c.maySend(msg, to) {
		return
	}
	joined := to.lastCall
	if !c.canJoinCall(msg, to) {
		joined = c.startCall(msg, to)
	}
	joined.size++
	joined.bytes += msg.Size
	joined.pending++
	if to.route.breaker.open {
		to.route.breaker.healthCheckSucceeded = false
		c.openCircuit(to)
	}
	timeout := c.attemptTimeout(msg)
	msg.inFlight = &attempt{
		message:       msg,
		endpoint:      to,
		call:          joined,
		sentAt:        c.now,
		idleBand:      joined.idleBand,
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

// releaseSlot frees the slot of a call once all of its attempts have an outcome.
func (c *Controller) releaseSlot(a *attempt) {
	a.endpoint.lastUsedAt = c.now
	c.released = append(c.released, a.endpoint)
	if a.call.pending--; a.call.pending == 0 {
		c.callsInFlight--
		a.endpoint.callsInFlight--
		a.endpoint.destination.callsInFlight--
	}
}

// advanceClock sets the current time. A timer that fires late indicates a stall of this sender: the events of the whole
// stall are processed at this instant, and the call times measured there include the stall.
func (c *Controller) advanceClock(now time.Duration) {
	if now > c.now && c.timerAt > 0 && now > c.timerAt+timerResolution/2 {
		c.resumedAt = now
	}
	c.now = now
}

// setTimer requests a timer for the time that nextDecision returns, unless an earlier one is pending.
func (c *Controller) setTimer() {
	next := c.nextDecision()
	if next == math.MaxInt64 || c.timerAt > c.now && c.timerAt <= next {
		return
	}
	c.timerToken++
	c.timerAt = next
	c.actions.SetTimer(next-c.now, c.timerToken)
}

// nextDecision returns the next time at which a decision may change without any event, or math.MaxInt64 if there is
// none.
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
	if c.settings.PollEndpointList && c.list.idle() {
		consider(c.list.nextPoll)
	}
	return next
}
