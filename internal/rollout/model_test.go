package rollout

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cleathold/internal/lease"
)

// The model has one log and three agents with one sender each. Everything that passes between them may arrive late,
// more than once or never: observations, entries proposed by agents that may no longer lead, orders, and ends of
// leases. Clocks differ. The model knows the senders' actual state and checks the budget against it.
const (
	modelFresh  = 6 * time.Millisecond
	modelAccept = 8 * time.Millisecond
	modelLease  = 20 * time.Millisecond
	modelError  = 3 * time.Millisecond
	modelStep   = 2 * time.Millisecond
	agents      = 3
)

var modelNames = []string{"n0", "n1", "n2"}

type modelSender struct {
	alive, stopped  bool
	process         int
	leases          lease.Holder
	clockOffset     time.Duration
	notServingSince time.Duration // since when it does not serve although it has no order; -1: it serves
}

type model struct {
	now          time.Duration
	log          []Command
	states       [agents]*State
	applied      [agents]int
	observations [agents]map[string]Observation
	watches      [agents]Watch
	clockOffsets [agents]time.Duration
	senders      [agents]*modelSender
	lastProcess  int

	// In flight. Delivered items may stay here and be delivered again.
	proposals            []Command
	observationsInFlight []struct {
		to int
		v  Observation
	}
	orders []struct {
		to int
		o  lease.Order
	}
	ends []struct {
		to    int
		epoch uint64
	}
	violation   string
	ordersTaken int
}

func modelTime(d time.Duration) time.Time { return time.Unix(1000, 0).UTC().Add(d) }

func newModel(budget int, offsets [2 * agents]time.Duration) *model {
	m := &model{}
	terms := Terms{Budget: Budget{Fleet: budget}, Timing: Timing{modelFresh, modelAccept, modelLease, modelError}}
	m.log = append(m.log, Command{Verb: SetTerms, By: "x", Terms: &terms})
	for i, name := range modelNames {
		agent := fmt.Sprint("a", i)
		m.log = append(m.log, Command{Verb: SetRoster, By: agent, Roster: []Member{{Name: name, Agent: agent}}})
		m.states[i], m.observations[i], m.clockOffsets[i] = New(), map[string]Observation{}, offsets[i]
		m.senders[i] = &modelSender{
			alive: true, process: m.nextProcess(), clockOffset: offsets[agents+i], notServingSince: -1,
		}
	}
	plan := &Plan{Kind: Drain, Stages: [][]string{modelNames}, Hold: modelStep}
	m.log = append(m.log, Command{Verb: Start, By: "x", Reason: "y", New: plan, ServingSenders: modelNames})
	return m
}

func (m *model) nextProcess() int { m.lastProcess++; return m.lastProcess }

// apply makes an agent apply the next entry. It returns false if there is none.
func (m *model) apply(i int) bool {
	if m.applied[i] >= len(m.log) {
		return false
	}
	m.applied[i]++
	m.states[i].Apply(uint64(m.applied[i]), m.log[m.applied[i]-1])
	return true
}

// observe makes an agent poll its sender and send the observation to all agents.
func (m *model) observe(i int) {
	s := m.senders[i]
	if !s.alive || s.stopped {
		return
	}
	v := Observation{
		Sender: modelNames[i], At: modelTime(m.now + m.clockOffsets[i]), Serving: !s.leases.Active(),
		Process: fmt.Sprint(s.process),
		Epoch:   s.leases.Epoch, Ended: s.leases.Ended, Drained: s.leases.Active() && s.leases.Drain,
	}
	for to := range agents {
		if to == i {
			m.receive(to, v)
		} else {
			m.observationsInFlight = append(m.observationsInFlight, struct {
				to int
				v  Observation
			}{to, v})
		}
	}
}

