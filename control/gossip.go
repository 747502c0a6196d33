package control

import (
	"time"

	"cleathold/internal/fleethealth"
)

// ObservationKind is the kind of an observation. Its numbers are part of the wire format.
type ObservationKind uint8

// The kinds of observations.
const (
	ObservedNothing   ObservationKind = iota
	ObservedRejection                 // a call exceeded a limit and was rejected
	ObservedRecovery                  // a call was served after an outage: the destination is warming up
	ReachabilityQuery                 // no observation: query of a sender that has received nothing for a while
	ReachabilityReply                 // no observation: reply to a query, sent by a few peers
	ObservedDown                      // a call failed
	ObservedUp                        // a call was served by an endpoint at which peers' calls failed
	ObservedWarm                      // an endpoint that is warming up served a call as fast as before the outage
	observationKindCount
)

// Known reports whether this version supports the kind.
func (k ObservationKind) Known() bool { return k > ObservedNothing && k < observationKindCount }

// Observation is a sender's observation of an endpoint, which it gossips to its peers. It implies nothing about the
// outcome of any message.
type Observation struct {
	Endpoint EndpointID
	Kind     ObservationKind
	Age      time.Duration // time since the observed call was sent
	Peer     int           // received observations: number that the host assigned to the sending peer
}

// ReceiveGossip processes a peer's observation in a large fleet. An observation never allows this sender to send
// anything that the results of its own calls could not allow as well.
func (c *Controller) ReceiveGossip(now time.Duration, observation Observation) {
	c.advanceClock(now)
	endpoint := c.endpoints[observation.Endpoint]
	if endpoint == nil || !c.settings.usesFleetRate() {
		return
	}
	c.peers.RecordPeer(now, observation.Peer)
	if observation.Kind == ReachabilityQuery && c.peers.ShouldReply(c.rng.Float64()) {
		c.actions.Gossip(Observation{Endpoint: observation.Endpoint, Kind: ReachabilityReply})
	}
	route, observedAt := endpoint.route, now-observation.Age
	switch observation.Kind {
	case ObservedRejection:
		if !route.slowStart.active && observedAt >= route.limit.reducedAt {
			c.reduceFleetRate(route)
		}
	case ObservedDown, ObservedUp:
		up := observation.Kind == ObservedUp
		c.mergePeerReport(endpoint, fleethealth.Report{Peer: observation.Peer, At: observedAt, Served: up})
	case ObservedWarm:
		if observedAt > route.slowStart.recoveredAt && route.slowStart.addWarmReport(observation.Peer) {
			route.slowStart.advance(c.settings.WarmUp)
		}
	case ObservedRecovery:
		c.recoverByGossip(endpoint, observedAt)
	}
}

// recoverByGossip ends an outage of an endpoint after a peer's call to it was served. This sender then needs no trial
// call of its own and begins the same slow start as after one.
func (c *Controller) recoverByGossip(endpoint *endpoint, observedAt time.Duration) {
	route, breaker := endpoint.route, &endpoint.route.breaker
	if breaker.consecutiveFailures == 0 || observedAt <= breaker.lastFailureAt ||
		c.now < max(route.retryAfter, breaker.failingSince+c.settings.OverloadWindow) {
		return
	}
	c.startSlowStart(route)
	breaker.close()
	endpoint.consecutiveFailures = 0
}

// mergePeerReport merges a peer's report on the health of an endpoint. When an endpoint recovers, a random fair share
// of the senders mark it as just used, so that they prefer it.
func (c *Controller) mergePeerReport(endpoint *endpoint, report fleethealth.Report) {
	ownFailureCleared, recovered := endpoint.health.Merge(c.now, report, c.fleetHealthParams(), c.rng.Float64())
	if ownFailureCleared {
		endpoint.consecutiveFailures = 0
	}
	if recovered && c.rng.Float64()*float64(len(endpoint.destination.endpoints)) < 1 {
		endpoint.lastUsedAt = c.now
	}
}

// gossipHealth sends peers an observation of an endpoint that a call has just shown, unless this sender is isolated or
// has reached its rate limit for gossip.
func (c *Controller) gossipHealth(endpoint *endpoint, kind ObservationKind) {
	if !c.peers.Isolated(c.now) && c.gossipLimiter.Allow(c.now, c.fleetHealthParams()) {
		c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: kind})
	}
}

// gossipRejection sends peers the rejection of a call sent age ago and a reachability query, each if the reachability
// detector allows it.
func (c *Controller) gossipRejection(endpoint *endpoint, age time.Duration) {
	gossip, query := c.peers.RecordRejection(c.now)
	if gossip {
		c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ObservedRejection, Age: age})
	}
	if query {
		c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ReachabilityQuery})
	}
}
