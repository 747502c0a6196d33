package simulation

import (
	"errors"
	"fmt"
	"time"

	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

const (
	observeInterval    = 200 * time.Millisecond // between two observations of an agent's senders
	leaderInterval     = 50 * time.Millisecond  // between two decisions of the leader
	electionDelay      = time.Second            // from the loss of the leader to the next election
	agentDelay         = time.Millisecond       // network delay of a message between two agents
	versionChangeDelay = 400 * time.Millisecond // duration of a sender's hand-over to another version
)

// errNoLeader is returned if no agent is connected to a majority.
var errNoLeader = errors.New("lab: no leader")

// agentCluster is the set of agents in virtual time. Decisions are those of internal/rollout, and the senders' leases
// those of internal/lease. Consensus is a log that only the leader may append to, and only while it is
// connected to a majority; Raft itself is simulated by the tests of internal/quorum. A version change replaces a
// sender's process after versionChangeDelay.
type agentCluster struct {
	sim          *Sim
	terms        rollout.Terms
	members      []*agent
	log          []rollout.Command
	leader       *agent        // nil: none
	leaderLostAt time.Duration // time at which the last leader was lost; only valid while leader is nil
}

// newAgentCluster returns agents whose log already contains the terms and the roster, and schedules the plan's agent
// actions and orders.
func newAgentCluster(s *Sim) *agentCluster {
	p := s.plan.Scenario
	a := &agentCluster{sim: s, terms: rollout.DefaultTerms, leaderLostAt: -electionDelay}
	a.terms.Budget = rollout.Budget{Fleet: p.Agents.Fleet, Building: p.Agents.Building, Serving: p.Agents.Serving}
	a.terms.Timing.Lease = p.Agents.Lease
	terms := a.terms
	a.log = append(a.log, rollout.Command{
		Verb: rollout.SetTerms, At: s.clock(), By: "lab", Reason: "the scenario", Terms: &terms,
	})
	for i := range p.Agents.Number {
		ag := newAgent(a, i)
		a.log = append(a.log, ag.rosterCommand(p))
		a.members = append(a.members, ag)
		s.at(time.Duration(i)*observeInterval/time.Duration(p.Agents.Number), ag.observeSenders)
	}
	for _, ag := range a.members {
		ag.catchUp()
	}
	s.at(0, a.runLeader)
	for _, action := range s.plan.AgentActions {
		s.at(action.At, func() { a.applyAction(a.members[action.Agent], action) })
	}
	for _, o := range s.plan.Orders {
		s.at(o.At, func() { a.submitOrder(o, s.now+orderTimeout) })
	}
	s.at(p.Length, a.reactivate)
	return a
}

// clock returns the wall-clock time that all processes read.
func (s *Sim) clock() time.Time { return virtualStart.Add(s.now) }

// propose appends a command to the log. It returns errNoLeader, or the error of applying the command.
func (a *agentCluster) propose(c rollout.Command) error {
	l := a.leader
	if l == nil || !l.hasMajority() {
		return errNoLeader
	}
	l.catchUp()
	a.log = append(a.log, c)
	l.applied = len(a.log)
	return l.state.Apply(uint64(len(a.log)), c)
}

// runLeader elects a leader if there is none, and makes the leader propose the next commands. It schedules its next
// run.
func (a *agentCluster) runLeader() {
	s := a.sim
	s.at(s.now+leaderInterval, a.runLeader)
	if a.leader != nil && !a.leader.hasMajority() {
		a.leader, a.leaderLostAt = nil, s.now
	}
	for _, ag := range a.members {
		if a.leader == nil && s.now-a.leaderLostAt >= electionDelay && ag.hasMajority() {
			ag.catchUp()
			a.leader, ag.watch = ag, rollout.Watch{}
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
		if err := a.propose(c); err != nil {
			break
		}
	}
}

// checkBudget is called when a sender goes out of service by order. It counts the senders that are out of service, and
// records a budget violation if there are too many. A sender is out of service if it has a lease, or if it has been
// down for longer than the observation behind an order may be old.
func (a *agentCluster) checkBudget(sd *sender) {
	s, t := a.sim, a.terms.Timing
	s.result.Orders++
	margin := t.MaxObservationAge + t.TakeTimeout + 4*t.MaxClockError + 2*observeInterval
	outOfService, names := 0, ""
	for _, other := range s.senders {
		down := other.dead && s.now-other.endedAt > margin || other.stopped() && s.now-other.stoppedAt > margin
		if other.lease.Active() || down {
			outOfService++
			names += " " + other.name
		}
	}
	if outOfService > a.terms.Budget.Fleet {
		s.result.OverBudget = append(s.result.OverBudget, fmt.Sprintf("%v: %s went out, out are%s", s.now, sd.name, names))
	}
}

// applyAction carries out an action on an agent.
func (a *agentCluster) applyAction(ag *agent, action scenario.PlannedAgentAction) {
	s := a.sim
	switch action.Kind {
	case "stop":
		ag.stoppedUntil = max(ag.stoppedUntil, action.Until)
	case "kill", "wipe":
		ag.dead = true
		s.at(action.Until, func() { ag.restart(action.Kind == "wipe") })
	}
}

// recordResult adds the rollout plans and the senders that are still out of service to the result.
func (a *agentCluster) recordResult() {
	l := a.leader
	if l == nil {
		l = a.members[0]
	}
	l.catchUp()
	for _, p := range l.state.Plans {
		a.sim.result.Plans = append(a.sim.result.Plans, fmt.Sprintf("%d %s %s %s", p.ID, p.Kind, p.Phase, p.PhaseReason))
	}
	for _, sd := range a.sim.senders {
		if sd.lease.Active() {
			a.sim.result.StillOut = append(a.sim.result.StillOut, sd.name)
		}
	}
}
