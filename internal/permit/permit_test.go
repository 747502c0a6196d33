package permit

import (
	"testing"
	"time"

	"cleathold/control"
)

// Each case is a send, checked as it is about to leave and as one that was sent.
func TestCheck(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	due := Message{Deadline: at(1000)}
	ran := func(idempotency control.Idempotency, retained int) Message {
		return Message{Idempotency: idempotency, Deadline: at(1000), MayHaveRun: true, KeyRetainedUntil: at(retained)}
	}
	rules := Rules{DrainGrace: 2 * time.Second}
	for _, c := range []struct {
		name  string
		rules Rules
		m     Message
		to    Route
		want  Denial
		sent  Denial // by CheckSent, if it was sent all the same
	}{
		{"nothing against it", rules, due, Route{}, Allowed, Allowed},
		{"stopping", Rules{Stopping: true}, due, Route{}, Stopping, Allowed},
		{"its time is up", rules, Message{Deadline: now}, Route{}, Expired, Allowed},
		{"idempotent, may have run", rules, ran(control.Idempotent, 0), Route{}, Allowed, Allowed},
		{"idempotent by key, key retained", rules, ran(control.IdempotentByKey, 1), Route{}, Allowed, Allowed},
		{"idempotent by key, key expired", rules, ran(control.IdempotentByKey, 0), Route{}, KeyExpired, Allowed},
		{"not idempotent, may have run", rules, ran(control.NotIdempotent, 1), Route{}, NotRepeatable, Allowed},
		{"in flight", rules, Message{Deadline: at(1), InFlight: true}, Route{}, Allowed, Allowed},
		{"in flight, hedging not allowed", Rules{NoHedging: true}, Message{Deadline: at(1), InFlight: true}, Route{},
			InFlight, Allowed},
		{"the endpoint leaves", rules, due, Route{LeftAt: at(-1700)}, Allowed, Allowed},
		{"the grace is nearly over", rules, due, Route{LeftAt: at(-1800)}, EndpointGone, Allowed},
		{"the grace is over", rules, due, Route{LeftAt: at(-2001)}, EndpointGone, EndpointGone},
		{"no such rule", Rules{}, due, Route{LeftAt: at(-60000)}, Allowed, Allowed},
		{"Retry-After just told", rules, due, Route{RetryAfterFrom: at(-50), RetryAfterUntil: at(10)}, RetryAfterPending,
			Allowed},
		{"Retry-After pending", rules, due, Route{RetryAfterFrom: at(-150), RetryAfterUntil: at(10)}, RetryAfterPending,
			RetryAfterPending},
		{"Retry-After passed", rules, due, Route{RetryAfterFrom: at(-150), RetryAfterUntil: now}, Allowed, Allowed},
		{"the list is uncertain", rules, due, Route{UncertainSince: at(-1000)}, Allowed, Allowed},
		{"for long", rules, due, Route{UncertainSince: at(-1800)}, ListUncertain, Allowed},
	} {
		if got := c.rules.Check(now, c.m, c.to); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got := c.rules.CheckSent(now, c.to); got != c.sent {
			t.Errorf("%s, as it was sent: %v, want %v", c.name, got, c.sent)
		}
	}
	for _, d := range All() {
		if d.String() == "" || d.String() == "unknown" {
			t.Errorf("denial %d has no name", d)
		}
	}
}
