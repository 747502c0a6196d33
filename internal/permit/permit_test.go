package permit

import (
	"testing"
	"time"

	"cleathold/control"
)

// Each case is a send, checked by Check before it is written and by CheckSent afterwards.
func TestCheck(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	open := Message{Deadline: at(1000)}
	mayHaveRun := func(idempotency control.Idempotency, retained int) Message {
		return Message{Idempotency: idempotency, Deadline: at(1000), MayHaveRun: true, KeyRetainedUntil: at(retained)}
	}
	rules := Rules{DrainGrace: 2 * time.Second}
	for _, c := range []struct {
		name     string
		rules    Rules
		message  Message
		route    Route
		want     Denial
		wantSent Denial // result of CheckSent for the same send
	}{
		{"allowed", rules, open, Route{}, Allowed, Allowed},
		{"stopping", Rules{Stopping: true}, open, Route{}, Stopping, Allowed},
		{"deadline passed", rules, Message{Deadline: now}, Route{}, Expired, Allowed},
		{"idempotent, may have run", rules, mayHaveRun(control.Idempotent, 0), Route{}, Allowed, Allowed},
		{"idempotent by key, key retained", rules, mayHaveRun(control.IdempotentByKey, 1), Route{}, Allowed, Allowed},
		{"idempotent by key, key expired", rules, mayHaveRun(control.IdempotentByKey, 0), Route{}, KeyExpired, Allowed},
		{"not idempotent, may have run", rules, mayHaveRun(control.NotIdempotent, 1), Route{}, NotRepeatable, Allowed},
		{"in flight", rules, Message{Deadline: at(1), InFlight: true}, Route{}, Allowed, Allowed},
		{"in flight, hedging not allowed", Rules{NoHedging: true}, Message{Deadline: at(1), InFlight: true}, Route{},
			InFlight, Allowed},
		{"endpoint leaves", rules, open, Route{LeftAt: at(-1700)}, Allowed, Allowed},
		{"within the drain margin", rules, open, Route{LeftAt: at(-1800)}, EndpointGone, Allowed},
		{"drain grace over", rules, open, Route{LeftAt: at(-2001)}, EndpointGone, EndpointGone},
		{"no drain grace set", Rules{}, open, Route{LeftAt: at(-60000)}, Allowed, Allowed},
		{"Retry-After within the slack", rules, open, Route{RetryAfterFrom: at(-50), RetryAfterUntil: at(10)},
			RetryAfterPending, Allowed},
		{"Retry-After pending", rules, open, Route{RetryAfterFrom: at(-150), RetryAfterUntil: at(10)}, RetryAfterPending,
			RetryAfterPending},
		{"Retry-After passed", rules, open, Route{RetryAfterFrom: at(-150), RetryAfterUntil: now}, Allowed, Allowed},
		{"list uncertain", rules, open, Route{UncertainSince: at(-1000)}, Allowed, Allowed},
		{"list uncertain beyond the drain margin", rules, open, Route{UncertainSince: at(-1800)}, ListUncertain, Allowed},
	} {
		if got := c.rules.Check(now, c.message, c.route); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got := c.rules.CheckSent(now, c.route); got != c.wantSent {
			t.Errorf("%s, CheckSent: %v, want %v", c.name, got, c.wantSent)
		}
	}
	for _, d := range All() {
		if d.String() == "" || d.String() == "unknown" {
			t.Errorf("denial %d has no name", d)
		}
	}
}
