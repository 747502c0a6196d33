package fleethealth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var params = Params{FleetSize: 300, TrialInterval: time.Second, ReportTTL: 6 * time.Second,
	RecoverySpread: 2 * time.Second}

// TestMerge checks that reports merge to the same evidence in any order, even if they are repeated.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := rapid.Custom(func(t *rapid.T) Report {
			return Report{rapid.IntRange(Self, 9).Draw(t, "peer"), time.Duration(rapid.IntRange(0, 30).Draw(t, "at")) * 100 * ms,
				rapid.IntRange(0, 4).Draw(t, "up") == 0}
		})
		reports := rapid.SliceOfN(report, 0, 25).Draw(t, "reports")
		repeated := rapid.Permutation(reports).Draw(t, "order")
		for range len(reports) {
			repeated = append(repeated, rapid.SampledFrom(reports).Draw(t, "repeated"))
		}
		var a, b Evidence
		for _, w := range reports {
			a.Add(w)
		}
		for _, w := range repeated {
			b.Add(w)
		}
		if !equalEvidence(&a, &b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
		for _, w := range repeated {
			if b.Add(w) {
				t.Fatalf("repeating %+v changed the evidence %+v", w, b)
			}
		}
	})
}

func equalEvidence(a, b *Evidence) bool {
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

// callStep is one call and the state expected after it.
type callStep struct {
	at      time.Duration
	peer    int // whose call it was
	up      bool
	gossip  bool // own: it is gossiped
	ejected bool // after it
}

func TestEjected(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name      string
		steps     []callStep
		checkedAt time.Duration // looked at again
		ejected   bool
	}{
		{"reports of one sender don't eject", []callStep{{at: s, peer: 3}, {at: 2 * s, peer: 3}}, 3 * s, false},
		{"reports of two senders eject", []callStep{{at: s, peer: 3}, {at: 2 * s, peer: 4, ejected: true}}, 3 * s, true},
		{"own report counts", []callStep{{at: s, peer: 3}, {at: 2 * s, peer: Self, gossip: true, ejected: true}},
			3 * s, true},
		{"ejection ends after the TTL", []callStep{{at: s, peer: 3}, {at: 2 * s, peer: 4, ejected: true}}, 7*s + ms, false},
		{"failed trial call renews the ejection", []callStep{{at: s, peer: 3}, {at: 2 * s, peer: 4, ejected: true},
			{at: 6 * s, peer: 5, ejected: true}}, 7*s + ms, true},
		{"served call ends the ejection", []callStep{{at: s, peer: 3}, {at: 2 * s, peer: 4, ejected: true},
			{at: 3 * s, peer: Self, up: true, gossip: true}}, 3*s + ms, false},
		{"older served call doesn't end it", []callStep{{at: 3 * s, peer: 3}, {at: 4 * s, peer: 4, ejected: true},
			{at: 2 * s, peer: 5, up: true, ejected: true}}, 5 * s, true},
		{"known failure is not gossiped", []callStep{{at: s, peer: 3}, {at: s, peer: 4, ejected: true},
			{at: s + 100*ms, peer: Self, ejected: true}}, 2 * s, true},
		{"own failed trial call is gossiped", []callStep{{at: s, peer: 3}, {at: s, peer: 4, ejected: true},
			{at: 3 * s, peer: Self, gossip: true, ejected: true}}, 4 * s, true},
		{"no failures", []callStep{{at: s, peer: Self, up: true}}, 2 * s, false},
		{"single report is contradicted", []callStep{{at: s, peer: 3}, {at: s + ms, peer: Self, up: true, gossip: true},
			{at: s + 2*ms, peer: Self, up: true}}, 2 * s, false},
		{"report of a contradicted sender is ignored",
			[]callStep{{at: s, peer: 3}, {at: s + ms, peer: 5, up: true}, {at: s + 2*ms, peer: 3}, {at: 2 * s, peer: 4}},
			3 * s, false},
		{"still ignored while the sender keeps failing", []callStep{{at: s, peer: 3}, {at: s + ms, peer: 5, up: true},
			{at: 6 * s, peer: 3}, {at: 8 * s, peer: 3}, {at: 8 * s, peer: 4}}, 9 * s, false},
		{"counts again after the sender's own call is served", []callStep{{at: s, peer: Self, gossip: true},
			{at: s + ms, peer: 5, up: true}, {at: 2 * s, peer: Self, up: true}, {at: 3 * s, peer: Self, gossip: true}},
			4 * s, false},
		{"reports of other senders count", []callStep{{at: s, peer: 3}, {at: s + ms, peer: 5, up: true}, {at: 2 * s, peer: 6},
			{at: 2 * s, peer: 4, ejected: true}}, 3 * s, true},
	} {
		var h Health
		for i, call := range c.steps {
			gossip := false
			switch {
			case call.peer != Self:
				h.Merge(call.at, Report{call.peer, call.at, call.up}, params, 0)
			case call.up:
				gossip = h.RecordServed(call.at, params)
			default:
				gossip = h.RecordFailed(call.at, params, 0)
			}
			if ejected := h.Ejected(call.at, params); gossip != call.gossip || ejected != call.ejected {
				t.Errorf("%s, step %d: gossiped %v, ejected %v", c.name, i, gossip, ejected)
			}
		}
		if ejected := h.Ejected(c.checkedAt, params); ejected != c.ejected {
			t.Errorf("%s: later ejected %v", c.name, ejected)
		}
	}
}

