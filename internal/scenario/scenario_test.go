package scenario

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cleathold/internal/partner"
	"cleathold/internal/settings"
)

func libraryScript(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/scenarios/building-refuses.star")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func parseWith(t testing.TB, more string) *Scenario {
	t.Helper()
	s, err := Parse("s.star", []byte(libraryScript(t)+more), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Every rehearsal of the library reads, and its plan makes a model.
func TestLibrary(t *testing.T) {
	list, _ := filepath.Glob("../../examples/scenarios/*.star")
	if len(list) == 0 {
		t.Fatal("no library")
	}
	for _, path := range list {
		s, err := Load(path, nil)
		if err != nil {
			t.Error(err)
			continue
		}
		if _, err := s.Plan(1).Model(); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestScriptErrors(t *testing.T) {
	lines := strings.Count(libraryScript(t), "\n")
	for _, c := range []struct{ name, text, want string }{
		{"unknown trouble", `trouble(what = "ODD", at = 1, seconds = 1)`, `:1:8: trouble: what: "ODD" is no trouble`},
		{"bad range", `burst(at = 1, seconds = (3, 2), factor = 2)`, ":1:6: burst: seconds: a range"},
		{"no number", `burst(at = "x", seconds = 3, factor = 2)`, ":1:6: burst: at: got string"},
		{"unknown argument", `hot(at = 1, seconds = 3, share = 0.1, size = 2)`, `:1:4: hot: unexpected argument "size"`},
		{"position", `hot(1)`, ":1:4: hot: arguments go by name"},
		{"keyed without memory", `message_class(name = "x", share = 1, service = 1, aim = 1, deadline = 2, effect = "keyed")`, ":1:14: message_class: a keyed class"},
		{"no kind", `fleet(kind = "x", destinations = 1)`, `: fleet: no kind "x"`},
		{"no zone", `trouble(what = "DOWN", at = 1, seconds = 1, zone = "x")`, `: trouble: no zone "x"`},
		{"more endpoints than there are", `trouble(what = "DOWN", at = 1, seconds = 1, endpoints = 1.5)`, ":1:8: trouble: share, part and endpoints: 0 to 1"},
		{"too many endpoints", `fleet(kind = "x", endpoints = 5000)`, ":1:6: fleet: destinations: 1 to 100,000"},
		{"no sender", `sender(number = 3, at = 1, what = "kill")`, ": sender: no number 3"},
		{"syntax", `trouble(`, ":2:1: got end of file"},
	} {
		_, err := Parse("s.star", []byte(libraryScript(t)+c.text+"\n"), nil)
		var own *settings.Error
		if !errors.As(err, &own) {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if own.Line > 0 {
			own.Line -= lines
		}
		if !strings.HasPrefix(own.Error(), "s.star"+c.want) {
			t.Errorf("%s: %v, want %s", c.name, own, c.want)
		}
	}
}

// One seed makes one plan; a change of one part leaves the draws of the others.
func TestSameSeed(t *testing.T) {
	draw := func(more string, seed uint64) (*Plan, []Arrival) {
		p := parseWith(t, more).Plan(seed)
		var list []Arrival
		for a, more := p.Arrivals(), true; more; {
			var m Arrival
			if m, more = a.Next(); more {
				list = append(list, m)
			}
		}
		return p, list
	}
	p, list := draw("", 5)
	q, list2 := draw("", 5)
	if !reflect.DeepEqual(p.Dests, q.Dests) || !reflect.DeepEqual(p.Changes, q.Changes) || !reflect.DeepEqual(list, list2) {
		t.Error("the same seed, another plan")
	}
	if _, other := draw("", 6); reflect.DeepEqual(list, other) {
		t.Error("another seed, the same messages")
	}
	q, list2 = draw("trouble(what = \"SLOW\", at = 1, seconds = 2)\nsender(number = 0, at = 3, what = \"kill\")\n", 5)
	if !reflect.DeepEqual(p.Dests, q.Dests) || !reflect.DeepEqual(list, list2) || len(q.Changes) <= len(p.Changes) {
		t.Error("a trouble more changes the fleet or the messages")
	}
}

// The messages are as the script says: rate, shares, clumps, bursts, hot times.
func TestTraffic(t *testing.T) {
	count := func(more string) (n int, byClass, byDest map[int]int, within map[int]int, p *Plan) {
		p = parseWith(t, more).Plan(3)
		p.Scenario.Length = 600 * time.Second
		byClass, byDest, within = map[int]int{}, map[int]int{}, map[int]int{}
		var last time.Duration
		for a := p.Arrivals(); ; n++ {
			m, some := a.Next()
			if !some {
				return
			}
			if m.At < last || m.N != n || m.At > p.Scenario.Length {
				t.Fatalf("%+v after %v", m, last)
			}
			last = m.At
			byClass[m.Class]++
			byDest[m.Dest]++
			within[int(m.At/(100*time.Second))]++
		}
	}
	near := func(name string, got, want, part float64) {
		t.Helper()
		if math.Abs(got-want) > part*want {
			t.Errorf("%s: %g, want %g", name, got, want)
		}
	}
	n, byClass, byDest, _, p := count("")
	near("messages", float64(n), 0.8*47*600, 0.1)
	near("status", float64(byClass[0]), 0.55*float64(n), 0.05)
	large := p.Dests[0]
	for _, d := range p.Dests {
		if d.Share > large.Share {
			large = d
		}
	}
	near("the largest destination", float64(byDest[large.Dest]), large.Share*float64(n), 0.15)
	_, _, _, within, _ := count("burst(at = 200, seconds = 100, factor = 2)\n")
	near("a burst", float64(within[2]), 2*float64(within[1]), 0.15)
	_, _, hot, _, _ := count("hot(at = 0, seconds = 600, share = 0.2)\n")
	near("a hot destination", float64(hot[large.Dest])/float64(n), large.Share*0.8+0.2, 0.2)
}

// A trouble strikes as it is told to: zone, part of the traffic, kind.
func TestFaultsStrikeAsDescribed(t *testing.T) {
	for seed := range uint64(50) {
		p := parseWith(t, "trouble(what = \"SHUT\", at = 30, seconds = 5, kind = \"large-partners\", part = 1, knows_end = True)\n").Plan(seed)
		where := map[string]Destination{}
		zone := map[string]string{}
		for _, d := range p.Dests {
			for _, e := range d.Endpoints {
				where[e.ID], zone[e.ID] = d, p.Scenario.Zones[e.Zone]
			}
		}
		share, endpoints := 0.0, map[int]int{}
		shut := map[int]bool{}
		for _, c := range p.Changes {
			switch {
			case c.Of == 0 && c.Fault.Mode == partner.Down:
				d := where[c.Endpoint]
				share += d.Share / float64(len(d.Endpoints))
				endpoints[d.Dest]++
				if zone[c.Endpoint] != "bldg-b" {
					t.Errorf("seed %d: %s of %s is struck", seed, c.Endpoint, zone[c.Endpoint])
				}
			case c.Of == 1 && c.Fault.Mode == partner.Shut:
				shut[where[c.Endpoint].Dest] = true
				if c.Fault.Until != 35*time.Second || where[c.Endpoint].Kind != "large-partners" {
					t.Errorf("seed %d: %+v", seed, c)
				}
			}
		}
		if len(endpoints) == 0 || share > 0.25 && len(endpoints) > 1 {
			t.Errorf("seed %d: %.2f of the traffic, %v", seed, share, endpoints)
		}
		for _, d := range p.Dests {
			if d.Kind == "large-partners" && !shut[d.Dest] {
				t.Errorf("seed %d: destination %d was to be shut", seed, d.Dest)
			}
		}
	}
}

func TestChurn(t *testing.T) {
	p := parseWith(t, "churn(at = 5, every = 2, drain = 1, reuse_address = True)\n").Plan(1)
	drains, comes := map[string]time.Duration{}, 0
	for _, c := range p.Changes {
		switch {
		case c.Drains:
			if _, twice := drains[c.Endpoint]; twice {
				t.Errorf("%s drains twice", c.Endpoint)
			}
			drains[c.Endpoint] = c.At
		case c.Leaves && c.At != drains[c.Endpoint]+time.Second:
			t.Errorf("%+v", c)
		case c.Joins != nil:
			if comes++; c.Address == "" || drains[c.Address] != c.At-time.Second {
				t.Errorf("%+v", c)
			}
		}
	}
	if comes < 5 || comes != len(drains) {
		t.Errorf("%d come, %d go", comes, len(drains))
	}
}
