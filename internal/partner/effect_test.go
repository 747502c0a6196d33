package partner

import (
	"testing"
	"time"
)

func TestKeys(t *testing.T) {
	for _, c := range []struct {
		scope Scope
		to    string
		after time.Duration
		drops bool
	}{
		{AllEndpoints, "c", time.Second, true}, {AllEndpoints, "a", 13 * time.Second, false},
		{SameZone, "b", time.Second, true}, {SameZone, "c", time.Second, false},
		{SameEndpoint, "a", time.Second, true}, {SameEndpoint, "b", time.Second, false},
	} {
		m := newModel(t, func(s *Spec) {
			s.Endpoints = []EndpointSpec{{"a", 0}, {"b", 0}, {"c", 1}}
			s.KeyRetention, s.KeyScope = 12*time.Second, c.scope
		})
		sendCall(t, m, 0, "a", 0, "k", "other")
		sendCall(t, m, c.after, c.to, 1, "k")
		m.Advance(time.Minute)
		e := m.Effects()
		if len(e) != 3 || e[0].Dropped || e[1].Dropped || e[2].Dropped != c.drops {
			t.Errorf("%+v: %+v", c, e)
		}
	}
}
