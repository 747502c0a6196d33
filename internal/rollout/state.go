package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of a state.
const (
	MaxSenders = 10_000
	plansMost  = 64   // open and ended ones
	eventsMost = 1000 // the latest
	asksMost   = 255  // grants of one entry
	triesMost  = 3    // grants that a sender may leave untaken
)

// State is what all agents agree on. It is not safe for concurrent use.
type State struct {
	Index   uint64             `json:"index"` // of the last entry applied
	Terms   Terms              `json:"terms,omitzero"`
	Members map[string]*Member `json:"members"`
	Grants  map[string]*Grant  `json:"grants"` // open ones, by sender
	Plans   []*Plan            `json:"plans"`  // by ID
	Events  []Event            `json:"events"` // by Index

	Endpoints      map[string]*EndpointOut `json:"endpoints,omitempty"`
	ExclusionEpoch uint64                  `json:"aside,omitempty"` // the entry that changed them last
}

// New returns the state before the first entry.
func New() *State {
	return &State{Members: map[string]*Member{}, Grants: map[string]*Grant{}, Endpoints: map[string]*EndpointOut{}}
}

// ErrRejected tells that a command changed nothing.
var ErrRejected = errors.New("refused")

func refuse(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRejected, fmt.Sprintf(format, args...))
}

// Apply applies one entry of the log. An error wraps ErrRefused: the entry changed nothing but the index. It
// depends on the state and the entry alone. One that was applied before, as when an agent opens its folder anew, changes
// nothing.
func (s *State) Apply(index uint64, c Command) error {
	if index <= s.Index {
		return nil
	}
	s.Index = index
	var err error
	text := ""
	switch c.Verb {
	case SetTerms:
		text, err = s.setTerms(c)
	case SetRoster:
		text, err = s.setRoster(c)
	case Start:
		text, err = s.start(index, c)
	case Halt, Resume, RollBack:
		text, err = s.turn(index, c)
	case Activate:
		text, err = s.activate(c)
	case GrantThese:
		text, err = s.grant(index, c)
	case Close:
		text, err = s.close(index, c)
	case MarkOut:
		text, err = s.markOut(c)
	case JudgeGate:
		text, err = s.judge(index, c)
	case ExcludeEndpoint, IncludeEndpoint:
		text, err = s.turnEndpoint(index, c)
	default:
		err = refuse("a newer agent's command %q", c.Verb)
	}
	if err == nil && text != "" {
		s.Events = append(s.Events, Event{Index: index, At: c.At, By: c.By, Reason: c.Reason, Text: text})
		if n := len(s.Events) - eventsMost; n > 0 {
			s.Events = slices.Delete(s.Events, 0, n)
		}
	}
	return err
}

// Plan finds one; nil where there is none, or none any more.
func (s *State) Plan(id uint64) *Plan {
	i, found := slices.BinarySearchFunc(s.Plans, id, func(p *Plan, id uint64) int { return cmp.Compare(p.ID, id) })
	if !found {
		return nil
	}
	return s.Plans[i]
}

// planOf finds the open plan that a sender is in.
func (s *State) planOf(sender string) *Plan {
	for _, p := range s.Plans {
		if t := p.Tasks[sender]; p.Phase.Open() && t != nil {
			return p
		}
	}
	return nil
}

// Check tells what is wrong with terms, for a fleet of so many senders; 0 = not known.
func (t Terms) Check(senders int) error {
	b, w := t.Budget, t.Timing
	switch {
	case b.Fleet < 1:
		return fmt.Errorf("budget: fleet: %d senders out at once: 1 at the least", b.Fleet)
	case b.Building < 0 || b.Serving < 0 || b.Endpoints < 0 || b.Kind < 0:
		return errors.New("budget: building, serving, endpoints and kind: 0 or more")
	case senders > 0 && b.Fleet > senders:
		return fmt.Errorf("budget: fleet: %d senders out at once of %d there are", b.Fleet, senders)
	case senders > 0 && b.Serving >= senders:
		return fmt.Errorf("budget: serving: %d must serve of %d there are: nothing could ever go out", b.Serving, senders)
	case w.Fresh <= 0 || w.Accept <= 0 || w.Lease <= 0 || w.Error < 0:
		return errors.New("timing: fresh, accept and lease above 0, clock_error 0 or more")
	case w.Fresh > time.Minute || w.Accept > time.Minute || w.Lease > 10*time.Minute || w.Error > 10*time.Second:
		return errors.New("timing: fresh and accept of a minute, lease of ten, clock_error of 10 s at most")
	}
	return nil
}

