package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/partner"
)

// Plan is a scenario with everything drawn except its messages, which Arrivals draws one by one. Times are counted from
// the start of the run.
type Plan struct {
	Scenario         *Scenario
	Seed             uint64
	Rate             float64 // messages per second at full load
	Destinations     []Destination
	Changes          []Change
	Actions          []PlannedAction
	AgentActions     []PlannedAgentAction
	Orders           []PlannedOrder
	Links            []PlannedLink // in the order of their beginnings
	DiscoveryOutages []Span        // times in which discovery does not answer
	burstWindows     []window
	hotKeyWindows    []window
	clumpShare       float64 // share of the messages that arrive in clumps
	clumpSeconds     Range   // size of a clump, in seconds of a destination's limit
}

// Destination is a drawn partner system.
type Destination struct {
	partner.Spec
	Share         float64 // of the messages
	AnnouncedRate float64 // calls per second from all senders together, as announced in the endpoint list
}

// Change is the beginning or the end of an endpoint's fault, or a step of its replacement.
type Change struct {
	At             time.Duration
	Endpoint       string
	Fault          partner.Fault
	FaultIndex     int                   // index in Scenario.Faults; below 0: a replacement
	StartsDraining bool                  // the endpoint begins to drain
	Removed        bool                  // the endpoint is removed
	Added          *partner.EndpointSpec // endpoint that is added to Dest; nil: none
	Dest           int
	Address        string // id of the endpoint whose address Added reuses; empty: a new address
}

// Span is the time between two instants.
type Span struct{ From, To time.Duration }

// A window is a time window with a burst or with hot keys.
type window struct {
	Span
	amount       float64 // of a burst: factor of the rate; of hot keys: share of the messages
	destinations int     // hot keys: destinations
}

// The random streams. Each part of a plan has its own, so that a change of one part of a script does not change the
// draws of the other parts.
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

// randomStream returns one of the random streams of a seed.
func randomStream(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }

// draw draws a uniformly distributed number from a range.
func (r Range) draw(rng *rand.Rand) float64 { return r.From + (r.To-r.From)*rng.Float64() }

// seconds draws a duration from a range of seconds.
func (r Range) seconds(rng *rand.Rand) time.Duration {
	return time.Duration(r.draw(rng) * float64(time.Second))
}

// drawSpan draws a span from the ranges, in seconds, of its beginning and its length.
func drawSpan(rng *rand.Rand, at, length Range) Span {
	from := at.seconds(rng)
	return Span{from, from + length.seconds(rng)}
}

// contains reports whether a time is in a span. The end is excluded.
func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.To }

// Mean returns the middle of a range.
func (r Range) Mean() float64 { return (r.From + r.To) / 2 }

// Plan draws a plan. The same scenario and seed always result in the same plan.
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
	for _, o := range s.DiscoveryOutages {
		p.DiscoveryOutages = append(p.DiscoveryOutages, drawSpan(rng, o.At, o.Length))
	}
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return p
}

// Model returns a model of the plan's partners.
func (p *Plan) Model() (*partner.Model, error) {
	m := partner.New(p.Seed)
	for i := range p.Destinations {
		if err := m.Add(p.Destinations[i].Spec); err != nil {
			return nil, err
		}
	}
	return m, nil
}
