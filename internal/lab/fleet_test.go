package lab

import (
	"testing"

	"cleathold/internal/scenario"
)

// Eighty senders, summed over the fleet: lowered limits, a cold return, most of them killed with discovery
// down, each with all notes, half of them, and none. The auditor's rules hold, what may not be repeated takes
// effect once, and notes keep the calls that are turned away to a part of what they are without.
func TestEightySenders(t *testing.T) {
	for _, c := range []struct {
		path    string
		service float64 // with all notes, at least
		turned  int     // refused calls with all notes, at most
	}{
		{"../../examples/scenarios/fleet-limits.star", 0.93, 700},
		{"../../examples/scenarios/fleet-return.star", 0.87, 500},
		{"../../examples/scenarios/fleet-herd.star", 0.88, 700},
	} {
		for _, lost := range []float64{0, 0.5, 1} {
			sc, err := scenario.Load(c.path, map[string]float64{"lost": lost})
			if err != nil {
				t.Fatal(err)
			}
			plan := sc.Plan(3)
			sim, err := NewSim(plan, quiet, nil)
			if err != nil {
				t.Fatal(err)
			}
			r, err := sim.Run()
			if err != nil || len(r.Breaks) > 0 {
				t.Fatalf("%s, %.1f of the notes lost: %v, %+v", sc.Name, lost, err, r.Breaks)
			}
			t.Logf("%s, %.1f lost: service %.3f, %d refused of %d calls, %d notes", sc.Name, lost, r.Service, r.Refused, r.Calls, r.Notes)
			if lost == 0 && (r.Service < c.service || r.Refused > c.turned || r.Notes == 0) {
				t.Errorf("%s: service %.3f, %d refused, %d notes; want %.2f, %d", sc.Name, r.Service, r.Refused, r.Notes, c.service, c.turned)
			}
			if lost == 1 && r.Service < c.service-0.12 {
				t.Errorf("%s without notes: service %.3f", sc.Name, r.Service)
			}
		}
	}
}
