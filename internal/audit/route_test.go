package audit

import "testing"

func TestOverloadRule(t *testing.T) {
	checkRules(t, []ruleCase{
		{"overloaded by those that saw it", overloadEvents([]int{0, 1}, map[int]int{0: 10, 1: 10}), overload},
		{"two thirds", overloadEvents([]int{0}, map[int]int{0: 20, 1: 10}), overload},
		{"less", overloadEvents([]int{0}, map[int]int{0: 19, 1: 10}), ""},
		{"nobody saw it", overloadEvents(nil, map[int]int{0: 20}), ""},
	})
}
