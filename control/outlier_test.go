package control

import (
	"cmp"
	"testing"
	"time"
)

// What siblings found dead takes no message while others serve, but for the test that is this sender's turn; never all of a
// destination, nor by one word alone; and what may not be repeated keeps clear of what one of them has found.
func TestPeerReports(t *testing.T) {
	type word struct {
		of EndpointID
		by int
		up bool
	}
	for _, c := range []struct {
		name  string
		words []word
		class int
		after time.Duration
		not   []EndpointID // no call goes there
		goes  EndpointID   // one does
		n     int          // endpoints; 0 = three
	}{
		{"two found two of three dead", []word{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}}, 0, 0, []EndpointID{0, 1}, 2, 0},
		{"one alone", []word{{1, 1, false}, {1, 1, false}, {2, 1, false}}, 0, 0, nil, 1, 0},
		{"one alone, what may not be repeated", []word{{0, 1, false}, {1, 1, false}}, 2, 0, []EndpointID{0, 1}, 2, 0},
		{"three of four: too many to believe", []word{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}, {3, 1, false}, {3, 2, false}}, 0, 0, nil, 3, 4},
		{"all of them: no word counts", []word{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}, {2, 1, false}, {2, 2, false}}, 0, 0, nil, 0, 0},
		{"served since", []word{{0, 1, false}, {0, 2, false}, {0, 3, true}}, 0, 2 * time.Second, nil, 0, 0},
		{"in its turn, the test goes there first", []word{{1, 1, false}, {1, 2, false}}, 0, 4400 * ms, nil, 1, 0},
		{"what may not be repeated is no test", []word{{1, 1, false}, {1, 2, false}}, 2, 4400 * ms, []EndpointID{1}, 0, 0},
	} {
		r := largeFleetMember(t, cmp.Or(c.n, 3))
		for _, w := range c.words {
			what := ObservedDown
			if w.up {
				what = ObservedUp
			}
			r.now += ms
			r.c.ReceiveGossip(r.now, Observation{Endpoint: w.of, Kind: what, Peer: w.by})
		}
		r.pass(c.after)
		used := map[EndpointID]bool{}
		for id := MessageID(1); id <= 6; id++ { // one after the other, so that an idle one is always to be had
			m := r.arrive(id, c.class, 0)
			if !m.out {
				t.Fatalf("%s: message %d does not go", c.name, id)
			}
			if used[m.to] = true; id == 1 && c.after > 4*time.Second && c.goes == 1 && m.to != 1 {
				t.Errorf("%s: the first goes to %d", c.name, m.to)
			}
			r.pass(r.set.Tick)
			r.answer(id, Served, 0)
			r.c.endpoints[m.to].connected = false
		}
		for _, e := range c.not {
			if used[e] {
				t.Errorf("%s: a call went to %d", c.name, e)
			}
		}
		if !used[c.goes] {
			t.Errorf("%s: no call went to %d: %v", c.name, c.goes, used)
		}
	}
}

// An endpoint that is back has its even part of the senders again, though each keeps to the connection that it has.
func TestRecoveredEndpointDrawsItsFraction(t *testing.T) {
	back := 0
	const senders = 200
	for i := range senders {
		set := settings()
		set.Seed, set.FleetSize, set.CanGossip = uint64(i), senders, true
		r := newRecorder(t, set)
		r.ready(0, 2)
		r.c.connections.rejectionRate[0] = 0 // room is known
		first := r.arrive(1, 0, 0)
		r.pass(10 * ms)
		r.answer(1, Served, 0)
		other := 1 - first.to
		for by := range 2 {
			r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedDown, Peer: by})
		}
		r.pass(50 * ms)
		r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedUp, Peer: 3})
		r.pass(2 * time.Second)
		if r.arrive(2, 0, 0).to == other {
			back++
		}
	}
	if back < senders*2/5 || back > senders*3/5 {
		t.Errorf("%d of %d senders go to the one of two that is back", back, senders)
	}
}

// What a sender found itself is over with a sibling's later word; not so if it found it a moment before.
func TestPeerReportClearsOwnFailures(t *testing.T) {
	for after, bad := range map[time.Duration]int{2 * time.Second: 0, 100 * ms: 1} {
		r := largeFleetMember(t, 2)
		m := r.arrive(1, 0, 0)
		dead := m.to
		r.answer(1, ConnectFailed, 0)
		r.pass(10 * ms)
		r.answer(1, Served, 0)
		r.pass(after)
		r.c.ReceiveGossip(r.now, Observation{Endpoint: dead, Kind: ObservedUp, Peer: 3})
		if got := r.c.endpoints[dead].consecutiveFailures; got != bad {
			t.Errorf("%v after: %d failures in a row, want %d", after, got, bad)
		}
	}
}

