package control

import "time"

const (
	circuitOpenFailures = 3 // bad answers in a row that open a route
	firstTrialDivisor   = 4 // part of the cold time that the first test of a route waits at most
	maxTrialDivisor     = 8 // part of the cold time between two tests of a route at most
)

// healthCheckOpenRoutes tests open routes at their time, by the endpoint that was not called for longest, where
// messages wait. Where the last call was turned away before it ran, an ordinary call risks nothing and is the test.
func (c *Controller) healthCheckOpenRoutes() {
	for _, d := range c.busy {
		if len(d.fresh)+len(d.deferred) == 0 {
			continue
		}
		var to *endpoint
		for _, e := range d.endpoints {
			due := e.route.circuitOpen && e.route.probeFirst && !e.route.probeSucceeded && c.allowed(actionHealthCheck, nil, e)
			if due && (to == nil || e.lastUsedAt < to.lastUsedAt) {
				to = e
			}
		}
		if to != nil {
			to.lastUsedAt = c.now
			c.openCircuit(to)
			c.actions.HealthCheck(to.ID)
		}
	}
}

// HealthChecked takes the answer to a probe.
func (c *Controller) HealthChecked(
	now time.Duration, to EndpointID, r Result, took time.Duration, load []float32,
) {
	c.advanceClock(now)
	e := c.endpoints[to]
	if e == nil {
		return
	}
	c.recordLoadReport(e, load)
	// A probe may be answered beside the queue: it lets one ordinary call go, whose answer counts.
	if e.route.probeSucceeded = r == Served; !e.route.probeSucceeded {
		c.recordHealth(e, now-took, r, 0)
	}
}

// openCircuit takes a route for out of order: lone calls only, ever more seldom. All siblings may be testing when
// it returns, and each test pushes: the more there are, the later the first and the rarer the last.
func (c *Controller) openCircuit(e *endpoint) {
	rt := e.route
	if !rt.circuitOpen {
		rt.callTimeBefore = e.destination.mean
		first := min(c.trialInterval(e), c.settings.WarmUp/firstTrialDivisor,
			c.settings.OverloadWindow*time.Duration(c.settings.FleetSize)/8)
		rt.circuitOpen, rt.backoff = true, max(first, c.settings.OverloadWindow/2)
	}
	rt.nextTrial = c.now + time.Duration((0.75+c.rng.Float64()/2)*float64(rt.backoff))
	rt.backoff = min(rt.backoff*2, max(c.settings.WarmUp/maxTrialDivisor, c.trialInterval(e)))
}

// trialInterval is the time between tests that takes this instance's part of half the
// budget of a cold return.
func (c *Controller) trialInterval(e *endpoint) time.Duration {
	rate := c.fairShare(e) * c.settings.ColdCapacity * c.settings.OverloadFactor / 2
	return min(c.settings.WarmUp, time.Duration(float64(time.Second)/max(rate, 0.01)))
}

// recordHealth moves the state of a route on an answer to a call sent at that time.
func (c *Controller) recordHealth(e *endpoint, sent time.Duration, r Result, wait time.Duration) {
	rt := e.route
	// Calls from before a long told wait may still be served in it. That proves nothing of its end.
	if r == Served && rt.circuitOpen && c.now < rt.retryAfter &&
		rt.retryAfter-rt.lastFailureAt >= c.settings.OverloadWindow {
		return
	}
	if r == Served {
		if c.usesFleetRate() && e.health.Served(c.now, c.fleetHealthParams()) {
			c.gossipHealth(e, ObservedUp)
		}
		e.destination.concurrencyReduced = false
		rt.lastSuccessAt, e.lastSuccessAt = c.now, c.now
		// Mere silence that ends in an answer was slowness, and a short streak bad luck or a limit met.
		// Failures over a while mean an outage, and a cold return; one met on the way back goes on.
		if rt.consecutiveFailures > 0 && c.now-rt.failingSince >= c.settings.OverloadWindow {
			if c.usesFleetRate() && rt.circuitOpen {
				c.actions.Gossip(Observation{Endpoint: e.ID, Kind: ObservedRecovery, Age: c.now - sent})
			}
			c.startSlowStart(rt)
		}
		rt.circuitOpen = false
		e.consecutiveFailures, rt.consecutiveFailures = 0, 0
		return
	}
	// A refusal between answers that serve is one above a limit, which share and its pace deal with. Taken
	// for an outage, it would cost a pause and a slow start while there is room.
	if r == Rejected && !rt.circuitOpen && wait < c.settings.OverloadWindow &&
		rt.lastSuccessAt > 0 && c.now-rt.lastSuccessAt < c.settings.OverloadWindow {
		rt.retryAfter = max(rt.retryAfter, c.now+wait)
		return
	}
	if r != Rejected && c.usesFleetRate() && e.health.Failed(c.now, c.fleetHealthParams(), c.rng.Float64()) {
		c.gossipHealth(e, ObservedDown)
	}
	if r == TimedOut && sent >= rt.lastFailureAt {
		e.destination.consecutiveTimeouts++
	}
	// Calls sent together fail together: they count as one.
	if rt.consecutiveFailures == 0 || sent >= rt.lastFailureAt {
		if rt.consecutiveFailures == 0 {
			rt.failingSince = c.now
		}
		e.consecutiveFailures++
		rt.consecutiveFailures++
		rt.lastFailureAt = c.now
	}
	e.destination.concurrencyReduced = true
	if wait > 0 {
		rt.retryAfter = max(rt.retryAfter, c.now+wait)
	}
	// A long wait tells of a shut destination that comes back cold, for all siblings at one instant.
	if wait >= c.settings.OverloadWindow && !rt.circuitOpen {
		c.openCircuit(e)
		rt.nextTrial = rt.retryAfter + time.Duration(c.rng.Float64()*float64(c.trialInterval(e)))
	}
	rt.probeFirst = r.MayHaveRun()
	// One of many sees a few calls: it may meet the same dead endpoints again and again while others serve.
	if !rt.circuitOpen && rt.consecutiveFailures >= circuitOpenFailures &&
		(r == Rejected || !c.usesFleetRate() || c.allLastCallsFailed(e.destination)) {
		c.openCircuit(e)
	}
}
