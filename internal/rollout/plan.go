package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// secondStageSize is the maximum size of the second stage. Later stages have a tenth of the senders.
const secondStageSize = 3

// Stages divides senders, in the given order, into stages: one sender, then a few, then a tenth of them per stage.
func Stages(names []string) [][]string {
	var stages [][]string
	tenth := max(1, (len(names)+9)/10)
	for remaining := names; len(remaining) > 0; {
		n := tenth
		switch len(stages) {
		case 0:
			n = 1
		case 1:
			n = min(secondStageSize, max(1, len(names)/4))
		}
		n = min(n, len(remaining))
		stages = append(stages, remaining[:n:n])
		remaining = remaining[n:]
	}
	return stages
}

// Order sorts senders by building, then by name, without duplicates.
func (s *State) Order(names []string) []string {
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.building(a), s.building(b)), cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
	})
	return slices.Compact(list)
}

// building returns the building of a sender, or "" for an unknown sender.
func (s *State) building(name string) string {
	if m := s.Members[name]; m != nil {
		return m.Building
	}
	return ""
}

// start adds a new plan. Beyond maxPlans it replaces the oldest plan that is no longer open.
func (s *State) start(index uint64, c Command) (string, error) {
	p, err := s.Draft(index, c)
	if err != nil {
		return "", err
	}
	if n := len(s.Plans); n >= maxPlans {
		i := slices.IndexFunc(s.Plans, func(p *Plan) bool { return !p.Phase.Open() })
		if i < 0 {
			return "", reject("%d plans are open: end one first", n)
		}
		s.Plans = slices.Delete(s.Plans, i, i+1)
	}
	s.Plans = append(s.Plans, p)
	return fmt.Sprintf("plan %d: %s of %d senders in %d stages", p.ID, p.Kind, len(p.Tasks), len(p.Stages)), nil
}

// Draft returns the plan that a command would start, or an error that wraps ErrRejected. It does not change the state.
func (s *State) Draft(index uint64, c Command) (*Plan, error) {
	request := c.New
	if err := s.checkRequest(c); err != nil {
		return nil, err
	}
	names, err := s.plannedSenders(request)
	if err != nil {
		return nil, err
	}
	if fleet := s.availability(c.ServingSenders); len(fleet.out) > s.Terms.Budget.Fleet {
		return nil, reject("%d senders are out or not seen now, the budget has %d: %s; bring them back first",
			len(fleet.out), s.Terms.Budget.Fleet, firstNames(fleet.out))
	}
	p := &Plan{
		ID: index, Kind: request.Kind, By: c.By, Reason: c.Reason, At: c.At, To: request.To, AtOnce: request.AtOnce,
		Hold: request.Hold, Gate: request.Gate, RollBackOnFailure: request.RollBackOnFailure, Phase: Running, Revision: index,
		Tasks: map[string]*Task{},
	}
	changing := names[:0:0]
	for _, name := range names {
		t := &Task{Step: Waiting, Since: c.At}
		if request.Kind == Release && s.Members[name].Version.Name == request.To.Name {
			t.Step = Unchanged
		} else {
			changing = append(changing, name)
		}
		p.Tasks[name] = t
	}
	if len(changing) == 0 {
		return nil, reject("all of them run %s already", request.To.Name)
	}
	if p.Kind == Drain {
		p.Stages = [][]string{changing}
	} else {
		p.Stages = Stages(changing)
		p.Gate = p.Gate.withDefaults()
	}
	return p, nil
}

// checkRequest checks the command for a new plan, apart from the senders that it names.
func (s *State) checkRequest(c Command) error {
	request := c.New
	switch {
	case request == nil || request.Kind != Drain && request.Kind != Release:
		return reject("neither a drain nor a release")
	case c.By == "" || c.Reason == "":
		return reject("an author and a reason are needed")
	case len(s.Members) == 0:
		return reject("the fleet has no senders yet")
	case request.Kind == Release && (request.To.Name == "" || request.To.Program == "" && request.To.Config == ""):
		return reject("a release needs a name, and a program or a folder of configurations")
	case request.AtOnce < 0 || request.AtOnce > s.Terms.Budget.Fleet:
		return reject("%d senders at once: the budget has 1 to %d", request.AtOnce, s.Terms.Budget.Fleet)
	case request.Hold < 0 || request.Gate.MinMessages < 0 || request.Gate.Soak < 0 || request.Gate.Wait < 0 ||
		request.Gate.Slack < 0:
		return reject("a span or a figure below 0")
	}
	if err := s.Terms.Check(len(s.Members)); err != nil {
		return reject("%v", err)
	}
	return nil
}

