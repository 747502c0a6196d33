package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cleathold/internal/partner"
)

// A Mark is something that happens, on the time axis.
type Mark struct {
	From, To time.Duration // To = From for what takes no time
	Text     string
}

// Marks are what happens in a plan, in the order of their times.
func (p *Plan) Marks() []Mark {
	var list []Mark
	words := map[partner.Mode]string{}
	for word, mode := range faultModes {
		words[mode] = word
	}
	for i, t := range p.Scenario.Faults {
		m := Mark{From: -1}
		dests, share := map[int]bool{}, 0.0
		for _, c := range p.Changes {
			if c.Of != i || c.Joins != nil || c.Drains || c.Leaves {
				continue
			}
			if m.From >= 0 && c.At > m.From { // the later change of each endpoint is its end
				m.To = c.At
				continue
			}
			m.From = c.At
			for _, d := range p.Dests {
				for _, e := range d.Endpoints {
					if e.ID == c.Endpoint {
						dests[d.Dest] = true
						share += d.Share / float64(len(d.Endpoints))
					}
				}
			}
		}
		if m.From < 0 {
			continue
		}
		where := ""
		if t.Zone != "" {
			where = " in " + t.Zone
		}
		m.Text = fmt.Sprintf("%s%s: %d destinations, %.0f%% of the traffic", words[t.Mode], where, len(dests), 100*share)
		list = append(list, m)
	}
	for _, c := range p.Changes {
		if c.Of < 0 && c.Leaves {
			list = append(list, Mark{c.At, c.At, fmt.Sprintf("%s of destination %d is gone", c.Endpoint, c.Dest)})
		}
	}
	for _, b := range p.bursts {
		list = append(list, Mark{b.from, b.to, fmt.Sprintf("burst: %.1f times the traffic", b.size)})
	}
	for _, h := range p.hotKeys {
		list = append(list, Mark{h.from, h.to, fmt.Sprintf("%d large destinations draw %.0f%% more", h.keys, 100*h.size)})
	}
	for _, b := range p.DiscoveryOutages {
		list = append(list, Mark{b.From, b.To, "discovery is down"})
	}
	for i, d := range p.Scenario.Actions {
		m := Mark{From: -1}
		senders := 0
		for _, x := range p.Actions {
			if x.Of == i {
				if senders++; m.From < 0 {
					m.From = x.At
				}
				m.To = max(m.To, x.At, x.Until)
			}
		}
		if m.Text = fmt.Sprintf("sender %d: %s", d.Sender, d.What); d.Sender < 0 {
			m.Text = fmt.Sprintf("%d senders: %s", senders, d.What)
		}
		list = append(list, m)
	}
	for _, d := range p.AgentActions {
		list = append(list, Mark{d.At, d.Until, fmt.Sprintf("agent %d: %s", d.Agent, d.What)})
	}
	for _, o := range p.Orders {
		list = append(list, Mark{o.At, o.At, fmt.Sprintf("ordered at agent %d: %s of %s", o.Agent, o.What, summarize(o.Of))})
	}
	for _, l := range p.Links {
		list = append(list, Mark{l.From, l.To, l.Text})
	}
	slices.SortStableFunc(list, func(a, b Mark) int { return cmp.Compare(a.From, b.From) })
	return list
}

// summarize names a few of the parties.
func summarize(names []string) string {
	switch {
	case len(names) == 0:
		return "all others"
	case len(names) > 4:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], ", "), len(names)-3)
	}
	return strings.Join(names, ", ")
}
