package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The parties that are not senders and not endpoints.
const (
	Discovery = "discovery"
	Clients   = "clients"
)

// Sender is the party's name of a sender.
func Sender(num int) string { return "n" + strconv.Itoa(num) }

// Agent is that of an agent.
func Agent(num int) string { return "a" + strconv.Itoa(num) }

// PlannedLink is a fault of ways, drawn.
type PlannedLink struct {
	From, To time.Duration
	Way      LinkState
	Text     string

	of, to map[string]bool // to nil: all that are not in of
	oneWay bool
	sideOf map[string]int // of a fleet in parts: which one a sender is in
}

// affects tells whether it ails the way from one party to another.
func (l *PlannedLink) affects(from, to string) bool {
	if l.sideOf != nil {
		a, is := l.sideOf[from]
		b, are := l.sideOf[to]
		return is && are && a != b
	}
	there := func(a, b string) bool { return l.of[a] && (l.to[b] || l.to == nil && !l.of[b]) }
	return there(from, to) || !l.oneWay && there(to, from)
}

// LinkState is what ails the way from one party to another at a time: what began last stands.
func (p *Plan) LinkState(at time.Duration, from, to string) (w LinkState) {
	for i := range p.Links {
		l := &p.Links[i]
		if l.From > at {
			break
		}
		if at < l.To && l.affects(from, to) {
			w = l.Way
		}
	}
	return w
}

// LinkChanges are the instants at which ways change, in order.
func (p *Plan) LinkChanges() (list []time.Duration) {
	for _, l := range p.Links {
		list = append(list, l.From, l.To)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// words of the parties that a name of a script can stand for.
const (
	allSenders  = "senders"
	allAgents   = "agents"
	allPartners = "partners"
	inZone      = "partners/"
	ofDest      = "destination/"
	oneEndpoint = "endpoint/"
)

// parties are those that names stand for.
func (p *Plan) parties(names []string) map[string]bool {
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
		case strings.HasPrefix(name, oneEndpoint):
			set[strings.TrimPrefix(name, oneEndpoint)] = true
		case name == allPartners || strings.HasPrefix(name, inZone) || strings.HasPrefix(name, ofDest):
			for _, d := range p.Dests {
				for _, e := range d.Endpoints {
					if name == allPartners || name == inZone+p.Scenario.Zones[e.Zone] || name == ofDest+strconv.Itoa(d.Dest) {
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

// drawLinks draws whom faults of ways strike, and when.
func (p *Plan) drawLinks(rng *rand.Rand) {
	n := p.Scenario.Senders
	for _, l := range p.Scenario.Links {
		x := PlannedLink{From: l.At.seconds(rng), Way: l.LinkState, oneWay: l.OneWay}
		x.To = x.From + l.Length.seconds(rng)
		of := l.Of
		if len(of) == 0 {
			for _, i := range rng.Perm(n)[:max(1, int(math.Round(l.Share*float64(n))))] {
				of = append(of, Sender(i))
			}
		}
		if x.of = p.parties(of); len(l.To) > 0 {
			x.to = p.parties(l.To)
		}
		x.Text = l.LinkState.describe() + " between " + summarize(of) + " and " + summarize(l.To)
		if l.OneWay {
			x.Text = l.LinkState.describe() + " from " + summarize(of) + " to " + summarize(l.To)
		}
		p.Links = append(p.Links, x)
	}
	for _, c := range p.Scenario.Partitions {
		x := PlannedLink{From: c.At.seconds(rng), Way: c.LinkState, sideOf: map[string]int{}, Text: fmt.Sprintf("%s between %d parts of the senders", c.LinkState.describe(), c.Sides)}
		x.To = x.From + c.Length.seconds(rng)
		for i, num := range rng.Perm(n) {
			x.sideOf[Sender(num)] = i % c.Sides
		}
		p.Links = append(p.Links, x)
	}
	slices.SortStableFunc(p.Links, func(a, b PlannedLink) int { return cmp.Compare(a.From, b.From) })
}

// describe is what ails a way, in a word or two.
func (w LinkState) describe() string {
	switch {
	case w.Cut:
		return "cut"
	case w.Silent:
		return "silent"
	}
	var list []string
	if w.Delay+w.Jitter > 0 {
		list = append(list, fmt.Sprintf("%v to %v late", w.Delay, w.Delay+w.Jitter))
	}
	for _, part := range []struct {
		word string
		of   float64
	}{{"lost", w.Loss}, {"doubled", w.Duplicate}, {"out of order", w.Reorder}} {
		if part.of > 0 {
			list = append(list, fmt.Sprintf("%.0f%% %s", 100*part.of, part.word))
		}
	}
	return strings.Join(list, ", ")
}
