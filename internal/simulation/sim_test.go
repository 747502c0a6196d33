package simulation

import (
	"io"
	"log/slog"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func play(t testing.TB, path string, seed uint64, change func(*scenario.Scenario)) Result {
	t.Helper()
	sc, err := scenario.Load(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(sc)
	}
	return simulate(t, sc, seed, nil)
}

// simulate runs a scenario, and passes each event to sink unless sink is nil.
func simulate(t testing.TB, sc *scenario.Scenario, seed uint64, sink func(audit.Event) error) Result {
	t.Helper()
	sim, err := NewSim(sc.Plan(seed), discardLog, sink)
	if err != nil {
		t.Fatal(err)
	}
	r, err := sim.Run()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const buildingRefusesScript = "../../examples/scenarios/building-refuses.star"

// Runs an example scenario with and without its fault: no rule is violated, the score without faults is high, and the
// fault does not raise it.
func TestBuildingOutage(t *testing.T) {
	faultFreeSum, faultySum := 0.0, 0.0
	for seed := range uint64(4) {
		faultFree := play(t, buildingRefusesScript, seed, func(s *scenario.Scenario) { s.Faults = nil })
		faulty := play(t, buildingRefusesScript, seed, nil)
		for name, r := range map[string]Result{"without faults": faultFree, "with faults": faulty} {
			t.Logf("seed %d, %s: service %.3f, overall %.3f, worst %.3f at %v, %d messages, %d calls, %d rejected, %d events",
				seed, name, r.Service, r.Overall, r.Worst, r.WorstAt, r.Messages, r.Calls, r.RejectedCalls, r.Events)
			for _, b := range r.Violations {
				t.Errorf("seed %d, %s: %s: %s (message %s, calls %v, times %v)",
					seed, name, b.Rule, b.Text, b.Message, b.Calls, b.Times)
			}
		}
		if faultFree.Messages != faulty.Messages {
			t.Errorf("seed %d: the fault changes the arrivals", seed)
		}
		faultFreeSum, faultySum = faultFreeSum+faultFree.Service/4, faultySum+faulty.Service/4
	}
	if faultFreeSum < 0.85 || faultySum > faultFreeSum {
		t.Errorf("service %.3f without faults, %.3f with them", faultFreeSum, faultySum)
	}
}

// The same seed produces the same result.
func TestSameSeedSameResult(t *testing.T) {
	if a, b := play(t, buildingRefusesScript, 3, nil), play(t, buildingRefusesScript, 3, nil); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v and %+v", a, b)
	}
}

// Endpoints are replaced during the run: no new call goes to a draining endpoint, and most messages are delivered.
func TestEndpointChurn(t *testing.T) {
	r := play(t, buildingRefusesScript, 2, func(s *scenario.Scenario) {
		s.Faults = nil
		s.Churns = []scenario.Churn{{At: scenario.Range{From: 5, To: 5}, Every: 3 * time.Second, Drain: 3 * time.Second}}
	})
	if len(r.Violations) > 0 || r.Overall < 0.85 {
		t.Errorf("%+v", r)
	}
}

// Endpoints drain and are removed while discovery is down, and new endpoints reuse their addresses: no sender continues
// to call a removed endpoint after it was notified or counts as notified.
func TestChurnDuringDiscoveryOutage(t *testing.T) {
	notified := 0
	sc, err := scenario.Load("../../examples/scenarios/churned-endpoints.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	r := simulate(t, sc, 3, func(e audit.Event) error {
		if e.Kind == audit.Notified && e.Leaves {
			notified++
		}
		return nil
	})
	if len(r.Violations) > 0 || notified == 0 || r.Overall < 0.7 {
		t.Errorf("%d notified; %+v", notified, r)
	}
}

// No rule is violated in any of the example scenarios.
func TestExampleScenariosKeepRules(t *testing.T) {
	list, _ := filepath.Glob("../../examples/scenarios/*.star")
	for _, path := range list {
		r := play(t, path, 2, nil)
		t.Logf("%s: service %.3f, overall %.3f, worst %.3f, %d messages",
			filepath.Base(path), r.Service, r.Overall, r.Worst, r.Messages)
		if len(r.Violations) > 0 {
			t.Errorf("%s: %+v", path, r.Violations)
		}
	}
}
