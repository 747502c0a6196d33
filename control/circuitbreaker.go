package control

import "time"

const (
	circuitOpenFailures    = 3    // consecutive failures that open a circuit
	firstTrialDivisor      = 4    // the first trial interval is at most WarmUp divided by this...
	firstTrialFleetDivisor = 8    // ...and at most OverloadWindow times the fleet size divided by this
	maxTrialDivisor        = 8    // the maximum trial interval is at least WarmUp divided by this
	minTrialRate           = 0.01 // minimum trial calls per second, even if the fair share allows fewer
)

// A circuitBreaker tracks the failures of a route. While its circuit is open, the route receives only trial calls. The
// zero value is closed.
type circuitBreaker struct {
	open                 bool
	consecutiveFailures  int
	failingSince         time.Duration // time of the first of them
	lastFailureAt        time.Duration
	lastSuccessAt        time.Duration
	callTimeBefore       time.Duration // T_m when the circuit opened
	healthCheckFirst     bool          // open: a trial call may be lost, so a health check must succeed before it
	healthCheckSucceeded bool          // open: a health check succeeded, so one trial call is allowed
	nextTrial            time.Duration
	backoff              time.Duration // open: interval between the next trial and the one after it
}

// trip opens the circuit and schedules its next trial. The interval starts at first and doubles with each further call
// up to longest. It is spread by up to a quarter either way by random, a number from 0 to 1.
func (b *circuitBreaker) trip(now, callTime, first, longest time.Duration, random float64) {
	if !b.open {
		b.open, b.backoff, b.callTimeBefore = true, first, callTime
	}
	b.nextTrial = now + time.Duration((0.75+random/2)*float64(b.backoff))
	b.backoff = min(b.backoff*2, longest)
}

// close closes the circuit and resets its failures.
func (b *circuitBreaker) close() { b.open, b.consecutiveFailures = false, 0 }

// allowsTrial reports whether an open circuit allows a trial call now.
func (b *circuitBreaker) allowsTrial(now time.Duration, canHealthCheck bool) bool {
	return b.healthCheckSucceeded || now >= b.nextTrial && !(b.healthCheckFirst && canHealthCheck)
}

// needsHealthCheck reports whether a health check has to succeed before the next trial call.
func (b *circuitBreaker) needsHealthCheck() bool {
	return b.open && b.healthCheckFirst && !b.healthCheckSucceeded
}

// recordFailure records the failure of a call sent at sentAt and reports whether it counts. Calls that are in flight
// together often fail together, so a failure does not count if its call was sent before the previous failure.
func (b *circuitBreaker) recordFailure(now, sentAt time.Duration) bool {
	if b.consecutiveFailures > 0 && sentAt < b.lastFailureAt {
		return false
	}
	if b.consecutiveFailures == 0 {
		b.failingSince = now
	}
	b.consecutiveFailures++
	b.lastFailureAt = now
	return true
}

// succeededWithin reports whether a call was served within the window that ends now.
func (b *circuitBreaker) succeededWithin(now, window time.Duration) bool {
	return b.lastSuccessAt > 0 && now-b.lastSuccessAt < window
}

// openCircuit opens the circuit of an endpoint's route, or postpones its next trial if it is open. The trial calls of
// the whole fleet add load to a destination that recovers, so a larger fleet starts them later and repeats them less
// often.
func (c *Controller) openCircuit(endpoint *endpoint) {
	interval, window := c.trialInterval(endpoint), c.settings.OverloadWindow
	first := min(interval, c.settings.WarmUp/firstTrialDivisor,
		window*time.Duration(c.settings.FleetSize)/firstTrialFleetDivisor)
	longest := max(c.settings.WarmUp/maxTrialDivisor, interval)
	endpoint.route.breaker.trip(c.now, endpoint.destination.callTime.mean, max(first, window/2), longest, c.rng.Float64())
}

// trialInterval returns the time between trial calls at which this sender uses its fair share of half of the load that
// overloads a destination that is warming up.
func (c *Controller) trialInterval(endpoint *endpoint) time.Duration {
	rate := c.fairShare(endpoint) * c.settings.ColdCapacity * c.settings.OverloadFactor / 2
	return min(c.settings.WarmUp, time.Duration(float64(time.Second)/max(rate, minTrialRate)))
}

