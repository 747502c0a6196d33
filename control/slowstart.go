package control

import (
	"slices"
	"time"
)

const (
	warmCallFactor = 1.5 // a call to a warm destination takes at most this multiple of T_m before the outage
	warmReportStep = 0.1 // fraction of WarmUp by which each such call and each peer's report of one shortens it
)

// A slowStart raises the rate of a route gradually after an outage, while its destination is warming up. The zero value
// is inactive.
type slowStart struct {
	active        bool
	recoveredAt   time.Duration // time of the first call served after the outage
	rampStart     time.Duration // start of the rise: recoveredAt, or earlier if calls were fast
	warmReporters []int         // peers that have reported the destination as warm since recoveredAt
}

// begin starts the slow start at now.
func (s *slowStart) begin(now time.Duration) {
	s.active, s.rampStart, s.recoveredAt, s.warmReporters = true, now, now, s.warmReporters[:0]
}

// expire ends the slow start once WarmUp is over.
func (s *slowStart) expire(now, warmUp time.Duration) {
	if s.active && now >= s.recoveredAt+warmUp {
		s.active = false
	}
}

// advance shortens the slow start by one step.
func (s *slowStart) advance(warmUp time.Duration) {
	s.rampStart -= time.Duration(float64(warmUp) * warmReportStep)
}

// addWarmReport records a peer's report that the destination is warm and reports whether it counts. Each peer counts
// once, so that a single wrong peer cannot cause an overload, and no more peers count than it takes to end the slow
// start.
func (s *slowStart) addWarmReport(peer int) bool {
	if slices.Contains(s.warmReporters, peer) || len(s.warmReporters) >= int(1/warmReportStep) {
		return false
	}
	s.warmReporters = append(s.warmReporters, peer)
	return true
}

// capacityFraction returns the fraction of its capacity that a destination has for certain at now, from 0 to 1.
func (s *slowStart) capacityFraction(now time.Duration, settings *Settings) float64 {
	fraction := settings.ColdCapacity
	if settings.WarmUp > 0 {
		fraction += (1 - fraction) * float64(now-s.rampStart) / float64(settings.WarmUp)
	}
	if settings.usesFleetRate() {
		fraction *= fleetRateSlowStartFactor
	}
	return min(fraction, 1)
}

// startSlowStart begins the slow start of a route after an outage. The number of tokens is random, so that the senders
// of a fleet, which each send little, do not send simultaneously.
func (c *Controller) startSlowStart(route *route) {
	if !route.slowStart.active || c.now-route.breaker.failingSince >= c.settings.WarmUp/2 {
		route.slowStart.begin(c.now)
	}
	route.bucket = tokenBucket{tokens: c.rng.Float64(), filledAt: c.now}
}

// recordWarmCall shortens a slow start after a call that was as fast as before the outage, as a destination is slow
// while it is warming up. The rate then rises earlier, but not above the fair share, as peers may have less evidence.
func (c *Controller) recordWarmCall(endpoint *endpoint, elapsed time.Duration) {
	route := endpoint.route
	if !route.slowStart.active || elapsed > time.Duration(warmCallFactor*float64(route.breaker.callTimeBefore)) {
		return
	}
	if c.settings.usesFleetRate() && c.now-route.slowStart.rampStart < c.settings.WarmUp { // still rising
		c.gossipHealth(endpoint, ObservedWarm)
	}
	route.slowStart.advance(c.settings.WarmUp)
}
