package fleethealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var terms = Params{FleetSize: 300, TrialInterval: time.Second, ReportTTL: 6 * time.Second, RecoverySpread: 2 * time.Second}

// Words come to the same, in any order, however often each comes.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.Custom(func(t *rapid.T) Report {
			return Report{rapid.IntRange(Self, 9).Draw(t, "by"), time.Duration(rapid.IntRange(0, 30).Draw(t, "at")) * 100 * ms, rapid.IntRange(0, 4).Draw(t, "up") == 0}
		})
		words := rapid.SliceOfN(word, 0, 25).Draw(t, "words")
		again := rapid.Permutation(words).Draw(t, "order")
		for range len(words) {
			again = append(again, rapid.SampledFrom(words).Draw(t, "again"))
		}
		var a, b Evidence
		for _, w := range words {
			a.Take(w)
		}
		for _, w := range again {
			b.Take(w)
		}
		if !same(&a, &b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
		for _, w := range again {
			if b.Take(w) {
				t.Fatalf("%+v is news again to %+v", w, b)
			}
		}
	})
}

func same(a, b *Evidence) bool {
	if a.n != b.n || a.up != b.up || a.upSeen != b.upSeen {
		return false
	}
	for i := range a.n {
		if a.failed[i] != b.failed[i] {
			return false
		}
	}
	return true
}

// step is something that happens to a verdict, and what it must be then.
type step struct {
	at    time.Duration
	by    int // who saw it
	up    bool
	tell  bool // own: it is told
	holds bool // after it
}

func TestHolds(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name  string
		steps []step
		later time.Duration // looked at again
		holds bool
	}{
		{"one word takes it from nobody", []step{{at: s, by: 3}, {at: 2 * s, by: 3}}, 3 * s, false},
		{"two senders' do", []step{{at: s, by: 3}, {at: 2 * s, by: 4, holds: true}}, 3 * s, true},
		{"its own counts", []step{{at: s, by: 3}, {at: 2 * s, by: Self, tell: true, holds: true}}, 3 * s, true},
		{"it ends by itself", []step{{at: s, by: 3}, {at: 2 * s, by: 4, holds: true}}, 7*s + ms, false},
		{"a test renews it", []step{{at: s, by: 3}, {at: 2 * s, by: 4, holds: true}, {at: 6 * s, by: 5, holds: true}}, 7*s + ms, true},
		{"a served call ends it", []step{{at: s, by: 3}, {at: 2 * s, by: 4, holds: true}, {at: 3 * s, by: Self, up: true, tell: true}}, 3*s + ms, false},
		{"an older one does not", []step{{at: 3 * s, by: 3}, {at: 4 * s, by: 4, holds: true}, {at: 2 * s, by: 5, up: true, holds: true}}, 5 * s, true},
		{"what is known is not told", []step{{at: s, by: 3}, {at: s, by: 4, holds: true}, {at: s + 100*ms, by: Self, holds: true}}, 2 * s, true},
		{"a test of its own is told", []step{{at: s, by: 3}, {at: s, by: 4, holds: true}, {at: 3 * s, by: Self, tell: true, holds: true}}, 4 * s, true},
		{"nobody asked whether it serves", []step{{at: s, by: Self, up: true}}, 2 * s, false},
		{"a word alone is contradicted", []step{{at: s, by: 3}, {at: s + ms, by: Self, up: true, tell: true}, {at: s + 2*ms, by: Self, up: true}}, 2 * s, false},
		{"one who was contradicted speaks for itself", []step{{at: s, by: 3}, {at: s + ms, by: 5, up: true}, {at: s + 2*ms, by: 3}, {at: 2 * s, by: 4}}, 3 * s, false},
		{"while it goes on", []step{{at: s, by: 3}, {at: s + ms, by: 5, up: true}, {at: 6 * s, by: 3}, {at: 8 * s, by: 3}, {at: 8 * s, by: 4}}, 9 * s, false},
		{"until its own call is served", []step{{at: s, by: Self, tell: true}, {at: s + ms, by: 5, up: true}, {at: 2 * s, by: Self, up: true}, {at: 3 * s, by: Self, tell: true}}, 4 * s, false},
		{"but others count", []step{{at: s, by: 3}, {at: s + ms, by: 5, up: true}, {at: 2 * s, by: 6}, {at: 2 * s, by: 4, holds: true}}, 3 * s, true},
	} {
		var v Health
		for i, x := range c.steps {
			tell := false
			switch {
			case x.by != Self:
				v.Merge(x.at, Report{x.by, x.at, x.up}, terms, 0)
			case x.up:
				tell = v.Served(x.at, terms)
			default:
				tell = v.Failed(x.at, terms, 0)
			}
			if holds := v.Ejected(x.at, terms); tell != x.tell || holds != x.holds {
				t.Errorf("%s, step %d: told %v, holds %v", c.name, i, tell, holds)
			}
		}
		if holds := v.Ejected(c.later, terms); holds != c.holds {
			t.Errorf("%s: later it holds %v", c.name, holds)
		}
	}
}

