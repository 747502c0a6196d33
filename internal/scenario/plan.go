package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/partner"
)

// Plan is a scenario with everything drawn but its messages, which Arrivals draws
// as they are asked for.
type Plan struct {
	Scenario         *Scenario
	Seed             uint64
	Rate             float64 // messages a second at full load
	Dests            []Destination
	Changes          []Change
	Actions          []PlannedAction
	AgentActions     []PlannedAgentAction
	Orders           []PlannedOrder
	Links            []PlannedLink // in the order in which they begin
	DiscoveryOutages []Span        // discovery answers nobody
	bursts           []window
	hotKeys          []window
	clumpShare       float64
	clumpSize        Range
}

// Destination is a partner system that was drawn.
type Destination struct {
	partner.Spec
	Share         float64 // of the messages
	AnnouncedRate float64 // the rough rate that the list tells, in calls a second
}

// Change is a trouble that comes to an endpoint or leaves it, or a replacement.
type Change struct {
	At       time.Duration
	Endpoint string
	Fault    partner.Fault
	Of       int                   // the scenario's trouble; below 0 = a replacement
	Drains   bool                  // the endpoint drains from now on
	Leaves   bool                  // it is gone
	Joins    *partner.EndpointSpec // it comes, to Dest...
	Dest     int
	Address  string // ...at the address of this one; empty = a new one
}

// Span is a time between two instants.
type Span struct{ From, To time.Duration }

// A window is a burst or a hot time.
type window struct {
	from, to time.Duration
	size     float64
	keys     int
}

// The random streams: a change of one part of a script leaves the others' draws.
const (
	streamFleet = iota + 1
	streamFaults
	streamTraffic
	streamWindows
	streamActions
	streamChurn
	streamDiscoveryOutages
	streamLinks
	streamAgents
)

func randomStream(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }

func (r Range) draw(rng *rand.Rand) float64 { return r.From + (r.To-r.From)*rng.Float64() }

func (r Range) seconds(rng *rand.Rand) time.Duration {
	return time.Duration(r.draw(rng) * float64(time.Second))
}

// Mean is the middle of a range.
func (r Range) Mean() float64 { return (r.From + r.To) / 2 }

// Plan draws a plan.
func (s *Scenario) Plan(seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed}
	p.drawFleet(randomStream(seed, streamFleet))
	p.drawFaults(randomStream(seed, streamFaults))
	p.resolveOverlaps()
	p.drawWindows(randomStream(seed, streamWindows))
	p.drawActions(randomStream(seed, streamActions))
	p.drawLinks(randomStream(seed, streamLinks))
	p.drawAgents(randomStream(seed, streamAgents))
	p.drawChurns(randomStream(seed, streamChurn))
	rng := randomStream(seed, streamDiscoveryOutages)
	for _, b := range s.DiscoveryOutages {
		from := b.At.seconds(rng)
		p.DiscoveryOutages = append(p.DiscoveryOutages, Span{from, from + b.Length.seconds(rng)})
	}
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return p
}

// Model makes the partners of a plan.
func (p *Plan) Model() (*partner.Model, error) {
	m := partner.New(p.Seed)
	for i := range p.Dests {
		if err := m.Add(p.Dests[i].Spec); err != nil {
			return nil, err
		}
	}
	return m, nil
}
