package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// drawSenders draws a share of the senders, one at the least.
func (s *Scenario) drawSenders(rng *rand.Rand, share float64) []int {
	return rng.Perm(s.Senders)[:max(1, int(math.Round(share*float64(s.Senders))))]
}

// drawActions draws the actions on senders.
func (p *Plan) drawActions(rng *rand.Rand) {
	for k, d := range p.Scenario.Actions {
		at := d.At.seconds(rng)
		senders := []int{d.Sender}
		if d.Sender < 0 {
			senders = p.Scenario.drawSenders(rng, d.Share)
		}
		spread := time.Duration(0)
		if d.Spread.To > 0 {
			spread = d.Spread.seconds(rng)
		}
		for i, num := range senders {
			x := PlannedAction{
				At: at + spread*time.Duration(i)/time.Duration(len(senders)), Sender: num, What: d.What,
				InFlight: d.InFlight, OpenMessages: d.OpenMessages, Of: k,
			}
			if d.Length.To > 0 {
				x.Until = x.At + d.Length.seconds(rng)
			}
			p.Actions = append(p.Actions, x)
		}
	}
	slices.SortStableFunc(p.Actions, func(a, b PlannedAction) int { return cmp.Compare(a.At, b.At) })
}

// PlannedAction is an action on one sender, drawn. Times are counted from the start of the run.
type PlannedAction struct {
	At           time.Duration
	Until        time.Duration // of a stop and a drain; 0: without an end
	Sender       int
	What         string
	InFlight     float64 // of a retune: multiples of the scenario's
	OpenMessages float64
	Of           int // index in Scenario.Actions
}

// PlannedAgentAction is an action on an agent, drawn.
type PlannedAgentAction struct {
	At, Until time.Duration
	Agent     int
	What      string
}

// PlannedOrder is an order to the agents, drawn.
type PlannedOrder struct {
	At, Hold          time.Duration
	Agent             int
	What              string
	Of                []string // senders
	FailsAtStart      bool
	RollBackOnFailure bool
}

// drawAgents draws the actions on agents, and the orders to them.
func (p *Plan) drawAgents(rng *rand.Rand) {
	for _, d := range p.Scenario.AgentActions {
		span := drawSpan(rng, d.At, d.Length)
		p.AgentActions = append(p.AgentActions, PlannedAgentAction{span.From, span.To, d.Agent, d.What})
	}
	slices.SortStableFunc(p.AgentActions, func(a, b PlannedAgentAction) int { return cmp.Compare(a.At, b.At) })
	for _, o := range p.Scenario.Orders {
		x := PlannedOrder{
			At: o.At.seconds(rng), Hold: o.Hold.seconds(rng), Agent: o.Agent, What: o.What, FailsAtStart: o.FailsAtStart,
			RollBackOnFailure: o.RollBackOnFailure,
		}
		of := p.parties(o.Of)
		for i := range p.Scenario.Senders {
			if len(o.Of) == 0 || of[Sender(i)] {
				x.Of = append(x.Of, Sender(i))
			}
		}
		p.Orders = append(p.Orders, x)
	}
	slices.SortStableFunc(p.Orders, func(a, b PlannedOrder) int { return cmp.Compare(a.At, b.At) })
}
