package simulation

import (
	"strings"
	"testing"

	"cleathold/internal/scenario"
)

// Runs drains and releases of a fleet with faults of agents and senders, for several seeds and sizes. Orders must never
// take more senders out of service than the budget allows, all senders must be back at the end, and no rule may be
// violated.
func TestRolloutsStayWithinBudget(t *testing.T) {
	for _, c := range []struct {
		senders float64
		seeds   uint64
	}{{6, 40}, {60, 4}} {
		orders, released := 0, 0
		for seed := range c.seeds {
			figures := map[string]float64{"senders": c.senders, "rate": 40}
			sc, err := scenario.Load("../../examples/scenarios/agents.star", figures)
			if err != nil {
				t.Fatal(err)
			}
			r := simulate(t, sc, seed, nil)
			if len(r.OverBudget)+len(r.StillOut)+len(r.Violations) > 0 {
				t.Errorf("%v senders, seed %d: over %v; left %v; %v; %+v",
					c.senders, seed, r.OverBudget, r.StillOut, r.Plans, r.Violations)
			}
			orders += r.Orders
			for _, p := range r.Plans {
				if strings.Contains(p, "release done") {
					released++
				}
			}
		}
		t.Logf("%v senders, %d seeds: %d times out by order, %d releases done", c.senders, c.seeds, orders, released)
		// For 60 senders the scenario is too short to finish all stages of a release.
		if orders < 8*int(c.seeds) || c.senders == 6 && released == 0 {
			t.Errorf("%v senders: %d times out by order, %d releases done", c.senders, orders, released)
		}
	}
}

// Checks that checkBudget reports an excess: the agents apply a budget of two senders while the check uses one.
func TestBudgetCheckReportsExcess(t *testing.T) {
	sc, err := scenario.Load("../../examples/scenarios/agents.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	over := 0
	for seed := range uint64(5) {
		sim, err := NewSim(sc.Plan(seed), discardLog, nil)
		if err != nil {
			t.Fatal(err)
		}
		sim.agents.terms.Budget.Fleet = 1
		r, err := sim.Run()
		if err != nil {
			t.Fatal(err)
		}
		over += len(r.OverBudget)
	}
	if over == 0 {
		t.Error("no budget excess was reported")
	}
}
