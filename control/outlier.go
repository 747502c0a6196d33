package control

import (
	"slices"

	"cleathold/internal/fleethealth"
)

const (
	maxIdleDoublings = 3  // maximum number of times that consecutive failures double the idle time before a retry
	trialScore       = -1 // failure score of an ejected endpoint whose trial call is due
)

// fleetHealthParams returns the parameters of the health detection that the fleet shares by gossip.
func (c *Controller) fleetHealthParams() fleethealth.Params {
	return fleethealth.NewParams(c.settings.FleetSize, c.settings.OverloadWindow)
}

// allLastCallsFailed reports whether the last call to each ready endpoint failed, according to this sender's calls or
// its peers' reports.
func (c *Controller) allLastCallsFailed(dest *destination) bool {
	return !slices.ContainsFunc(dest.endpoints, func(e *endpoint) bool {
		return e.State == Ready && e.consecutiveFailures == 0 && !c.ejected(e)
	})
}

// ejected reports whether an endpoint is ejected by the fleet's reports and no more endpoints of its destination than
// the ejection limit allows. In a small fleet no endpoint is ever ejected.
func (c *Controller) ejected(endpoint *endpoint) bool {
	if !endpoint.health.Ejected(c.now, c.fleetHealthParams()) {
		return false
	}
	ejected, ready := 0, 0
	for _, other := range endpoint.destination.endpoints {
		if other.State == Ready {
			if ready++; other.health.Ejected(c.now, c.fleetHealthParams()) {
				ejected++
			}
		}
	}
	return fleethealth.WithinEjectionLimit(ejected, ready)
}

// failureScore returns the score of an endpoint for a message, normally its consecutive failures. Lower scores are
// better. For a message that may be retried, a failed endpoint scores 0 again after it was idle for a while, as it
// would otherwise stay unused as long as another endpoint serves. An ejected endpoint is tested by one sender for the
// whole fleet: when the trial of this sender is due, it uses its next such message.
func (c *Controller) failureScore(msg *message, endpoint *endpoint) int {
	repeatable, ejected := msg.class.Idempotency != NotIdempotent, c.ejected(endpoint)
	failures := endpoint.consecutiveFailures
	switch {
	case ejected && repeatable && endpoint.callsInFlight == 0 && c.now >= endpoint.health.NextTrialAt():
		return trialScore
	case ejected, !repeatable && endpoint.health.Suspected(c.now, c.fleetHealthParams()):
		return max(1, failures)
	}
	retryIdle := c.settings.OverloadWindow << min(max(failures-1, 0), maxIdleDoublings)
	if repeatable && endpoint.callsInFlight == 0 && c.now-endpoint.lastUsedAt >= retryIdle {
		return 0
	}
	return failures
}
