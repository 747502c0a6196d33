package control

import "time"

const (
	callTimeSmoothing   = 0.25 // weight of the latest call in T_m and its deviation
	expectedDeviations  = 4.0  // a call to a healthy destination takes at most T_m plus this many mean deviations
	stallFactor         = 6.0  // a gap between answers above this multiple of the mean gap is a stall
	callTimeDriftWeight = 0.1  // weight of the latest call in the drift
	maxTimeoutDoublings = 4    // maximum number of times that consecutive timeouts double the expected call time
)

// A callTime is the paper's estimate of the call time, based on served calls. The zero value is an estimate without
// calls.
type callTime struct {
	mean      time.Duration // T_m, an exponentially weighted moving average; 0 = no call has been served yet
	deviation time.Duration // moving average of the absolute deviation from T_m
}

// update adds the time of a call to the estimate.
func (t *callTime) update(elapsed time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = elapsed, elapsed/2
	}
	t.deviation = ewma(t.deviation, max(elapsed-t.mean, t.mean-elapsed))
	t.mean = ewma(t.mean, elapsed)
}

// upperBound returns the time within which a healthy destination answers a call, or fallback before the first served
// call.
func (t *callTime) upperBound(fallback time.Duration) time.Duration {
	if t.mean == 0 {
		return fallback
	}
	return max(t.mean+time.Duration(expectedDeviations*float64(t.deviation)), 2*t.mean)
}

// ewma returns the exponentially weighted moving average of the paper after the latest value.
func ewma(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return time.Duration(callTimeSmoothing*float64(latest) + (1-callTimeSmoothing)*float64(old))
}

// A callTimeDrift is the recent call time of all destinations as a multiple of their T_m. It corrects a T_m that is
// based on few or old calls.
type callTimeDrift float64

// update adds the time of a call to a destination whose T_m is mean. A mean below floor counts as floor.
func (d *callTimeDrift) update(elapsed, mean, floor time.Duration) {
	*d += callTimeDrift(callTimeDriftWeight * (float64(elapsed)/float64(max(mean, floor, 1)) - float64(*d)))
}

// scale multiplies an expected time by the drift. It never returns less than the expected time.
func (d callTimeDrift) scale(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * max(1, float64(d)))
}

// A stallDetector detects stalls of a destination: gaps between its answers that are far above the mean gap while calls
// are in flight. The zero value is a detector without answers.
type stallDetector struct {
	lastAnswerAt time.Duration
	usualGap     time.Duration // moving average
	stalledUntil time.Duration // the call times of calls sent before this include a stall
}

// recordAnswer records an answer to a call sent at sentAt.
func (s *stallDetector) recordAnswer(now, sentAt time.Duration) {
	gap := now - max(sentAt, s.lastAnswerAt)
	if s.usualGap > 0 && float64(gap) > stallFactor*float64(s.usualGap) {
		s.stalledUntil = now
	}
	s.usualGap = ewma(s.usualGap, gap)
	s.lastAnswerAt = now
}

// inheritCallTime initializes the call time of a destination that has not served a call yet with that of all
// destinations. In a large fleet, a sender makes too few calls to each destination to measure it soon.
func (c *Controller) inheritCallTime(dest *destination) {
	if dest.callTimeSamples == 0 {
		dest.callTime = c.overallCallTime
	}
}

// recordCallTime adds the time of a served call to the estimates. Rejections and errors do not show the call time, and
// a timeout is only a lower bound: with them T_m, and with it both checks of a selection round, would depend on faults
// instead of work.
func (c *Controller) recordCallTime(dest *destination, elapsed time.Duration) {
	c.callTimeDrift.update(elapsed, dest.callTime.mean, c.settings.Tick)
	dest.callTime.update(elapsed)
	c.overallCallTime.update(elapsed)
	dest.consecutiveTimeouts = 0
	dest.callTimeSamples++
}

// expectedCallTime returns the time within which a healthy destination answers a call. Each consecutive timeout doubles
// it, as a timeout is only a lower bound of the call time.
func (c *Controller) expectedCallTime(dest *destination, class *Class) time.Duration {
	bound := dest.callTime.upperBound(class.LatencyObjective / 2)
	return c.callTimeDrift.scale(bound << min(dest.consecutiveTimeouts, maxTimeoutDoublings))
}
