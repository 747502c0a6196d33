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

// The model has three agents, each beside one sender, one log, and everything in between late, twice or never: sights
// on their way, entries proposed by agents that may lead no more, orders, ends. Clocks differ. It knows what is true,
// and wants the budget kept by it.
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
	alive, stopped bool
	process        int
	book           lease.Holder
	off            time.Duration
	gone           time.Duration // since when it does not serve without an order; -1 = it serves
}

type model struct {
	now     time.Duration
	log     []Command
	states  [agents]*State
	applied [agents]int
	sights  [agents]map[string]Observation
	watches [agents]Watch
	offs    [agents]time.Duration
	senders [agents]*modelSender
	drawn   int

	// In flight; what is delivered may stay, and come again.
	proposals []Command
	told      []struct {
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
	broken string
	taken  int
}

func modelTime(d time.Duration) time.Time { return time.Unix(1000, 0).UTC().Add(d) }

func newModel(budget int, offs [2 * agents]time.Duration) *model {
	m := &model{}
	terms := Terms{Budget: Budget{Fleet: budget}, Timing: Timing{modelFresh, modelAccept, modelLease, modelError}}
	m.log = append(m.log, Command{Verb: SetTerms, By: "x", Terms: &terms})
	for i, name := range modelNames {
		agent := fmt.Sprint("a", i)
		m.log = append(m.log, Command{Verb: SetRoster, By: agent, Roster: []Member{{Name: name, Agent: agent}}})
		m.states[i], m.sights[i], m.offs[i] = New(), map[string]Observation{}, offs[i]
		m.senders[i] = &modelSender{alive: true, process: m.draw(), off: offs[agents+i], gone: -1}
	}
	plan := &Plan{Kind: Drain, Stages: [][]string{modelNames}, Hold: modelStep}
	m.log = append(m.log, Command{Verb: Start, By: "x", Reason: "y", New: plan, Seen: modelNames})
	return m
}

func (m *model) draw() int { m.drawn++; return m.drawn }

// apply has an agent apply one entry more.
func (m *model) apply(i int) bool {
	if m.applied[i] >= len(m.log) {
		return false
	}
	m.applied[i]++
	m.states[i].Apply(uint64(m.applied[i]), m.log[m.applied[i]-1])
	return true
}

// look has an agent look at its sender; what it sees goes to all agents.
func (m *model) look(i int) {
	s := m.senders[i]
	if !s.alive || s.stopped {
		return
	}
	v := Observation{
		Sender: modelNames[i], At: modelTime(m.now + m.offs[i]), Serving: !s.book.Active(), Process: fmt.Sprint(s.process),
		Epoch: s.book.Epoch, Ended: s.book.Ended, Drained: s.book.Active() && s.book.Drain,
	}
	for to := range agents {
		if to == i {
			m.saw(to, v)
		} else {
			m.told = append(m.told, struct {
				to int
				v  Observation
			}{to, v})
		}
	}
}

// far has an agent look at another one's sender, for itself.
func (m *model) far(i, k int) {
	s := m.senders[k]
	if i == k || !s.alive || s.stopped {
		return
	}
	m.saw(i, Observation{
		Sender: modelNames[k], At: modelTime(m.now + m.offs[i]), Serving: !s.book.Active(), Process: fmt.Sprint(s.process),
		Epoch: s.book.Epoch, Ended: s.book.Ended, Drained: s.book.Active() && s.book.Drain, Far: true,
	})
}

func (m *model) saw(to int, v Observation) {
	if old, some := m.sights[to][v.Sender]; !some || v.At.After(old.At) {
		m.sights[to][v.Sender] = v
	}
}

// lead has an agent propose what it takes to come next, whether or not it leads.
func (m *model) lead(i int) {
	for _, c := range m.states[i].Next(m.sights[i], &m.watches[i], modelTime(m.now+m.offs[i])) {
		c.By = fmt.Sprint("a", i)
		m.proposals = append(m.proposals, c)
	}
}

// mind has an agent send what its sender is ordered.
func (m *model) mind(i int) {
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
	}{i, lease.Order{Process: g.Process, Epoch: g.Epoch, By: g.By, Until: g.Until, Drain: true}})
}

