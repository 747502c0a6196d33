package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// largeFleetAtLimit is one of eighty that share the limit of an endpoint.
func largeFleetAtLimit(t *testing.T) (*recorder, *endpoint) {
	set := settings()
	set.FleetSize, set.CanGossip, set.WeightKind, set.HeadroomIndex, set.LimitIndex = 80, true, WeightsApproximate, -1, -1
	r := newRecorder(t, set)
	r.lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: 4000})
	return r, r.c.endpoints[1]
}

// one of eighty, with n endpoints of a destination.
func largeFleetMember(t *testing.T, n int) *recorder {
	set := settings()
	set.FleetSize, set.CanGossip, set.MaxAttempts = 80, true, 99
	r := newRecorder(t, set)
	r.ready(0, n)
	return r
}

// What 80 senders send in sum stays below a limit that is lowered to a sixth, where refused calls use it up: one
// refusal told to all slows all at once. With half of the notes lost it takes longer, and without any each slows
// by what it learns alone. A note never makes a sender send more.
func TestLargeFleetKeepsLimit(t *testing.T) {
	const senders, step, whole, low, seeds = 80, 20 * ms, 80.0, 13.0, 5 // in the mean of so many
	play := func(name string, lost float64, seed uint64) (served, turned int) {
		rng := rand.New(rand.NewPCG(7, seed))
		fleet := make([]*recorder, senders)
		for i := range fleet {
			set := settings()
			set.FleetSize, set.CanGossip, set.WeightKind, set.Seed = senders, true, WeightsApproximate, uint64(i)
			set.HeadroomIndex, set.LimitIndex = -1, -1
			fleet[i] = newRecorder(t, set)
			fleet[i].lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: whole})
		}
		room, id := 0.0, MessageID(0)
		for now := time.Duration(0); now < 15*time.Second; now += step {
			limit := whole
			if now >= 3*time.Second && now < 12*time.Second {
				limit = low
			}
			room = min(room+limit*step.Seconds(), limit/5)
			for i, r := range fleet {
				if rng.Float64() < 0.8*whole/senders*step.Seconds() {
					id++
					r.arrive(id, 0, 0)
				}
				for _, m := range slices.Clone(r.arrivals) {
					if !r.msgs[m].out {
						continue
					}
					if room--; room < 0 { // a refused call uses the limit up, too
						room = max(room, -limit/5)
						r.answer(m, Rejected, 0)
					} else {
						r.answer(m, Served, 0)
					}
					if limit == low && room < 0 {
						turned++
					} else if limit == low {
						served++
					}
				}
				for _, n := range r.told {
					for j, other := range fleet {
						if j != i && rng.Float64() >= lost {
							share := other.c.destination(0).sharedRoute.limit.fraction
							other.c.ReceiveGossip(other.now, n)
							if after := other.c.destination(0).sharedRoute.limit.fraction; after > share {
								t.Fatalf("%s: a note raised a share from %v to %v", name, share, after)
							}
						}
					}
				}
				r.told = nil
			}
			for _, r := range fleet {
				r.pass(step)
			}
		}
		return served, turned
	}
	for _, c := range []struct {
		name   string
		lost   float64
		served int // in 9 s of the lowered limit, at least
		turned int // in the same time, at most
	}{{"all arrive", 0, 60, 100}, {"half lost", 0.5, 25, 150}, {"none arrives", 1, 5, 400}} {
		served, turned := 0, 0
		for seed := range uint64(seeds) {
			s, n := play(c.name, c.lost, seed)
			served, turned = served+s, turned+n
		}
		if served < seeds*c.served || turned > seeds*c.turned {
			t.Errorf("%s: %d served and %d refused while the limit was low, want %d and %d", c.name, served/seeds, turned/seeds, c.served, c.turned)
		}
		t.Logf("%s: %d served, %d refused", c.name, served/seeds, turned/seeds)
	}
}

