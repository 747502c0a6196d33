package simulation

import (
	"reflect"
	"testing"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// The same seed produces the same events, also if a change of the endpoint list cancels several unsent calls at once.
// Seed 1 of this scenario does so: the order of the cancellations determines the order of messages within a later call.
func TestSameSeedSameEvents(t *testing.T) {
	sc, err := scenario.Load("../../examples/scenarios/large.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	events := func() (list []audit.Event) {
		sim, err := NewSim(sc.Plan(1), discardLog, func(e audit.Event) error { list = append(list, e); return nil })
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sim.Run(); err != nil {
			t.Fatal(err)
		}
		return list
	}
	first := events()
	for range 7 {
		if !reflect.DeepEqual(events(), first) {
			t.Fatal("two runs with the same seed produced different events")
		}
	}
}
