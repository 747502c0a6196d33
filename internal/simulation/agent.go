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
	x := &agent{
		fleet: fleet, num: num, name: scenario.Agent(num), state: rollout.New(),
		observations: map[string]rollout.Observation{}, supervised: map[string]*supervision{},
	}
	p := fleet.sim.plan.Scenario
	for k := num; k < p.Senders; k += p.Agents.Number {
		x.supervised[scenario.Sender(k)] = &supervision{sender: k}
	}
	return x
}

// roster returns the command that makes the agent's senders known.
func (x *agent) roster(p *scenario.Scenario) rollout.Command {
	c := rollout.Command{Verb: rollout.SetRoster, At: x.fleet.sim.clock(), By: x.name}
	for k := x.num; k < p.Senders; k += p.Agents.Number {
		c.Roster = append(c.Roster, rollout.Member{
			Name: scenario.Sender(k), Building: p.Zones[k%len(p.Zones)], Agent: x.name,
			Version: rollout.Version{Name: "v1", Program: "v1"},
		})
	}
	return c
}

// restart has an agent that was killed run again. What it kept in memory is lost, and its copy of the log as well if
// wiped.
func (x *agent) restart(wiped bool) {
	x.dead, x.observations, x.watch = false, map[string]rollout.Observation{}, rollout.Watch{}
	for _, m := range x.supervised {
		m.acceptedEpoch, m.changing, m.process = 0, false, ""
	}
	if wiped {
		x.state, x.applied = rollout.New(), 0
	}
}

func (x *agent) running() bool { return !x.dead && x.fleet.sim.now >= x.stoppedUntil }

// connectedTo reports whether it and another agent can talk to each other.
func (x *agent) connectedTo(y *agent) bool {
	s := x.fleet.sim
	return x == y || y.running() && s.link(x.name, y.name).Passes() && s.link(y.name, x.name).Passes()
}

// hasMajority reports whether it runs and is connected to a majority of the agents, itself included.
func (x *agent) hasMajority() bool {
	n := 0
	for _, y := range x.fleet.members {
		if x.connectedTo(y) {
			n++
		}
	}
	return x.running() && 2*n > len(x.fleet.members)
}

// catchUp applies the commands of the log that it does not have yet.
func (x *agent) catchUp() {
	for ; x.applied < len(x.fleet.log); x.applied++ {
		x.state.Apply(uint64(x.applied+1), x.fleet.log[x.applied])
	}
}

// observeSenders observes the agent's senders, passes the observations to the leader, and carries out the agreed
// commands.
func (x *agent) observeSenders() {
	s, a := x.fleet.sim, x.fleet
	s.at(s.now+observeInterval, x.observeSenders)
	if !x.running() {
		return
	}
	follows := a.leader != nil && a.leader != x && x.connectedTo(a.leader)
	if follows {
		x.catchUp()
	}
	for k := x.num; k < len(s.senders); k += len(a.members) {
		m := x.supervised[scenario.Sender(k)]
		v := x.observe(m)
		x.addObservation(v)
		if follows {
			l, after := a.leader, agentDelay+s.extraDelay(s.link(x.name, a.leader.name))
			s.at(s.now+after, func() {
				if l.running() {
					l.addObservation(v)
				}
			})
		}
		x.supervise(m, v, follows || a.leader == x)
	}
}

// addObservation keeps an observation unless there is a newer one of the same sender.
func (x *agent) addObservation(v rollout.Observation) {
	if old, ok := x.observations[v.Sender]; !ok || v.At.After(old.At) {
		x.observations[v.Sender] = v
	}
}

// reaches reports whether a sender's process answers the agent.
func (x *agent) reaches(y *sender) bool {
	s := x.fleet.sim
	answers := !y.dead && !y.shuttingDown && !y.stopped()
	return answers && s.link(x.name, y.name).Passes() && s.link(y.name, x.name).Passes()
}

// observe returns what the agent sees of a sender, and counts crashes.
func (x *agent) observe(m *supervision) rollout.Observation {
	s := x.fleet.sim
	y := s.senders[m.sender]
	v := rollout.Observation{Sender: y.name, At: s.clock(), Phase: "no answer", FaultEpoch: m.faultEpoch, Fault: m.fault}
	if !x.reaches(y) {
		return v
	}
	if m.process != "" && m.process != y.process && !m.changing && m.process != y.predecessor {
		m.crashes++
	}
	m.process = y.process
	v = y.observe()
	v.FaultEpoch, v.Fault, v.Facts.Restarts = m.faultEpoch, m.fault, m.crashes
	v.Serving = v.Serving && !m.changing
	return v
}

