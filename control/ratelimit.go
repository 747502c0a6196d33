package control

import (
	"math"
	"time"
)

const (
	trafficRateWindow    = 10 * time.Second       // time constant of a destination's traffic rate
	limitBurst           = 200 * time.Millisecond // a token bucket holds the tokens of this time
	limitReduction       = 0.65                   // a rejection multiplies the limit fraction by this
	limitRisePerSecond   = 0.08                   // each second with served calls raises the limit fraction by this
	minFairShareFraction = 0.4                    // the rate never falls below this fraction of the fair share
	minLimitFraction     = 0.01                   // reported headroom raises the limit fraction from at least this
	headroomRaise        = 0.1                    // relative rise of the limit fraction if the reported limit is unused
	headroomAtLimit      = 0.5                    // a rejection with at most this headroom is above the limit
)

// A tokenBucket limits the rate of calls. The number of tokens may be negative.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// refill adds the tokens for the time since the last refill, up to depth.
func (b *tokenBucket) refill(now time.Duration, perSecond, depth float64) {
	if now > b.filledAt {
		b.tokens = min(depth, b.tokens+perSecond*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}

// untilToken returns the time until the next token is available.
func (b *tokenBucket) untilToken(perSecond float64) time.Duration {
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// A rateLimit holds the reported limit of a route and the fraction of it that this sender uses.
type rateLimit struct {
	reported  bool    // a load report was received, even if it contained no limit
	perSecond float64 // reported limit in calls per second; 0 = none
	fraction  float64 // fraction of the limit that this sender may use
	reducedAt time.Duration
	raisedAt  time.Duration
}

// reduce lowers the fraction after a rejection. Half of the fleet is assumed to be rejected as well, so the reduction
// is applied once for each of those senders.
func (l *rateLimit) reduce(now time.Duration, halfFleet float64) {
	l.fraction *= math.Pow(limitReduction, halfFleet)
	l.reducedAt = now
}

// raise raises the fraction after a served call, in proportion to the time since the last rise, up to one second.
func (l *rateLimit) raise(now time.Duration) {
	risen := min(now-l.raisedAt, time.Second).Seconds() * limitRisePerSecond
	l.fraction, l.raisedAt = min(1, l.fraction+risen), now
}

// raiseByHeadroom raises the fraction after a served call that reported headroom, the unused fraction of the limit.
func (l *rateLimit) raiseByHeadroom(headroom, halfFleet float64) {
	l.fraction = min(1, max(l.fraction, minLimitFraction)*math.Pow(1+headroomRaise*headroom, halfFleet))
}

// A trafficRate estimates the message rate of a destination by a count of arrivals that decays exponentially with the
// time constant trafficRateWindow.
type trafficRate struct {
	arrivals  float64
	updatedAt time.Duration
}

// record counts the arrival of a message.
func (r *trafficRate) record(now time.Duration) {
	r.arrivals = r.arrivals*math.Exp(-float64(now-r.updatedAt)/float64(trafficRateWindow)) + 1
	r.updatedAt = now
}

// perSecond returns the rate in messages per second.
func (r *trafficRate) perSecond(now time.Duration) float64 {
	decay := math.Exp(-float64(now-r.updatedAt) / float64(trafficRateWindow))
	return r.arrivals * decay / trafficRateWindow.Seconds()
}

// reportedLimit returns the limit in a load report, in calls per second, and whether the report has one.
func (s *Settings) reportedLimit(load []float32) (perSecond float64, ok bool) {
	if s.LimitIndex < 0 || s.LimitIndex >= len(load) {
		return 0, false
	}
	return float64(load[s.LimitIndex]), true
}

// reportedHeadroom returns the unused fraction of the limit in a load report, and whether the report has one.
func (s *Settings) reportedHeadroom(load []float32) (headroom float64, ok bool) {
	if s.HeadroomIndex < 0 || s.HeadroomIndex >= len(load) {
		return 0, false
	}
	return float64(load[s.HeadroomIndex]), true
}

// recordLoadReport stores the limit in an endpoint's load report.
func (c *Controller) recordLoadReport(endpoint *endpoint, load []float32) {
	if perSecond, ok := c.settings.reportedLimit(load); ok {
		endpoint.route.limit.perSecond, endpoint.route.limit.reported = perSecond, true
	}
}

// rejectedAtLimit reports whether an outcome is a rejection above a reported limit, of which little is left, rather
// than a sign of an outage.
func (c *Controller) rejectedAtLimit(route *route, o Outcome) bool {
	headroom, ok := c.settings.reportedHeadroom(o.LoadReport)
	return o.Result == Rejected && o.RetryAfter < c.settings.OverloadWindow && !route.breaker.open &&
		route.limit.perSecond > 0 && ok && !(headroom > headroomAtLimit)
}

// sendRate returns the rate in calls per second at which this sender may call an endpoint's route; 0 = no limit. The
// token bucket keeps calls within a known limit, as each call above it is wasted. During a slow start the rate is based
// on the capacity that the destination has for certain.
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

// refillTokens refills the token bucket of an endpoint's route, and ends the route's slow start once its time is over.
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

// adjustLimitFraction adapts this sender's fraction of a route's limit. Rejections reduce it, once for calls that were
// in flight together, and served calls raise it slowly, so that the fleet converges near the limit. Reported headroom
// raises it at once. Half of the fleet is assumed to receive the same rejections and reports.
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
		// The random number of tokens keeps the senders of the fleet from sending simultaneously.
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
