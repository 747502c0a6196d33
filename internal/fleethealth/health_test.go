package fleethealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var params = Params{FleetSize: 300, TrialInterval: time.Second, ReportTTL: 6 * time.Second,
	RecoverySpread: 2 * time.Second}

// Reports merge to the same evidence in any order, however often each comes.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := rapid.Custom(func(t *rapid.T) Report {
			return Report{rapid.IntRange(Self, 9).Draw(t, "by"), time.Duration(rapid.IntRange(0, 30).Draw(t, "at")) * 100 * ms,
				rapid.IntRange(0, 4).Draw(t, "up") == 0}
		})
		reports := rapid.SliceOfN(report, 0, 25).Draw(t, "words")
		repeated := rapid.Permutation(reports).Draw(t, "order")
		for range len(reports) {
			repeated = append(repeated, rapid.SampledFrom(reports).Draw(t, "again"))
		}
		var a, b Evidence
		for _, w := range reports {
			a.Add(w)
		}
		for _, w := range repeated {
			b.Add(w)
		}
		if !same(&a, &b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
		for _, w := range repeated {
			if b.Add(w) {
				t.Fatalf("%+v is news again to %+v", w, b)
			}
		}
	})
}

func same(a, b *Evidence) bool {
	if a.failureCount != b.failureCount || a.lastServed != b.lastServed || a.hasServed != b.hasServed {
		return false
	}
	for i := range a.failureCount {
		if a.failures[i] != b.failures[i] {
			return false
		}
	}
	return true
}

// step is one call, and what must hold after it.
type step struct {
	at      time.Duration
	by      int // whose call it was
	up      bool
	gossip  bool // own: it is gossiped
	ejected bool // after it
}

func TestEjected(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name    string
		steps   []step
		later   time.Duration // looked at again
		ejected bool
	}{
		{"one report ejects nothing", []step{{at: s, by: 3}, {at: 2 * s, by: 3}}, 3 * s, false},
		{"two senders' do", []step{{at: s, by: 3}, {at: 2 * s, by: 4, ejected: true}}, 3 * s, true},
		{"its own counts", []step{{at: s, by: 3}, {at: 2 * s, by: Self, gossip: true, ejected: true}}, 3 * s, true},
		{"it ends by itself", []step{{at: s, by: 3}, {at: 2 * s, by: 4, ejected: true}}, 7*s + ms, false},
		{"a trial renews it", []step{{at: s, by: 3}, {at: 2 * s, by: 4, ejected: true}, {at: 6 * s, by: 5, ejected: true}},
			7*s + ms, true},
		{"a served call ends it", []step{{at: s, by: 3}, {at: 2 * s, by: 4, ejected: true},
			{at: 3 * s, by: Self, up: true, gossip: true}}, 3*s + ms, false},
		{"an older one does not", []step{{at: 3 * s, by: 3}, {at: 4 * s, by: 4, ejected: true},
			{at: 2 * s, by: 5, up: true, ejected: true}}, 5 * s, true},
		{"what is known is not gossiped", []step{{at: s, by: 3}, {at: s, by: 4, ejected: true},
			{at: s + 100*ms, by: Self, ejected: true}}, 2 * s, true},
		{"a trial of its own is gossiped", []step{{at: s, by: 3}, {at: s, by: 4, ejected: true},
			{at: 3 * s, by: Self, gossip: true, ejected: true}}, 4 * s, true},
		{"nobody found it down", []step{{at: s, by: Self, up: true}}, 2 * s, false},
		{"a single report is contradicted", []step{{at: s, by: 3}, {at: s + ms, by: Self, up: true, gossip: true},
			{at: s + 2*ms, by: Self, up: true}}, 2 * s, false},
		{"one that was contradicted counts for itself",
			[]step{{at: s, by: 3}, {at: s + ms, by: 5, up: true}, {at: s + 2*ms, by: 3}, {at: 2 * s, by: 4}}, 3 * s, false},
		{"while it goes on", []step{{at: s, by: 3}, {at: s + ms, by: 5, up: true}, {at: 6 * s, by: 3}, {at: 8 * s, by: 3},
			{at: 8 * s, by: 4}}, 9 * s, false},
		{"until its own call is served", []step{{at: s, by: Self, gossip: true}, {at: s + ms, by: 5, up: true},
			{at: 2 * s, by: Self, up: true}, {at: 3 * s, by: Self, gossip: true}}, 4 * s, false},
		{"but others count", []step{{at: s, by: 3}, {at: s + ms, by: 5, up: true}, {at: 2 * s, by: 6},
			{at: 2 * s, by: 4, ejected: true}}, 3 * s, true},
	} {
		var v Health
		for i, x := range c.steps {
			gossip := false
			switch {
			case x.by != Self:
				v.Merge(x.at, Report{x.by, x.at, x.up}, params, 0)
			case x.up:
				gossip = v.Served(x.at, params)
			default:
				gossip = v.Failed(x.at, params, 0)
			}
			if ejected := v.Ejected(x.at, params); gossip != x.gossip || ejected != x.ejected {
				t.Errorf("%s, step %d: gossiped %v, ejected %v", c.name, i, gossip, ejected)
			}
		}
		if ejected := v.Ejected(c.later, params); ejected != c.ejected {
			t.Errorf("%s: later ejected %v", c.name, ejected)
		}
	}
}

