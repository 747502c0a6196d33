package control

import (
	"testing"
	"time"
)

// A successor restores the route states of its predecessor: a Retry-After stays in force, an open circuit stays open
// until a trial, a slow start continues, and the calls in flight of the other process use slots.
func TestRestoreRoutes(t *testing.T) {
	predecessor := newRecorder(t, testSettings())
	predecessor.addReady(0, 1)
	predecessor.addReady(1, 1)
	predecessor.addReady(2, 1)
	predecessor.submit(1, 0, 0)
	predecessor.answer(1, Rejected, 900*ms) // a Retry-After
	for id := MessageID(10); id < 10+circuitOpenFailures; id++ {
		predecessor.submit(id, 2, 1)
		predecessor.answer(id, Failed, 0) // an outage
	}
	recoveringRoute := predecessor.c.endpoints[200].route
	predecessor.c.startSlowStart(recoveringRoute) // a slow start
	predecessor.advance(200 * ms)
	states := predecessor.c.RouteStates(predecessor.now)
	successor := newRecorder(t, testSettings())
	successor.addReady(0, 1)
	successor.addReady(1, 1)
	successor.addReady(2, 1)
	successor.c.RestoreRoutes(successor.now, append(states, RouteState{Endpoint: 999, RetryAfter: time.Hour}))
	successor.list[0].retryAfter = successor.now + 700*ms // the recorder fails the test on an earlier send
	delayed := successor.submit(1, 0, 0)
	successor.advance(690 * ms)
	if delayed.attempts > 0 {
		t.Error("sent before the Retry-After has passed")
	}
	successor.advance(200 * ms)
	if delayed.attempts != 1 {
		t.Errorf("sent %d times after the Retry-After", delayed.attempts)
	}
	if route := successor.c.endpoints[100].route; !route.breaker.open {
		t.Error("the open circuit was not restored")
	}
	route := successor.c.endpoints[200].route
	if !route.slowStart.active || successor.now-route.slowStart.recoveredAt < 200*ms {
		t.Errorf("slow start active %v, recovered for %v", route.slowStart.active, successor.now-route.slowStart.recoveredAt)
	}
	successor.c.SetRemoteInFlight(successor.now, successor.cfg.MaxInFlight-1)
	successor.addReady(3, 1)
	// Message 1 uses the only slot that is left for this process.
	if a, b := successor.submit(20, 0, 3), successor.submit(21, 0, 3); a.inFlight || b.inFlight {
		t.Error("more calls in flight than slots")
	}
	successor.c.SetRemoteInFlight(successor.now, 0)
	successor.advance(100 * ms)
	if !successor.messages[20].inFlight || !successor.messages[21].inFlight {
		t.Error("nothing sent though slots are free")
	}
	// The Retry-After of a remote outcome applies as well.
	successor.c.RemoteOutcome(successor.now, Outcome{Endpoint: 300, Result: Rejected, RetryAfter: 400 * ms}, 50*ms)
	successor.answer(20, Served, 0)
	successor.answer(21, Served, 0)
	if m := successor.submit(22, 0, 3); m.attempts > 0 {
		t.Error("sent before the Retry-After of a remote outcome has passed")
	}
}
