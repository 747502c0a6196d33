package control

import "time"

const (
	callTimeSmoothing   = 0.25 // weight of the latest call in T_m
	stallFactor         = 6.0  // a gap between answers of so many usual gaps marks a stall
	expectedDeviations  = 4.0  // mean deviations above T_m that a usual call takes at most
	callTimeDriftWeight = 0.1  // weight of the latest call in how calls now compare with T_m
)

// A callTime is what answers have shown of the time of calls.
type callTime struct {
	mean      time.Duration // T_m, the moving estimate
	deviation time.Duration // mean deviation from it
}

// learn moves T_m towards the time of the latest call.
func (p *callTime) learn(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
	}
	p.deviation = ewma(p.deviation, max(took-p.mean, p.mean-took))
	p.mean = ewma(p.mean, took)
}

// detectStall marks a pause of the destination: a gap between answers far above the
// usual one while calls were out. Calls sent before its end skip T_m.
func (d *destination) detectStall(now, sent time.Duration) {
	from := max(sent, d.lastAnswerAt)
	gap := now - from
	if d.answerGap > 0 && float64(gap) > stallFactor*float64(d.answerGap) {
		d.stalledUntil = now
	}
	d.answerGap = ewma(d.answerGap, gap)
	d.lastAnswerAt = now
}

// inheritCallTime gives a destination that has not answered yet the call time of all: one of many sees little of
// each.
func (c *Controller) inheritCallTime(d *destination) {
	if d.callTimeSamples == 0 {
		d.callTime = c.overallCallTime
	}
}

// expectedCallTime is the time within which a call is answered if all is well. It doubles with each time-out in a
// row, only a lower bound, and grows if calls everywhere take longer than a T_m of few answers says.
func (c *Controller) expectedCallTime(d *destination, k *Class) time.Duration {
	u := max(d.mean+time.Duration(expectedDeviations*float64(d.deviation)), 2*d.mean)
	if d.mean == 0 {
		u = k.LatencyObjective / 2
	}
	return time.Duration(float64(u<<min(d.consecutiveTimeouts, 4)) * max(1, c.callTimeDrift))
}

// ewma is the exponentially weighted moving average of the paper.
func ewma(old, latest time.Duration) time.Duration {
	if old == 0 {
		return latest
	}
	return time.Duration(callTimeSmoothing*float64(latest) + (1-callTimeSmoothing)*float64(old))
}
