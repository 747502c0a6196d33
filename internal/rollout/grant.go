package rollout

import (
	"fmt"
	"strings"
	"time"
)

// grant opens grants, each where the budget has room for it; the entry stands if there was room for one.
func (s *State) grant(index uint64, c Command) (string, error) {
	p := s.Plan(c.Plan)
	if p == nil || p.Phase != Running && p.Phase != RollingBack {
		return "", reject("plan %d does not run", c.Plan)
	}
	if len(c.Requests) == 0 || len(c.Requests) > maxGrantsPerEntry {
		return "", reject("%d grants asked for in one entry", len(c.Requests))
	}
	var given []string
	var last error
	for i, a := range c.Requests {
		t, m := p.Tasks[a.Sender], s.Members[a.Sender]
		if t == nil || m == nil || t.Step != Waiting || s.Grants[a.Sender] != nil {
			last = reject("%s does not wait in plan %d", a.Sender, p.ID)
			continue
		}
		if p.AtOnce > 0 && s.openGrants(p) >= p.AtOnce {
			last = reject("%d of plan %d are out", p.AtOnce, p.ID)
			break
		}
		if err := s.checkBudget(s.census(c.Seen), m); err != nil {
			last = err
			continue
		}
		g := &Grant{
			Epoch: index<<8 | uint64(i), Plan: p.ID, Sender: a.Sender, Process: a.Process, ObservedAt: a.ObservedAt, At: c.At,
			By: c.At.Add(s.Terms.Timing.Accept), Until: c.At.Add(s.Terms.Timing.Lease), Drain: p.Kind == Drain,
		}
		switch {
		case p.Kind != Release:
		case p.RolledBack:
			g.To = t.From
		default:
			g.To, t.From = p.To, m.Version
		}
		s.Grants[a.Sender] = g
		t.Step, t.Epoch, t.Since, t.Why = Granted, g.Epoch, c.At, ""
		given = append(given, a.Sender)
	}
	if given == nil {
		return "", last
	}
	return fmt.Sprintf("plan %d: %s may go out", p.ID, strings.Join(given, ", ")), nil
}

// openGrants is how many of a plan's senders have open grants.
func (s *State) openGrants(p *Plan) (n int) {
	for name := range p.Tasks {
		if g := s.Grants[name]; g != nil && g.Plan == p.ID {
			n++
		}
	}
	return n
}

// Closable tells whether a sight shows that a grant can have no effect any more, and the sender serves.
func (s *State) Closable(g *Grant, v *Observation) bool {
	margin := 2 * s.Terms.Timing.Error
	switch {
	case !v.Serving || v.Sender != g.Sender:
		return false
	case v.Far: // only the agent beside it knows whether a change is still under way
		return false
	case v.Epoch >= g.Epoch && v.Ended: // it refuses all copies of the order from then on
		return true
	case v.Epoch > g.Epoch:
		return false
	case v.Process != g.Process: // a later process, to which the order is not addressed
		return v.At.After(g.ObservedAt.Add(margin)) && !(v.Epoch == g.Epoch && !v.Ended)
	}
	return v.Epoch < g.Epoch && v.At.After(g.By.Add(margin)) // too late by its own clock
}

// close ends a grant.
func (s *State) close(index uint64, c Command) (string, error) {
	g := s.Grants[c.Sender]
	if g == nil || g.Epoch != c.Epoch || c.Observation == nil {
		return "", reject("no grant %d of %s is open", c.Epoch, c.Sender)
	}
	v := c.Observation
	if !s.Closable(g, v) {
		return "", reject("%s is not proved to serve for good", c.Sender)
	}
	delete(s.Grants, c.Sender)
	p, m := s.Plan(g.Plan), s.Members[c.Sender]
	if p == nil || m == nil {
		return "", nil
	}
	t := p.Tasks[c.Sender]
	if t == nil || t.Epoch != g.Epoch {
		return "", nil
	}
	t.Since = c.At
	notTaken := v.FaultEpoch != g.Epoch && v.Epoch != g.Epoch
	if p.Kind == Drain {
		switch {
		case p.RolledBack || t.Step == Returning:
		case notTaken && t.Step == Granted && v.Process == g.Process:
			return s.retryOrFail(index, p, t, c, "")
		default: // it crashed while it was out, or nobody renewed its lease: it is still wanted out
			t.Step = Waiting
			return fmt.Sprintf("%s came back by itself, and is to go out again", c.Sender), nil
		}
		t.Step = Finished
		s.finish(index, p)
		return fmt.Sprintf("%s serves again", c.Sender), nil
	}
	if v.Version == g.To.Name {
		m.Version = g.To
	}
	target, done := p.To, Finished
	if p.RolledBack {
		target, done = t.From, Kept
	}
	switch {
	case m.Version.Name == target.Name:
		t.Step = done
		s.finish(index, p)
		return fmt.Sprintf("%s runs %s", c.Sender, target.Name), nil
	case g.To.Name != target.Name: // the plan turned while it was under way
		t.Step = Waiting
		return fmt.Sprintf("%s runs %s, and is to go back", c.Sender, m.Version.Name), nil
	case notTaken:
		return s.retryOrFail(index, p, t, c, "")
	}
	return s.retryOrFail(index, p, t, c, v.Fault)
}

// retryOrFail has a sender wait once more after a grant that it did not take up, or fails it.
func (s *State) retryOrFail(index uint64, p *Plan, t *Task, c Command, fault string) (string, error) {
	if fault == "" {
		if t.Tries++; t.Tries < maxGrantAttempts {
			t.Step = Waiting
			return fmt.Sprintf("%s did not take its grant up in time", c.Sender), nil
		}
		fault = fmt.Sprintf("%d grants were not taken up in time", t.Tries)
	}
	t.Step, t.Why = Failed, fault
	s.fail(index, p, fmt.Sprintf("%s: %s", c.Sender, fault))
	return fmt.Sprintf("plan %d is %s: %s: %s", p.ID, p.Phase, c.Sender, fault), nil
}

func (s *State) markOut(c Command) (string, error) {
	g := s.Grants[c.Sender]
	if g == nil || g.Epoch != c.Epoch || !g.Drain {
		return "", reject("no drain %d of %s is open", c.Epoch, c.Sender)
	}
	p := s.Plan(g.Plan)
	if p == nil || p.Tasks[c.Sender] == nil || p.Tasks[c.Sender].Step != Granted {
		return "", reject("%s is not on its way out", c.Sender)
	}
	t := p.Tasks[c.Sender]
	t.Step, t.Since = Out, c.At
	return fmt.Sprintf("%s is drained", c.Sender), nil
}

// Grant is the leave for one sender to go out. It is open until a sight shows that no copy of it can have effect.
type Grant struct {
	Epoch      uint64    `json:"epoch"`
	Plan       uint64    `json:"plan"`
	Sender     string    `json:"sender"`
	Process    string    `json:"process"`
	ObservedAt time.Time `json:"saw"` // of the sight that it rests on
	At         time.Time `json:"at"`
	By         time.Time `json:"by"`
	Until      time.Time `json:"until"`
	Drain      bool      `json:"drain,omitempty"`
	To         Version   `json:"to,omitzero"`
}
