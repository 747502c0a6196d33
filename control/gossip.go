package control

import (
	"time"

	"cleathold/internal/fleethealth"
)

// ObservationKind is what one sender tells its peers that it saw of an endpoint. Its numbers are on the wire.
type ObservationKind uint8

// The kinds of observations.
const (
	ObservedNothing   ObservationKind = iota
	ObservedRejection                 // a call was rejected above a limit
	ObservedRecovery                  // a call was served after an outage: the destination is warming up
	ReachabilityQuery                 // none: a sender that has heard nobody for a while asks whether anybody hears it
	ReachabilityReply                 // none: the answer to that, by a few peers
	ObservedDown                      // a call failed
	ObservedUp                        // a call was served where those of others failed
	ObservedWarm                      // a call to one that is warming up was served as quickly as before
	observationKindCount
)

// Known reports whether this version knows the kind.
func (k ObservationKind) Known() bool { return k > ObservedNothing && k < observationKindCount }

// Observation is one thing that a sender saw of an endpoint. It proves nothing of any message.
type Observation struct {
	Endpoint EndpointID
	Kind     ObservationKind
	Age      time.Duration // since the call that showed it was sent
	Peer     int           // of a received one: the peer that told it, by a number that the host gives it
}

// ReceiveGossip takes an observation of a peer in a large fleet. It never makes this sender send what it could not
// have found out by calls of its own.
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
		c.mergePeerReport(endpoint, fleethealth.Report{Peer: observation.Peer, At: observedAt, Up: up})
	case ObservedWarm:
		if observedAt > route.slowStart.recoveredAt && route.slowStart.addWarmReport(observation.Peer) {
			route.slowStart.advance(c.settings.WarmUp)
		}
	case ObservedRecovery:
		c.recoverByGossip(endpoint, observedAt)
	}
}

// recoverByGossip takes that a peer's call to an endpoint was served after an outage: this sender needs no trial
// call of its own, and starts as slowly as after one.
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

// mergePeerReport takes what a peer found of an endpoint. An endpoint that is up again counts as just used at as many
// senders as make its fair share of them, so that these look at it first.
func (c *Controller) mergePeerReport(endpoint *endpoint, report fleethealth.Report) {
	ownFailureCleared, recovered := endpoint.health.Merge(c.now, report, c.fleetHealthParams(), c.rng.Float64())
	if ownFailureCleared {
		endpoint.consecutiveFailures = 0
	}
	if recovered && c.rng.Float64()*float64(len(endpoint.destination.endpoints)) < 1 {
		endpoint.lastUsedAt = c.now
	}
}

// gossipHealth tells peers what a call to an endpoint has just shown, as often as the fleet's rate allows.
func (c *Controller) gossipHealth(endpoint *endpoint, kind ObservationKind) {
	if !c.peers.Isolated(c.now) && c.gossipLimiter.Allow(c.now, c.fleetHealthParams()) {
		c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: kind})
	}
}

// gossipRejection tells peers of a rejection of a call sent age ago, and asks whether any of them can be reached, as
// the reachability detector decides.
func (c *Controller) gossipRejection(endpoint *endpoint, age time.Duration) {
	gossip, query := c.peers.Rejected(c.now)
	if gossip {
		c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ObservedRejection, Age: age})
	}
	if query {
		c.actions.Gossip(Observation{Endpoint: endpoint.ID, Kind: ReachabilityQuery})
	}
}
