package control

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// After an outage the rate rises slowly: a destination that is warming up is not overloaded.
func TestSlowStartAfterOutage(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.cfg.WeightKind = WeightsUnset
	causeOutage(r)
	r.advance(3 * time.Second)
	for id := MessageID(100); id < 160; id++ {
		r.submit(id, 0, 0)
	}
	before := len(r.trace)
	r.c.HealthChecked(r.now, r.healthChecks[len(r.healthChecks)-1], Served, 20*ms, nil)
	r.c.Decide(r.now)
	r.serve(r.cfg.OverloadWindow, 600*ms, 1, 10)
	sends := 0
	for _, line := range r.trace[before:] {
		if strings.Contains(line, "send ") {
			sends++
		}
	}
	budget := r.cfg.OverloadFactor * 10 * 0.35 * r.cfg.OverloadWindow.Seconds()
	if sends == 0 || float64(sends) > budget {
		t.Fatalf("%d sends to a warming destination within the overload window, budget %.1f", sends, budget)
	}
}

// After an outage the total rate of a large fleet does not overload a destination that is warming up.
func TestSlowStartOfLargeFleet(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize = 200
	r := newRecorder(t, cfg)
	r.addReady(0, 2)
	r.submit(1, 0, 0)
	r.serve(100*ms, 50*ms, 1, 20)
	d := r.c.destination(0)
	for id := MessageID(2); id < 5; id++ {
		r.submit(id, 0, 0)
		r.advance(time.Second)
		if r.messages[id].inFlight {
			r.answer(id, ConnectFailed, 0)
		}
	}
	r.advance(cfg.WarmUp)
	d.sharedRoute.breaker.open, d.sharedRoute.breaker.consecutiveFailures, d.sharedRoute.breaker.failingSince = true, 3,
		r.now-cfg.WarmUp
	r.c.recordHealth(d.endpoints[0], r.now, Served, 0)
	sum := r.c.sendRate(d.endpoints[0]) * float64(cfg.FleetSize)
	if budget := 20 * cfg.ColdCapacity * cfg.OverloadFactor; !d.sharedRoute.slowStart.active || sum <= 0 || sum > budget {
		t.Fatalf("slow start %v: the fleet sends %.1f per second, budget %.1f", d.sharedRoute.slowStart.active, sum, budget)
	}
}

// In a fleet of 80 one served trial call is gossiped to all senders. The others then make no trial calls and begin the
// same slow start, with a total rate that does not overload a destination that is warming up. A call sent before the
// latest failure has no effect, a Retry-After stays in force, and a sender without an outage is not affected.
func TestRecoveryGossip(t *testing.T) {
	for _, c := range []struct {
		name       string
		failures   int           // failures of this sender
		sentAgo    time.Duration // time since the served call was sent
		retryAfter time.Duration // received by this sender
		recovers   bool
	}{
		{"recovered", 3, 0, 0, true},
		{"served before the latest failure", 3, 3 * time.Second, 0, false},
		{"before the Retry-After has passed", 3, 0, 5 * time.Second, false},
		{"no outage at this sender", 0, 0, 0, false},
	} {
		sum, cfg := 0.0, testSettings()
		cfg.FleetSize, cfg.CanGossip, cfg.WeightKind = 80, true, WeightsApproximate
		for i := range cfg.FleetSize {
			cfg.Seed = uint64(i)
			r := newRecorder(t, cfg)
			r.updateList(ListFull, Endpoint{ID: 1, State: Ready, Weight: 20})
			for id := MessageID(1); id <= 20 && r.c.destination(0).sharedRoute.breaker.consecutiveFailures < c.failures; id++ {
				r.submit(id, 0, 0)
				r.advance(time.Second)
				for _, m := range slices.Clone(r.submitted) {
					if r.messages[m].inFlight {
						r.answer(m, ConnectFailed, c.retryAfter)
					}
				}
			}
			route := r.c.destination(0).sharedRoute
			open := route.breaker.open
			r.advance(200 * ms)
			r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedRecovery, Age: c.sentAgo})
			if recovered := open && !route.breaker.open && route.slowStart.active; recovered != c.recovers {
				t.Fatalf("%s: circuit open %v, then %v, slow start %v", c.name, open, route.breaker.open, route.slowStart.active)
			}
			sum += r.c.sendRate(r.c.endpoints[1])
		}
		if budget := 20 * cfg.ColdCapacity * cfg.OverloadFactor; c.recovers && (sum <= 0 || sum > budget) {
			t.Errorf("%s: the fleet sends %.1f per second, budget %.1f", c.name, sum, budget)
		}
	}
}

// A timeout that is only noticed after a stall of the sender opens no circuit, but the destination gets a slow start.
func TestSlowStartAfterStall(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 1)
	r.submit(1, 0, 0)
	r.serve(100*ms, 50*ms, 1, 10)
	r.submit(2, 0, 0)
	r.now += 1900 * ms
	r.answer(2, TimedOut, 0)
	route := r.c.destination(0).sharedRoute
	if route.breaker.open {
		t.Fatal("one failure after a stall of the sender opened the circuit")
	}
	r.advance(r.cfg.OverloadWindow)
	if !r.messages[2].inFlight {
		r.submit(3, 0, 0)
	}
	r.c.recordHealth(r.c.destination(0).endpoints[0], r.now, Served, 0)
	if !route.slowStart.active {
		t.Fatal("no slow start though the destination may be warming up")
	}
}