func (s *State) setTerms(c Command) (string, error) {
	if c.Terms == nil {
		return "", refuse("no terms")
	}
	if err := c.Terms.Check(len(s.Members)); err != nil {
		return "", refuse("%v", err)
	}
	s.Terms = *c.Terms
	b := s.Terms.Budget
	return fmt.Sprintf("terms: %d out at once, %d of a building, %d must serve", b.Fleet, b.Building, b.Serving), nil
}

// setRoster enters the senders of one agent, in the place of those that it had. One that is in an open plan, or has
// an open grant, stays until that is over.
func (s *State) setRoster(c Command) (string, error) {
	if len(c.Roster) > MaxSenders {
		return "", refuse("%d senders, %d at most", len(c.Roster), MaxSenders)
	}
	now := map[string]bool{}
	for _, m := range c.Roster {
		if m.Name == "" || m.Agent != c.By {
			return "", refuse("a sender of another agent, or without a name")
		}
		if was := s.Members[m.Name]; was != nil && was.Agent != m.Agent && s.held(m.Name) {
			return "", refuse("sender %s has an open grant at agent %s", m.Name, was.Agent)
		}
		now[m.Name] = true
	}
	if len(s.Members)+len(c.Roster) > 2*MaxSenders {
		return "", refuse("too many senders")
	}
	var gone []string
	for name, m := range s.Members {
		if m.Agent == c.By && !now[name] && !s.held(name) {
			gone = append(gone, name)
		}
	}
	for _, name := range gone {
		delete(s.Members, name)
	}
	for _, m := range c.Roster {
		if was := s.Members[m.Name]; was != nil && was.Version.Name != "" {
			m.Version = was.Version // what it is to run is agreed on, not the agent's to say
		}
		s.Members[m.Name] = &m
	}
	return fmt.Sprintf("agent %s has %d senders", c.By, len(c.Roster)), nil
}

// held tells whether a sender has an open grant or a part in an open plan.
func (s *State) held(name string) bool { return s.Grants[name] != nil || s.planOf(name) != nil }

// A count is how the fleet stands: who is out, and who is so by building.
type count struct {
	out      map[string]bool
	building map[string]int
}

// count takes all for out that have an open grant or are not among those seen serving. What is not known is out.
func (s *State) count(seen []string) count {
	in := make(map[string]bool, len(seen))
	for _, name := range seen {
		in[name] = true
	}
	k := count{out: map[string]bool{}, building: map[string]int{}}
	for name, m := range s.Members {
		if s.Grants[name] != nil || !in[name] {
			k.out[name] = true
			k.building[m.Building]++
		}
	}
	return k
}

// room tells why a sender can't go out besides those that are; nil: it can. Nobody is out twice.
func (s *State) room(k count, m *Member) error {
	b := s.Terms.Budget
	switch {
	case k.out[m.Name]:
		return refuse("%s is out already, or nobody sees it serving", m.Name)
	case len(k.out) >= b.Fleet:
		return refuse("%d senders are out, %d may be: %s", len(k.out), b.Fleet, some(k.out))
	case b.Building > 0 && k.building[m.Building] >= b.Building:
		return refuse("%d senders of building %s are out, %d may be", k.building[m.Building], m.Building, b.Building)
	case len(s.Members)-len(k.out)-1 < b.Serving:
		return refuse("%d senders serve, %d must", len(s.Members)-len(k.out), b.Serving)
	}
	return nil
}

// some names the first of many.
func some(set map[string]bool) string {
	names := slices.Sorted(maps.Keys(set))
	if n := len(names); n > 5 {
		return strings.Join(names[:5], ", ") + fmt.Sprintf(" and %d more", n-5)
	}
	return strings.Join(names, ", ")
}

