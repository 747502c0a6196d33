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
	agentLook  = 200 * time.Millisecond // between two looks of an agent at its senders
	agentDrive = 50 * time.Millisecond  // between two looks of the leader at what comes next
	agentElect = time.Second            // until the rest know that a leader is gone, and have another one
	agentHop   = time.Millisecond       // a message between two of them, or to a sender
	changeSpan = 400 * time.Millisecond // of a sender to another version
)

type agents struct {
	sim    *Sim
	terms  rollout.Terms
	list   []*agent
	log    []rollout.Command
	leader *agent        // nil: none
	lost   time.Duration // since when there is none
}

type agent struct {
	all     *agents
	num     int
	name    string
	state   *rollout.State
	applied int
	sights  map[string]rollout.Observation
	watch   rollout.Watch
	dead    bool
	wakes   time.Duration
	minds   map[string]*minding
}

// minding is what an agent knows of one of its senders.
type minding struct {
	x          int // the sender
	tried      uint64
	busy       bool
	fault      string
	faultEpoch uint64
	crashes    int
	process    string
}

// newAgents begins with terms and members agreed on, as after the first seconds of a fleet.
func newAgents(s *Sim) *agents {
	p := s.plan.Scenario
	a := &agents{sim: s, terms: rollout.DefaultTerms, lost: -agentElect}
	a.terms.Budget = rollout.Budget{Fleet: p.Agents.Fleet, Building: p.Agents.Building, Serving: p.Agents.Serving}
	a.terms.Timing.Lease = p.Agents.Lease
	terms := a.terms
	a.log = append(a.log, rollout.Command{Verb: rollout.SetTerms, At: s.clock(), By: "lab", Reason: "the scenario", Terms: &terms})
	for i := range p.Agents.Number {
		x := &agent{all: a, num: i, name: scenario.Agent(i), state: rollout.New(), sights: map[string]rollout.Observation{}, minds: map[string]*minding{}}
		c := rollout.Command{Verb: rollout.SetRoster, At: s.clock(), By: x.name}
		for k := i; k < p.Senders; k += p.Agents.Number {
			name := scenario.Sender(k)
			x.minds[name] = &minding{x: k}
			c.Roster = append(c.Roster, rollout.Member{Name: name, Building: p.Zones[k%len(p.Zones)], Agent: x.name, Version: rollout.Version{Name: "v1", Program: "v1"}})
		}
		a.log = append(a.log, c)
		a.list = append(a.list, x)
		s.at(time.Duration(i)*agentLook/time.Duration(p.Agents.Number), x.look)
	}
	for _, x := range a.list {
		x.catchUp()
	}
	s.at(0, a.drive)
	for _, d := range s.plan.AgentActions {
		s.at(d.At, func() { a.strike(a.list[d.Agent], d) })
	}
	for _, o := range s.plan.Orders {
		s.at(o.At, func() { a.order(o, s.now+askSpanOfStaff) })
	}
	s.at(p.Length, a.home)
	return a
}

// clock is the time by everybody's clock.
func (s *Sim) clock() time.Time { return epoch.Add(s.now) }

func (x *agent) runs() bool { return !x.dead && x.all.sim.now >= x.wakes }

// hears tells whether two agents hear each other.
func (x *agent) hears(y *agent) bool {
	s := x.all.sim
	return x == y || y.runs() && s.way(x.name, y.name).Passes() && s.way(y.name, x.name).Passes()
}

func (x *agent) majority() bool {
	n := 0
	for _, y := range x.all.list {
		if x.hears(y) {
			n++
		}
	}
	return x.runs() && 2*n > len(x.all.list)
}

// catchUp applies what is agreed on and was not known here.
func (x *agent) catchUp() {
	for ; x.applied < len(x.all.log); x.applied++ {
		x.state.Apply(uint64(x.applied+1), x.all.log[x.applied])
	}
}

// agree puts a command into the log. False: there is nobody who could.
func (a *agents) agree(c rollout.Command) (error, bool) {
	l := a.leader
	if l == nil || !l.majority() {
		return nil, false
	}
	l.catchUp()
	a.log = append(a.log, c)
	l.applied = len(a.log)
	return l.state.Apply(uint64(len(a.log)), c), true
}

// drive sees to a leader, and has it propose what comes next.
func (a *agents) drive() {
	s := a.sim
	s.at(s.now+agentDrive, a.drive)
	if a.leader != nil && !a.leader.majority() {
		a.leader, a.lost = nil, s.now
	}
	for _, x := range a.list {
		if a.leader == nil && s.now-a.lost >= agentElect && x.majority() {
			x.catchUp()
			a.leader, x.watch = x, rollout.Watch{}
		}
	}
	l := a.leader
	if l == nil {
		return
	}
	l.far()
	for _, c := range l.state.Next(l.sights, &l.watch, s.clock()) {
		if c.By == "" {
			c.By = l.name
		}
		if err, ok := a.agree(c); !ok || err != nil {
			break
		}
	}
}

