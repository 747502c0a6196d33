package control

import (
	"cmp"
	"testing"
	"time"
)

// Endpoints that several peers reported down receive no message while other endpoints serve, except for trial calls
// when they are due. A single report does not eject an endpoint, and too many ejections in a destination are ignored.
// Messages that are not idempotent avoid endpoints after a single report.
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
		unused    []EndpointID // these receive no call
		used      EndpointID   // this one receives a call
		endpoints int          // number of endpoints; 0 = three
	}{
		{"two peers report two of three down", []report{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}}, 0, 0,
			[]EndpointID{0, 1}, 2, 0},
		{"one report", []report{{1, 1, false}, {1, 1, false}, {2, 1, false}}, 0, 0, nil, 1, 0},
		{"one report, not idempotent", []report{{0, 1, false}, {1, 1, false}}, 2, 0, []EndpointID{0, 1}, 2, 0},
		{"three of four: above the ejection limit", []report{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false},
			{3, 1, false}, {3, 2, false}}, 0, 0, nil, 3, 4},
		{"all endpoints: above the ejection limit", []report{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false},
			{2, 1, false}, {2, 2, false}}, 0, 0, nil, 0, 0},
		{"served since", []report{{0, 1, false}, {0, 2, false}, {0, 3, true}}, 0, 2 * time.Second, nil, 0, 0},
		{"trial due: the first call goes there", []report{{1, 1, false}, {1, 2, false}}, 0, 4400 * ms, nil, 1, 0},
		{"not idempotent: no trial", []report{{1, 1, false}, {1, 2, false}}, 2, 4400 * ms, []EndpointID{1}, 0, 0},
	} {
		r := largeFleetMember(t, cmp.Or(c.endpoints, 3))
		for _, report := range c.reports {
			kind := ObservedDown
			if report.up {
				kind = ObservedUp
			}
			r.now += ms
			r.c.ReceiveGossip(r.now, Observation{Endpoint: report.endpoint, Kind: kind, Peer: report.peer})
		}
		r.advance(c.after)
		used := map[EndpointID]bool{}
		for id := MessageID(1); id <= 6; id++ { // one after the other, so that an idle endpoint is always available
			m := r.submit(id, c.class, 0)
			if !m.inFlight {
				t.Fatalf("%s: message %d was not sent", c.name, id)
			}
			if used[m.endpoint] = true; id == 1 && c.after > 4*time.Second && c.used == 1 && m.endpoint != 1 {
				t.Errorf("%s: the first message was sent to %d", c.name, m.endpoint)
			}
			r.advance(r.cfg.Tick)
			r.answer(id, Served, 0)
			r.c.endpoints[m.endpoint].connected = false
		}
		for _, e := range c.unused {
			if used[e] {
				t.Errorf("%s: a message was sent to %d", c.name, e)
			}
		}
		if !used[c.used] {
			t.Errorf("%s: no message was sent to %d: %v", c.name, c.used, used)
		}
	}
}

// A recovered endpoint receives calls from its fair share of the senders again, although each sender prefers the
// endpoint to which it has a connection.
func TestRecoveredEndpointGetsFairShare(t *testing.T) {
	recoveredSenders := 0
	const senders = 200
	for i := range senders {
		cfg := testSettings()
		cfg.Seed, cfg.FleetSize, cfg.CanGossip = uint64(i), senders, true
		r := newRecorder(t, cfg)
		r.addReady(0, 2)
		r.c.connections.rejectionRate[0] = 0 // connections are not scarce
		first := r.submit(1, 0, 0)
		r.advance(10 * ms)
		r.answer(1, Served, 0)
		other := 1 - first.endpoint
		for peer := range 2 {
			r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedDown, Peer: peer})
		}
		r.advance(50 * ms)
		r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedUp, Peer: 3})
		r.advance(2 * time.Second)
		if r.submit(2, 0, 0).endpoint == other {
			recoveredSenders++
		}
	}
	if recoveredSenders < senders*2/5 || recoveredSenders > senders*3/5 {
		t.Errorf("%d of %d senders use the recovered one of two endpoints", recoveredSenders, senders)
	}
}