// One whose own way is broken sees that it is alone: others are served. Many such, or an endpoint that comes and goes, and nobody's word counts.
func TestBrokenWay(t *testing.T) {
	var v Health
	if v.Failed(time.Second, terms, 0); v.Contradicted(time.Second, terms) {
		t.Error("alone before anybody was served")
	}
	over, _ := v.Merge(time.Second+5*ms, Report{7, time.Second + 4*ms, true}, terms, 0)
	if over || !v.Contradicted(time.Second+5*ms, terms) {
		t.Errorf("others are served: over %v, alone %v", over, v.Contradicted(time.Second+5*ms, terms))
	}
	if v.Failed(3*time.Second, terms, 0) {
		t.Error("it tells again what was contradicted")
	}
	if v.Contradicted(9*time.Second+ms, terms) || !v.Failed(10*time.Second, terms, 0) {
		t.Error("after a life it should speak again")
	}
	var u Health
	at := time.Second
	for round := range 3 { // a building finds it dead, another is served
		for by := range 2 {
			at += 10 * ms
			u.Merge(at, Report{10*round + by, at, false}, terms, 0)
		}
		if at += 10 * ms; u.Disputed(at) {
			t.Errorf("round %d: disputed", round)
		}
		u.Merge(at, Report{100, at, true}, terms, 0)
	}
	if x := u; x.Failed(at+ms, terms, 0) {
		t.Error("told in a dispute")
	}
	u.Merge(at+ms, Report{50, at + ms, false}, terms, 0)
	u.Merge(at+ms, Report{51, at + ms, false}, terms, 0)
	if !u.Disputed(at+ms) || u.Ejected(at+ms, terms) || u.Suspected(at+ms, terms) || u.Failed(at+2*ms, terms, 0) {
		t.Errorf("six were contradicted within a life: disputed %v, holds %v", u.Disputed(at+ms), u.Ejected(at+ms, terms))
	}
	if u.Disputed(at + terms.ReportTTL) {
		t.Error("a dispute ends by itself")
	}
}

// All hear of a return at once, and take it up over some time; what a sender found itself just before is not undone by a word.
func TestReturn(t *testing.T) {
	for _, c := range []struct {
		name string
		own  time.Duration // this sender's own call failed; 0 = none
		over bool
	}{{"heard of only", 0, false}, {"found too, a while ago", 2 * time.Second, true}, {"found a moment ago", 3900 * ms, false}} {
		var v Health
		v.Merge(time.Second, Report{3, time.Second, false}, terms, 0)
		v.Merge(time.Second, Report{4, time.Second, false}, terms, 0)
		if c.own > 0 {
			v.Failed(c.own, terms, 0)
		}
		now := 4 * time.Second
		over, back := v.Merge(now, Report{5, now, true}, terms, 0.5)
		if over != c.over || !back || !v.Ejected(now+999*ms, terms) || v.Ejected(now+time.Second, terms) {
			t.Errorf("%s: over %v, back %v, holds just before its turn %v, and after %v", c.name, over, back, v.Ejected(now+999*ms, terms), v.Ejected(now+time.Second, terms))
		}
		if v.Served(now+ms, terms); v.Ejected(now+2*ms, terms) {
			t.Errorf("%s: its own call was served, and it still waits for its turn", c.name)
		}
	}
}

// However many senders there are, tests of a dead endpoint come at about the fleet's span, and words at the fleet's rate.
func TestFleetRates(t *testing.T) {
	for _, n := range []int{20, 80, 300, 1000} {
		x := terms
		x.FleetSize = n
		const due = 5 * time.Second
		tests := 0
		for i := range n {
			var v Health
			for by := range 2 {
				v.Merge(due, Report{by, due, false}, x, (float64(i)+0.5)/float64(n))
			}
			if at := v.NextTrialAt(); at < due+x.TrialInterval {
				t.Fatalf("%d senders: a test after %v", n, at-due)
			} else if at < due+x.TrialInterval+500*ms {
				tests++
			}
		}
		if tests < 5 || tests > 15 {
			t.Errorf("%d senders: %d are ready to test within half a second", n, tests)
		}
		words := 0
		for range n {
			var o RateLimiter
			for at := time.Duration(0); at < 10*time.Second; at += 5 * ms { // all would speak all the time
				if o.Allow(at, x) {
					words++
				}
			}
		}
		if most := 10*fleetRate + atOnce*float64(n); float64(words) > most+float64(n) {
			t.Errorf("%d senders told %d words in 10 s, %.0f at most", n, words, most)
		}
	}
}