// healthCheckOpenRoutes sends a health check for each destination that has waiting messages and an open circuit whose
// trial is due. It checks the least recently used endpoint. After a call that was rejected before it ran no health
// check is needed, as an ordinary call can serve as the trial without risk.
func (c *Controller) healthCheckOpenRoutes() {
	for _, dest := range c.busy {
		if !dest.hasWaiting() {
			continue
		}
		var to *endpoint
		for _, e := range dest.endpoints {
			due := e.route.breaker.needsHealthCheck() && c.mayHealthCheck(e)
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

// mayHealthCheck reports whether an endpoint may receive a health check now.
func (c *Controller) mayHealthCheck(endpoint *endpoint) bool {
	route := endpoint.route
	return c.settings.CanHealthCheck && endpoint.State == Ready &&
		c.now >= max(route.retryAfter, route.breaker.nextTrial)
}

// recordHealth updates the health of an endpoint and its route by the result of a call sent at sentAt, whose response
// carried retryAfter.
func (c *Controller) recordHealth(endpoint *endpoint, sentAt time.Duration, result Result, retryAfter time.Duration) {
	route, window := endpoint.route, c.settings.OverloadWindow
	breaker := &route.breaker
	switch {
	case result == Served && breaker.open && c.now < route.retryAfter && route.retryAfter-breaker.lastFailureAt >= window:
		// Calls sent before a long Retry-After may still be served while it lasts. This does not mean that the outage
		// is over.
	case result == Served:
		c.recordSuccess(endpoint, sentAt)
	case result == Rejected && !breaker.open && retryAfter < window && breaker.succeededWithin(c.now, window):
		// A rejection among served calls means that a limit was exceeded, which the rate limit handles. Treating it as
		// an outage would cause a pause and a slow start although there is capacity.
		route.extendRetryAfter(c.now + retryAfter)
	default:
		c.recordFailure(endpoint, sentAt, result, retryAfter)
	}
}

// recordSuccess records that a call sent at sentAt was served.
func (c *Controller) recordSuccess(endpoint *endpoint, sentAt time.Duration) {
	breaker := &endpoint.route.breaker
	if c.settings.usesFleetRate() && endpoint.health.RecordServed(c.now, c.fleetHealthParams()) {
		c.gossipHealth(endpoint, ObservedUp)
	}
	endpoint.destination.concurrencyReduced = false
	breaker.lastSuccessAt, endpoint.lastSuccessAt = c.now, c.now
	// Unanswered calls without failures were mere slowness, and a few failures within a short time were chance or a
	// limit. Failures over OverloadWindow or longer were an outage, after which the destination has to warm up. After a
	// short outage during a slow start, that slow start continues.
	if breaker.consecutiveFailures > 0 && c.now-breaker.failingSince >= c.settings.OverloadWindow {
		if c.settings.usesFleetRate() && breaker.open {
			c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ObservedRecovery, Age: c.now - sentAt})
		}
		c.startSlowStart(endpoint.route)
	}
	breaker.close()
	endpoint.consecutiveFailures = 0
}

// recordFailure records that a call sent at sentAt failed.
func (c *Controller) recordFailure(endpoint *endpoint, sentAt time.Duration, result Result, retryAfter time.Duration) {
	route, dest, fleetRate := endpoint.route, endpoint.destination, c.settings.usesFleetRate()
	breaker := &route.breaker
	if result != Rejected && fleetRate && endpoint.health.RecordFailed(c.now, c.fleetHealthParams(), c.rng.Float64()) {
		c.gossipHealth(endpoint, ObservedDown)
	}
	if result == TimedOut && sentAt >= breaker.lastFailureAt {
		dest.consecutiveTimeouts++
	}
	if breaker.recordFailure(c.now, sentAt) {
		endpoint.consecutiveFailures++
	}
	dest.concurrencyReduced = true
	if retryAfter > 0 {
		route.extendRetryAfter(c.now + retryAfter)
	}
	// A long Retry-After means that the destination is closed for the whole fleet until one instant, and has to warm up
	// after it. The random delay spreads the fleet's first trial calls.
	if retryAfter >= c.settings.OverloadWindow && !breaker.open {
		c.openCircuit(endpoint)
		breaker.nextTrial = route.retryAfter + time.Duration(c.rng.Float64()*float64(c.trialInterval(endpoint)))
	}
	breaker.healthCheckFirst = result.MayHaveRun()
	// A sender of a large fleet makes few calls, so its consecutive failures may come from the same failing endpoints
	// while others serve.
	if !breaker.open && breaker.consecutiveFailures >= circuitOpenFailures &&
		(result == Rejected || !fleetRate || c.allLastCallsFailed(dest)) {
		c.openCircuit(endpoint)
	}
}
