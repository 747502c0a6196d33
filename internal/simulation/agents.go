package simulation

import (
	"fmt"
	"time"

	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// Agents in virtual time: the decisions are those of internal/rollout, the senders' books those of internal/lease. Agreement
// is a log that a leader alone may append to, and only while it and a majority hear each other; raft itself is played by
// internal/quorum's own tests. A change of version is a process in the place of another, which takes a while.
const (
	observeInterval    = 200 * time.Millisecond // between two looks of an agent at its senders
	leaderInterval     = 50 * time.Millisecond  // between two looks of the leader at what comes next
	electionDelay      = time.Second            // until the rest know that a leader is gone, and have another one
	agentDelay         = time.Millisecond       // a message between two of them, or to a sender
	versionChangeDelay = 400 * time.Millisecond // of a sender to another version
)

type agents struct {
	sim          *Sim
	terms        rollout.Terms
	members      []*agent
	log          []rollout.Command
	leader       *agent        // nil: none
	leaderLostAt time.Duration // since when there is none
}

// newAgents begins with terms and members agreed on, as after the first seconds of a fleet.
func newAgents(s *Sim) *agents {
	p := s.plan.Scenario
	a := &agents{sim: s, terms: rollout.DefaultTerms, leaderLostAt: -electionDelay}
	a.terms.Budget = rollout.Budget{Fleet: p.Agents.Fleet, Building: p.Agents.Building, Serving: p.Agents.Serving}
	a.terms.Timing.Lease = p.Agents.Lease
	terms := a.terms
	a.log = append(a.log, rollout.Command{Verb: rollout.SetTerms, At: s.clock(), By: "lab", Reason: "the scenario", Terms: &terms})
	for i := range p.Agents.Number {
		x := &agent{fleet: a, num: i, name: scenario.Agent(i), state: rollout.New(), observations: map[string]rollout.Observation{}, supervised: map[string]*supervision{}}
		c := rollout.Command{Verb: rollout.SetRoster, At: s.clock(), By: x.name}
		for k := i; k < p.Senders; k += p.Agents.Number {
			name := scenario.Sender(k)
			x.supervised[name] = &supervision{sender: k}
			c.Roster = append(c.Roster, rollout.Member{Name: name, Building: p.Zones[k%len(p.Zones)], Agent: x.name, Version: rollout.Version{Name: "v1", Program: "v1"}})
		}
		a.log = append(a.log, c)
		a.members = append(a.members, x)
		s.at(time.Duration(i)*observeInterval/time.Duration(p.Agents.Number), x.observeSenders)
	}
	for _, x := range a.members {
		x.catchUp()
	}
	s.at(0, a.lead)
	for _, d := range s.plan.AgentActions {
		s.at(d.At, func() { a.inject(a.members[d.Agent], d) })
	}
	for _, o := range s.plan.Orders {
		s.at(o.At, func() { a.submitOrder(o, s.now+orderTimeout) })
	}
	s.at(p.Length, a.reactivate)
	return a
}

// clock is the time by everybody's clock.
func (s *Sim) clock() time.Time { return virtualStart.Add(s.now) }

// propose puts a command into the log. False: there is nobody who could.
func (a *agents) propose(c rollout.Command) (error, bool) {
	l := a.leader
	if l == nil || !l.hasMajority() {
		return nil, false
	}
	l.catchUp()
	a.log = append(a.log, c)
	l.applied = len(a.log)
	return l.state.Apply(uint64(len(a.log)), c), true
}

// lead sees to a leader, and has it propose what comes next.
func (a *agents) lead() {
	s := a.sim
	s.at(s.now+leaderInterval, a.lead)
	if a.leader != nil && !a.leader.hasMajority() {
		a.leader, a.leaderLostAt = nil, s.now
	}
	for _, x := range a.members {
		if a.leader == nil && s.now-a.leaderLostAt >= electionDelay && x.hasMajority() {
			x.catchUp()
			a.leader, x.watch = x, rollout.Watch{}
		}
	}
	l := a.leader
	if l == nil {
		return
	}
	l.observeRemotely()
	for _, c := range l.state.Next(l.observations, &l.watch, s.clock()) {
		if c.By == "" {
			c.By = l.name
		}
		if err, ok := a.propose(c); !ok || err != nil {
			break
		}
	}
}

// checkBudget counts who is out as a sender goes out by order: those out by order, and those who have been away for longer than
// an order may rest on an old sight.
func (a *agents) checkBudget(y *sender) {
	s, t := a.sim, a.terms.Timing
	s.result.Orders++
	margin := t.Fresh + t.Accept + 4*t.Error + 2*observeInterval
	out, text := 0, ""
	for _, z := range s.senders {
		gone := z.dead && s.now-z.endedAt > margin || z.stopped() && s.now-z.stoppedAt > margin
		if z.lease.Active() || gone {
			out++
			text += " " + z.name
		}
	}
	if out > a.terms.Budget.Fleet {
		s.result.OverBudget = append(s.result.OverBudget, fmt.Sprintf("%v: %s went out, out are%s", s.now, y.name, text))
	}
}

// inject does something to an agent.
func (a *agents) inject(x *agent, d scenario.PlannedAgentAction) {
	s := a.sim
	switch d.What {
	case "stop":
		x.stoppedUntil = max(x.stoppedUntil, d.Until)
	case "kill", "wipe":
		x.dead = true
		s.at(d.Until, func() {
			x.dead, x.observations, x.watch = false, map[string]rollout.Observation{}, rollout.Watch{}
			for _, m := range x.supervised {
				m.acceptedEpoch, m.changing, m.process = 0, false, ""
			}
			if d.What == "wipe" {
				x.state, x.applied = rollout.New(), 0
			}
		})
	}
}

// finish enters what came of it.
func (a *agents) finish() {
	l := a.leader
	if l == nil {
		l = a.members[0]
	}
	l.catchUp()
	for _, p := range l.state.Plans {
		a.sim.result.Plans = append(a.sim.result.Plans, fmt.Sprintf("%d %s %s %s", p.ID, p.Kind, p.Phase, p.Why))
	}
	for _, y := range a.sim.senders {
		if y.lease.Active() {
			a.sim.result.StillOut = append(a.sim.result.StillOut, y.name)
		}
	}
}
