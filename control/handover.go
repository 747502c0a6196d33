package control

import (
	"maps"
	"slices"
	"time"
)

// A RouteState is the state of an endpoint's route, which a controller passes to its successor in another process of
// the same sender. Times are relative to the call of Controller.RouteStates. The JSON keys are part of the hand-over
// format.
type RouteState struct {
	Endpoint            EndpointID    `json:"Endpoint"`
	RetryAfter          time.Duration `json:"Wait"`    // time for which nothing may be sent
	ConsecutiveFailures int           `json:"Bad"`     // consecutive calls that were not served
	FailingFor          time.Duration `json:"Since"`   // time since the first of them
	CircuitOpen         bool          `json:"Open"`    // trial calls only
	NextTrial           time.Duration `json:"Retry"`   // circuit open: time until the next trial call
	Backoff             time.Duration `json:"Backoff"` // circuit open: time until the trial after that
	SlowStart           bool          `json:"Warming"` // the rate is rising after an outage...
	RecoveredFor        time.Duration `json:"Back"`    // ...that ended this long ago
	LimitFraction       float64       `json:"Share"`   // fraction of the limit that this sender uses
	CallTime            time.Duration `json:"TM"`      // T_m of the destination
	CallTimeDeviation   time.Duration `json:"Dev"`     // mean deviation from T_m
}

// RouteStates returns the route states of the listed endpoints, ordered by id.
func (c *Controller) RouteStates(now time.Duration) []RouteState {
	c.advanceClock(now)
	var states []RouteState
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		if e := c.endpoints[id]; e.State != Removed {
			states = append(states, e.routeState(now))
		}
	}
	return states
}

func (e *endpoint) routeState(now time.Duration) RouteState {
	route, breaker := e.route, &e.route.breaker
	return RouteState{
		Endpoint:            e.ID,
		RetryAfter:          max(0, route.retryAfter-now),
		ConsecutiveFailures: breaker.consecutiveFailures,
		FailingFor:          now - breaker.failingSince,
		CircuitOpen:         breaker.open,
		NextTrial:           max(0, breaker.nextTrial-now),
		Backoff:             breaker.backoff,
		SlowStart:           route.slowStart.active,
		RecoveredFor:        now - route.slowStart.recoveredAt,
		LimitFraction:       route.limit.fraction,
		CallTime:            e.destination.callTime.mean,
		CallTimeDeviation:   e.destination.callTime.deviation,
	}
}

// RestoreRoutes restores the predecessor's route states. It ignores endpoints that this controller has not listed. If
// the clock of this controller started with its process, restored times before that are negative.
func (c *Controller) RestoreRoutes(now time.Duration, states []RouteState) {
	c.advanceClock(now)
	for _, state := range states {
		if e := c.endpoints[state.Endpoint]; e != nil {
			e.restore(now, state)
		}
	}
}

func (e *endpoint) restore(now time.Duration, state RouteState) {
	route, dest := e.route, e.destination
	route.extendRetryAfter(now + state.RetryAfter)
	breaker := &route.breaker
	breaker.consecutiveFailures = state.ConsecutiveFailures
	breaker.failingSince, breaker.lastFailureAt = now-state.FailingFor, now
	breaker.open, breaker.nextTrial, breaker.backoff = state.CircuitOpen, now+state.NextTrial, state.Backoff
	breaker.callTimeBefore = state.CallTime
	breaker.healthCheckFirst = state.CircuitOpen // the state lacks whether failed calls may have run
	if route.slowStart.active = state.SlowStart; state.SlowStart {
		route.slowStart.recoveredAt, route.slowStart.rampStart = now-state.RecoveredFor, now-state.RecoveredFor
		route.bucket.tokens = 0
	}
	if state.LimitFraction > 0 && state.LimitFraction <= 1 {
		route.limit.fraction = state.LimitFraction
	}
	if state.CallTime > 0 && dest.callTime.mean == 0 {
		dest.callTime = callTime{mean: state.CallTime, deviation: state.CallTimeDeviation}
		dest.callTimeSamples = 1
	}
	route.bucket.filledAt = now
}

// ApplyRetryAfter applies to an endpoint a Retry-After that was received before the endpoint was listed, for example
// from another endpoint at the same address.
func (c *Controller) ApplyRetryAfter(now time.Duration, id EndpointID, retryAfter time.Duration) {
	c.advanceClock(now)
	if e := c.endpoints[id]; e != nil {
		e.route.extendRetryAfter(now + retryAfter)
	}
}

// SetRemoteInFlight sets the number of slots that the calls of another process of this sender use.
func (c *Controller) SetRemoteInFlight(now time.Duration, calls int) {
	c.advanceClock(now)
	c.remoteInFlight = calls
}

// RemoteOutcome processes the outcome of a call that another process of this sender made, sent sinceSent ago. It
// applies the Retry-After and updates the endpoint's health. The host handles the message.
func (c *Controller) RemoteOutcome(now time.Duration, o Outcome, sinceSent time.Duration) {
	c.advanceClock(now)
	e := c.endpoints[o.Endpoint]
	if e == nil {
		return
	}
	if o.Result == RejectedUnexplained {
		o.Result = Rejected
	}
	switch o.Result {
	case NotSent, Unprocessable, Canceled, ConnectionRejected:
		return // independent of the endpoint's health
	}
	if o.RetryAfter > 0 {
		e.route.extendRetryAfter(c.now + o.RetryAfter)
	}
	c.recordHealth(e, now-sinceSent, o.Result, o.RetryAfter)
}
