package main

import (
	"strings"
	"testing"

	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// TestFleetDrain drains senders by commands. The senders must be drained and return to service one at a time, invalid
// commands must be rejected, and the event log must record the author and the reason of each command.
func TestFleetDrain(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{
		Senders: 4, Agents: 3, Rate: 20, Terms: shortLeaseTerms(rollout.Budget{Fleet: 1}),
	})
	for args, want := range map[string]string{
		"drain n9 --reason r":                                `no sender "n9"`,
		"drain n0 --at-once 2 --reason r":                    "the budget has 1 to 1",
		"release --name v2 --program /none --reason r":       "/none can't be run",
		"release --name v1 --program /none --reason r":       "all of them run v1 already",
		"halt 99 --reason r":                                 "no plan 99",
		"release --name v2 --config /none --reason r --plan": "no configuration for n",
	} {
		requireRejected(t, fleet, want, strings.Fields(args)...)
	}
	planned := fleetCommand(t, fleet, 0, "drain", "n0", "n1", "--reason", "r", "--plan")
	if !strings.Contains(planned, "nothing is changed") {
		t.Error(planned)
	}
	fleetCommand(t, fleet, 0, "drain", "n0", "n2", "--reason", "new disks", "--by", "ann", "--for", "1s", "--watch")
	out := fleetCommand(t, fleet, 0, "events")
	for _, want := range []string{"ann", "new disks", "n0 is drained", "n2 is drained", "n2 serves again"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing from the events:\n%s", want, out)
		}
	}
	r := fleet.Finish()
	if len(r.OverBudget) > 0 || len(r.Violations) > 0 || r.Orders != 2 || r.MaxOut != 1 {
		t.Errorf("over budget %v, violations %v, %d orders, %d at once", r.OverBudget, r.Violations, r.Orders, r.MaxOut)
	}
}
