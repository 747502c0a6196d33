package control

import (
	"strings"
	"testing"
	"time"
)

// causeOutage makes destination 0 stop answering, which opens its circuit.
func causeOutage(r *recorder) {
	r.addReady(0, 2)
	r.submit(1, 0, 0)
	r.advance(100 * ms)
	r.answer(1, Served, 0)
	for id := MessageID(2); id < 10; id++ {
		r.submit(id, 0, 0)
		r.advance(300 * ms)
	}
}

// An unresponsive destination must not occupy all slots, and receives health checks.
func TestUnresponsiveDestinationLeavesSlots(t *testing.T) {
	r := newRecorder(t, testSettings())
	causeOutage(r)
	if n := r.attemptsInFlight(0); n > r.cfg.MaxInFlight/2 {
		t.Fatalf("%d calls in flight at an unresponsive destination", n)
	}
	if !r.c.destination(0).sharedRoute.breaker.open || len(r.healthChecks) == 0 {
		t.Fatalf("the circuit should be open and health checks sent: %v", r.trace)
	}
	r.addReady(1, 1)
	if m := r.submit(50, 0, 1); !m.inFlight {
		t.Fatal("no slot left for another destination")
	}
}

// Without health checks an open circuit is tested by trial calls.
func TestTrialCallWithoutHealthChecks(t *testing.T) {
	cfg := testSettings()
	cfg.CanHealthCheck = false
	r := newRecorder(t, cfg)
	causeOutage(r)
	sends := 0
	for _, m := range r.messages {
		sends += m.attempts
	}
	r.advance(4 * time.Second)
	after := 0
	for _, m := range r.messages {
		after += m.attempts
	}
	if len(r.healthChecks) > 0 || after == sends || after > sends+8 {
		t.Fatalf("%d health checks, %d calls in 4 s of outage", len(r.healthChecks), after-sends)
	}
}

// A single rejection among served calls is no outage: no slow start follows.
func TestRejectionIsNoOutage(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 1)
	for id := MessageID(1); id < 20; id++ {
		r.submit(id, 0, 0)
		r.advance(50 * ms)
		if id%4 == 0 {
			r.answer(id, Rejected, 0)
		} else {
			r.answer(id, Served, 0)
		}
		r.serve(200*ms, 50*ms)
	}
	if route := r.c.destination(0).sharedRoute; route.breaker.open || route.slowStart.active {
		t.Fatalf("open %v, slow start %v", route.breaker.open, route.slowStart.active)
	}
}

// A long Retry-After counts as an outage: a trial call follows it instead of all queued messages.
func TestLongRetryAfterIsOutage(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 2)
	r.submit(1, 0, 0)
	r.advance(50 * ms)
	r.answer(1, Rejected, 2*r.cfg.OverloadWindow)
	for id := MessageID(2); id < 12; id++ {
		r.submit(id, 0, 0)
	}
	r.advance(2*r.cfg.OverloadWindow - 50*ms)
	before := len(r.trace)
	r.advance(r.cfg.OverloadWindow)
	sends := strings.Count(strings.Join(r.trace[before:], "\n"), "send ")
	if sends > 2 {
		t.Fatalf("%d sends within an overload window after the end of a long Retry-After", sends)
	}
	r.advance(r.cfg.WarmUp)
	if after := strings.Count(strings.Join(r.trace, "\n"), "send "); after < 2 {
		t.Fatal("no trial call after the Retry-After")
	}
}

// A call that was sent before a long Retry-After and is served while it lasts does not end the outage. When it did,
// recovering partners were overloaded after such an answer in `cleathold lab sim`.
func TestLateAnswerDoesNotEndOutage(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 2)
	r.submit(1, 0, 0)
	r.submit(2, 0, 0)
	r.advance(50 * ms)
	if r.attemptsInFlight(0) != 2 {
		t.Fatalf("%d calls in flight", r.attemptsInFlight(0))
	}
	r.answer(1, Rejected, 2*r.cfg.OverloadWindow)
	r.advance(20 * ms)
	r.answer(2, Served, 0)
	for id := MessageID(3); id < 13; id++ {
		r.submit(id, 0, 0)
	}
	r.advance(2*r.cfg.OverloadWindow - 50*ms)
	before := len(r.trace)
	r.advance(r.cfg.OverloadWindow)
	if sends := strings.Count(strings.Join(r.trace[before:], "\n"), "send "); sends > 2 {
		t.Fatalf("%d sends within an overload window after the end of a long Retry-After", sends)
	}
}

