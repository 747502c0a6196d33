package control

import (
	"strings"
	"testing"
	"time"
)

// Calls keep to a told limit.
func TestRateKeepsReportedLimit(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.serve(100*ms, 50*ms, 0.1, 4)
	for id := MessageID(2); id < 60; id++ {
		r.arrive(id, 0, 0)
	}
	before := len(r.trace)
	r.serve(3*time.Second, 50*ms, 0.1, 4)
	sends := strings.Count(strings.Join(r.trace[before:], "\n"), "send ")
	if sends < 6 || sends > 16 {
		t.Fatalf("%d calls in 3 s at a limit of 4 a second", sends)
	}
}

// A told wait halts its destination; where routes are apart, its endpoint only.
func TestRetryAfter(t *testing.T) {
	for _, apart := range []bool{false, true} {
		set := settings()
		set.Kinds[0].SeparateRoutes = apart
		r := newRecorder(t, set)
		r.ready(0, 2)
		m := r.arrive(1, 0, 0)
		first := m.to
		r.pass(10 * ms)
		r.answer(1, Rejected, 800*ms)
		r.pass(600 * ms)
		if apart != (m.sends == 2) || apart && m.to == first {
			t.Fatalf("apart %v: %d sends, to %d after %d", apart, m.sends, m.to, first)
		}
		r.pass(600 * ms)
		if m.sends != 2 {
			t.Fatalf("apart %v: not sent after the wait", apart)
		}
	}
}

// A wait told with an answer that served binds like any other: the recorder
// breaks off if anything is sent before it is over.
func TestRetryAfterWithServedAnswer(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.pass(10 * ms)
	r.answer(1, Served, 400*ms)
	m := r.arrive(2, 0, 0)
	if m.out {
		t.Fatal("sent during the wait")
	}
	r.pass(500 * ms)
	if m.sends == 0 {
		t.Fatal("not sent after the wait")
	}
}
