package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// turnEndpoint takes an endpoint out, or puts it back.
func (s *State) turnEndpoint(index uint64, c Command) (string, error) {
	if c.By == "" || c.Reason == "" {
		return "", refuse("an author and a reason are needed")
	}
	s.settleEndpoints(c.At)
	out := s.Endpoints[c.Endpoint]
	if c.Verb == IncludeEndpoint {
		if out == nil || !out.Back.IsZero() {
			return "", refuse("endpoint %q is not out by order", c.Endpoint)
		}
		out.Back, s.ExclusionEpoch = c.At, index
		return fmt.Sprintf("endpoint %s is in again", c.Endpoint), nil
	}
	if out != nil && out.Back.IsZero() {
		return "", refuse("endpoint %s is out already, by %s (%s)", c.Endpoint, out.By, out.Reason)
	}
	i := slices.IndexFunc(c.Listed, func(e Endpoint) bool { return e.ID == c.Endpoint })
	if i < 0 {
		return "", refuse("no sender knows an endpoint %q", c.Endpoint)
	}
	e := c.Listed[i]
	if err := s.endpointRoom(e, c.Listed); err != nil {
		return "", err
	}
	s.Endpoints[e.ID] = &EndpointOut{Endpoint: e, By: c.By, Reason: c.Reason, At: c.At}
	s.ExclusionEpoch = index
	return fmt.Sprintf("endpoint %s of destination %d is out", e.ID, e.Dest), nil
}

// endpointRoom tells why an endpoint can't go out. Those that discovery drains, and those on their way back, are out, too;
// and never is the last one of a destination taken.
func (s *State) endpointRoom(e Endpoint, listed []Endpoint) error {
	b := s.Terms.Budget
	dest, kind, left := map[string]bool{}, map[string]bool{}, 0
	isOut := func(x Endpoint) bool { return !x.Up || s.Endpoints[x.ID] != nil }
	count := func(x Endpoint) {
		if x.Dest == e.Dest {
			dest[x.ID] = true
		}
		if x.Kind == e.Kind {
			kind[x.ID] = true
		}
	}
	for _, x := range listed {
		switch {
		case x.ID == e.ID:
		case isOut(x):
			count(x)
		case x.Dest == e.Dest:
			left++
		}
	}
	for _, x := range s.Endpoints { // some may be listed no more
		if x.ID != e.ID {
			count(x.Endpoint)
		}
	}
	switch {
	case len(dest) >= b.Endpoints:
		return refuse("%d endpoints of destination %d are out, %d may be: %s", len(dest), e.Dest, b.Endpoints, some(dest))
	case b.Kind > 0 && len(kind) >= b.Kind:
		return refuse("%d endpoints of its kind are out, %d may be: %s", len(kind), b.Kind, some(kind))
	case left == 0:
		return refuse("%s is the last endpoint of destination %d that is in", e.ID, e.Dest)
	}
	return nil
}

// settleEndpoints forgets those that were put back so long ago that no sender can still hold them out.
func (s *State) settleEndpoints(now time.Time) {
	t := s.Terms.Timing
	maps.DeleteFunc(s.Endpoints, func(_ string, x *EndpointOut) bool {
		return !x.Back.IsZero() && now.Sub(x.Back) > t.Lease+4*t.Error
	})
}

// Outs are the endpoints that senders are to leave alone.
func (s *State) Outs() (list []string) {
	for id, x := range s.Endpoints {
		if x.Back.IsZero() {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
