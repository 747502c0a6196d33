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
		t.Fatalf("%d sends to a cold destination within its fall window, budget %.1f", sends, budget)
	}
}

// A large fleet that knows of an outage makes trial calls and starts in sum within what a warming destination takes.
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
		t.Fatalf("warming %v: all fleetSize send %.1f a second, budget %.1f", d.sharedRoute.slowStart.active, sum, budget)
	}
}

// One trial call tells a fleet of 80 that a destination recovered. The others make none, and start as slowly as
// after one, in sum within what a warming destination takes. A call sent before the latest failure proves nothing, a
// Retry-After stays, and a sender that saw no outage goes on as before.
func TestRecoveryGossip(t *testing.T) {
	for _, c := range []struct {
		name       string
		failures   int           // failures seen
		sentAgo    time.Duration // since the served call was sent
		retryAfter time.Duration // told to this sender
		recovers   bool
	}{
		{"back", 3, 0, 0, true},
		{"served before the latest failure", 3, 3 * time.Second, 0, false},
		{"within a told wait", 3, 0, 5 * time.Second, false},
		{"no outage seen", 0, 0, 0, false},
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
				for _, m := range slices.Clone(r.arrivals) {
					if r.messages[m].inFlight {
						r.answer(m, ConnectFailed, c.retryAfter)
					}
				}
			}
			route := r.c.destination(0).sharedRoute
			open := route.breaker.open
			r.advance(200 * ms)
			r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedRecovery, Age: c.sentAgo})
			if back := open && !route.breaker.open && route.slowStart.active; back != c.recovers {
				t.Fatalf("%s: open %v, then %v, warming %v", c.name, open, route.breaker.open, route.slowStart.active)
			}
			sum += r.c.sendRate(r.c.endpoints[1])
		}
		if budget := 20 * cfg.ColdCapacity * cfg.OverloadFactor; c.recovers && (sum <= 0 || sum > budget) {
			t.Errorf("%s: all fleetSize send %.1f a second, budget %.1f", c.name, sum, budget)
		}
	}
}

// A timeout that a stall of the sender hid until its end opens no circuit, but the destination gets a slow start.
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
		t.Fatal("one failure found after a standstill opened the route")
	}
	r.advance(r.cfg.OverloadWindow)
	if !r.messages[2].inFlight {
		r.submit(3, 0, 0)
	}
	r.c.recordHealth(r.c.destination(0).endpoints[0], r.now, Served, 0)
	if !route.slowStart.active {
		t.Fatal("the partner may be cold, and gets all that waits")
	}
}

// A recovered destination that is as quick as before is warm for the fleet: each peer's report takes a tenth off the
// slow start, once. Reports from before the recovery do not count, and none is sent at the full rate.
func TestWarmObservationsShortenSlowStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		peer        func(i int) int
		age         time.Duration
		reports     int
		minFraction float64 // of its even part, then, at least
		maxFraction float64
	}{
		{"nobody", nil, 0, 0, 0.2, 0.3},
		{"five fleetSize", func(i int) int { return i }, 0, 5, 0.75, 0.85},
		{"twelve fleetSize", func(i int) int { return i }, 0, 12, 1, 1},
		{"one that says it again and again", func(int) int { return 3 }, 0, 100, 0.3, 0.4},
		{"from before the return", func(i int) int { return i }, 5 * time.Second, 12, 0.2, 0.3},
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
			t.Errorf("%s: %.2f of its even part", c.name, got)
		}
	}
	// in each return the word of each counts anew, and no more are kept than count
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
			t.Errorf("return %d: %v earlier by the word of %d", n, got, len(route.slowStart.warmReporters))
		}
	}
	r := largeFleetMember(t, 1)
	e := r.c.endpoints[0]
	e.route.breaker.callTimeBefore = 100 * ms
	warmReportsSent := func() (n int) {
		for _, x := range r.gossiped {
			if x.Kind == ObservedWarm {
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
		t.Errorf("told %d times that it is warm", n)
	}
	if !e.route.slowStart.active || r.c.now-e.route.slowStart.rampStart < r.cfg.WarmUp {
		t.Errorf("after 20 brisk calls: warming %v, from %v on", e.route.slowStart.active, e.route.slowStart.rampStart-r.now)
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
		{"half of it over", 5 * time.Second, 0, 0.6},
		{"over", 20 * time.Second, 0, 1},
		{"five peers found it warm", 0, 5, 0.6},
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
