package lab

import (
	"io"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"cleathold/internal/scenario"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func play(t testing.TB, path string, seed uint64, change func(*scenario.Scenario)) Result {
	t.Helper()
	sc, err := scenario.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(sc)
	}
	sim, err := NewSim(sc.Plan(seed), quiet)
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
		calm := play(t, refuses, seed, func(s *scenario.Scenario) { s.Troubles = nil })
		rough := play(t, refuses, seed, nil)
		for name, r := range map[string]Result{"calm": calm, "rough": rough} {
			t.Logf("seed %d, %s: service %.3f, whole %.3f, worst %.3f at %v, %d messages, %d calls, %d refused, %d events",
				seed, name, r.Service, r.Whole, r.Worst, r.WorstAt, r.Messages, r.Calls, r.Refused, r.Events)
			for _, b := range r.Breaks {
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
		s.Troubles = nil
		s.Churns = []scenario.Churn{{At: scenario.Range{From: 5, To: 5}, Every: 3 * time.Second, Drain: 3 * time.Second}}
	})
	if len(r.Breaks) > 0 || r.Whole < 0.85 {
		t.Errorf("%+v", r)
	}
}
