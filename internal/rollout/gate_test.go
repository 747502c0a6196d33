package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestGateVerdicts checks the verdict of the first stage's gate on versions that differ in how they perform, and that
// only one sender ever ran them.
func TestGateVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		simulate func(x *testFleet, changed string)
		want     string
	}{
		"same as the others": {func(x *testFleet, _ string) { x.addTraffic(20, noFailures) }, "stage 2 of"},
		"fails more": {func(x *testFleet, changed string) {
			x.addTraffic(20, func(n string) int64 {
				if n == changed {
					return 5
				}
				return 0
			})
		}, "ends that are failures"},
		"rejects one in five": {func(x *testFleet, changed string) {
			x.addTraffic(20, noFailures)
			x.observe(changed, func(v *Observation) { v.Counters.Rejected += 5 })
		}, "messages refused"},
		"fails like all": {func(x *testFleet, _ string) { x.addTraffic(20, func(string) int64 { return 4 }) }, "stage 2 of"},
		"late first attempts": {func(x *testFleet, n string) {
			x.addTraffic(20, noFailures)
			x.observe(n, func(v *Observation) { v.Counters.Late += 10 })
		}, "time to the first call"},
		"two late messages": {func(x *testFleet, n string) {
			if x.addTraffic(20, noFailures); !x.observations[n].Drained {
				x.observe(n, func(v *Observation) {
					if v.Counters.Called == 60 {
						v.Counters.Late += 2
					}
				})
			}
		}, "stage 2 of"},
		// A destination was faulty when the version started: its messages are late together, and none are late afterwards.
		"nine late messages at once": {func(x *testFleet, n string) {
			x.addTraffic(20, noFailures)
			x.observe(n, func(v *Observation) {
				if v.Counters.Called == 40 {
					v.Counters.Late += 9
				}
			})
		}, "stage 2 of"},
		"some late at first, then no traffic": {func(x *testFleet, n string) {
			x.observe(n, func(v *Observation) {
				if v.Counters.Called < 40 {
					x.addTraffic(40, noFailures)
					v.Counters = x.observations[n].Counters
					v.Counters.Late += 12
				}
			})
		}, "first calls came late, and 0 have been made since"},
		"late repeatedly": {func(x *testFleet, n string) {
			x.addTraffic(20, noFailures)
			x.observe(n, func(v *Observation) {
				if v.Counters.Called%60 <= 20 {
					v.Counters.Late += 12
				}
			})
		}, "time to the first call"},
		"uses more memory": {func(x *testFleet, n string) {
			x.addTraffic(20, noFailures)
			x.observe(n, func(v *Observation) { v.Counters.MemoryMB += 30 })
		}, "memory"},
		"crashes": {func(x *testFleet, n string) { x.observe(n, func(v *Observation) { v.Counters.Restarts++ }) },
			"crashed after its change"},
		"does not respond": {func(x *testFleet, n string) {
			x.observe(n, func(v *Observation) { *v = Observation{Sender: n, At: x.now, Phase: "no answer"} })
		}, "not seen any more: no answer"},
		"its agent does not report": {func(x *testFleet, n string) {
			x.addTraffic(20, noFailures)
			v := x.observations[n]
			v.At = x.now.Add(-time.Minute)
			x.observations[n] = v
		}, "nobody has seen n0"},
		"too little traffic": {func(x *testFleet, _ string) {}, "not known to be good"},
		"traffic only at the others": {func(x *testFleet, n string) {
			v := x.observations[n]
			x.addTraffic(20, noFailures)
			v.At = x.now
			x.observations[n] = v
		}, "not known to be good"},
		"no longer serves": {func(x *testFleet, n string) {
			x.observe(n, func(v *Observation) { v.Serving, v.Phase = false, "starting" })
		}, "does not serve"},
		"no traffic at the others": {func(x *testFleet, n string) {
			v := x.observations[n]
			v.Counters.Accepted, v.Counters.Delivered = v.Counters.Accepted+50, v.Counters.Delivered+50
			x.observations[n] = v
		}, "not known to be good"},
	} {
		x := newTestFleet(t, 10, Budget{Fleet: 3})
		for n := range x.observations {
			x.observe(n, func(v *Observation) { v.Counters.MemoryMB = 20 })
		}
		id := x.release(Plan{Gate: Gate{Wait: time.Minute}})
		x.run(x.carryOut)
		changed := x.state.Plan(id).Stages[0][0]
		for range 70 {
			x.advance(time.Second)
			c.simulate(x, changed)
			if x.run(nil); x.state.Plan(id).Phase != Running || x.state.Plan(id).Stage > 0 {
				break
			}
		}
		last := x.state.Events[len(x.state.Events)-1].Text
		for i := len(x.state.Events) - 1; i >= 0; i-- {
			if e := x.state.Events[i].Text; strings.Contains(e, c.want) {
				last = e
			}
		}
		changedCount := 0
		for _, m := range x.state.Members {
			if m.Version.Name == "v2" {
				changedCount++
			}
		}
		if !strings.Contains(last, c.want) || changedCount != 1 ||
			(x.state.Plan(id).Phase == Running) != strings.HasPrefix(c.want, "stage") {
			t.Errorf("%s: plan %s, %d senders run the version: %s; want %s", name, x.state.Plan(id).Phase,
				changedCount, last, c.want)
		}
	}
}