// look looks at an agent's senders, tells the leader, and does what is agreed on.
func (x *agent) look() {
	s, a := x.all.sim, x.all
	s.at(s.now+agentLook, x.look)
	if !x.runs() {
		return
	}
	led := a.leader != nil && a.leader != x && x.hears(a.leader)
	if led {
		x.catchUp()
	}
	for k := x.num; k < len(s.senders); k += len(a.list) {
		m := x.minds[scenario.Sender(k)]
		v := x.sight(m)
		x.saw(v)
		if led {
			l, after := a.leader, agentHop+s.late(s.way(x.name, a.leader.name))
			s.at(s.now+after, func() {
				if l.runs() {
					l.saw(v)
				}
			})
		}
		x.mind(m, v, led || a.leader == x)
	}
}

func (x *agent) saw(v rollout.Observation) {
	if old, some := x.sights[v.Sender]; !some || v.At.After(old.At) {
		x.sights[v.Sender] = v
	}
}

// reached tells whether a sender's process answers an agent.
func (x *agent) reached(y *sender) bool {
	s := x.all.sim
	return !y.dead && !y.leaving && !y.stopped() && s.way(x.name, y.party).Passes() && s.way(y.party, x.name).Passes()
}

// sight is what a look at a sender shows.
func (x *agent) sight(m *minding) rollout.Observation {
	s := x.all.sim
	y := s.senders[m.x]
	v := rollout.Observation{Sender: y.party, At: s.clock(), Phase: "no answer", FaultEpoch: m.faultEpoch, Fault: m.fault}
	if !x.reached(y) {
		return v
	}
	if m.process != "" && m.process != y.id && !m.busy && m.process != y.before {
		m.crashes++
	}
	m.process = y.id
	v = y.sight()
	v.FaultEpoch, v.Fault, v.Facts.Restarts = m.faultEpoch, m.fault, m.crashes
	v.Serving = v.Serving && !m.busy
	return v
}

// far has a leader look itself at senders whose agents are silent.
func (x *agent) far() {
	s := x.all.sim
	for name, v := range x.sights {
		var num int
		fmt.Sscanf(name, "n%d", &num)
		if y := s.senders[num]; s.clock().Sub(v.At) > x.all.terms.Timing.Fresh*6/10 && x.reached(y) {
			now := y.sight()
			now.Far, now.Version, now.Facts.Restarts, now.FaultEpoch, now.Fault = true, v.Version, v.Facts.Restarts, v.FaultEpoch, v.Fault
			x.sights[name] = now
		}
	}
}

// mind does what is agreed on for a sender.
func (x *agent) mind(m *minding, v rollout.Observation, led bool) {
	s := x.all.sim
	y := s.senders[m.x]
	g := x.state.Grants[y.party]
	if g == nil || m.busy || !x.reached(y) {
		return
	}
	now := s.clock()
	switch x.state.Duty(g, v, m.tried, now) {
	case rollout.Fail:
		m.fault, m.faultEpoch = "its agent was started anew in the middle of the change", g.Epoch
		y.book.End(g.Epoch)
	case rollout.End:
		y.book.End(g.Epoch)
	case rollout.Renew:
		if led && y.book.Renew(g.Epoch, now.Add(x.all.terms.Timing.Lease), now) == nil {
			y.expires()
		}
	case rollout.Take:
		x.take(m, y, g)
	}
}

// take has a sender take a grant up; its book decides.
func (x *agent) take(m *minding, y *sender, g *rollout.Grant) {
	s := x.all.sim
	m.tried = g.Epoch
	if y.book.Take(lease.Order{Process: g.Process, Epoch: g.Epoch, By: g.By, Until: g.Until, Drain: g.Drain}, y.id, s.clock()) != nil {
		return
	}
	y.expires()
	x.all.judge(y)
	if g.Drain {
		return
	}
	m.busy = true
	s.at(s.now+changeSpan, func() {
		if !x.runs() { // whoever comes after finds the change half done
			m.busy = false
			return
		}
		m.busy = false
		if g.To.Program == badProgram {
			m.fault, m.faultEpoch = "the new process ended before it was ready", g.Epoch
		} else if !y.dead && s.senders[m.x] == y {
			y.succeed(g.To.Name)
			m.process = y.id
		}
		y.book.End(g.Epoch)
	})
}

const badProgram = "ends at its start"

// judge counts who is out as a sender goes out by order: those out by order, and those who have been away for longer than
// an order may rest on an old sight.
func (a *agents) judge(y *sender) {
	s, t := a.sim, a.terms.Timing
	s.result.Orders++
	margin := t.Fresh + t.Accept + 4*t.Error + 2*agentLook
	out, text := 0, ""
	for _, z := range s.senders {
		away := z.dead && s.now-z.leftAt > margin || z.stopped() && s.now-z.stoppedAt > margin
		if z.book.Active() || away {
			out++
			text += " " + z.party
		}
	}
	if out > a.terms.Budget.Fleet {
		s.result.OverBudget = append(s.result.OverBudget, fmt.Sprintf("%v: %s went out, out are%s", s.now, y.party, text))
	}
}

