package simulation

import (
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// Each sender is notified with a delay and in order, never of the newer of two changes first, and its full list
// contains exactly the changes of which it was notified by then.
func TestEnvironmentNotifiesInOrder(t *testing.T) {
	sc, err := scenario.Load(buildingRefusesScript, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := sc.Plan(1)
	env, err := NewEnvironment(p, func(audit.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	e := p.Destinations[0].Endpoints[0]
	initial, _ := env.FullList(0, 0)
	first, err := env.Apply(time.Second, scenario.Change{Endpoint: e.ID, Dest: 1, StartsDraining: true})
	if err != nil {
		t.Fatal(err)
	}
	second, _ := env.Apply(1100*time.Millisecond, scenario.Change{Endpoint: e.ID, Dest: 1, Removed: true})
	for i := range first {
		if second[i] < first[i] || first[i] > time.Second+maxListDelay {
			t.Errorf("sender %d is notified at %v and %v", i, first[i], second[i])
		}
	}
	if endpoints, version, full := env.ListChanges(first[0]-1, 0, 1); len(endpoints) != 0 || version != 1 || full {
		t.Errorf("notified early: %+v %d", endpoints, version)
	}
	if endpoints, _ := env.FullList(first[0]-1, 0); len(endpoints) != len(initial) || endpoints[0].State != control.Ready {
		t.Errorf("the full list contains a change before the notification: %+v", endpoints[0])
	}
	endpoints, version, _ := env.ListChanges(second[0], 0, 1)
	if len(endpoints) == 0 || endpoints[len(endpoints)-1].State != control.Removed || version != 3 {
		t.Errorf("%+v %d", endpoints, version)
	}
	if endpoints, _ := env.FullList(second[0], 0); len(endpoints) != len(initial)-1 {
		t.Errorf("%d endpoints listed after the removal, %d before", len(endpoints), len(initial))
	}
	if endpoints, _, _ := env.ListChanges(second[0], 0, 3); len(endpoints) != 0 {
		t.Errorf("notified again: %+v", endpoints)
	}
	if endpoints, _, full := env.ListChanges(second[0], 0, 1); !full || len(endpoints) != len(initial)-1 {
		t.Error("after old changes were deleted, the sender does not get the full list")
	}
}
