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

// runFleetDead runs fleet-dead.star with additional script lines. It returns the outages and the result, and passes
// each event to observe.
func runFleetDead(
	t *testing.T, parameters map[string]float64, seed uint64, observe func(audit.Event), extraLines ...string,
) ([]Outage, simulation.Result) {
	t.Helper()
	text, err := os.ReadFile("../../examples/scenarios/fleet-dead.star")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("fleet-dead.star", []byte(string(text)+strings.Join(extraLines, "\n")), parameters)
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

// Half of the endpoints of two destinations fail. The outages must agree with the events of the ledger, counted here
// in another way.
func TestOutages(t *testing.T) {
	discoveries, requested, senders := 0, 0, map[int]bool{}
	list, _ := runFleetDead(t, nil, 1, func(e audit.Event) {
		if e.At < 14*time.Second || e.At >= 20*time.Second {
			return
		}
		switch e.Kind {
		case audit.FailureSeen: // there are no limits and enough capacity, so nothing else fails
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
		t.Errorf("%d discoveries by %d senders, %d messages requested: %+v", discoveries, len(senders), requested, list)
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
		t.Errorf("outages without a fault: %+v", list)
	}
}

// Checks the guarantee of docs/design/fleet-limits.md. With half of the endpoints dead or hanging, at least 0.97 of
// the requested weight is served at any fleet size, and the number of calls that hit a dead endpoint grows no faster
// than the logarithm of the number of senders. If the fleet is split into five partitions, the same holds for each
// partition.
func TestFleetServiceWithDeadEndpoints(t *testing.T) {
	countDiscoveries := func(senders, rate, mode, parts float64) int {
		list, r := runFleetDead(t, map[string]float64{"senders": senders, "rate": rate, "mode": mode, "parts": parts}, 2,
			func(audit.Event) {})
		n := 0
		for _, x := range list {
			if n += x.Discoveries; x.Served < 0.97 {
				t.Errorf("%v senders, mode %v, %v partitions: %+v", senders, mode, parts, x)
			}
		}
		t.Logf("%v senders, mode %v, %v partitions: %d discoveries, %d gossip messages", senders, mode, parts, n,
			r.GossipSent)
		return n
	}
	smallFleet, largeFleet := countDiscoveries(20, 160, 0, 1), countDiscoveries(250, 500, 0, 1)
	if limit := float64(smallFleet) * math.Log(250) / math.Log(20); float64(largeFleet) > limit {
		t.Errorf("20 senders: %d discoveries of dead endpoints, 250 senders: %d, want at most %.0f", smallFleet,
			largeFleet, limit)
	}
	if partitioned := countDiscoveries(250, 500, 0, 5); partitioned > 5*largeFleet {
		t.Errorf("%d discoveries in five partitions, %d in one", partitioned, largeFleet)
	}
	countDiscoveries(250, 500, 1, 1)
}

// A link that is broken between some senders and one of six endpoints must not keep other senders from using that
// endpoint for long. An endpoint that fails intermittently must be discovered by few senders each time. The test checks
// that the endpoint still receives most of its even share of the calls of those senders that can reach it.
func TestFleetWithBrokenLinks(t *testing.T) {
	const linkToEndpoint = `link(at = 10, seconds = 18, to = "endpoint/e00001", `
	for _, c := range []struct {
		name, more     string
		minShare       float64 // minimum fraction of the destination's calls that go to the endpoint
		maxDiscoveries int     // maximum number of discoveries
	}{
		{"one sender cannot reach the endpoint", linkToEndpoint + `of = "n0", what = "CUT")`, 0.14, 10},
		{"five senders cannot reach it", linkToEndpoint + `of = ["n0", "n1", "n2", "n3", "n4"], what = "CUT")`, 0.13, 40},
		{"the senders of one zone cannot reach the endpoint", linkToEndpoint + `of = "bldg-a", what = "CUT")`, 0.03, 200},
		{"the link from one zone drops packets", linkToEndpoint + `of = "bldg-a", what = "SILENT")`, 0.03, 200},
		{
			"the endpoint fails intermittently",
			`[trouble(what = "DOWN", at = 10 + 2 * i, seconds = 1, destination = 1, endpoints = 0.17) for i in range(9)]`,
			0.12, 60,
		},
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
		t.Logf("%s: %.3f of the calls to the endpoint, %d discoveries, %.3f served", c.name, share, discoveries, r.Overall)
		if share < c.minShare || discoveries > c.maxDiscoveries || discoveries == 0 || r.Overall < 0.98 {
			t.Errorf("%s: %.3f of the calls to the endpoint, %d discoveries, %.3f served", c.name, share, discoveries, r.Overall)
		}
	}
}
