package simulation

import (
	"fmt"
	"time"

	"cleathold/internal/lease"
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

const failingProgram = "ends at its start"

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

// orderTimeout is how long staff ask again where nobody leads.
const orderTimeout = 10 * time.Second

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
