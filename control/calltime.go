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

// learn moves the estimate towards the time of the latest call.
func (t *callTime) learn(elapsed time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = elapsed, elapsed/2
	}
	t.deviation = ewma(t.deviation, max(elapsed-t.mean, t.mean-elapsed))
	t.mean = ewma(t.mean, elapsed)
}

// upperBound is the time within which a call is answered if all is well; unknown is returned before the first one.
func (t *callTime) upperBound(unknown time.Duration) time.Duration {
	if t.mean == 0 {
		return unknown
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

// learn takes the time of the latest call to a destination with this T_m, of which floor is the least that counts.
func (f *callTimeDrift) learn(elapsed, mean, floor time.Duration) {
	*f += callTimeDrift(callTimeDriftWeight * (float64(elapsed)/float64(max(mean, floor, 1)) - float64(*f)))
}

// stretch lengthens an expected time as calls take longer lately; it never shortens one.
func (f callTimeDrift) stretch(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * max(1, float64(f)))
}

// A stallDetector finds pauses of a destination: gaps between its answers far above the usual one while calls were in
// flight. The zero value has seen no answer.
type stallDetector struct {
	lastAnswerAt time.Duration
	usualGap     time.Duration // moving average
	stalledUntil time.Duration // the time of calls sent before this holds a stall
}

// answered takes an answer to a call sent at sentAt.
func (s *stallDetector) answered(now, sentAt time.Duration) {
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

// learnCallTime takes the time of a served call. Rejections and errors say nothing of the call time, and a timeout only
// that it is longer: either would let T_m, and both tests of a round with it, follow the fault and not the work.
func (c *Controller) learnCallTime(dest *destination, elapsed time.Duration) {
	c.callTimeDrift.learn(elapsed, dest.callTime.mean, c.settings.Tick)
	dest.callTime.learn(elapsed)
	c.overallCallTime.learn(elapsed)
	dest.consecutiveTimeouts = 0
	dest.callTimeSamples++
}

// expectedCallTime is the time within which a call is answered if all is well. Each timeout in a row doubles it, as a
// timeout is only a lower bound.
func (c *Controller) expectedCallTime(dest *destination, class *Class) time.Duration {
	bound := dest.callTime.upperBound(class.LatencyObjective / 2)
	return c.callTimeDrift.stretch(bound << min(dest.consecutiveTimeouts, maxTimeoutDoublings))
}