// Peers report a recovered destination as warm if it is as fast as before the outage. The first report of each peer
// shortens the slow start by a tenth. Reports from before the recovery do not count, and no report is sent at the full
// rate.
func TestWarmObservationsShortenSlowStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		peer        func(i int) int
		age         time.Duration
		reports     int
		minFraction float64 // of the fair share, after the reports
		maxFraction float64
	}{
		{"no reports", nil, 0, 0, 0.2, 0.3},
		{"five peers", func(i int) int { return i }, 0, 5, 0.75, 0.85},
		{"twelve peers", func(i int) int { return i }, 0, 12, 1, 1},
		{"repeated reports of one peer", func(int) int { return 3 }, 0, 100, 0.3, 0.4},
		{"reports from before the recovery", func(i int) int { return i }, 5 * time.Second, 12, 0.2, 0.3},
	} {
		cfg := testSettings()
		cfg.FleetSize, cfg.CanGossip, cfg.WeightKind, cfg.HeadroomIndex, cfg.LimitIndex = 80, true, WeightsApproximate, -1, -1
		r := newRecorder(t, cfg)
		r.updateList(ListFull, Endpoint{ID: 1, State: Ready, Weight: 800})
		e := r.c.endpoints[1]
		r.c.startSlowStart(e.route)
		r.advance(100 * ms)
		for i := range c.reports {
			r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedWarm, Peer: c.peer(i), Age: c.age})
		}
		got, limit := r.c.sendRate(e)/r.c.fairShare(e), c.maxFraction*fleetRateSlowStartFactor
		if got < c.minFraction || got > limit && got > 1 || c.maxFraction < 1 && got > limit {
			t.Errorf("%s: %.2f of the fair share", c.name, got)
		}
	}
	// After each recovery the report of each peer counts anew, and at most ten reports are kept.
	repeated, interval := largeFleetMember(t, 1), 20*time.Second
	for n := range 2 {
		route := repeated.c.endpoints[0].route
		route.slowStart.active = false
		repeated.advance(interval)
		repeated.c.startSlowStart(route)
		repeated.advance(100 * ms)
		for i := range 30 {
			repeated.c.ReceiveGossip(repeated.now, Observation{Endpoint: 0, Kind: ObservedWarm, Peer: i})
		}
		if got := route.slowStart.recoveredAt - route.slowStart.rampStart; got != repeated.cfg.WarmUp ||
			len(route.slowStart.warmReporters) > 10 {
			t.Errorf("recovery %d: slow start shortened by %v after %d reports", n, got, len(route.slowStart.warmReporters))
		}
	}
	r := largeFleetMember(t, 1)
	e := r.c.endpoints[0]
	e.route.breaker.callTimeBefore = 100 * ms
	warmReportsSent := func() (n int) {
		for _, observation := range r.gossiped {
			if observation.Kind == ObservedWarm {
				n++
			}
		}
		return n
	}
	r.c.startSlowStart(e.route)
	for range 20 {
		r.now += 400 * ms
		r.c.advanceClock(r.now)
		r.c.recordOutcome(&attempt{endpoint: e, sentAt: r.now - 10*ms}, Outcome{Result: Served, Elapsed: 10 * ms})
	}
	if n := warmReportsSent(); n < 1 || n > 8 {
		t.Errorf("%d warm reports gossiped", n)
	}
	if !e.route.slowStart.active || r.c.now-e.route.slowStart.rampStart < r.cfg.WarmUp {
		t.Errorf("after 20 fast calls: slow start %v, ramp start %v from now", e.route.slowStart.active,
			e.route.slowStart.rampStart-r.now)
	}
}

func TestSlowStartCapacity(t *testing.T) {
	cfg := testSettings()
	cfg.ColdCapacity, cfg.WarmUp = 0.2, 10*time.Second
	for _, c := range []struct {
		name     string
		after    time.Duration
		reports  int
		fraction float64
	}{
		{"at the start", 0, 0, 0.2},
		{"halfway", 5 * time.Second, 0, 0.6},
		{"over", 20 * time.Second, 0, 1},
		{"five peers report it warm", 0, 5, 0.6},
		{"more peers than count", 0, 50, 1},
	} {
		var s slowStart
		s.begin(time.Minute)
		for peer := range c.reports {
			if s.addWarmReport(peer) {
				s.advance(cfg.WarmUp)
			}
		}
		if got := s.capacityFraction(time.Minute+c.after, &cfg); math.Abs(got-c.fraction) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.fraction)
		}
		if s.expire(time.Minute+c.after, cfg.WarmUp); s.active != (c.after < cfg.WarmUp) {
			t.Errorf("%s: active %v", c.name, s.active)
		}
	}
}
