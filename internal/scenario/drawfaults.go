package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"cleathold/internal/partner"
)

// drawFaults draws the endpoints that each fault affects. It adds destinations as long as the fault's share of the
// traffic allows, but at least one.
func (p *Plan) drawFaults(rng *rand.Rand) {
	for i, f := range p.Scenario.Faults {
		span := drawSpan(rng, f.At, f.Length)
		fault := partner.Fault{Mode: f.Mode, Share: f.Share.draw(rng), Factor: f.Factor.draw(rng)}
		if f.EndKnown {
			fault.Until = span.To
		}
		maxShare, affected := f.TrafficShare.draw(rng), 0.0
		for _, n := range rng.Perm(len(p.Destinations)) {
			d := &p.Destinations[n]
			ids := p.drawFaultyEndpoints(rng, &f, d)
			share := d.Share * float64(len(ids)) / float64(len(d.Endpoints))
			excluded := f.Kind != "" && d.Kind != f.Kind || f.Dest >= 0 && d.Dest != f.Dest
			if len(ids) == 0 || excluded || affected > 0 && affected+share > maxShare {
				continue
			}
			affected += share
			for _, id := range ids {
				p.Changes = append(p.Changes,
					Change{At: span.From, Endpoint: id, Fault: fault, FaultIndex: i},
					Change{At: span.To, Endpoint: id, FaultIndex: i})
			}
		}
	}
}

// drawFaultyEndpoints draws the endpoints of a destination that a fault affects.
func (p *Plan) drawFaultyEndpoints(rng *rand.Rand, f *Fault, d *Destination) []string {
	var ids []string
	for _, e := range d.Endpoints {
		if f.Zone == "" || p.Scenario.Zones[e.Zone] == f.Zone {
			ids = append(ids, e.ID)
		}
	}
	if f.Endpoints > 0 && len(ids) > 0 {
		rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		n := int(math.Round(f.Endpoints * float64(len(d.Endpoints))))
		ids = ids[:min(len(ids), max(1, n))]
	}
	return ids
}

// resolveOverlaps resolves overlapping faults of an endpoint: the fault that began last applies, and the endpoint is
// healthy after the end of all of them.
func (p *Plan) resolveOverlaps() {
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	activeFaults := map[string][]Change{} // by endpoint, in the order of their beginnings
	for i := range p.Changes {
		c := &p.Changes[i]
		if c.Fault.Mode != partner.Healthy {
			activeFaults[c.Endpoint] = append(activeFaults[c.Endpoint], *c)
			continue
		}
		remaining := slices.DeleteFunc(activeFaults[c.Endpoint], func(o Change) bool { return o.FaultIndex == c.FaultIndex })
		if activeFaults[c.Endpoint] = remaining; len(remaining) > 0 {
			c.Fault = remaining[len(remaining)-1].Fault
		}
	}
}

// drawWindows draws the time windows of the bursts and of the hot keys.
func (p *Plan) drawWindows(rng *rand.Rand) {
	for _, b := range p.Scenario.Bursts {
		p.burstWindows = append(p.burstWindows, window{Span: drawSpan(rng, b.At, b.Length), amount: b.Factor.draw(rng)})
	}
	for _, h := range p.Scenario.HotKeys {
		span := drawSpan(rng, h.At, h.Length)
		p.hotKeyWindows = append(p.hotKeyWindows, window{Span: span, amount: h.Share.draw(rng), destinations: h.Destinations})
	}
}

// drawChurns draws the endpoints that are replaced, one after another. No endpoint is replaced twice.
func (p *Plan) drawChurns(rng *rand.Rand) {
	serial := 0
	replaced := map[string]bool{}
	for _, c := range p.Scenario.Churns {
		at := c.At.seconds(rng)
		for at < p.Scenario.Length {
			d := &p.Destinations[rng.IntN(len(p.Destinations))]
			e := d.Endpoints[rng.IntN(len(d.Endpoints))]
			if !replaced[e.ID] {
				replaced[e.ID] = true
				serial++
				replacement := &partner.EndpointSpec{ID: fmt.Sprintf("n%05d", serial), Zone: e.Zone}
				address, successor := "", d
				if c.ReuseAddress || c.MoveAddress {
					address = e.ID
				}
				if c.MoveAddress {
					successor = &p.Destinations[rng.IntN(len(p.Destinations))]
				}
				p.Changes = append(p.Changes,
					Change{At: at, Endpoint: e.ID, Dest: d.Dest, FaultIndex: -1, StartsDraining: true},
					Change{At: at + c.Drain, Endpoint: e.ID, Dest: d.Dest, FaultIndex: -1, Removed: true},
					Change{At: at + c.Drain, Endpoint: replacement.ID, Dest: successor.Dest, FaultIndex: -1, Added: replacement,
						Address: address})
			}
			if c.Every <= 0 {
				break
			}
			at += c.Every
		}
	}
}
