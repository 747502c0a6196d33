// Package reachability is a failure detector for one sender of a large fleet: it estimates whether the sender's peers
// can be reached, and about how many of them, as what a rejection stands for depends on who else has heard of it. It
// decides nothing of messages, does no I/O, takes the time as a parameter and makes no random draws. Its design is
// docs/design/fleet-limits.md.
package reachability

import (
	"math"
	"time"
)

const (
	silenceBeforeQuery  = 2 * time.Second        // a sender that has heard nobody for this long sends a query
	replyTimeout        = 500 * time.Millisecond // it is isolated if nobody has replied in this time
	meanRepliesPerQuery = 8.0                    // peers that reply to a query in the mean, at any fleet size
	observationTTL      = 20 * time.Second       // what was heard before is forgotten
	historySize         = 64                     // observations that are remembered
	minObservations     = 8                      // with fewer the fraction is not known
	recentObservations  = 16                     // of so many latest observations...
	maxRecentPeers      = 9                      // ...from no more than so many peers the fraction is small
	// An isolated sender repeats its query after this time for each sender of the fleet, so that a whole fleet sends as
	// many at any size. The first one that is heard when connections work again ends it for all.
	queryIntervalPerSender = 50 * time.Millisecond
	// Senders with more traffic tell more, and hide some of the others, which count as well.
	unevenTrafficFactor = 1.3
)

// Detector is what one sender knows of its peers. The zero value has heard nobody, and sent no query; FleetSize must be
// set. It is not safe for concurrent use.
type Detector struct {
	FleetSize int           // senders, this one included
	QueriedAt time.Duration // the first query since a peer was heard

	lastContactAt          time.Duration
	nextQuery              time.Duration // no query is sent before this
	rejectionsSinceContact int           // rejections of its own since a peer was heard
	history                [historySize]observation
	observationCount       int // ever made; the latest is at (observations-1) modulo historySize
	fraction               float64
}

// An observation is one time that a peer was heard.
type observation struct {
	peer int
	at   time.Duration
}

// RecordPeer takes that a peer was heard.
func (d *Detector) RecordPeer(now time.Duration, peer int) {
	d.rejectionsSinceContact, d.lastContactAt, d.nextQuery = 0, now, now
	d.history[d.observationCount%historySize] = observation{peer, now}
	d.observationCount++
	d.fraction = d.estimateFraction(now)
}

// Rejected takes a rejection of a call of this sender's. It reports whether to tell peers of it, and whether to send a
// query with that. While no peer is heard it tells ever fewer, as none may hear, and an isolated one only tells with a
// query.
func (d *Detector) Rejected(now time.Duration) (gossip, query bool) {
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

// RepeatQuery reports whether an isolated sender sends a query now, though nothing was rejected, and counts it.
func (d *Detector) RepeatQuery(now time.Duration) bool {
	if !d.Isolated(now) || now < d.nextQuery {
		return false
	}
	d.nextQuery = now + d.queryInterval()
	return true
}

// ShouldReply reports whether to reply to a peer's query, by a draw from 0 to 1.
func (d *Detector) ShouldReply(draw float64) bool {
	return draw*float64(d.FleetSize) < meanRepliesPerQuery
}

// Isolated reports whether no peer has replied to a query: peers do not hear of this sender's rejections, nor it of
// theirs.
func (d *Detector) Isolated(now time.Duration) bool {
	return d.lastContactAt < d.QueriedAt && now >= d.QueriedAt+replyTimeout
}

// ReachableFraction is about the fraction of the fleet that this sender hears, from 0 to 1; it is 1 where nothing
// speaks against it.
func (d *Detector) ReachableFraction(now time.Duration) float64 {
	if d.observationCount == 0 || now-d.lastContactAt > observationTTL {
		return 1
	}
	return d.fraction
}

// estimateFraction estimates the fraction from the number of peers in the history. The latest few observations are enough to
// show that it has become small, and too few for anything else.
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

// distinctPeers counts the latest observations that are not too old, limit at most, and the peers that made them.
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

// fractionFromPeers is the fraction of the fleet that count observations from so many peers speak for: of m peers that tell
// alike, k observations come from m(1-exp(-k/m)) in the mean.
func (d *Detector) fractionFromPeers(count, peers int) float64 {
	fleet, distinct, m := float64(d.FleetSize), float64(peers), float64(peers)
	for m < fleet && m*(1-math.Exp(-float64(count)/m)) < distinct-0.5 {
		m++
	}
	return min(1, unevenTrafficFactor*(m+1)/fleet)
}