// observeRemotely makes an agent poll the sender of another agent. It does not send the observation to other agents.
func (m *model) observeRemotely(i, k int) {
	s := m.senders[k]
	if i == k || !s.alive || s.stopped {
		return
	}
	m.receive(i, Observation{
		Sender: modelNames[k], At: modelTime(m.now + m.clockOffsets[i]), Serving: !s.leases.Active(),
		Process: fmt.Sprint(s.process),
		Epoch:   s.leases.Epoch, Ended: s.leases.Ended, Drained: s.leases.Active() && s.leases.Drain, Remote: true,
	})
}

func (m *model) receive(to int, v Observation) {
	if old, known := m.observations[to][v.Sender]; !known || v.At.After(old.At) {
		m.observations[to][v.Sender] = v
	}
}

// propose makes an agent propose its next commands, whether or not it leads.
func (m *model) propose(i int) {
	for _, c := range m.states[i].Next(m.observations[i], &m.watches[i], modelTime(m.now+m.clockOffsets[i])) {
		c.By = fmt.Sprint("a", i)
		m.proposals = append(m.proposals, c)
	}
}

// sendOrder makes an agent send its sender the order for its grant, or the end of the lease.
func (m *model) sendOrder(i int) {
	g := m.states[i].Grants[modelNames[i]]
	if g == nil {
		return
	}
	if p := m.states[i].Plan(g.Plan); p.Tasks[g.Sender].Step == Returning {
		m.ends = append(m.ends, struct {
			to    int
			epoch uint64
		}{i, g.Epoch})
		return
	}
	m.orders = append(m.orders, struct {
		to int
		o  lease.Order
	}{i, lease.Order{Process: g.Process, Epoch: g.Epoch, AcceptBy: g.TakeBy, Until: g.Until, Drain: true}})
}

// takeOrder delivers an order to a sender. It records a violation if more senders are out than the budget allows.
func (m *model) takeOrder(k int) {
	delivery := m.orders[k]
	s := m.senders[delivery.to]
	if !s.alive || s.stopped {
		return
	}
	alreadyTaken := s.leases.Active() && s.leases.Epoch == delivery.o.Epoch
	if s.leases.Accept(delivery.o, fmt.Sprint(s.process), modelTime(m.now+s.clockOffset)) != nil || alreadyTaken {
		return
	}
	m.ordersTaken++
	margin := modelFresh + modelAccept + 4*modelError
	var out []string
	for i, x := range m.senders {
		if x.alive && x.leases.Active() || x.notServingSince >= 0 && m.now-x.notServingSince > margin {
			out = append(out, modelNames[i])
		}
	}
	if budget := m.states[0].Terms.Budget.Fleet; budget > 0 && len(out) > budget {
		m.violation = fmt.Sprintf("at %v %s went out with order %d; now %v are out, the budget is %d", m.now,
			modelNames[delivery.to], delivery.o.Epoch, out, budget)
	}
}

func (m *model) crash(i int) {
	if s := m.senders[i]; s.alive {
		s.alive, s.stopped = false, false
		if s.notServingSince < 0 {
			s.notServingSince = m.now
		}
	}
}

func (m *model) restart(i int) {
	if s := m.senders[i]; !s.alive {
		*s = modelSender{alive: true, process: m.nextProcess(), clockOffset: s.clockOffset, notServingSince: -1}
	}
}

// stopOrContinue simulates SIGSTOP, or SIGCONT for a stopped sender. A continued sender keeps its former state.
func (m *model) stopOrContinue(i int) {
	s := m.senders[i]
	if !s.alive {
		return
	}
	if s.stopped = !s.stopped; s.stopped {
		s.notServingSince = m.now
	} else {
		s.notServingSince = -1
		s.leases.Expire(modelTime(m.now + s.clockOffset))
	}
}

func (m *model) advance(d time.Duration) {
	m.now += d
	for _, s := range m.senders {
		if s.alive && !s.stopped {
			s.leases.Expire(modelTime(m.now + s.clockOffset))
		}
	}
}

