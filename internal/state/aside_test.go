package state

import (
	"testing"
	"time"

	"cleathold/control"
)

// What operators take out drains for the controller, whatever discovery says of it, until they put it back; what discovery
// drains or removes stays so.
func TestAside(t *testing.T) {
	g := newGroup()
	now := time.Unix(1000, 0)
	target := func(id string, s control.EndpointState) Target {
		return Target{ID: id, Endpoint: control.Endpoint{Destination: 7, State: s}}
	}
	states := func(lines []control.Endpoint) (text string) {
		for _, e := range lines {
			text += map[control.EndpointState]string{control.Ready: "r", control.Draining: "d", control.Removed: "x"}[e.State]
		}
		return text
	}
	whole := ListUpdate{Kind: control.ListFull, Version: 1, Targets: []Target{target("a", control.Ready), target("b", control.Ready), target("c", control.Draining)}}
	for i, c := range []struct{ got, want string }{
		{states(g.update(whole, now)), "rrd"},
		{states(g.setExcluded([]string{"a", "c", "unknown"})), "dd"},
		{states(g.setExcluded([]string{"a", "c"})), ""},
		{states(g.update(whole, now)), "drd"},
		{states(g.update(ListUpdate{Kind: control.ListDelta, Version: 2, Targets: []Target{target("a", control.Ready)}}, now)), "d"},
		{states(g.setExcluded([]string{"b"})), "rdd"},
		{states(g.update(ListUpdate{Kind: control.ListDelta, Version: 3, Targets: []Target{target("b", control.Removed)}}, now)), "x"},
		{states(g.setExcluded(nil)), ""},
	} {
		if c.got != c.want {
			t.Errorf("step %d: %q, want %q", i, c.got, c.want)
		}
	}
}
