package audit

import (
	"testing"
	"time"
)

// A sender that is stopped, unreachable or has lost its state folder violates no rule by what it cannot know or
// report.
func TestUnreachableSender(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	event := func(s float64, kind EventKind, cause string) Event { return Event{At: at(s), Kind: kind, Cause: cause} }
	notified := Event{At: at(3), Kind: Notified, Endpoint: "e", Dest: 1, Leaves: true}
	for _, c := range []struct {
		name   string
		events []Event
		want   string
	}{
		{
			"no notice",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), event(12, Requested, ""),
			},
			string(RuleOutcome),
		},
		{
			"unreachable, notice once reachable again",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), event(5, Unreachable, ""), event(20, ReachableAgain, ""),
				{At: at(21), Kind: DeliveryReported, Message: "a"},
			},
			"",
		},
		{
			"unreachable, no notice once reachable again",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), event(5, Unreachable, ""), event(20, ReachableAgain, ""),
				event(22, Requested, ""),
			},
			string(RuleOutcome),
		},
		{
			"killed",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), event(5, ProcessEnded, ""), event(6, Ready, ""),
				event(22, Requested, ""),
			},
			string(RuleOutcome),
		},
		{
			"killed, and its state folder is lost",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), event(5, ProcessEnded, StateLost), event(6, Ready, ""),
				event(22, Requested, ""),
			},
			"",
		},
		{
			"a call after a drain",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), notified, callSent(at(6), 1, "e", 1, "a"),
				callEnded(at(7), 1, Delivered),
			},
			string(RuleDrain),
		},
		{
			"notified of the drain while it was stopped",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), event(2, ProcessEnded, ""), notified, event(6, Ready, ""),
				callSent(at(7), 1, "e", 1, "a"), callEnded(at(8), 1, Delivered),
			},
			"",
		},
		{
			"notified of the drain while it was stopped, call after the grace",
			[]Event{
				submitted(0, "a", 0, 1), accepted(0, "a"), event(2, ProcessEnded, ""), notified, event(6, Ready, ""),
				callSent(at(8.5), 1, "e", 1, "a"), callEnded(at(9), 1, Delivered),
			},
			string(RuleDrain),
		},
	} {
		if got := violatedRules(t, c.name, c.events); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
