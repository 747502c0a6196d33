package rollout

import (
	"strings"
	"testing"
	"time"
)

// TestEndpointExclusions checks which endpoints may be excluded at the same time. e0 to e3 belong to destination 1, f0
// and f1 to destination 2. All are of the same kind except f1.
func TestEndpointExclusions(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget Budget
		steps  string // "out:x" excludes x, "in:x" includes it, "drained:x": discovery drains it
		want   string // part of the last step's error; empty: no error
	}{
		{"one endpoint", Budget{Endpoints: 1}, "out:e0", ""},
		{"budget of zero", Budget{}, "out:e0", "0 may be"},
		{"two of one destination", Budget{Endpoints: 1}, "out:e0 out:e1", "1 may be: e0"},
		{"one per destination", Budget{Endpoints: 1}, "out:e0 out:f0", ""},
		{"one per destination, same kind", Budget{Endpoints: 1, Kind: 1}, "out:e0 out:f0", "of its kind"},
		{"one per destination, different kinds", Budget{Endpoints: 1, Kind: 1}, "out:e0 out:f1", ""},
		{"discovery drains another one", Budget{Endpoints: 1}, "drained:e1 out:e0", "1 may be: e1"},
		{"discovery drains the same one", Budget{Endpoints: 1}, "drained:e0 out:e0", ""},
		{"the last of two", Budget{Endpoints: 9}, "out:f0 out:f1", "the last endpoint"},
		{"the last of two, the other drained", Budget{Endpoints: 9}, "drained:f0 out:f1", "the last endpoint"},
		{"the same one twice", Budget{Endpoints: 2}, "out:e0 out:e0", "out already"},
		{"another one right after inclusion", Budget{Endpoints: 1}, "out:e0 in:e0 out:e1", "1 may be: e0"},
		{"another one long after inclusion", Budget{Endpoints: 1}, "out:e0 in:e0 later out:e1", ""},
		{"the same one right after inclusion", Budget{Endpoints: 1}, "out:e0 in:e0 out:e0", ""},
		{"inclusion without exclusion", Budget{Endpoints: 1}, "in:e0", "not out by order"},
		{"unknown endpoint", Budget{Endpoints: 1}, "out:x", "no sender knows"},
	} {
		c.budget.Fleet = 1
		x := newTestFleet(t, 2, c.budget)
		listed := []Endpoint{{"e0", 1, 0, true}, {"e1", 1, 0, true}, {"e2", 1, 0, true}, {"e3", 1, 0, true},
			{"f0", 2, 0, true}, {"f1", 2, 1, true}}
		var err error
		for _, step := range strings.Fields(c.steps) {
			verb, id, _ := strings.Cut(step, ":")
			switch verb {
			case "out":
				err = x.apply(Command{Verb: ExcludeEndpoint, Reason: "r", Endpoint: id, Listed: listed})
			case "in":
				err = x.apply(Command{Verb: IncludeEndpoint, Reason: "r", Endpoint: id})
			case "drained":
				for i := range listed {
					listed[i].Up = listed[i].Up && listed[i].ID != id
				}
			case "later":
				x.advance(12 * time.Second)
			}
		}
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}
