package audit

import (
	"testing"
	"time"
)

func TestOutcomeRule(t *testing.T) {
	checkRules(t, []ruleCase{
		{
			"delivered",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered),
			},
			"",
		},
		{
			"delivered before the client received the response",
			[]Event{
				submitted(0, "m", 0, 7), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered), accepted(4*ms, "m"),
			},
			"",
		},
		{"never ended", []Event{submitted(0, "m", 0, 7), accepted(ms, "m")}, outcome},
		{"never accepted", []Event{submitted(0, "m", 0, 7), {At: ms, Kind: Rejected, Message: "m"}}, ""},
		{
			"notice at the last allowed time",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), notice(10300*ms, "m", true),
			},
			"",
		},
		{"notice just too late", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), notice(10301*ms, "m", true)}, outcome},
		{
			"nothing owed",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, NothingOwed),
			},
			"",
		},
		{
			"late after a restart",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), {At: 10 * time.Second, Kind: ProcessEnded},
				{At: 12 * time.Second, Kind: Ready}, notice(13500*ms, "m", true),
			},
			"",
		},
		{
			"too late after a restart",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), {At: 10 * time.Second, Kind: ProcessEnded},
				{At: 12 * time.Second, Kind: Ready}, notice(13501*ms, "m", true),
			},
			outcome,
		},
		{
			"overdue before the restart",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), {At: 10301 * ms, Kind: ProcessEnded},
				{At: 12 * time.Second, Kind: Ready}, notice(13*time.Second, "m", true),
			},
			outcome,
		},
		{
			"one message of a call fails",
			[]Event{
				submitted(0, "m", 0, 7), accepted(ms, "m"), submitted(ms, "n", 2, 7), accepted(ms, "n"),
				callSent(2*ms, 1, "a", 7, "m", "n"),
				{At: 3 * ms, Kind: Ended, Call: 1, Outcome: Delivered, Outcomes: map[string]Outcome{"n": Failed}},
				notice(4*ms, "n", false),
			},
			"",
		},
	})
}
