package control

import (
	"testing"
	"time"
)

// A fresh head goes before deferred ones; those go once none is left.
func TestFreshBeforeDeferred(t *testing.T) {
	set := settings()
	set.MaxInFlight = 1
	r := newRecorder(t, set)
	r.ready(0, 1)
	blocker := r.arrive(1, 0, 0)
	old := r.hand(Message{ID: 2, Destination: 0, TimeLeft: set.Classes[0].Deadline - 1500*ms})
	young := r.arrive(3, 0, 0)
	r.pass(50 * ms)
	if !blocker.out || old.out || young.out {
		t.Fatal("one slot should carry the first message only")
	}
	r.answer(1, Served, 0)
	if old.out || !young.out {
		t.Fatal("the fresh message should go before the deferred one")
	}
	r.answer(3, Served, 0)
	if !old.out {
		t.Fatal("the deferred message should go once no fresh one is left")
	}
}

// A message that can't meet its deadline any more is handed back at once, with advice.
func TestRejectedWhenDeadlineCannotBeMet(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	r.arrive(1, 0, 0)
	r.pass(400 * ms)
	r.answer(1, Served, 0)
	late := r.hand(Message{ID: 2, Destination: 0, TimeLeft: 100 * ms})
	if late.final != "refused" || late.advice <= 0 {
		t.Fatalf("got %q with advice %v", late.final, late.advice)
	}
	homeless := r.hand(Message{ID: 3, Destination: 9, TimeLeft: 500 * ms})
	spent := r.hand(Message{ID: 4, Destination: 0, TimeLeft: 0})
	r.pass(time.Second)
	if homeless.final != "refused" || spent.final != "refused" {
		t.Fatalf("no endpoint: %q, no time: %q", homeless.final, spent.final)
	}
}

// A slow destination may not take the last slots from quick ones.
func TestSlowDestinationLeavesLastSlots(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.ready(1, 2)
	id := MessageID(0)
	for range 60 {
		id++
		r.arrive(id, 0, 1)
		r.serve(60*ms, 50*ms)
	}
	r.c.destination(0).callTime.mean = 900 * ms
	for range 20 {
		id++
		r.arrive(id, 0, 0)
	}
	if n := r.out(0); n == 0 || n > 6 {
		t.Fatalf("%d calls of 8 slots out at a slow destination", n)
	}
	id++
	if m := r.arrive(id, 0, 1); !m.out {
		t.Fatal("the quick destination got no slot")
	}
}