// actions returns the steps without faults that are possible next.
func (m *model) actions() []func() {
	list := []func(){func() { m.advance(modelStep) }, func() { m.advance(5 * modelStep) }}
	for i := range agents {
		list = append(list, func() { m.observeRemotely(i, (i+1)%agents) }, func() { m.observe(i) }, func() { m.propose(i) },
			func() { m.sendOrder(i) })
		if m.applied[i] < len(m.log) {
			list = append(list, func() { m.apply(i) })
		}
	}
	// Of the items in flight, the latest few can be delivered, the very last one first.
	for _, k := range latest(len(m.observationsInFlight), 6) {
		list = append(list, func() { m.receive(m.observationsInFlight[k].to, m.observationsInFlight[k].v) })
	}
	for _, k := range latest(len(m.proposals), 3) {
		list = append(list, func() { m.log = append(m.log, m.proposals[k]) })
	}
	for _, k := range latest(len(m.orders), 4) {
		list = append(list, func() { m.takeOrder(k) })
	}
	for _, k := range latest(len(m.ends), 3) {
		list = append(list, func() {
			if s := m.senders[m.ends[k].to]; s.alive && !s.stopped {
				s.leases.End(m.ends[k].epoch)
			}
		})
	}
	return list
}

// faults returns the faults of senders that are possible next.
func (m *model) faults() []func() {
	var list []func()
	for i := range agents {
		list = append(list, func() { m.crash(i) }, func() { m.restart(i) }, func() { m.stopOrContinue(i) })
	}
	return list
}

// latest returns the indices of the last items of n, in descending order, limit at most.
func latest(n, limit int) (list []int) {
	for i := n - 1; i >= 0 && len(list) < limit; i-- {
		list = append(list, i)
	}
	return list
}

// deliverAll delivers all observations and applies all entries. Without it random histories would make little progress.
func (m *model) deliverAll() {
	for i := range agents {
		m.observe(i)
	}
	for _, t := range m.observationsInFlight {
		m.receive(t.to, t.v)
	}
	for i := range agents {
		for m.apply(i) {
		}
	}
}

// runRound runs a round without faults: observations, entries, orders and ends of leases. If deliver is false the
// orders stay in flight.
func (m *model) runRound(leader, sender int, deliver bool) {
	m.deliverAll()
	before := len(m.proposals)
	m.propose(leader)
	for _, c := range m.proposals[before:] {
		if c.Verb != GrantSenders {
			m.log = append(m.log, c)
		}
	}
	m.deliverAll()
	m.requestGrant(leader, sender)
	m.deliverAll()
	orders, ends := len(m.orders), len(m.ends)
	for i := range agents {
		m.sendOrder(i)
	}
	for k := orders; deliver && k < len(m.orders); k++ {
		m.takeOrder(k)
	}
	for _, e := range m.ends[ends:] {
		if s := m.senders[e.to]; s.alive && !s.stopped {
			s.leases.End(e.epoch)
		}
	}
}

// requestGrant makes an agent propose a grant for any waiting sender, since safety must not depend on the order.
func (m *model) requestGrant(i, k int) {
	s, v := m.states[i], m.observations[i][modelNames[k]]
	now := modelTime(m.now + m.clockOffsets[i])
	for _, p := range s.Plans {
		if t := p.Tasks[v.Sender]; p.Phase == Running && t != nil && t.Step == Waiting {
			m.log = append(m.log, Command{Verb: GrantSenders, At: now, Plan: p.ID,
				Requests: []GrantRequest{{v.Sender, v.Process, v.At}}, ServingSenders: s.ServingSenders(m.observations[i], now)})
		}
	}
}

// resumeOrStart resumes halted plans, and starts a new plan if none is open.
func (m *model) resumeOrStart(i int) {
	s := m.states[i]
	open := false
	for _, p := range s.Plans {
		if open = open || p.Phase.Open(); p.Phase == Halted {
			m.log = append(m.log, Command{Verb: Resume, By: "x", Reason: "y", Plan: p.ID, Revision: p.Revision})
		}
	}
	if !open {
		plan := &Plan{Kind: Drain, Stages: [][]string{modelNames}, Hold: modelStep}
		m.log = append(m.log, Command{Verb: Start, By: "x", Reason: "y", New: plan, ServingSenders: modelNames})
	}
}

