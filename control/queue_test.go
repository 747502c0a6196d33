package control

import (
	"testing"
	"time"
)

// A fresh message is sent before deferred ones, which are sent once no fresh message is left.
func TestFreshBeforeDeferred(t *testing.T) {
	cfg := testSettings()
	cfg.MaxInFlight = 1
	r := newRecorder(t, cfg)
	r.addReady(0, 1)
	blocker := r.submit(1, 0, 0)
	deferred := r.submitMessage(Message{ID: 2, Destination: 0, TimeLeft: cfg.Classes[0].Deadline - 1500*ms})
	fresh := r.submit(3, 0, 0)
	r.advance(50 * ms)
	if !blocker.inFlight || deferred.inFlight || fresh.inFlight {
		t.Fatal("only the first message should use the one slot")
	}
	r.answer(1, Served, 0)
	if deferred.inFlight || !fresh.inFlight {
		t.Fatal("the fresh message should be sent before the deferred one")
	}
	r.answer(3, Served, 0)
	if !deferred.inFlight {
		t.Fatal("the deferred message should be sent once no fresh one is left")
	}
}

// A message that can no longer meet its deadline is rejected at once, with a Retry-After.
func TestRejectedWhenDeadlineCannotBeMet(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 1)
	r.submit(1, 0, 0)
	r.advance(400 * ms)
	r.answer(1, Served, 0)
	late := r.submitMessage(Message{ID: 2, Destination: 0, TimeLeft: 100 * ms})
	if late.outcome != "rejected" || late.retryAfter <= 0 {
		t.Fatalf("got %q with Retry-After %v", late.outcome, late.retryAfter)
	}
	noEndpoint := r.submitMessage(Message{ID: 3, Destination: 9, TimeLeft: 500 * ms})
	expired := r.submitMessage(Message{ID: 4, Destination: 0, TimeLeft: 0})
	r.advance(time.Second)
	if noEndpoint.outcome != "rejected" || expired.outcome != "rejected" {
		t.Fatalf("no endpoint: %q, no time: %q", noEndpoint.outcome, expired.outcome)
	}
}

// A slow destination must not occupy the last slots, which fast destinations need.
func TestSlowDestinationLeavesLastSlots(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 2)
	r.addReady(1, 2)
	id := MessageID(0)
	for range 60 {
		id++
		r.submit(id, 0, 1)
		r.serve(60*ms, 50*ms)
	}
	r.c.destination(0).callTime.mean = 900 * ms
	for range 20 {
		id++
		r.submit(id, 0, 0)
	}
	if n := r.attemptsInFlight(0); n == 0 || n > 6 {
		t.Fatalf("a slow destination uses %d of 8 slots", n)
	}
	id++
	if m := r.submit(id, 0, 1); !m.inFlight {
		t.Fatal("no slot left for the fast destination")
	}
}

func TestClassWeight(t *testing.T) {
	class := Class{LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 4, LateWeight: 0.25}
	for _, c := range []struct {
		age    time.Duration
		even   float64
		halved float64
	}{{0, 4, 4}, {time.Second, 4, 4}, {2 * time.Second, 3.25, 2}, {3 * time.Second, 2.5, 1}, {9 * time.Second, 1, 1}} {
		if even, halved := class.weightAt(c.age, false), class.weightAt(c.age, true); even != c.even || halved != c.halved {
			t.Errorf("at %v: %v and %v, want %v and %v", c.age, even, halved, c.even, c.halved)
		}
	}
}

func TestSlotYield(t *testing.T) {
	var y slotYield
	if y.low(0) {
		t.Error("low yield before any call")
	}
	for range 500 {
		y.record(1, 100*ms) // yield of 10 per second
	}
	if !y.low(4.9) || y.low(5.1) {
		t.Errorf("low at 4.9 %v, at 5.1 %v", y.low(4.9), y.low(5.1))
	}
}
