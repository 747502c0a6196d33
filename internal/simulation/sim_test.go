package simulation

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func play(t testing.TB, path string, seed uint64, change func(*scenario.Scenario)) Result {
	t.Helper()
	sc, err := scenario.Load(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(sc)
	}
	sim, err := NewSim(sc.Plan(seed), quiet, nil)
	if err != nil {
		t.Fatal(err)
	}
	r, err := sim.Run()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const refuses = "../../examples/scenarios/building-refuses.star"

// A day of the rehearsal library: the rules hold, service is that of a sender that
// works, and the trouble shows in it.
func TestRehearsal(t *testing.T) {
	calmSum, roughSum := 0.0, 0.0
	for seed := range uint64(4) {
		calm := play(t, refuses, seed, func(s *scenario.Scenario) { s.Faults = nil })
		rough := play(t, refuses, seed, nil)
		for name, r := range map[string]Result{"calm": calm, "rough": rough} {
			t.Logf("seed %d, %s: service %.3f, whole %.3f, worst %.3f at %v, %d messages, %d calls, %d refused, %d events",
				seed, name, r.Service, r.Overall, r.Worst, r.WorstAt, r.Messages, r.Calls, r.RejectedCalls, r.Events)
			for _, b := range r.Violations {
				t.Errorf("seed %d, %s: %s: %s (message %s, calls %v, times %v)", seed, name, b.Rule, b.Text, b.Message, b.Calls, b.Times)
			}
		}
		if calm.Messages != rough.Messages {
			t.Errorf("seed %d: the trouble changes what comes", seed)
		}
		calmSum, roughSum = calmSum+calm.Service/4, roughSum+rough.Service/4
	}
	if calmSum < 0.85 || roughSum > calmSum {
		t.Errorf("service %.3f on calm days, %.3f on rough ones", calmSum, roughSum)
	}
}

// Same seed, same result.
func TestSameRun(t *testing.T) {
	if a, b := play(t, refuses, 3, nil), play(t, refuses, 3, nil); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v and %+v", a, b)
	}
}

// Endpoints come and go: nothing new goes to one that drains, and service stays.
func TestChurnRun(t *testing.T) {
	r := play(t, refuses, 2, func(s *scenario.Scenario) {
		s.Faults = nil
		s.Churns = []scenario.Churn{{At: scenario.Range{From: 5, To: 5}, Every: 3 * time.Second, Drain: 3 * time.Second}}
	})
	if len(r.Violations) > 0 || r.Overall < 0.85 {
		t.Errorf("%+v", r)
	}
}

// deeds is a day on which senders die: one is killed, one stopped, one twice.
func deeds(s *scenario.Scenario) {
	at := func(x float64) scenario.Range { return scenario.Range{From: x, To: x} }
	s.Length = 40 * time.Second
	s.Actions = []scenario.Action{{At: at(8), Sender: 0, What: "kill"}, {At: at(15), Sender: 1, What: "term"}, {At: at(22), Sender: 0, What: "kill"}, {At: at(23), Sender: 2, What: "hup"}}
}

// Kills and stops in virtual time: the journal is the new process's, no rule is
// broken, the run is the same each time, and nothing is left on the disk.
func TestDeaths(t *testing.T) {
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	for seed := range uint64(3) {
		a, b := play(t, refuses, seed, deeds), play(t, refuses, seed, deeds)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: %+v and %+v", seed, a, b)
		}
		if a.Restarts != 3 || len(a.Violations) > 0 || a.Overall < 0.7 || a.Counts.Accepted < 500 {
			t.Errorf("seed %d: %+v", seed, a)
		}
	}
	if left, _ := os.ReadDir(tmp); len(left) > 0 {
		t.Errorf("left on the disk: %v", left)
	}
}

// Without its journal a killed sender loses what it had, and the auditor says so.
func TestDeathWithoutJournal(t *testing.T) {
	sc, err := scenario.Load(refuses, nil)
	if err != nil {
		t.Fatal(err)
	}
	deeds(sc)
	sim, err := NewSim(sc.Plan(1), quiet, nil)
	if err != nil {
		t.Fatal(err)
	}
	sim.at(8*time.Second+restartDelay/2, func() { // between its death and its return
		os.RemoveAll(sim.walDirs[0])
		os.MkdirAll(sim.walDirs[0], 0o700)
	})
	r, err := sim.Run()
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) == 0 || r.Violations[0].Rule != audit.RuleOutcome {
		t.Errorf("%+v", r.Violations)
	}
}

// Endpoints drain and go while discovery is dead, and their addresses pass to new
// ones: told or deemed told, no sender goes on to those that left.
func TestBlindChurn(t *testing.T) {
	told := 0
	sc, err := scenario.Load("../../examples/scenarios/churned-endpoints.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	sim, err := NewSim(sc.Plan(3), quiet, func(e audit.Event) error {
		if e.Kind == audit.Notified && e.Leaves {
			told++
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	r, err := sim.Run()
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 || told == 0 || r.Overall < 0.7 {
		t.Errorf("%d told; %+v", told, r)
	}
}

// Each rehearsal of the library: the rules hold.
func TestLibraryPlays(t *testing.T) {
	list, _ := filepath.Glob("../../examples/scenarios/*.star")
	for _, path := range list {
		r := play(t, path, 2, nil)
		t.Logf("%s: service %.3f, whole %.3f, worst %.3f, %d messages", filepath.Base(path), r.Service, r.Overall, r.Worst, r.Messages)
		if len(r.Violations) > 0 {
			t.Errorf("%s: %+v", path, r.Violations)
		}
	}
}

// What each sender is told: late, in order, never the newer of two changes first,
// and its whole list is what it was told by then.
func TestGround(t *testing.T) {
	sc, err := scenario.Load(refuses, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := sc.Plan(1)
	g, err := NewEnvironment(p, func(audit.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	e := p.Dests[0].Endpoints[0]
	all, _ := g.FullList(0, 0)
	first, err := g.Apply(time.Second, scenario.Change{Endpoint: e.ID, Dest: 1, Drains: true})
	if err != nil {
		t.Fatal(err)
	}
	second, _ := g.Apply(1100*time.Millisecond, scenario.Change{Endpoint: e.ID, Dest: 1, Leaves: true})
	for i := range first {
		if second[i] < first[i] || first[i] > time.Second+maxListDelay {
			t.Errorf("sender %d is told at %v and %v", i, first[i], second[i])
		}
	}
	if lines, version, whole := g.ListChanges(first[0]-1, 0, 1); len(lines) != 0 || version != 1 || whole {
		t.Errorf("told early: %+v %d", lines, version)
	}
	if lines, _ := g.FullList(first[0]-1, 0); len(lines) != len(all) || lines[0].State != control.Ready {
		t.Errorf("the whole list tells early: %+v", lines[0])
	}
	lines, version, _ := g.ListChanges(second[0], 0, 1)
	if len(lines) == 0 || lines[len(lines)-1].State != control.Removed || version != 3 {
		t.Errorf("%+v %d", lines, version)
	}
	if lines, _ := g.FullList(second[0], 0); len(lines) != len(all)-1 {
		t.Errorf("%d lines after %d", len(lines), len(all))
	}
	if lines, _, _ := g.ListChanges(second[0], 0, 3); len(lines) != 0 {
		t.Errorf("told again: %+v", lines)
	}
	if lines, _, whole := g.ListChanges(second[0], 0, 1); !whole || len(lines) != len(all)-1 {
		t.Error("what is forgotten is not told by the whole list")
	}
}
