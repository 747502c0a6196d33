package simulation

import (
	"os"
	"strings"
	"testing"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

const linksFail = "../../examples/scenarios/links-fail.star"

// watched plays a script, and counts its events as the caller likes.
func watched(t *testing.T, text string, seed uint64, see func(audit.Event)) Result {
	t.Helper()
	sc, err := scenario.Parse("s.star", []byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	sim, err := NewSim(sc.Plan(seed), quiet, func(e audit.Event) error { see(e); return nil })
	if err != nil {
		t.Fatal(err)
	}
	r, err := sim.Run()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// calm is the library's script without what fails in it.
func calm(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(linksFail)
	if err != nil {
		t.Fatal(err)
	}
	script, _, _ := strings.Cut(string(text), "churn(")
	return script
}

// Each fault by itself: it is seen where it must be, only there, and the rules hold.
func TestFaultsOfWays(t *testing.T) {
	type seen struct{ taken, gone, calls, refused int }
	for _, c := range []struct {
		name, more string
		from, to   float64 // the fault, in seconds
		want       func(n0, rest seen) string
	}{
		{"clients can't reach it", `link(at = 20, seconds = 10, of = "n0", to = "clients", what = "CUT")`, 20.5, 30, func(n0, rest seen) string {
			return is(n0.taken == 0 && rest.taken > 100)
		}},
		{"its answers do not reach clients", `link(at = 20, seconds = 10, of = "n0", to = "clients", one_way = True, what = "SILENT")`, 20.5, 30, func(n0, rest seen) string {
			return is(n0.taken == 0 && n0.gone > 10 && n0.calls > 0 && rest.gone == 0)
		}},
		{"what clients say does not arrive", `link(at = 20, seconds = 10, of = "clients", to = "n0", one_way = True, what = "SILENT")`, 20.5, 30, func(n0, rest seen) string {
			return is(n0.taken == 0 && n0.gone > 10 && rest.gone == 0)
		}},
		{"partners are cut off from it", `link(at = 20, seconds = 10, of = "n0", to = "partners", what = "CUT")`, 20.5, 30, func(n0, rest seen) string {
			return is(n0.calls == 0 && rest.calls > 100)
		}},
		{"it is stopped", `sender(number = 0, at = 20, what = "stop", seconds = 10)`, 20.5, 29.9, func(n0, rest seen) string {
			return is(n0.taken+n0.calls == 0 && n0.gone > 5 && rest.gone == 0)
		}},
		{"clients are sent away", `sender(number = 0, at = 20, what = "drain", seconds = 10)`, 20.5, 30, func(n0, rest seen) string {
			return is(n0.taken+n0.gone == 0 && rest.taken > 100)
		}},
		{"fewer slots and less room", `sender(number = 0, at = 20, what = "retune", slots = 0.05, hold = 0.05)`, 22, 40, func(n0, rest seen) string {
			return is(n0.refused > 10*rest.refused+10 && n0.taken > 0)
		}},
		{"nothing", "", 20.5, 30, func(n0, rest seen) string { return is(n0.taken > 30 && n0.calls > 30 && n0.gone+rest.gone == 0) }},
	} {
		var n0, rest seen
		r := watched(t, calm(t)+c.more, 5, func(e audit.Event) {
			if at := e.At.Seconds(); at < c.from || at >= c.to {
				return
			}
			who := &rest
			if e.Sender == 0 {
				who = &n0
			}
			switch e.Kind {
			case audit.Accepted:
				who.taken++
			case audit.Rejected:
				who.refused++
			case audit.Abandoned:
				who.gone++
			case audit.Sent:
				who.calls++
			}
		})
		if text := c.want(n0, rest); text != "" || len(r.Violations) > 0 {
			t.Errorf("%s: %s: n0 %+v, the rest %+v; %+v", c.name, text, n0, rest, r.Violations)
		}
	}
}

func is(so bool) string {
	if so {
		return ""
	}
	return "not so"
}

// Notes: none passes a cut, each passes sound ways, and those that come twice change nothing.
func TestNotesOnWays(t *testing.T) {
	trouble := "trouble(what = \"DOWN\", at = 15, seconds = 20, part = 0.5)\n"
	heard := map[string]int{}
	for name, more := range map[string]string{
		"sound": "", "cut": `parts(at = 0, seconds = 90, parts = 20, what = "CUT")`, "doubled": `link(at = 0, seconds = 90, of = "senders", to = "senders", double = 1)`,
		"lost": `link(at = 0, seconds = 90, of = "senders", to = "senders", loss = 1)`,
	} {
		sc, err := scenario.Parse("s.star", []byte(calm(t)+trouble+more), map[string]float64{"senders": 20, "rate": 100})
		if err != nil {
			t.Fatal(err)
		}
		sim, err := NewSim(sc.Plan(5), quiet, nil)
		if err != nil {
			t.Fatal(err)
		}
		r, err := sim.Run()
		if err != nil || len(r.Violations) > 0 || r.GossipSent == 0 {
			t.Errorf("%s: %v %+v, %d notes", name, err, r.Violations, r.GossipSent)
		}
		heard[name] = r.GossipReceived
	}
	if heard["sound"] == 0 || heard["cut"] != 0 || heard["lost"] != 0 || heard["doubled"] < heard["sound"] {
		t.Errorf("notes heard: %v", heard)
	}
}

// Everything at once, over seeds and sizes: the rules hold, and service stays that of a fleet that works.
func TestLinksFail(t *testing.T) {
	for _, c := range []struct {
		senders, rate float64
		seeds         uint64
	}{{4, 40, 6}, {20, 100, 2}} {
		for seed := range c.seeds {
			sc, err := scenario.Load(linksFail, map[string]float64{"senders": c.senders, "rate": c.rate})
			if err != nil {
				t.Fatal(err)
			}
			sim, err := NewSim(sc.Plan(seed), quiet, nil)
			if err != nil {
				t.Fatal(err)
			}
			r, err := sim.Run()
			if err != nil || len(r.Violations) > 0 || r.Overall < 0.6 {
				t.Errorf("%v senders, seed %d: %v, service %.3f, whole %.3f, %+v", c.senders, seed, err, r.Service, r.Overall, r.Violations)
			}
			t.Logf("%v senders, seed %d: whole %.3f, %d restarts, %d notes heard", c.senders, seed, r.Overall, r.Restarts, r.GossipReceived)
		}
	}
}
