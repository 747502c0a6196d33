package simulation

import (
	"os"
	"reflect"
	"testing"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// senderActions changes a scenario so that one sender is killed twice and another is terminated.
func senderActions(s *scenario.Scenario) {
	at := func(x float64) scenario.Range { return scenario.Range{From: x, To: x} }
	s.Length = 40 * time.Second
	s.Actions = []scenario.Action{
		{At: at(8), Sender: 0, Kind: "kill"}, {At: at(15), Sender: 1, Kind: "term"},
		{At: at(22), Sender: 0, Kind: "kill"}, {At: at(23), Sender: 2, Kind: "hup"},
	}
}

// After a kill or a termination the next process recovers from the write-ahead log, no rule is violated, the run is
// reproducible, and no temporary files remain.
func TestSenderRestarts(t *testing.T) {
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	for seed := range uint64(3) {
		a, b := play(t, buildingRefusesScript, seed, senderActions), play(t, buildingRefusesScript, seed, senderActions)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: %+v and %+v", seed, a, b)
		}
		if a.Restarts != 3 || len(a.Violations) > 0 || a.Overall < 0.7 || a.Counts.Accepted < 500 {
			t.Errorf("seed %d: %+v", seed, a)
		}
	}
	if entries, _ := os.ReadDir(tmp); len(entries) > 0 {
		t.Errorf("temporary files remain: %v", entries)
	}
}

// A killed sender whose write-ahead log is deleted loses its messages, and the auditor reports the violation.
func TestLostWALViolatesOutcomeRule(t *testing.T) {
	sc, err := scenario.Load(buildingRefusesScript, nil)
	if err != nil {
		t.Fatal(err)
	}
	senderActions(sc)
	sim, err := NewSim(sc.Plan(1), discardLog, nil)
	if err != nil {
		t.Fatal(err)
	}
	sim.at(8*time.Second+restartDelay/2, func() { // between the kill and the restart
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
