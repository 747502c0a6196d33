package control

import (
	"testing"
	"time"
)

// What one controller knows of an endpoint holds in its successor: a Retry-After is kept to its end, an open circuit
// gets a trial before it closes, a slow start goes on, and calls in flight at the other process take slots.
func TestRestoreRoutes(t *testing.T) {
	predecessor := newRecorder(t, testSettings())
	predecessor.addReady(0, 1)
	predecessor.addReady(1, 1)
	predecessor.addReady(2, 1)
	predecessor.submit(1, 0, 0)
	predecessor.answer(1, Rejected, 900*ms) // told to wait
	for id := MessageID(10); id < 10+circuitOpenFailures; id++ {
		predecessor.submit(id, 2, 1)
		predecessor.answer(id, Failed, 0) // an outage
	}
	recovering := predecessor.c.endpoints[200].route
	predecessor.c.startSlowStart(recovering) // a slow start
	predecessor.advance(200 * ms)
	states := predecessor.c.RouteStates(predecessor.now)
	successor := newRecorder(t, testSettings())
	successor.addReady(0, 1)
	successor.addReady(1, 1)
	successor.addReady(2, 1)
	successor.c.RestoreRoutes(successor.now, append(states, RouteState{Endpoint: 999, RetryAfter: time.Hour}))
	successor.list[0].retryAfter = successor.now + 700*ms // the recorder fails on a send before
	delayed := successor.submit(1, 0, 0)
	successor.advance(690 * ms)
	if delayed.attempts > 0 {
		t.Error("sent within the wait")
	}
	successor.advance(200 * ms)
	if delayed.attempts != 1 {
		t.Errorf("sent %d times after the wait", delayed.attempts)
	}
	if route := successor.c.endpoints[100].route; !route.breaker.open {
		t.Error("an outage is forgotten")
	}
	route := successor.c.endpoints[200].route
	if !route.slowStart.active || successor.now-route.slowStart.recoveredAt < 200*ms {
		t.Errorf("the slow start: %v, since %v", route.slowStart.active, successor.now-route.slowStart.recoveredAt)
	}
	successor.c.SetRemoteInFlight(successor.now, successor.cfg.MaxInFlight-1)
	successor.addReady(3, 1)
	// one is out, the others are abroad
	if a, b := successor.submit(20, 0, 3), successor.submit(21, 0, 3); a.inFlight || b.inFlight {
		t.Error("more out than slots")
	}
	successor.c.SetRemoteInFlight(successor.now, 0)
	successor.advance(100 * ms)
	if !successor.messages[20].inFlight || !successor.messages[21].inFlight {
		t.Error("nothing sent though slots are free")
	}
	// A call that is told of later binds, too.
	successor.c.RemoteOutcome(successor.now, Outcome{Endpoint: 300, Result: Rejected, RetryAfter: 400 * ms}, 50*ms)
	successor.answer(20, Served, 0)
	successor.answer(21, Served, 0)
	if m := successor.submit(22, 0, 3); m.attempts > 0 {
		t.Error("sent within a wait that another process was told")
	}
}
