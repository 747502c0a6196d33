package control

import (
	"testing"
	"time"
)

// Quick refusals and time-outs must not move T_m.
func TestCallTimeFromServedOnly(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	r.arrive(1, 0, 0)
	r.pass(200 * ms)
	r.answer(1, Served, 0)
	before := r.c.destination(0).callTime.mean
	r.arrive(2, 0, 0)
	r.pass(5 * ms)
	r.answer(2, Rejected, 0)
	r.pass(3 * time.Second)
	if got := r.c.destination(0).callTime.mean; got != before {
		t.Fatalf("T_m moved from %v to %v", before, got)
	}
}

// What an instance finds at one instant after it stood still opens no route and teaches no call time, in
// whatever order it comes.
func TestStallIsNotMeasured(t *testing.T) {
	for _, jobsFirst := range []bool{false, true} {
		r := newRecorder(t, settings())
		id := MessageID(0)
		for dest := range 3 {
			r.ready(dest, 1)
		}
		for range 20 {
			for dest := range 3 {
				id++
				r.arrive(id, 0, dest)
			}
			r.serve(120*ms, 100*ms)
		}
		before := r.c.destination(0).callTime.mean
		r.arrive(1000, 0, 0)
		r.arrive(1001, 0, 1)
		r.now += 1900 * ms
		if jobsFirst {
			r.c.Submit(r.now, Message{ID: 1002, Destination: 2, TimeLeft: 8000 * ms})
		}
		for i, w := range r.wakes {
			if i%2 == 0 {
				r.c.TimerFired(r.now, w.token)
			}
		}
		for _, m := range []MessageID{1000, 1001} {
			r.msgs[m].final, r.msgs[m].out = "served", false
			r.c.AttemptDone(r.now, Outcome{ID: m, Endpoint: r.msgs[m].to, Result: Served, Elapsed: 1900 * ms, Final: true})
		}
		r.msgs[1002] = &tracked{class: r.set.Classes[0], due: r.now + 8000*ms, Message: Message{Destination: 2}}
		r.c.Decide(r.now)
		for dest := range 3 {
			if d := r.c.destination(dest); d.sharedRoute.breaker.open || d.concurrencyReduced {
				t.Errorf("jobs first %v: destination %d taken for failed", jobsFirst, dest)
			}
		}
		if d := r.c.destination(0); d.callTime.mean != before || len(r.probes) > 0 {
			t.Errorf("jobs first %v: T_m %v became %v, %d probes", jobsFirst, before, d.callTime.mean, len(r.probes))
		}
	}
}

// The first call to a destination is judged by what all the others taught.
func TestFirstCallUsesOverallCallTime(t *testing.T) {
	r := newRecorder(t, settings())
	for dest := range 12 {
		r.ready(dest, 1)
		r.arrive(MessageID(dest+1), 0, dest)
		r.serve(120*ms, 100*ms)
	}
	r.ready(50, 1)
	m := r.arrive(90, 0, 50)
	if tm := r.c.destination(50).callTime.mean; tm < 80*ms || tm > 130*ms || m.timeout > time.Duration(idempotentTimeoutFactor*float64(350*ms)) {
		t.Fatalf("T_m %v, time-out %v where calls take 100 ms", tm, m.timeout)
	}
}

// When calls take longer everywhere, one to a destination met long ago is not taken for hung.
func TestSlownessEverywhereIsNotUnresponsive(t *testing.T) {
	r := newRecorder(t, settings())
	for dest := range 12 {
		r.ready(dest, 1)
		r.arrive(MessageID(dest+1), 0, dest)
		r.serve(120*ms, 100*ms)
	}
	d, k := r.c.destination(0), &r.set.Classes[0]
	before := r.c.expectedCallTime(d, k)
	for id := MessageID(100); id < 160; id++ {
		r.arrive(id, 0, 1+int(id)%11)
		r.serve(260*ms, 250*ms)
		for dest := 1; dest < 12; dest++ {
			r.c.destination(dest).callTime.mean = 100 * ms
		}
	}
	if after := r.c.expectedCallTime(d, k); after < before*7/4 {
		t.Fatalf("usual call %v became %v though all calls take 2.5 times as long", before, after)
	}
}
