package control

import (
	"testing"
	"time"
)

// A message that had attempts before this controller gets what its class still
// allows, and its attempts count on.
func TestToldOfEarlierAttempts(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		ran   bool
		ago   time.Duration
		zone  int
		sends int
		want  string // "sent", "refused" or "failed"
	}{
		{"safe", 0, true, time.Hour, 0, 1, "sent"},
		{"safe, all attempts made", 0, true, 0, 0, 12, "refused"},
		{"keyed, remembered", 1, true, time.Second, 0, 1, "sent"},
		{"keyed, forgotten", 1, true, 5 * time.Second, 0, 1, "failed"},
		{"keyed, remembered elsewhere", 1, true, time.Second, 1, 1, "held"},
		{"unsafe, may have run", 2, true, time.Second, 0, 1, "failed"},
		{"unsafe, never ran", 2, false, 0, 0, 3, "sent"},
	} {
		set := settings()
		set.Classes[1].KeyZoneScoped = true
		r := newRecorder(t, set)
		r.ready(0, 1)
		m := r.hand(Message{ID: 1, Class: c.class, TimeLeft: 4 * time.Second, Attempts: c.sends, MayHaveRun: c.ran, FirstRunAgo: c.ago, FirstRunZone: c.zone})
		got := m.final
		switch {
		case m.out:
			got = "sent"
		case got == "":
			got = "held"
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
		if k := r.c.messages[1]; k != nil && m.out && k.sends != c.sends+1 {
			t.Errorf("%s: attempt %d", c.name, k.sends)
		}
	}
}

// A wait told with an answer that served binds like any other: the recorder
// breaks off if anything is sent before it is over.
func TestWaitWithServedAnswer(t *testing.T) {
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

// Where endpoints are routes apart the advice is the soonest of their waits,
// and where nothing is known it is not to come back at once.
func TestAdviceBySoonestRoute(t *testing.T) {
	set := settings()
	set.Kinds = []Kind{{MaxBatch: 1, SeparateRoutes: true}}
	r := newRecorder(t, set)
	r.ready(0, 2)
	m := r.arrive(1, 0, 0)
	r.answer(1, Rejected, 1900*ms) // goes to the other one
	r.answer(1, Rejected, 1400*ms)
	if m.out {
		t.Fatal("sent during the waits")
	}
	late := r.hand(Message{ID: 3, Destination: 0, TimeLeft: 5 * ms})
	if late.final != "refused" || late.advice != 1400*ms {
		t.Errorf("%q, advice %v", late.final, late.advice)
	}
	homeless := r.hand(Message{ID: 4, Destination: 9, TimeLeft: 5 * ms})
	if homeless.final != "refused" || homeless.advice != set.Classes[0].LatencyObjective {
		t.Errorf("without a target: %q, advice %v", homeless.final, homeless.advice)
	}
}

// Endpoints that left long ago are forgotten, with the destinations they were
// all of; one that comes back soon is known with its failures.
func TestForgotten(t *testing.T) {
	r := newRecorder(t, settings())
	for i := range 200 {
		r.lists(ListDelta, Endpoint{ID: EndpointID(1000 + i), Destination: 50 + i, State: Ready})
		r.lists(ListDelta, Endpoint{ID: EndpointID(1000 + i), Destination: 50 + i, State: Removed})
		if r.c.endpoints[EndpointID(1000+i)] == nil {
			t.Fatal("forgotten at once")
		}
		r.pass(time.Second)
	}
	keep := int((2*r.c.set.WarmUp+r.c.set.OverloadWindow+r.c.set.DrainGrace)/time.Second) + 1
	if len(r.c.endpoints) > keep || len(r.c.byID) > keep {
		t.Errorf("%d endpoints and %d destinations known, %d at most", len(r.c.endpoints), len(r.c.byID), keep)
	}
}

// Refusals above a limit, with served calls between them, are no outage: the
// route stays open to ordinary calls, at a pace that each refusal lowers and
// served calls raise again.
func TestRefusalsBetweenAnswers(t *testing.T) {
	set := settings()
	set.WeightKind = WeightsApproximate
	r := newRecorder(t, set)
	r.lists(ListDelta, Endpoint{ID: 1, State: Ready, Weight: 20})
	e := r.c.endpoints[1]
	r.arrive(1, 0, 0)
	r.pass(50 * ms)
	r.answer(1, Served, 0)
	whole := r.c.pace(e)
	m := r.arrive(2, 0, 0)
	for range 2 * streak {
		for !m.out {
			r.pass(50 * ms)
		}
		r.answer(2, Rejected, 0)
	}
	low := r.c.pace(e)
	if e.route.open || low >= whole/2 {
		t.Fatalf("open %t, pace %.1f of %.1f", e.route.open, low, whole)
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
	if up := r.c.pace(e); up <= low || up > whole {
		t.Errorf("pace %.1f after %.1f and %.1f", up, whole, low)
	}
}

// A shut destination is tested often enough that its return is not missed for
// long: what waits for it meanwhile runs out of time.
func TestOpenRouteTestedOften(t *testing.T) {
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
		if r.c.endpoints[1].route.open && last > 0 {
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
