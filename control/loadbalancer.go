package control

import (
	"time"

	"cleathold/internal/fleethealth"
)

const (
	maxConcurrencyFraction     = 0.75 // fraction of the slots that one destination may use
	reducedConcurrencyFraction = 0.5  // the same after a failure, until a call is served
)

// A route is the unit to which limits, Retry-After and outages apply: a destination, or a single endpoint with a
// separate route.
type route struct {
	retryAfter time.Duration // nothing may be sent before this
	breaker    circuitBreaker
	slowStart  slowStart
	limit      rateLimit
	bucket     tokenBucket
}

// extendRetryAfter prevents sends before at. A later time that already applies is kept.
func (r *route) extendRetryAfter(at time.Duration) { r.retryAfter = max(r.retryAfter, at) }

// An endpoint is a listed endpoint with the state derived from its calls and from peers' reports.
type endpoint struct {
	Endpoint
	destination         *destination
	route               *route
	callsInFlight       int
	consecutiveFailures int
	lastUsedAt          time.Duration
	lastSuccessAt       time.Duration
	connected           bool // a connection is assumed to be open
	connectBackoff      capacityBackoff
	removedAt           time.Duration // time of the list update that removed it
	lastCall            *call         // latest call, which messages sent at the same instant may join; nil = none yet
	health              fleethealth.Health
}

// newRoute returns a route in its initial state.
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

// available reports whether an endpoint may be called now for a message: it is listed as ready, no Retry-After applies,
// and its circuit breaker, slow start and rate limit allow a call.
func (c *Controller) available(msg *message, endpoint *endpoint) bool {
	route := endpoint.route
	if endpoint.State != Ready || c.now < max(route.retryAfter, endpoint.connectBackoff.retryAt) {
		return false
	}
	if route.breaker.open {
		return route.breaker.allowsTrial(c.now, c.settings.CanHealthCheck)
	}
	if c.canJoinCall(msg, endpoint) {
		return true
	}
	c.refillTokens(endpoint)
	return route.bucket.tokens >= 1 || c.sendRate(endpoint) <= 0
}

// concurrencyLimit returns the number of calls that a destination may have in flight.
func (c *Controller) concurrencyLimit(dest *destination) int {
	fraction := maxConcurrencyFraction
	if dest.concurrencyReduced {
		fraction = reducedConcurrencyFraction
	}
	return max(1, int(fraction*float64(c.settings.MaxInFlight)))
}

// pickEndpoint returns the endpoint for a message, or nil. It returns the first endpoint whose call of this instant the
// message can join, as this takes neither a slot nor a part of the limit.
func (c *Controller) pickEndpoint(dest *destination, msg *message) *endpoint {
	var best *endpoint
	atLimit := dest.callsInFlight >= c.concurrencyLimit(dest)
	for _, e := range dest.endpoints {
		joinsCall := c.canJoinCall(msg, e)
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

// preferred reports whether endpoint a is better for a message than b. It compares the failures, the cost, the calls in
// flight and then the time of the last use: the one used most recently is better, as it has an open connection.
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
		return a.lastUsedAt < b.lastUsedAt // no connections are kept, so the whole fleet would use one endpoint
	}
	return a.lastUsedAt > b.lastUsedAt
}

// zoneCost returns the cost of a message sent to an endpoint with a separate route, and 0 for other endpoints.
func (c *Controller) zoneCost(endpoint *endpoint) float64 {
	zone := endpoint.Zone
	if zone < 0 || zone >= len(c.settings.ZoneCosts) || !c.settings.kind(endpoint.Kind).SeparateRoutes {
		return 0
	}
	return c.settings.ZoneCosts[zone]
}
