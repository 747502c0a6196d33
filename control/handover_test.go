package control

import (
	"testing"
	"time"
)

// What one controller knows of an endpoint holds in its successor: a Retry-After is kept to its end, an open circuit
// gets a trial before it closes, a slow start goes on, and calls in flight at the other process take slots.
func TestRestoreRoutes(t *testing.T) {
	old := newRecorder(t, settings())
	old.ready(0, 1)
	old.ready(1, 1)
	old.ready(2, 1)
	old.arrive(1, 0, 0)
	old.answer(1, Rejected, 900*ms) // told to wait
	for id := MessageID(10); id < 10+circuitOpenFailures; id++ {
		old.arrive(id, 2, 1)
		old.answer(id, Failed, 0) // an outage
	}
	back := old.c.endpoints[200].route
	old.c.startSlowStart(back) // a slow start
	old.advance(200 * ms)
	known := old.c.RouteStates(old.now)
	next := newRecorder(t, settings())
	next.ready(0, 1)
	next.ready(1, 1)
	next.ready(2, 1)
	next.c.RestoreRoutes(next.now, append(known, RouteState{Endpoint: 999, RetryAfter: time.Hour}))
	next.list[0].retryAfter = next.now + 700*ms // the recorder fails on a send before
	waits := next.arrive(1, 0, 0)
	next.advance(690 * ms)
	if waits.attempts > 0 {
		t.Error("sent within the wait")
	}
	next.advance(200 * ms)
	if waits.attempts != 1 {
		t.Errorf("sent %d times after the wait", waits.attempts)
	}
	if rt := next.c.endpoints[100].route; !rt.breaker.open {
		t.Error("an outage is forgotten")
	}
	if rt := next.c.endpoints[200].route; !rt.slowStart.active || next.now-rt.slowStart.recoveredAt < 200*ms {
		t.Errorf("the slow start: %v, since %v", rt.slowStart.active, next.now-rt.slowStart.recoveredAt)
	}
	next.c.SetRemoteInFlight(next.now, next.set.MaxInFlight-1)
	next.ready(3, 1)
	if a, b := next.arrive(20, 0, 3), next.arrive(21, 0, 3); a.out || b.out { // one is out, the others are abroad
		t.Error("more out than slots")
	}
	next.c.SetRemoteInFlight(next.now, 0)
	next.advance(100 * ms)
	if !next.messages[20].out || !next.messages[21].out {
		t.Error("nothing sent though slots are free")
	}
	// A call that is told of later binds, too.
	next.c.RemoteOutcome(next.now, Outcome{Endpoint: 300, Result: Rejected, RetryAfter: 400 * ms}, 50*ms)
	next.answer(20, Served, 0)
	next.answer(21, Served, 0)
	if m := next.arrive(22, 0, 3); m.attempts > 0 {
		t.Error("sent within a wait that another process was told")
	}
}
