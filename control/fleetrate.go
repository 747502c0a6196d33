package control

import "time"

// In a large fleet whose senders gossip, all senders use the same fraction of a limit. It is measured in fair shares,
// which are the limit divided by the fleet size. A rejection of any sender's call reduces it for all of them, and it
// rises again with time. The design is described in docs/design/fleet-limits.md.
const (
	largeFleetSize           = 8    // minimum number of senders in a large fleet
	fleetRateInitial         = 2.0  // initial fraction in fair shares
	fleetRateRisePerSecond   = 0.5  // rise in fair shares per second
	fleetRateMax             = 4.0  // maximum in fair shares
	fleetRateReduction       = 0.7  // a rejection multiplies the fraction by this...
	fleetRateReductionBase   = 1.5  // ...after limiting it to this many fair shares
	fleetRateMin             = 0.02 // minimum in fair shares
	isolatedRateReduction    = 0.25 // an isolated sender reduces it to at most this part of one fair share...
	isolatedRateRisePerCall  = 0.03 // ...and raises it by this part with each served call
	fleetRateSlowStartFactor = 1.3  // multiple of the certain slow-start capacity, as the fleet's total rate is known
	fleetRateBurst           = 6.0  // depth of the token bucket, as one of many senders receives messages in bursts
)

// largeFleet reports whether the fleet is so large that its combined effect on a destination has to be considered.
func (s *Settings) largeFleet() bool { return s.FleetSize >= largeFleetSize }

// usesFleetRate reports whether this sender shares limits with a large fleet by gossip. In a small fleet, each sender
// adapts its own fraction independently.
func (s *Settings) usesFleetRate() bool { return s.CanGossip && s.largeFleet() }

// reduceInFleet lowers the fraction after a rejection of a call of this sender or a peer, which shows that the fleet's
// total rate was too high. An isolated sender lowers it further, as it does not receive the rejections of its peers.
func (l *rateLimit) reduceInFleet(now time.Duration, fleetSize int, isolated bool) {
	fairShare, base, reduction := 1/float64(fleetSize), fleetRateReductionBase, fleetRateReduction
	if isolated {
		base, reduction = 1, isolatedRateReduction
	}
	l.fraction = max(reduction*min(l.fraction, base*fairShare), fleetRateMin*fairShare)
	l.reducedAt = now
}

// raiseInFleet raises the fraction in proportion to the time since from and to the reachable fraction of the peers.
func (l *rateLimit) raiseInFleet(now, from time.Duration, fleetSize int, reachable float64) {
	risen := (now - from).Seconds() * fleetRateRisePerSecond * reachable
	l.fraction = min(fleetRateMax/float64(fleetSize), l.fraction+risen/float64(fleetSize))
	l.raisedAt = now
}

// raiseIsolated raises the fraction of an isolated sender after a served call.
func (l *rateLimit) raiseIsolated(fleetSize int) {
	l.fraction = min(fleetRateMax/float64(fleetSize), l.fraction*(1+isolatedRateRisePerCall))
}

// reduceFleetRate lowers the fraction of a route after a rejection of a call of this sender or a peer. The random
// number of tokens keeps the senders of the fleet from sending simultaneously.
func (c *Controller) reduceFleetRate(route *route) {
	route.limit.reduceInFleet(c.now, c.settings.FleetSize, c.peers.Isolated(c.now))
	route.bucket = tokenBucket{tokens: c.rng.Float64(), filledAt: max(c.now, route.retryAfter)}
}

// updateFleetRate raises the fraction of a route with time unless this sender is isolated. A sender that detects its
// isolation applies the stronger reduction of an isolated sender to the rejection with which it sent its reachability
// query, and keeps sending queries.
func (c *Controller) updateFleetRate(endpoint *endpoint) {
	route := endpoint.route
	limit := &route.limit
	if c.peers.Isolated(c.now) {
		if limit.raisedAt = c.now; limit.reducedAt == c.peers.QueriedAt {
			c.reduceFleetRate(route)
		}
		if c.peers.ShouldRepeatQuery(c.now) {
			c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ReachabilityQuery})
		}
	}
	from := max(limit.raisedAt, limit.reducedAt, route.retryAfter)
	if c.settings.usesFleetRate() && !route.slowStart.active && c.now > from {
		limit.raiseInFleet(c.now, from, c.settings.FleetSize, c.peers.ReachableFraction(c.now))
	}
}

// capacity returns the calls per second that an endpoint accepts from the whole fleet, by its load reports or else by
// its weight; 0 = unknown.
func (c *Controller) capacity(endpoint *endpoint) float64 {
	if limit := endpoint.route.limit.perSecond; limit > 0 || c.settings.WeightKind == WeightsUnset {
		return limit
	}
	return endpoint.Weight
}

// fairShare returns this sender's share of an endpoint's capacity in calls per second. In a large fleet all shares are
// equal. In a small fleet, where equal shares would starve busy senders, it is the mean of the equal share and the
// sender's own traffic. The shares of the fleet add up to at most the capacity.
func (c *Controller) fairShare(endpoint *endpoint) float64 {
	fleetSize, capacity := float64(c.settings.FleetSize), c.capacity(endpoint)
	if capacity > 0 && c.settings.usesFleetRate() {
		return capacity / fleetSize
	}
	traffic := endpoint.destination.traffic.perSecond(c.now)
	if capacity <= 0 {
		return max(traffic, 1/fleetSize)
	}
	return (min(traffic, capacity) + capacity/fleetSize) / 2
}
