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
	ran := func(effect control.Effect, remembered int) Message {
		return Message{Effect: effect, Deadline: at(1000), MayHaveRun: true, RememberTil: at(remembered)}
	}
	rules := Rules{Grace: 2 * time.Second}
	for _, c := range []struct {
		name  string
		rules Rules
		m     Message
		to    Route
		want  Refusal
		left  Refusal // if it has left all the same
	}{
		{"nothing against it", rules, due, Route{}, None, None},
		{"stopping", Rules{Stopping: true}, due, Route{}, Stopping, None},
		{"its time is up", rules, Message{Deadline: now}, Route{}, Overdue, None},
		{"safe, may have run", rules, ran(control.Safe, 0), Route{}, None, None},
		{"keyed, remembered", rules, ran(control.Keyed, 1), Route{}, None, None},
		{"keyed, forgotten", rules, ran(control.Keyed, 0), Route{}, Forgotten, None},
		{"unsafe, may have run", rules, ran(control.Unsafe, 1), Route{}, Repeat, None},
		{"a copy is out", rules, Message{Deadline: at(1), CopyOut: true}, Route{}, None, None},
		{"a copy is out where one is allowed", Rules{OneCopy: true}, Message{Deadline: at(1), CopyOut: true}, Route{}, SecondCopy, None},
		{"the target leaves", rules, due, Route{Left: at(-1700)}, None, None},
		{"the grace is nearly over", rules, due, Route{Left: at(-1800)}, TargetLeft, None},
		{"the grace is over", rules, due, Route{Left: at(-2001)}, TargetLeft, TargetLeft},
		{"no such rule", Rules{}, due, Route{Left: at(-60000)}, None, None},
		{"a wait just told", rules, due, Route{WaitFrom: at(-50), WaitUntil: at(10)}, Waiting, None},
		{"a wait", rules, due, Route{WaitFrom: at(-150), WaitUntil: at(10)}, Waiting, Waiting},
		{"a wait that is over", rules, due, Route{WaitFrom: at(-150), WaitUntil: now}, None, None},
		{"the list is uncertain", rules, due, Route{Uncertain: at(-1000)}, None, None},
		{"for long", rules, due, Route{Uncertain: at(-1800)}, Uncertain, None},
	} {
		if got := c.rules.Send(now, c.m, c.to); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got := c.rules.Left(now, c.to); got != c.left {
			t.Errorf("%s, as it has left: %v, want %v", c.name, got, c.left)
		}
	}
	for _, r := range All() {
		if r.String() == "" || r.String() == "unknown" {
			t.Errorf("refusal %d has no name", r)
		}
	}
}
