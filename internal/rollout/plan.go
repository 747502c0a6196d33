package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// few is the size of the second stage; later ones are a tenth of the senders.
const few = 3

// Stages parts senders: first one, then a few, then a tenth of them at a time, in the order given.
func Stages(names []string) [][]string {
	var stages [][]string
	tenth := max(1, (len(names)+9)/10)
	for rest := names; len(rest) > 0; {
		n := tenth
		switch len(stages) {
		case 0:
			n = 1
		case 1:
			n = min(few, max(1, len(names)/4))
		}
		n = min(n, len(rest))
		stages = append(stages, rest[:n:n])
		rest = rest[n:]
	}
	return stages
}

// Order sorts senders by building, then by name.
func (s *State) Order(names []string) []string {
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.building(a), s.building(b)), cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
	})
	return slices.Compact(list)
}

func (s *State) building(name string) string {
	if m := s.Members[name]; m != nil {
		return m.Building
	}
	return ""
}

// start enters a new plan.
func (s *State) start(index uint64, c Command) (string, error) {
	p, err := s.Draft(index, c)
	if err != nil {
		return "", err
	}
	if n := len(s.Plans); n >= plansMost {
		i := slices.IndexFunc(s.Plans, func(p *Plan) bool { return !p.Phase.Open() })
		if i < 0 {
			return "", refuse("%d plans are open: end one first", n)
		}
		s.Plans = slices.Delete(s.Plans, i, i+1)
	}
	s.Plans = append(s.Plans, p)
	return fmt.Sprintf("plan %d: %s of %d senders in %d stages", p.ID, p.Kind, len(p.Tasks), len(p.Stages)), nil
}

// Draft is the plan that a command would start, or why it starts none. It changes nothing.
func (s *State) Draft(index uint64, c Command) (*Plan, error) {
	n := c.New
	switch {
	case n == nil || n.Kind != Drain && n.Kind != Release:
		return nil, refuse("neither a drain nor a release")
	case c.By == "" || c.Reason == "":
		return nil, refuse("an author and a reason are needed")
	case len(s.Members) == 0:
		return nil, refuse("the fleet has no senders yet")
	case n.Kind == Release && (n.To.Name == "" || n.To.Program == "" && n.To.Config == ""):
		return nil, refuse("a release needs a name, and a program or a folder of configurations")
	case n.AtOnce < 0 || n.AtOnce > s.Terms.Budget.Fleet:
		return nil, refuse("%d senders at once: the budget has 1 to %d", n.AtOnce, s.Terms.Budget.Fleet)
	case n.Hold < 0 || n.Gate.MinMessages < 0 || n.Gate.Soak < 0 || n.Gate.Wait < 0 || n.Gate.Slack < 0:
		return nil, refuse("a span or a figure below 0")
	}
	if err := s.Terms.Check(len(s.Members)); err != nil {
		return nil, refuse("%v", err)
	}
	names := slices.Concat(n.Stages...)
	if len(names) == 0 {
		if n.Kind == Drain {
			return nil, refuse("name the senders to drain")
		}
		names = slices.Collect(maps.Keys(s.Members))
	}
	names = s.Order(names)
	for _, name := range names {
		if s.Members[name] == nil {
			return nil, refuse("no sender %q in the fleet", name)
		}
		if q := s.planOf(name); q != nil {
			return nil, refuse("%s is in plan %d (%s, by %s)", name, q.ID, q.Phase, q.By)
		}
	}
	if k := s.count(c.Seen); len(k.out) > s.Terms.Budget.Fleet {
		return nil, refuse("%d senders are out or not seen now, the budget has %d: %s; bring them back first", len(k.out), s.Terms.Budget.Fleet, some(k.out))
	}
	p := *n
	p.ID, p.By, p.Reason, p.At, p.Phase, p.Stage, p.Revision, p.RolledBack, p.Why, p.Others = index, c.By, c.Reason, c.At, Running, 0, index, false, "", nil
	p.Tasks = map[string]*Task{}
	touched := names[:0:0]
	for _, name := range names {
		t := &Task{Step: Waiting, Since: c.At}
		if n.Kind == Release && s.Members[name].Version.Name == n.To.Name {
			t.Step = Kept
		} else {
			touched = append(touched, name)
		}
		p.Tasks[name] = t
	}
	if len(touched) == 0 {
		return nil, refuse("all of them run %s already", n.To.Name)
	}
	if p.Kind == Drain {
		p.Stages = [][]string{touched}
	} else {
		p.Stages = Stages(touched)
		p.Gate = p.Gate.filled()
	}
	return &p, nil
}

