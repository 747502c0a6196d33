// Package fleethealth tracks the health of endpoints as observed by all senders of a large fleet: which senders found
// an endpoint down, and when a call to it was last served. It determines whether the endpoint is ejected, when this
// sender may make a trial call, and what to gossip. It doesn't select endpoints for messages. The package does no I/O;
// the caller passes the time and random numbers as parameters. docs/design/fleet-limits.md describes the design.
package fleethealth

import "time"

const (
	maxReporters           = 4                     // senders whose failure reports are kept for an endpoint
	minReporters           = 2                     // senders, this one included, that must report failures to eject it
	maxEjectedFraction     = 2.0 / 3               // maximum fraction of a destination's endpoints that may be ejected
	trialIntervalPerSender = 50 * time.Millisecond // trial calls are spread over this time multiplied by the fleet size
	fleetGossipRate        = 100.0                 // reports per second that the whole fleet may gossip
	gossipBurst            = 4.0                   // reports that each sender may gossip at once beyond that rate
)

// Params holds the parameters that are common to all endpoints.
type Params struct {
	FleetSize      int           // number of senders, this one included
	TrialInterval  time.Duration // time between trial calls of the whole fleet to an ejected endpoint
	ReportTTL      time.Duration // time after which a report expires
	RecoverySpread time.Duration // time over which the senders resume calls to a recovered endpoint
}

// NewParams returns the parameters of a fleet. overloadWindow is how long calls above its capacity must last to
// overload a destination that is warming up; an ejected endpoint receives two trial calls in that time.
func NewParams(fleetSize int, overloadWindow time.Duration) Params {
	return Params{
		FleetSize: fleetSize, TrialInterval: overloadWindow / 2,
		ReportTTL: 3 * overloadWindow, RecoverySpread: overloadWindow,
	}
}

// WithinEjectionLimit reports whether this number of a destination's endpoints may be ejected.
func WithinEjectionLimit(ejected, endpoints int) bool {
	return float64(ejected) <= maxEjectedFraction*float64(endpoints)
}

// trialDelay returns a random delay to add to the trial interval, so that about one sender makes each trial call. draw
// is a random number in [0, 1).
func (p Params) trialDelay(draw float64) time.Duration {
	return time.Duration(draw * float64(p.FleetSize) * float64(trialIntervalPerSender))
}

// A Report is the result of one call made by this sender or a peer.
type Report struct {
	Peer   int           // number of the peer that made the call, or Self
	At     time.Duration // when the call ended, by this sender's clock
	Served bool          // whether the call was served; otherwise it failed
}

// Self is the peer number in a sender's own reports.
const Self = -1

// Evidence holds the reports about one endpoint: the latest failure of each sender and the latest served call. Reports
// are merged by their times alone, so the order of arrival and duplicates don't matter. The zero value has no reports.
type Evidence struct {
	failures     [maxReporters]Report // latest first; only failures after lastServed
	failureCount int
	lastServed   Report
	hasServed    bool
}

// Add merges a report and reports whether it changed the evidence.
func (e *Evidence) Add(r Report) bool {
	if r.Served {
		return e.addServed(r)
	}
	if e.hasServed && r.At <= e.lastServed.At {
		return false
	}
	for i, known := range e.failures[:e.failureCount] {
		if known.Peer == r.Peer {
			if r.At <= known.At {
				return false
			}
			copy(e.failures[i:e.failureCount], e.failures[i+1:e.failureCount])
			e.failureCount--
			break
		}
	}
	pos := 0
	for pos < e.failureCount && newer(e.failures[pos], r) {
		pos++
	}
	if pos == maxReporters {
		return false
	}
	e.failureCount = min(e.failureCount+1, maxReporters)
	copy(e.failures[pos+1:e.failureCount], e.failures[pos:e.failureCount-1])
	e.failures[pos] = r
	return true
}

func (e *Evidence) addServed(r Report) bool {
	if e.hasServed && !newer(r, e.lastServed) {
		return false
	}
	e.lastServed, e.hasServed = r, true
	for e.failureCount > 0 && e.failures[e.failureCount-1].At <= r.At {
		e.failureCount--
	}
	return true
}

// newer reports whether a is later than b. Ties are broken by peer number, so that all senders keep the same reports.
func newer(a, b Report) bool { return a.At > b.At || a.At == b.At && a.Peer > b.Peer }

// FailureReporters returns the number of senders that reported a failure since a call was last served, ignoring expired
// reports, and whether this sender is one of them.
func (e *Evidence) FailureReporters(now time.Duration, p Params) (reporters int, own bool) {
	for _, r := range e.failures[:e.failureCount] {
		if now-r.At < p.ReportTTL {
			reporters, own = reporters+1, own || r.Peer == Self
		}
	}
	return reporters, own
}

// LatestFailure returns when the latest failed call ended. ok is false if no call has failed since one was last served.
func (e *Evidence) LatestFailure() (at time.Duration, ok bool) {
	return e.failures[0].At, e.failureCount > 0
}

// Health is the state of an endpoint as seen by one sender. The zero value has no reports.
type Health struct {
	Evidence
	nextTrial            time.Duration        // earliest time of this sender's next trial call
	recoveryDelayedUntil time.Duration        // the endpoint stays ejected until then after a recovery
	contradicted         [maxReporters]Report // senders (Peer) whose failure a served call contradicted, and when (At)
	contradictedCount    int                  // number of entries of contradicted in use
	disputedUntil        time.Duration        // until then, reports of peers don't eject the endpoint
}

// Ejected reports whether this sender treats the endpoint as ejected. A failure report from a single sender, or
// disputed reports, don't eject an endpoint.
func (h *Health) Ejected(now time.Duration, p Params) bool {
	reporters, _ := h.FailureReporters(now, p)
	return reporters >= minReporters && now >= h.disputedUntil || now < h.recoveryDelayedUntil
}

