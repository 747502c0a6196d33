package simulation

import (
	"os"
	"strings"
	"testing"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

const linksFailScript = "../../examples/scenarios/links-fail.star"

// playScript runs a script and passes each event to onEvent.
func playScript(t *testing.T, text string, seed uint64, onEvent func(audit.Event)) Result {
	t.Helper()
	sc, err := scenario.Parse("s.star", []byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	return simulate(t, sc, seed, func(e audit.Event) error { onEvent(e); return nil })
}

// faultFreeScript returns the text of the script linksFailScript without its faults.
func faultFreeScript(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(linksFailScript)
	if err != nil {
		t.Fatal(err)
	}
	script, _, _ := strings.Cut(string(text), "churn(")
	return script
}

// Each fault by itself affects the links that it names and no others, and no rule is violated.
func TestLinkFaultsOneByOne(t *testing.T) {
	type eventCounts struct{ accepted, abandoned, calls, rejected int }
	for _, c := range []struct {
		name, faults string
		from, to     float64 // the fault, in seconds
		want         func(n0, rest eventCounts) bool
	}{
		{
			"clients cannot reach n0",
			`link(at = 20, seconds = 10, of = "n0", to = "clients", what = "CUT")`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.accepted == 0 && rest.accepted > 100 },
		},
		{
			"responses of n0 do not reach clients",
			`link(at = 20, seconds = 10, of = "n0", to = "clients", one_way = True, what = "SILENT")`, 20.5, 30,
			func(n0, rest eventCounts) bool {
				return n0.accepted == 0 && n0.abandoned > 10 && n0.calls > 0 && rest.abandoned == 0
			},
		},
		{
			"submissions of clients do not reach n0",
			`link(at = 20, seconds = 10, of = "clients", to = "n0", one_way = True, what = "SILENT")`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.accepted == 0 && n0.abandoned > 10 && rest.abandoned == 0 },
		},
		{
			"partners are cut off from n0",
			`link(at = 20, seconds = 10, of = "n0", to = "partners", what = "CUT")`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.calls == 0 && rest.calls > 100 },
		},
		{
			"n0 is stopped",
			`sender(number = 0, at = 20, what = "stop", seconds = 10)`, 20.5, 29.9,
			func(n0, rest eventCounts) bool {
				return n0.accepted+n0.calls == 0 && n0.abandoned > 5 && rest.abandoned == 0
			},
		},
		{
			"n0 is draining",
			`sender(number = 0, at = 20, what = "drain", seconds = 10)`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.accepted+n0.abandoned == 0 && rest.accepted > 100 },
		},
		{
			"n0 has fewer calls in flight and fewer open messages",
			`sender(number = 0, at = 20, what = "retune", slots = 0.05, hold = 0.05)`, 22, 40,
			func(n0, rest eventCounts) bool { return n0.rejected > 10*rest.rejected+10 && n0.accepted > 0 },
		},
		{
			"no fault", "", 20.5, 30,
			func(n0, rest eventCounts) bool {
				return n0.accepted > 30 && n0.calls > 30 && n0.abandoned+rest.abandoned == 0
			},
		},
	} {
		var n0, rest eventCounts
		r := playScript(t, faultFreeScript(t)+c.faults, 5, func(e audit.Event) {
			if at := e.At.Seconds(); at < c.from || at >= c.to {
				return
			}
			counts := &rest
			if e.Sender == 0 {
				counts = &n0
			}
			switch e.Kind {
			case audit.Accepted:
				counts.accepted++
			case audit.Rejected:
				counts.rejected++
			case audit.Abandoned:
				counts.abandoned++
			case audit.Sent:
				counts.calls++
			}
		})
		if !c.want(n0, rest) || len(r.Violations) > 0 {
			t.Errorf("%s: n0 %+v, the rest %+v; %+v", c.name, n0, rest, r.Violations)
		}
	}
}

// No gossip passes a cut or lossy link, gossip passes healthy links, and duplicates do not violate any rule.
func TestGossipOnLinks(t *testing.T) {
	outage := "trouble(what = \"DOWN\", at = 15, seconds = 20, part = 0.5)\n"
	received := map[string]int{}
	for name, faults := range map[string]string{
		"healthy": "", "cut": `parts(at = 0, seconds = 90, parts = 20, what = "CUT")`,
		"duplicated": `link(at = 0, seconds = 90, of = "senders", to = "senders", double = 1)`,
		"lost":       `link(at = 0, seconds = 90, of = "senders", to = "senders", loss = 1)`,
	} {
		figures := map[string]float64{"senders": 20, "rate": 100}
		sc, err := scenario.Parse("s.star", []byte(faultFreeScript(t)+outage+faults), figures)
		if err != nil {
			t.Fatal(err)
		}
		r := simulate(t, sc, 5, nil)
		if len(r.Violations) > 0 || r.GossipSent == 0 {
			t.Errorf("%s: %+v, %d gossip packets", name, r.Violations, r.GossipSent)
		}
		received[name] = r.GossipReceived
	}
	if received["healthy"] == 0 || received["cut"] != 0 || received["lost"] != 0 ||
		received["duplicated"] < received["healthy"] {
		t.Errorf("gossip received: %v", received)
	}
}

// With all faults at once, for several seeds and fleet sizes, no rule is violated and most messages are delivered.
func TestLinksFail(t *testing.T) {
	for _, c := range []struct {
		senders, rate float64
		seeds         uint64
	}{{4, 40, 6}, {20, 100, 2}} {
		for seed := range c.seeds {
			sc, err := scenario.Load(linksFailScript, map[string]float64{"senders": c.senders, "rate": c.rate})
			if err != nil {
				t.Fatal(err)
			}
			r := simulate(t, sc, seed, nil)
			if len(r.Violations) > 0 || r.Overall < 0.6 {
				t.Errorf("%v senders, seed %d: service %.3f, overall %.3f, %+v",
					c.senders, seed, r.Service, r.Overall, r.Violations)
			}
			t.Logf("%v senders, seed %d: overall %.3f, %d restarts, %d gossip packets received",
				c.senders, seed, r.Overall, r.Restarts, r.GossipReceived)
		}
	}
}
