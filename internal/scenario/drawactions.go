package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// drawSenders draws a share of the senders, at least one.
func (s *Scenario) drawSenders(rng *rand.Rand, share float64) []int {
	return rng.Perm(s.Senders)[:max(1, int(math.Round(share*float64(s.Senders))))]
}

// drawActions draws the actions on senders.
func (p *Plan) drawActions(rng *rand.Rand) {
	for index, action := range p.Scenario.Actions {
		at := action.At.seconds(rng)
		senders := []int{action.Sender}
		if action.Sender < 0 {
			senders = p.Scenario.drawSenders(rng, action.Share)
		}
		spread := time.Duration(0)
		if action.Spread.To > 0 {
			spread = action.Spread.seconds(rng)
		}
		for i, num := range senders {
			planned := PlannedAction{
				At: at + spread*time.Duration(i)/time.Duration(len(senders)), Sender: num, Kind: action.Kind,
				InFlight: action.InFlight, OpenMessages: action.OpenMessages, ActionIndex: index,
			}
			if action.Length.To > 0 {
				planned.Until = planned.At + action.Length.seconds(rng)
			}
			p.Actions = append(p.Actions, planned)
		}
	}
	slices.SortStableFunc(p.Actions, func(a, b PlannedAction) int { return cmp.Compare(a.At, b.At) })
}

// PlannedAction is an action on one sender, drawn. Times are counted from the start of the run.
type PlannedAction struct {
	At           time.Duration
	Until        time.Duration // end of a stop or a drain; 0: no end
	Sender       int
	Kind         string
	InFlight     float64 // of a retune: as multiples of the scenario's value
	OpenMessages float64
	ActionIndex  int // index in Scenario.Actions
}

// EndsProcess reports whether the action ends the sender's process, so that another one is started.
func (a PlannedAction) EndsProcess() bool {
	switch a.Kind {
	case "kill", "wipe", "term", "signals":
		return true
	}
	return false
}

// PlannedAgentAction is an action on an agent, drawn.
type PlannedAgentAction struct {
	At, Until time.Duration
	Agent     int
	Kind      string
}

// PlannedOrder is an order to the agents, drawn.
type PlannedOrder struct {
	At, Hold          time.Duration
	Agent             int
	Kind              string
	Senders           []string // senders
	FailsAtStart      bool
	RollBackOnFailure bool
}

// drawAgents draws the actions on agents and the orders to agents.
func (p *Plan) drawAgents(rng *rand.Rand) {
	for _, action := range p.Scenario.AgentActions {
		span := drawSpan(rng, action.At, action.Length)
		p.AgentActions = append(p.AgentActions, PlannedAgentAction{span.From, span.To, action.Agent, action.Kind})
	}
	slices.SortStableFunc(p.AgentActions, func(a, b PlannedAgentAction) int { return cmp.Compare(a.At, b.At) })
	for _, o := range p.Scenario.Orders {
		planned := PlannedOrder{
			At: o.At.seconds(rng), Hold: o.Hold.seconds(rng), Agent: o.Agent, Kind: o.Kind, FailsAtStart: o.FailsAtStart,
			RollBackOnFailure: o.RollBackOnFailure,
		}
		targets := p.expandParties(o.Targets)
		for i := range p.Scenario.Senders {
			if len(o.Targets) == 0 || targets[Sender(i)] {
				planned.Senders = append(planned.Senders, Sender(i))
			}
		}
		p.Orders = append(p.Orders, planned)
	}
	slices.SortStableFunc(p.Orders, func(a, b PlannedOrder) int { return cmp.Compare(a.At, b.At) })
}
