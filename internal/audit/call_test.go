package audit

import (
	"testing"
	"time"
)

func TestRepeatRule(t *testing.T) {
	checkRules(t, []ruleCase{
		{"idempotent, again", sentTwice(0, Failed, time.Second, 0), ""},
		{"not idempotent, never ran", sentTwice(2, NeverRan, time.Second, 0), ""},
		{"not idempotent, may have run", sentTwice(2, Failed, time.Second, 0), repeat},
		{"keyed, within", sentTwice(1, Failed, 9*time.Second, 0), ""},
		{"keyed, just within", sentTwice(1, Failed, 12*time.Second-1, 0), ""},
		{"keyed, just beyond", sentTwice(1, Failed, 12*time.Second, 0), repeat},
		{"zoned, same zone", sentTwice(3, Failed, time.Second, 0), ""},
		{"zoned, other zone", sentTwice(3, Failed, time.Second, 1), repeat},
		{
			"not idempotent, a second copy",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callSent(3*ms, 2, "b", 7, "m"),
				callEnded(4*ms, 1, Delivered), callEnded(4*ms, 2, Delivered),
			},
			repeat,
		},
		{
			"not idempotent, deferred",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, NeverRan),
				notice(4*ms, "m", true),
			},
			"",
		},
		{
			"not idempotent, deferred though it ran",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed),
				notice(4*ms, "m", true),
			},
			repeat,
		},
		{
			"keyed, deferred",
			[]Event{
				submitted(0, "m", 1, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed),
				notice(4*ms, "m", true),
			},
			"",
		},
		{
			"zoned, deferred",
			[]Event{
				submitted(0, "m", 3, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed),
				notice(4*ms, "m", true),
			},
			repeat,
		},
		{
			"not idempotent, failed",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed),
				notice(4*ms, "m", false),
			},
			"",
		},
	})
}

func TestDrainRule(t *testing.T) {
	checkRules(t, []ruleCase{
		{
			"drains",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), notified(2*ms, "a", true), callSent(2052*ms, 1, "a", 7, "m"),
				callEnded(2060*ms, 1, Delivered),
			},
			"",
		},
		{
			"drained",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), notified(2*ms, "a", true), callSent(2053*ms, 1, "a", 7, "m"),
				callEnded(2060*ms, 1, Delivered),
			},
			drain,
		},
		{
			"notified twice",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), notified(2*ms, "a", true), notified(time.Second, "a", true),
				callSent(2053*ms, 1, "a", 7, "m"), callEnded(2060*ms, 1, Delivered),
			},
			drain,
		},
		{
			"back on the list",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), notified(2*ms, "a", true), notified(time.Second, "a", false),
				callSent(4*time.Second, 1, "a", 7, "m"), callEnded(5*time.Second, 1, Delivered),
			},
			"",
		},
		{
			"another sender was notified",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), fromSender(notified(2*ms, "a", true), 1),
				callSent(4*time.Second, 1, "a", 7, "m"), callEnded(5*time.Second, 1, Delivered),
			},
			"",
		},
	})
}

func TestRetryAfterRule(t *testing.T) {
	checkRules(t, []ruleCase{
		{
			"Retry-After kept",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), rejectedCall(3*ms, 1, time.Second),
				callSent(1003*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered),
			},
			"",
		},
		{
			"Retry-After broken",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), rejectedCall(3*ms, 1, time.Second),
				callSent(1002*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered),
			},
			retryAfter,
		},
		{
			"sent just within the slack",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), rejectedCall(3*ms, 1, time.Second),
				callSent(103*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered),
			},
			"",
		},
		{
			"sent just after the slack",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), rejectedCall(3*ms, 1, time.Second),
				callSent(104*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered),
			},
			retryAfter,
		},
		{
			"a shorter wait does not end a longer one",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callSent(2*ms, 2, "b", 7, "m"),
				rejectedCall(3*ms, 1, time.Second), rejectedCall(4*ms, 2, 10*ms), callSent(500*ms, 3, "b", 7, "m"),
				callEnded(1004*ms, 3, Delivered),
			},
			retryAfter,
		},
		{
			"another sender may still call",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), rejectedCall(3*ms, 1, time.Second),
				fromSender(callSent(500*ms, 2, "b", 7, "m"), 1), callEnded(1004*ms, 2, Delivered),
			},
			"",
		},
		{
			"separate routes",
			[]Event{
				submitted(0, "m", 0, 9), accepted(ms, "m"), callSent(2*ms, 1, "a", 9, "m"), rejectedCall(3*ms, 1, time.Second),
				callSent(500*ms, 2, "b", 9, "m"), callEnded(1004*ms, 2, Delivered),
			},
			"",
		},
		{
			"same separate route",
			[]Event{
				submitted(0, "m", 0, 9), accepted(ms, "m"), callSent(2*ms, 1, "a", 9, "m"), rejectedCall(3*ms, 1, time.Second),
				callSent(500*ms, 2, "a", 9, "m"), callEnded(1004*ms, 2, Delivered),
			},
			retryAfter,
		},
		{
			"a restart ends the wait",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), rejectedCall(3*ms, 1, time.Second),
				{At: 200 * ms, Kind: ProcessEnded}, {At: 300 * ms, Kind: Ready}, callSent(500*ms, 2, "b", 7, "m"),
				callEnded(1004*ms, 2, Delivered),
			},
			"",
		},
	})
}