// A peer's report that an endpoint is up clears the sender's own failures, unless it follows them too closely.
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
			t.Errorf("report %v after the failure: %d consecutive failures, want %d", after, got, failures)
		}
	}
}

// The failure of an endpoint is gossiped once by each of two senders, and its recovery once. An overdue call counts
// against its endpoint, not its destination.
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
	r.advance(4400 * ms) // until this sender's trial is due
	m = r.submit(2, 0, 0)
	if m.endpoint != failed {
		t.Fatalf("the trial call was sent to %d", m.endpoint)
	}
	if o := r.submit(9, 0, 0); !o.inFlight || o.endpoint == failed {
		t.Errorf("second trial call during the first: in flight %v at %d", o.inFlight, o.endpoint)
	}
	r.answer(9, Served, 0)
	r.advance(10 * ms)
	r.answer(2, Served, 0)
	if count(ObservedUp) != 1 || count(ObservedDown) != 1 {
		t.Errorf("gossiped %+v", r.gossiped)
	}
	first := r.submit(3, 0, 0)
	for r.c.endpoints[first.endpoint].consecutiveFailures == 0 { // until it is overdue but has not timed out
		r.advance(r.cfg.Tick)
		r.c.Decide(r.now)
	}
	if !first.inFlight || r.now > first.sentAt+200*ms {
		t.Fatalf("overdue after %v, in flight %v", r.now-first.sentAt, first.inFlight)
	}
	second, breaker := r.submit(4, 0, 0), &r.c.destination(0).sharedRoute.breaker
	if !second.inFlight || second.endpoint == first.endpoint || breaker.open {
		t.Errorf("overdue at %d: next message in flight %v at %d, circuit open %v", first.endpoint, second.inFlight,
			second.endpoint, breaker.open)
	}
	r.advance(500 * ms)
	if !r.c.destination(0).sharedRoute.breaker.open {
		t.Error("both endpoints are unresponsive: it should count as an outage")
	}
	q := largeFleetMember(t, 1) // an endpoint that answers other calls is not unresponsive
	q.submit(1, 0, 0)
	q.advance(10 * ms)
	q.answer(1, Served, 0)
	q.advance(time.Second)
	q.submit(2, 0, 0)
	q.advance(10 * ms)
	q.c.endpoints[0].lastSuccessAt = q.now
	q.advance(60 * ms)
	if failures := q.c.endpoints[0].consecutiveFailures; !q.messages[2].inFlight || failures != 0 {
		t.Errorf("answered since: %d failures, call in flight %v", failures, q.messages[2].inFlight)
	}
	a, e := largeFleetAtLimit(t) // an isolated sender does not gossip
	a.c.adjustLimitFraction(&attempt{endpoint: e, sentAt: a.now}, Rejected, nil)
	a.advance(time.Second)
	n := len(a.gossiped)
	a.c.advanceClock(a.now)
	a.c.recordHealth(e, a.now, ConnectFailed, 0)
	if !a.c.peers.Isolated(a.now) || len(a.gossiped) != n {
		t.Errorf("isolated %v, gossiped %+v", a.c.peers.Isolated(a.now), a.gossiped[n:])
	}
}

// Where some endpoints of a destination fail and others serve, a sender of a large fleet whose consecutive calls failed
// continues with the others at once. If all endpoints fail it is an outage. In a small fleet three consecutive failures
// are an outage.
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
		for n := 0; n < c.failed; n++ { // one endpoint after the other, as a failed one is tried last
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
			t.Errorf("fleet of %d, %d of 6 failed, result %d: the message was not sent again", c.fleetSize, c.failed, c.result)
		}
	}
}