// strike does something to an agent.
func (a *agents) strike(x *agent, d scenario.PlannedAgentAction) {
	s := a.sim
	switch d.What {
	case "stop":
		x.wakes = max(x.wakes, d.Until)
	case "kill", "wipe":
		x.dead = true
		s.at(d.Until, func() {
			x.dead, x.sights, x.watch = false, map[string]rollout.Observation{}, rollout.Watch{}
			for _, m := range x.minds {
				m.tried, m.busy, m.process = 0, false, ""
			}
			if d.What == "wipe" {
				x.state, x.applied = rollout.New(), 0
			}
		})
	}
}

// askSpanOfStaff is how long staff ask again where nobody leads.
const askSpanOfStaff = 10 * time.Second

// order has staff ask one agent, and the next where that one can't be had; again in a while where none can.
func (a *agents) order(o scenario.PlannedOrder, until time.Duration) {
	s := a.sim
	c := rollout.Command{By: "staff", Reason: "the scenario", At: s.clock()}
	for i := range a.list {
		x := a.list[(o.Agent+i)%len(a.list)]
		if a.leader == nil || !x.runs() || !x.hears(a.leader) {
			continue
		}
		l := a.leader
		switch o.What {
		case "drain":
			c.Verb, c.New = rollout.Start, &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{o.Of}, Hold: o.Hold}
		case "release":
			to := rollout.Version{Name: fmt.Sprint("r", len(a.log)), Program: fmt.Sprint("p", len(a.log))}
			if o.Bad {
				to.Program = badProgram
			}
			c.Verb, c.New = rollout.Start, &rollout.Plan{Kind: rollout.Release, To: to, RollBackOnFailure: o.GoBack, Stages: [][]string{o.Of}, Gate: gateOfOrders}
		default:
			if len(l.state.Plans) == 0 {
				return
			}
			p := l.state.Plans[len(l.state.Plans)-1]
			c.Verb = map[string]rollout.Verb{"halt": rollout.Halt, "resume": rollout.Resume, "back": rollout.RollBack}[o.What]
			c.Plan, c.Revision = p.ID, p.Revision
		}
		c.Seen = l.state.Seen(l.sights, s.clock())
		if _, ok := a.agree(c); ok {
			return
		}
	}
	if s.now < until {
		s.at(s.now+500*time.Millisecond, func() { a.order(o, until) })
	}
}

// gateOfOrders is the gate of a scenario's releases: short, as its days are.
var gateOfOrders = rollout.Gate{MinMessages: 5, Soak: time.Second, Wait: 10 * time.Second, Slack: 0.5}

// home has staff bring back what a halted drain left out, until nothing is.
func (a *agents) home() {
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
				a.agree(rollout.Command{Verb: rollout.Activate, At: s.clock(), By: "staff", Reason: "the end", Plan: p.ID, Senders: l.state.Order(out)})
			}
		}
	}
	s.at(s.now+time.Second, a.home)
}

// finish enters what came of it.
func (a *agents) finish() {
	l := a.leader
	if l == nil {
		l = a.list[0]
	}
	l.catchUp()
	for _, p := range l.state.Plans {
		a.sim.result.Plans = append(a.sim.result.Plans, fmt.Sprintf("%d %s %s %s", p.ID, p.Kind, p.Phase, p.Why))
	}
	for _, y := range a.sim.senders {
		if y.book.Active() {
			a.sim.result.StillOut = append(a.sim.result.StillOut, y.party)
		}
	}
}

// sight is what a sender says of itself.
func (x *sender) sight() rollout.Observation {
	c := x.counters.Counts()
	v := rollout.Observation{
		Sender: x.party, At: x.sim.clock(), Process: x.id, Version: x.runs, Epoch: x.book.Epoch, Ended: x.book.Ended, Phase: "serving", Open: c.Open,
		Facts: rollout.Counters{Accepted: c.Taken, Rejected: c.Refused, Delivered: c.Delivered, Deferred: c.Deferred, Failed: c.Undeliverable, Called: c.Called, Late: c.Late, FirstCall: c.FirstCall},
	}
	v.Serving, v.Drained = !x.book.Active(), x.book.Active() && x.book.Drain
	return v
}

// expires has the lease that stands end by itself, unless it is renewed before.
func (x *sender) expires() {
	s := x.sim
	until := x.book.Until
	s.at(max(s.now, until.Sub(epoch)), func() {
		x.when(func() {
			if x.book.Active() && x.book.Until.Equal(until) {
				x.book.Expire(s.clock())
			}
		})
	})
}

// succeed puts another process in its place, which goes on with what it has.
func (x *sender) succeed(version string) {
	x.sim.starts++
	x.before = x.id
	x.id, x.runs = fmt.Sprintf("%s-%d", x.party, x.sim.starts), version
}

// ordered tells whether clients are sent away by an order.
func (x *sender) ordered() bool { return x.book.Active() && x.book.Drain }
