package control

import (
	"time"

	"cleathold/internal/fleethealth"
)

const (
	maxConcurrencyFraction     = 0.75 // part of the slots that one destination may take
	reducedConcurrencyFraction = 0.5  // the same after a failure, until a call is served
)

// A route is what limits, waits and outages hold for: a destination, or one endpoint of it with a separate route.
type route struct {
	retryAfter time.Duration // nothing is sent before this
	breaker    circuitBreaker
	slowStart  slowStart
	limit      rateLimit
	bucket     tokenBucket
}

// extendRetryAfter has nothing sent before at; a later time that holds already stays.
func (r *route) extendRetryAfter(at time.Duration) { r.retryAfter = max(r.retryAfter, at) }

// An endpoint is a listed endpoint with what its own calls have shown.
type endpoint struct {
	Endpoint
	destination         *destination
	route               *route
	callsInFlight       int
	consecutiveFailures int
	lastUsedAt          time.Duration
	lastSuccessAt       time.Duration
	connected           bool // a connection is thought open
	connectBackoff      capacityBackoff
	removedAt           time.Duration // when the list left it out
	lastCall            *call         // which messages sent at the same instant may share; nil = none yet
	health              fleethealth.Health
}

// newRoute returns a route on which nothing is known yet.
func (c *Controller) newRoute() *route {
	fraction, tokens := 1.0, 1.0
	if c.settings.usesFleetRate() {
		fraction, tokens = fleetRateInitial/float64(c.settings.FleetSize), fleetRateInitial
	}
	return &route{
		limit:  rateLimit{fraction: fraction},
		bucket: tokenBucket{tokens: tokens, filledAt: c.now},
	}
}

// available reports whether an endpoint takes a call now: it is listed as ready, no Retry-After binds, and its circuit
// breaker, slow start and rate limit let one go.
func (c *Controller) available(endpoint *endpoint) bool {
	route := endpoint.route
	if endpoint.State != Ready || c.now < max(route.retryAfter, endpoint.connectBackoff.retryAt) {
		return false
	}
	if route.breaker.open {
		return route.breaker.allowsTrial(c.now, c.settings.CanHealthCheck)
	}
	if c.canJoinCall(endpoint) {
		return true
	}
	c.refillTokens(endpoint)
	return route.bucket.tokens >= 1 || c.sendRate(endpoint) <= 0
}

// concurrencyLimit is the number of calls that a destination may have in flight.
func (c *Controller) concurrencyLimit(dest *destination) int {
	fraction := maxConcurrencyFraction
	if dest.concurrencyReduced {
		fraction = reducedConcurrencyFraction
	}
	return max(1, int(fraction*float64(c.settings.MaxInFlight)))
}

// pickEndpoint chooses the endpoint for a message, or nil. One that has a call at this instant with space left is taken
// at once: a further message in a call costs neither a slot nor a part of the limit.
func (c *Controller) pickEndpoint(dest *destination, msg *message) *endpoint {
	var best *endpoint
	atLimit := dest.callsInFlight >= c.concurrencyLimit(dest)
	for _, e := range dest.endpoints {
		joinsCall := c.canJoinCall(e)
		if atLimit && !joinsCall || !c.maySend(msg, e) {
			continue
		}
		if joinsCall {
			return e
		}
		if best == nil || c.preferred(msg, e, best) {
			best = e
		}
	}
	return best
}

// preferred reports whether endpoint a is better for a message than b: by fewer failures, lower cost, fewer calls in
// flight, then the latest use, as that one has a connection.
func (c *Controller) preferred(msg *message, a, b *endpoint) bool {
	if x, y := c.failureScore(msg, a), c.failureScore(msg, b); x != y {
		return x < y
	}
	if x, y := c.zoneCost(a), c.zoneCost(b); x != y {
		return x < y
	}
	if a.callsInFlight != b.callsInFlight {
		return a.callsInFlight < b.callsInFlight
	}
	if c.settings.usesFleetRate() && c.connections.scarce(a.Kind) {
		return a.lastUsedAt < b.lastUsedAt // where none is kept, the whole fleet would use the same endpoint
	}
	return a.lastUsedAt > b.lastUsedAt
}

// zoneCost is the price of a message that an endpoint with a separate route takes.
func (c *Controller) zoneCost(endpoint *endpoint) float64 {
	zone := endpoint.Zone
	if zone < 0 || zone >= len(c.settings.ZoneCosts) || !c.settings.kind(endpoint.Kind).SeparateRoutes {
		return 0
	}
	return c.settings.ZoneCosts[zone]
}
