package audit

import "testing"

func TestOverloadRule(t *testing.T) {
	checkRules(t, []ruleCase{
		{"overloaded by senders that saw the outage", overloadEvents([]int{0, 1}, map[int]int{0: 10, 1: 10}), overload},
		{"two thirds of the calls by witnesses", overloadEvents([]int{0}, map[int]int{0: 20, 1: 10}), overload},
		{"less than two thirds", overloadEvents([]int{0}, map[int]int{0: 19, 1: 10}), ""},
		{"no sender saw the outage", overloadEvents(nil, map[int]int{0: 20}), ""},
	})
}