// observeRemotely has a leader observe senders itself whose agents are silent.
func (x *agent) observeRemotely() {
	s := x.fleet.sim
	for name, v := range x.observations {
		var num int
		fmt.Sscanf(name, "n%d", &num)
		if y := s.senders[num]; s.clock().Sub(v.At) > x.fleet.terms.Timing.Fresh*6/10 && x.reaches(y) {
			now := y.observe()
			now.Far, now.Version, now.Facts.Restarts = true, v.Version, v.Facts.Restarts
			now.FaultEpoch, now.Fault = v.FaultEpoch, v.Fault
			x.observations[name] = now
		}
	}
}

// supervise carries out what was agreed on for a sender. Leases are renewed only while the agent is connected to a
// leader.
func (x *agent) supervise(m *supervision, v rollout.Observation, connected bool) {
	s := x.fleet.sim
	y := s.senders[m.sender]
	g := x.state.Grants[y.name]
	if g == nil || m.changing || !x.reaches(y) {
		return
	}
	now := s.clock()
	switch x.state.Duty(g, v, m.acceptedEpoch, now) {
	case rollout.Fail:
		m.fault, m.faultEpoch = "its agent was started anew in the middle of the change", g.Epoch
		y.lease.End(g.Epoch)
	case rollout.End:
		y.lease.End(g.Epoch)
	case rollout.Renew:
		if connected && y.lease.Renew(g.Epoch, now.Add(x.fleet.terms.Timing.Lease), now) == nil {
			y.scheduleExpiry()
		}
	case rollout.Take:
		x.acceptGrant(m, y, g)
	}
}

// acceptGrant has a sender accept a grant, if its lease allows it, and changes the version if the grant is for that.
func (x *agent) acceptGrant(m *supervision, y *sender, g *rollout.Grant) {
	s := x.fleet.sim
	m.acceptedEpoch = g.Epoch
	order := lease.Order{Process: g.Process, Epoch: g.Epoch, By: g.By, Until: g.Until, Drain: g.Drain}
	if y.lease.Take(order, y.process, s.clock()) != nil {
		return
	}
	y.scheduleExpiry()
	x.fleet.checkBudget(y)
	if g.Drain {
		return
	}
	m.changing = true
	s.at(s.now+versionChangeDelay, func() {
		if !x.running() { // its next process finds the change half done
			m.changing = false
			return
		}
		m.changing = false
		if g.To.Program == failingProgram {
			m.fault, m.faultEpoch = "the new process ended before it was ready", g.Epoch
		} else if !y.dead && s.senders[m.sender] == y {
			y.handOver(g.To.Name)
			m.process = y.process
		}
		y.lease.End(g.Epoch)
	})
}

// observe returns what a sender tells of itself.
func (x *sender) observe() rollout.Observation {
	c := x.counters.Counts()
	v := rollout.Observation{
		Sender: x.name, At: x.sim.clock(), Process: x.process, Version: x.version, Epoch: x.lease.Epoch, Ended: x.lease.Ended,
		Phase: "serving", Open: c.Open,
		Facts: rollout.Counters{
			Accepted: c.Taken, Rejected: c.Refused, Delivered: c.Delivered, Deferred: c.Deferred, Failed: c.Undeliverable,
			Called: c.Called, Late: c.Late, FirstCall: c.FirstCall,
		},
	}
	v.Serving, v.Drained = !x.lease.Active(), x.lease.Active() && x.lease.Drain
	return v
}

// scheduleExpiry ends the lease at its time, unless it is renewed before.
func (x *sender) scheduleExpiry() {
	s := x.sim
	until := x.lease.Until
	s.at(max(s.now, until.Sub(virtualStart)), func() {
		x.whenRunning(func() {
			if x.lease.Active() && x.lease.Until.Equal(until) {
				x.lease.Expire(s.clock())
			}
		})
	})
}

// handOver has another process of the sender, with its state, take its place.
func (x *sender) handOver(version string) {
	x.sim.senderStarts++
	x.predecessor = x.process
	x.process, x.version = fmt.Sprintf("%s-%d", x.name, x.sim.senderStarts), version
}

// drainingByOrder reports whether it sends clients away because of its lease.
func (x *sender) drainingByOrder() bool { return x.lease.Active() && x.lease.Drain }
