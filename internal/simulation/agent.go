package simulation

import (
	"fmt"
	"time"

	"cleathold/internal/lease"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// An agent supervises the senders whose numbers, divided by the number of agents, leave its own as the remainder.
type agent struct {
	fleet        *agents
	num          int
	name         string
	state        *rollout.State
	applied      int                            // commands of the log that state has
	observations map[string]rollout.Observation // by sender; those of other agents' senders only while it leads
	watch        rollout.Watch
	dead         bool
	stoppedUntil time.Duration
	supervised   map[string]*supervision // by sender
}

// supervision is what an agent knows of one of its senders.
type supervision struct {
	sender        int    // its number
	acceptedEpoch uint64 // of the latest grant that the agent had it take
	changing      bool   // a change of version is under way
	fault         string // why the change of faultEpoch failed
	faultEpoch    uint64
	crashes       int    // processes that ended by themselves
	process       string // that it saw last
}

func newAgent(fleet *agents, num int) *agent {
	ag := &agent{
		fleet: fleet, num: num, name: scenario.Agent(num), state: rollout.New(),
		observations: map[string]rollout.Observation{}, supervised: map[string]*supervision{},
	}
	p := fleet.sim.plan.Scenario
	for k := num; k < p.Senders; k += p.Agents.Number {
		ag.supervised[scenario.Sender(k)] = &supervision{sender: k}
	}
	return ag
}

// roster returns the command that makes the agent's senders known.
func (ag *agent) roster(p *scenario.Scenario) rollout.Command {
	c := rollout.Command{Verb: rollout.SetRoster, At: ag.fleet.sim.clock(), By: ag.name}
	for k := ag.num; k < p.Senders; k += p.Agents.Number {
		c.Roster = append(c.Roster, rollout.Member{
			Name: scenario.Sender(k), Building: p.Zones[k%len(p.Zones)], Agent: ag.name,
			Version: rollout.Version{Name: "v1", Program: "v1"},
		})
	}
	return c
}

// restart has an agent that was killed run again. What it kept in memory is lost, and its copy of the log as well if
// wiped.
func (ag *agent) restart(wiped bool) {
	ag.dead, ag.observations, ag.watch = false, map[string]rollout.Observation{}, rollout.Watch{}
	for _, m := range ag.supervised {
		m.acceptedEpoch, m.changing, m.process = 0, false, ""
	}
	if wiped {
		ag.state, ag.applied = rollout.New(), 0
	}
}

func (ag *agent) running() bool { return !ag.dead && ag.fleet.sim.now >= ag.stoppedUntil }

// connectedTo reports whether it and another agent can talk to each other.
func (ag *agent) connectedTo(other *agent) bool {
	s := ag.fleet.sim
	return ag == other || other.running() && s.link(ag.name, other.name).Passes() && s.link(other.name, ag.name).Passes()
}

// hasMajority reports whether it runs and is connected to a majority of the agents, itself included.
func (ag *agent) hasMajority() bool {
	n := 0
	for _, other := range ag.fleet.members {
		if ag.connectedTo(other) {
			n++
		}
	}
	return ag.running() && 2*n > len(ag.fleet.members)
}

// catchUp applies the commands of the log that it does not have yet.
func (ag *agent) catchUp() {
	for ; ag.applied < len(ag.fleet.log); ag.applied++ {
		ag.state.Apply(uint64(ag.applied+1), ag.fleet.log[ag.applied])
	}
}

// observeSenders observes the agent's senders, passes the observations to the leader, and carries out the agreed
// commands.
func (ag *agent) observeSenders() {
	s, a := ag.fleet.sim, ag.fleet
	s.at(s.now+observeInterval, ag.observeSenders)
	if !ag.running() {
		return
	}
	follows := a.leader != nil && a.leader != ag && ag.connectedTo(a.leader)
	if follows {
		ag.catchUp()
	}
	for k := ag.num; k < len(s.senders); k += len(a.members) {
		m := ag.supervised[scenario.Sender(k)]
		v := ag.observe(m)
		ag.addObservation(v)
		if follows {
			l, after := a.leader, agentDelay+s.extraDelay(s.link(ag.name, a.leader.name))
			s.at(s.now+after, func() {
				if l.running() {
					l.addObservation(v)
				}
			})
		}
		ag.supervise(m, v, follows || a.leader == ag)
	}
}

// addObservation keeps an observation unless there is a newer one of the same sender.
func (ag *agent) addObservation(v rollout.Observation) {
	if old, ok := ag.observations[v.Sender]; !ok || v.At.After(old.At) {
		ag.observations[v.Sender] = v
	}
}

// reaches reports whether a sender's process answers the agent.
func (ag *agent) reaches(sd *sender) bool {
	s := ag.fleet.sim
	answers := !sd.dead && !sd.shuttingDown && !sd.stopped()
	return answers && s.link(ag.name, sd.name).Passes() && s.link(sd.name, ag.name).Passes()
}

// observe returns what the agent sees of a sender, and counts crashes.
func (ag *agent) observe(m *supervision) rollout.Observation {
	s := ag.fleet.sim
	sd := s.senders[m.sender]
	v := rollout.Observation{Sender: sd.name, At: s.clock(), Phase: "no answer", FaultEpoch: m.faultEpoch, Fault: m.fault}
	if !ag.reaches(sd) {
		return v
	}
	if m.process != "" && m.process != sd.process && !m.changing && m.process != sd.predecessor {
		m.crashes++
	}
	m.process = sd.process
	v = sd.observe()
	v.FaultEpoch, v.Fault, v.Facts.Restarts = m.faultEpoch, m.fault, m.crashes
	v.Serving = v.Serving && !m.changing
	return v
}

// observeRemotely has a leader observe senders itself whose agents are silent.
func (ag *agent) observeRemotely() {
	s := ag.fleet.sim
	for name, v := range ag.observations {
		var num int
		fmt.Sscanf(name, "n%d", &num)
		if sd := s.senders[num]; s.clock().Sub(v.At) > ag.fleet.terms.Timing.Fresh*6/10 && ag.reaches(sd) {
			now := sd.observe()
			now.Far, now.Version, now.Facts.Restarts = true, v.Version, v.Facts.Restarts
			now.FaultEpoch, now.Fault = v.FaultEpoch, v.Fault
			ag.observations[name] = now
		}
	}
}

// supervise carries out what was agreed on for a sender. Leases are renewed only while the agent is connected to a
// leader.
func (ag *agent) supervise(m *supervision, v rollout.Observation, connected bool) {
	s := ag.fleet.sim
	sd := s.senders[m.sender]
	g := ag.state.Grants[sd.name]
	if g == nil || m.changing || !ag.reaches(sd) {
		return
	}
	now := s.clock()
	switch ag.state.Duty(g, v, m.acceptedEpoch, now) {
	case rollout.Fail:
		m.fault, m.faultEpoch = "its agent was started anew in the middle of the change", g.Epoch
		sd.lease.End(g.Epoch)
	case rollout.End:
		sd.lease.End(g.Epoch)
	case rollout.Renew:
		if connected && sd.lease.Renew(g.Epoch, now.Add(ag.fleet.terms.Timing.Lease), now) == nil {
			sd.scheduleExpiry()
		}
	case rollout.Take:
		ag.acceptGrant(m, sd, g)
	}
}

// acceptGrant has a sender accept a grant, if its lease allows it, and changes the version if the grant is for that.
func (ag *agent) acceptGrant(m *supervision, sd *sender, g *rollout.Grant) {
	s := ag.fleet.sim
	m.acceptedEpoch = g.Epoch
	order := lease.Order{Process: g.Process, Epoch: g.Epoch, AcceptBy: g.By, Until: g.Until, Drain: g.Drain}
	if sd.lease.Accept(order, sd.process, s.clock()) != nil {
		return
	}
	sd.scheduleExpiry()
	ag.fleet.checkBudget(sd)
	if g.Drain {
		return
	}
	m.changing = true
	s.at(s.now+versionChangeDelay, func() {
		if !ag.running() { // its next process finds the change half done
			m.changing = false
			return
		}
		m.changing = false
		if g.To.Program == failingProgram {
			m.fault, m.faultEpoch = "the new process ended before it was ready", g.Epoch
		} else if !sd.dead && s.senders[m.sender] == sd {
			sd.handOver(g.To.Name)
			m.process = sd.process
		}
		sd.lease.End(g.Epoch)
	})
}

// observe returns what a sender tells of itself.
func (sd *sender) observe() rollout.Observation {
	c := sd.counters.Counts()
	v := rollout.Observation{
		Sender: sd.name, At: sd.sim.clock(), Process: sd.process, Version: sd.version, Epoch: sd.lease.Epoch,
		Ended: sd.lease.Ended, Phase: "serving", Open: c.Open,
		Facts: rollout.Counters{
			Accepted: c.Accepted, Rejected: c.Rejected, Delivered: c.Delivered, Deferred: c.Deferred, Failed: c.Undeliverable,
			Called: c.Called, Late: c.Late, FirstCall: c.FirstCall,
		},
	}
	v.Serving, v.Drained = !sd.lease.Active(), sd.lease.Active() && sd.lease.Drain
	return v
}

// scheduleExpiry ends the lease at its time, unless it is renewed before.
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

// handOver has another process of the sender, with its state, take its place.
func (sd *sender) handOver(version string) {
	sd.sim.senderStarts++
	sd.predecessor = sd.process
	sd.process, sd.version = fmt.Sprintf("%s-%d", sd.name, sd.sim.senderStarts), version
}

// drainingByOrder reports whether it sends clients away because of its lease.
func (sd *sender) drainingByOrder() bool { return sd.lease.Active() && sd.lease.Drain }
