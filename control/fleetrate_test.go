package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// largeFleetAtLimit returns a member of a fleet of 80 senders that share the limit of an endpoint.
func largeFleetAtLimit(t *testing.T) (*recorder, *endpoint) {
	cfg := testSettings()
	cfg.FleetSize, cfg.CanGossip, cfg.WeightKind, cfg.HeadroomIndex, cfg.LimitIndex = 80, true, WeightsApproximate, -1, -1
	r := newRecorder(t, cfg)
	r.updateList(ListFull, Endpoint{ID: 1, State: Ready, Weight: 4000})
	return r, r.c.endpoints[1]
}

// largeFleetMember returns a member of a fleet of 80 senders, with n endpoints of a destination.
func largeFleetMember(t *testing.T, n int) *recorder {
	cfg := testSettings()
	cfg.FleetSize, cfg.CanGossip, cfg.MaxAttempts = 80, true, 99
	r := newRecorder(t, cfg)
	r.addReady(0, n)
	return r
}

// The total rate of 80 senders stays below a limit that is lowered to a sixth and that rejected calls use up as well:
// one gossiped rejection slows all senders at once. With half of the gossip lost this takes longer, and without gossip
// each sender slows only by its own rejections. Gossip never raises a sender's rate.
func TestLargeFleetKeepsLimit(t *testing.T) {
	const senders, step, fullLimit, reducedLimit, seeds = 80, 20 * ms, 80.0, 13.0, 5 // results are means over the seeds
	run := func(name string, lost float64, seed uint64) (served, rejected int) {
		rng := rand.New(rand.NewPCG(7, seed))
		fleet := make([]*recorder, senders)
		for i := range fleet {
			cfg := testSettings()
			cfg.FleetSize, cfg.CanGossip, cfg.WeightKind, cfg.Seed = senders, true, WeightsApproximate, uint64(i)
			cfg.HeadroomIndex, cfg.LimitIndex = -1, -1
			fleet[i] = newRecorder(t, cfg)
			fleet[i].updateList(ListFull, Endpoint{ID: 1, State: Ready, Weight: fullLimit})
		}
		capacity, id := 0.0, MessageID(0)
		for now := time.Duration(0); now < 15*time.Second; now += step {
			limit := fullLimit
			if now >= 3*time.Second && now < 12*time.Second {
				limit = reducedLimit
			}
			capacity = min(capacity+limit*step.Seconds(), limit/5)
			for i, r := range fleet {
				if rng.Float64() < 0.8*fullLimit/senders*step.Seconds() {
					id++
					r.submit(id, 0, 0)
				}
				for _, m := range slices.Clone(r.submitted) {
					if !r.messages[m].inFlight {
						continue
					}
					if capacity--; capacity < 0 { // a rejected call uses up the limit as well
						capacity = max(capacity, -limit/5)
						r.answer(m, Rejected, 0)
					} else {
						r.answer(m, Served, 0)
					}
					if limit == reducedLimit && capacity < 0 {
						rejected++
					} else if limit == reducedLimit {
						served++
					}
				}
				for _, n := range r.gossiped {
					for j, other := range fleet {
						if j != i && rng.Float64() >= lost {
							fraction := other.c.destination(0).sharedRoute.limit.fraction
							other.c.ReceiveGossip(other.now, n)
							if after := other.c.destination(0).sharedRoute.limit.fraction; after > fraction {
								t.Fatalf("%s: gossip raised the fraction from %v to %v", name, fraction, after)
							}
						}
					}
				}
				r.gossiped = nil
			}
			for _, r := range fleet {
				r.advance(step)
			}
		}
		return served, rejected
	}
	for _, c := range []struct {
		name     string
		lost     float64
		served   int // minimum in 9 s of the lowered limit
		rejected int // maximum in the same time
	}{{"all gossip arrives", 0, 60, 100}, {"half of the gossip lost", 0.5, 25, 150}, {"no gossip arrives", 1, 5, 400}} {
		served, rejected := 0, 0
		for seed := range uint64(seeds) {
			s, n := run(c.name, c.lost, seed)
			served, rejected = served+s, rejected+n
		}
		if served < seeds*c.served || rejected > seeds*c.rejected {
			t.Errorf("%s: %d served and %d rejected while the limit was low, want at least %d and at most %d", c.name,
				served/seeds, rejected/seeds, c.served, c.rejected)
		}
		t.Logf("%s: %d served, %d rejected", c.name, served/seeds, rejected/seeds)
	}
}

