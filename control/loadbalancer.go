package control

import (
	"cleathold/internal/fleethealth"
	"time"
)

const (
	maxConcurrencyFraction     = 0.75 // share of the slots that one destination may take
	reducedConcurrencyFraction = 0.5  // the same after a failure, until a call is served
)

// A route is what waits, limits and outages hold for: a destination, or one
// endpoint of it where endpoints are routes apart.
type route struct {
	retryAfter          time.Duration // told: nothing is sent before this
	consecutiveFailures int           // answers in a row that served nothing
	failingSince        time.Duration // the first of them
	lastFailureAt       time.Duration // the latest of them
	lastSuccessAt       time.Duration // the latest answer that served
	circuitOpen         bool          // taken for an outage: lone calls only
	callTimeBefore      time.Duration // open or warming: T_m before the trouble
	probeSucceeded      bool          // open: a probe was answered, so one call may go
	probeFirst          bool          // open: a call may be lost, so a probe goes first
	nextTrial           time.Duration // open: the next lone call
	backoff             time.Duration // open: pause after the next failed call
	recoveredAt         time.Duration // when it came back; slow start until backAt + Cold
	rampFrom            time.Duration // from where its pace rises: backAt, or before if answers are quick
	slowStartActive     bool
	warmReporters       []int   // siblings that found it warm since
	tokens              float64 // token bucket of the slow start
	filledAt            time.Duration
	limitFraction       float64       // this instance's part of the limit
	limitReducedAt      time.Duration // when a refusal last lowered it
	limitRaisedAt       time.Duration // when an answer last raised it
	limitReported       bool          // a report came, also one that tells of no limit
	reportedLimit       float64       // reported limit in calls a second; 0 = none known
}

// An endpoint is a listed endpoint with what its own calls have shown.
type endpoint struct {
	Endpoint
	destination         *destination
	route               *route
	callsInFlight       int // calls out
	consecutiveFailures int // answers in a row that served nothing
	lastUsedAt          time.Duration
	lastSuccessAt       time.Duration // the latest answer that served
	connected           bool          // a connection is thought open
	capacityRetryAt     time.Duration // it may have room for a connection again
	capacityRejections  int           // answers in a row that it has none
	removedAt           time.Duration // when it was last seen to be listed
	lastCall            *call         // the latest call, which sends of one instant may share

	health fleethealth.Health // what siblings and this sender found of it, in a large fleet
}

// newRoute returns a route on which nothing is known yet.
func (c *Controller) newRoute() *route {
	r := &route{limitFraction: 1, tokens: 1, filledAt: c.now}
	if c.usesFleetRate() {
		r.limitFraction, r.tokens = fleetRateInitial/float64(c.settings.FleetSize), fleetRateInitial
	}
	return r
}

// available: drains, told waits and the return of a cold destination.
func (c *Controller) available(e *endpoint) bool {
	rt := e.route
	if e.State != Ready || c.now < max(rt.retryAfter, e.capacityRetryAt) {
		return false
	}
	if rt.circuitOpen {
		return rt.probeSucceeded || c.now >= rt.nextTrial && !(rt.probeFirst && c.settings.CanHealthCheck)
	}
	if c.joinsCall(e) {
		return true
	}
	c.refillTokens(e)
	return rt.tokens >= 1 || c.sendRate(e) <= 0
}

// concurrencyLimit is the number of calls that a destination may have out.
func (c *Controller) concurrencyLimit(d *destination) int {
	share := maxConcurrencyFraction
	if d.concurrencyReduced {
		share = reducedConcurrencyFraction
	}
	return max(1, int(share*float64(c.settings.MaxInFlight)))
}

// pickEndpoint chooses the endpoint for a message: least doubt, then fewest calls out, then the latest used.
func (c *Controller) pickEndpoint(d *destination, m *message) *endpoint {
	var best *endpoint
	for _, e := range d.endpoints {
		if !c.joinsCall(e) && d.callsInFlight >= c.concurrencyLimit(d) || !c.allowed(actionSend, m, e) {
			continue
		}
		if c.joinsCall(e) {
			return e // a message more in a call costs neither a slot nor the limit
		}
		if best == nil || c.preferred(m, e, best) {
			best = e
		}
	}
	return best
}

// preferred orders the endpoints of a destination for a message.
func (c *Controller) preferred(m *message, e, o *endpoint) bool {
	if x, y := c.failureScore(m, e), c.failureScore(m, o); x != y {
		return x < y
	}
	if x, y := c.zoneCost(e), c.zoneCost(o); x != y {
		return x < y
	}
	if e.callsInFlight != o.callsInFlight {
		return e.callsInFlight < o.callsInFlight
	}
	if c.usesFleetRate() && c.connectionRejections[e.Kind] > scarceConnectionThreshold {
		return e.lastUsedAt < o.lastUsedAt // without a connection to keep, all of many siblings would fill the same one
	}
	return e.lastUsedAt > o.lastUsedAt
}

// zoneCost is the price of a message that an endpoint takes on, where its route stands by itself.
func (c *Controller) zoneCost(e *endpoint) float64 {
	if !c.kind(e.Kind).SeparateRoutes || e.Zone < 0 || e.Zone >= len(c.settings.ZoneCosts) {
		return 0
	}
	return c.settings.ZoneCosts[e.Zone]
}

// kind returns what is known of a kind of destination.
func (c *Controller) kind(i int) Kind {
	if i < 0 || i >= len(c.settings.Kinds) {
		return Kind{MaxBatch: 1}
	}
	return c.settings.Kinds[i]
}