// A sender whose own connections fail sees that others are served. Many such, or an endpoint that comes and goes, and
// no report counts.
func TestContradicted(t *testing.T) {
	var v Health
	if v.Failed(time.Second, params, 0); v.Contradicted(time.Second, params) {
		t.Error("contradicted before anybody was served")
	}
	over, _ := v.Merge(time.Second+5*ms, Report{7, time.Second + 4*ms, true}, params, 0)
	if over || !v.Contradicted(time.Second+5*ms, params) {
		t.Errorf("others are served: over %v, contradicted %v", over, v.Contradicted(time.Second+5*ms, params))
	}
	if v.Failed(3*time.Second, params, 0) {
		t.Error("it gossips again what was contradicted")
	}
	if v.Contradicted(9*time.Second+ms, params) || !v.Failed(10*time.Second, params, 0) {
		t.Error("after the TTL it should gossip again")
	}
	var u Health
	at := time.Second
	for round := range 3 { // one zone finds it down, another is served
		for by := range 2 {
			at += 10 * ms
			u.Merge(at, Report{10*round + by, at, false}, params, 0)
		}
		if at += 10 * ms; u.Disputed(at) {
			t.Errorf("round %d: disputed", round)
		}
		u.Merge(at, Report{100, at, true}, params, 0)
	}
	if x := u; x.Failed(at+ms, params, 0) {
		t.Error("gossiped in a dispute")
	}
	u.Merge(at+ms, Report{50, at + ms, false}, params, 0)
	u.Merge(at+ms, Report{51, at + ms, false}, params, 0)
	if !u.Disputed(at+ms) || u.Ejected(at+ms, params) || u.Suspected(at+ms, params) || u.Failed(at+2*ms, params, 0) {
		t.Errorf("six were contradicted within the TTL: disputed %v, ejected %v", u.Disputed(at+ms), u.Ejected(at+ms, params))
	}
	if u.Disputed(at + params.ReportTTL) {
		t.Error("a dispute ends by itself")
	}
}

// The fleet hears of a recovery at once and acts on it over some time; what a sender found itself just before is not
// undone by a report.
func TestRecovery(t *testing.T) {
	for _, c := range []struct {
		name string
		own  time.Duration // this sender's own call failed; 0 = none
		over bool
	}{{"heard of only", 0, false}, {"found too, a while ago", 2 * time.Second, true},
		{"found a moment ago", 3900 * ms, false}} {
		var v Health
		v.Merge(time.Second, Report{3, time.Second, false}, params, 0)
		v.Merge(time.Second, Report{4, time.Second, false}, params, 0)
		if c.own > 0 {
			v.Failed(c.own, params, 0)
		}
		now := 4 * time.Second
		over, recovered := v.Merge(now, Report{5, now, true}, params, 0.5)
		if over != c.over || !recovered || !v.Ejected(now+999*ms, params) || v.Ejected(now+time.Second, params) {
			t.Errorf("%s: over %v, recovered %v, ejected just before its delay is over %v, and after %v", c.name, over,
				recovered, v.Ejected(now+999*ms, params), v.Ejected(now+time.Second, params))
		}
		if v.Served(now+ms, params); v.Ejected(now+2*ms, params) {
			t.Errorf("%s: its own call was served, and it still waits", c.name)
		}
	}
}

// At any fleet size, trial calls come at about the trial interval, and gossip at the fleet's rate.
func TestFleetRates(t *testing.T) {
	for _, n := range []int{20, 80, 300, 1000} {
		x := params
		x.FleetSize = n
		const due = 5 * time.Second
		trials := 0
		for i := range n {
			var v Health
			for by := range 2 {
				v.Merge(due, Report{by, due, false}, x, (float64(i)+0.5)/float64(n))
			}
			if at := v.NextTrialAt(); at < due+x.TrialInterval {
				t.Fatalf("%d senders: a trial after %v", n, at-due)
			} else if at < due+x.TrialInterval+500*ms {
				trials++
			}
		}
		if trials < 5 || trials > 15 {
			t.Errorf("%d senders: %d are ready for a trial within half a second", n, trials)
		}
		reports := 0
		for range n {
			var o RateLimiter
			for at := time.Duration(0); at < 10*time.Second; at += 5 * ms { // all would gossip all the time
				if o.Allow(at, x) {
					reports++
				}
			}
		}
		if most := 10*fleetGossipRate + gossipBurst*float64(n); float64(reports) > most+float64(n) {
			t.Errorf("%d senders gossiped %d reports in 10 s, %.0f at most", n, reports, most)
		}
	}
}
