package rollout

import (
	"maps"
	"slices"
	"time"
)

// Seen lists who was seen serving at most Fresh before.
func (s *State) Seen(observations map[string]Observation, now time.Time) []string {
	var list []string
	for name := range s.Members {
		if v, known := observations[name]; known && v.Serving && now.Sub(v.At) <= s.Terms.Timing.Fresh {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Next is what the leading agent should propose now: what has come true first, then what may go out. The verdict on
// a stage is the watch's, which sees facts over time.
func (s *State) Next(observations map[string]Observation, w *Watch, now time.Time) []Command {
	var list []Command
	for _, name := range slices.Sorted(maps.Keys(s.Grants)) {
		g := s.Grants[name]
		v, known := observations[name]
		if !known {
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
	fleet := s.census(s.Seen(observations, now))
	for _, p := range s.Plans {
		if p.Kind == Drain && p.Hold > 0 && p.Phase.Open() {
			var due []string
			for name, t := range p.Tasks {
				if t.Step == Out && now.Sub(t.Since) >= p.Hold {
					due = append(due, name)
				}
			}
			if slices.Sort(due); len(due) > 0 {
				list = append(list, Command{Verb: Activate, At: now, By: p.By, Reason: "held out for as long as asked", Plan: p.ID, Senders: due})
			}
		}
		if p.Phase != Running && p.Phase != RollingBack {
			continue
		}
		if p.Kind == Release && p.Phase == Running {
			if v := w.Verdict(s, p, observations, now); v.Known {
				c := Command{Verb: JudgeGate, At: now, Plan: p.ID, Stage: p.Stage, Good: v.Good, Text: v.Text}
				if v.Good {
					c.Others = &v.Others
				}
				list = append(list, c)
				continue
			}
		}
		if c, known := s.requestGrants(p, fleet, observations, now); known {
			list = append(list, c)
		}
	}
	return list
}

// requestGrants is the entry that asks for as many grants as there is room for now.
func (s *State) requestGrants(p *Plan, fleet census, observations map[string]Observation, now time.Time) (Command, bool) {
	c := Command{Verb: GrantThese, At: now, Plan: p.ID}
	order := p.Stages[p.Stage]
	if p.RolledBack { // the last that changed goes back first
		order = s.Order(slices.Collect(maps.Keys(p.Tasks)))
		slices.Reverse(order)
	}
	free := maxGrantsPerEntry
	if p.AtOnce > 0 {
		free = min(free, p.AtOnce-s.openGrants(p))
	}
	for _, name := range order {
		t, m := p.Tasks[name], s.Members[name]
		if free <= 0 {
			break
		}
		v := observations[name]
		if t.Step != Waiting || m == nil || v.Far || s.checkBudget(fleet, m) != nil { // a grant that nobody is there to carry out is none
			continue
		}
		c.Requests = append(c.Requests, GrantRequest{Sender: name, Process: v.Process, ObservedAt: v.At})
		fleet.out[name] = true
		fleet.building[m.Building]++
		free--
	}
	c.Seen = s.Seen(observations, now)
	return c, len(c.Requests) > 0
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
func (s *State) Duty(g *Grant, observed Observation, lastTaken uint64, now time.Time) Duty {
	p := s.Plan(g.Plan)
	endWanted := p == nil || p.Tasks[g.Sender] == nil || p.Tasks[g.Sender].Step == Returning || !p.Phase.Open()
	active := observed.Epoch == g.Epoch && !observed.Ended
	switch {
	case endWanted && g.Drain && (active || observed.Epoch < g.Epoch):
		return End
	case active && g.Drain:
		return Renew
	case active:
		return Fail
	case observed.Process != g.Process || observed.Epoch >= g.Epoch || lastTaken == g.Epoch || now.After(g.By):
		return NoDuty
	}
	return Take
}
