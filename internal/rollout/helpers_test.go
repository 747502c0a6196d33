package rollout

import (
	"fmt"
	"testing"
	"time"
)

// testFleet is a fleet under test: a state, the latest observations, and a clock.
type testFleet struct {
	t            *testing.T
	state        *State
	observations map[string]Observation
	now          time.Time
	watch        Watch
}

func newTestFleet(t *testing.T, senders int, b Budget) *testFleet {
	t.Helper()
	x := &testFleet{t: t, state: New(), observations: map[string]Observation{}, now: time.Unix(1000, 0).UTC()}
	terms := DefaultTerms
	terms.Budget = b
	x.must(Command{Verb: SetTerms, Terms: &terms})
	var roster []Member
	for i := range senders {
		roster = append(roster, Member{Name: fmt.Sprint("n", i), Building: []string{"a", "b"}[i%2], Agent: "x",
			Version: Version{Name: "v1", Program: "/v1"}})
	}
	x.must(Command{Verb: SetRoster, By: "x", Roster: roster})
	for _, m := range roster {
		x.observe(m.Name, func(v *Observation) { v.Serving, v.Process, v.Version = true, "p", "v1" })
	}
	return x
}

func (x *testFleet) apply(c Command) error {
	c.At = x.now
	if c.By == "" {
		c.By = "x"
	}
	return x.state.Apply(x.state.Index+1, c)
}

func (x *testFleet) must(c Command) uint64 {
	x.t.Helper()
	if err := x.apply(c); err != nil {
		x.t.Fatal(err)
	}
	return x.state.Index
}

func (x *testFleet) observe(name string, change func(v *Observation)) {
	v := x.observations[name]
	v.Sender, v.At = name, x.now
	change(&v)
	x.observations[name] = v
}

// advance advances the clock and then observes all senders unchanged.
func (x *testFleet) advance(d time.Duration) {
	x.now = x.now.Add(d)
	for name := range x.observations {
		x.observe(name, func(*Observation) {})
	}
}

// run proposes and applies commands until there are no more. Unless takeGrant is nil, run calls it for each grant that
// its sender has not taken up.
func (x *testFleet) run(takeGrant func(g *Grant)) {
	for range 100 {
		list := x.state.Next(x.observations, &x.watch, x.now)
		for _, c := range list {
			if err := x.apply(c); err != nil {
				x.t.Fatalf("%s: %v", c.Verb, err)
			}
		}
		if len(list) == 0 {
			return
		}
		for name, g := range x.state.Grants {
			if x.observations[name].Epoch < g.Epoch && takeGrant != nil {
				takeGrant(g)
			}
		}
	}
	x.t.Fatal("the proposals do not end")
}

// carryOut makes a sender take up its grant: it drains, or runs the grant's version.
func (x *testFleet) carryOut(g *Grant) {
	x.advance(time.Millisecond)
	x.observe(g.Sender, func(v *Observation) {
		if v.Epoch, v.Ended, v.Drained, v.Serving = g.Epoch, !g.Drain, g.Drain, !g.Drain; !g.Drain {
			v.Version, v.Process = g.To.Name, v.Process+"'"
			v.Counters = Counters{MemoryMB: v.Counters.MemoryMB}
		}
	})
}

func (x *testFleet) drain(names ...string) uint64 {
	x.t.Helper()
	return x.must(Command{Verb: Start, Reason: "r", New: &Plan{Kind: Drain, Stages: [][]string{names}},
		ServingSenders: x.state.ServingSenders(x.observations, x.now)})
}

func (x *testFleet) release(p Plan) uint64 {
	x.t.Helper()
	p.Kind = Release
	if p.To.Name == "" {
		p.To = Version{Name: "v2", Program: "/v2"}
	}
	return x.must(Command{Verb: Start, Reason: "r", New: &p,
		ServingSenders: x.state.ServingSenders(x.observations, x.now)})
}

// addTraffic adds n messages with an outcome to each sender's counters. failed returns how many of them fail at a
// sender.
func (x *testFleet) addTraffic(n int64, failed func(name string) int64) {
	for name := range x.observations {
		x.observe(name, func(v *Observation) {
			f := failed(name)
			v.Counters.Accepted, v.Counters.Called = v.Counters.Accepted+n, v.Counters.Called+n
			v.Counters.Failed, v.Counters.Delivered = v.Counters.Failed+f, v.Counters.Delivered+n-f
			v.Counters.FirstCall += time.Duration(n) * 10 * time.Millisecond
		})
	}
}

func noFailures(string) int64 { return 0 }