// TestGateOfNewLeader changes the leader after all senders have changed, so that no unchanged sender is left for the
// comparison. The new leader must compare with the replicated sums of the earlier stages: a version that has become
// worse must not pass.
func TestGateOfNewLeader(t *testing.T) {
	for name, failed := range map[string]int64{"as before": 0, "worse": 6} {
		x := newTestFleet(t, 10, Budget{Fleet: 9})
		id := x.release(Plan{Gate: Gate{MinMessages: 20, Wait: time.Minute}})
		p := x.state.Plan(id)
		for p.Stage < len(p.Stages)-1 {
			x.run(x.carryOut)
			x.advance(time.Second)
			x.addTraffic(20, noFailures)
		}
		x.run(x.carryOut) // the last senders change
		x.watch = Watch{} // the next leader has no data of the earlier stages
		for range 90 {
			x.advance(time.Second)
			x.addTraffic(20, func(string) int64 { return failed })
			if x.run(x.carryOut); p.Phase != Running {
				break
			}
		}
		if want := map[int64]Phase{0: Done, 6: Halted}[failed]; p.Phase != want || failed > 0 &&
			!strings.Contains(p.PhaseReason, "failures") {
			t.Errorf("%s: %s: %s", name, p.Phase, p.PhaseReason)
		}
	}
}

// TestGateOfRemoteObservation has a leader poll a sender itself, which does not show the sender's number of restarts.
// When the sender's agent reports the number later, these restarts must not count as crashes since the change.
func TestGateOfRemoteObservation(t *testing.T) {
	x := newTestFleet(t, 10, Budget{Fleet: 3})
	id := x.release(Plan{Gate: Gate{Wait: time.Minute}})
	x.run(x.carryOut)
	changed := x.state.Plan(id).Stages[0][0]
	x.watch = Watch{}
	x.observe(changed, func(v *Observation) { v.Remote = true })
	x.run(nil)
	x.observe(changed, func(v *Observation) { v.Remote, v.Counters.Restarts = false, 2 })
	x.run(nil)
	if p := x.state.Plan(id); p.Phase != Running {
		t.Errorf("%s: %s", p.Phase, p.PhaseReason)
	}
	x.advance(time.Second)
	x.observe(changed, func(v *Observation) { v.Counters.Restarts = 3 })
	if x.run(nil); x.state.Plan(id).Phase != Halted {
		t.Error("a later crash was not detected")
	}
}

