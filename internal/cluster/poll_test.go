package cluster

import (
	"testing"
	"time"

	"cleathold/internal/rollout"
)

// TestBudgetEvaluation checks that an order counts against the budget together with the senders that are draining or
// have been unresponsive for a long time, and that a sender that is draining when it recovers from a crash does not
// count as an order.
func TestBudgetEvaluation(t *testing.T) {
	type change struct {
		second int
		sender int
		state  senderState
	}
	for name, c := range map[string]struct {
		changes              []change
		over, orders, maxOut int
	}{
		"one after the other": {[]change{{1, 0, stateDraining}, {2, 0, stateServing}, {3, 1, stateDraining}}, 0, 2, 1},
		"two at once":         {[]change{{1, 0, stateDraining}, {2, 2, stateDraining}}, 0, 2, 2},
		"two of a building":   {[]change{{1, 0, stateDraining}, {2, 1, stateDraining}}, 1, 2, 2},
		"three":               {[]change{{1, 0, stateDraining}, {2, 2, stateDraining}, {3, 3, stateDraining}}, 1, 3, 3},
		"long unresponsive":   {[]change{{1, 0, stateUnresponsive}, {9, 1, stateDraining}}, 1, 1, 1},
		"just unresponsive":   {[]change{{1, 0, stateUnresponsive}, {2, 1, stateDraining}}, 0, 1, 1},
		"back from a crash":   {[]change{{1, 0, stateUnresponsive}, {2, 0, stateDraining}, {3, 1, stateServing}}, 0, 0, 0},
	} {
		start := time.Now()
		e := budgetEvaluation{
			budget: rollout.Budget{Fleet: 2, Building: 1}, unresponsiveAfter: 3 * time.Second,
			names: []string{"n0", "n1", "n2", "n3"}, buildings: []string{"a", "a", "b", "c"},
			states: make([]senderState, 4), since: make([]time.Time, 4),
		}
		for i := range 4 {
			e.add(pollResult{start, i, stateServing})
		}
		for _, ch := range c.changes {
			e.add(pollResult{start.Add(time.Duration(ch.second) * time.Second), ch.sender, ch.state})
		}
		if len(e.over) != c.over || e.orders != c.orders || e.maxOut != c.maxOut {
			t.Errorf("%s: %v, %d orders, %d out at most; want %d, %d, %d",
				name, e.over, e.orders, e.maxOut, c.over, c.orders, c.maxOut)
		}
	}
}
