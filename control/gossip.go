package control

import (
	"cleathold/internal/fleethealth"
	"time"
)

// ReceiveGossip takes a note from a sibling. It makes this instance more careful, or nothing of it.
func (c *Controller) ReceiveGossip(now time.Duration, n Observation) {
	c.advanceClock(now)
	e := c.endpoints[n.Endpoint]
	if e == nil || !c.usesFleetRate() {
		return
	}
	c.peers.PeerHeard(now, n.Peer)
	if n.Kind == ReachabilityQuery && c.peers.ShouldReply(c.rng.Float64()) {
		c.actions.Gossip(Observation{Endpoint: n.Endpoint, Kind: ReachabilityReply})
	}
	rt, sent := e.route, now-n.Age
	switch {
	case n.Kind == ObservedRejection && !rt.slowStartActive && sent >= rt.limitReducedAt:
		c.reduceFleetRate(rt)
	case n.Kind == ObservedDown || n.Kind == ObservedUp:
		c.mergePeerReport(e, fleethealth.Report{Peer: n.Peer, At: sent, Up: n.Kind == ObservedUp})
	case n.Kind == ObservedWarm && sent > rt.recoveredAt && rt.addWarmReport(n.Peer):
		rt.advanceRamp(c.settings.WarmUp)
	case n.Kind == ObservedRecovery && rt.consecutiveFailures > 0 && sent > rt.lastFailureAt &&
		now >= max(rt.retryAfter, rt.failingSince+c.settings.OverloadWindow):
		c.startSlowStart(rt) // spared its own test, it starts as slowly as after one
		rt.circuitOpen, e.consecutiveFailures, rt.consecutiveFailures = false, 0, 0
	}
}

// mergePeerReport takes what a sibling found of an endpoint. One that is back has its even part of the senders look
// at it first.
func (c *Controller) mergePeerReport(e *endpoint, w fleethealth.Report) {
	over, back := e.health.Merge(c.now, w, c.fleetHealthParams(), c.rng.Float64())
	if over {
		e.consecutiveFailures = 0
	}
	if back && c.rng.Float64()*float64(len(e.destination.endpoints)) < 1 {
		e.lastUsedAt = c.now
	}
}

// gossipHealth tells siblings what a call to an endpoint has just shown, as often as a fleet may.
func (c *Controller) gossipHealth(e *endpoint, what ObservationKind) {
	if !c.peers.Isolated(c.now) && c.gossipLimiter.Allow(c.now, c.fleetHealthParams()) {
		c.actions.Gossip(Observation{Endpoint: e.ID, Kind: what})
	}
}

// gossipRejection tells siblings of a refusal, and asks whether anybody hears, as what is heard has it.
func (c *Controller) gossipRejection(e *endpoint, ago time.Duration) {
	tell, ask := c.peers.Rejected(c.now)
	if tell {
		c.actions.Gossip(Observation{Endpoint: e.ID, Kind: ObservedRejection, Age: ago})
	}
	if ask {
		c.actions.Gossip(Observation{Endpoint: e.ID, Kind: ReachabilityQuery})
	}
}
