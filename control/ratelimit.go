package control

import (
	"math"
	"time"
)

const (
	trafficRateWindow    = 10 * time.Second       // memory of the rate of a destination's traffic
	limitBurst           = 200 * time.Millisecond // depth of a limit's token bucket
	limitReduction       = 0.65                   // a refusal takes the share of a limit down to this part
	limitRisePerSecond   = 0.08                   // and each second with served calls adds so much again
	minFairShareFraction = 0.4                    // but it leaves so much of this instance's part
	minLimitFraction     = 0.01                   // with reports the share grows from here
	headroomAtLimit      = 0.5                    // a refusal with less of a limit left is no outage
	headroomRaise        = 0.1                    // an answer with all the allowance left raises it by this part
)

// sendRate is the rate in calls a second that a route is sent; 0 = as they come. A known limit is kept by a
// token bucket, as each call above it is lost. A warming route gets the part that it can be sure to take.
func (c *Controller) sendRate(e *endpoint) float64 {
	rt := e.route
	whole := rt.reportedLimit
	if whole <= 0 && c.settings.WeightKind != WeightsUnset && !rt.limitReported {
		whole = e.Weight
	}
	if !rt.slowStartActive {
		if c.usesFleetRate() {
			return whole * rt.limitFraction
		}
		return max(whole*rt.limitFraction, min(whole, c.fairShare(e)*minFairShareFraction))
	}
	f := c.settings.ColdCapacity
	if c.settings.WarmUp > 0 {
		f += (1 - f) * float64(c.now-rt.rampFrom) / float64(c.settings.WarmUp)
	}
	if c.usesFleetRate() {
		f *= fleetRateSlowStartFactor
	}
	return c.fairShare(e) * min(f, 1) * max(1, c.settings.OverloadFactor/2)
}

// refillTokens fills the token bucket of a route, and ends its slow start.
func (c *Controller) refillTokens(e *endpoint) {
	rt := e.route
	if rt.slowStartActive && c.now >= rt.recoveredAt+c.settings.WarmUp {
		rt.slowStartActive = false
	}
	if c.peers.Isolated(c.now) {
		if rt.limitRaisedAt = c.now; rt.limitReducedAt == c.peers.QueriedAt {
			c.reduceFleetRate(rt)
		}
		if c.peers.RepeatQuery(c.now) {
			c.actions.Gossip(Observation{Endpoint: e.ID, Kind: ReachabilityQuery})
		}
	}
	if from := max(rt.limitRaisedAt, rt.limitReducedAt, rt.retryAfter); c.usesFleetRate() && !rt.slowStartActive &&
		c.now > from {
		grown := (c.now - from).Seconds() * fleetRateRisePerSecond * c.peers.ReachableFraction(c.now)
		rt.limitFraction = min(fleetRateMax/float64(c.settings.FleetSize),
			rt.limitFraction+grown/float64(c.settings.FleetSize))
		rt.limitRaisedAt = c.now
	}
	p, depth := c.sendRate(e), 1.0
	if !rt.slowStartActive {
		depth = max(1, p*limitBurst.Seconds())
		if c.usesFleetRate() {
			depth = fleetRateBurst // one of many sees its messages in clumps
		}
	}
	if c.now > rt.filledAt {
		rt.tokens = min(depth, rt.tokens+p*(c.now-rt.filledAt).Seconds())
		rt.filledAt = c.now
	}
}

// recordLoadReport takes what an endpoint told of its limit.
func (c *Controller) recordLoadReport(e *endpoint, load []float32) {
	if i := c.settings.LimitIndex; i >= 0 && i < len(load) {
		e.route.reportedLimit, e.route.limitReported = float64(load[i]), true
	}
}

// rejectedAtLimit tells a refusal above a known limit, with nothing of it left, from an outage.
func (c *Controller) rejectedAtLimit(e *endpoint, o Outcome) bool {
	i := c.settings.HeadroomIndex
	rt := e.route
	if o.Result != Rejected || o.RetryAfter >= c.settings.OverloadWindow || rt.circuitOpen || rt.reportedLimit <= 0 ||
		i < 0 || i >= len(o.LoadReport) || o.LoadReport[i] > headroomAtLimit {
		return false
	}
	rt.retryAfter = max(rt.retryAfter, c.now+o.RetryAfter)
	return true
}

// adjustLimitFraction learns this instance's part of a route's limit: refusals lower it, once for calls sent
// together, and served calls raise it slowly, so that the siblings meet near the limit. Reports that tell of
// allowance left raise it at once. A refusal and a report stand for what half the siblings see.
func (c *Controller) adjustLimitFraction(a *attempt, r Result, load []float32) {
	rt, fleet := a.endpoint.route, float64(c.settings.FleetSize)/2
	switch {
	case r == Rejected && !rt.slowStartActive && c.usesFleetRate():
		if a.sentAt >= rt.limitReducedAt {
			c.reduceFleetRate(rt)
			c.gossipRejection(a.endpoint, c.now-a.sentAt)
		}
	case r == Rejected && !rt.slowStartActive:
		if a.sentAt >= rt.limitReducedAt {
			rt.limitFraction *= math.Pow(limitReduction, fleet)
			rt.limitReducedAt = c.now
		}
		rt.tokens, rt.filledAt = c.rng.Float64()-0.5, max(c.now, rt.retryAfter) // not all siblings at one instant
	case r == Served && c.peers.Isolated(c.now):
		rt.limitFraction = min(fleetRateMax/float64(c.settings.FleetSize), rt.limitFraction*(1+isolatedRateRisePerCall))
	case r == Served && !c.usesFleetRate():
		grown := min(c.now-rt.limitRaisedAt, time.Second).Seconds() * limitRisePerSecond
		rt.limitFraction, rt.limitRaisedAt = min(1, rt.limitFraction+grown), c.now
	}
	if i := c.settings.HeadroomIndex; r == Served && i >= 0 && i < len(load) {
		rt.limitFraction = min(1, max(rt.limitFraction, minLimitFraction)*math.Pow(1+headroomRaise*float64(load[i]), fleet))
	}
}

// countArrival follows the rate of the traffic for the destination.
func (d *destination) countArrival(now time.Duration) {
	d.arrivals = d.arrivals*math.Exp(-float64(now-d.arrivalsUpdatedAt)/float64(trafficRateWindow)) + 1
	d.arrivalsUpdatedAt = now
}
