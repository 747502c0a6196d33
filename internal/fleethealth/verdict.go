// Package fleethealth keeps what the senders of a large fleet know together of an endpoint: who found it dead, and when a call to
// it was last served. It says what may be believed, tested and told; whom a message goes to it does not decide. It does no I/O,
// takes the time as a parameter and draws as its caller does. Its design is docs/design/fleet-limits.md.
package fleethealth

import "time"

const (
	witnesses = 4                     // senders that are remembered for an endpoint
	enough    = 2                     // of them, this one counted, make a verdict
	most      = 2.0 / 3               // part of a destination's endpoints that words may take from a sender
	turn      = 50 * time.Millisecond // for each sibling, of the time over which they spread tests
	fleetRate = 100.0                 // words a second that all senders of a fleet may tell together...
	atOnce    = 4.0                   // ...beside so many that each may tell at once
)

// Params are what is the same for all endpoints of a fleet.
type Params struct {
	FleetSize      int           // this one included
	TrialInterval  time.Duration // between two tests of a dead endpoint by the whole fleet
	ReportTTL      time.Duration // a word is forgotten after this
	RecoverySpread time.Duration // siblings take up an endpoint that is back over so long
}

// NewParams are the terms of a fleet whose cold partners fall by what they are sent in such a window: a dead endpoint is tested twice in one.
func NewParams(siblings int, fall time.Duration) Params {
	return Params{FleetSize: siblings, TrialInterval: fall / 2, ReportTTL: 3 * fall, RecoverySpread: fall}
}

// WithinEjectionLimit tells that words may be believed of so many of a destination's endpoints.
func WithinEjectionLimit(held, of int) bool { return float64(held) <= most*float64(of) }

// spread is the time over which siblings spread what each would do at one instant.
func (t Params) spread(draw float64) time.Duration {
	return time.Duration(draw * float64(t.FleetSize) * float64(turn))
}

// A Report is what one call showed, whoever made it, at the instant that it ended by this sender's clock.
type Report struct {
	Peer int // a sibling's number; Own is this one
	At   time.Duration
	Up   bool // it was served; else it failed
}

// Self is the number under which a sender remembers what it saw itself.
const Self = -1

// Evidence is what is known of one endpoint. Words are merged by their instants alone, so that it matters neither in which order
// they come nor how often: of failures the latest of each sender, of the served the latest. The zero value knows nothing.
type Evidence struct {
	failed [witnesses]Report // the latest first; only those after the latest served call
	n      int
	up     Report
	upSeen bool
}

// Take merges a word. It tells whether it was news.
func (f *Evidence) Take(w Report) bool {
	if w.Up {
		if f.upSeen && !later(w, f.up) {
			return false
		}
		f.up, f.upSeen = w, true
		for f.n > 0 && f.failed[f.n-1].At <= w.At {
			f.n--
		}
		return true
	}
	if f.upSeen && w.At <= f.up.At {
		return false
	}
	for i, x := range f.failed[:f.n] {
		if x.Peer == w.Peer {
			if w.At <= x.At {
				return false
			}
			copy(f.failed[i:f.n], f.failed[i+1:f.n])
			f.n--
			break
		}
	}
	at := 0
	for at < f.n && later(f.failed[at], w) {
		at++
	}
	if at == witnesses {
		return false
	}
	f.n = min(f.n+1, witnesses)
	copy(f.failed[at+1:f.n], f.failed[at:f.n-1])
	f.failed[at] = w
	return true
}

// later orders words. Those of one instant go by who told them, so that all senders keep the same.
func later(a, b Report) bool { return a.At > b.At || a.At == b.At && a.Peer > b.Peer }

// Against is how many senders found it dead since it last served, of words that are not too old.
func (f *Evidence) Against(now time.Duration, t Params) (n int, own bool) {
	for _, x := range f.failed[:f.n] {
		if now-x.At < t.ReportTTL {
			n, own = n+1, own || x.Peer == Self
		}
	}
	return n, own
}

// Latest is when the latest call ended that found it dead since it last served.
func (f *Evidence) Latest() (at time.Duration, any bool) { return f.failed[0].At, f.n > 0 }

// A Health is what one sender believes of an endpoint, and what it tells of it.
type Health struct {
	Evidence
	test    time.Duration // this sender may test it from here on
	rest    time.Duration // its return is not acted on before this
	cleared [witnesses]Report
	m       int           // of them in use: whose word was cleared by a served call, and when
	open    time.Duration // in dispute until this: each goes by its own calls
}

