package control

import (
	"cmp"
	"testing"
	"time"
)

// What peers found down takes no message while other endpoints serve, but for trial calls when they are due; never
// all of a destination, nor by one report alone. Messages that are not idempotent avoid what a single report found.
func TestPeerReports(t *testing.T) {
	type report struct {
		endpoint EndpointID
		peer     int
		up       bool
	}
	for _, c := range []struct {
		name      string
		reports   []report
		class     int
		after     time.Duration
		unused    []EndpointID // no call goes there
		used      EndpointID   // one does
		endpoints int          // endpoints; 0 = three
	}{
		{"two found two of three down", []report{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}}, 0, 0,
			[]EndpointID{0, 1}, 2, 0},
		{"one report", []report{{1, 1, false}, {1, 1, false}, {2, 1, false}}, 0, 0, nil, 1, 0},
		{"one report, not idempotent", []report{{0, 1, false}, {1, 1, false}}, 2, 0, []EndpointID{0, 1}, 2, 0},
		{"three of four: too many to believe", []report{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false},
			{3, 1, false}, {3, 2, false}}, 0, 0, nil, 3, 4},
		{"all of them: no report counts", []report{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false},
			{2, 1, false}, {2, 2, false}}, 0, 0, nil, 0, 0},
		{"served since", []report{{0, 1, false}, {0, 2, false}, {0, 3, true}}, 0, 2 * time.Second, nil, 0, 0},
		{"trial due, it goes there first", []report{{1, 1, false}, {1, 2, false}}, 0, 4400 * ms, nil, 1, 0},
		{"not idempotent makes no trial", []report{{1, 1, false}, {1, 2, false}}, 2, 4400 * ms, []EndpointID{1}, 0, 0},
	} {
		r := largeFleetMember(t, cmp.Or(c.endpoints, 3))
		for _, w := range c.reports {
			kind := ObservedDown
			if w.up {
				kind = ObservedUp
			}
			r.now += ms
			r.c.ReceiveGossip(r.now, Observation{Endpoint: w.endpoint, Kind: kind, Peer: w.peer})
		}
		r.advance(c.after)
		used := map[EndpointID]bool{}
		for id := MessageID(1); id <= 6; id++ { // one after the other, so that an idle one is always to be had
			m := r.submit(id, c.class, 0)
			if !m.inFlight {
				t.Fatalf("%s: message %d does not go", c.name, id)
			}
			if used[m.endpoint] = true; id == 1 && c.after > 4*time.Second && c.used == 1 && m.endpoint != 1 {
				t.Errorf("%s: the first goes to %d", c.name, m.endpoint)
			}
			r.advance(r.cfg.Tick)
			r.answer(id, Served, 0)
			r.c.endpoints[m.endpoint].connected = false
		}
		for _, e := range c.unused {
			if used[e] {
				t.Errorf("%s: a call went to %d", c.name, e)
			}
		}
		if !used[c.used] {
			t.Errorf("%s: no call went to %d: %v", c.name, c.used, used)
		}
	}
}

// A recovered endpoint has its even part of the senders again, though each keeps to the connection that it has.
func TestRecoveredEndpointGetsFairShare(t *testing.T) {
	returned := 0
	const senders = 200
	for i := range senders {
		cfg := testSettings()
		cfg.Seed, cfg.FleetSize, cfg.CanGossip = uint64(i), senders, true
		r := newRecorder(t, cfg)
		r.addReady(0, 2)
		r.c.connections.rejectionRate[0] = 0 // capacity is known
		first := r.submit(1, 0, 0)
		r.advance(10 * ms)
		r.answer(1, Served, 0)
		other := 1 - first.endpoint
		for by := range 2 {
			r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedDown, Peer: by})
		}
		r.advance(50 * ms)
		r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedUp, Peer: 3})
		r.advance(2 * time.Second)
		if r.submit(2, 0, 0).endpoint == other {
			returned++
		}
	}
	if returned < senders*2/5 || returned > senders*3/5 {
		t.Errorf("%d of %d senders go to the one of two that is back", returned, senders)
	}
}

// A sender's own finding ends with a later report of a peer, unless it is from a moment before.
func TestPeerReportClearsOwnFailures(t *testing.T) {
	for after, failures := range map[time.Duration]int{2 * time.Second: 0, 100 * ms: 1} {
		r := largeFleetMember(t, 2)
		m := r.submit(1, 0, 0)
		failed := m.endpoint
		r.answer(1, ConnectFailed, 0)
		r.advance(10 * ms)
		r.answer(1, Served, 0)
		r.advance(after)
		r.c.ReceiveGossip(r.now, Observation{Endpoint: failed, Kind: ObservedUp, Peer: 3})
		if got := r.c.endpoints[failed].consecutiveFailures; got != failures {
			t.Errorf("%v after: %d failures in a row, want %d", after, got, failures)
		}
	}
}

