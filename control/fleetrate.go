package control

import "time"

// In a large fleet whose senders gossip, all use one fraction of a limit, in fair shares: the limit over the fleet
// size. A rejection that one of them meets reduces it for all, and time raises it again. The design is
// docs/design/fleet-limits.md.
const (
	largeFleetSize           = 8    // senders from which on a fleet is large
	fleetRateInitial         = 2.0  // fair shares at the start
	fleetRateRisePerSecond   = 0.5  // fair shares gained each second
	fleetRateMax             = 4.0  // fair shares at most
	fleetRateReduction       = 0.7  // a rejection reduces the fraction to this part...
	fleetRateReductionBase   = 1.5  // ...of so many fair shares at most
	fleetRateMin             = 0.02 // fair shares at least
	isolatedRateReduction    = 0.25 // an isolated sender reduces it to this part of one fair share at most...
	isolatedRateRisePerCall  = 0.03 // ...and raises it by this part with each served call
	fleetRateSlowStartFactor = 1.3  // times the capacity that is sure in a slow start, as the fleet's sum is known
	fleetRateBurst           = 6.0  // tokens that a bucket holds, as one of many sees its messages in clumps
)

// largeFleet reports whether the sum of what the fleet does counts for a destination.
func (s *Settings) largeFleet() bool { return s.FleetSize >= largeFleetSize }

// usesFleetRate reports whether this sender shares limits with a large fleet by gossip. The senders of a small one
// learn their fractions each alone.
func (s *Settings) usesFleetRate() bool { return s.CanGossip && s.largeFleet() }

// reduceInFleet takes a rejection, of this sender or a peer: what the fleet sends in sum was too much. To an isolated
// sender each of its own stands for many.
func (l *rateLimit) reduceInFleet(now time.Duration, fleetSize int, isolated bool) {
	fairShare, base, reduction := 1/float64(fleetSize), fleetRateReductionBase, fleetRateReduction
	if isolated {
		base, reduction = 1, isolatedRateReduction
	}
	l.fraction = max(reduction*min(l.fraction, base*fairShare), fleetRateMin*fairShare)
	l.reducedAt = now
}

// raiseInFleet raises the fraction with the time since from, the less, the fewer peers are reachable.
func (l *rateLimit) raiseInFleet(now, from time.Duration, fleetSize int, reachable float64) {
	risen := (now - from).Seconds() * fleetRateRisePerSecond * reachable
	l.fraction = min(fleetRateMax/float64(fleetSize), l.fraction+risen/float64(fleetSize))
	l.raisedAt = now
}

// raiseIsolated takes a served call of an isolated sender.
func (l *rateLimit) raiseIsolated(fleetSize int) {
	l.fraction = min(fleetRateMax/float64(fleetSize), l.fraction*(1+isolatedRateRisePerCall))
}

// reduceFleetRate takes a rejection on a route, of this sender or a peer. The draw keeps the fleet from sending at
// one instant.
func (c *Controller) reduceFleetRate(route *route) {
	route.limit.reduceInFleet(c.now, c.settings.FleetSize, c.peers.Isolated(c.now))
	route.bucket = tokenBucket{tokens: c.rng.Float64(), filledAt: max(c.now, route.retryAfter)}
}

// updateFleetRate raises the fraction of a route with time, as far as this sender is not isolated; one that finds out
// that it is counts the rejection that it gossiped about as an isolated one, and goes on asking for peers.
func (c *Controller) updateFleetRate(endpoint *endpoint) {
	route := endpoint.route
	limit := &route.limit
	if c.peers.Isolated(c.now) {
		if limit.raisedAt = c.now; limit.reducedAt == c.peers.QueriedAt {
			c.reduceFleetRate(route)
		}
		if c.peers.RepeatQuery(c.now) {
			c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ReachabilityQuery})
		}
	}
	from := max(limit.raisedAt, limit.reducedAt, route.retryAfter)
	if c.settings.usesFleetRate() && !route.slowStart.active && c.now > from {
		limit.raiseInFleet(c.now, from, c.settings.FleetSize, c.peers.ReachableFraction(c.now))
	}
}

// capacity is what an endpoint takes from the whole fleet in calls a second, by its reports, else by its weight; 0 =
// not known.
func (c *Controller) capacity(endpoint *endpoint) float64 {
	if limit := endpoint.route.limit.perSecond; limit > 0 || c.settings.WeightKind == WeightsUnset {
		return limit
	}
	return endpoint.Weight
}

// fairShare is this sender's part of an endpoint's capacity in calls a second: in a large fleet an even one, in a
// small one halfway between that, which would starve busy senders, and its own traffic. In sum over the fleet it is
// all of the capacity at most.
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
