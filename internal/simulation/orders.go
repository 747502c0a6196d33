package simulation

import (
	"errors"
	"fmt"
	"time"

	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// orderTimeout is how long an order that no agent accepts is submitted again.
const orderTimeout = 10 * time.Second

// failingProgram is the name of a program that exits before it is ready.
const failingProgram = "ends at its start"

// releaseGate is the gate of a scenario's releases. Its times are short, since scenarios last a minute or two.
var releaseGate = rollout.Gate{MinMessages: 5, Soak: time.Second, Wait: 10 * time.Second, Slack: 0.5}

// submitOrder submits an order to the first agent that runs and is connected to the leader, starting with the agent
// that the order names. If there is none, it retries until the time until.
func (a *agentCluster) submitOrder(o scenario.PlannedOrder, until time.Duration) {
	s := a.sim
	c := rollout.Command{By: "staff", Reason: "the scenario", At: s.clock()}
	for i := range a.members {
		ag := a.members[(o.Agent+i)%len(a.members)]
		if a.leader == nil || !ag.running() || !ag.connectedTo(a.leader) {
			continue
		}
		l := a.leader
		if !a.fillCommand(&c, o) {
			return
		}
		c.ServingSenders = l.state.ServingSenders(l.observations, s.clock())
		if err := a.propose(c); !errors.Is(err, errNoLeader) {
			return
		}
	}
	if s.now < until {
		s.at(s.now+500*time.Millisecond, func() { a.submitOrder(o, until) })
	}
}

// fillCommand fills in a command from an order. It returns false if the order refers to a rollout plan and there is
// none.
func (a *agentCluster) fillCommand(c *rollout.Command, o scenario.PlannedOrder) bool {
	switch o.Kind {
	case "drain":
		c.Verb, c.New = rollout.Start, &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{o.Senders}, Hold: o.Hold}
	case "release":
		to := rollout.Version{Name: fmt.Sprint("r", len(a.log)), Program: fmt.Sprint("p", len(a.log))}
		if o.FailsAtStart {
			to.Program = failingProgram
		}
		c.Verb = rollout.Start
		c.New = &rollout.Plan{
			Kind: rollout.Release, To: to, RollBackOnFailure: o.RollBackOnFailure, Stages: [][]string{o.Senders},
			Gate: releaseGate,
		}
	default:
		plans := a.leader.state.Plans
		if len(plans) == 0 {
			return false
		}
		p := plans[len(plans)-1]
		c.Verb = map[string]rollout.Verb{"halt": rollout.Halt, "resume": rollout.Resume, "back": rollout.RollBack}[o.Kind]
		c.Plan, c.Revision = p.ID, p.Revision
	}
	return true
}

// reactivate puts the senders that a halted rollout plan left out of service back into service. It schedules its next
// run.
func (a *agentCluster) reactivate() {
	s := a.sim
	if l := a.leader; l != nil {
		for _, p := range l.state.Plans {
			if !p.Phase.Open() {
				continue
			}
			var outOfService []string
			for name, t := range p.Tasks {
				if t.Step == rollout.Out {
					outOfService = append(outOfService, name)
				}
			}
			if len(outOfService) > 0 && p.Phase == rollout.Halted {
				a.propose(rollout.Command{
					Verb: rollout.Activate, At: s.clock(), By: "staff", Reason: "the end", Plan: p.ID,
					Senders: l.state.Order(outOfService),
				})
			}
		}
	}
	s.at(s.now+time.Second, a.reactivate)
}
