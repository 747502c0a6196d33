package control

import (
	"slices"

	"cleathold/internal/fleethealth"
)

const (
	maxIdleDoublings = 3  // times that failures in a row double the idle time after which an endpoint is tried again
	trialScore       = -1 // failure score of an ejected endpoint whose trial is due
)

// fleetHealthParams are the parameters of what the fleet finds of endpoints together.
func (c *Controller) fleetHealthParams() fleethealth.Params {
	return fleethealth.NewParams(c.settings.FleetSize, c.settings.OverloadWindow)
}

// allLastCallsFailed reports whether the last call to each endpoint that may be called failed, by this sender's calls
// or by what its peers found.
func (c *Controller) allLastCallsFailed(dest *destination) bool {
	return !slices.ContainsFunc(dest.endpoints, func(e *endpoint) bool {
		return e.State == Ready && e.consecutiveFailures == 0 && !c.ejected(e)
	})
}

// ejected reports whether the fleet ejected an endpoint, and not too many others of its destination. In a small fleet
// none ever is.
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

// failureScore ranks an endpoint for a message: the lower, the better; it counts failures in a row. A failed endpoint
// that was idle for a while scores 0 for a message that may be repeated, or it would stay idle while another one
// serves. One sender tests an ejected endpoint for the whole fleet: this one when it is due, by its next such message.
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
