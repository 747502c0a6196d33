package simulation

import (
	"os"
	"strings"
	"testing"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

const linksFailScript = "../../examples/scenarios/links-fail.star"

// playScript plays a script and passes each event to see.
func playScript(t *testing.T, text string, seed uint64, onEvent func(audit.Event)) Result {
	t.Helper()
	sc, err := scenario.Parse("s.star", []byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	return simulate(t, sc, seed, func(e audit.Event) error { onEvent(e); return nil })
}

// faultFreeScript is the library's script without its faults.
func faultFreeScript(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(linksFailScript)
	if err != nil {
		t.Fatal(err)
	}
	script, _, _ := strings.Cut(string(text), "churn(")
	return script
}

// Each fault by itself shows where it must and nowhere else, and the rules hold.
func TestLinkFaultsOneByOne(t *testing.T) {
	type eventCounts struct{ accepted, abandoned, calls, rejected int }
	for _, c := range []struct {
		name, faults string
		from, to     float64 // the fault, in seconds
		want         func(n0, rest eventCounts) bool
	}{
		{
			"clients can't reach it",
			`link(at = 20, seconds = 10, of = "n0", to = "clients", what = "CUT")`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.accepted == 0 && rest.accepted > 100 },
		},
		{
			"its answers do not reach clients",
			`link(at = 20, seconds = 10, of = "n0", to = "clients", one_way = True, what = "SILENT")`, 20.5, 30,
			func(n0, rest eventCounts) bool {
				return n0.accepted == 0 && n0.abandoned > 10 && n0.calls > 0 && rest.abandoned == 0
			},
		},
		{
			"what clients say does not arrive",
			`link(at = 20, seconds = 10, of = "clients", to = "n0", one_way = True, what = "SILENT")`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.accepted == 0 && n0.abandoned > 10 && rest.abandoned == 0 },
		},
		{
			"partners are cut off from it",
			`link(at = 20, seconds = 10, of = "n0", to = "partners", what = "CUT")`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.calls == 0 && rest.calls > 100 },
		},
		{
			"it is stopped",
			`sender(number = 0, at = 20, what = "stop", seconds = 10)`, 20.5, 29.9,
			func(n0, rest eventCounts) bool {
				return n0.accepted+n0.calls == 0 && n0.abandoned > 5 && rest.abandoned == 0
			},
		},
		{
			"clients are sent away",
			`sender(number = 0, at = 20, what = "drain", seconds = 10)`, 20.5, 30,
			func(n0, rest eventCounts) bool { return n0.accepted+n0.abandoned == 0 && rest.accepted > 100 },
		},
		{
			"fewer slots and less room",
			`sender(number = 0, at = 20, what = "retune", slots = 0.05, hold = 0.05)`, 22, 40,
			func(n0, rest eventCounts) bool { return n0.rejected > 10*rest.rejected+10 && n0.accepted > 0 },
		},
		{
			"nothing", "", 20.5, 30,
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

// No gossip passes a cut, all of it passes healthy links, and duplicates change nothing.
func TestGossipOnLinks(t *testing.T) {
	outage := "trouble(what = \"DOWN\", at = 15, seconds = 20, part = 0.5)\n"
	received := map[string]int{}
	for name, faults := range map[string]string{
		"sound": "", "cut": `parts(at = 0, seconds = 90, parts = 20, what = "CUT")`,
		"doubled": `link(at = 0, seconds = 90, of = "senders", to = "senders", double = 1)`,
		"lost":    `link(at = 0, seconds = 90, of = "senders", to = "senders", loss = 1)`,
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
	if received["sound"] == 0 || received["cut"] != 0 || received["lost"] != 0 || received["doubled"] < received["sound"] {
		t.Errorf("gossip received: %v", received)
	}
}

// With all faults at once, over seeds and sizes, the rules hold, and service stays that of a fleet that works.
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
				t.Errorf("%v senders, seed %d: service %.3f, whole %.3f, %+v",
					c.senders, seed, r.Service, r.Overall, r.Violations)
			}
			t.Logf("%v senders, seed %d: whole %.3f, %d restarts, %d gossip packets received",
				c.senders, seed, r.Overall, r.Restarts, r.GossipReceived)
		}
	}
}
