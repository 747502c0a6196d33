package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// setRoster replaces the senders of one agent. A sender with an open grant or in an open plan is not removed.
func (s *State) setRoster(c Command) (string, error) {
	if len(c.Roster) > MaxSenders {
		return "", reject("%d senders, %d at most", len(c.Roster), MaxSenders)
	}
	listed := map[string]bool{}
	for _, m := range c.Roster {
		if m.Name == "" || m.Agent != c.By {
			return "", reject("a sender of another agent, or without a name")
		}
		if existing := s.Members[m.Name]; existing != nil && existing.Agent != m.Agent && s.inUse(m.Name) {
			return "", reject("sender %s has an open grant at agent %s", m.Name, existing.Agent)
		}
		listed[m.Name] = true
	}
	if len(s.Members)+len(c.Roster) > 2*MaxSenders {
		return "", reject("too many senders")
	}
	var removed []string
	for name, m := range s.Members {
		if m.Agent == c.By && !listed[name] && !s.inUse(name) {
			removed = append(removed, name)
		}
	}
	for _, name := range removed {
		delete(s.Members, name)
	}
	for _, m := range c.Roster {
		if existing := s.Members[m.Name]; existing != nil && existing.Version.Name != "" {
			m.Version = existing.Version // the version is replicated state, which an agent can't overwrite
		}
		s.Members[m.Name] = &m
	}
	return fmt.Sprintf("agent %s has %d senders", c.By, len(c.Roster)), nil
}

// inUse reports whether a sender has an open grant or is in an open plan.
func (s *State) inUse(name string) bool { return s.Grants[name] != nil || s.planOf(name) != nil }

// availability records which senders of a fleet are out of service, and how many of each building.
type availability struct {
	out           map[string]bool
	outByBuilding map[string]int
}

// availability returns the availability of the fleet. A sender counts as out if it has an open grant or is not among
// those that were observed to serve.
func (s *State) availability(seen []string) availability {
	serving := make(map[string]bool, len(seen))
	for _, name := range seen {
		serving[name] = true
	}
	counts := availability{out: map[string]bool{}, outByBuilding: map[string]int{}}
	for name, m := range s.Members {
		if s.Grants[name] != nil || !serving[name] {
			counts.out[name] = true
			counts.outByBuilding[m.Building]++
		}
	}
	return counts
}

// checkBudget returns an error that says why the budget does not allow another sender to go out, or nil.
func (s *State) checkBudget(fleet availability, m *Member) error {
	b := s.Terms.Budget
	switch {
	case fleet.out[m.Name]:
		return reject("%s is out already, or nobody sees it serving", m.Name)
	case len(fleet.out) >= b.Fleet:
		return reject("%d senders are out, %d may be: %s", len(fleet.out), b.Fleet, firstNames(fleet.out))
	case b.Building > 0 && fleet.outByBuilding[m.Building] >= b.Building:
		return reject("%d senders of building %s are out, %d may be", fleet.outByBuilding[m.Building], m.Building, b.Building)
	case len(s.Members)-len(fleet.out)-1 < b.Serving:
		return reject("%d senders serve, %d must", len(s.Members)-len(fleet.out), b.Serving)
	}
	return nil
}

// firstNames formats the first five names of a set and the number of the others.
func firstNames(set map[string]bool) string {
	names := slices.Sorted(maps.Keys(set))
	if n := len(names); n > 5 {
		return strings.Join(names[:5], ", ") + fmt.Sprintf(" and %d more", n-5)
	}
	return strings.Join(names, ", ")
}

// Version is a program and, optionally, a configuration for each sender.
type Version struct {
	Name    string `json:"name"`
	Program string `json:"program"`          // path on the sender's machine
	Config  string `json:"config,omitempty"` // folder there with NAME.json for each sender; empty: no change
}

// Member is a sender in the roster.
type Member struct {
	Name     string   `json:"name"`
	Building string   `json:"building,omitempty"`
	Agent    string   `json:"agent"`           // name of the agent on its machine
	Reach    []string `json:"reach,omitempty"` // admin addresses (host:port)
	Version  Version  `json:"version"`
}
