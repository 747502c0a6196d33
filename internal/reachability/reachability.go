// Package reachability is a failure detector for one sender of a large fleet: it tells whether the sender hears its
// siblings, and about how many of them, as what a refusal of its own stands for depends on who else has heard of it. It
// decides nothing of messages, does no I/O, takes the time as a parameter and draws nothing. Its design is
// docs/design/fleet-limits.md.
package reachability

import (
	"math"
	"time"
)

const (
	quiet   = 2 * time.Second        // one that has heard nobody for so long asks with its refusal...
	answer  = 500 * time.Millisecond // ...and is alone if nobody has answered in this time,
	answers = 8.0                    // as so many siblings do in the mean, whoever they are
	memory  = 20 * time.Second       // of who was heard
	ring    = 64                     // notes that are remembered
	fewest  = 8                      // with fewer nothing is known
	latest  = 16                     // of so many latest notes...
	plain   = 9                      // ...no more than so many tellers are a small part, whoever was heard before
	again   = 50 * time.Millisecond  // one that is alone asks again, each in so much a sibling, so that all
	// together ask as often at any size: the first that is heard once ways are healed ends it for all
	spare = 1.3 // those with more traffic tell more: the others count, too
)

// Detector is what one sender knows. The zero value has heard nobody, and asked nobody; Siblings must be set.
type Detector struct {
	FleetSize int           // this one included
	QueriedAt time.Duration // the first time that it asked since somebody was heard

	heardAt time.Duration
	next    time.Duration // when it asks again
	unheard int           // refusals of its own since
	list    [ring]heard
	n       int // entries that were ever made
	part    float64
}

type heard struct {
	from int
	at   time.Duration
}

// PeerHeard takes that a sibling was heard.
func (h *Detector) PeerHeard(now time.Duration, from int) {
	h.unheard, h.heardAt, h.next = 0, now, now
	h.list[h.n%ring] = heard{from, now}
	h.n++
	h.part = h.estimate(now)
}

// Rejected takes a refusal of its own: whether to tell of it (nobody is heard: ever fewer, as nobody may hear, and none while it
// is alone but with a question), and whether to ask with it if anybody hears.
func (h *Detector) Rejected(now time.Duration) (tell, ask bool) {
	h.unheard++
	tell = h.unheard&(h.unheard-1) == 0
	ask = tell && now-h.heardAt >= quiet && now >= h.next
	tell = tell && (ask || !h.Isolated(now))
	if ask && h.heardAt >= h.QueriedAt {
		h.QueriedAt = now
	}
	if ask {
		h.next = now + h.span()
	}
	return tell, ask
}

func (h *Detector) span() time.Duration { return max(quiet, time.Duration(h.FleetSize)*again) }

// RepeatQuery tells whether one that is alone asks now, though nothing was refused.
func (h *Detector) RepeatQuery(now time.Duration) bool {
	if !h.Isolated(now) || now < h.next {
		return false
	}
	h.next = now + h.span()
	return true
}

// ShouldReply tells whether to answer one that asks, by a draw from 0 to 1: of any number of siblings about as many do.
func (h *Detector) ShouldReply(draw float64) bool { return draw*float64(h.FleetSize) < answers }

// Isolated tells that nobody has answered what it asked: its siblings do not hear of its refusals, nor it of theirs.
func (h *Detector) Isolated(now time.Duration) bool {
	return h.heardAt < h.QueriedAt && now >= h.QueriedAt+answer
}

// ReachableFraction is about which part of the siblings it hears; all of them where nothing speaks against it.
func (h *Detector) ReachableFraction(now time.Duration) float64 {
	if h.n == 0 || now-h.heardAt > memory {
		return 1
	}
	return h.part
}

// estimate is from how few have told how many notes: of m that tell alike, k notes come from m(1-exp(-k/m)) in the mean. The latest
// few are enough to tell a part that has become small, and too few for all else.
func (h *Detector) estimate(now time.Duration) float64 {
	if k, d := h.tellers(now, latest); k == latest && d <= plain {
		return h.of(k, d)
	}
	k, d := h.tellers(now, ring)
	if k < fewest {
		return 1
	}
	return h.of(k, d)
}

// tellers counts the latest notes that are not too old, and who told them.
func (h *Detector) tellers(now time.Duration, most int) (k, d int) {
	seen := [ring]int{}
	for i := h.n - 1; i >= 0 && i >= h.n-most; i-- {
		x := h.list[i%ring]
		if now-x.at > memory {
			break
		}
		k++
		known := false
		for _, from := range seen[:d] {
			known = known || from == x.from
		}
		if !known {
			seen[d] = x.from
			d++
		}
	}
	return k, d
}

// of is the part of the siblings that k notes from d tellers speak for.
func (h *Detector) of(k, d int) float64 {
	m := float64(d)
	for all := float64(h.FleetSize); m < all && m*(1-math.Exp(-float64(k)/m)) < float64(d)-0.5; m++ {
	}
	return min(1, spare*(m+1)/float64(h.FleetSize))
}