// Rejections above a limit are no outage. In a fleet of hundreds one rejection slows a sender at once, as all calls are
// rejected while the limit is exceeded, until the fleet sends fewer. Reported headroom raises the rate again.
func TestRejectionSlowsLargeFleet(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize = 200
	r := newRecorder(t, cfg)
	r.addReady(0, 1)
	r.submit(1, 0, 0)
	r.serve(100*ms, 50*ms, 1, 10)
	id := MessageID(1)
	sends := 0
	for range 40 {
		id++
		r.submit(id, 0, 0)
		r.advance(50 * ms)
		for _, a := range r.submitted {
			if r.messages[a].inFlight {
				sends++
				r.answer(a, Rejected, 0, 0, 10)
			}
		}
	}
	d := r.c.destination(0)
	if d.sharedRoute.breaker.open || sends > 8 {
		t.Fatalf("open %v, %d calls in 2 s to a destination that rejects", d.sharedRoute.breaker.open, sends)
	}
	r.serve(20*time.Second, 50*ms, 1, 10)
	if d.sharedRoute.limit.fraction < 0.9 {
		t.Fatalf("fraction %v though the limit is unused", d.sharedRoute.limit.fraction)
	}
}

// A sender that receives nothing from peers gossips less and less. After it receives an observation it gossips each
// rejection again.
func TestIsolatedSenderReducesGossip(t *testing.T) {
	r, e := largeFleetAtLimit(t)
	reject := func(n int) int {
		before := len(r.gossiped)
		for range n {
			r.now += 50 * ms
			r.c.advanceClock(r.now)
			r.c.adjustLimitFraction(&attempt{endpoint: e, sentAt: r.now}, Rejected, nil)
		}
		return len(r.gossiped) - before
	}
	if n := reject(32); n < 2 || n > 6 { // the first also sends a query, and an isolated sender gossips nothing
		t.Errorf("%d observations of 32 rejections", n)
	}
	if !r.c.peers.Isolated(r.now) {
		t.Error("the isolation was not detected")
	}
	r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedRejection})
	if n := reject(2); n != 2 {
		t.Errorf("%d of 2 rejections gossiped after an observation of a peer", n)
	}
}

// After a rejection an isolated sender uses a part of its fair share, which only served calls raise. It uses the fleet
// rate again as soon as it receives something from a peer. A sender replies to some of the reachability queries.
func TestIsolatedRate(t *testing.T) {
	r, e := largeFleetAtLimit(t)
	fraction := func() float64 { r.c.refillTokens(e); return e.route.limit.fraction * 80 } // in fair shares
	recordResult := func(at time.Duration, result Result) {
		r.now = at
		r.c.advanceClock(at)
		r.c.adjustLimitFraction(&attempt{endpoint: e, sentAt: at}, result, nil)
	}
	advanceTo := func(at time.Duration) { r.now = at; r.c.advanceClock(at) }
	advanceTo(10 * time.Second)
	if got := fraction(); got != fleetRateMax {
		t.Fatalf("%.2f fair shares initially", got)
	}
	recordResult(10*time.Second, Rejected)
	if got := fraction(); math.Abs(got-fleetRateReduction*fleetRateReductionBase) > 1e-9 {
		t.Errorf("%.3f after a rejection", got)
	}
	advanceTo(10*time.Second + 600*ms)
	isolated := fraction()
	if math.Abs(isolated-isolatedRateReduction) > 1e-9 {
		t.Errorf("%.3f after the query was not answered", isolated)
	}
	advanceTo(20 * time.Second)
	if got := fraction(); got != isolated {
		t.Errorf("%.3f, raised by time alone", got)
	}
	for i := range 10 {
		recordResult(20*time.Second+time.Duration(i)*ms, Served)
	}
	if got := fraction(); math.Abs(got-isolated*math.Pow(1+isolatedRateRisePerCall, 10)) > 1e-9 {
		t.Errorf("%.3f after ten served calls", got)
	}
	recordResult(21*time.Second, Rejected)
	if got := fraction(); got > isolated*0.5 {
		t.Errorf("%.3f after another rejection", got)
	}
	queries := len(r.gossiped)
	advanceTo(26 * time.Second)
	if fraction(); len(r.gossiped) != queries+1 || r.gossiped[queries].Kind != ReachabilityQuery {
		t.Errorf("the query was not repeated once while nothing was rejected: %v", r.gossiped[queries:])
	}
	r.c.ReceiveGossip(26*time.Second, Observation{Endpoint: 1, Kind: ReachabilityReply, Peer: 5})
	advanceTo(28 * time.Second)
	if got := fraction(); got < 0.9 {
		t.Errorf("%.3f two seconds after a peer replied", got)
	}
	before := len(r.gossiped)
	for i := range 400 {
		r.c.ReceiveGossip(28*time.Second, Observation{Endpoint: 1, Kind: ReachabilityQuery, Peer: i % 79})
	}
	if n := len(r.gossiped) - before; n < 20 || n > 70 { // 8 of 80 on average
		t.Errorf("%d replies to 400 queries", n)
	}
}
