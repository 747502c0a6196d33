package redelivery

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{
	FleetSize: 1, ColdCapacity: 0.22, WarmUp: 13 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second,
	CapacityShare: 0.5, MaxInFlight: 8,
}

var idleLoad = Load{MaxInFlight: 16, MaxOpenMessages: 200}

// A cold partner takes ColdFrom of its capacity as it returns and all of it
// after Cold. All siblings resend at the same time, none knowing of the others.
func TestSlowStartAfterRecovery(t *testing.T) {
	for _, senders := range []int{1, 2, 3, 8} {
		limits := testLimits
		limits.FleetSize = senders
		const capacity, recoveredAt = 20.0, 30 * time.Second
		var fleet []*Planner
		for i := range senders {
			p := New(limits, uint64(i+1))
			p.CapacityChanged(0, 7, capacity, true)
			fleet = append(fleet, p)
		}
		var calls []time.Duration
		trials, warmCalls := 0, 0.0
		const step, end = 5 * time.Millisecond, 100 * time.Second
		for now := time.Duration(0); now < end; now += step {
			for _, p := range fleet {
				for range p.Grant(now, []int{7}, idleLoad) {
					if now < recoveredAt {
						trials++
						p.CallEnded(now, 7, Failed, 0, true)
					} else {
						calls = append(calls, now)
						p.CallEnded(now, 7, Served, 0, true)
						if now > end-10*time.Second {
							warmCalls++
						}
					}
					p.RedeliveryEnded(now, 7, true)
				}
			}
		}
		if limit := 6 * senders; trials > limit || trials < senders {
			t.Errorf("%d siblings: %d tests in %v, at most %d wanted", senders, trials, recoveredAt, limit)
		}
		first := calls[0]
		for i, from := range calls { // any window of FallWindow from a call on
			n := 0
			for _, at := range calls[i:] {
				if at < from+limits.OverloadWindow {
					n++
				}
			}
			warm := min(1, limits.ColdCapacity+(1-limits.ColdCapacity)*float64(from-first)/float64(limits.WarmUp))
			if budget := limits.OverloadFactor * warm * capacity * limits.OverloadWindow.Seconds(); float64(n) > budget {
				t.Fatalf("%d siblings: %d calls in the window from %v, %.1f allowed", senders, n, from, budget)
			}
		}
		if rate := warmCalls / 10; rate < 0.8*limits.CapacityShare*capacity || rate > 1.05*limits.CapacityShare*capacity {
			t.Errorf("%d siblings: %.1f a second once warm, near %.1f wanted", senders, rate, limits.CapacityShare*capacity)
		}
	}
}

// warmPlanner returns a planner whose partners are at full level.
func warmPlanner(t *testing.T, capacity float64, dests ...int) (*Planner, time.Duration) {
	t.Helper()
	p, now := New(testLimits, 1), time.Duration(0)
	for _, d := range dests {
		p.CapacityChanged(now, d, capacity, true)
	}
	for ; now < 40*time.Second; now += 20 * time.Millisecond {
		for _, d := range p.Grant(now, dests, idleLoad) {
			p.CallEnded(now, d, Served, 0, true)
			p.RedeliveryEnded(now, d, true)
		}
	}
	return p, now
}

// countGrants counts what a planner countGrants over a while, all served at once.
func countGrants(p *Planner, now, span time.Duration, load Load, dests ...int) map[int]int {
	n := map[int]int{}
	for end := now + span; now < end; now += 10 * time.Millisecond {
		for _, d := range p.Grant(now, dests, load) {
			n[d]++
			p.CallEnded(now, d, Served, 0, true)
			p.RedeliveryEnded(now, d, true)
		}
	}
	return n
}

func TestPausesAfterFailure(t *testing.T) {
	for _, c := range []struct {
		name          string
		result        Result
		retryAfter    time.Duration
		pause         time.Duration
		limitExceeded bool
	}{
		{"refusal between served calls", Rejected, 0, 700 * time.Millisecond, true},
		{"told wait", Rejected, 5 * time.Second, 5 * time.Second, false},
		{"failure", Failed, 0, 3 * time.Second, false},
		{"a wait told with an answer that served", Served, time.Second, time.Second, false},
	} {
		p, now := warmPlanner(t, 20, 7)
		p.CallEnded(now, 7, c.result, c.retryAfter, false) // live traffic stops resends too
		if n := countGrants(p, now, c.pause, idleLoad, 7); n[7] > 0 {
			t.Errorf("%s: %d within %v", c.name, n[7], c.pause)
		}
		resumedAt := now + 20*time.Second
		if c.limitExceeded {
			resumedAt = now + 2*time.Second
		}
		n := countGrants(p, resumedAt, time.Second, idleLoad, 7)
		if n[7] == 0 || !c.limitExceeded && n[7] > 4 {
			t.Errorf("%s: starts again with %d in a second", c.name, n[7])
		}
	}
}