// Suspected reports whether any sender found the endpoint down and the reports are not disputed.
func (h *Health) Suspected(now time.Duration, p Params) bool {
	reporters, _ := h.FailureReporters(now, p)
	return reporters > 0 && now >= h.disputedUntil
}

// NextTrialAt returns the earliest time at which this sender may make a trial call to the endpoint while it is ejected.
func (h *Health) NextTrialAt() time.Duration { return max(h.nextTrial, h.recoveryDelayedUntil) }

// Contradicted reports whether calls of other senders were served after calls of this sender failed.
func (h *Health) Contradicted(now time.Duration, p Params) bool {
	return h.isContradicted(Self, now, p)
}

// Disputed reports whether the reports of the senders disagree, because calls of some senders fail while those of
// others are served, or because the endpoint fails intermittently.
func (h *Health) Disputed(now time.Duration) bool { return now < h.disputedUntil }

// RecordFailed records that a call of this sender failed. draw is a random number in [0, 1). It reports whether to
// gossip the failure, which is the case if it is new to the fleet, and after each trial call.
func (h *Health) RecordFailed(now time.Duration, p Params, draw float64) (gossip bool) {
	reporters, own := h.FailureReporters(now, p)
	last, known := h.LatestFailure()
	if !h.mergeFailure(now, Report{Self, now, false}, p, draw) {
		return false
	}
	return now >= h.disputedUntil && (reporters < minReporters && !own || !known || now-last >= p.TrialInterval/2)
}

// RecordServed records that a call of this sender was served. It reports whether to gossip that, which is the case if
// other senders found the endpoint down.
func (h *Health) RecordServed(now time.Duration, p Params) (gossip bool) {
	reporters, own := h.FailureReporters(now, p)
	h.Add(Report{Self, now, true})
	h.removeContradicted(Self)
	h.recoveryDelayedUntil = 0
	return reporters >= minReporters || reporters > 0 && !own
}

// Merge merges the report of a peer. draw is a random number in [0, 1). ownSuperseded reports whether the report
// supersedes a failure that this sender observed itself, and recovered whether it ended the ejection of the endpoint.
func (h *Health) Merge(now time.Duration, r Report, p Params, draw float64) (ownSuperseded, recovered bool) {
	if !r.Served {
		h.mergeFailure(now, r, p, draw)
		return false, false
	}
	ejected, before := h.Ejected(now, p), h.Evidence
	if !h.Add(r) {
		return false, false
	}
	for _, failure := range before.failures[:before.failureCount] {
		if failure.At > r.At || now-failure.At >= p.ReportTTL {
			continue
		}
		// A recent failure of this sender is not superseded. Otherwise reports of peers would make it call an endpoint
		// again and again that keeps failing for this sender.
		ownSuperseded = ownSuperseded || failure.Peer == Self && r.At-failure.At >= p.TrialInterval/2
		h.contradict(now, failure.Peer, p)
	}
	if recovered = ejected && h.failureCount == 0; recovered {
		// The whole fleet receives the report at the same time, so senders resume calls after different delays.
		h.recoveryDelayedUntil = now + time.Duration(draw*float64(p.RecoverySpread))
	}
	return ownSuperseded, recovered
}

// mergeFailure merges a failure and reports whether it changed the evidence. A failure of a recently contradicted
// sender is ignored, because it only concerns that sender.
func (h *Health) mergeFailure(now time.Duration, r Report, p Params, draw float64) bool {
	if h.isContradicted(r.Peer, now, p) {
		h.contradict(now, r.Peer, p)
		return false
	}
	if !h.Add(r) {
		return false
	}
	h.nextTrial = now + p.TrialInterval + p.trialDelay(draw)
	return true
}

// isContradicted reports whether a sender was contradicted within the last ReportTTL.
func (h *Health) isContradicted(peer int, now time.Duration, p Params) bool {
	for _, r := range h.contradicted[:h.contradictedCount] {
		if r.Peer == peer && now-r.At < p.ReportTTL {
			return true
		}
	}
	return false
}

// contradict records that a sender was contradicted. If too many senders are, the endpoint becomes disputed.
func (h *Health) contradict(now time.Duration, peer int, p Params) {
	h.removeContradicted(peer)
	for h.contradictedCount > 0 && now-h.contradicted[0].At >= p.ReportTTL {
		h.removeContradicted(h.contradicted[0].Peer)
	}
	if h.contradictedCount == maxReporters {
		h.disputedUntil = now + p.ReportTTL
		h.removeContradicted(h.contradicted[0].Peer)
	}
	h.contradicted[h.contradictedCount] = Report{Peer: peer, At: now}
	h.contradictedCount++
}

func (h *Health) removeContradicted(peer int) {
	for i, r := range h.contradicted[:h.contradictedCount] {
		if r.Peer == peer {
			copy(h.contradicted[i:h.contradictedCount], h.contradicted[i+1:h.contradictedCount])
			h.contradictedCount--
			return
		}
	}
}

// RateLimiter limits the reports that one sender gossips, so that the whole fleet stays within fleetGossipRate at any
// size. The zero value is ready for use.
type RateLimiter struct {
	spent     float64 // reports that count against the burst
	updatedAt time.Duration
}

// Allow reports whether another report may be gossiped now, and counts it if so.
func (l *RateLimiter) Allow(now time.Duration, p Params) bool {
	l.spent = max(0, l.spent-(now-l.updatedAt).Seconds()*fleetGossipRate/float64(p.FleetSize))
	if l.updatedAt = now; l.spent > gossipBurst-1 {
		return false
	}
	l.spent++
	return true
}
