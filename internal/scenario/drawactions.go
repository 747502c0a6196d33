package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// drawActions draws what is done to senders, and when.
func (p *Plan) drawActions(rng *rand.Rand) {
	n := p.Scenario.Senders
	for k, d := range p.Scenario.Actions {
		at := d.At.seconds(rng)
		senders := []int{d.Sender}
		if d.Sender < 0 {
			senders = rng.Perm(n)[:max(1, int(math.Round(d.Share*float64(n))))]
		}
		spread := time.Duration(0)
		if d.Spread.To > 0 {
			spread = d.Spread.seconds(rng)
		}
		for i, num := range senders {
			x := PlannedAction{At: at + spread*time.Duration(i)/time.Duration(len(senders)), Sender: num, What: d.What, InFlight: d.InFlight, OpenMessages: d.OpenMessages, Of: k}
			if d.Length.To > 0 {
				x.Until = x.At + d.Length.seconds(rng)
			}
			p.Actions = append(p.Actions, x)
		}
	}
	slices.SortStableFunc(p.Actions, func(a, b PlannedAction) int { return cmp.Compare(a.At, b.At) })
}

// PlannedAction is something done to a sender.
type PlannedAction struct {
	At           time.Duration
	Until        time.Duration // of a stop and a drain; 0 = none
	Sender       int
	What         string
	InFlight     float64 // of a retune
	OpenMessages float64
	Of           int // the scenario's deed
}

// PlannedAgentAction is something done to an agent, and PlannedOrder what staff want, drawn.
type (
	PlannedAgentAction struct {
		At, Until time.Duration
		Agent     int
		What      string
	}
	PlannedOrder struct {
		At, Hold time.Duration
		Agent    int
		What     string
		Of       []string // senders
		Bad      bool
		GoBack   bool
	}
)

// drawAgents draws what befalls agents, and what staff order.
func (p *Plan) drawAgents(rng *rand.Rand) {
	for _, d := range p.Scenario.AgentActions {
		at := d.At.seconds(rng)
		p.AgentActions = append(p.AgentActions, PlannedAgentAction{at, at + d.Length.seconds(rng), d.Agent, d.What})
	}
	slices.SortStableFunc(p.AgentActions, func(a, b PlannedAgentAction) int { return cmp.Compare(a.At, b.At) })
	for _, o := range p.Scenario.Orders {
		x := PlannedOrder{At: o.At.seconds(rng), Hold: o.Hold.seconds(rng), Agent: o.Agent, What: o.What, Bad: o.Bad, GoBack: o.GoBack}
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
