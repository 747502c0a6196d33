package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cleathold/internal/partner"
)

// A Mark is an event of a plan for display on a time axis.
type Mark struct {
	From, To time.Duration // equal for an instantaneous event
	Text     string
}

// Marks returns the marks of a plan's events, in the order of their times.
func (p *Plan) Marks() []Mark {
	list := p.faultMarks()
	for _, c := range p.Changes {
		if c.FaultIndex < 0 && c.Removed {
			list = append(list, Mark{c.At, c.At, fmt.Sprintf("%s of destination %d is gone", c.Endpoint, c.Dest)})
		}
	}
	for _, b := range p.burstWindows {
		list = append(list, Mark{b.From, b.To, fmt.Sprintf("burst: %.1f times the traffic", b.amount)})
	}
	for _, h := range p.hotKeyWindows {
		list = append(list, Mark{h.From, h.To,
			fmt.Sprintf("%d large destinations draw %.0f%% more", h.destinations, 100*h.amount)})
	}
	for _, o := range p.DiscoveryOutages {
		list = append(list, Mark{o.From, o.To, "discovery is down"})
	}
	list = append(list, p.actionMarks()...)
	for _, a := range p.AgentActions {
		list = append(list, Mark{a.At, a.Until, fmt.Sprintf("agent %d: %s", a.Agent, a.Kind)})
	}
	for _, o := range p.Orders {
		text := fmt.Sprintf("ordered at agent %d: %s of %s", o.Agent, o.Kind, summarize(o.Senders))
		list = append(list, Mark{o.At, o.At, text})
	}
	for _, l := range p.Links {
		list = append(list, Mark{l.From, l.To, l.Text})
	}
	slices.SortStableFunc(list, func(a, b Mark) int { return cmp.Compare(a.From, b.From) })
	return list
}

// faultMarks returns one mark for each fault of the scenario that affects at least one endpoint.
func (p *Plan) faultMarks() []Mark {
	var list []Mark
	modeNames := map[partner.Mode]string{}
	for name, mode := range faultModes {
		modeNames[mode] = name
	}
	for i, f := range p.Scenario.Faults {
		m := Mark{From: -1}
		dests, share := map[int]bool{}, 0.0
		for _, c := range p.Changes {
			if c.FaultIndex != i || c.Added != nil || c.StartsDraining || c.Removed {
				continue
			}
			if m.From >= 0 && c.At > m.From { // the later change of each endpoint is the fault's end
				m.To = c.At
				continue
			}
			m.From = c.At
			if d := p.destinationOf(c.Endpoint); d != nil {
				dests[d.Dest] = true
				share += d.Share / float64(len(d.Endpoints))
			}
		}
		if m.From < 0 {
			continue
		}
		location := ""
		if f.Zone != "" {
			location = " in " + f.Zone
		}
		m.Text = fmt.Sprintf(
			"%s%s: %d destinations, %.0f%% of the traffic", modeNames[f.Mode], location, len(dests), 100*share)
		list = append(list, m)
	}
	return list
}

// destinationOf returns the destination that an endpoint belongs to from the start of the run; nil if there is none.
func (p *Plan) destinationOf(endpoint string) *Destination {
	for i, d := range p.Destinations {
		if slices.ContainsFunc(d.Endpoints, func(e partner.EndpointSpec) bool { return e.ID == endpoint }) {
			return &p.Destinations[i]
		}
	}
	return nil
}

// actionMarks returns one mark for each action on senders in the scenario.
func (p *Plan) actionMarks() []Mark {
	var list []Mark
	for i, a := range p.Scenario.Actions {
		m := Mark{From: -1}
		senders := 0
		for _, x := range p.Actions {
			if x.ActionIndex == i {
				if senders++; m.From < 0 {
					m.From = x.At
				}
				m.To = max(m.To, x.At, x.Until)
			}
		}
		if m.Text = fmt.Sprintf("sender %d: %s", a.Sender, a.Kind); a.Sender < 0 {
			m.Text = fmt.Sprintf("%d senders: %s", senders, a.Kind)
		}
		list = append(list, m)
	}
	return list
}

// summarize returns a list of the parties' names, shortened if there are more than four.
func summarize(names []string) string {
	switch {
	case len(names) == 0:
		return "all others"
	case len(names) > 4:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], ", "), len(names)-3)
	}
	return strings.Join(names, ", ")
}
