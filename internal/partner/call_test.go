package partner

import (
	"slices"
	"testing"
	"time"
)

func TestQueue(t *testing.T) {
	m := newModel(t, nil)
	for range 5 { // two are served, two are queued, one is rejected
		sendCall(t, m, 0, "a", 0)
	}
	if a := onlyAnswer(t, m); a.Kind != Rejected || a.RetryAfter != 0 {
		t.Errorf("%+v", a)
	}
	m.Advance(time.Second)
	var at []time.Duration
	for _, a := range m.Answers() {
		at = append(at, a.At)
	}
	want := []time.Duration{100 * ms, 100 * ms, 200 * ms, 200 * ms}
	if !slices.Equal(at, want) || len(m.Effects()) != 4 {
		t.Errorf("answered at %v", at)
	}
}

// A canceled call takes effect once after the cancellation and is not answered. If the endpoint stops work on
// cancellation, the next call gets the server at once.
func TestCanceledCallTakesEffectOnce(t *testing.T) {
	m := newModel(t, nil)
	id := sendCall(t, m, 0, "a", 0, "k")
	m.Cancel(50*ms, id, "a")
	m.Cancel(60*ms, id, "a")
	m.Advance(time.Second)
	if e := m.Effects(); len(e) != 1 || !e[0].Late || e[0].At != 100*ms || len(m.Answers()) != 0 {
		t.Errorf("%+v", e)
	}
	m = newModel(t, func(s *Spec) { s.StopsOnCancel = 1; s.Servers = 1 })
	id = sendCall(t, m, 0, "a", 0)
	sendCall(t, m, 0, "a", 0)
	m.Cancel(50*ms, id, "a")
	m.Advance(time.Second)
	if a := onlyAnswer(t, m); len(m.Effects()) != 1 || a.At != 150*ms { // the next call got the server at once
		t.Errorf("%+v", a)
	}
}

func BenchmarkCall(b *testing.B) {
	m := newModel(b, func(s *Spec) { s.Servers, s.QueueLength, s.CV = 50, 100, 0.5 })
	b.ReportAllocs()
	msg := []Message{{ID: "x"}}
	n := uint64(0)
	for b.Loop() {
		n++
		m.Call(time.Duration(n)*2*ms, Call{ID: n, Endpoint: "a", Messages: msg})
		if n%1024 == 0 {
			m.Answers()
			m.Effects()
		}
	}
}