// order arrives at a sender. Here the budget is judged.
func (m *model) order(k int) {
	o := m.orders[k]
	s := m.senders[o.to]
	if !s.alive || s.stopped {
		return
	}
	stood := s.book.Active() && s.book.Epoch == o.o.Epoch
	if s.book.Take(o.o, fmt.Sprint(s.process), modelTime(m.now+s.off)) != nil || stood {
		return
	}
	m.taken++
	margin := modelFresh + modelAccept + 4*modelError
	var out []string
	for i, x := range m.senders {
		if x.alive && x.book.Active() || x.gone >= 0 && m.now-x.gone > margin {
			out = append(out, modelNames[i])
		}
	}
	if budget := m.states[0].Terms.Budget.Fleet; budget > 0 && len(out) > budget {
		m.broken = fmt.Sprintf("at %v %s went out by order %d, and then %v were out, %d may be", m.now, modelNames[o.to],
			o.o.Epoch, out, budget)
	}
}

func (m *model) crash(i int) {
	if s := m.senders[i]; s.alive {
		s.alive, s.stopped = false, false
		if s.gone < 0 {
			s.gone = m.now
		}
	}
}

func (m *model) begin(i int) {
	if s := m.senders[i]; !s.alive {
		*s = modelSender{alive: true, process: m.draw(), off: s.off, gone: -1}
	}
}

// stop is SIGSTOP, or SIGCONT for one that is stopped: it goes on with the view that it had.
func (m *model) stop(i int) {
	s := m.senders[i]
	if !s.alive {
		return
	}
	if s.stopped = !s.stopped; s.stopped {
		s.gone = m.now
	} else {
		s.gone = -1
		s.book.Expire(modelTime(m.now + s.off))
	}
}

func (m *model) pass(d time.Duration) {
	m.now += d
	for _, s := range m.senders {
		if s.alive && !s.stopped {
			s.book.Expire(modelTime(m.now + s.off))
		}
	}
}

// acts are what may happen next, by name. Those that deliver take the number of what they deliver.
func (m *model) acts() []func() {
	list := []func(){func() { m.pass(modelStep) }, func() { m.pass(5 * modelStep) }}
	for i := range agents {
		list = append(list, func() { m.far(i, (i+1)%agents) }, func() { m.look(i) }, func() { m.lead(i) },
			func() { m.mind(i) })
		if m.applied[i] < len(m.log) {
			list = append(list, func() { m.apply(i) })
		}
	}
	// The latest in flight come first, but old ones come, too.
	for _, k := range latest(len(m.told), 6) {
		list = append(list, func() { m.saw(m.told[k].to, m.told[k].v) })
	}
	for _, k := range latest(len(m.proposals), 3) {
		list = append(list, func() { m.log = append(m.log, m.proposals[k]) })
	}
	for _, k := range latest(len(m.orders), 4) {
		list = append(list, func() { m.order(k) })
	}
	for _, k := range latest(len(m.ends), 3) {
		list = append(list, func() {
			if s := m.senders[m.ends[k].to]; s.alive && !s.stopped {
				s.book.End(m.ends[k].epoch)
			}
		})
	}
	return list
}

// mishaps are what goes wrong with senders.
func (m *model) mishaps() []func() {
	var list []func()
	for i := range agents {
		list = append(list, func() { m.crash(i) }, func() { m.begin(i) }, func() { m.stop(i) })
	}
	return list
}

// latest are the numbers of the last of n things, the very last first.
func latest(n, most int) (list []int) {
	for i := n - 1; i >= 0 && len(list) < most; i-- {
		list = append(list, i)
	}
	return list
}

// settle lets all be told and applied that is in flight, so that histories get somewhere.
func (m *model) settle() {
	for i := range agents {
		m.look(i)
	}
	for _, t := range m.told {
		m.saw(t.to, t.v)
	}
	for i := range agents {
		for m.apply(i) {
		}
	}
}

// round goes on as all of it is meant to: looks, entries, orders and ends, with orders delivered or left on their way.
func (m *model) round(leader, whom int, deliver bool) {
	m.settle()
	before := len(m.proposals)
	m.lead(leader)
	for _, c := range m.proposals[before:] {
		if c.Verb != GrantThese {
			m.log = append(m.log, c)
		}
	}
	m.settle()
	m.ask(leader, whom)
	m.settle()
	orders, ends := len(m.orders), len(m.ends)
	for i := range agents {
		m.mind(i)
	}
	for k := orders; deliver && k < len(m.orders); k++ {
		m.order(k)
	}
	for _, e := range m.ends[ends:] {
		if s := m.senders[e.to]; s.alive && !s.stopped {
			s.book.End(e.epoch)
		}
	}
}

