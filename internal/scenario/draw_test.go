package scenario

import (
	"reflect"
	"testing"
	"time"

	"cleathold/internal/partner"
)

// The same seed draws the same plan, and a change of one part of the script does not change the draws of other parts.
func TestSameSeed(t *testing.T) {
	draw := func(extra string, seed uint64) (*Plan, []Arrival) {
		p := parseWith(t, extra).Plan(seed)
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
	same := reflect.DeepEqual(p.Destinations, q.Destinations) && reflect.DeepEqual(p.Changes, q.Changes)
	if !same || !reflect.DeepEqual(list, list2) {
		t.Error("two draws with the same seed produced different plans")
	}
	if _, other := draw("", 6); reflect.DeepEqual(list, other) {
		t.Error("different seeds produced the same messages")
	}
	q, list2 = draw("trouble(what = \"SLOW\", at = 1, seconds = 2)\nsender(number = 0, at = 3, what = \"kill\")\n", 5)
	if !reflect.DeepEqual(p.Destinations, q.Destinations) || !reflect.DeepEqual(list, list2) ||
		len(q.Changes) <= len(p.Changes) {
		t.Error("an additional fault changed the fleet or the messages")
	}
}

// An action on a share of the senders affects each drawn sender once, spread over the given time.
func TestActionsOnShare(t *testing.T) {
	p := parseWith(t, `
sender(share = 0.7, at = 10, what = "stop", seconds = 4, spread = 2)
sender(number = 1, at = 30, what = "retune", slots = 0.5)
`).Plan(3)
	seen := map[int]bool{}
	for _, d := range p.Actions[:2] {
		seen[d.Sender] = true
		if d.At < 10*time.Second || d.At > 12*time.Second || d.Until-d.At != 4*time.Second {
			t.Errorf("%+v", d)
		}
	}
	if len(seen) != 2 || len(p.Actions) != 3 || p.Actions[0].At == p.Actions[1].At {
		t.Errorf("%+v", p.Actions)
	}
	if p.Actions[2].InFlight != 0.5 || p.Actions[2].OpenMessages != 1 {
		t.Errorf("%+v", p.Actions)
	}
}

// A fault affects the zone, the share of the traffic and the kind that the script specifies.
func TestFaultPlacement(t *testing.T) {
	for seed := range uint64(50) {
		p := parseWith(t, `trouble(what = "SHUT", at = 30, seconds = 5, kind = "large-partners", part = 1, knows_end = True)
`).Plan(seed)
		destOf := map[string]Destination{}
		zoneOf := map[string]string{}
		for _, d := range p.Destinations {
			for _, e := range d.Endpoints {
				destOf[e.ID], zoneOf[e.ID] = d, p.Scenario.Zones[e.Zone]
			}
		}
		share, endpoints := 0.0, map[int]int{}
		shut := map[int]bool{}
		for _, c := range p.Changes {
			switch {
			case c.FaultIndex == 0 && c.Fault.Mode == partner.Down:
				d := destOf[c.Endpoint]
				share += d.Share / float64(len(d.Endpoints))
				endpoints[d.Dest]++
				if zoneOf[c.Endpoint] != "bldg-b" {
					t.Errorf("seed %d: endpoint %s in zone %s has a fault", seed, c.Endpoint, zoneOf[c.Endpoint])
				}
			case c.FaultIndex == 1 && c.Fault.Mode == partner.Shut:
				shut[destOf[c.Endpoint].Dest] = true
				if c.Fault.Until != 35*time.Second || destOf[c.Endpoint].Kind != "large-partners" {
					t.Errorf("seed %d: %+v", seed, c)
				}
			}
		}
		if len(endpoints) == 0 || share > 0.25 && len(endpoints) > 1 {
			t.Errorf("seed %d: %.2f of the traffic, %v", seed, share, endpoints)
		}
		for _, d := range p.Destinations {
			if d.Kind == "large-partners" && !shut[d.Dest] {
				t.Errorf("seed %d: destination %d is not shut", seed, d.Dest)
			}
		}
	}
}

func TestChurn(t *testing.T) {
	p := parseWith(t, "churn(at = 5, every = 2, drain = 1, reuse_address = True)\n").Plan(1)
	drains, added := map[string]time.Duration{}, 0
	for _, c := range p.Changes {
		switch {
		case c.StartsDraining:
			if _, twice := drains[c.Endpoint]; twice {
				t.Errorf("endpoint %s drains twice", c.Endpoint)
			}
			drains[c.Endpoint] = c.At
		case c.Removed && c.At != drains[c.Endpoint]+time.Second:
			t.Errorf("%+v", c)
		case c.Added != nil:
			if added++; c.Address == "" || drains[c.Address] != c.At-time.Second {
				t.Errorf("%+v", c)
			}
		}
	}
	if added < 5 || added != len(drains) {
		t.Errorf("%d endpoints are added, %d drain", added, len(drains))
	}
}