// A dead endpoint is told once by each of two, and its return once; an overdue call takes its endpoint out of the way, not its destination.
func TestFailuresAreGossiped(t *testing.T) {
	r := largeFleetMember(t, 2)
	count := func(what ObservationKind) (n int) {
		for _, x := range r.told {
			if x.Kind == what {
				n++
			}
		}
		return n
	}
	m := r.arrive(1, 0, 0)
	dead := m.to
	r.pass(10 * ms)
	r.answer(1, ConnectFailed, 0)
	if count(ObservedDown) != 1 || r.told[len(r.told)-1].Endpoint != dead {
		t.Fatalf("told %+v", r.told)
	}
	r.pass(10 * ms)
	r.answer(1, Served, 0)
	r.c.ReceiveGossip(r.now, Observation{Endpoint: dead, Kind: ObservedDown, Peer: 5})
	r.pass(4400 * ms) // its own turn
	m = r.arrive(2, 0, 0)
	if m.to != dead {
		t.Fatalf("the test went to %d", m.to)
	}
	if o := r.arrive(9, 0, 0); !o.out || o.to == dead {
		t.Errorf("a second test beside the first: out %v at %d", o.out, o.to)
	}
	r.answer(9, Served, 0)
	r.pass(10 * ms)
	r.answer(2, Served, 0)
	if count(ObservedUp) != 1 || count(ObservedDown) != 1 {
		t.Errorf("told %+v", r.told)
	}
	first := r.arrive(3, 0, 0)
	for r.c.endpoints[first.to].consecutiveFailures == 0 { // until it is overdue, and not yet given up
		r.pass(r.set.Tick)
		r.c.Decide(r.now)
	}
	if !first.out || r.now > first.sentAt+200*ms {
		t.Fatalf("overdue after %v, out %v", r.now-first.sentAt, first.out)
	}
	if second := r.arrive(4, 0, 0); !second.out || second.to == first.to || r.c.destination(0).sharedRoute.breaker.open {
		t.Errorf("overdue at %d: the next is out %v at %d, the destination open %v", first.to, second.out, second.to, r.c.destination(0).sharedRoute.breaker.open)
	}
	r.pass(500 * ms)
	if !r.c.destination(0).sharedRoute.breaker.open {
		t.Error("both are silent: it should count as an outage")
	}
	q := largeFleetMember(t, 1) // an endpoint that answers other calls is not silent
	q.arrive(1, 0, 0)
	q.pass(10 * ms)
	q.answer(1, Served, 0)
	q.pass(time.Second)
	q.arrive(2, 0, 0)
	q.pass(10 * ms)
	q.c.endpoints[0].lastSuccessAt = q.now
	q.pass(60 * ms)
	if bad := q.c.endpoints[0].consecutiveFailures; !q.msgs[2].out || bad != 0 {
		t.Errorf("answered since: %d failures, the call out %v", bad, q.msgs[2].out)
	}
	a, e := largeFleetAtLimit(t) // nobody hears one that is alone
	a.c.adjustLimitFraction(&attempt{endpoint: e, sentAt: a.now}, Rejected, nil)
	a.pass(time.Second)
	n := len(a.told)
	a.c.advanceClock(a.now)
	a.c.recordHealth(e, a.now, ConnectFailed, 0)
	if !a.c.peers.Isolated(a.now) || len(a.told) != n {
		t.Errorf("alone %v, told %+v", a.c.peers.Isolated(a.now), a.told[n:])
	}
}

// Where some endpoints of a destination are dead and others serve, one of many that meets the dead ones in a row goes on with the
// others at once. Where all have failed it is an outage. A few siblings see enough to take three failures for one.
func TestFailedEndpointsAreNoOutage(t *testing.T) {
	for _, c := range []struct {
		siblings, dead int
		result         Result
		open           bool
	}{
		{80, 3, ConnectFailed, false}, {80, 3, TimedOut, false}, {80, 6, ConnectFailed, true}, {80, 3, Rejected, true}, {4, 3, ConnectFailed, true},
	} {
		set := settings()
		set.FleetSize, set.CanGossip, set.MaxAttempts = c.siblings, true, 99
		r := newRecorder(t, set)
		r.ready(0, 6)
		r.arrive(1, 0, 0)
		for n := 0; n < c.dead; n++ { // one endpoint after the other, as each that has failed comes last
			if !r.msgs[1].out {
				break
			}
			r.pass(10 * ms)
			r.answer(1, c.result, 0)
		}
		if open := r.c.destination(0).sharedRoute.breaker.open; open != c.open {
			t.Errorf("%d siblings, %d of 6 dead, result %d: open %v", c.siblings, c.dead, c.result, open)
		}
		if m := r.msgs[1]; !c.open && !m.out {
			t.Errorf("%d siblings, %d of 6 dead, result %d: the message does not go on", c.siblings, c.dead, c.result)
		}
	}
}
