package reachability

import (
	"math/rand/v2"
	"testing"
	"time"
)

const s = time.Second

// Alone is one whose question nobody answers, from half a second on and until somebody is heard.
func TestAlone(t *testing.T) {
	h := Detector{FleetSize: 100}
	steps := []struct {
		at        time.Duration
		heard     bool // before
		refused   bool
		tell, ask bool
		alone     bool // then
	}{
		{at: 10 * s},
		{at: 10 * s, refused: true, tell: true, ask: true},
		{at: 10*s + 499*time.Millisecond},
		{at: 10*s + 500*time.Millisecond, alone: true},
		{at: 12 * s, refused: true, alone: true}, // it has asked, and tells nobody
		{at: 13 * s, refused: true, alone: true},
		{at: 14 * s, refused: true, alone: true},
		{at: 14*s + 900*time.Millisecond, refused: true, alone: true},
		{at: 15 * s, heard: true},
		{at: 16 * s, refused: true, tell: true}, // somebody was heard a second ago
		{at: 17 * s},
		{at: 18 * s, refused: true, tell: true, ask: true},
		{at: 18*s + 400*time.Millisecond, heard: true},
		{at: 21 * s, refused: true, tell: true, ask: true}, // who was heard may be asked anew, though no span has passed
		{at: 21*s + 400*time.Millisecond, heard: true},
		{at: 30 * s},
		{at: 31 * s, refused: true, tell: true, ask: true},
		{at: 32 * s, alone: true},
		{at: 35 * s, refused: true, alone: true},
		{at: 37 * s, refused: true, alone: true},
		{at: 40 * s, refused: true, tell: true, ask: true, alone: true}, // the fourth unheard, and a span of 5 s is over
	}
	for i, x := range steps {
		if x.heard {
			h.PeerHeard(x.at, 7)
		}
		if x.refused {
			if tell, ask := h.Rejected(x.at); tell != x.tell || ask != x.ask {
				t.Errorf("step %d: tells %t, asks %t", i, tell, ask)
			}
		}
		if h.Isolated(x.at) != x.alone {
			t.Errorf("step %d: alone %t", i, !x.alone)
		}
	}
}

// One that is alone asks again until somebody is heard; all of a fleet together as often at any size.
func TestAgain(t *testing.T) {
	for _, n := range []int{8, 40, 300, 1000} {
		h, asked := Detector{FleetSize: n}, 0
		if h.RepeatQuery(5 * s) {
			t.Error("asks though nothing was refused")
		}
		h.Rejected(10 * s)
		for at := 10 * s; at < 610*s; at += 20 * time.Millisecond {
			if h.RepeatQuery(at) {
				asked++
			}
		}
		if all := float64(asked*n) / 600; all > 21 || asked == 0 {
			t.Errorf("%d siblings ask %.1f times a second", n, all)
		}
		h.PeerHeard(620*s, 1)
		if h.RepeatQuery(700 * s) {
			t.Errorf("%d siblings: asks on", n)
		}
	}
}

// The part that is heard, of fleets of any size in parts of any size, whether all tell alike or some much more.
func TestPart(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		siblings, heard int
		uneven          bool
		from, to        float64
	}{
		{300, 299, false, 0.6, 1}, {300, 299, true, 0.4, 1}, {300, 150, false, 0.33, 1}, {300, 60, false, 0.16, 0.4}, {300, 60, true, 0.07, 0.4},
		{300, 3, false, 0.01, 0.04}, {40, 39, false, 0.9, 1}, {40, 39, true, 0.7, 1}, {40, 7, false, 0.18, 0.35}, {1000, 100, false, 0.06, 0.33}, {1000, 999, true, 0.15, 1},
	} {
		least, most := 2.0, 0.0
		for range 50 {
			h := Detector{FleetSize: c.siblings}
			for i := range 200 {
				who := rng.IntN(c.heard)
				for c.uneven && who%3 > 0 && rng.IntN(3) > 0 { // a third of them tell most
					who = rng.IntN(c.heard)
				}
				h.PeerHeard(time.Duration(i)*100*time.Millisecond, who)
			}
			p := h.ReachableFraction(20 * s)
			least, most = min(least, p), max(most, p)
		}
		if least < c.from || most > c.to {
			t.Errorf("%+v: from %.2f to %.2f", c, least, most)
		}
	}
	cut := Detector{FleetSize: 40} // all are heard, then a part of eight
	for i := range ring + latest {
		who := i % 39
		if i >= ring {
			who = i % 7
		}
		cut.PeerHeard(time.Duration(i)*100*time.Millisecond, who)
	}
	if p := cut.ReachableFraction(time.Duration(ring+latest) * 100 * time.Millisecond); p > 0.35 {
		t.Errorf("%.2f after %d notes of a part of eight", p, latest)
	}
	h := Detector{FleetSize: 300}
	for i := range fewest - 1 {
		h.PeerHeard(s, i%2)
	}
	if h.ReachableFraction(2*s) != 1 {
		t.Error("few notes prove something")
	}
	h.PeerHeard(s, 1)
	if h.ReachableFraction(2*s) > 0.1 || h.ReachableFraction(30*s) != 1 {
		t.Errorf("two of 300: %.2f, long ago %.2f", h.ReachableFraction(2*s), h.ReachableFraction(30*s))
	}
}

// How many answer does not grow with the fleet.
func TestAnswers(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	for _, n := range []int{8, 40, 300, 1000} {
		h, sum := Detector{FleetSize: n}, 0
		for range 1000 * n {
			if h.ShouldReply(rng.Float64()) {
				sum++
			}
		}
		if mean := float64(sum) / 1000; mean < 7.5 || mean > 8.5 {
			t.Errorf("%d siblings: %.2f answer", n, mean)
		}
	}
}
