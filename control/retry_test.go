package control

import (
	"testing"
	"time"
)

// Unsafe messages that may have run fail; those that can't have run go again.
func TestUnsafeOnlyOnce(t *testing.T) {
	for res, again := range map[Result]bool{
		Failed: false, TimedOut: false, ConnectionLost: false, Canceled: false, Unknown: false, Rejected: true, ConnectFailed: true,
	} {
		r := newRecorder(t, settings())
		r.ready(0, 2)
		m := r.arrive(1, 2, 0)
		r.pass(10 * ms)
		r.answer(1, res, 0)
		if !again && m.final != "failed" {
			t.Errorf("result %d: got %q, want failed at once", res, m.final)
		}
		r.pass(2 * time.Second)
		if again && m.sends < 2 {
			t.Errorf("result %d: not sent again", res)
		}
	}
}

// Keyed messages are repeated only inside their memory.
func TestRetryWithinKeyRetention(t *testing.T) {
	set := settings()
	set.Classes[1].KeyRetention = 300 * ms
	r := newRecorder(t, set)
	r.ready(0, 2)
	m := r.arrive(1, 1, 0)
	r.pass(100 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.sends != 2 {
		t.Fatalf("%d sends inside the memory, want 2", m.sends)
	}
	r.pass(250 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.final == "" || m.sends != 2 {
		t.Fatalf("past the memory: %q after %d sends", m.final, m.sends)
	}
}

// With a memory in one zone the repeat stays in it, and no refusal is told.
func TestKeyedZoneScope(t *testing.T) {
	set := settings()
	set.Classes[1].KeyZoneScoped = true
	r := newRecorder(t, set)
	r.ready(0, 4)
	m := r.arrive(1, 1, 0)
	first := m.to
	r.pass(20 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.sends != 2 || m.to%2 != first%2 {
		t.Fatalf("repeat went from %d to %d", first, m.to)
	}
	r.pass(9 * time.Second)
	if m.final != "failed" {
		t.Fatalf("ended %q, want failed", m.final)
	}
}

// A message that had attempts before this controller gets what its class still
// allows, and its attempts count on.
func TestEarlierAttempts(t *testing.T) {
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
		if k := r.c.messages[1]; k != nil && m.out && k.attempts != c.sends+1 {
			t.Errorf("%s: attempt %d", c.name, k.attempts)
		}
	}
}

// Where endpoints are routes apart the advice is the soonest of their waits,
// and where nothing is known it is not to come back at once.
func TestRetryAdviceBySoonestRoute(t *testing.T) {
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
