package control

import (
	"testing"
	"time"
)

// Messages that are not idempotent fail if they may have run; others are retried.
func TestNotIdempotentSentOnce(t *testing.T) {
	for result, mayRetry := range map[Result]bool{
		Failed: false, TimedOut: false, ConnectionLost: false, Canceled: false, Unknown: false, Rejected: true,
		ConnectFailed: true,
	} {
		r := newRecorder(t, testSettings())
		r.addReady(0, 2)
		m := r.submit(1, 2, 0)
		r.advance(10 * ms)
		r.answer(1, result, 0)
		if !mayRetry && m.outcome != "failed" {
			t.Errorf("result %d: got %q, want failed at once", result, m.outcome)
		}
		r.advance(2 * time.Second)
		if mayRetry && m.attempts < 2 {
			t.Errorf("result %d: not sent again", result)
		}
	}
}

// A message with an idempotency key is retried only within the key retention.
func TestRetryWithinKeyRetention(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[1].KeyRetention = 300 * ms
	r := newRecorder(t, cfg)
	r.addReady(0, 2)
	m := r.submit(1, 1, 0)
	r.advance(100 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.attempts != 2 {
		t.Fatalf("%d sends within the key retention, want 2", m.attempts)
	}
	r.advance(250 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.outcome == "" || m.attempts != 2 {
		t.Fatalf("after the key retention: %q after %d sends", m.outcome, m.attempts)
	}
}

// Where keys are scoped to a zone, retries stay in the zone and the message is never rejected.
func TestKeyedZoneScope(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[1].KeyZoneScoped = true
	r := newRecorder(t, cfg)
	r.addReady(0, 4)
	m := r.submit(1, 1, 0)
	first := m.endpoint
	r.advance(20 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.attempts != 2 || m.endpoint%2 != first%2 {
		t.Fatalf("retry of a message sent to %d was sent to %d", first, m.endpoint)
	}
	r.advance(9 * time.Second)
	if m.outcome != "failed" {
		t.Fatalf("outcome %q, want failed", m.outcome)
	}
}

// A message with attempts from before this controller gets the attempts that its class still allows, and the numbering
// of its attempts continues.
func TestEarlierAttempts(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		ran   bool
		ago   time.Duration
		zone  int
		sends int
		want  string // "sent", "rejected" or "failed"
	}{
		{"idempotent", 0, true, time.Hour, 0, 1, "sent"},
		{"idempotent, all attempts made", 0, true, 0, 0, 12, "rejected"},
		{"keyed, key retained", 1, true, time.Second, 0, 1, "sent"},
		{"keyed, key not retained", 1, true, 5 * time.Second, 0, 1, "failed"},
		{"keyed, key retained in another zone", 1, true, time.Second, 1, 1, "waiting"},
		{"not idempotent, may have run", 2, true, time.Second, 0, 1, "failed"},
		{"not idempotent, never ran", 2, false, 0, 0, 3, "sent"},
	} {
		cfg := testSettings()
		cfg.Classes[1].KeyZoneScoped = true
		r := newRecorder(t, cfg)
		r.addReady(0, 1)
		m := r.submitMessage(Message{ID: 1, Class: c.class, TimeLeft: 4 * time.Second, Attempts: c.sends, MayHaveRun: c.ran,
			FirstRunAgo: c.ago, FirstRunZone: c.zone})
		got := m.outcome
		switch {
		case m.inFlight:
			got = "sent"
		case got == "":
			got = "waiting"
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
		if msg := r.c.messages[1]; msg != nil && m.inFlight && msg.attempts != c.sends+1 {
			t.Errorf("%s: attempt %d", c.name, msg.attempts)
		}
	}
}

// With separate routes the Retry-After of a rejection is the earliest one of the routes. Without endpoints it is the
// latency objective.
func TestRejectionRetryAfterUsesEarliestRoute(t *testing.T) {
	cfg := testSettings()
	cfg.Kinds = []Kind{{MaxBatch: 1, SeparateRoutes: true}}
	r := newRecorder(t, cfg)
	r.addReady(0, 2)
	m := r.submit(1, 0, 0)
	r.answer(1, Rejected, 1900*ms) // the message is sent to the other endpoint
	r.answer(1, Rejected, 1400*ms)
	if m.inFlight {
		t.Fatal("sent before either Retry-After has passed")
	}
	late := r.submitMessage(Message{ID: 3, Destination: 0, TimeLeft: 5 * ms})
	if late.outcome != "rejected" || late.retryAfter != 1400*ms {
		t.Errorf("%q, Retry-After %v", late.outcome, late.retryAfter)
	}
	noEndpoint := r.submitMessage(Message{ID: 4, Destination: 9, TimeLeft: 5 * ms})
	if noEndpoint.outcome != "rejected" || noEndpoint.retryAfter != cfg.Classes[0].LatencyObjective {
		t.Errorf("without an endpoint: %q, Retry-After %v", noEndpoint.outcome, noEndpoint.retryAfter)
	}
}

func TestMessageMayReject(t *testing.T) {
	for _, c := range []struct {
		name string
		msg  message
		want bool
	}{
		{"never ran", message{class: &Class{Idempotency: NotIdempotent}}, true},
		{"may have run", message{class: &Class{Idempotency: NotIdempotent}, mayHaveRun: true}, false},
		{"may have run, idempotent", message{class: &Class{}, mayHaveRun: true}, true},
		{"by key", message{class: &Class{Idempotency: IdempotentByKey}, mayHaveRun: true}, true},
		{"by key in one zone", message{class: &Class{Idempotency: IdempotentByKey, KeyZoneScoped: true}, mayHaveRun: true},
			false},
		{"in flight", message{class: &Class{}, inFlight: &attempt{}}, false},
		{"finished", message{class: &Class{}, finished: true}, false},
	} {
		if got := c.msg.mayReject(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
