package control

import "math"

const (
	largeFleetSize           = 8    // from here on a fleet is large: its sum counts
	fleetRateInitial         = 2.0  // even parts of a limit that one of many siblings starts with...
	fleetRateRisePerSecond   = 0.5  // ...gains each second...
	fleetRateMax             = 4.0  // ...and has at most
	fleetRateReduction       = 0.7  // a refusal, its own or a sibling's, takes its share to this part...
	fleetRateReductionBase   = 1.5  // ...of so many even parts at most
	fleetRateMin             = 0.02 // but leaves so much of one
	isolatedRateReduction    = 0.25 // one that hears nobody: to this part, of one even part...
	isolatedRateRisePerCall  = 0.03 // ...and each served call adds this part of it
	fleetRateSlowStartFactor = 1.3  // times its sure part on a cold return: the sum of all is known
	fleetRateBurst           = 6.0  // calls that may come together after a pause
)

// largeFleet tells a large fleet.
func (s *Settings) largeFleet() bool { return s.FleetSize >= largeFleetSize }

// usesFleetRate tells that this instance shares limits by even parts, in one movement with many siblings who tell one
// another of refusals. A few learn their shares alone.
func (c *Controller) usesFleetRate() bool { return c.settings.CanGossip && c.settings.largeFleet() }

// fairShare is this instance's part of what a destination takes: halfway between an even one, which would starve
// busy instances, and its own traffic. In sum over the siblings that is the whole at most.
func (c *Controller) fairShare(e *endpoint) float64 {
	d, whole := e.destination, e.route.reportedLimit
	elapsed := float64(c.now - d.arrivalsUpdatedAt)
	own := d.arrivals * math.Exp(-elapsed/float64(trafficRateWindow)) / trafficRateWindow.Seconds()
	if whole <= 0 && c.settings.WeightKind != WeightsUnset {
		whole = e.Weight
	}
	if whole <= 0 {
		return max(own, 1/float64(c.settings.FleetSize))
	}
	if c.usesFleetRate() {
		return whole / float64(c.settings.FleetSize)
	}
	return (min(own, whole) + whole/float64(c.settings.FleetSize)) / 2
}

// reduceFleetRate takes a share of a limit down after a refusal, a sibling's too: what all send in sum was too much.
// To one that hears nobody each of its own stands for many, and served calls alone raise its share again.
func (c *Controller) reduceFleetRate(rt *route) {
	part, over, to := 1/float64(c.settings.FleetSize), fleetRateReductionBase, fleetRateReduction
	if c.peers.Isolated(c.now) {
		over, to = 1, isolatedRateReduction
	}
	rt.limitFraction = max(to*min(rt.limitFraction, over*part), fleetRateMin*part)
	rt.limitReducedAt = c.now
	rt.tokens, rt.filledAt = c.rng.Float64(), max(c.now, rt.retryAfter) // not all siblings at one instant
}