func TestDestinationRule(t *testing.T) {
	checkRules(t, []ruleCase{
		{
			"right destination",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered),
			},
			"",
		},
		{
			"wrong destination",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 8, "m"), callEnded(3*ms, 1, Delivered),
			},
			destination,
		},
		{"unknown message", []Event{callSent(2*ms, 1, "a", 8, "m"), callEnded(3*ms, 1, Delivered)}, destination},
	})
}

func TestRepeatedExecutionsAndDelayedCalls(t *testing.T) {
	checkRules(t, []ruleCase{
		{
			"executed after its call was canceled and the message ended",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed),
				notice(4*ms, "m", false), executed(30*time.Second, 1, "m", 2),
			},
			"",
		},
		{
			"executed twice",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed),
				notice(4*ms, "m", false), executed(5*ms, 1, "m", 2), executed(30*time.Second, 1, "m", 2),
			},
			repeat,
		},
		{
			"idempotent, executed twice",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered),
				executed(3*ms, 1, "m", 0), executed(4*ms, 1, "m", 0),
			},
			"",
		},
		{
			"a first byte in time",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), notified(10*ms, "a", true),
				withFirstByte(callSent(2100*ms, 1, "a", 7, "m"), 2060*ms), callEnded(2200*ms, 1, Delivered),
			},
			"",
		},
		{
			"a first byte too late",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), notified(10*ms, "a", true),
				withFirstByte(callSent(2100*ms, 1, "a", 7, "m"), 2061*ms), callEnded(2200*ms, 1, Delivered),
			},
			drain,
		},
		{"a submission without a response", []Event{submitted(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}}, ""},
		{
			"sent after its client abandoned it",
			[]Event{
				submitted(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}, callSent(2*ms, 1, "a", 7, "m"),
				callEnded(3*ms, 1, Delivered),
			},
			"",
		},
		{
			"sent long after its client abandoned it",
			[]Event{
				submitted(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}, callSent(15*time.Second, 1, "a", 7, "m"),
				callEnded(16*time.Second, 1, Delivered),
			},
			"",
		},
		{
			"sent before the message ended, arrived after",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), notice(5*time.Second, "m", false),
				withFirstByte(callSent(20*time.Second, 1, "a", 7, "m"), 4*time.Second),
				callEnded(21*time.Second, 1, Delivered),
			},
			"",
		},
		{
			"sent after the message ended",
			[]Event{
				submitted(0, "m", 2, 7), accepted(ms, "m"), notice(5*time.Second, "m", false),
				withFirstByte(callSent(20*time.Second, 1, "a", 7, "m"), 6*time.Second),
				callEnded(21*time.Second, 1, Delivered),
			},
			repeat,
		},
		{
			"repeat sent within the key retention, arrived after",
			[]Event{
				withLongDeadline(submitted(0, "m", 1, 7)), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"),
				callEnded(3*ms, 1, Failed), withFirstByte(callSent(13*time.Second, 2, "a", 7, "m"), 12*time.Second),
				callEnded(14*time.Second, 2, Delivered),
			},
			"",
		},
		{
			"repeat sent after the key retention",
			[]Event{
				withLongDeadline(submitted(0, "m", 1, 7)), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"),
				callEnded(3*ms, 1, Failed), withFirstByte(callSent(13*time.Second, 2, "a", 7, "m"), 12*time.Second+2*ms),
				callEnded(14*time.Second, 2, Delivered),
			},
			repeat,
		},
		{
			"sent after it was rejected",
			[]Event{
				submitted(0, "m", 2, 7), {At: ms, Kind: Rejected, Message: "m"}, callSent(2*ms, 1, "a", 7, "m"),
				callEnded(3*ms, 1, Delivered),
			},
			destination,
		},
	})
}
