// Package reachability implements a failure detector for one sender of a large fleet. It estimates whether the peers of
// the sender are reachable, and what fraction of them, because the weight of a rejection depends on how many peers
// receive the gossip about it. The package makes no decisions about messages, does no I/O, takes the time as a
// parameter and draws no random numbers. docs/design/fleet-limits.md describes the design.
package reachability

import (
	"math"
	"time"
)

const (
	silenceBeforeQuery  = 2 * time.Second        // time without contact to any peer after which a sender sends a query
	replyTimeout        = 500 * time.Millisecond // a sender without a reply to its query in this time is isolated
	meanRepliesPerQuery = 8.0                    // mean number of peers that reply to a query, at any fleet size
	observationTTL      = 20 * time.Second       // time after which an observation expires
	historySize         = 64                     // number of observations that are kept
	minObservations     = 8                      // minimum number of observations for an estimate
	recentObservations  = 16                     // latest observations checked for a recent drop of the fraction
	maxRecentPeers      = 9                      // the fraction has dropped if they come from no more peers than this
	// An isolated sender repeats its query after this interval multiplied by the fleet size, so that the query rate of the
	// whole fleet doesn't depend on its size. Once connectivity is restored, the first query that arrives ends the
	// isolation of all senders.
	queryIntervalPerSender = 50 * time.Millisecond
	// Senders with more traffic gossip more often and make others underrepresented in the history. This factor corrects
	// the estimate for them.
	unevenTrafficFactor = 1.3
)

// Detector estimates the reachability of a sender's peers. FleetSize must be set; otherwise the zero value is ready for
// use. It is not safe for concurrent use.
type Detector struct {
	FleetSize int           // number of senders, this one included
	QueriedAt time.Duration // time of the first query since the last contact with a peer

	lastContactAt          time.Duration
	nextQuery              time.Duration // earliest time of the next query
	rejectionsSinceContact int           // rejections of this sender's calls since the last contact with a peer
	history                [historySize]observation
	observationCount       int // total; the latest observation is at index (observationCount-1) % historySize
	fraction               float64
}

// An observation records the receipt of gossip from a peer.
type observation struct {
	peer int
	at   time.Duration
}

// RecordPeer records that gossip from a peer was received.
func (d *Detector) RecordPeer(now time.Duration, peer int) {
	d.rejectionsSinceContact, d.lastContactAt, d.nextQuery = 0, now, now
	d.history[d.observationCount%historySize] = observation{peer, now}
	d.observationCount++
	d.fraction = d.estimateFraction(now)
}

// RecordRejection records that a call of this sender was rejected. It reports whether to gossip the rejection, and
// whether to send a query along with it. Without contact to peers, rejections are gossiped exponentially less often,
// because possibly no peer receives them; an isolated sender gossips them only along with a query.
func (d *Detector) RecordRejection(now time.Duration) (gossip, query bool) {
	d.rejectionsSinceContact++
	gossip = d.rejectionsSinceContact&(d.rejectionsSinceContact-1) == 0
	query = gossip && now-d.lastContactAt >= silenceBeforeQuery && now >= d.nextQuery
	gossip = gossip && (query || !d.Isolated(now))
	if query && d.lastContactAt >= d.QueriedAt {
		d.QueriedAt = now
	}
	if query {
		d.nextQuery = now + d.queryInterval()
	}
	return gossip, query
}

func (d *Detector) queryInterval() time.Duration {
	return max(silenceBeforeQuery, time.Duration(d.FleetSize)*queryIntervalPerSender)
}

// ShouldRepeatQuery reports whether an isolated sender must send a query now although no call was rejected. If so, it
// schedules the next one.
func (d *Detector) ShouldRepeatQuery(now time.Duration) bool {
	if !d.Isolated(now) || now < d.nextQuery {
		return false
	}
	d.nextQuery = now + d.queryInterval()
	return true
}

// ShouldReply reports whether to reply to a peer's query. draw is a random number in [0, 1).
func (d *Detector) ShouldReply(draw float64) bool {
	return draw*float64(d.FleetSize) < meanRepliesPerQuery
}

// Isolated reports whether no peer has replied to a query within replyTimeout. This sender and its peers then don't
// receive each other's gossip about rejections.
func (d *Detector) Isolated(now time.Duration) bool {
	return d.lastContactAt < d.QueriedAt && now >= d.QueriedAt+replyTimeout
}

// ReachableFraction returns the estimated fraction of the fleet from which this sender receives gossip, from 0 to 1. It
// returns 1 if there is no evidence to the contrary.
func (d *Detector) ReachableFraction(now time.Duration) float64 {
	if d.observationCount == 0 || now-d.lastContactAt > observationTTL {
		return 1
	}
	return d.fraction
}

// estimateFraction estimates the reachable fraction from the number of peers in the history. The recent observations
// alone suffice to detect that the fraction has become small, but are too few for any other estimate.
func (d *Detector) estimateFraction(now time.Duration) float64 {
	count, peers := d.distinctPeers(now, recentObservations)
	if count == recentObservations && peers <= maxRecentPeers {
		return d.fractionFromPeers(count, peers)
	}
	count, peers = d.distinctPeers(now, historySize)
	if count < minObservations {
		return 1
	}
	return d.fractionFromPeers(count, peers)
}

// distinctPeers counts the latest unexpired observations, at most limit, and the distinct peers among them.
func (d *Detector) distinctPeers(now time.Duration, limit int) (count, peers int) {
	seen := [historySize]int{}
	for i := d.observationCount - 1; i >= 0 && i >= d.observationCount-limit; i-- {
		o := d.history[i%historySize]
		if now-o.at > observationTTL {
			break
		}
		count++
		known := false
		for _, peer := range seen[:peers] {
			known = known || peer == o.peer
		}
		if !known {
			seen[peers] = o.peer
			peers++
		}
	}
	return count, peers
}

// fractionFromPeers estimates the reachable fraction of the fleet from the number of distinct peers among count
// observations. If m peers gossip equally often, k observations come from m(1-exp(-k/m)) distinct peers on average.
func (d *Detector) fractionFromPeers(count, peers int) float64 {
	fleet, distinct, m := float64(d.FleetSize), float64(peers), float64(peers)
	for m < fleet && m*(1-math.Exp(-float64(count)/m)) < distinct-0.5 {
		m++
	}
	return min(1, unevenTrafficFactor*(m+1)/fleet)
}