// plannedSenders returns the senders of a new plan, sorted by Order. It returns an error if one of them is unknown or
// in another open plan.
func (s *State) plannedSenders(request *Plan) ([]string, error) {
	names := slices.Concat(request.Stages...)
	if len(names) == 0 {
		if request.Kind == Drain {
			return nil, reject("name the senders to drain")
		}
		names = slices.Collect(maps.Keys(s.Members))
	}
	names = s.Order(names)
	for _, name := range names {
		if s.Members[name] == nil {
			return nil, reject("no sender %q in the fleet", name)
		}
		if other := s.planOf(name); other != nil {
			return nil, reject("%s is in plan %d (%s, by %s)", name, other.ID, other.Phase, other.By)
		}
	}
	return names, nil
}

// Kind is the kind of a plan. Its values are stored in the log.
type Kind string

// The kinds of plan.
const (
	Drain   Kind = "drain"
	Release Kind = "release"
)

// Phase is the phase of a plan. Its values are part of the stored state.
type Phase string

// The phases.
const (
	Running     Phase = "running"
	Halted      Phase = "halted"
	RollingBack Phase = "going back"
	Done        Phase = "done"
	Ended       Phase = "ended" // rolled back
)

// Open reports whether a plan in this phase is still in progress or may be resumed.
func (p Phase) Open() bool { return p == Running || p == Halted || p == RollingBack }

// Step is the progress of one sender in a plan. Its values are part of the stored state.
type Step string

// The steps.
const (
	Waiting   Step = "waiting"
	Granted   Step = "granted"
	Out       Step = "out"       // drained
	Returning Step = "returning" // ordered to serve again
	Finished  Step = "finished"
	Failed    Step = "failed"
	Unchanged Step = "kept" // not changed by the plan, or restored to its former version
)

// Task is the state of one sender in a plan.
type Task struct {
	Step     Step      `json:"step"`
	Epoch    uint64    `json:"epoch,omitempty"` // epoch of the latest grant
	Attempts int       `json:"tries,omitempty"` // number of grants that the sender did not take up
	Since    time.Time `json:"since,omitzero"`  // start of the step
	From     Version   `json:"from,omitzero"`   // the sender's version before the plan
	Why      string    `json:"why,omitempty"`
}

// Plan is a drain or a release that an operator has requested.
type Plan struct {
	ID                uint64           `json:"id"`
	Kind              Kind             `json:"kind"`
	By                string           `json:"by"`
	Reason            string           `json:"reason"`
	At                time.Time        `json:"at"`
	To                Version          `json:"to,omitzero"`
	AtOnce            int              `json:"at_once,omitempty"` // maximum of its senders out at once; 0: the budget's
	Hold              time.Duration    `json:"hold,omitempty"`    // drain: time that senders stay out; 0: until activated
	Gate              Gate             `json:"gate,omitzero"`
	RollBackOnFailure bool             `json:"go_back,omitempty"` // false: a failure halts the plan
	Stages            [][]string       `json:"stages"`
	Stage             int              `json:"stage"`
	Phase             Phase            `json:"phase"`
	RolledBack        bool             `json:"back,omitempty"` // the plan is being rolled back or has been
	PhaseReason       string           `json:"why,omitempty"`
	Revision          uint64           `json:"revision"` // changes with the phase and with each order; Resume must name it
	Tasks             map[string]*Task `json:"tasks"`
	Baseline          *Sums            `json:"others,omitempty"` // sums of unchanged senders at the last passed gate
}
