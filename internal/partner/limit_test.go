package partner

import (
	"testing"
	"time"
)

// At the boundary of a window: a call just before it is rejected with a Retry-After that ends at the boundary, and a
// call at the boundary is admitted.
func TestWindowEdge(t *testing.T) {
	m := newModel(t, func(s *Spec) {
		s.Limit, s.RetryAfterShare, s.Servers = Limit{Form: Window, PerSecond: 2, Window: time.Second}, 1, 10
	})
	sendCall(t, m, 0, "a", 0)
	sendCall(t, m, 0, "a", 0)
	m.Advance(900 * ms)
	m.Answers()
	sendCall(t, m, 999*ms, "a", 0)
	if a := onlyAnswer(t, m); a.Kind != Rejected || a.RetryAfter != ms {
		t.Errorf("before the boundary: %+v", a)
	}
	sendCall(t, m, 1000*ms, "a", 0)
	m.Advance(1500 * ms)
	if a := onlyAnswer(t, m); a.Kind != Delivered {
		t.Errorf("at the boundary: %+v", a)
	}
}

// Rejected calls that count against the limit keep it exhausted for as long as they arrive.
func TestRejectedCallsUseUpLimit(t *testing.T) {
	for _, countRejected := range []bool{false, true} {
		m := newModel(t, func(s *Spec) {
			s.Limit = Limit{Form: Rate, PerSecond: 10, Burst: 200 * ms, CountRejected: countRejected}
			s.Servers, s.QueueLength = 100, 100
		})
		for i := range 100 { // twice the limit for 5 s
			sendCall(t, m, time.Duration(i)*50*ms, "a", 0)
		}
		m.Advance(10 * time.Second)
		served := 0
		for _, a := range m.Answers() {
			if a.Kind == Delivered {
				served++
			}
		}
		if !countRejected && (served < 49 || served > 53) || countRejected && served > 10 {
			t.Errorf("rejected calls count: %t: %d of 100 served", countRejected, served)
		}
	}
}

// After the Retry-After of a rate limit there is capacity for a call. While an endpoint is shut, Retry-After is the
// time to the end of the fault.
func TestCapacityAfterRetryAfter(t *testing.T) {
	m := newModel(t, func(s *Spec) {
		s.Limit, s.RetryAfterShare, s.Servers, s.QueueLength = Limit{Form: Rate, PerSecond: 5}, 1, 100, 100
	})
	sendCall(t, m, 0, "a", 0)
	sendCall(t, m, 0, "a", 0)
	a := onlyAnswer(t, m)
	if a.Kind != Rejected || a.RetryAfter != 200*ms {
		t.Fatalf("%+v", a)
	}
	sendCall(t, m, a.RetryAfter, "a", 0)
	m.Advance(time.Second)
	for _, a := range m.Answers() {
		if a.Kind != Delivered {
			t.Errorf("%+v", a)
		}
	}
	m.SetFault(time.Second, "a", Fault{Mode: Shut, Until: 4 * time.Second})
	sendCall(t, m, 2*time.Second, "a", 0)
	if a := onlyAnswer(t, m); a.Kind != Rejected || a.RetryAfter != 2*time.Second {
		t.Errorf("shut: %+v", a)
	}
}

// Separate routes have their own limits, outages and slow starts.
func TestSeparateRoutes(t *testing.T) {
	m := newModel(t, func(s *Spec) {
		s.Endpoints, s.SeparateRoutes = []EndpointSpec{{"a", 0}, {"b", 1}}, true
		s.Limit, s.Servers, s.QueueLength = Limit{Form: Rate, PerSecond: 1}, 10, 10
	})
	for _, id := range []string{"a", "b", "a", "b"} {
		sendCall(t, m, 0, id, 0)
	}
	m.Advance(time.Second)
	kinds := map[AnswerKind]int{}
	for _, a := range m.Answers() {
		kinds[a.Kind]++
	}
	m.SetFault(time.Second, "a", Fault{Mode: Down})
	m.SetFault(2*time.Second, "a", Fault{})
	if kinds[Delivered] != 2 || kinds[Rejected] != 2 || m.Capacity("a") > 0.3 || m.Capacity("b") != 1 {
		t.Errorf("%v, capacities %.2f %.2f", kinds, m.Capacity("a"), m.Capacity("b"))
	}
}
