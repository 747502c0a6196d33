package control

import (
	"math"
	"time"
)

const (
	trafficRateWindow    = 10 * time.Second       // time constant of a destination's traffic rate
	limitBurst           = 200 * time.Millisecond // a token bucket holds the tokens of this time
	limitReduction       = 0.65                   // a rejection reduces the limit fraction to this part
	limitRisePerSecond   = 0.08                   // each second with served calls raises the limit fraction by this
	minFairShareFraction = 0.4                    // but this part of the fair share is always sent
	minLimitFraction     = 0.01                   // where headroom is reported, the limit fraction rises from here
	headroomRaise        = 0.1                    // an answer that reports all of the limit left raises it by this part
	headroomAtLimit      = 0.5                    // a rejection that reports no more headroom is above the limit
)

// A tokenBucket lets calls go at a rate. Tokens may be negative.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// refill adds the tokens of the time since the last refill, at a rate a second, up to depth.
func (b *tokenBucket) refill(now time.Duration, perSecond, depth float64) {
	if now > b.filledAt {
		b.tokens = min(depth, b.tokens+perSecond*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}

// untilToken is the time until the next token at a rate a second.
func (b *tokenBucket) untilToken(perSecond float64) time.Duration {
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// A rateLimit is what is known of the limit of a route, and the fraction of it that this sender uses.
type rateLimit struct {
	reported  bool    // a load report came, also one that tells of no limit
	perSecond float64 // reported limit in calls a second; 0 = none
	fraction  float64 // of the limit, for this sender
	reducedAt time.Duration
	raisedAt  time.Duration
}

// reduce takes a rejection: half of the fleet is thought to see as much.
func (l *rateLimit) reduce(now time.Duration, halfFleet float64) {
	l.fraction *= math.Pow(limitReduction, halfFleet)
	l.reducedAt = now
}

// raise takes a served call: the fraction rises with time in which calls are served.
func (l *rateLimit) raise(now time.Duration) {
	risen := min(now-l.raisedAt, time.Second).Seconds() * limitRisePerSecond
	l.fraction, l.raisedAt = min(1, l.fraction+risen), now
}

// raiseByHeadroom takes a served call that reported how much of the limit is left, from 0 to 1.
func (l *rateLimit) raiseByHeadroom(headroom, halfFleet float64) {
	l.fraction = min(1, max(l.fraction, minLimitFraction)*math.Pow(1+headroomRaise*headroom, halfFleet))
}

// A trafficRate is the rate of messages for a destination: a count that decays with trafficRateWindow.
type trafficRate struct {
	arrivals  float64
	updatedAt time.Duration
}

// record takes the arrival of a message.
func (r *trafficRate) record(now time.Duration) {
	r.arrivals = r.arrivals*math.Exp(-float64(now-r.updatedAt)/float64(trafficRateWindow)) + 1
	r.updatedAt = now
}

// perSecond is the rate in messages a second.
func (r *trafficRate) perSecond(now time.Duration) float64 {
	decay := math.Exp(-float64(now-r.updatedAt) / float64(trafficRateWindow))
	return r.arrivals * decay / trafficRateWindow.Seconds()
}

// reportedLimit returns the limit that a load report tells, in calls a second.
func (s *Settings) reportedLimit(load []float32) (perSecond float64, ok bool) {
	if s.LimitIndex < 0 || s.LimitIndex >= len(load) {
		return 0, false
	}
	return float64(load[s.LimitIndex]), true
}

// reportedHeadroom returns the part of the limit that is left by a load report.
func (s *Settings) reportedHeadroom(load []float32) (headroom float64, ok bool) {
	if s.HeadroomIndex < 0 || s.HeadroomIndex >= len(load) {
		return 0, false
	}
	return float64(load[s.HeadroomIndex]), true
}

// recordLoadReport takes what an endpoint reports of its limit.
func (c *Controller) recordLoadReport(endpoint *endpoint, load []float32) {
	if perSecond, ok := c.settings.reportedLimit(load); ok {
		endpoint.route.limit.perSecond, endpoint.route.limit.reported = perSecond, true
	}
}

// rejectedAtLimit tells a rejection above a reported limit, with little of it left, from an outage.
func (c *Controller) rejectedAtLimit(route *route, o Outcome) bool {
	headroom, ok := c.settings.reportedHeadroom(o.LoadReport)
	return o.Result == Rejected && o.RetryAfter < c.settings.OverloadWindow && !route.breaker.open &&
		route.limit.perSecond > 0 && ok && !(headroom > headroomAtLimit)
}

// sendRate is the rate in calls a second at which a route is sent to; 0 = no limit. A known limit is kept by a token
// bucket, as each call above it is lost. In a slow start it is what the destination is sure to take.
func (c *Controller) sendRate(endpoint *endpoint) float64 {
	route := endpoint.route
	if route.slowStart.active {
		return c.fairShare(endpoint) * route.slowStart.capacityFraction(c.now, &c.settings) *
			max(1, c.settings.OverloadFactor/2)
	}
	limit := route.limit.perSecond
	if !route.limit.reported {
		limit = c.capacity(endpoint)
	}
	if c.settings.usesFleetRate() {
		return limit * route.limit.fraction
	}
	return max(limit*route.limit.fraction, min(limit, c.fairShare(endpoint)*minFairShareFraction))
}

// refillTokens refills the token bucket of an endpoint's route, and ends its slow start when it is over.
func (c *Controller) refillTokens(endpoint *endpoint) {
	route, fleetRate := endpoint.route, c.settings.usesFleetRate()
	route.slowStart.expire(c.now, c.settings.WarmUp)
	c.updateFleetRate(endpoint)
	rate, depth := c.sendRate(endpoint), 1.0
	switch {
	case route.slowStart.active:
	case fleetRate:
		depth = fleetRateBurst
	default:
		depth = max(1, rate*limitBurst.Seconds())
	}
	route.bucket.refill(c.now, rate, depth)
}

// adjustLimitFraction learns this sender's fraction of a route's limit: rejections reduce it, once for calls that were
// sent together, and served calls raise it slowly, so that the fleet meets near the limit. Reports of headroom raise it
// at once. A rejection and a report stand for what half of the fleet sees.
func (c *Controller) adjustLimitFraction(a *attempt, result Result, load []float32) {
	route, halfFleet := a.endpoint.route, float64(c.settings.FleetSize)/2
	limit := &route.limit
	switch {
	case result == Rejected && !route.slowStart.active && c.settings.usesFleetRate():
		if a.sentAt >= limit.reducedAt {
			c.reduceFleetRate(route)
			c.gossipRejection(a.endpoint, c.now-a.sentAt)
		}
	case result == Rejected && !route.slowStart.active:
		if a.sentAt >= limit.reducedAt {
			limit.reduce(c.now, halfFleet)
		}
		// The draw keeps the fleet from sending at one instant.
		route.bucket = tokenBucket{tokens: c.rng.Float64() - 0.5, filledAt: max(c.now, route.retryAfter)}
	case result == Served && c.peers.Isolated(c.now):
		limit.raiseIsolated(c.settings.FleetSize)
	case result == Served && !c.settings.usesFleetRate():
		limit.raise(c.now)
	}
	if headroom, ok := c.settings.reportedHeadroom(load); ok && result == Served {
		limit.raiseByHeadroom(headroom, halfFleet)
	}
}
