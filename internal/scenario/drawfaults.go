package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"cleathold/internal/partner"
)

// drawFaults draws which endpoints each fault is at: those of as many destinations as its part of the traffic allows,
// and of the first one drawn in any case.
func (p *Plan) drawFaults(rng *rand.Rand) {
	for i, t := range p.Scenario.Faults {
		from := t.At.seconds(rng)
		to := from + t.Length.seconds(rng)
		fault := partner.Fault{Mode: t.Mode, Share: t.Share.draw(rng), Factor: t.Factor.draw(rng)}
		if t.EndKnown {
			fault.Until = to
		}
		maxShare, total := t.TrafficShare.draw(rng), 0.0
		for _, n := range rng.Perm(len(p.Dests)) {
			d := &p.Dests[n]
			var ids []string
			for _, e := range d.Endpoints {
				if t.Zone == "" || p.Scenario.Zones[e.Zone] == t.Zone {
					ids = append(ids, e.ID)
				}
			}
			if t.Endpoints > 0 && len(ids) > 0 {
				rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				ids = ids[:min(len(ids), max(1, int(math.Round(t.Endpoints*float64(len(d.Endpoints))))))]
			}
			share := d.Share * float64(len(ids)) / float64(len(d.Endpoints))
			excluded := t.Kind != "" && d.Kind != t.Kind || t.Dest >= 0 && d.Dest != t.Dest
			if len(ids) == 0 || excluded || total > 0 && total+share > maxShare {
				continue
			}
			total += share
			for _, id := range ids {
				p.Changes = append(p.Changes,
					Change{At: from, Endpoint: id, Fault: fault, Of: i},
					Change{At: to, Endpoint: id, Of: i})
			}
		}
	}
}

// resolveOverlaps lets the fault that began last stand where faults of an endpoint overlap. The endpoint is healthy
// after the end of the last one.
func (p *Plan) resolveOverlaps() {
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	current := map[string][]Change{} // by endpoint, in the order in which they began
	for i := range p.Changes {
		c := &p.Changes[i]
		if c.Fault.Mode != partner.Healthy {
			current[c.Endpoint] = append(current[c.Endpoint], *c)
			continue
		}
		remaining := slices.DeleteFunc(current[c.Endpoint], func(o Change) bool { return o.Of == c.Of })
		if current[c.Endpoint] = remaining; len(remaining) > 0 {
			c.Fault = remaining[len(remaining)-1].Fault
		}
	}
}

// drawWindows draws the bursts and the hot keys.
func (p *Plan) drawWindows(rng *rand.Rand) {
	for _, b := range p.Scenario.Bursts {
		from := b.At.seconds(rng)
		p.bursts = append(p.bursts, window{from, from + b.Length.seconds(rng), b.Factor.draw(rng), 0})
	}
	for _, h := range p.Scenario.HotKeys {
		from := h.At.seconds(rng)
		p.hotKeys = append(p.hotKeys, window{from, from + h.Length.seconds(rng), h.Share.draw(rng), h.Keys})
	}
}

// drawChurns draws which endpoints are replaced: one after another, none twice.
func (p *Plan) drawChurns(rng *rand.Rand) {
	serial := 0
	replaced := map[string]bool{}
	for _, c := range p.Scenario.Churns {
		at := c.At.seconds(rng)
		for at < p.Scenario.Length {
			d := &p.Dests[rng.IntN(len(p.Dests))]
			e := d.Endpoints[rng.IntN(len(d.Endpoints))]
			if !replaced[e.ID] {
				replaced[e.ID] = true
				serial++
				replacement := &partner.EndpointSpec{ID: fmt.Sprintf("n%05d", serial), Zone: e.Zone}
				address := ""
				if c.Reuse {
					address = e.ID
				}
				p.Changes = append(p.Changes,
					Change{At: at, Endpoint: e.ID, Dest: d.Dest, Of: -1, Drains: true},
					Change{At: at + c.Drain, Endpoint: e.ID, Dest: d.Dest, Of: -1, Leaves: true},
					Change{At: at + c.Drain, Endpoint: replacement.ID, Dest: d.Dest, Of: -1, Joins: replacement, Address: address})
			}
			if c.Every <= 0 {
				break
			}
			at += c.Every
		}
	}
}
