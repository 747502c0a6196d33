package simulation

import (
	"fmt"
	"time"

	"cleathold/internal/lease"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

type agent struct {
	fleet        *agents
	num          int
	name         string
	state        *rollout.State
	applied      int
	observations map[string]rollout.Observation
	watch        rollout.Watch
	dead         bool
	stoppedUntil time.Duration
	supervised   map[string]*supervision
}

// supervision is what an agent knows of one of its senders.
type supervision struct {
	sender        int // the sender
	acceptedEpoch uint64
	changing      bool
	fault         string
	faultEpoch    uint64
	crashes       int
	process       string
}

func (x *agent) running() bool { return !x.dead && x.fleet.sim.now >= x.stoppedUntil }

// connectedTo tells whether two agents hear each other.
func (x *agent) connectedTo(y *agent) bool {
	s := x.fleet.sim
	return x == y || y.running() && s.link(x.name, y.name).Passes() && s.link(y.name, x.name).Passes()
}

func (x *agent) hasMajority() bool {
	n := 0
	for _, y := range x.fleet.members {
		if x.connectedTo(y) {
			n++
		}
	}
	return x.running() && 2*n > len(x.fleet.members)
}

// catchUp applies what is agreed on and was not known here.
func (x *agent) catchUp() {
	for ; x.applied < len(x.fleet.log); x.applied++ {
		x.state.Apply(uint64(x.applied+1), x.fleet.log[x.applied])
	}
}

// observeSenders looks at an agent's senders, tells the leader, and does what is agreed on.
func (x *agent) observeSenders() {
	s, a := x.fleet.sim, x.fleet
	s.at(s.now+observeInterval, x.observeSenders)
	if !x.running() {
		return
	}
	led := a.leader != nil && a.leader != x && x.connectedTo(a.leader)
	if led {
		x.catchUp()
	}
	for k := x.num; k < len(s.senders); k += len(a.members) {
		m := x.supervised[scenario.Sender(k)]
		v := x.observe(m)
		x.addObservation(v)
		if led {
			l, after := a.leader, agentDelay+s.extraDelay(s.link(x.name, a.leader.name))
			s.at(s.now+after, func() {
				if l.running() {
					l.addObservation(v)
				}
			})
		}
		x.supervise(m, v, led || a.leader == x)
	}
}

func (x *agent) addObservation(v rollout.Observation) {
	if old, some := x.observations[v.Sender]; !some || v.At.After(old.At) {
		x.observations[v.Sender] = v
	}
}

// reaches tells whether a sender's process answers an agent.
func (x *agent) reaches(y *sender) bool {
	s := x.fleet.sim
	return !y.dead && !y.shuttingDown && !y.stopped() && s.link(x.name, y.name).Passes() && s.link(y.name, x.name).Passes()
}

// observe is what a look at a sender shows.
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

// observeRemotely has a leader look itself at senders whose agents are silent.
func (x *agent) observeRemotely() {
	s := x.fleet.sim
	for name, v := range x.observations {
		var num int
		fmt.Sscanf(name, "n%d", &num)
		if y := s.senders[num]; s.clock().Sub(v.At) > x.fleet.terms.Timing.Fresh*6/10 && x.reaches(y) {
			now := y.observe()
			now.Far, now.Version, now.Facts.Restarts, now.FaultEpoch, now.Fault = true, v.Version, v.Facts.Restarts, v.FaultEpoch, v.Fault
			x.observations[name] = now
		}
	}
}

// supervise does what is agreed on for a sender.
func (x *agent) supervise(m *supervision, v rollout.Observation, led bool) {
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
		if led && y.lease.Renew(g.Epoch, now.Add(x.fleet.terms.Timing.Lease), now) == nil {
			y.scheduleExpiry()
		}
	case rollout.Take:
		x.acceptGrant(m, y, g)
	}
}

// acceptGrant has a sender take a grant up; its book decides.
func (x *agent) acceptGrant(m *supervision, y *sender, g *rollout.Grant) {
	s := x.fleet.sim
	m.acceptedEpoch = g.Epoch
	if y.lease.Take(lease.Order{Process: g.Process, Epoch: g.Epoch, By: g.By, Until: g.Until, Drain: g.Drain}, y.process, s.clock()) != nil {
		return
	}
	y.scheduleExpiry()
	x.fleet.checkBudget(y)
	if g.Drain {
		return
	}
	m.changing = true
	s.at(s.now+versionChangeDelay, func() {
		if !x.running() { // whoever comes after finds the change half done
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

// observe is what a sender says of itself.
func (x *sender) observe() rollout.Observation {
	c := x.counters.Counts()
	v := rollout.Observation{
		Sender: x.name, At: x.sim.clock(), Process: x.process, Version: x.version, Epoch: x.lease.Epoch, Ended: x.lease.Ended, Phase: "serving", Open: c.Open,
		Facts: rollout.Counters{Accepted: c.Taken, Rejected: c.Refused, Delivered: c.Delivered, Deferred: c.Deferred, Failed: c.Undeliverable, Called: c.Called, Late: c.Late, FirstCall: c.FirstCall},
	}
	v.Serving, v.Drained = !x.lease.Active(), x.lease.Active() && x.lease.Drain
	return v
}

// scheduleExpiry has the lease that stands end by itself, unless it is renewed before.
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

// handOver puts another process in its place, which goes on with what it has.
func (x *sender) handOver(version string) {
	x.sim.senderStarts++
	x.predecessor = x.process
	x.process, x.version = fmt.Sprintf("%s-%d", x.name, x.sim.senderStarts), version
}

// drainingByOrder tells whether clients are sent away by an order.
func (x *sender) drainingByOrder() bool { return x.lease.Active() && x.lease.Drain }