// TestContradicted checks that a sender whose calls fail detects that calls of others are served, and that the reports
// are disputed if this is the case for many senders or the endpoint fails intermittently.
func TestContradicted(t *testing.T) {
	var h Health
	if h.RecordFailed(time.Second, params, 0); h.Contradicted(time.Second, params) {
		t.Error("contradicted before any call was served")
	}
	over, _ := h.Merge(time.Second+5*ms, Report{7, time.Second + 4*ms, true}, params, 0)
	if over || !h.Contradicted(time.Second+5*ms, params) {
		t.Errorf("others are served: over %v, contradicted %v", over, h.Contradicted(time.Second+5*ms, params))
	}
	if h.RecordFailed(3*time.Second, params, 0) {
		t.Error("a contradicted failure is gossiped again")
	}
	if h.Contradicted(9*time.Second+ms, params) || !h.RecordFailed(10*time.Second, params, 0) {
		t.Error("after the TTL it should gossip again")
	}
	var disputed Health
	at := time.Second
	for round := range 3 { // calls from one zone fail, those from another are served
		for by := range 2 {
			at += 10 * ms
			disputed.Merge(at, Report{10*round + by, at, false}, params, 0)
		}
		if at += 10 * ms; disputed.Disputed(at) {
			t.Errorf("round %d: disputed", round)
		}
		disputed.Merge(at, Report{100, at, true}, params, 0)
	}
	if x := disputed; x.RecordFailed(at+ms, params, 0) {
		t.Error("gossiped in a dispute")
	}
	disputed.Merge(at+ms, Report{50, at + ms, false}, params, 0)
	disputed.Merge(at+ms, Report{51, at + ms, false}, params, 0)
	if !disputed.Disputed(at+ms) || disputed.Ejected(at+ms, params) || disputed.Suspected(at+ms, params) ||
		disputed.RecordFailed(at+2*ms, params, 0) {
		t.Errorf("six were contradicted within the TTL: disputed %v, ejected %v",
			disputed.Disputed(at+ms), disputed.Ejected(at+ms, params))
	}
	if disputed.Disputed(at + params.ReportTTL) {
		t.Error("still disputed after the TTL")
	}
}

// TestRecovery checks that senders resume calls to a recovered endpoint after a delay, although all receive the report
// at once, and that a report doesn't supersede a recent failure of the sender's own call.
func TestRecovery(t *testing.T) {
	for _, c := range []struct {
		name         string
		ownFailureAt time.Duration // this sender's own call failed; 0 = none
		superseded   bool
	}{{"failures of peers only", 0, false}, {"own failure some time ago", 2 * time.Second, true},
		{"own failure just before", 3900 * ms, false}} {
		var h Health
		h.Merge(time.Second, Report{3, time.Second, false}, params, 0)
		h.Merge(time.Second, Report{4, time.Second, false}, params, 0)
		if c.ownFailureAt > 0 {
			h.RecordFailed(c.ownFailureAt, params, 0)
		}
		now := 4 * time.Second
		over, recovered := h.Merge(now, Report{5, now, true}, params, 0.5)
		if over != c.superseded || !recovered || !h.Ejected(now+999*ms, params) || h.Ejected(now+time.Second, params) {
			t.Errorf("%s: over %v, recovered %v, ejected just before its delay is over %v, and after %v", c.name, over,
				recovered, h.Ejected(now+999*ms, params), h.Ejected(now+time.Second, params))
		}
		if h.RecordServed(now+ms, params); h.Ejected(now+2*ms, params) {
			t.Errorf("%s: still ejected after the sender's own call was served", c.name)
		}
	}
}

// TestFleetRates checks that the rates of trial calls and of gossip of the whole fleet don't depend on its size.
func TestFleetRates(t *testing.T) {
	for _, n := range []int{20, 80, 300, 1000} {
		p := params
		p.FleetSize = n
		const failedAt = 5 * time.Second
		trials := 0
		for i := range n {
			var h Health
			for by := range 2 {
				h.Merge(failedAt, Report{by, failedAt, false}, p, (float64(i)+0.5)/float64(n))
			}
			if at := h.NextTrialAt(); at < failedAt+p.TrialInterval {
				t.Fatalf("%d senders: a trial after %v", n, at-failedAt)
			} else if at < failedAt+p.TrialInterval+500*ms {
				trials++
			}
		}
		if trials < 5 || trials > 15 {
			t.Errorf("%d senders: %d are ready for a trial within half a second", n, trials)
		}
		reports := 0
		for range n {
			var limiter RateLimiter
			for at := time.Duration(0); at < 10*time.Second; at += 5 * ms { // every sender attempts to gossip all the time
				if limiter.Allow(at, p) {
					reports++
				}
			}
		}
		if limit := 10*fleetGossipRate + gossipBurst*float64(n); float64(reports) > limit+float64(n) {
			t.Errorf("%d senders gossiped %d reports in 10 s, %.0f at most", n, reports, limit)
		}
	}
}