// TestRandomHistories checks the budget in random histories. For a longer run:
// go test ./internal/rollout -run RandomHistories -rapid.checks=100000
func TestRandomHistories(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		var offsets [2 * agents]time.Duration
		for i := range offsets {
			offsets[i] = modelError * time.Duration(rapid.IntRange(-1, 1).Draw(t, "clock"))
		}
		m := newModel(rapid.IntRange(1, 2).Draw(t, "budget"), offsets)
		m.deliverAll()
		for range 100 {
			n := rapid.IntRange(0, 99).Draw(t, "action")
			agent, other := rapid.IntRange(0, agents-1).Draw(t, "agent"), rapid.IntRange(0, agents-1).Draw(t, "other")
			switch {
			case n < 20:
				m.runRound(agent, other, true)
			case n < 35:
				m.runRound(agent, other, false)
			case n < 47:
				if len(m.orders) > 0 {
					m.takeOrder(len(m.orders) - 1 - (3*agent+other)%min(9, len(m.orders)))
				}
			case n < 57:
				m.requestGrant(agent, other)
			case n < 62:
				m.crash(agent)
				m.restart(agent)
			case n < 66:
				list := m.faults()
				list[3*agent+other]()
			case n < 76:
				m.advance(modelStep)
			case n < 80:
				m.advance(5 * modelStep)
			case n < 83:
				m.resumeOrStart(agent)
			case n < 86:
				m.observeRemotely(agent, other)
			default:
				list := m.actions()
				list[rapid.IntRange(0, len(list)-1).Draw(t, "step")]()
			}
			if m.violation != "" {
				t.Fatal(m.violation)
			}
		}
		taken += m.ordersTaken
	})
	if taken == 0 {
		t.Error("no sender ever took an order")
	}
}

// deep is the length of the step sequences that TestAllInterleavings runs from each of its start states. For a longer
// run: go test ./internal/rollout -run AllInterleavings -deep 4 (takes seven minutes)
var deep = flag.Int("deep", 2, "steps of TestAllInterleavings")

// TestAllInterleavings checks the budget in all sequences of possible steps, up to the length deep, from each state
// that a drain goes through.
func TestAllInterleavings(t *testing.T) {
	fast, slow, sequences := modelError, -modelError, 0
	for _, offsets := range [][2 * agents]time.Duration{{}, {fast, slow, slow, slow, fast, slow},
		{slow, fast, fast, fast, slow, fast}} {
		for steps := range 10 {
			start := func() *model {
				m := newModel(1, offsets)
				m.deliverAll()
				for k := range steps {
					switch k % 3 {
					case 0:
						m.propose(0)
						if len(m.proposals) > 0 {
							m.log = append(m.log, m.proposals[len(m.proposals)-1])
						}
					case 1:
						m.deliverAll()
						for i := range agents {
							m.sendOrder(i)
						}
						for k := range m.orders {
							m.takeOrder(k)
						}
						for _, e := range m.ends {
							m.senders[e.to].leases.End(e.epoch)
						}
					case 2:
						m.advance(3 * modelStep)
						m.deliverAll()
					}
				}
				return m
			}
			n := 0
			var walk func(path []int)
			walk = func(path []int) {
				m := start()
				for _, k := range path {
					m.actions()[k]()
				}
				n++
				if m.violation != "" {
					t.Fatalf("clock offsets %v, start state %d, path %v: %s", offsets, steps, path, m.violation)
				}
				if len(path) == *deep || t.Failed() {
					return
				}
				for k := range m.actions() {
					walk(append(slices.Clone(path), k))
				}
			}
			walk(nil)
			sequences += n
		}
	}
	t.Logf("%d sequences of up to %d steps", sequences, *deep)
}

// names returns the sorted names of the members.
func (s *State) names() []string { return slices.Sorted(maps.Keys(s.Members)) }
