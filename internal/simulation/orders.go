package simulation

import (
	"fmt"
	"time"

	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// orderTimeout is how long staff ask again where nobody leads.
const orderTimeout = 10 * time.Second

const failingProgram = "ends at its start"

// submitOrder has staff ask one agent, and the next where that one can't be had; again in a while where none can.
func (a *agents) submitOrder(o scenario.PlannedOrder, until time.Duration) {
	s := a.sim
	c := rollout.Command{By: "staff", Reason: "the scenario", At: s.clock()}
	for i := range a.members {
		x := a.members[(o.Agent+i)%len(a.members)]
		if a.leader == nil || !x.running() || !x.connectedTo(a.leader) {
			continue
		}
		l := a.leader
		switch o.What {
		case "drain":
			c.Verb, c.New = rollout.Start, &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{o.Of}, Hold: o.Hold}
		case "release":
			to := rollout.Version{Name: fmt.Sprint("r", len(a.log)), Program: fmt.Sprint("p", len(a.log))}
			if o.Bad {
				to.Program = failingProgram
			}
			c.Verb, c.New = rollout.Start, &rollout.Plan{Kind: rollout.Release, To: to, RollBackOnFailure: o.GoBack, Stages: [][]string{o.Of}, Gate: releaseGate}
		default:
			if len(l.state.Plans) == 0 {
				return
			}
			p := l.state.Plans[len(l.state.Plans)-1]
			c.Verb = map[string]rollout.Verb{"halt": rollout.Halt, "resume": rollout.Resume, "back": rollout.RollBack}[o.What]
			c.Plan, c.Revision = p.ID, p.Revision
		}
		c.Seen = l.state.Seen(l.observations, s.clock())
		if _, ok := a.propose(c); ok {
			return
		}
	}
	if s.now < until {
		s.at(s.now+500*time.Millisecond, func() { a.submitOrder(o, until) })
	}
}

// releaseGate is the gate of a scenario's releases: short, as its days are.
var releaseGate = rollout.Gate{MinMessages: 5, Soak: time.Second, Wait: 10 * time.Second, Slack: 0.5}

// reactivate has staff bring back what a halted drain left out, until nothing is.
func (a *agents) reactivate() {
	s := a.sim
	if l := a.leader; l != nil {
		for _, p := range l.state.Plans {
			if !p.Phase.Open() {
				continue
			}
			var out []string
			for name, t := range p.Tasks {
				if t.Step == rollout.Out {
					out = append(out, name)
				}
			}
			if len(out) > 0 && p.Phase == rollout.Halted {
				a.propose(rollout.Command{Verb: rollout.Activate, At: s.clock(), By: "staff", Reason: "the end", Plan: p.ID, Senders: l.state.Order(out)})
			}
		}
	}
	s.at(s.now+time.Second, a.reactivate)
}
