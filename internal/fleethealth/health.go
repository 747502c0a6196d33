// Package fleethealth keeps what the senders of a large fleet know together of an endpoint: which of them found it
// down, and when a call to it was last served. It says whether the endpoint counts as ejected, when this sender may
// make a trial call, and what to gossip; where a message goes it does not decide. It does no I/O, takes the time as
// a parameter, and its random draws are made by its caller. Its design is docs/design/fleet-limits.md.
package fleethealth

import "time"

const (
	maxReporters           = 4                     // senders whose reports are remembered for an endpoint
	minReporters           = 2                     // of them, this sender included, eject it
	maxEjectedFraction     = 2.0 / 3               // of a destination's endpoints
	trialIntervalPerSender = 50 * time.Millisecond // the fleet spreads trial calls over this time for each sender
	fleetGossipRate        = 100.0                 // reports a second that the whole fleet may gossip...
	gossipBurst            = 4.0                   // ...beside so many that each sender may at once
)

// Params are what is the same for all endpoints.
type Params struct {
	FleetSize      int           // senders, this one included
	TrialInterval  time.Duration // between trial calls of the whole fleet to an ejected endpoint
	ReportTTL      time.Duration // a report is forgotten after this
	RecoverySpread time.Duration // the fleet comes back to a recovered endpoint over this time
}

// NewParams returns the parameters of a fleet whose destinations are overloaded by what they are sent in such a
// window while they warm up: an ejected endpoint gets two trial calls in one.
func NewParams(fleetSize int, overloadWindow time.Duration) Params {
	return Params{
		FleetSize: fleetSize, TrialInterval: overloadWindow / 2,
		ReportTTL: 3 * overloadWindow, RecoverySpread: overloadWindow,
	}
}

// WithinEjectionLimit reports whether so many of a destination's endpoints may be ejected.
func WithinEjectionLimit(ejected, endpoints int) bool {
	return float64(ejected) <= maxEjectedFraction*float64(endpoints)
}

// trialDelay is what a draw from 0 to 1 adds to the trial interval, so that about one sender makes each trial call.
func (p Params) trialDelay(draw float64) time.Duration {
	return time.Duration(draw * float64(p.FleetSize) * float64(trialIntervalPerSender))
}

// A Report is what one call showed, whoever made it.
type Report struct {
	Peer int           // number of the peer that made the call, or Self
	At   time.Duration // when the call ended, by this sender's clock
	Up   bool          // it was served; else it failed
}

// Self is the number under which a sender remembers its own reports.
const Self = -1

// Evidence is what is known of one endpoint. Reports are merged by their times alone, so that neither their order nor
// repeats matter: of failures the latest of each sender is kept, of served calls the latest. The zero value knows
// nothing.
type Evidence struct {
	failures     [maxReporters]Report // the latest first; only those after lastUp
	failureCount int
	lastServed   Report
	hasServed    bool
}

