package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// changeEndpoint excludes an endpoint or ends its exclusion.
func (s *State) changeEndpoint(index uint64, c Command) (string, error) {
	if c.By == "" || c.Reason == "" {
		return "", reject("an author and a reason are needed")
	}
	s.forgetIncluded(c.At)
	exclusion := s.Endpoints[c.Endpoint]
	if c.Verb == IncludeEndpoint {
		if exclusion == nil || !exclusion.Back.IsZero() {
			return "", reject("endpoint %q is not out by order", c.Endpoint)
		}
		exclusion.Back, s.ExclusionEpoch = c.At, index
		return fmt.Sprintf("endpoint %s is in again", c.Endpoint), nil
	}
	if exclusion != nil && exclusion.Back.IsZero() {
		return "", reject("endpoint %s is out already, by %s (%s)", c.Endpoint, exclusion.By, exclusion.Reason)
	}
	i := slices.IndexFunc(c.Listed, func(e Endpoint) bool { return e.ID == c.Endpoint })
	if i < 0 {
		return "", reject("no sender knows an endpoint %q", c.Endpoint)
	}
	e := c.Listed[i]
	if err := s.checkEndpointBudget(e, c.Listed); err != nil {
		return "", err
	}
	s.Endpoints[e.ID] = &EndpointExclusion{Endpoint: e, By: c.By, Reason: c.Reason, At: c.At}
	s.ExclusionEpoch = index
	return fmt.Sprintf("endpoint %s of destination %d is out", e.ID, e.Dest), nil
}

// checkEndpointBudget returns an error that says why an endpoint can't be excluded, or nil. Endpoints that discovery
// drains count as out, and so do endpoints that were included again but may still be excluded at some senders. The
// last endpoint of a destination is never excluded.
func (s *State) checkEndpointBudget(e Endpoint, listed []Endpoint) error {
	b := s.Terms.Budget
	outOfDest, outOfKind, serving := map[string]bool{}, map[string]bool{}, 0
	isOut := func(x Endpoint) bool { return !x.Up || s.Endpoints[x.ID] != nil }
	count := func(x Endpoint) {
		if x.Dest == e.Dest {
			outOfDest[x.ID] = true
		}
		if x.Kind == e.Kind {
			outOfKind[x.ID] = true
		}
	}
	for _, x := range listed {
		switch {
		case x.ID == e.ID:
		case isOut(x):
			count(x)
		case x.Dest == e.Dest:
			serving++
		}
	}
	for _, x := range s.Endpoints { // discovery may no longer list some of them
		if x.ID != e.ID {
			count(x.Endpoint)
		}
	}
	switch {
	case len(outOfDest) >= b.Endpoints:
		return reject("%d endpoints of destination %d are out, %d may be: %s", len(outOfDest), e.Dest, b.Endpoints,
			firstNames(outOfDest))
	case b.Kind > 0 && len(outOfKind) >= b.Kind:
		return reject("%d endpoints of its kind are out, %d may be: %s", len(outOfKind), b.Kind, firstNames(outOfKind))
	case serving == 0:
		return reject("%s is the last endpoint of destination %d that is in", e.ID, e.Dest)
	}
	return nil
}

// forgetIncluded deletes the endpoints that were included again so long ago that no sender can still exclude them.
func (s *State) forgetIncluded(now time.Time) {
	t := s.Terms.Timing
	maps.DeleteFunc(s.Endpoints, func(_ string, x *EndpointExclusion) bool {
		return !x.Back.IsZero() && now.Sub(x.Back) > t.Lease+4*t.MaxClockError
	})
}

// ExcludedEndpoints returns the sorted IDs of the excluded endpoints.
func (s *State) ExcludedEndpoints() (list []string) {
	for id, x := range s.Endpoints {
		if x.Back.IsZero() {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Endpoint is an endpoint that discovery lists.
type Endpoint struct {
	ID   string `json:"id"`
	Dest int    `json:"dest"`
	Kind int    `json:"kind"`
	Up   bool   `json:"up"` // false: discovery drains it
}

// EndpointExclusion is an endpoint that operators have excluded. It is kept for a while after the endpoint was included
// again, since senders may apply the change up to a lease later.
type EndpointExclusion struct {
	Endpoint
	By     string    `json:"by"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
	Back   time.Time `json:"back,omitzero"` // when the exclusion ended; zero: still excluded
}
