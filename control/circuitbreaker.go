package control

import "time"

const (
	circuitOpenFailures    = 3    // failures in a row that open a circuit
	firstTrialDivisor      = 4    // the first trial comes within WarmUp divided by this...
	firstTrialFleetDivisor = 8    // ...and within the overload window times the fleet size divided by this
	maxTrialDivisor        = 8    // the longest time between trials: WarmUp divided by this, or what the fair share asks
	minTrialRate           = 0.01 // trial calls a second, below which the fair share does not count
)

// A circuitBreaker follows the failures of a route. While its circuit is open the route gets trial calls only. The zero
// value is closed.
type circuitBreaker struct {
	open                 bool
	consecutiveFailures  int
	failingSince         time.Duration // the first of them
	lastFailureAt        time.Duration
	lastSuccessAt        time.Duration
	callTimeBefore       time.Duration // T_m when the circuit opened
	healthCheckFirst     bool          // open: a call may be lost, so a health check goes before a trial call
	healthCheckSucceeded bool          // open: a health check was answered, so one trial call may go
	nextTrial            time.Duration
	backoff              time.Duration // open: until the trial after the next
}

// trip opens the circuit, or lengthens the time to the next trial if it is open: by first at the start, and no more
// than longest. The draw, from 0 to 1, spreads trials by a quarter either way.
func (b *circuitBreaker) trip(now, callTime, first, longest time.Duration, random float64) {
	if !b.open {
		b.open, b.backoff, b.callTimeBefore = true, first, callTime
	}
	b.nextTrial = now + time.Duration((0.75+random/2)*float64(b.backoff))
	b.backoff = min(b.backoff*2, longest)
}

// close closes the circuit and forgets its failures.
func (b *circuitBreaker) close() { b.open, b.consecutiveFailures = false, 0 }

// allowsTrial reports whether an open circuit lets a trial call go now.
func (b *circuitBreaker) allowsTrial(now time.Duration, canHealthCheck bool) bool {
	return b.healthCheckSucceeded || now >= b.nextTrial && !(b.healthCheckFirst && canHealthCheck)
}

// needsHealthCheck reports whether a health check has to go before the next trial call.
func (b *circuitBreaker) needsHealthCheck() bool {
	return b.open && b.healthCheckFirst && !b.healthCheckSucceeded
}

// recordFailure takes the failure of a call sent at sentAt and reports whether it counts: calls that were sent together
// fail together and count as one.
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

// succeededWithin reports whether a call was served in the time before now.
func (b *circuitBreaker) succeededWithin(now, window time.Duration) bool {
	return b.lastSuccessAt > 0 && now-b.lastSuccessAt < window
}

// openCircuit opens the circuit of an endpoint's route, or puts off its next trial. The whole fleet may be making trial
// calls when a destination returns, and each is load: the more senders, the later the first and the rarer the last.
func (c *Controller) openCircuit(endpoint *endpoint) {
	interval, window := c.trialInterval(endpoint), c.settings.OverloadWindow
	first := min(interval, c.settings.WarmUp/firstTrialDivisor,
		window*time.Duration(c.settings.FleetSize)/firstTrialFleetDivisor)
	longest := max(c.settings.WarmUp/maxTrialDivisor, interval)
	endpoint.route.breaker.trip(c.now, endpoint.destination.callTime.mean, max(first, window/2), longest, c.rng.Float64())
}

// trialInterval is the time between trial calls that takes this sender's fair share of half of what overloads a
// destination that is warming up.
func (c *Controller) trialInterval(endpoint *endpoint) time.Duration {
	rate := c.fairShare(endpoint) * c.settings.ColdCapacity * c.settings.OverloadFactor / 2
	return min(c.settings.WarmUp, time.Duration(float64(time.Second)/max(rate, minTrialRate)))
}

// healthCheckOpenRoutes sends health checks for open circuits whose trial is due, where messages wait: to the endpoint
// of a destination that was used the longest ago. Where the last call was rejected before it ran there is no need, as
// an ordinary call risks nothing as a trial.
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

// mayHealthCheck reports whether the rules allow a health check of an endpoint now.
func (c *Controller) mayHealthCheck(endpoint *endpoint) bool {
	route := endpoint.route
	return c.settings.CanHealthCheck && endpoint.State == Ready &&
		c.now >= max(route.retryAfter, route.breaker.nextTrial)
}

// recordHealth moves the state of an endpoint and its route by the result of a call sent at sentAt, which told to send
// nothing for retryAfter.
func (c *Controller) recordHealth(endpoint *endpoint, sentAt time.Duration, result Result, retryAfter time.Duration) {
	route, window := endpoint.route, c.settings.OverloadWindow
	breaker := &route.breaker
	switch {
	case result == Served && breaker.open && c.now < route.retryAfter && route.retryAfter-breaker.lastFailureAt >= window:
		// Calls from before a long Retry-After may still be served in it. That says nothing of its end.
	case result == Served:
		c.recordSuccess(endpoint, sentAt)
	case result == Rejected && !breaker.open && retryAfter < window && breaker.succeededWithin(c.now, window):
		// A rejection among served calls is one above a limit, which the rate limit deals with. Taken for an outage
		// it would cost a pause and a slow start while there is capacity.
		route.extendRetryAfter(c.now + retryAfter)
	default:
		c.recordFailure(endpoint, sentAt, result, retryAfter)
	}
}

// recordSuccess takes that a call sent at sentAt was served.
func (c *Controller) recordSuccess(endpoint *endpoint, sentAt time.Duration) {
	breaker := &endpoint.route.breaker
	if c.settings.usesFleetRate() && endpoint.health.Served(c.now, c.fleetHealthParams()) {
		c.gossipHealth(endpoint, ObservedUp)
	}
	endpoint.destination.concurrencyReduced = false
	breaker.lastSuccessAt, endpoint.lastSuccessAt = c.now, c.now
	// No answer for a while and then one was slowness, and a few failures were chance or a limit. Failures over a while
	// were an outage, after which the destination has to warm up; one that is met during a slow start goes on with it.
	if breaker.consecutiveFailures > 0 && c.now-breaker.failingSince >= c.settings.OverloadWindow {
		if c.settings.usesFleetRate() && breaker.open {
			c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ObservedRecovery, Age: c.now - sentAt})
		}
		c.startSlowStart(endpoint.route)
	}
	breaker.close()
	endpoint.consecutiveFailures = 0
}

// recordFailure takes that a call sent at sentAt failed.
func (c *Controller) recordFailure(endpoint *endpoint, sentAt time.Duration, result Result, retryAfter time.Duration) {
	route, dest, fleetRate := endpoint.route, endpoint.destination, c.settings.usesFleetRate()
	breaker := &route.breaker
	if result != Rejected && fleetRate && endpoint.health.Failed(c.now, c.fleetHealthParams(), c.rng.Float64()) {
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
	// A long Retry-After tells of a destination that is shut and warms up after it, for the whole fleet at one instant.
	if retryAfter >= c.settings.OverloadWindow && !breaker.open {
		c.openCircuit(endpoint)
		breaker.nextTrial = route.retryAfter + time.Duration(c.rng.Float64()*float64(c.trialInterval(endpoint)))
	}
	breaker.healthCheckFirst = result.MayHaveRun()
	// A sender of a large fleet makes few calls: it may meet the same failing endpoints again while others serve.
	if !breaker.open && breaker.consecutiveFailures >= circuitOpenFailures &&
		(result == Rejected || !fleetRate || c.allLastCallsFailed(dest)) {
		c.openCircuit(endpoint)
	}
}
