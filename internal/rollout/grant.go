package rollout

import (
	"fmt"
	"strings"
	"time"
)

// grant opens those of the requested grants that the budget allows. If it allows none the entry is rejected.
func (s *State) grant(index uint64, c Command) (string, error) {
	p := s.Plan(c.Plan)
	if p == nil || p.Phase != Running && p.Phase != RollingBack {
		return "", reject("plan %d does not run", c.Plan)
	}
	if len(c.Requests) == 0 || len(c.Requests) > maxGrantsPerEntry {
		return "", reject("%d grants asked for in one entry", len(c.Requests))
	}
	var granted []string
	var lastErr error
	for i, request := range c.Requests {
		t, m := p.Tasks[request.Sender], s.Members[request.Sender]
		if t == nil || m == nil || t.Step != Waiting || s.Grants[request.Sender] != nil {
			lastErr = reject("%s does not wait in plan %d", request.Sender, p.ID)
			continue
		}
		if p.AtOnce > 0 && s.openGrants(p) >= p.AtOnce {
			lastErr = reject("%d of plan %d are out", p.AtOnce, p.ID)
			break
		}
		if err := s.checkBudget(s.availability(c.ServingSenders), m); err != nil {
			lastErr = err
			continue
		}
		s.openGrant(index<<8|uint64(i), p, request, c.At)
		granted = append(granted, request.Sender)
	}
	if granted == nil {
		return "", lastErr
	}
	return fmt.Sprintf("plan %d: %s may go out", p.ID, strings.Join(granted, ", ")), nil
}

// openGrant opens a grant with the given epoch for a waiting sender of a plan.
func (s *State) openGrant(epoch uint64, p *Plan, request GrantRequest, at time.Time) {
	t, m := p.Tasks[request.Sender], s.Members[request.Sender]
	g := &Grant{
		Epoch: epoch, Plan: p.ID, Sender: request.Sender, Process: request.Process, ObservedAt: request.ObservedAt, At: at,
		TakeBy: at.Add(s.Terms.Timing.TakeTimeout), Until: at.Add(s.Terms.Timing.Lease), Drain: p.Kind == Drain,
	}
	switch {
	case p.Kind != Release:
	case p.RolledBack:
		g.To = t.From
	default:
		g.To, t.From = p.To, m.Version
	}
	s.Grants[request.Sender] = g
	t.Step, t.Epoch, t.Since, t.Why = Granted, g.Epoch, at, ""
}

// openGrants returns the number of a plan's senders that have open grants.
func (s *State) openGrants(p *Plan) (n int) {
	for name := range p.Tasks {
		if g := s.Grants[name]; g != nil && g.Plan == p.ID {
			n++
		}
	}
	return n
}

// Closable reports whether an observation proves that the sender serves and that a grant can have no further effect.
func (s *State) Closable(g *Grant, v *Observation) bool {
	margin := 2 * s.Terms.Timing.MaxClockError
	switch {
	case !v.Serving || v.Sender != g.Sender:
		return false
	case v.Remote: // only the sender's own agent knows whether a version change is in progress
		return false
	case v.Epoch >= g.Epoch && v.Ended: // the sender rejects all further copies of the order
		return true
	case v.Epoch > g.Epoch:
		return false
	case v.Process != g.Process: // a later process, which the order does not address
		return v.At.After(g.ObservedAt.Add(margin)) && !(v.Epoch == g.Epoch && !v.Ended)
	}
	return v.Epoch < g.Epoch && v.At.After(g.TakeBy.Add(margin)) // the grant has expired by the sender's clock, too
}

// close closes a grant that can have no further effect and whose sender serves again, and advances the sender's task.
func (s *State) close(index uint64, c Command) (string, error) {
	g := s.Grants[c.Sender]
	if g == nil || g.Epoch != c.Epoch || c.Observation == nil {
		return "", reject("no grant %d of %s is open", c.Epoch, c.Sender)
	}
	observed := c.Observation
	if !s.Closable(g, observed) {
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
	if p.Kind == Drain {
		return s.drainClosed(index, p, t, g, c)
	}
	return s.changeClosed(index, p, t, g, c)
}

// notTaken reports whether the observation shows no sign that the sender has taken up a grant.
func (v *Observation) notTaken(g *Grant) bool { return v.FaultEpoch != g.Epoch && v.Epoch != g.Epoch }

// drainClosed advances the task of a drain whose grant was closed.
func (s *State) drainClosed(index uint64, p *Plan, t *Task, g *Grant, c Command) (string, error) {
	switch {
	case p.RolledBack || t.Step == Returning:
	case c.Observation.notTaken(g) && t.Step == Granted && c.Observation.Process == g.Process:
		return s.retryOrFail(index, p, t, c, "")
	default: // the sender crashed while it was out, or its lease was not renewed: it must be drained again
		t.Step = Waiting
		return fmt.Sprintf("%s came back by itself, and is to go out again", c.Sender), nil
	}
	t.Step = Finished
	s.finish(index, p)
	return fmt.Sprintf("%s serves again", c.Sender), nil
}

// changeClosed advances the task of a release whose grant was closed.
func (s *State) changeClosed(index uint64, p *Plan, t *Task, g *Grant, c Command) (string, error) {
	m := s.Members[c.Sender]
	if c.Observation.Version == g.To.Name {
		m.Version = g.To
	}
	target, done := p.To, Finished
	if p.RolledBack {
		target, done = t.From, Unchanged
	}
	switch {
	case m.Version.Name == target.Name:
		t.Step = done
		s.finish(index, p)
		return fmt.Sprintf("%s runs %s", c.Sender, target.Name), nil
	case g.To.Name != target.Name: // the plan was rolled back while the grant was open
		t.Step = Waiting
		return fmt.Sprintf("%s runs %s, and is to go back", c.Sender, m.Version.Name), nil
	case c.Observation.notTaken(g):
		return s.retryOrFail(index, p, t, c, "")
	}
	return s.retryOrFail(index, p, t, c, c.Observation.Fault)
}

// retryOrFail sets a task to wait for another grant after the sender has not taken one up. The task fails instead
// after maxGrantAttempts grants, or if there is a fault.
func (s *State) retryOrFail(index uint64, p *Plan, t *Task, c Command, fault string) (string, error) {
	if fault == "" {
		if t.Attempts++; t.Attempts < maxGrantAttempts {
			t.Step = Waiting
			return fmt.Sprintf("%s did not take its grant up in time", c.Sender), nil
		}
		fault = fmt.Sprintf("%d grants were not taken up in time", t.Attempts)
	}
	t.Step, t.Why = Failed, fault
	s.fail(index, p, fmt.Sprintf("%s: %s", c.Sender, fault))
	return fmt.Sprintf("plan %d is %s: %s: %s", p.ID, p.Phase, c.Sender, fault), nil
}

// markDrained records that a sender is drained.
func (s *State) markDrained(c Command) (string, error) {
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

// Grant permits one sender to go out of service. It stays open until an observation proves that no copy of it can have
// any further effect.
type Grant struct {
	Epoch      uint64    `json:"epoch"`
	Plan       uint64    `json:"plan"`
	Sender     string    `json:"sender"`
	Process    string    `json:"process"`
	ObservedAt time.Time `json:"saw"` // time of the observation for which it was requested
	At         time.Time `json:"at"`
	TakeBy     time.Time `json:"by"`    // the sender must take it up before
	Until      time.Time `json:"until"` // end of its lease, unless renewed
	Drain      bool      `json:"drain,omitempty"`
	To         Version   `json:"to,omitzero"`
}
