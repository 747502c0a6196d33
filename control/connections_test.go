package control

import (
	"slices"
	"testing"
	"time"
)

// Connections that lose calls after lying idle are closed before the next call.
func TestStaleConnectionsClosed(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	id := MessageID(0)
	call := func(idle time.Duration, res Result) {
		r.pass(idle)
		id++
		r.arrive(id, 0, 0)
		r.pass(50 * ms)
		r.answer(id, res, 0)
		r.serve(100*ms, 50*ms)
	}
	for range 12 {
		call(20*ms, Served)
		call(20*ms, Served)
		call(1500*ms, ConnectionLost)
	}
	if len(r.closed) == 0 {
		t.Fatal("no idle connection was closed")
	}
	r2 := newRecorder(t, settings())
	outage(r2)
	if len(r2.closed) > 0 {
		t.Fatal("a hang is no reason to close connections")
	}
}

// Where partners refuse connections though they are well, an idle one is closed after its call, as it keeps
// siblings out; where none is refused, it is kept for the next call.
func TestScarceConnectionsAreClosed(t *testing.T) {
	for _, scarce := range []bool{false, true} {
		r := newRecorder(t, settings())
		r.ready(0, 1)
		r.ready(1, 1)
		if scarce {
			r.arrive(1, 0, 0)
			r.pass(10 * ms)
			r.answer(1, ConnectFailed, 0)
			r.serve(200*ms, 50*ms)
		}
		n := len(r.closed)
		r.arrive(2, 0, 1)
		r.serve(200*ms, 50*ms)
		if closed := len(r.closed) > n; closed != scarce {
			t.Errorf("connections scarce %v: closed %v", scarce, closed)
		}
	}
}

// In a large fleet connections are taken for scarce from the first call on: if each sender kept one, a partner
// that takes few would have no room for most of them. Calls that all find room show that there is enough.
func TestLargeFleetKeepsNoIdleConnections(t *testing.T) {
	for _, siblings := range []int{largeFleetSize - 1, largeFleetSize, 80} {
		set := settings()
		set.FleetSize = siblings
		r := newRecorder(t, set)
		r.ready(0, 1)
		r.arrive(1, 0, 0)
		r.serve(200*ms, 50*ms)
		if closed, want := len(r.closed) == 1, siblings >= largeFleetSize; closed != want {
			t.Errorf("%d siblings: first connection closed %v", siblings, closed)
		}
		for id := MessageID(2); id < 200; id++ {
			r.arrive(id, 0, 0)
			r.serve(200*ms, 50*ms)
		}
		if n := len(r.closed); n > 100 {
			t.Errorf("%d siblings: %d of 199 connections closed though all calls found room", siblings, n)
		}
	}
}

// Connections kept for the next call are closed after an ask for the list that failed: a drain that the list
// would have told may be met by new connections alone. An answer ends that.
func TestConnectionsClosedAfterListFailure(t *testing.T) {
	for _, c := range []struct {
		name  string
		what  func(r *recorder)
		after bool // the connection of the next call is closed, too
	}{
		{"list failed", func(r *recorder) { r.lists(ListFailed) }, true},
		{"list answered after it failed", func(r *recorder) { r.lists(ListFailed); r.lists(ListDelta) }, false},
	} {
		set := settings()
		set.FleetSize, set.CanGossip, set.PollsList = 80, true, true
		r := newRecorder(t, set)
		r.lists(ListFull, Endpoint{ID: 1, State: Ready})
		for id := MessageID(1); id < 99; id++ {
			r.arrive(id, 0, 0)
			r.serve(200*ms, 50*ms)
		}
		n := len(r.closed)
		c.what(r)
		r.pass(ms)
		if len(r.closed) != n+1 {
			t.Errorf("%s: the idle connection was closed %d times", c.name, len(r.closed)-n)
		}
		n = len(r.closed)
		r.arrive(100, 0, 0)
		r.serve(100*ms, 50*ms)
		if closed := len(r.closed) > n; closed != c.after {
			t.Errorf("%s: the next connection closed %v", c.name, closed)
		}
	}
}

// A partner without room for a connection is full of siblings: its limit is not met, nothing is told, and it is not
// out of order, whether or not it served this sender lately, which among hundreds means nothing. It is tried again
// within a call's time or so, and ever later as long as it has none.
func TestConnectionRejectionIsNoLimit(t *testing.T) {
	for _, lately := range []bool{true, false} {
		set := settings()
		set.FleetSize, set.CanGossip, set.WeightKind, set.HeadroomIndex, set.LimitIndex = 80, true, WeightsApproximate, -1, -1
		r := newRecorder(t, set)
		r.lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: 200})
		r.arrive(1, 0, 0)
		r.serve(200*ms, 50*ms)
		if !lately {
			r.pass(2 * set.OverloadWindow)
		}
		rt := r.c.destination(0).sharedRoute
		share := rt.limit.fraction
		m := r.arrive(2, 0, 0)
		tries := func(span time.Duration) int {
			before := m.sends
			for end := r.now + span; r.now < end; r.pass(5 * ms) {
				if m.out {
					r.answer(2, ConnectionRejected, 0)
				}
			}
			return m.sends - before
		}
		soon, later := tries(500*ms), tries(500*ms)
		refusals := slices.ContainsFunc(r.told, func(n Observation) bool { return n.Kind == ObservedRejection })
		if rt.breaker.open || rt.limit.fraction < share || refusals {
			t.Errorf("lately %v: open %v, share %v after %v, told %d", lately, rt.breaker.open, rt.limit.fraction, share, len(r.told))
		}
		if soon < 3 || later < 1 || later >= soon {
			t.Errorf("lately %v: tried %d times in 500 ms, then %d", lately, soon, later)
		}
	}
}
