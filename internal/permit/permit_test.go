package permit

import (
	"testing"
	"time"

	"cleathold/control"
)

func TestSend(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	due := Message{Deadline: at(1000)}
	ran := func(effect control.Idempotency, remembered int) Message {
		return Message{Idempotency: effect, Deadline: at(1000), MayHaveRun: true, KeyRetainedUntil: at(remembered)}
	}
	rules := Rules{DrainGrace: 2 * time.Second}
	for _, c := range []struct {
		name  string
		rules Rules
		m     Message
		to    Route
		want  Denial
		left  Denial // if it has left all the same
	}{
		{"nothing against it", rules, due, Route{}, Allowed, Allowed},
		{"stopping", Rules{Stopping: true}, due, Route{}, Stopping, Allowed},
		{"its time is up", rules, Message{Deadline: now}, Route{}, Expired, Allowed},
		{"safe, may have run", rules, ran(control.Idempotent, 0), Route{}, Allowed, Allowed},
		{"keyed, remembered", rules, ran(control.IdempotentByKey, 1), Route{}, Allowed, Allowed},
		{"keyed, forgotten", rules, ran(control.IdempotentByKey, 0), Route{}, KeyExpired, Allowed},
		{"unsafe, may have run", rules, ran(control.NotIdempotent, 1), Route{}, NotRepeatable, Allowed},
		{"a copy is out", rules, Message{Deadline: at(1), InFlight: true}, Route{}, Allowed, Allowed},
		{"a copy is out where one is allowed", Rules{NoHedging: true}, Message{Deadline: at(1), InFlight: true}, Route{}, InFlight, Allowed},
		{"the target leaves", rules, due, Route{LeftAt: at(-1700)}, Allowed, Allowed},
		{"the grace is nearly over", rules, due, Route{LeftAt: at(-1800)}, EndpointGone, Allowed},
		{"the grace is over", rules, due, Route{LeftAt: at(-2001)}, EndpointGone, EndpointGone},
		{"no such rule", Rules{}, due, Route{LeftAt: at(-60000)}, Allowed, Allowed},
		{"a wait just told", rules, due, Route{RetryAfterFrom: at(-50), RetryAfterUntil: at(10)}, RetryAfterPending, Allowed},
		{"a wait", rules, due, Route{RetryAfterFrom: at(-150), RetryAfterUntil: at(10)}, RetryAfterPending, RetryAfterPending},
		{"a wait that is over", rules, due, Route{RetryAfterFrom: at(-150), RetryAfterUntil: now}, Allowed, Allowed},
		{"the list is uncertain", rules, due, Route{UncertainSince: at(-1000)}, Allowed, Allowed},
		{"for long", rules, due, Route{UncertainSince: at(-1800)}, ListUncertain, Allowed},
	} {
		if got := c.rules.Check(now, c.m, c.to); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got := c.rules.CheckSent(now, c.to); got != c.left {
			t.Errorf("%s, as it has left: %v, want %v", c.name, got, c.left)
		}
	}
	for _, r := range All() {
		if r.String() == "" || r.String() == "unknown" {
			t.Errorf("refusal %d has no name", r)
		}
	}
}
