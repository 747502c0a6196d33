package control

import (
	"strings"
	"testing"
	"time"
)

// outage opens the route of destination 0 by a hang that lasts.
func outage(r *recorder) {
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.pass(100 * ms)
	r.answer(1, Served, 0)
	for id := MessageID(2); id < 10; id++ {
		r.arrive(id, 0, 0)
		r.pass(300 * ms)
	}
}

// A hung destination must not take the slots, and is tested by lone probes.
func TestUnresponsiveDestinationLeavesSlots(t *testing.T) {
	r := newRecorder(t, settings())
	outage(r)
	if n := r.out(0); n > r.set.MaxInFlight/2 {
		t.Fatalf("%d calls out at a hung destination", n)
	}
	if !r.c.destination(0).sharedRoute.breaker.open || len(r.probes) == 0 {
		t.Fatalf("the route should be open and probed: %v", r.trace)
	}
	r.ready(1, 1)
	if m := r.arrive(50, 0, 1); !m.out {
		t.Fatal("another destination got no slot")
	}
}

// Without probes a lone call tests an open route.
func TestTrialCallWithoutHealthChecks(t *testing.T) {
	set := settings()
	set.CanHealthCheck = false
	r := newRecorder(t, set)
	outage(r)
	sends := 0
	for _, m := range r.msgs {
		sends += m.sends
	}
	r.pass(4 * time.Second)
	after := 0
	for _, m := range r.msgs {
		after += m.sends
	}
	if len(r.probes) > 0 || after == sends || after > sends+8 {
		t.Fatalf("%d probes, %d calls in 4 s of outage", len(r.probes), after-sends)
	}
}

// A single refusal between served calls is no outage: no slow start follows.
func TestRejectionIsNoOutage(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	for id := MessageID(1); id < 20; id++ {
		r.arrive(id, 0, 0)
		r.pass(50 * ms)
		if id%4 == 0 {
			r.answer(id, Rejected, 0)
		} else {
			r.answer(id, Served, 0)
		}
		r.serve(200*ms, 50*ms)
	}
	if rt := r.c.destination(0).sharedRoute; rt.breaker.open || rt.slowStart.active {
		t.Fatalf("open %v, warming %v", rt.breaker.open, rt.slowStart.active)
	}
}

// A long told wait is an outage: one test after it, not all that is queued.
func TestLongWaitIsOutage(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.pass(50 * ms)
	r.answer(1, Rejected, 2*r.set.OverloadWindow)
	for id := MessageID(2); id < 12; id++ {
		r.arrive(id, 0, 0)
	}
	r.pass(2*r.set.OverloadWindow - 50*ms)
	before := len(r.trace)
	r.pass(r.set.OverloadWindow)
	tests := strings.Count(strings.Join(r.trace[before:], "\n"), "send ")
	if tests > 2 {
		t.Fatalf("%d sends within a fall window of the end of a long wait", tests)
	}
	r.pass(r.set.WarmUp)
	if after := strings.Count(strings.Join(r.trace, "\n"), "send "); after < 2 {
		t.Fatal("never tested after the wait")
	}
}

// A call from before a long told wait that is served in it does not undo the outage:
// `cleathold lab sim` found returning partners pushed over after such an answer.
func TestLateAnswerDoesNotEndOutage(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.arrive(2, 0, 0)
	r.pass(50 * ms)
	if r.out(0) != 2 {
		t.Fatalf("%d calls out", r.out(0))
	}
	r.answer(1, Rejected, 2*r.set.OverloadWindow)
	r.pass(20 * ms)
	r.answer(2, Served, 0)
	for id := MessageID(3); id < 13; id++ {
		r.arrive(id, 0, 0)
	}
	r.pass(2*r.set.OverloadWindow - 50*ms)
	before := len(r.trace)
	r.pass(r.set.OverloadWindow)
	if tests := strings.Count(strings.Join(r.trace[before:], "\n"), "send "); tests > 2 {
		t.Fatalf("%d sends within a fall window of the end of a long wait", tests)
	}
}

// Refusals above a limit, with served calls between them, are no outage: the
// route stays open to ordinary calls, at a pace that each refusal lowers and
// served calls raise again.
func TestRejectionsBetweenAnswers(t *testing.T) {
	set := settings()
	set.WeightKind = WeightsApproximate
	r := newRecorder(t, set)
	r.lists(ListDelta, Endpoint{ID: 1, State: Ready, Weight: 20})
	e := r.c.endpoints[1]
	r.arrive(1, 0, 0)
	r.pass(50 * ms)
	r.answer(1, Served, 0)
	whole := r.c.sendRate(e)
	m := r.arrive(2, 0, 0)
	for range 2 * circuitOpenFailures {
		for !m.out {
			r.pass(50 * ms)
		}
		r.answer(2, Rejected, 0)
	}
	low := r.c.sendRate(e)
	if e.route.breaker.open || low >= whole/2 {
		t.Fatalf("open %t, pace %.1f of %.1f", e.route.breaker.open, low, whole)
	}
	for !m.out {
		r.pass(50 * ms)
	}
	r.answer(2, Served, 0)
	for id := MessageID(3); id < 20; id++ {
		for m := r.arrive(id, 0, 0); !m.out; {
			r.pass(50 * ms)
		}
		r.answer(id, Served, 0)
	}
	if up := r.c.sendRate(e); up <= low || up > whole {
		t.Errorf("pace %.1f after %.1f and %.1f", up, whole, low)
	}
}

// A shut destination is tested often enough that its return is not missed for
// long: what waits for it meanwhile runs out of time.
func TestOpenCircuitTrialInterval(t *testing.T) {
	set := settings()
	set.WeightKind = WeightsApproximate
	r := newRecorder(t, set)
	r.lists(ListDelta, Endpoint{ID: 1, State: Ready, Weight: 20})
	m := r.arrive(1, 0, 0)
	most, last := time.Duration(0), time.Duration(0)
	for n := range 10 {
		for m.final == "" && !m.out {
			r.pass(10 * ms)
		}
		if m.final != "" {
			m = r.arrive(MessageID(n+2), 0, 0)
			continue
		}
		if r.c.endpoints[1].route.breaker.open && last > 0 {
			most = max(most, r.c.now-last)
		}
		last = r.c.now
		r.pass(10 * ms)
		r.answer(m.ID, Rejected, 0)
	}
	if limit := set.WarmUp / 4; most == 0 || most > limit {
		t.Errorf("tests %v apart, %v at most", most, limit)
	}
}