// Ejected tells whether the endpoint counts as dead for this sender. One word, or words in dispute, take it from nobody.
func (v *Health) Ejected(now time.Duration, t Params) bool {
	n, _ := v.Against(now, t)
	return n >= enough && now >= v.open || now < v.rest
}

// Suspected tells that one sender found it dead, which no other has confirmed or denied.
func (v *Health) Suspected(now time.Duration, t Params) bool {
	n, _ := v.Against(now, t)
	return n > 0 && now >= v.open
}

// NextTrialAt is from when on this sender may test it, while it counts as dead.
func (v *Health) NextTrialAt() time.Duration { return max(v.test, v.rest) }

// Contradicted tells that others are served where this sender's calls fail.
func (v *Health) Contradicted(now time.Duration, t Params) bool { return v.doubted(Self, now, t) }

// Disputed tells that some find it dead and others are served, or that it comes and goes.
func (v *Health) Disputed(now time.Duration) bool { return now < v.open }

// Failed takes that a call of this sender's failed, with a draw from 0 to 1. It tells whether to say so: while that is news to the
// fleet, and after each test.
func (v *Health) Failed(now time.Duration, t Params, draw float64) (tell bool) {
	n, own := v.Against(now, t)
	last, any := v.Latest()
	if !v.down(now, Report{Self, now, false}, t, draw) {
		return false
	}
	return now >= v.open && (n < enough && !own || !any || now-last >= t.TrialInterval/2)
}

// Served takes that a call of this sender's was served. It tells whether to say so: where others found the endpoint dead.
func (v *Health) Served(now time.Duration, t Params) (tell bool) {
	n, own := v.Against(now, t)
	v.Take(Report{Self, now, true})
	v.forget(Self)
	v.rest = 0
	return n >= enough || n > 0 && !own
}

// Merge takes a sibling's word, with a draw from 0 to 1. Over tells that what this sender found itself is over, too, and back that the
// endpoint counted as dead and does no more.
func (v *Health) Merge(now time.Duration, w Report, t Params, draw float64) (over, back bool) {
	if !w.Up {
		v.down(now, w, t, draw)
		return false, false
	}
	held, known := v.Ejected(now, t), v.Evidence
	if !v.Take(w) {
		return false, false
	}
	for _, x := range known.failed[:known.n] {
		if x.At > w.At || now-x.At >= t.ReportTTL {
			continue
		}
		over = over || x.Peer == Self && w.At-x.At >= t.TrialInterval/2 // a word alone must not send this sender there again and again
		v.doubt(now, x.Peer, t)
	}
	if back = held && v.n == 0; back { // all hear of it at once
		v.rest = now + time.Duration(draw*float64(t.RecoverySpread))
	}
	return over, back
}

// down merges a failure. One who was contradicted lately, and finds it dead again, speaks for itself.
func (v *Health) down(now time.Duration, w Report, t Params, draw float64) bool {
	if v.doubted(w.Peer, now, t) {
		v.doubt(now, w.Peer, t)
		return false
	}
	if !v.Take(w) {
		return false
	}
	v.test = now + t.TrialInterval + t.spread(draw) // all spread, so that about one of them does
	return true
}

// doubted tells whether a sender's word was cleared not long ago.
func (v *Health) doubted(by int, now time.Duration, t Params) bool {
	for _, x := range v.cleared[:v.m] {
		if x.Peer == by && now-x.At < t.ReportTTL {
			return true
		}
	}
	return false
}

// doubt remembers whose word was cleared. Where there are too many the endpoint is in dispute.
func (v *Health) doubt(now time.Duration, by int, t Params) {
	v.forget(by)
	for v.m > 0 && now-v.cleared[0].At >= t.ReportTTL {
		v.forget(v.cleared[0].Peer)
	}
	if v.m == witnesses {
		v.open = now + t.ReportTTL
		v.forget(v.cleared[0].Peer)
	}
	v.cleared[v.m] = Report{Peer: by, At: now}
	v.m++
}

func (v *Health) forget(by int) {
	for i, x := range v.cleared[:v.m] {
		if x.Peer == by {
			copy(v.cleared[i:v.m], v.cleared[i+1:v.m])
			v.m--
			return
		}
	}
}

// A RateLimiter bounds what one sender tells of endpoints: all together tell no more than a fleet's rate, at any size.
type RateLimiter struct {
	spent float64
	at    time.Duration
}

// Allow tells whether one more word may be told now, and counts it.
func (o *RateLimiter) Allow(now time.Duration, t Params) bool {
	o.spent = max(0, o.spent-(now-o.at).Seconds()*fleetRate/float64(t.FleetSize))
	if o.at = now; o.spent > atOnce-1 {
		return false
	}
	o.spent++
	return true
}