// ask has an agent propose leave for any sender, in whatever order: what is safe does not rest on which is next.
func (m *model) ask(i, k int) {
	s, v := m.states[i], m.sights[i][modelNames[k]]
	now := modelTime(m.now + m.offs[i])
	for _, p := range s.Plans {
		if t := p.Tasks[v.Sender]; p.Phase == Running && t != nil && t.Step == Waiting {
			m.log = append(m.log, Command{Verb: GrantThese, At: now, Plan: p.ID,
				Requests: []GrantRequest{{v.Sender, v.Process, v.At}}, Seen: s.Seen(m.sights[i], now)})
		}
	}
}

// staff has plans that halted go on, and starts one again once all are over.
func (m *model) staff(i int) {
	s := m.states[i]
	open := false
	for _, p := range s.Plans {
		if open = open || p.Phase.Open(); p.Phase == Halted {
			m.log = append(m.log, Command{Verb: Resume, By: "x", Reason: "y", Plan: p.ID, Revision: p.Revision})
		}
	}
	if !open {
		plan := &Plan{Kind: Drain, Stages: [][]string{modelNames}, Hold: modelStep}
		m.log = append(m.log, Command{Verb: Start, By: "x", Reason: "y", New: plan, Seen: modelNames})
	}
}

// Random histories. By hand: go test ./internal/rollout -run Histories -rapid.checks=100000
func TestHistories(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		var offs [2 * agents]time.Duration
		for i := range offs {
			offs[i] = modelError * time.Duration(rapid.IntRange(-1, 1).Draw(t, "clock"))
		}
		m := newModel(rapid.IntRange(1, 2).Draw(t, "budget"), offs)
		m.settle()
		for range 100 {
			n := rapid.IntRange(0, 99).Draw(t, "what")
			who, whom := rapid.IntRange(0, agents-1).Draw(t, "who"), rapid.IntRange(0, agents-1).Draw(t, "whom")
			switch {
			case n < 20:
				m.round(who, whom, true)
			case n < 35:
				m.round(who, whom, false)
			case n < 47:
				if len(m.orders) > 0 {
					m.order(len(m.orders) - 1 - (3*who+whom)%min(9, len(m.orders)))
				}
			case n < 57:
				m.ask(who, whom)
			case n < 62:
				m.crash(who)
				m.begin(who)
			case n < 66:
				list := m.mishaps()
				list[3*who+whom]()
			case n < 76:
				m.pass(modelStep)
			case n < 80:
				m.pass(5 * modelStep)
			case n < 83:
				m.staff(who)
			case n < 86:
				m.far(who, whom)
			default:
				list := m.acts()
				list[rapid.IntRange(0, len(list)-1).Draw(t, "act")]()
			}
			if m.broken != "" {
				t.Fatal(m.broken)
			}
		}
		taken += m.taken
	})
	if taken == 0 {
		t.Error("nobody ever went out")
	}
}

// deep is how many steps are gone through in every order, from each of some states on the way of a drain. By hand:
// go test ./internal/rollout -run EveryOrder -deep 4 (seven minutes)
var deep = flag.Int("deep", 2, "steps of TestEveryOrder")

// Every order of what may come next, up to a depth, from the states that a drain goes through.
func TestEveryOrder(t *testing.T) {
	fast, slow, orders := modelError, -modelError, 0
	for _, offs := range [][2 * agents]time.Duration{{}, {fast, slow, slow, slow, fast, slow},
		{slow, fast, fast, fast, slow, fast}} {
		for way := range 10 {
			start := func() *model {
				m := newModel(1, offs)
				m.settle()
				for k := range way {
					switch k % 3 {
					case 0:
						m.lead(0)
						if len(m.proposals) > 0 {
							m.log = append(m.log, m.proposals[len(m.proposals)-1])
						}
					case 1:
						m.settle()
						for i := range agents {
							m.mind(i)
						}
						for k := range m.orders {
							m.order(k)
						}
						for _, e := range m.ends {
							m.senders[e.to].book.End(e.epoch)
						}
					case 2:
						m.pass(3 * modelStep)
						m.settle()
					}
				}
				return m
			}
			n := 0
			var walk func(path []int)
			walk = func(path []int) {
				m := start()
				for _, k := range path {
					m.acts()[k]()
				}
				n++
				if m.broken != "" {
					t.Fatalf("clocks %v, way %d, path %v: %s", offs, way, path, m.broken)
				}
				if len(path) == *deep || t.Failed() {
					return
				}
				for k := range m.acts() {
					walk(append(slices.Clone(path), k))
				}
			}
			walk(nil)
			orders += n
		}
	}
	t.Logf("%d orders of %d steps", orders, *deep)
}

// names of the members, for tests.
func (s *State) names() []string { return slices.Sorted(maps.Keys(s.Members)) }
