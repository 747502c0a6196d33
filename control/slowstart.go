package control

import (
	"slices"
	"time"
)

const (
	warmCallFactor = 1.5 // so many T_m of before the trouble take calls of a warm destination
	warmReportStep = 0.1 // and takes this part off the rest of its slow start
)

// startSlowStart begins the slow start of a route that was out of order.
func (c *Controller) startSlowStart(rt *route) {
	if !rt.slowStartActive || c.now-rt.failingSince >= c.settings.WarmUp/2 {
		rt.slowStartActive, rt.rampFrom, rt.recoveredAt, rt.warmReporters = true, c.now, c.now, rt.warmReporters[:0]
	}
	rt.tokens, rt.filledAt = c.rng.Float64(), c.now // of many siblings each sends little, at a time of its own
}

// advanceRamp takes a part off the rest of a slow start.
func (rt *route) advanceRamp(cold time.Duration) {
	rt.rampFrom -= time.Duration(float64(cold) * warmReportStep)
}

// addWarmReport takes down that a sibling found it warm, once each: one that lies must not hasten a cold partner
// alone. No more are needed than end the slow start.
func (rt *route) addWarmReport(from int) bool {
	if slices.Contains(rt.warmReporters, from) || len(rt.warmReporters) >= int(1/warmReportStep) {
		return false
	}
	rt.warmReporters = append(rt.warmReporters, from)
	return true
}
