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

// TestSlowStartAfterRecovery checks that redelivery does not overload a recovering partner. After an outage a partner
// has only ColdCapacity of its capacity, and all of it after WarmUp. The senders of a fleet redeliver to it at the same
// time without coordination; if they send too much together, it fails again.
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
			t.Errorf("%d senders: %d trials in %v, want at most %d", senders, trials, recoveredAt, limit)
		}
		first := calls[0]
		for i, from := range calls { // check the window of length OverloadWindow that starts at each call
			n := 0
			for _, at := range calls[i:] {
				if at < from+limits.OverloadWindow {
					n++
				}
			}
			warm := min(1, limits.ColdCapacity+(1-limits.ColdCapacity)*float64(from-first)/float64(limits.WarmUp))
			if budget := limits.OverloadFactor * warm * capacity * limits.OverloadWindow.Seconds(); float64(n) > budget {
				t.Fatalf("%d senders: %d calls in the window from %v, want at most %.1f", senders, n, from, budget)
			}
		}
		if rate := warmCalls / 10; rate < 0.8*limits.CapacityShare*capacity || rate > 1.05*limits.CapacityShare*capacity {
			t.Errorf("%d senders: %.1f calls per second once warm, want about %.1f",
				senders, rate, limits.CapacityShare*capacity)
		}
	}
}

// warmPlanner returns a planner whose partners have reached the full level, and its current time.
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

// countGrants returns the number of grants by destination within span. Every granted redelivery is served immediately.
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

// TestPausesAfterFailure checks that a failure, a rejection or a Retry-After pauses redelivery, and how redelivery
// resumes.
func TestPausesAfterFailure(t *testing.T) {
	for _, c := range []struct {
		name          string
		result        Result
		retryAfter    time.Duration
		pause         time.Duration
		limitExceeded bool
	}{
		{"rejection between served calls", Rejected, 0, 700 * time.Millisecond, true},
		{"rejection with Retry-After", Rejected, 5 * time.Second, 5 * time.Second, false},
		{"failure", Failed, 0, 3 * time.Second, false},
		{"served with Retry-After", Served, time.Second, time.Second, false},
	} {
		p, now := warmPlanner(t, 20, 7)
		p.CallEnded(now, 7, c.result, c.retryAfter, false) // a result of live traffic pauses redelivery as well
		if n := countGrants(p, now, c.pause, idleLoad, 7); n[7] > 0 {
			t.Errorf("%s: %d grants within %v", c.name, n[7], c.pause)
		}
		resumedAt := now + 20*time.Second
		if c.limitExceeded {
			resumedAt = now + 2*time.Second
		}
		n := countGrants(p, resumedAt, time.Second, idleLoad, 7)
		if n[7] == 0 || !c.limitExceeded && n[7] > 4 {
			t.Errorf("%s: %d grants in the first second after the pause", c.name, n[7])
		}
	}
}

// TestTrialBackoffWhileFailing checks that a partner that keeps failing receives only a few trials, at increasing
// intervals.
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
		t.Errorf("%d trials in 10 minutes: %v", len(trials), trials)
	}
}

// TestLiveTrafficHasPriority checks that redelivery yields to live traffic to the partner, and to a high load of the
// sender.
func TestLiveTrafficHasPriority(t *testing.T) {
	p, now := warmPlanner(t, 20, 7)
	withoutLiveTraffic := countGrants(p, now, 5*time.Second, idleLoad, 7)[7]
	now += 5 * time.Second
	n := 0
	for i := range 1000 { // 20 live calls per second, the full capacity of the partner
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
	if withoutLiveTraffic < 30 || n > 14 { // 14 is a tenth of the live calls
		t.Errorf("%d grants without live traffic, %d with full live traffic", withoutLiveTraffic, n)
	}
	for name, load := range map[string]Load{
		"call slots":    {MaxInFlight: 16, InFlight: 12, MaxOpenMessages: 200},
		"open messages": {MaxInFlight: 16, MaxOpenMessages: 200, Open: 100},
	} {
		p, now := warmPlanner(t, 20, 7)
		if n := countGrants(p, now, 5*time.Second, load, 7); n[7] > 0 {
			t.Errorf("%s nearly exhausted: %d grants", name, n[7])
		}
	}
}

// TestDestinationsAndTenantsTakeTurns checks that grants are distributed evenly across destinations, and that the
// tenants of a destination are selected in turn.
func TestDestinationsAndTenantsTakeTurns(t *testing.T) {
	p, now := warmPlanner(t, 20, 1, 2, 3)
	n := countGrants(p, now, 10*time.Second, idleLoad, 1, 2, 3)
	for _, d := range []int{2, 3} {
		if math.Abs(float64(n[d]-n[1])) > 0.1*float64(n[1]) {
			t.Errorf("grants by destination: %v", n)
		}
	}
	var got []string
	for range 4 {
		got = append(got, p.NextTenant(now, 1, []string{"b", "a", "c"}))
	}
	got = append(got, p.NextTenant(now, 1, []string{"c"}), p.NextTenant(now, 1, []string{"b", "c"}))
	if want := []string{"a", "b", "c", "a", "c", "b"}; !slices.Equal(got, want) {
		t.Errorf("tenants %v, want %v", got, want)
	}
}

// TestPlannerInvariants checks for random sequences of events that the number of redeliveries in flight stays within
// the limit, that no redelivery is granted before a Retry-After has passed, and that at most one is in flight to a
// partner during a trial.
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
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.CapacityChanged(now, dest, rapid.Float64Range(0, 100).Draw(t, "capacity"), rapid.Bool().Draw(t, "ready"))
			case 1:
				wait := time.Duration(rapid.IntRange(0, 4000).Draw(t, "retryAfter")) * time.Millisecond
				p.CallEnded(now, dest, rapid.SampledFrom([]Result{Served, Rejected, Failed, NotSent}).Draw(t, "result"), wait,
					rapid.Bool().Draw(t, "redelivery"))
				retryAfterUntil[dest] = max(retryAfterUntil[dest], now+wait)
			case 2:
				if inFlight[dest] > 0 {
					inFlight[dest]--
					p.RedeliveryEnded(now, dest, rapid.Bool().Draw(t, "admitted"))
				}
			}
			total := 0
			for _, d := range p.Grant(now, all, idleLoad) {
				inFlight[d]++
				if now < retryAfterUntil[d] {
					t.Fatalf("%v: grant before the Retry-After at %v", now, retryAfterUntil[d])
				}
				if p.partners[d].trial && inFlight[d] > 1 {
					t.Fatalf("%v: %d in flight during a trial", now, inFlight[d])
				}
			}
			for _, n := range inFlight {
				total += n
			}
			if total > testLimits.MaxInFlight {
				t.Fatalf("%d redeliveries in flight, want at most %d", total, testLimits.MaxInFlight)
			}
			if next := p.NextGrant(now, all); next <= now || next > now+2*time.Second {
				t.Fatalf("%v: next grant at %v, want within 2 seconds", now, next)
			}
		}
	})
}