// Refused calls above a limit are no outage, and where hundreds call, one refusal slows this instance at
// once: in collapse all calls are refused, and only fewer of them help. Room told brings it back.
func TestRejectionSlowsLargeFleet(t *testing.T) {
	set := settings()
	set.FleetSize = 200
	r := newRecorder(t, set)
	r.ready(0, 1)
	r.arrive(1, 0, 0)
	r.serve(100*ms, 50*ms, 1, 10)
	id := MessageID(1)
	sends := 0
	for range 40 {
		id++
		r.arrive(id, 0, 0)
		r.pass(50 * ms)
		for _, a := range r.arrivals {
			if r.msgs[a].out {
				sends++
				r.answer(a, Rejected, 0, 0, 10)
			}
		}
	}
	d := r.c.destination(0)
	if d.sharedRoute.breaker.open || sends > 8 {
		t.Fatalf("open %v, %d calls in 2 s to a destination that refuses", d.sharedRoute.breaker.open, sends)
	}
	r.serve(20*time.Second, 50*ms, 1, 10)
	if d.sharedRoute.limit.fraction < 0.9 {
		t.Fatalf("share %v though all of the limit is left", d.sharedRoute.limit.fraction)
	}
}

// One who hears of nobody tells ever less, as nobody may hear; one note from a sibling, and each refusal is told again.
func TestFewObservationsWhileIsolated(t *testing.T) {
	r, e := largeFleetAtLimit(t)
	refuse := func(n int) int {
		before := len(r.told)
		for range n {
			r.now += 50 * ms
			r.c.advanceClock(r.now)
			r.c.adjustLimitFraction(&attempt{endpoint: e, sentAt: r.now}, Rejected, nil)
		}
		return len(r.told) - before
	}
	if n := refuse(32); n < 2 || n > 6 { // the first asks, too, and once it is alone nothing is told
		t.Errorf("%d notes of 32 refusals", n)
	}
	if !r.c.peers.Isolated(r.now) {
		t.Error("it does not know that it is alone")
	}
	r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedRejection})
	if n := refuse(2); n != 2 {
		t.Errorf("%d of 2 refusals told after a sibling was heard", n)
	}
}

// One of many that hears nobody takes a part of its even one after a refusal, grows by served calls alone, and is one of
// many again as soon as it hears somebody. One that is asked answers now and then.
func TestIsolatedRate(t *testing.T) {
	r, e := largeFleetAtLimit(t)
	share := func() float64 { r.c.refillTokens(e); return e.route.limit.fraction * 80 } // in even parts
	came := func(at time.Duration, result Result) {
		r.now = at
		r.c.advanceClock(at)
		r.c.adjustLimitFraction(&attempt{endpoint: e, sentAt: at}, result, nil)
	}
	pass := func(at time.Duration) { r.now = at; r.c.advanceClock(at) }
	pass(10 * time.Second)
	if got := share(); got != fleetRateMax {
		t.Fatalf("%.2f even parts at first", got)
	}
	came(10*time.Second, Rejected)
	if got := share(); math.Abs(got-fleetRateReduction*fleetRateReductionBase) > 1e-9 {
		t.Errorf("%.3f after a refusal", got)
	}
	pass(10*time.Second + 600*ms)
	alone := share()
	if math.Abs(alone-isolatedRateReduction) > 1e-9 {
		t.Errorf("%.3f once nobody has answered", alone)
	}
	pass(20 * time.Second)
	if got := share(); got != alone {
		t.Errorf("%.3f grown by time alone", got)
	}
	for i := range 10 {
		came(20*time.Second+time.Duration(i)*ms, Served)
	}
	if got := share(); math.Abs(got-alone*math.Pow(1+isolatedRateRisePerCall, 10)) > 1e-9 {
		t.Errorf("%.3f after ten served calls", got)
	}
	came(21*time.Second, Rejected)
	if got := share(); got > alone*0.5 {
		t.Errorf("%.3f after another refusal", got)
	}
	asked := len(r.told)
	pass(26 * time.Second)
	if share(); len(r.told) != asked+1 || r.told[asked].Kind != ReachabilityQuery {
		t.Errorf("it does not ask again though nothing is refused: %v", r.told[asked:])
	}
	r.c.ReceiveGossip(26*time.Second, Observation{Endpoint: 1, Kind: ReachabilityReply, Peer: 5})
	pass(28 * time.Second)
	if got := share(); got < 0.9 {
		t.Errorf("%.3f two seconds after somebody was heard", got)
	}
	before := len(r.told)
	for i := range 400 {
		r.c.ReceiveGossip(28*time.Second, Observation{Endpoint: 1, Kind: ReachabilityQuery, Peer: i % 79})
	}
	if n := len(r.told) - before; n < 20 || n > 70 { // 8 of 80 in the mean
		t.Errorf("%d of 400 questions answered", n)
	}
}
