package report

import (
	"bytes"
	"log/slog"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// runFleetDead plays fleet-runFleetDead.star and what is added to it, and tells what its senders ran into.
func runFleetDead(
	t *testing.T, parameters map[string]float64, seed uint64, observe func(audit.Event), more ...string,
) ([]Outage, simulation.Result) {
	t.Helper()
	text, err := os.ReadFile("../../examples/scenarios/fleet-dead.star")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("fleet-dead.star", []byte(string(text)+strings.Join(more, "\n")), parameters)
	if err != nil {
		t.Fatal(err)
	}
	p := s.Plan(seed)
	o := NewOutages(p)
	sim, err := simulation.NewSim(p, slog.New(slog.DiscardHandler),
		func(e audit.Event) error { observe(e); return o.Read(e) })
	if err != nil {
		t.Fatal(err)
	}
	r, err := sim.Run()
	if err != nil || len(r.Violations) > 0 {
		t.Fatalf("%v: %v %+v", parameters, err, r.Violations)
	}
	return o.List(), r
}

// Half of the endpoints of two destinations die: what is told of it is what the ledger holds, counted another way.
func TestOutages(t *testing.T) {
	discoveries, requested, senders := 0, 0, map[int]bool{}
	list, _ := runFleetDead(t, nil, 1, func(e audit.Event) {
		if e.At < 14*time.Second || e.At >= 20*time.Second {
			return
		}
		switch e.Kind {
		case audit.FailureSeen: // no limits, and room for all: nothing else fails
			discoveries++
			senders[e.Sender] = true
		case audit.Requested:
			requested++
		}
	})
	if len(list) != 2 {
		t.Fatalf("%+v", list)
	}
	a, b := list[0], list[1]
	if a.Discoveries+b.Discoveries != discoveries || a.Requested+b.Requested != requested || discoveries == 0 ||
		max(a.DiscoveringSenders, b.DiscoveringSenders) > len(senders) ||
		a.DiscoveringSenders+b.DiscoveringSenders < len(senders) {
		t.Errorf("%d finds by %d senders, %d messages wanted: %+v", discoveries, len(senders), requested, list)
	}
	for _, x := range list {
		if x.Affected != 3 || x.Of != 6 || x.From != 14 || x.To != 20 || x.DiscoveriesInFirstSecond > x.Discoveries ||
			x.MaxOfOneSender > x.Discoveries || x.Served <= 0.5 || x.Served > 1 || x.BalancedAfter < 1 || x.BalancedAfter > 10 {
			t.Errorf("%+v", x)
		}
	}
	var out bytes.Buffer
	if err := WriteOutages(&out, list); err != nil || strings.Count(out.String(), "\n") != 3 ||
		!strings.Contains(out.String(), "3/6") {
		t.Errorf("%v\n%s", err, out.String())
	}
	if list, _ := runFleetDead(t, map[string]float64{"dead": 0}, 1, func(audit.Event) {}); len(list) != 0 {
		t.Errorf("nothing was struck: %+v", list)
	}
}

// The promise of docs/design/fleet-limits.md: with half of the endpoints dead, or hanging, at least 0.97 is served at
// any size, and the calls that run into a dead one grow no faster than the logarithm of the senders. The same holds
// of a fleet in five parts, for each part.
func TestFleetServiceWithDeadEndpoints(t *testing.T) {
	countDiscoveries := func(senders, rate, mode, parts float64) int {
		list, r := runFleetDead(t, map[string]float64{"senders": senders, "rate": rate, "mode": mode, "parts": parts}, 2,
			func(audit.Event) {})
		n := 0
		for _, x := range list {
			if n += x.Discoveries; x.Served < 0.97 {
				t.Errorf("%v senders, mode %v, %v parts: %+v", senders, mode, parts, x)
			}
		}
		t.Logf("%v senders, mode %v, %v parts: %d finds, %d notes", senders, mode, parts, n, r.GossipSent)
		return n
	}
	few, many := countDiscoveries(20, 160, 0, 1), countDiscoveries(250, 500, 0, 1)
	if most := float64(few) * math.Log(250) / math.Log(20); float64(many) > most {
		t.Errorf("20 senders find the dead endpoints %d times, 250 %d times, %.0f at most", few, many, most)
	}
	if parted := countDiscoveries(250, 500, 0, 5); parted > 5*many {
		t.Errorf("%d finds in five parts, %d in one", parted, many)
	}
	countDiscoveries(250, 500, 1, 1)
}

// Ways that are broken between some senders and one endpoint of six take it from nobody else for long, and one that
// comes and goes is found by few each time. So many calls a second go there of what an even part of those that reach
// it would be.
func TestFleetWithBrokenLinks(t *testing.T) {
	const linkToEndpoint = `link(at = 10, seconds = 18, to = "endpoint/e00001", `
	for _, c := range []struct {
		name, more     string
		minShare       float64 // of the destination's calls that go there
		maxDiscoveries int     // at most
	}{
		{"one sender can't reach it", linkToEndpoint + `of = "n0", what = "CUT")`, 0.14, 10},
		{"five can't", linkToEndpoint + `of = ["n0", "n1", "n2", "n3", "n4"], what = "CUT")`, 0.13, 40},
		{"a building can't", linkToEndpoint + `of = "bldg-a", what = "CUT")`, 0.03, 200},
		{"a building hears nothing of it", linkToEndpoint + `of = "bldg-a", what = "SILENT")`, 0.03, 200},
		{"it comes and goes", `[trouble(what = "DOWN", at = 10 + 2 * i, seconds = 1, destination = 1, endpoints = 0.17) for i in range(9)]`, 0.12, 60},
	} {
		calls, callsToEndpoint, discoveries := 0, 0, 0
		_, r := runFleetDead(t, map[string]float64{"senders": 80, "rate": 320, "dead": 0}, 1, func(e audit.Event) {
			if e.Dest != 1 || e.At < 10*time.Second || e.At >= 28*time.Second {
				return
			}
			switch e.Kind {
			case audit.FailureSeen:
				discoveries++
			case audit.Sent:
				if calls++; e.Endpoint == "e00001" {
					callsToEndpoint++
				}
			}
		}, c.more)
		share := float64(callsToEndpoint) / float64(calls)
		t.Logf("%s: %.3f of the calls go there, %d finds, %.3f served", c.name, share, discoveries, r.Overall)
		if share < c.minShare || discoveries > c.maxDiscoveries || discoveries == 0 || r.Overall < 0.98 {
			t.Errorf("%s: %.3f of the calls go there, %d finds, %.3f served", c.name, share, discoveries, r.Overall)
		}
	}
}