// filled puts the usual in the place of what a gate leaves out.
func (g Gate) filled() Gate {
	u := DefaultGate
	return Gate{cmp.Or(g.MinMessages, u.MinMessages), cmp.Or(g.Soak, u.Soak), cmp.Or(g.Wait, u.Wait), cmp.Or(g.Slack, u.Slack)}
}

// Seen lists who was seen serving at most Fresh before.
func (s *State) Seen(sights map[string]Observation, now time.Time) []string {
	var list []string
	for name := range s.Members {
		if v, some := sights[name]; some && v.Serving && now.Sub(v.At) <= s.Terms.Timing.Fresh {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Next is what the leading agent should propose now: what has come true first, then what may go out. The verdict on
// a stage is the watch's, which sees facts over time.
func (s *State) Next(sights map[string]Observation, w *Watch, now time.Time) []Command {
	var list []Command
	for _, name := range slices.Sorted(maps.Keys(s.Grants)) {
		g := s.Grants[name]
		v, some := sights[name]
		if !some {
			continue
		}
		if s.Closable(g, &v) {
			list = append(list, Command{Verb: Close, At: now, Sender: name, Epoch: g.Epoch, Observation: &v})
		} else if p := s.Plan(g.Plan); g.Drain && p != nil && v.Drained && v.Epoch == g.Epoch && !v.Ended && p.Tasks[name].Step == Granted {
			list = append(list, Command{Verb: MarkOut, At: now, Sender: name, Epoch: g.Epoch})
		}
	}
	if len(list) > 0 {
		return list // what comes next rests on them
	}
	k := s.count(s.Seen(sights, now))
	for _, p := range s.Plans {
		if p.Kind == Drain && p.Hold > 0 && p.Phase.Open() {
			var back []string
			for name, t := range p.Tasks {
				if t.Step == Out && now.Sub(t.Since) >= p.Hold {
					back = append(back, name)
				}
			}
			if slices.Sort(back); len(back) > 0 {
				list = append(list, Command{Verb: Activate, At: now, By: p.By, Reason: "held out for as long as asked", Plan: p.ID, Senders: back})
			}
		}
		if p.Phase != Running && p.Phase != RollingBack {
			continue
		}
		if p.Kind == Release && p.Phase == Running {
			if v := w.Verdict(s, p, sights, now); v.Known {
				c := Command{Verb: JudgeGate, At: now, Plan: p.ID, Stage: p.Stage, Good: v.Good, Text: v.Text}
				if v.Good {
					c.Others = &v.Others
				}
				list = append(list, c)
				continue
			}
		}
		if c, some := s.ask(p, k, sights, now); some {
			list = append(list, c)
		}
	}
	return list
}

// Duty is what an agent does about a grant of one of its senders.
type Duty uint8

// The duties.
const (
	NoDuty Duty = iota
	Take        // have the sender take it up
	Renew       // the drain that stands
	End         // it is wanted back
	Fail        // end a change that an agent before this one began
)

// Duty is the one for a grant as a sender was seen; tried is the epoch that the sender was asked to take up last.
func (s *State) Duty(g *Grant, v Observation, tried uint64, now time.Time) Duty {
	p := s.Plan(g.Plan)
	come := p == nil || p.Tasks[g.Sender] == nil || p.Tasks[g.Sender].Step == Returning || !p.Phase.Open()
	stands := v.Epoch == g.Epoch && !v.Ended
	switch {
	case come && g.Drain && (stands || v.Epoch < g.Epoch):
		return End
	case stands && g.Drain:
		return Renew
	case stands:
		return Fail
	case v.Process != g.Process || v.Epoch >= g.Epoch || tried == g.Epoch || now.After(g.By):
		return NoDuty
	}
	return Take
}

// ask is the entry that asks for as many grants as there is room for now.
func (s *State) ask(p *Plan, k count, sights map[string]Observation, now time.Time) (Command, bool) {
	c := Command{Verb: GrantThese, At: now, Plan: p.ID}
	wanted := p.Stages[p.Stage]
	if p.RolledBack { // the last that changed goes back first
		wanted = s.Order(slices.Collect(maps.Keys(p.Tasks)))
		slices.Reverse(wanted)
	}
	room := asksMost
	if p.AtOnce > 0 {
		room = min(room, p.AtOnce-s.abroad(p))
	}
	for _, name := range wanted {
		t, m := p.Tasks[name], s.Members[name]
		if room <= 0 {
			break
		}
		v := sights[name]
		if t.Step != Waiting || m == nil || v.Far || s.room(k, m) != nil { // a grant that nobody is there to carry out is none
			continue
		}
		c.Requests = append(c.Requests, GrantRequest{Sender: name, Process: v.Process, ObservedAt: v.At})
		k.out[name] = true
		k.building[m.Building]++
		room--
	}
	c.Seen = s.Seen(sights, now)
	return c, len(c.Requests) > 0
}
