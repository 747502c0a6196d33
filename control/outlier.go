package control

import (
	"cleathold/internal/fleethealth"
	"slices"
)

// allLastCallsFailed tells that each endpoint which may be called has failed when last called, by this sender or its
// siblings.
func (c *Controller) allLastCallsFailed(d *destination) bool {
	return !slices.ContainsFunc(d.endpoints, func(e *endpoint) bool {
		return e.State == Ready &&
			e.consecutiveFailures == 0 && !c.ejected(e)
	})
}

// ejected tells that siblings found an endpoint dead, and not too many others of its destination.
func (c *Controller) ejected(e *endpoint) bool {
	if !e.health.Ejected(c.now, c.fleetHealthParams()) { // nothing ever does in a small fleet
		return false
	}
	n, all := 0, 0
	for _, o := range e.destination.endpoints {
		if o.State == Ready {
			if all++; o.health.Ejected(c.now, c.fleetHealthParams()) {
				n++
			}
		}
	}
	return fleethealth.WithinEjectionLimit(n, all)
}

func (c *Controller) fleetHealthParams() fleethealth.Params {
	return fleethealth.NewParams(c.settings.FleetSize, c.settings.OverloadWindow)
}

// failureScore is the number of failures in a row that speak against an endpoint. A failed one is tried again, when
// the others are busy, by a message that may be repeated, or it would stay idle while another one serves.
// Where siblings found it dead one of them tests it for all: this one in its turn, by its next message.
func (c *Controller) failureScore(m *message, e *endpoint) int {
	repeats, dead := m.class.Idempotency != NotIdempotent, c.ejected(e)
	switch {
	case dead && repeats && e.callsInFlight == 0 && c.now >= e.health.NextTrialAt():
		return -1
	case dead, !repeats && e.health.Suspected(c.now, c.fleetHealthParams()):
		return max(1, e.consecutiveFailures)
	}
	if repeats && e.callsInFlight == 0 &&
		c.now-e.lastUsedAt >= c.settings.OverloadWindow<<min(max(e.consecutiveFailures-1, 0), 3) {
		return 0
	}
	return e.consecutiveFailures
}
