package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Limits of a state.
const (
	MaxSenders        = 10_000
	maxPlans          = 64   // open and ended plans
	maxEvents         = 1000 // the latest events are kept
	maxGrantsPerEntry = 255  // fits the low 8 bits of a grant's epoch
	maxGrantAttempts  = 3    // a task fails once its sender has not taken up this many grants
)

// State is the replicated state of a fleet. It is not safe for concurrent use.
type State struct {
	Index   uint64             `json:"index"` // index of the last entry applied
	Terms   Terms              `json:"terms,omitzero"`
	Members map[string]*Member `json:"members"`
	Grants  map[string]*Grant  `json:"grants"` // open grants by sender
	Plans   []*Plan            `json:"plans"`  // ordered by ID
	Events  []Event            `json:"events"` // ordered by Index

	Endpoints      map[string]*EndpointExclusion `json:"endpoints,omitempty"`
	ExclusionEpoch uint64                        `json:"aside,omitempty"` // index of the last entry that changed Endpoints
}

// New returns the state before the first entry of the log.
func New() *State {
	return &State{Members: map[string]*Member{}, Grants: map[string]*Grant{}, Endpoints: map[string]*EndpointExclusion{}}
}

// ErrRejected is returned for a command that was rejected and changed nothing.
var ErrRejected = errors.New("refused")

// reject returns an error that wraps ErrRejected.
func reject(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrRejected, fmt.Sprintf(format, args...))
}

// Apply applies an entry of the log. Its effect depends only on the state and the entry. An error wraps ErrRejected;
// the entry has then changed nothing but Index. An entry that was applied before changes nothing.
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
		text, err = s.changePhase(index, c)
	case Activate:
		text, err = s.activate(c)
	case GrantSenders:
		text, err = s.grant(index, c)
	case CloseGrant:
		text, err = s.close(index, c)
	case MarkDrained:
		text, err = s.markDrained(c)
	case RecordVerdict:
		text, err = s.applyVerdict(index, c)
	case ExcludeEndpoint, IncludeEndpoint:
		text, err = s.changeEndpoint(index, c)
	default:
		err = reject("a newer agent's command %q", c.Verb)
	}
	if err == nil && text != "" {
		s.Events = append(s.Events, Event{Index: index, At: c.At, By: c.By, Reason: c.Reason, Text: text})
		if n := len(s.Events) - maxEvents; n > 0 {
			s.Events = slices.Delete(s.Events, 0, n)
		}
	}
	return err
}

// Plan returns the plan with an ID, or nil.
func (s *State) Plan(id uint64) *Plan {
	i, found := slices.BinarySearchFunc(s.Plans, id, func(p *Plan, id uint64) int { return cmp.Compare(p.ID, id) })
	if !found {
		return nil
	}
	return s.Plans[i]
}

// planOf returns the open plan that includes a sender, or nil.
func (s *State) planOf(sender string) *Plan {
	for _, p := range s.Plans {
		if t := p.Tasks[sender]; p.Phase.Open() && t != nil {
			return p
		}
	}
	return nil
}
