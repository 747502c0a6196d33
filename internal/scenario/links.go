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

// The parties that are not senders and not endpoints.
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
	Text     string // what it is, for a time axis

	of, to map[string]bool // names of parties; to nil: all that are not in of
	oneWay bool
	sideOf map[string]int // of a partition: which side a sender is on
}

// affects reports whether it is a fault of the link from one party to another.
func (l *PlannedLink) affects(from, to string) bool {
	if l.sideOf != nil {
		a, ok1 := l.sideOf[from]
		b, ok2 := l.sideOf[to]
		return ok1 && ok2 && a != b
	}
	between := func(a, b string) bool { return l.of[a] && (l.to[b] || l.to == nil && !l.of[b]) }
	return between(from, to) || !l.oneWay && between(to, from)
}

// LinkState returns the state of the link from one party to another at a time. Of several faults the one that began
// last counts.
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

// LinkChanges returns the times at which links change, in order.
func (p *Plan) LinkChanges() (list []time.Duration) {
	for _, l := range p.Links {
		list = append(list, l.From, l.To)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Names in a script that stand for several parties.
const (
	allSenders  = "senders"
	allAgents   = "agents"
	allPartners = "partners"
	inZone      = "partners/"
	ofDest      = "destination/"
	oneEndpoint = "endpoint/"
)

// parties returns the parties that names of a script stand for.
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
					zone, dest := inZone+p.Scenario.Zones[e.Zone], ofDest+strconv.Itoa(d.Dest)
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
		x := PlannedLink{From: span.From, To: span.To, State: l.LinkState, oneWay: l.OneWay}
		of := l.Of
		if len(of) == 0 {
			for _, i := range p.Scenario.drawSenders(rng, l.Share) {
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
		span := drawSpan(rng, c.At, c.Length)
		x := PlannedLink{
			From: span.From, To: span.To, State: c.LinkState, sideOf: map[string]int{},
			Text: fmt.Sprintf("%s between %d parts of the senders", c.LinkState.describe(), c.Sides),
		}
		for i, num := range rng.Perm(p.Scenario.Senders) {
			x.sideOf[Sender(num)] = i % c.Sides
		}
		p.Links = append(p.Links, x)
	}
	slices.SortStableFunc(p.Links, func(a, b PlannedLink) int { return cmp.Compare(a.From, b.From) })
}

// describe returns what is wrong with a link, in a few words.
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
	for _, part := range []struct {
		word string
		of   float64
	}{{"lost", l.Loss}, {"doubled", l.Duplicate}, {"out of order", l.Reorder}} {
		if part.of > 0 {
			list = append(list, fmt.Sprintf("%.0f%% %s", 100*part.of, part.word))
		}
	}
	return strings.Join(list, ", ")
}