// TestReleaseStages checks that a release proceeds by building, with one sender, then a few, then a tenth of them per
// stage, and that each stage waits for its gate.
func TestReleaseStages(t *testing.T) {
	x := newTestFleet(t, 40, Budget{Fleet: 4, Building: 4})
	id := x.release(Plan{})
	p := x.state.Plan(id)
	if sizes := fmt.Sprint(len(p.Stages), len(p.Stages[0]), len(p.Stages[1]), len(p.Stages[2])); sizes != "11 1 3 4" ||
		p.Stages[0][0] != "n0" || p.Stages[1][0] != "n2" {
		t.Fatalf("stages %v", p.Stages)
	}
	most, stages := 0, 0
	for x.state.Plan(id).Phase == Running && stages < 1000 {
		before := x.state.Plan(id).Stage
		x.run(func(g *Grant) { most = max(most, len(x.state.Grants)); x.carryOut(g) })
		if x.state.Plan(id).Stage > before+1 {
			t.Fatal("a stage was passed without its gate")
		}
		x.advance(time.Second)
		x.addTraffic(20, noFailures)
		stages++
	}
	if x.state.Plan(id).Phase != Done || most > 4 {
		t.Fatalf("%s: %s; %d senders out at once", x.state.Plan(id).Phase, x.state.Plan(id).PhaseReason, most)
	}
	for _, name := range x.state.names() {
		if x.state.Members[name].Version.Name != "v2" {
			t.Errorf("%s runs %s", name, x.state.Members[name].Version.Name)
		}
	}
}

// TestSilentBeforeFirstObservation checks a version that responds to its agent right after the change, but not before
// the next observation, so that its grant stays open. The release must halt once the agent has observed for the gate's
// soak that it does not serve, and not earlier.
func TestSilentBeforeFirstObservation(t *testing.T) {
	for name, c := range map[string]struct {
		seen Observation
		want Phase
	}{
		"no response":                  {Observation{Phase: "no answer"}, Halted},
		"not healthy":                  {Observation{Process: "p-new", Phase: "serving"}, Halted},
		"observed every other second":  {Observation{Phase: "no answer", At: time.Unix(2, 0)}, Halted},
		"version change in progress":   {Observation{Phase: "no answer", At: time.Unix(1, 0)}, Running},
		"observed by the leader alone": {Observation{Phase: "no answer", Remote: true}, Running},
	} {
		x := newTestFleet(t, 4, Budget{Fleet: 1})
		id := x.release(Plan{Gate: Gate{Soak: 5 * time.Second, Wait: time.Minute}})
		x.run(nil)
		p := x.state.Plan(id)
		changed := p.Stages[0][0]
		if p.Tasks[changed].Step != Granted {
			t.Fatalf("%s: %s is %s", name, changed, p.Tasks[changed].Step)
		}
		for i := range 90 {
			x.advance(time.Second)
			c.seen.Sender = changed
			x.observations[changed] = c.seen
			if c.seen.At.IsZero() || c.seen.At.Unix() == 2 && i%2 == 0 {
				x.observe(changed, func(v *Observation) { v.At = x.now })
			}
			x.run(nil)
			if p.Phase == Halted && i < 5 {
				t.Errorf("%s: halted after %d s", name, i)
			}
		}
		if p.Phase != c.want || c.want == Halted && !strings.Contains(p.PhaseReason, "not seen any more") ||
			x.state.Grants[changed] == nil {
			t.Errorf("%s: %s: %s; grants %v", name, p.Phase, p.PhaseReason, x.state.Grants)
		}
	}
}

// TestTwoReleases runs two releases of different senders at the same time. Each has its own gates, and both must
// finish.
func TestTwoReleases(t *testing.T) {
	x := newTestFleet(t, 10, Budget{Fleet: 4})
	a := x.release(Plan{Stages: [][]string{{"n0", "n2", "n4"}}})
	b := x.release(Plan{Stages: [][]string{{"n1", "n3", "n5"}}, To: Version{Name: "v3", Program: "/v3"}})
	for range 100 {
		x.run(x.carryOut)
		x.advance(time.Second)
		x.addTraffic(20, noFailures)
	}
	if x.state.Plan(a).Phase != Done || x.state.Plan(b).Phase != Done {
		t.Errorf("%s, %s", x.state.Plan(a).Phase, x.state.Plan(b).Phase)
	}
}