// Add merges a report and reports whether it was news.
func (e *Evidence) Add(r Report) bool {
	if r.Up {
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

// newer orders reports. Those of one instant go by their peer, so that all senders keep the same.
func newer(a, b Report) bool { return a.At > b.At || a.At == b.At && a.Peer > b.Peer }

// FailureReporters returns how many senders found the endpoint down since a call to it was last served, by reports that are
// not too old, and whether this sender is one of them.
func (e *Evidence) FailureReporters(now time.Duration, p Params) (reporters int, own bool) {
	for _, r := range e.failures[:e.failureCount] {
		if now-r.At < p.ReportTTL {
			reporters, own = reporters+1, own || r.Peer == Self
		}
	}
	return reporters, own
}

// LatestFailure returns when the latest call ended that failed since one was served; ok is false if none did.
func (e *Evidence) LatestFailure() (at time.Duration, ok bool) {
	return e.failures[0].At, e.failureCount > 0
}

// Health is what one sender believes of an endpoint. The zero value knows nothing.
type Health struct {
	Evidence
	nextTrial            time.Duration // this sender makes no trial call before this
	recoveryDelayedUntil time.Duration // it does not act on a recovery before this
	contradicted         [maxReporters]Report
	contradictedCount    int           // of those, in use: whose report a served call contradicted, and when
	disputedUntil        time.Duration // each sender goes by its own calls
}

// Ejected reports whether the endpoint counts as ejected for this sender. A single report, or reports in dispute,
// eject nothing.
func (h *Health) Ejected(now time.Duration, p Params) bool {
	reporters, _ := h.FailureReporters(now, p)
	return reporters >= minReporters && now >= h.disputedUntil || now < h.recoveryDelayedUntil
}

// Suspected reports whether a sender found the endpoint down, and no dispute is on.
func (h *Health) Suspected(now time.Duration, p Params) bool {
	reporters, _ := h.FailureReporters(now, p)
	return reporters > 0 && now >= h.disputedUntil
}

// NextTrialAt is from when on this sender may make a trial call to the endpoint while it is ejected.
func (h *Health) NextTrialAt() time.Duration { return max(h.nextTrial, h.recoveryDelayedUntil) }

// Contradicted reports whether calls of others were served where this sender's failed.
func (h *Health) Contradicted(now time.Duration, p Params) bool {
	return h.isContradicted(Self, now, p)
}

// Disputed reports whether some senders find the endpoint down while others are served, or it comes and goes.
func (h *Health) Disputed(now time.Duration) bool { return now < h.disputedUntil }

// Failed takes that a call of this sender's failed, with a draw from 0 to 1. It reports whether to gossip it: while
// that is news to the fleet, and after each trial call.
func (h *Health) Failed(now time.Duration, p Params, draw float64) (gossip bool) {
	reporters, own := h.FailureReporters(now, p)
	last, known := h.LatestFailure()
	if !h.mergeFailure(now, Report{Self, now, false}, p, draw) {
		return false
	}
	return now >= h.disputedUntil && (reporters < minReporters && !own || !known || now-last >= p.TrialInterval/2)
}

// Served takes that a call of this sender's was served. It reports whether to gossip it: where others found the
// endpoint down.
func (h *Health) Served(now time.Duration, p Params) (gossip bool) {
	reporters, own := h.FailureReporters(now, p)
	h.Add(Report{Self, now, true})
	h.removeContradicted(Self)
	h.recoveryDelayedUntil = 0
	return reporters >= minReporters || reporters > 0 && !own
}

// Merge takes a peer's report, with a draw from 0 to 1. It returns whether the report ends what this sender found
// itself, and whether the endpoint was ejected and is no more.
func (h *Health) Merge(now time.Duration, r Report, p Params, draw float64) (ownSuperseded, recovered bool) {
	if !r.Up {
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
		// A report alone must not send this sender to a failing endpoint again and again.
		ownSuperseded = ownSuperseded || failure.Peer == Self && r.At-failure.At >= p.TrialInterval/2
		h.contradict(now, failure.Peer, p)
	}
	if recovered = ejected && h.failureCount == 0; recovered { // the whole fleet hears of it at once
		h.recoveryDelayedUntil = now + time.Duration(draw*float64(p.RecoverySpread))
	}
	return ownSuperseded, recovered
}

// mergeFailure merges a failure and reports whether it was news. One of a sender that was contradicted lately counts
// for that sender alone.
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

// isContradicted reports whether a sender was contradicted lately.
func (h *Health) isContradicted(peer int, now time.Duration, p Params) bool {
	for _, r := range h.contradicted[:h.contradictedCount] {
		if r.Peer == peer && now-r.At < p.ReportTTL {
			return true
		}
	}
	return false
}

// contradict remembers that a sender was contradicted. Where there are too many of them the endpoint is in dispute.
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

// RateLimiter bounds what one sender gossips of endpoints, so that the whole fleet stays within its rate at any size.
// The zero value is ready for use.
type RateLimiter struct {
	spent     float64 // reports that count against the burst
	updatedAt time.Duration
}

// Allow reports whether one more report may be gossiped now, and counts it if so.
func (l *RateLimiter) Allow(now time.Duration, p Params) bool {
	l.spent = max(0, l.spent-(now-l.updatedAt).Seconds()*fleetGossipRate/float64(p.FleetSize))
	if l.updatedAt = now; l.spent > gossipBurst-1 {
		return false
	}
	l.spent++
	return true
}
