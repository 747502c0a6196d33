package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Names of the parties that are neither senders, agents nor endpoints.
const (
	Discovery = "discovery"
	Clients   = "clients"
)

// Sender returns the name of a sender as a party of links.
func Sender(num int) string { return "n" + strconv.Itoa(num) }

// Agent returns the name of an agent as a party of links.
func Agent(num int) string { return "a" + strconv.Itoa(num) }

// PlannedLink is a fault of links, drawn. Times are counted from the start of the run.
type PlannedLink struct {
	From, To time.Duration
	State    LinkState
	Text     string // description, for a time axis

	fromParties, toParties map[string]bool // names of parties; toParties nil: all that are not in fromParties
	oneWay                 bool
	sides                  map[string]int // of a partition: the side of each sender
}

// affects reports whether the fault affects the link from one party to another.
func (l *PlannedLink) affects(from, to string) bool {
	if l.sides != nil {
		a, ok1 := l.sides[from]
		b, ok2 := l.sides[to]
		return ok1 && ok2 && a != b
	}
	between := func(a, b string) bool {
		return l.fromParties[a] && (l.toParties[b] || l.toParties == nil && !l.fromParties[b])
	}
	return between(from, to) || !l.oneWay && between(to, from)
}

// LinkState returns the state of the link from one party to another at a time. If several faults affect the link, the
// one that began last applies.
func (p *Plan) LinkState(at time.Duration, from, to string) (state LinkState) {
	for i := range p.Links {
		l := &p.Links[i]
		if l.From > at {
			break
		}
		if at < l.To && l.affects(from, to) {
			state = l.State
		}
	}
	return state
}

// LinkChanges returns the times at which link states change, in ascending order.
func (p *Plan) LinkChanges() (list []time.Duration) {
	for _, l := range p.Links {
		list = append(list, l.From, l.To)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Names and name prefixes in a script that refer to several parties or to an endpoint.
const (
	allSenders     = "senders"
	allAgents      = "agents"
	allPartners    = "partners"
	zonePrefix     = "partners/"
	destPrefix     = "destination/"
	endpointPrefix = "endpoint/"
)

// expandParties returns the parties that the names in a script refer to.
func (p *Plan) expandParties(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		switch {
		case name == Discovery || name == Clients:
			set[name] = true
		case name == allSenders || slices.Contains(p.Scenario.Zones, name):
			for i := range p.Scenario.Senders {
				if name == allSenders || p.Scenario.Zones[i%len(p.Scenario.Zones)] == name {
					set[Sender(i)] = true
				}
			}
		case name == allAgents:
			for i := range p.Scenario.Agents.Number {
				set[Agent(i)] = true
			}
		case strings.HasPrefix(name, endpointPrefix):
			set[strings.TrimPrefix(name, endpointPrefix)] = true
		case name == allPartners || strings.HasPrefix(name, zonePrefix) || strings.HasPrefix(name, destPrefix):
			for _, d := range p.Destinations {
				for _, e := range d.Endpoints {
					zone, dest := zonePrefix+p.Scenario.Zones[e.Zone], destPrefix+strconv.Itoa(d.Dest)
					if name == allPartners || name == zone || name == dest {
						set[e.ID] = true
					}
				}
			}
		default:
			set[name] = true // a sender, or an agent
		}
	}
	return set
}

// drawLinks draws the faults of links and the partitions.
func (p *Plan) drawLinks(rng *rand.Rand) {
	for _, l := range p.Scenario.Links {
		span := drawSpan(rng, l.At, l.Length)
		planned := PlannedLink{From: span.From, To: span.To, State: l.LinkState, oneWay: l.OneWay}
		names := l.From
		if len(names) == 0 {
			for _, i := range p.Scenario.drawSenders(rng, l.Share) {
				names = append(names, Sender(i))
			}
		}
		if planned.fromParties = p.expandParties(names); len(l.To) > 0 {
			planned.toParties = p.expandParties(l.To)
		}
		planned.Text = l.LinkState.describe() + " between " + summarize(names) + " and " + summarize(l.To)
		if l.OneWay {
			planned.Text = l.LinkState.describe() + " from " + summarize(names) + " to " + summarize(l.To)
		}
		p.Links = append(p.Links, planned)
	}
	for _, partition := range p.Scenario.Partitions {
		span := drawSpan(rng, partition.At, partition.Length)
		planned := PlannedLink{
			From: span.From, To: span.To, State: partition.LinkState, sides: map[string]int{},
			Text: fmt.Sprintf("%s between %d parts of the senders", partition.LinkState.describe(), partition.Sides),
		}
		for i, num := range rng.Perm(p.Scenario.Senders) {
			planned.sides[Sender(num)] = i % partition.Sides
		}
		p.Links = append(p.Links, planned)
	}
	slices.SortStableFunc(p.Links, func(a, b PlannedLink) int { return cmp.Compare(a.From, b.From) })
}

// describe returns a short description of a link's fault.
func (l LinkState) describe() string {
	switch {
	case l.Cut:
		return "cut"
	case l.Silent:
		return "silent"
	}
	var list []string
	if l.Delay+l.Jitter > 0 {
		list = append(list, fmt.Sprintf("%v to %v late", l.Delay, l.Delay+l.Jitter))
	}
	for _, effect := range []struct {
		text  string
		share float64
	}{{"lost", l.Loss}, {"doubled", l.Duplicate}, {"out of order", l.Reorder}} {
		if effect.share > 0 {
			list = append(list, fmt.Sprintf("%.0f%% %s", 100*effect.share, effect.text))
		}
	}
	return strings.Join(list, ", ")
}
