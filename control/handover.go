package control

import (
	"maps"
	"slices"
	"time"
)

// A RouteState is what a controller knows of an endpoint's route, for the one that comes after it in another
// process of the same instance. Times are counted from the moment that it tells of.
type RouteState struct {
	Endpoint            EndpointID    `json:"Endpoint"`
	RetryAfter          time.Duration `json:"Wait"`    // nothing is to be sent for so long
	ConsecutiveFailures int           `json:"Bad"`     // answers in a row that served nothing
	FailingFor          time.Duration `json:"Since"`   // ago: the first of them
	CircuitOpen         bool          `json:"Open"`    // taken for an outage
	NextTrial           time.Duration `json:"Retry"`   // open: the next lone call in so long
	Backoff             time.Duration `json:"Backoff"` // open: the pause after the next failed call
	SlowStart           bool          `json:"Warming"` // in its slow start...
	RecoveredFor        time.Duration `json:"Back"`    // ...which began so long ago
	LimitFraction       float64       `json:"Share"`   // of its limit
	CallTime            time.Duration `json:"TM"`      // of the calls of its destination
	CallTimeDeviation   time.Duration `json:"Dev"`     // of the calls of its destination
}

// RouteStates tells what is known of the endpoints listed.
func (c *Controller) RouteStates(now time.Duration) []RouteState {
	c.advanceClock(now)
	var list []RouteState
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		if rt := e.route; e.State != Removed {
			list = append(list, RouteState{
				Endpoint: id, RetryAfter: max(0, rt.retryAfter-now), ConsecutiveFailures: rt.consecutiveFailures,
				FailingFor: now - rt.failingSince, CircuitOpen: rt.circuitOpen,
				NextTrial: max(0, rt.nextTrial-now), Backoff: rt.backoff, SlowStart: rt.slowStartActive,
				RecoveredFor:  now - rt.recoveredAt,
				LimitFraction: rt.limitFraction, CallTime: e.destination.mean, CallTimeDeviation: e.destination.deviation,
			})
		}
	}
	return list
}

// RestoreRoutes takes up what the controller before this one knew of endpoints that this one has in its list. A clock
// of this controller's begins at its start: times before it are negative.
func (c *Controller) RestoreRoutes(now time.Duration, list []RouteState) {
	c.advanceClock(now)
	for _, r := range list {
		e := c.endpoints[r.Endpoint]
		if e == nil {
			continue
		}
		rt := e.route
		rt.retryAfter = max(rt.retryAfter, now+r.RetryAfter)
		rt.consecutiveFailures, rt.failingSince, rt.lastFailureAt = r.ConsecutiveFailures, now-r.FailingFor, now
		rt.circuitOpen, rt.nextTrial, rt.backoff, rt.callTimeBefore = r.CircuitOpen, now+r.NextTrial, r.Backoff, r.CallTime
		rt.probeFirst = r.CircuitOpen // what the lone calls met is not told: a probe goes first, where it may
		if rt.slowStartActive = r.SlowStart; rt.slowStartActive {
			rt.recoveredAt, rt.rampFrom, rt.tokens = now-r.RecoveredFor, now-r.RecoveredFor, 0
		}
		if r.LimitFraction > 0 && r.LimitFraction <= 1 {
			rt.limitFraction = r.LimitFraction
		}
		if r.CallTime > 0 && e.destination.mean == 0 {
			e.destination.mean, e.destination.deviation, e.destination.callTimeSamples = r.CallTime, r.CallTimeDeviation, 1
		}
		rt.filledAt = now
	}
}

// ApplyRetryAfter has a wait bind an endpoint that was told before the endpoint was listed, as by another one at its
// address.
func (c *Controller) ApplyRetryAfter(now time.Duration, id EndpointID, wait time.Duration) {
	c.advanceClock(now)
	if e := c.endpoints[id]; e != nil {
		e.route.retryAfter = max(e.route.retryAfter, now+wait)
	}
}

// SetRemoteInFlight tells how many slots calls of another process of this instance take.
func (c *Controller) SetRemoteInFlight(now time.Duration, calls int) {
	c.advanceClock(now)
	c.remoteInFlight = calls
}

// RemoteOutcome takes the outcome of a call that another process of this instance had out, sent so long ago: its
// waits bind, and it tells of the endpoint's health. What became of its message the host has seen to.
func (c *Controller) RemoteOutcome(now time.Duration, o Outcome, ago time.Duration) {
	c.advanceClock(now)
	e := c.endpoints[o.Endpoint]
	if e == nil || o.Result == NotSent || o.Result == Unprocessable || o.Result == Canceled ||
		o.Result == ConnectionRejected {
		return
	}
	if o.RetryAfter > 0 {
		e.route.retryAfter = max(e.route.retryAfter, c.now+o.RetryAfter)
	}
	c.recordHealth(e, now-ago, o.Result, o.RetryAfter)
}
