package control

import (
	"slices"
	"time"
)

const (
	warmCallFactor = 1.5 // a call to a warm destination takes at most so many T_m from before the outage
	warmReportStep = 0.1 // part of WarmUp that each such call, and each peer's report of one, takes off the slow start
)

// A slowStart raises the rate of a route with time after an outage, as its destination is warming up. The zero value is
// not active.
type slowStart struct {
	active        bool
	recoveredAt   time.Duration // the first call served after the outage
	rampStart     time.Duration // when the rate began to rise: recoveredAt, or before it where calls were quick
	warmReporters []int         // peers that reported it warm since recoveredAt
}

// begin starts a slow start at now.
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

// addWarmReport takes that a peer found the destination warm and reports whether it counts: each peer once, so that one
// that is wrong does not overload a destination alone, and no more of them than end the slow start.
func (s *slowStart) addWarmReport(peer int) bool {
	if slices.Contains(s.warmReporters, peer) || len(s.warmReporters) >= int(1/warmReportStep) {
		return false
	}
	s.warmReporters = append(s.warmReporters, peer)
	return true
}

// capacityFraction is the fraction of its capacity that a destination is sure to have at now, from 0 to 1.
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

// startSlowStart begins the slow start of a route after an outage. The first token is drawn: each sender of a fleet
// sends little, at a time of its own.
func (c *Controller) startSlowStart(route *route) {
	if !route.slowStart.active || c.now-route.breaker.failingSince >= c.settings.WarmUp/2 {
		route.slowStart.begin(c.now)
	}
	route.bucket = tokenBucket{tokens: c.rng.Float64(), filledAt: c.now}
}

// recordWarmCall shortens a slow start by a call that was as quick as before the outage: while it is warming up, a
// destination is slow. The rate rises sooner for it, but not above the fair share, as peers may have seen less.
func (c *Controller) recordWarmCall(endpoint *endpoint, elapsed time.Duration) {
	route := endpoint.route
	if !route.slowStart.active || elapsed > time.Duration(warmCallFactor*float64(route.breaker.callTimeBefore)) {
		return
	}
	if c.settings.usesFleetRate() && c.now-route.slowStart.rampStart < c.settings.WarmUp { // peers have yet to gain by it
		c.gossipHealth(endpoint, ObservedWarm)
	}
	route.slowStart.advance(c.settings.WarmUp)
}
