package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// fail halts a plan. A release with RollBackOnFailure is rolled back instead, unless it is being rolled back already.
func (s *State) fail(index uint64, p *Plan, why string) {
	if p.RollBackOnFailure && p.Kind == Release && !p.RolledBack {
		s.rollBack(index, p, why)
		return
	}
	if p.Phase.Open() {
		p.Phase, p.PhaseReason, p.Revision = Halted, why, index
	}
}

// rollBack starts the rollback of a plan: changed senders return to their former version, and drained ones to service.
// The others stay as they are.
func (s *State) rollBack(index uint64, p *Plan, why string) {
	p.Phase, p.RolledBack, p.PhaseReason, p.Revision = RollingBack, true, why, index
	for name, t := range p.Tasks {
		switch t.Step {
		case Waiting:
			t.Step = Unchanged
		case Finished, Failed:
			t.Step, t.Attempts = Waiting, 0
			if m := s.Members[name]; p.Kind == Drain || m == nil || m.Version.Name == t.From.Name {
				t.Step = Unchanged
			}
		case Granted, Out:
			if p.Kind == Drain {
				t.Step = Returning
			}
		}
	}
	s.finish(index, p)
}

// finish ends a plan if all its tasks are done. A release that is not rolled back ends with the verdict on its last
// stage instead.
func (s *State) finish(index uint64, p *Plan) {
	for _, t := range p.Tasks {
		if t.Step != Finished && t.Step != Unchanged {
			return
		}
	}
	switch {
	case p.RolledBack && p.Phase.Open():
		p.Phase, p.Revision = Ended, index
	case p.Kind == Drain && p.Phase.Open():
		p.Phase, p.Revision = Done, index
	}
}

// activate ends the drain of the named senders, or of all senders of the plan if none is named.
func (s *State) activate(c Command) (string, error) {
	p := s.Plan(c.Plan)
	if p == nil || !p.Phase.Open() || p.Kind != Drain {
		return "", reject("no drain %d is open", c.Plan)
	}
	names := c.Senders
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(p.Tasks))
	}
	for _, name := range names {
		if p.Tasks[name] == nil {
			return "", reject("%s is not in plan %d", name, p.ID)
		}
	}
	for _, name := range names {
		switch t := p.Tasks[name]; t.Step {
		case Waiting, Failed:
			t.Step = Unchanged
		case Granted, Out:
			t.Step, t.Since = Returning, c.At
		}
	}
	s.finish(s.Index, p)
	return fmt.Sprintf("plan %d: %s back to work", p.ID, strings.Join(names, ", ")), nil
}

// changePhase halts, resumes or rolls back a plan at the request of an operator.
func (s *State) changePhase(index uint64, c Command) (string, error) {
	p := s.Plan(c.Plan)
	switch {
	case p == nil:
		return "", reject("no plan %d", c.Plan)
	case !p.Phase.Open():
		return "", reject("plan %d is %s", p.ID, p.Phase)
	case c.By == "" || c.Reason == "":
		return "", reject("an author and a reason are needed")
	}
	switch c.Verb {
	case Halt:
		if p.Phase != Halted {
			p.Phase = Halted
		}
		// The revision changes even if the plan is halted already, so that an earlier request to resume is rejected.
		p.PhaseReason, p.Revision = fmt.Sprintf("%s: %s", c.By, c.Reason), index
		return fmt.Sprintf("plan %d is halted", p.ID), nil
	case Resume:
		if p.Phase != Halted {
			return "", reject("plan %d is %s", p.ID, p.Phase)
		}
		if c.Revision != p.Revision {
			return "", reject("plan %d has changed since: %s (revision %d); look again", p.ID, p.PhaseReason, p.Revision)
		}
		p.Phase, p.PhaseReason, p.Revision = Running, "", index
		for _, t := range p.Tasks {
			if t.Step == Failed {
				t.Step, t.Attempts, t.Why = Waiting, 0, ""
			}
		}
		if p.RolledBack {
			p.Phase = RollingBack
		}
		return fmt.Sprintf("plan %d is %s again", p.ID, p.Phase), nil
	}
	if p.RolledBack {
		return "", reject("plan %d goes back already; resume it if it is halted", p.ID)
	}
	s.rollBack(index, p, fmt.Sprintf("%s: %s", c.By, c.Reason))
	return fmt.Sprintf("plan %d goes back", p.ID), nil
}

// applyVerdict applies a verdict on the current stage of a release: the release proceeds, ends or fails.
func (s *State) applyVerdict(index uint64, c Command) (string, error) {
	p := s.Plan(c.Plan)
	if p == nil || p.Phase != Running || p.RolledBack || p.Kind != Release || p.Stage != c.Stage {
		return "", reject("plan %d has no stage %d to be judged", c.Plan, c.Stage)
	}
	if !c.Good {
		s.fail(index, p, c.Text)
		return fmt.Sprintf("plan %d is %s: stage %d: %s", p.ID, p.Phase, p.Stage+1, c.Text), nil
	}
	for _, name := range p.Stages[p.Stage] {
		if p.Tasks[name].Step != Finished {
			return "", reject("%s of stage %d is %s", name, p.Stage+1, p.Tasks[name].Step)
		}
	}
	if c.Baseline != nil {
		p.Baseline = c.Baseline
	}
	if p.Stage++; p.Stage == len(p.Stages) {
		p.Phase, p.Revision = Done, index
		p.Stage--
		return fmt.Sprintf("plan %d is done: %s", p.ID, c.Text), nil
	}
	return fmt.Sprintf("plan %d: stage %d of %d begins: %s", p.ID, p.Stage+1, len(p.Stages), c.Text), nil
}
