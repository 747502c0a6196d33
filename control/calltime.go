package control

import "time"

const (
	callTimeSmoothing   = 0.25 // weight of the latest call in T_m and its deviation
	expectedDeviations  = 4.0  // a call takes at most T_m and so many mean deviations if all is well
	stallFactor         = 6.0  // a gap between answers of so many usual gaps is a stall
	callTimeDriftWeight = 0.1  // weight of the latest call in the drift
	maxTimeoutDoublings = 4    // times that timeouts in a row double the expected call time
)

// A callTime is the paper's estimate of the time of a call, from calls that were served. The zero value knows nothing.
type callTime struct {
	mean      time.Duration // T_m, an exponentially weighted moving average; 0 = no call was served yet
	deviation time.Duration // moving average of the distance from T_m
}

// update moves the estimate towards the time of the latest call.
func (t *callTime) update(elapsed time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = elapsed, elapsed/2
	}
	t.deviation = ewma(t.deviation, max(elapsed-t.mean, t.mean-elapsed))
	t.mean = ewma(t.mean, elapsed)
}

// upperBound is the time within which a call is answered if all is well; unknown is returned before the first one.
func (t *callTime) upperBound(fallback time.Duration) time.Duration {
	if t.mean == 0 {
		return fallback
	}
	return max(t.mean+time.Duration(expectedDeviations*float64(t.deviation)), 2*t.mean)
}

// ewma is the exponentially weighted moving average of the paper.
func ewma(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return time.Duration(callTimeSmoothing*float64(latest) + (1-callTimeSmoothing)*float64(old))
}

// A callTimeDrift is how long calls to all destinations take lately, as a multiple of their T_m. It makes up for a T_m
// that rests on few or old answers.
type callTimeDrift float64

// update takes the time of the latest call to a destination with this T_m, of which floor is the least that counts.
func (d *callTimeDrift) update(elapsed, mean, floor time.Duration) {
	*d += callTimeDrift(callTimeDriftWeight * (float64(elapsed)/float64(max(mean, floor, 1)) - float64(*d)))
}

// scale lengthens an expected time as calls take longer lately; it never shortens one.
func (d callTimeDrift) scale(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * max(1, float64(d)))
}

// A stallDetector finds pauses of a destination: gaps between its answers far above the usual one while calls were in
// flight. The zero value has seen no answer.
type stallDetector struct {
	lastAnswerAt time.Duration
	usualGap     time.Duration // moving average
	stalledUntil time.Duration // the time of calls sent before this holds a stall
}

// recordAnswer takes an answer to a call sent at sentAt.
func (s *stallDetector) recordAnswer(now, sentAt time.Duration) {
	gap := now - max(sentAt, s.lastAnswerAt)
	if s.usualGap > 0 && float64(gap) > stallFactor*float64(s.usualGap) {
		s.stalledUntil = now
	}
	s.usualGap = ewma(s.usualGap, gap)
	s.lastAnswerAt = now
}

// inheritCallTime gives a destination that has not served a call yet the call time of all destinations: in a large
// fleet one sender makes few calls to each.
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

// expectedCallTime is the time within which a call is answered if all is well. Each timeout in a row doubles it, as a
// timeout is only a lower bound.
func (c *Controller) expectedCallTime(dest *destination, class *Class) time.Duration {
	bound := dest.callTime.upperBound(class.LatencyObjective / 2)
	return c.callTimeDrift.scale(bound << min(dest.consecutiveTimeouts, maxTimeoutDoublings))
}
