package simulation

import (
	"fmt"
	"time"

	"cleathold/internal/lease"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// An agent supervises the senders whose number modulo the number of agents equals the agent's number.
type agent struct {
	cluster      *agentCluster
	num          int
	name         string
	state        *rollout.State
	applied      int                            // number of log commands applied to state
	observations map[string]rollout.Observation // by sender; senders of other agents only on the leader
	watch        rollout.Watch
	dead         bool
	stoppedUntil time.Duration
	supervised   map[string]*supervision // by sender
}

// supervision is an agent's state for one of its senders.
type supervision struct {
	sender        int    // number of the sender
	acceptedEpoch uint64 // epoch of the latest grant that the agent applied to the sender
	changing      bool   // a version change is in progress
	fault         string // why the version change of faultEpoch failed
	faultEpoch    uint64
	crashes       int    // processes that ended without an order
	process       string // process observed last
}

func newAgent(cluster *agentCluster, num int) *agent {
	ag := &agent{
		cluster: cluster, num: num, name: scenario.Agent(num), state: rollout.New(),
		observations: map[string]rollout.Observation{}, supervised: map[string]*supervision{},
	}
	p := cluster.sim.plan.Scenario
	for k := num; k < p.Senders; k += p.Agents.Number {
		ag.supervised[scenario.Sender(k)] = &supervision{sender: k}
	}
	return ag
}

// rosterCommand returns the command that registers the agent's senders.
func (ag *agent) rosterCommand(p *scenario.Scenario) rollout.Command {
	c := rollout.Command{Verb: rollout.SetRoster, At: ag.cluster.sim.clock(), By: ag.name}
	for k := ag.num; k < p.Senders; k += p.Agents.Number {
		c.Roster = append(c.Roster, rollout.Member{
			Name: scenario.Sender(k), Building: p.Zones[k%len(p.Zones)], Agent: ag.name,
			Version: rollout.Version{Name: "v1", Program: "v1"},
		})
	}
	return c
}

// restart starts an agent again after it was killed. Its in-memory state is lost; if wiped is true, so is its copy of
// the log.
func (ag *agent) restart(wiped bool) {
	ag.dead, ag.observations, ag.watch = false, map[string]rollout.Observation{}, rollout.Watch{}
	for _, sup := range ag.supervised {
		sup.acceptedEpoch, sup.changing, sup.process = 0, false, ""
	}
	if wiped {
		ag.state, ag.applied = rollout.New(), 0
	}
}

func (ag *agent) running() bool { return !ag.dead && ag.cluster.sim.now >= ag.stoppedUntil }

// connectedTo reports whether the agent and another one can exchange messages in both directions.
func (ag *agent) connectedTo(other *agent) bool {
	s := ag.cluster.sim
	return ag == other || other.running() && s.link(ag.name, other.name).Passes() && s.link(other.name, ag.name).Passes()
}

// hasMajority reports whether the agent runs and is connected to a majority of the agents, itself included.
func (ag *agent) hasMajority() bool {
	n := 0
	for _, other := range ag.cluster.members {
		if ag.connectedTo(other) {
			n++
		}
	}
	return ag.running() && 2*n > len(ag.cluster.members)
}

// catchUp applies the commands of the log that the agent has not applied yet.
func (ag *agent) catchUp() {
	for ; ag.applied < len(ag.cluster.log); ag.applied++ {
		ag.state.Apply(uint64(ag.applied+1), ag.cluster.log[ag.applied])
	}
}

// observeSenders observes the agent's senders, sends the observations to the leader and applies the committed commands.
// It schedules its next run.
func (ag *agent) observeSenders() {
	s, a := ag.cluster.sim, ag.cluster
	s.at(s.now+observeInterval, ag.observeSenders)
	if !ag.running() {
		return
	}
	follows := a.leader != nil && a.leader != ag && ag.connectedTo(a.leader)
	if follows {
		ag.catchUp()
	}
	for k := ag.num; k < len(s.senders); k += len(a.members) {
		sup := ag.supervised[scenario.Sender(k)]
		observation := ag.observeSender(sup)
		ag.addObservation(observation)
		if follows {
			l, after := a.leader, agentDelay+s.extraDelay(s.link(ag.name, a.leader.name))
			s.at(s.now+after, func() {
				if l.running() {
					l.addObservation(observation)
				}
			})
		}
		ag.applyGrant(sup, observation, follows || a.leader == ag)
	}
}

// addObservation stores an observation unless a newer one of the same sender is stored.
func (ag *agent) addObservation(v rollout.Observation) {
	if old, ok := ag.observations[v.Sender]; !ok || v.At.After(old.At) {
		ag.observations[v.Sender] = v
	}
}

// canReach reports whether a sender's process responds to the agent.
func (ag *agent) canReach(sd *sender) bool {
	s := ag.cluster.sim
	responsive := !sd.dead && !sd.shuttingDown && !sd.stopped()
	return responsive && s.link(ag.name, sd.name).Passes() && s.link(sd.name, ag.name).Passes()
}

// observeSender returns the agent's observation of a sender, and counts crashes.
func (ag *agent) observeSender(sup *supervision) rollout.Observation {
	s := ag.cluster.sim
	sd := s.senders[sup.sender]
	observation := rollout.Observation{
		Sender: sd.name, At: s.clock(), Phase: "no answer", FaultEpoch: sup.faultEpoch, Fault: sup.fault,
	}
	if !ag.canReach(sd) {
		return observation
	}
	if sup.process != "" && sup.process != sd.process && !sup.changing && sup.process != sd.predecessor {
		sup.crashes++
	}
	sup.process = sd.process
	observation = sd.observation()
	observation.FaultEpoch, observation.Fault, observation.Counters.Restarts = sup.faultEpoch, sup.fault, sup.crashes
	observation.Serving = observation.Serving && !sup.changing
	return observation
}

// observeRemotely makes the leader itself observe the senders whose agents have sent no recent observation.
func (ag *agent) observeRemotely() {
	s := ag.cluster.sim
	for name, v := range ag.observations {
		var num int
		fmt.Sscanf(name, "n%d", &num)
		if sd := s.senders[num]; s.clock().Sub(v.At) > ag.cluster.terms.Timing.MaxObservationAge*6/10 && ag.canReach(sd) {
			fresh := sd.observation()
			fresh.Remote, fresh.Version, fresh.Counters.Restarts = true, v.Version, v.Counters.Restarts
			fresh.FaultEpoch, fresh.Fault = v.FaultEpoch, v.Fault
			ag.observations[name] = fresh
		}
	}
}

// applyGrant performs the duty that follows from a sender's current grant: it accepts, renews or ends the lease. Leases
// are renewed only while the agent is connected to a leader.
func (ag *agent) applyGrant(sup *supervision, v rollout.Observation, connected bool) {
	s := ag.cluster.sim
	sd := s.senders[sup.sender]
	g := ag.state.Grants[sd.name]
	if g == nil || sup.changing || !ag.canReach(sd) {
		return
	}
	now := s.clock()
	switch ag.state.Duty(g, v, sup.acceptedEpoch, now) {
	case rollout.FailGrant:
		sup.fault, sup.faultEpoch = "its agent was started anew in the middle of the change", g.Epoch
		sd.lease.End(g.Epoch)
	case rollout.EndLease:
		sd.lease.End(g.Epoch)
	case rollout.RenewLease:
		if connected && sd.lease.Renew(g.Epoch, now.Add(ag.cluster.terms.Timing.Lease), now) == nil {
			sd.scheduleExpiry()
		}
	case rollout.TakeGrant:
		ag.acceptGrant(sup, sd, g)
	}
}

// acceptGrant makes a sender accept a grant, if its lease allows it. For a grant that is not a drain it then schedules
// the version change.
func (ag *agent) acceptGrant(sup *supervision, sd *sender, g *rollout.Grant) {
	s := ag.cluster.sim
	sup.acceptedEpoch = g.Epoch
	order := lease.Order{Process: g.Process, Epoch: g.Epoch, AcceptBy: g.TakeBy, Until: g.Until, Drain: g.Drain}
	if sd.lease.Accept(order, sd.process, s.clock()) != nil {
		return
	}
	sd.scheduleExpiry()
	ag.cluster.checkBudget(sd)
	if g.Drain {
		return
	}
	sup.changing = true
	s.at(s.now+versionChangeDelay, func() {
		if !ag.running() { // after its restart the agent finds the change unfinished
			sup.changing = false
			return
		}
		sup.changing = false
		if g.To.Program == failingProgram {
			sup.fault, sup.faultEpoch = "the new process ended before it was ready", g.Epoch
		} else if !sd.dead && s.senders[sup.sender] == sd {
			sd.handOver(g.To.Name)
			sup.process = sd.process
		}
		sd.lease.End(g.Epoch)
	})
}

// observation returns the observation that a sender reports of itself.
func (sd *sender) observation() rollout.Observation {
	c := sd.counters.Counts()
	v := rollout.Observation{
		Sender: sd.name, At: sd.sim.clock(), Process: sd.process, Version: sd.version, Epoch: sd.lease.Epoch,
		Ended: sd.lease.Ended, Phase: "serving", Open: c.Open,
		Counters: rollout.Counters{
			Accepted: c.Accepted, Rejected: c.Rejected, Delivered: c.Delivered, Deferred: c.Deferred, Failed: c.Undeliverable,
			Called: c.Attempted, Late: c.Late, FirstCall: c.FirstAttemptWait,
		},
	}
	v.Serving, v.Drained = !sd.lease.Active(), sd.lease.Active() && sd.lease.Drain
	return v
}

// scheduleExpiry schedules the expiry of the lease. It has no effect if the lease is renewed before.
func (sd *sender) scheduleExpiry() {
	s := sd.sim
	until := sd.lease.Until
	s.at(max(s.now, until.Sub(virtualStart)), func() {
		sd.whenRunning(func() {
			if sd.lease.Active() && sd.lease.Until.Equal(until) {
				sd.lease.Expire(s.clock())
			}
		})
	})
}

// handOver replaces the sender's process by a successor, which keeps the state.
func (sd *sender) handOver(version string) {
	sd.sim.senderStarts++
	sd.predecessor = sd.process
	sd.process, sd.version = fmt.Sprintf("%s-%d", sd.name, sd.sim.senderStarts), version
}

// drainOrdered reports whether the sender rejects clients because its lease is a drain.
func (sd *sender) drainOrdered() bool { return sd.lease.Active() && sd.lease.Drain }
