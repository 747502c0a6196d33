package reachability

import (
	"math/rand/v2"
	"testing"
	"time"
)

const s = time.Second

// TestIsolated checks that a sender is isolated from half a second after a query without a reply until the next contact
// with a peer.
func TestIsolated(t *testing.T) {
	h := Detector{FleetSize: 100}
	steps := []struct {
		at            time.Duration
		contact       bool // before
		rejected      bool
		gossip, query bool
		isolated      bool // then
	}{
		{at: 10 * s},
		{at: 10 * s, rejected: true, gossip: true, query: true},
		{at: 10*s + 499*time.Millisecond},
		{at: 10*s + 500*time.Millisecond, isolated: true},
		{at: 12 * s, rejected: true, isolated: true}, // the query was sent, and rejections are not gossiped
		{at: 13 * s, rejected: true, isolated: true},
		{at: 14 * s, rejected: true, isolated: true},
		{at: 14*s + 900*time.Millisecond, rejected: true, isolated: true},
		{at: 15 * s, contact: true},
		{at: 16 * s, rejected: true, gossip: true}, // the last contact was a second ago
		{at: 17 * s},
		{at: 18 * s, rejected: true, gossip: true, query: true},
		{at: 18*s + 400*time.Millisecond, contact: true},
		// after a contact, the next query doesn't wait for the query interval
		{at: 21 * s, rejected: true, gossip: true, query: true},
		{at: 21*s + 400*time.Millisecond, contact: true},
		{at: 30 * s},
		{at: 31 * s, rejected: true, gossip: true, query: true},
		{at: 32 * s, isolated: true},
		{at: 35 * s, rejected: true, isolated: true},
		{at: 37 * s, rejected: true, isolated: true},
		// the fourth rejection since the last contact, and the query interval of 5 s has passed
		{at: 40 * s, rejected: true, gossip: true, query: true, isolated: true},
	}
	for i, step := range steps {
		if step.contact {
			h.RecordPeer(step.at, 7)
		}
		if step.rejected {
			if gossip, query := h.RecordRejection(step.at); gossip != step.gossip || query != step.query {
				t.Errorf("step %d: gossips %t, queries %t", i, gossip, query)
			}
		}
		if h.Isolated(step.at) != step.isolated {
			t.Errorf("step %d: isolated %t", i, !step.isolated)
		}
	}
}

// TestRepeatQuery checks that an isolated sender repeats its query until the next contact with a peer, and that the
// query rate of the whole fleet doesn't depend on its size.
func TestRepeatQuery(t *testing.T) {
	for _, n := range []int{8, 40, 300, 1000} {
		h, queries := Detector{FleetSize: n}, 0
		if h.ShouldRepeatQuery(5 * s) {
			t.Error("a query although no call was rejected")
		}
		h.RecordRejection(10 * s)
		for at := 10 * s; at < 610*s; at += 20 * time.Millisecond {
			if h.ShouldRepeatQuery(at) {
				queries++
			}
		}
		if all := float64(queries*n) / 600; all > 21 || queries == 0 {
			t.Errorf("a fleet of %d sends %.1f queries a second", n, all)
		}
		h.RecordPeer(620*s, 1)
		if h.ShouldRepeatQuery(700 * s) {
			t.Errorf("fleet of %d: queries continue after a contact", n)
		}
	}
}

// TestReachableFraction checks the estimate of the reachable fraction at several fleet sizes, with peers that gossip
// equally often and with some that gossip much more often.
func TestReachableFraction(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		fleetSize, reachable int
		uneven               bool
		from, to             float64
	}{
		{300, 299, false, 0.6, 1}, {300, 299, true, 0.4, 1}, {300, 150, false, 0.33, 1}, {300, 60, false, 0.16, 0.4},
		{300, 60, true, 0.07, 0.4},
		{300, 3, false, 0.01, 0.04}, {40, 39, false, 0.9, 1}, {40, 39, true, 0.7, 1}, {40, 7, false, 0.18, 0.35},
		{1000, 100, false, 0.06, 0.33}, {1000, 999, true, 0.15, 1},
	} {
		least, most := 2.0, 0.0
		for range 50 {
			h := Detector{FleetSize: c.fleetSize}
			for i := range 200 {
				peer := rng.IntN(c.reachable)
				for c.uneven && peer%3 > 0 && rng.IntN(3) > 0 { // a third of the peers gossips most
					peer = rng.IntN(c.reachable)
				}
				h.RecordPeer(time.Duration(i)*100*time.Millisecond, peer)
			}
			p := h.ReachableFraction(20 * s)
			least, most = min(least, p), max(most, p)
		}
		if least < c.from || most > c.to {
			t.Errorf("%+v: from %.2f to %.2f", c, least, most)
		}
	}
	shrunk := Detector{FleetSize: 40} // first all peers are reachable, then an eighth
	for i := range historySize + recentObservations {
		peer := i % 39
		if i >= historySize {
			peer = i % 7
		}
		shrunk.RecordPeer(time.Duration(i)*100*time.Millisecond, peer)
	}
	if p := shrunk.ReachableFraction(time.Duration(historySize+recentObservations) * 100 * time.Millisecond); p > 0.35 {
		t.Errorf("%.2f after %d observations of an eighth", p, recentObservations)
	}
	h := Detector{FleetSize: 300}
	for i := range minObservations - 1 {
		h.RecordPeer(s, i%2)
	}
	if h.ReachableFraction(2*s) != 1 {
		t.Error("an estimate from fewer than minObservations")
	}
	h.RecordPeer(s, 1)
	if h.ReachableFraction(2*s) > 0.1 || h.ReachableFraction(30*s) != 1 {
		t.Errorf("two of 300: %.2f, long ago %.2f", h.ReachableFraction(2*s), h.ReachableFraction(30*s))
	}
}

// TestShouldReply checks that the mean number of replies to a query doesn't depend on the fleet size.
func TestShouldReply(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	for _, n := range []int{8, 40, 300, 1000} {
		h, replies := Detector{FleetSize: n}, 0
		for range 1000 * n {
			if h.ShouldReply(rng.Float64()) {
				replies++
			}
		}
		if mean := float64(replies) / 1000; mean < 7.5 || mean > 8.5 {
			t.Errorf("fleet of %d: %.2f reply", n, mean)
		}
	}
}
