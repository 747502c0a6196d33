package control

import "testing"

// A failed endpoint is tried again while the one that serves is busy.
func TestFailedEndpointIsRetried(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 2)
	r.submit(1, 0, 0)
	failed := r.messages[1].endpoint
	r.advance(20 * ms)
	r.answer(1, ConnectFailed, 0)
	r.serve(100*ms, 50*ms)
	id, retried := MessageID(1), false
	for range 30 {
		for range 3 {
			id++
			m := r.submit(id, 0, 0)
			retried = retried || m.inFlight && m.endpoint == failed
		}
		r.serve(200*ms, 50*ms)
	}
	if !retried {
		t.Fatal("the failed endpoint was never tried again")
	}
}

// A fleet of 80 keeps no connections, as endpoints accept few: each sender spreads its calls over all endpoints, and
// the senders do not all start with the same one. The senders of a fleet of two use the endpoint to which they have a
// connection.
func TestLargeFleetSpreadsOverEndpoints(t *testing.T) {
	for _, c := range []struct{ fleetSize, first, each int }{{80, 10, 3}, {2, 0, 0}} {
		first := 0
		for seed := range uint64(40) {
			cfg := testSettings()
			cfg.FleetSize, cfg.CanGossip, cfg.WeightKind, cfg.Seed = c.fleetSize, true, WeightsApproximate, seed
			r := newRecorder(t, cfg)
			r.updateList(ListFull, Endpoint{ID: 1, State: Ready, Weight: 800}, Endpoint{ID: 2, State: Ready, Weight: 800})
			second := 0
			for id := MessageID(1); id <= 8; id++ {
				if r.submit(id, 0, 0).endpoint == 2 {
					if second++; id == 1 {
						first++
					}
				}
				r.answer(id, Served, 0)
				r.advance(100 * ms)
			}
			if second < c.each || second > 8-c.each || c.each == 0 && second > 0 {
				t.Errorf("fleet of %d, seed %d: %d of 8 calls were sent to the second endpoint", c.fleetSize, seed, second)
			}
		}
		if first < c.first || first > 40-c.first || c.first == 0 && first > 0 {
			t.Errorf("fleet of %d: %d of 40 senders started with the second endpoint", c.fleetSize, first)
		}
	}
}

// Of two separate routes the one with the lower cost is used as far as possible, and the other one for the rest. Where
// endpoints share a route the cost is ignored.
func TestLowerZoneCostFirst(t *testing.T) {
	for _, c := range []struct {
		name     string
		separate bool
		costs    []float64
		zone     int // zone of the endpoint that receives all calls
	}{
		{"first zone expensive", true, []float64{0.04, 0.01}, 1},
		{"first zone cheap", true, []float64{0.01, 0.04}, 0},
		{"no costs", true, nil, 0},
		{"shared", false, []float64{0.04, 0.01}, 0},
	} {
		cfg := testSettings()
		cfg.Kinds, cfg.ZoneCosts = []Kind{{MaxBatch: 1, SeparateRoutes: c.separate}}, c.costs
		r := newRecorder(t, cfg)
		r.addReady(0, 2) // zones 0 and 1
		for id := MessageID(1); id <= 5; id++ {
			m := r.submit(id, 0, 0)
			if !m.inFlight || r.list[m.endpoint].Zone != c.zone {
				t.Errorf("%s: message %d was sent to zone %d", c.name, id, r.list[m.endpoint].Zone)
			}
			r.answer(id, Served, 0)
			r.advance(50 * ms)
		}
		redirected := r.submit(6, 0, 0)
		r.answer(6, Rejected, 500*ms) // a Retry-After for its route
		r.advance(50 * ms)
		if c.separate && (!redirected.inFlight || r.list[redirected.endpoint].Zone == c.zone) {
			t.Errorf("%s: the other route was not used", c.name)
		}
	}
}