// A partner that stays shut costs a few tests, ever more seldom.
func TestTrialBackoffWhileFailing(t *testing.T) {
	p := New(testLimits, 3)
	p.CapacityChanged(0, 7, 20, true)
	var trials []time.Duration
	for now := time.Duration(0); now < 10*time.Minute; now += 10 * time.Millisecond {
		for range p.Grant(now, []int{7}, idleLoad) {
			trials = append(trials, now)
			p.CallEnded(now, 7, Failed, 0, true)
			p.RedeliveryEnded(now, 7, true)
		}
	}
	if len(trials) > 12 || len(trials) < 5 {
		t.Errorf("%d tests in 10 minutes: %v", len(trials), trials)
	}
}

func TestLiveTrafficHasPriority(t *testing.T) {
	p, now := warmPlanner(t, 20, 7)
	withoutLiveTraffic := countGrants(p, now, 5*time.Second, idleLoad, 7)[7]
	now += 5 * time.Second
	n := 0
	for i := range 1000 { // 20 live calls a second: all that it takes
		now += 10 * time.Millisecond
		if i%5 == 0 {
			p.CallEnded(now, 7, Served, 0, false)
		}
		if i < 300 {
			continue
		}
		for range p.Grant(now, []int{7}, idleLoad) {
			n++
			p.RedeliveryEnded(now, 7, true)
		}
	}
	if withoutLiveTraffic < 30 || n > 14 { // a tenth of the live calls
		t.Errorf("%d alone, %d beside full live traffic", withoutLiveTraffic, n)
	}
	for name, load := range map[string]Load{
		"slots": {MaxInFlight: 16, InFlight: 12, MaxOpenMessages: 200},
		"hold":  {MaxInFlight: 16, MaxOpenMessages: 200, Open: 100},
	} {
		p, now := warmPlanner(t, 20, 7)
		if n := countGrants(p, now, 5*time.Second, load, 7); n[7] > 0 {
			t.Errorf("%s short: %d granted", name, n[7])
		}
	}
}

// Many for one destination don't starve others; tenants go in turn.
func TestDestinationsAndTenantsTakeTurns(t *testing.T) {
	p, now := warmPlanner(t, 20, 1, 2, 3)
	n := countGrants(p, now, 10*time.Second, idleLoad, 1, 2, 3)
	for _, d := range []int{2, 3} {
		if math.Abs(float64(n[d]-n[1])) > 0.1*float64(n[1]) {
			t.Errorf("grants %v", n)
		}
	}
	var got []string
	for range 4 {
		got = append(got, p.NextTenant(now, 1, []string{"b", "a", "c"}))
	}
	got = append(got, p.NextTenant(now, 1, []string{"c"}), p.NextTenant(now, 1, []string{"b", "c"}))
	if want := []string{"a", "b", "c", "a", "c", "b"}; !slices.Equal(got, want) {
		t.Errorf("turns %v, want %v", got, want)
	}
}

// Whatever comes, no more are out than allowed, none within a told wait, and at
// most one to a partner under test.
func TestPlannerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(testLimits, rapid.Uint64().Draw(t, "seed"))
		inFlight := map[int]int{}
		retryAfterUntil := map[int]time.Duration{}
		var now time.Duration
		all := []int{1, 2, 3}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			dest := rapid.SampledFrom(all).Draw(t, "dest")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				p.CapacityChanged(now, dest, rapid.Float64Range(0, 100).Draw(t, "weight"), rapid.Bool().Draw(t, "ready"))
			case 1:
				wait := time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond
				p.CallEnded(now, dest, rapid.SampledFrom([]Result{Served, Rejected, Failed, NotSent}).Draw(t, "result"), wait,
					rapid.Bool().Draw(t, "own"))
				retryAfterUntil[dest] = max(retryAfterUntil[dest], now+wait)
			case 2:
				if inFlight[dest] > 0 {
					inFlight[dest]--
					p.RedeliveryEnded(now, dest, rapid.Bool().Draw(t, "in"))
				}
			}
			total := 0
			for _, d := range p.Grant(now, all, idleLoad) {
				inFlight[d]++
				if now < retryAfterUntil[d] {
					t.Fatalf("%v: a grant within the wait until %v", now, retryAfterUntil[d])
				}
				if p.partners[d].trial && inFlight[d] > 1 {
					t.Fatalf("%v: %d out under test", now, inFlight[d])
				}
			}
			for _, n := range inFlight {
				total += n
			}
			if total > testLimits.MaxInFlight {
				t.Fatalf("%d out", total)
			}
			if next := p.NextGrant(now, all); next <= now || next > now+2*time.Second {
				t.Fatalf("%v: next at %v", now, next)
			}
		}
	})
}
