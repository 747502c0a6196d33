package simulation

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"cleathold/internal/scenario"
)

// Runs fleets of eighty senders through lowered limits, a recovery with a slow start, and the kill of most senders
// during an outage of discovery, each with all gossip delivered, half of it and none. The auditor's rules must hold
// (among them: messages that are not idempotent take effect once), and gossip must keep the rejected calls low.
func TestFleetOfEightySenders(t *testing.T) {
	for _, c := range []struct {
		path        string
		service     float64 // with all gossip, at least
		maxRejected int     // rejected calls with all gossip
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
			r := simulate(t, sc, 3, nil)
			if len(r.Violations) > 0 {
				t.Fatalf("%s, %.1f of the gossip lost: %+v", sc.Name, lost, r.Violations)
			}
			t.Logf("%s, %.1f lost: service %.3f, %d rejected of %d calls, %d gossip packets",
				sc.Name, lost, r.Service, r.RejectedCalls, r.Calls, r.GossipSent)
			if lost == 0 && (r.Service < c.service || r.RejectedCalls > c.maxRejected || r.GossipSent == 0) {
				t.Errorf("%s: service %.3f, %d rejected, %d gossip packets; want %.2f, %d",
					sc.Name, r.Service, r.RejectedCalls, r.GossipSent, c.service, c.maxRejected)
			}
			if lost == 1 && r.Service < c.service-0.12 {
				t.Errorf("%s without gossip: service %.3f", sc.Name, r.Service)
			}
		}
	}
}

// The calls of all senders of a fleet to a target that is warming up after an outage stay within its budget at any
// fleet size, also if each sender's part is below one call, and if no gossip arrives. The simulated budget tolerates
// two excess calls, fewer than the operators' budget. Runs with 300 senders take over a minute each and are not part of
// the test; docs/design/large-fleet.md has their results.
func TestSlowStartCallsStayWithinBudget(t *testing.T) {
	for _, c := range []struct {
		senders, lost float64
		seeds         uint64
	}{{3, 0, 2}, {8, 0, 2}, {8, 1, 2}, {20, 0, 2}, {20, 1, 2}, {30, 0, 2}, {30, 1, 2}, {80, 1, 1}} {
		t.Run(fmt.Sprintf("%.0f senders, %.0f of the gossip lost", c.senders, c.lost), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile("../../examples/scenarios/fleet-return.star")
			if err != nil {
				t.Fatal(err)
			}
			if c.senders < 8 { // with the full traffic each sender would have too many messages for a one-minute run
				text = []byte(strings.Replace(string(text), "traffic(rate = 500", "traffic(rate = 120", 1))
			}
			sc, err := scenario.Parse("fleet-return.star", text, map[string]float64{"senders": c.senders, "lost": c.lost})
			if err != nil {
				t.Fatal(err)
			}
			for seed := range c.seeds {
				if r := simulate(t, sc, seed+1, nil); r.Overloads > 0 || len(r.Violations) > 0 {
					t.Errorf("seed %d: %d overloads, %+v", seed+1, r.Overloads, r.Violations)
				}
			}
		})
	}
}
