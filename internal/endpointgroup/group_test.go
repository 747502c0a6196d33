package endpointgroup

import (
	"testing"
	"time"

	"cleathold/control"
)

// A target that operators exclude must be draining for the controller until it is included again, even if discovery
// lists it as ready. Including a target must not affect one that discovery drains or removes.
func TestSetExcluded(t *testing.T) {
	g := New(0)
	now := time.Unix(1000, 0)
	target := func(id string, s control.EndpointState) Target {
		return Target{ID: id, Endpoint: control.Endpoint{Destination: 7, State: s}}
	}
	states := func(endpoints []control.Endpoint) (text string) {
		for _, e := range endpoints {
			text += map[control.EndpointState]string{control.Ready: "r", control.Draining: "d", control.Removed: "x"}[e.State]
		}
		return text
	}
	full := []Target{target("a", control.Ready), target("b", control.Ready), target("c", control.Draining)}
	for i, c := range []struct{ got, want string }{
		{states(g.Update(control.ListFull, 1, full, now)), "rrd"},
		{states(g.SetExcluded([]string{"a", "c", "unknown"})), "dd"},
		{states(g.SetExcluded([]string{"a", "c"})), ""},
		{states(g.Update(control.ListFull, 1, full, now)), "drd"},
		{states(g.Update(control.ListDelta, 2, []Target{target("a", control.Ready)}, now)), "d"},
		{states(g.SetExcluded([]string{"b"})), "rdd"},
		{states(g.Update(control.ListDelta, 3, []Target{target("b", control.Removed)}, now)), "x"},
		{states(g.SetExcluded(nil)), ""},
	} {
		if c.got != c.want {
			t.Errorf("step %d: %q, want %q", i, c.got, c.want)
		}
	}
}

// While sends are suspended the controller must see no target as ready. A target that UpdateDeparting drained meanwhile
// must not become ready when sends resume.
func TestSetSuspended(t *testing.T) {
	g := New(0)
	now := time.Now()
	up := func(id string) Target { return Target{ID: id, Endpoint: control.Endpoint{State: control.Ready}} }
	g.Update(control.ListFull, 3, []Target{up("a"), up("b"), up("c")}, now)
	g.SetExcluded([]string{"c"})
	departing := up("a")
	departing.State = control.Draining
	if endpoints := g.UpdateDeparting([]Target{departing, {ID: "unknown"}}, now); len(endpoints) != 1 || g.version != 3 ||
		len(g.byID) != 3 {
		t.Errorf("%+v, version %d, %d targets", endpoints, g.version, len(g.byID))
	}
	for _, suspended := range []bool{true, false} {
		endpoints, changed := g.SetSuspended(suspended)
		if _, repeated := g.SetSuspended(suspended); !changed || repeated || len(endpoints) != 1 ||
			(endpoints[0].State == control.Ready) == suspended {
			t.Errorf("suspended %t: %+v, changed %t, changed by repetition %t", suspended, endpoints, changed, repeated)
		}
	}
}

// Targets removed long ago must be deleted, also if they were removed only by being absent from a full list. A target
// that is listed again in time must keep its number.
func TestPruneRemoved(t *testing.T) {
	g, now := New(0), time.Now()
	up := func(id string) Target { return Target{ID: id, Endpoint: control.Endpoint{State: control.Ready}} }
	returning := up("back")
	first := g.Update(control.ListDelta, 0, []Target{returning, up("gone")}, now)
	g.Update(control.ListFull, 0, nil, now)
	again := g.Update(control.ListDelta, 0, []Target{returning}, now.Add(removedRetention/2))
	g.Update(control.ListDelta, 0, nil, now.Add(2*removedRetention))
	if again[0].ID != first[0].ID || g.byID["back"] == nil || g.byID["gone"] != nil || len(g.byNumber) != 1 ||
		len(g.removedAt) != 0 {
		t.Errorf("numbers %d and %d, known %v", first[0].ID, again[0].ID, g.byID)
	}
}

// TestDepartingUntilAnswer guards against a target that stays draining for good: a part of an answer, which may have been
// corrupted, named it as leaving, and the next complete answer does not name it.
func TestDepartingUntilAnswer(t *testing.T) {
	g, list := groupOf("a", "b")
	now := time.Now()
	g.UpdateDeparting([]Target{{ID: "a"}}, now)
	if g.Ready("a") || g.UnavailableSince(g.ByID("a").Endpoint.ID).IsZero() {
		t.Error("the target that leaves is ready")
	}
	endpoints := g.Update(control.ListDelta, 4, list[1:], now)
	if len(endpoints) != 2 || !g.Ready("a") || !g.UnavailableSince(g.ByID("a").Endpoint.ID).IsZero() {
		t.Errorf("after a complete answer: %+v, ready %t", endpoints, g.Ready("a"))
	}
}