// A failed endpoint is gossiped once by each of two senders, and its recovery once. An overdue call excludes its
// endpoint, not its destination.
func TestFailuresAreGossiped(t *testing.T) {
	r := largeFleetMember(t, 2)
	count := func(kind ObservationKind) (n int) {
		for _, x := range r.gossiped {
			if x.Kind == kind {
				n++
			}
		}
		return n
	}
	m := r.submit(1, 0, 0)
	failed := m.endpoint
	r.advance(10 * ms)
	r.answer(1, ConnectFailed, 0)
	if count(ObservedDown) != 1 || r.gossiped[len(r.gossiped)-1].Endpoint != failed {
		t.Fatalf("gossiped %+v", r.gossiped)
	}
	r.advance(10 * ms)
	r.answer(1, Served, 0)
	r.c.ReceiveGossip(r.now, Observation{Endpoint: failed, Kind: ObservedDown, Peer: 5})
	r.advance(4400 * ms) // its own turn
	m = r.submit(2, 0, 0)
	if m.endpoint != failed {
		t.Fatalf("the test went to %d", m.endpoint)
	}
	if o := r.submit(9, 0, 0); !o.inFlight || o.endpoint == failed {
		t.Errorf("a second test beside the first: out %v at %d", o.inFlight, o.endpoint)
	}
	r.answer(9, Served, 0)
	r.advance(10 * ms)
	r.answer(2, Served, 0)
	if count(ObservedUp) != 1 || count(ObservedDown) != 1 {
		t.Errorf("gossiped %+v", r.gossiped)
	}
	first := r.submit(3, 0, 0)
	for r.c.endpoints[first.endpoint].consecutiveFailures == 0 { // until it is overdue, and not yet given up
		r.advance(r.cfg.Tick)
		r.c.Decide(r.now)
	}
	if !first.inFlight || r.now > first.sentAt+200*ms {
		t.Fatalf("overdue after %v, out %v", r.now-first.sentAt, first.inFlight)
	}
	second, breaker := r.submit(4, 0, 0), &r.c.destination(0).sharedRoute.breaker
	if !second.inFlight || second.endpoint == first.endpoint || breaker.open {
		t.Errorf("overdue at %d: the next is out %v at %d, the destination open %v", first.endpoint, second.inFlight,
			second.endpoint, breaker.open)
	}
	r.advance(500 * ms)
	if !r.c.destination(0).sharedRoute.breaker.open {
		t.Error("both are silent: it should count as an outage")
	}
	q := largeFleetMember(t, 1) // an endpoint that answers other calls is not silent
	q.submit(1, 0, 0)
	q.advance(10 * ms)
	q.answer(1, Served, 0)
	q.advance(time.Second)
	q.submit(2, 0, 0)
	q.advance(10 * ms)
	q.c.endpoints[0].lastSuccessAt = q.now
	q.advance(60 * ms)
	if bad := q.c.endpoints[0].consecutiveFailures; !q.messages[2].inFlight || bad != 0 {
		t.Errorf("answered since: %d failures, the call out %v", bad, q.messages[2].inFlight)
	}
	a, e := largeFleetAtLimit(t) // nobody hears an isolated sender
	a.c.adjustLimitFraction(&attempt{endpoint: e, sentAt: a.now}, Rejected, nil)
	a.advance(time.Second)
	n := len(a.gossiped)
	a.c.advanceClock(a.now)
	a.c.recordHealth(e, a.now, ConnectFailed, 0)
	if !a.c.peers.Isolated(a.now) || len(a.gossiped) != n {
		t.Errorf("isolated %v, gossiped %+v", a.c.peers.Isolated(a.now), a.gossiped[n:])
	}
}

// Where some endpoints of a destination fail and others serve, a sender of a large fleet that meets the failing ones
// in a row goes on with the others at once. Where all failed it is an outage. A small fleet takes three failures for
// one.
func TestFailedEndpointsAreNoOutage(t *testing.T) {
	for _, c := range []struct {
		fleetSize, failed int
		result            Result
		open              bool
	}{
		{80, 3, ConnectFailed, false}, {80, 3, TimedOut, false}, {80, 6, ConnectFailed, true}, {80, 3, Rejected, true},
		{4, 3, ConnectFailed, true},
	} {
		cfg := testSettings()
		cfg.FleetSize, cfg.CanGossip, cfg.MaxAttempts = c.fleetSize, true, 99
		r := newRecorder(t, cfg)
		r.addReady(0, 6)
		r.submit(1, 0, 0)
		for n := 0; n < c.failed; n++ { // one endpoint after the other, as each that has failed comes last
			if !r.messages[1].inFlight {
				break
			}
			r.advance(10 * ms)
			r.answer(1, c.result, 0)
		}
		if open := r.c.destination(0).sharedRoute.breaker.open; open != c.open {
			t.Errorf("fleet of %d, %d of 6 failed, result %d: open %v", c.fleetSize, c.failed, c.result, open)
		}
		if m := r.messages[1]; !c.open && !m.inFlight {
			t.Errorf("fleet of %d, %d of 6 failed, result %d: the message does not go on", c.fleetSize, c.failed, c.result)
		}
	}
}