// Rejections above a limit with served calls among them are no outage: the circuit stays closed, each rejection lowers
// the rate and served calls raise it again.
func TestRejectionsAmongServedCalls(t *testing.T) {
	cfg := testSettings()
	cfg.WeightKind = WeightsApproximate
	r := newRecorder(t, cfg)
	r.updateList(ListDelta, Endpoint{ID: 1, State: Ready, Weight: 20})
	e := r.c.endpoints[1]
	r.submit(1, 0, 0)
	r.advance(50 * ms)
	r.answer(1, Served, 0)
	fullRate := r.c.sendRate(e)
	m := r.submit(2, 0, 0)
	for range 2 * circuitOpenFailures {
		for !m.inFlight {
			r.advance(50 * ms)
		}
		r.answer(2, Rejected, 0)
	}
	reducedRate := r.c.sendRate(e)
	if e.route.breaker.open || reducedRate >= fullRate/2 {
		t.Fatalf("open %t, rate %.1f of %.1f", e.route.breaker.open, reducedRate, fullRate)
	}
	for !m.inFlight {
		r.advance(50 * ms)
	}
	r.answer(2, Served, 0)
	for id := MessageID(3); id < 20; id++ {
		for m := r.submit(id, 0, 0); !m.inFlight; {
			r.advance(50 * ms)
		}
		r.answer(id, Served, 0)
	}
	if raisedRate := r.c.sendRate(e); raisedRate <= reducedRate || raisedRate > fullRate {
		t.Errorf("rate %.1f after a full rate of %.1f and a reduced rate of %.1f", raisedRate, fullRate, reducedRate)
	}
}

// Trial calls of an open circuit are frequent enough to detect a recovery soon.
func TestOpenCircuitTrialInterval(t *testing.T) {
	cfg := testSettings()
	cfg.WeightKind = WeightsApproximate
	r := newRecorder(t, cfg)
	r.updateList(ListDelta, Endpoint{ID: 1, State: Ready, Weight: 20})
	m := r.submit(1, 0, 0)
	maxInterval, lastSentAt := time.Duration(0), time.Duration(0)
	for n := range 10 {
		for m.outcome == "" && !m.inFlight {
			r.advance(10 * ms)
		}
		if m.outcome != "" {
			m = r.submit(MessageID(n+2), 0, 0)
			continue
		}
		if r.c.endpoints[1].route.breaker.open && lastSentAt > 0 {
			maxInterval = max(maxInterval, r.c.now-lastSentAt)
		}
		lastSentAt = r.c.now
		r.advance(10 * ms)
		r.answer(m.ID, Rejected, 0)
	}
	if limit := cfg.WarmUp / 4; maxInterval == 0 || maxInterval > limit {
		t.Errorf("trial calls are up to %v apart, want at most %v", maxInterval, limit)
	}
}

func TestCircuitBreaker(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name     string
		breaker  circuitBreaker
		now      time.Duration
		noChecks bool // the host cannot send health checks
		trial    bool
	}{
		{"before the trial", circuitBreaker{open: true, nextTrial: 5 * s}, 4 * s, false, false},
		{"trial due", circuitBreaker{open: true, nextTrial: 5 * s}, 5 * s, false, true},
		{"health check first", circuitBreaker{open: true, nextTrial: 5 * s, healthCheckFirst: true}, 5 * s, false, false},
		{"no health checks", circuitBreaker{open: true, nextTrial: 5 * s, healthCheckFirst: true}, 5 * s, true, true},
		{"health check answered",
			circuitBreaker{open: true, nextTrial: 5 * s, healthCheckFirst: true, healthCheckSucceeded: true}, s, false, true},
	} {
		if trial := c.breaker.allowsTrial(c.now, !c.noChecks); trial != c.trial {
			t.Errorf("%s: trial %v", c.name, trial)
		}
	}
	var b circuitBreaker
	for i, c := range []struct {
		now, sentAt time.Duration
		counts      bool
		// the last call was sent before the previous failure
	}{{s, 0, true}, {2 * s, 1500 * ms, true}, {2100 * ms, 1900 * ms, false}} {
		if counts := b.recordFailure(c.now, c.sentAt); counts != c.counts {
			t.Errorf("failure %d counts: %v", i, counts)
		}
	}
	for i, interval := range []time.Duration{s, 2 * s, 3 * s, 3 * s} { // doubles up to 3 s
		if b.trip(10*s, 100*ms, s, 3*s, 0.5); !b.open || b.nextTrial != 10*s+interval {
			t.Errorf("trial %d after %v, want %v", i, b.nextTrial-10*s, interval)
		}
	}
	if b.close(); b.open || b.consecutiveFailures != 0 {
		t.Errorf("closed: %+v", b)
	}
}
