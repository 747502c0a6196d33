package rollout

import (
	"maps"
	"slices"
	"time"
)

// ServingSenders returns the sorted names of the senders that were observed to serve at most Timing.MaxObservationAge
// ago.
func (s *State) ServingSenders(observations map[string]Observation, now time.Time) []string {
	var list []string
	for name := range s.Members {
		if v, known := observations[name]; known && v.Serving && now.Sub(v.At) <= s.Terms.Timing.MaxObservationAge {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Next returns the commands that the leading agent should propose now. If there are observed changes it returns only
// these, since all other decisions depend on them.
func (s *State) Next(observations map[string]Observation, w *Watch, now time.Time) []Command {
	if list := s.observedChanges(observations, now); len(list) > 0 {
		return list
	}
	var list []Command
	fleet := s.availability(s.ServingSenders(observations, now))
	for _, p := range s.Plans {
		if due := p.holdElapsed(now); len(due) > 0 {
			list = append(list, Command{
				Verb: Activate, At: now, By: p.By, Reason: "held out for as long as asked", Plan: p.ID, Senders: due,
			})
		}
		if p.Phase != Running && p.Phase != RollingBack {
			continue
		}
		if c, known := s.gateVerdict(p, w, observations, now); known {
			list = append(list, c)
		} else if c, ok := s.requestGrants(p, fleet, observations, now); ok {
			list = append(list, c)
		}
	}
	return list
}

// observedChanges returns the commands for the changes that the observations prove: grants that can be closed and
// senders that are drained.
func (s *State) observedChanges(observations map[string]Observation, now time.Time) []Command {
	var list []Command
	for _, name := range slices.Sorted(maps.Keys(s.Grants)) {
		g := s.Grants[name]
		v, known := observations[name]
		if !known {
			continue
		}
		if s.Closable(g, &v) {
			list = append(list, Command{Verb: CloseGrant, At: now, Sender: name, Epoch: g.Epoch, Observation: &v})
			continue
		}
		p := s.Plan(g.Plan)
		drained := g.Drain && v.Drained && v.Epoch == g.Epoch && !v.Ended
		if drained && p != nil && p.Tasks[name].Step == Granted {
			list = append(list, Command{Verb: MarkDrained, At: now, Sender: name, Epoch: g.Epoch})
		}
	}
	return list
}

// holdElapsed returns the sorted names of the senders of a drain that have been out for the plan's hold time.
func (p *Plan) holdElapsed(now time.Time) []string {
	if p.Kind != Drain || p.Hold <= 0 || !p.Phase.Open() {
		return nil
	}
	var due []string
	for name, t := range p.Tasks {
		if t.Step == Out && now.Sub(t.Since) >= p.Hold {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// gateVerdict returns the command for the verdict on the current stage of a release, if it is known.
func (s *State) gateVerdict(
	p *Plan, w *Watch, observations map[string]Observation, now time.Time,
) (c Command, known bool) {
	if p.Kind != Release || p.Phase != Running {
		return Command{}, false
	}
	v := w.Verdict(s, p, observations, now)
	if !v.Known {
		return Command{}, false
	}
	c = Command{Verb: RecordVerdict, At: now, Plan: p.ID, Stage: p.Stage, Good: v.Good, Text: v.Text}
	if v.Good {
		c.Baseline = &v.Baseline
	}
	return c, true
}

// requestGrants returns the command that requests as many grants as the budget allows now, if any.
func (s *State) requestGrants(
	p *Plan, fleet availability, observations map[string]Observation, now time.Time,
) (Command, bool) {
	c := Command{Verb: GrantSenders, At: now, Plan: p.ID}
	order := p.Stages[p.Stage]
	if p.RolledBack { // a rollback goes through the senders in reverse order
		order = s.Order(slices.Collect(maps.Keys(p.Tasks)))
		slices.Reverse(order)
	}
	remaining := maxGrantsPerEntry
	if p.AtOnce > 0 {
		remaining = min(remaining, p.AtOnce-s.openGrants(p))
	}
	for _, name := range order {
		t, m := p.Tasks[name], s.Members[name]
		if remaining <= 0 {
			break
		}
		v := observations[name]
		// without its own agent nothing would carry out the sender's grant
		if t.Step != Waiting || m == nil || v.Remote || s.checkBudget(fleet, m) != nil {
			continue
		}
		c.Requests = append(c.Requests, GrantRequest{Sender: name, Process: v.Process, ObservedAt: v.At})
		fleet.out[name] = true
		fleet.outByBuilding[m.Building]++
		remaining--
	}
	c.ServingSenders = s.ServingSenders(observations, now)
	return c, len(c.Requests) > 0
}

// Duty is the action that an agent must take on a grant of one of its senders.
type Duty uint8

// The duties.
const (
	NoDuty     Duty = iota
	TakeGrant       // order the sender to take up the grant
	RenewLease      // renew the lease of a drain
	EndLease        // order the sender to serve again
	FailGrant       // end a version change that an earlier process of the agent began
)

// Duty returns the duty for a grant, given an observation of the sender. lastTaken is the epoch of the latest grant
// that the sender was ordered to take up.
func (s *State) Duty(g *Grant, observed Observation, lastTaken uint64, now time.Time) Duty {
	p := s.Plan(g.Plan)
	endWanted := p == nil || p.Tasks[g.Sender] == nil || p.Tasks[g.Sender].Step == Returning || !p.Phase.Open()
	active := observed.Epoch == g.Epoch && !observed.Ended
	switch {
	case endWanted && g.Drain && (active || observed.Epoch < g.Epoch):
		return EndLease
	case active && g.Drain:
		return RenewLease
	case active:
		return FailGrant
	case observed.Process != g.Process || observed.Epoch >= g.Epoch || lastTaken == g.Epoch || now.After(g.TakeBy):
		return NoDuty
	}
	return TakeGrant
}
