package control

import (
	"slices"
	"testing"
	"time"
)

// Rejections and timeouts do not change T_m.
func TestCallTimeFromServedOnly(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 1)
	r.submit(1, 0, 0)
	r.advance(200 * ms)
	r.answer(1, Served, 0)
	before := r.c.destination(0).callTime.mean
	r.submit(2, 0, 0)
	r.advance(5 * ms)
	r.answer(2, Rejected, 0)
	r.advance(3 * time.Second)
	if got := r.c.destination(0).callTime.mean; got != before {
		t.Fatalf("T_m changed from %v to %v", before, got)
	}
}

// Events that arrive together after a stall of the sender neither open a circuit nor change T_m, in any order.
func TestCallTimeExcludesSenderStall(t *testing.T) {
	for _, submitFirst := range []bool{false, true} {
		r := newRecorder(t, testSettings())
		id := MessageID(0)
		for dest := range 3 {
			r.addReady(dest, 1)
		}
		for range 20 {
			for dest := range 3 {
				id++
				r.submit(id, 0, dest)
			}
			r.serve(120*ms, 100*ms)
		}
		before := r.c.destination(0).callTime.mean
		r.submit(1000, 0, 0)
		r.submit(1001, 0, 1)
		r.now += 1900 * ms
		if submitFirst {
			r.c.Submit(r.now, Message{ID: 1002, Destination: 2, TimeLeft: 8000 * ms})
		}
		for i, timer := range r.timers {
			if i%2 == 0 {
				r.c.TimerFired(r.now, timer.token)
			}
		}
		for _, m := range []MessageID{1000, 1001} {
			r.messages[m].outcome, r.messages[m].inFlight = "served", false
			r.c.AttemptDone(r.now, Outcome{ID: m, Endpoint: r.messages[m].endpoint, Result: Served, Elapsed: 1900 * ms,
				Final: true})
		}
		r.messages[1002] = &trackedMessage{class: r.cfg.Classes[0], deadline: r.now + 8000*ms,
			Message: Message{Destination: 2}}
		r.c.Decide(r.now)
		for dest := range 3 {
			if d := r.c.destination(dest); d.sharedRoute.breaker.open || d.concurrencyReduced {
				t.Errorf("submission first %v: destination %d is treated as failed", submitFirst, dest)
			}
		}
		if d := r.c.destination(0); d.callTime.mean != before || len(r.healthChecks) > 0 {
			t.Errorf("submission first %v: T_m changed from %v to %v, %d health checks", submitFirst, before, d.callTime.mean,
				len(r.healthChecks))
		}
	}
}

// The first call to a destination uses the call time of all destinations.
func TestFirstCallUsesOverallCallTime(t *testing.T) {
	r := newRecorder(t, testSettings())
	for dest := range 12 {
		r.addReady(dest, 1)
		r.submit(MessageID(dest+1), 0, dest)
		r.serve(120*ms, 100*ms)
	}
	r.addReady(50, 1)
	m := r.submit(90, 0, 50)
	if tm := r.c.destination(50).callTime.mean; tm < 80*ms || tm > 130*ms ||
		m.timeout > time.Duration(idempotentTimeoutFactor*float64(350*ms)) {
		t.Fatalf("T_m %v, timeout %v though calls take 100 ms", tm, m.timeout)
	}
}

// When calls to all destinations take longer, a destination with an old T_m is not considered unresponsive.
func TestOverallSlowdownIsNotUnresponsive(t *testing.T) {
	r := newRecorder(t, testSettings())
	for dest := range 12 {
		r.addReady(dest, 1)
		r.submit(MessageID(dest+1), 0, dest)
		r.serve(120*ms, 100*ms)
	}
	dest, class := r.c.destination(0), &r.cfg.Classes[0]
	before := r.c.expectedCallTime(dest, class)
	for id := MessageID(100); id < 160; id++ {
		r.submit(id, 0, 1+int(id)%11)
		r.serve(260*ms, 250*ms)
		for dest := 1; dest < 12; dest++ {
			r.c.destination(dest).callTime.mean = 100 * ms
		}
	}
	if after := r.c.expectedCallTime(dest, class); after < before*7/4 {
		t.Fatalf("expected call time changed from %v to %v though all calls take 2.5 times as long", before, after)
	}
}

func TestCallTimeEstimate(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []time.Duration
		mean  time.Duration
		bound time.Duration
	}{
		{"no call", nil, 0, 700 * ms},
		{"one call", []time.Duration{100 * ms}, 100 * ms, 250 * ms},
		{"constant call time", slices.Repeat([]time.Duration{100 * ms}, 50), 100 * ms, 200 * ms},
		{"latest call has a weight of a quarter", []time.Duration{100 * ms, 200 * ms}, 125 * ms, 337500 * time.Microsecond},
	} {
		var estimate callTime
		for _, elapsed := range c.calls {
			estimate.update(elapsed)
		}
		if bound := estimate.upperBound(700 * ms); estimate.mean != c.mean || bound.Round(ms/2) != c.bound {
			t.Errorf("%s: T_m %v, upper bound %v; want %v and %v", c.name, estimate.mean, bound, c.mean, c.bound)
		}
	}
}

func TestStallDetector(t *testing.T) {
	for _, c := range []struct {
		name    string
		sentAt  time.Duration // send time of the call answered at 5 s, after answers every 100 ms up to 2 s
		stalled bool
	}{
		{"nothing answered for 3 s", time.Second, true},
		{"nothing in flight meanwhile", 4900 * ms, false},
	} {
		var stalls stallDetector
		for at := 100 * ms; at <= 2*time.Second; at += 100 * ms {
			stalls.recordAnswer(at, at-100*ms)
		}
		if stalls.recordAnswer(5*time.Second, c.sentAt); (stalls.stalledUntil > 0) != c.stalled {
			t.Errorf("%s: stalled until %v", c.name, stalls.stalledUntil)
		}
	}
}