// grant opens grants, each where the budget has room for it; the entry stands if there was room for one.
func (s *State) grant(index uint64, c Command) (string, error) {
	p := s.Plan(c.Plan)
	if p == nil || p.Phase != Running && p.Phase != RollingBack {
		return "", refuse("plan %d does not run", c.Plan)
	}
	if len(c.Requests) == 0 || len(c.Requests) > asksMost {
		return "", refuse("%d grants asked for in one entry", len(c.Requests))
	}
	var given []string
	var last error
	for i, a := range c.Requests {
		t, m := p.Tasks[a.Sender], s.Members[a.Sender]
		if t == nil || m == nil || t.Step != Waiting || s.Grants[a.Sender] != nil {
			last = refuse("%s does not wait in plan %d", a.Sender, p.ID)
			continue
		}
		if p.AtOnce > 0 && s.abroad(p) >= p.AtOnce {
			last = refuse("%d of plan %d are out", p.AtOnce, p.ID)
			break
		}
		if err := s.room(s.count(c.Seen), m); err != nil {
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

// abroad is how many of a plan's senders have open grants.
func (s *State) abroad(p *Plan) (n int) {
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
		return "", refuse("no grant %d of %s is open", c.Epoch, c.Sender)
	}
	v := c.Observation
	if !s.Closable(g, v) {
		return "", refuse("%s is not proved to serve for good", c.Sender)
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
	untaken := v.FaultEpoch != g.Epoch && v.Epoch != g.Epoch
	if p.Kind == Drain {
		switch {
		case p.RolledBack || t.Step == Returning:
		case untaken && t.Step == Granted && v.Process == g.Process:
			return s.again(index, p, t, c, "")
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
	wish, done := p.To, Finished
	if p.RolledBack {
		wish, done = t.From, Kept
	}
	switch {
	case m.Version.Name == wish.Name:
		t.Step = done
		s.finish(index, p)
		return fmt.Sprintf("%s runs %s", c.Sender, wish.Name), nil
	case g.To.Name != wish.Name: // the plan turned while it was under way
		t.Step = Waiting
		return fmt.Sprintf("%s runs %s, and is to go back", c.Sender, m.Version.Name), nil
	case untaken:
		return s.again(index, p, t, c, "")
	}
	return s.again(index, p, t, c, v.Fault)
}

// again has a sender wait once more after a grant that it did not take up, or fails it.
func (s *State) again(index uint64, p *Plan, t *Task, c Command, fault string) (string, error) {
	if fault == "" {
		if t.Tries++; t.Tries < triesMost {
			t.Step = Waiting
			return fmt.Sprintf("%s did not take its grant up in time", c.Sender), nil
		}
		fault = fmt.Sprintf("%d grants were not taken up in time", t.Tries)
	}
	t.Step, t.Why = Failed, fault
	s.fail(index, p, fmt.Sprintf("%s: %s", c.Sender, fault))
	return fmt.Sprintf("plan %d is %s: %s: %s", p.ID, p.Phase, c.Sender, fault), nil
}

// fail ends a plan's advance. It goes back only from a release that went forward.
func (s *State) fail(index uint64, p *Plan, why string) {
	if p.RollBackOnFailure && p.Kind == Release && !p.RolledBack {
		s.goBack(index, p, why)
		return
	}
	if p.Phase.Open() {
		p.Phase, p.Why, p.Revision = Halted, why, index
	}
}

// goBack turns a plan round: what was touched is to be as before, the rest is left.
func (s *State) goBack(index uint64, p *Plan, why string) {
	p.Phase, p.RolledBack, p.Why, p.Revision = RollingBack, true, why, index
	for name, t := range p.Tasks {
		switch t.Step {
		case Waiting:
			t.Step = Kept
		case Finished, Failed:
			t.Step, t.Tries = Waiting, 0
			if m := s.Members[name]; p.Kind == Drain || m == nil || m.Version.Name == t.From.Name {
				t.Step = Kept
			}
		case Granted, Out:
			if p.Kind == Drain {
				t.Step = Returning
			}
		}
	}
	s.finish(index, p)
}

// finish ends a plan with nothing left to do. A release that goes forward ends by the verdict on its last stage.
func (s *State) finish(index uint64, p *Plan) {
	for _, t := range p.Tasks {
		if t.Step != Finished && t.Step != Kept {
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

func (s *State) markOut(c Command) (string, error) {
	g := s.Grants[c.Sender]
	if g == nil || g.Epoch != c.Epoch || !g.Drain {
		return "", refuse("no drain %d of %s is open", c.Epoch, c.Sender)
	}
	p := s.Plan(g.Plan)
	if p == nil || p.Tasks[c.Sender] == nil || p.Tasks[c.Sender].Step != Granted {
		return "", refuse("%s is not on its way out", c.Sender)
	}
	t := p.Tasks[c.Sender]
	t.Step, t.Since = Out, c.At
	return fmt.Sprintf("%s is drained", c.Sender), nil
}

// activate has senders of a drain come back, or not go out any more.
func (s *State) activate(c Command) (string, error) {
	p := s.Plan(c.Plan)
	if p == nil || !p.Phase.Open() || p.Kind != Drain {
		return "", refuse("no drain %d is open", c.Plan)
	}
	names := c.Senders
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(p.Tasks))
	}
	for _, name := range names {
		if p.Tasks[name] == nil {
			return "", refuse("%s is not in plan %d", name, p.ID)
		}
	}
	for _, name := range names {
		switch t := p.Tasks[name]; t.Step {
		case Waiting, Failed:
			t.Step = Kept
		case Granted, Out:
			t.Step, t.Since = Returning, c.At
		}
	}
	s.finish(s.Index, p)
	return fmt.Sprintf("plan %d: %s back to work", p.ID, strings.Join(names, ", ")), nil
}

// turn halts, resumes or reverses a plan.
func (s *State) turn(index uint64, c Command) (string, error) {
	p := s.Plan(c.Plan)
	switch {
	case p == nil:
		return "", refuse("no plan %d", c.Plan)
	case !p.Phase.Open():
		return "", refuse("plan %d is %s", p.ID, p.Phase)
	case c.By == "" || c.Reason == "":
		return "", refuse("an author and a reason are needed")
	}
	switch c.Verb {
	case Halt:
		if p.Phase != Halted {
			p.Phase = Halted
		}
		p.Why, p.Revision = fmt.Sprintf("%s: %s", c.By, c.Reason), index // also of one that is halted: a resume that crosses it is refused
		return fmt.Sprintf("plan %d is halted", p.ID), nil
	case Resume:
		if p.Phase != Halted {
			return "", refuse("plan %d is %s", p.ID, p.Phase)
		}
		if c.Revision != p.Revision {
			return "", refuse("plan %d has changed since: %s (revision %d); look again", p.ID, p.Why, p.Revision)
		}
		p.Phase, p.Why, p.Revision = Running, "", index
		for _, t := range p.Tasks {
			if t.Step == Failed {
				t.Step, t.Tries, t.Why = Waiting, 0, ""
			}
		}
		if p.RolledBack {
			p.Phase = RollingBack
		}
		return fmt.Sprintf("plan %d is %s again", p.ID, p.Phase), nil
	}
	if p.RolledBack {
		return "", refuse("plan %d goes back already; resume it if it is halted", p.ID)
	}
	s.goBack(index, p, fmt.Sprintf("%s: %s", c.By, c.Reason))
	return fmt.Sprintf("plan %d goes back", p.ID), nil
}

// judge is the verdict on a stage.
func (s *State) judge(index uint64, c Command) (string, error) {
	p := s.Plan(c.Plan)
	if p == nil || p.Phase != Running || p.RolledBack || p.Kind != Release || p.Stage != c.Stage {
		return "", refuse("plan %d has no stage %d to be judged", c.Plan, c.Stage)
	}
	if !c.Good {
		s.fail(index, p, c.Text)
		return fmt.Sprintf("plan %d is %s: stage %d: %s", p.ID, p.Phase, p.Stage+1, c.Text), nil
	}
	for _, name := range p.Stages[p.Stage] {
		if p.Tasks[name].Step != Finished {
			return "", refuse("%s of stage %d is %s", name, p.Stage+1, p.Tasks[name].Step)
		}
	}
	if c.Others != nil {
		p.Others = c.Others
	}
	if p.Stage++; p.Stage == len(p.Stages) {
		p.Phase, p.Revision = Done, index
		p.Stage--
		return fmt.Sprintf("plan %d is done: %s", p.ID, c.Text), nil
	}
	return fmt.Sprintf("plan %d: stage %d of %d begins: %s", p.ID, p.Stage+1, len(p.Stages), c.Text), nil
}
