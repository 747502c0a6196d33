package report

import (
	"bytes"
	"log/slog"
	"math"
	"strings"
	"testing"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

func TestPair(t *testing.T) {
	for _, c := range []struct {
		name  string
		a, b  []float64
		mean  float64
		noise bool
	}{
		{"equal", []float64{0.9, 0.8, 0.7}, []float64{0.9, 0.8, 0.7}, 0, true},
		{"small compared to its deviation", []float64{0.9, 0.8, 0.7, 0.9}, []float64{0.93, 0.78, 0.72, 0.89}, 0.005, true},
		{"small with a low deviation", []float64{0.9, 0.8, 0.7, 0.6}, []float64{0.911, 0.81, 0.709, 0.61}, 0.01, false},
	} {
		d, err := Pair(c.a, c.b)
		if err != nil || math.Abs(d.Mean-c.mean) > 1e-9 || d.Noise != c.noise {
			t.Errorf("%s: %+v, %v", c.name, d, err)
		}
	}
	// The 0.975 quantile of t with 3 degrees of freedom is 3.1824; the standard deviation of 1, 2, 3, 4 is 1.29099.
	d, _ := Pair([]float64{0, 0, 0, 0}, []float64{1, 2, 3, 4})
	if math.Abs(d.Low-(2.5-3.18245*1.290994/2)) > 1e-3 {
		t.Errorf("%+v", d)
	}
	if _, err := Pair([]float64{1}, []float64{1}); err == nil {
		t.Error("Pair returned no error for a single pair")
	}
}

// The page contains the figures of the run, and the memory of the collector does not grow with the run.
func TestCollector(t *testing.T) {
	s, err := scenario.Load("../../examples/scenarios/kills.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	p := s.Plan(3)
	c := NewCollector(p)
	maxSize, requested, delivered := 0, 0, 0
	sim, err := simulation.NewSim(p, slog.New(slog.DiscardHandler), func(e audit.Event) error {
		if e.Kind == audit.Requested {
			requested++
		}
		maxSize = max(maxSize, c.Size())
		return c.Read(e)
	})
	if err != nil {
		t.Fatal(err)
	}
	r, err := sim.Run()
	if err != nil {
		t.Fatal(err)
	}
	page, err := c.Page(Facts{Violations: []audit.Violation{{Rule: audit.RuleOutcome, Message: "<m1>"}},
		Notes: []string{"late"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range page.Classes {
		delivered += int(l.Delivered)
	}
	if delivered == 0 || delivered > requested || len(page.Plots) != 5 || len(page.Causes) == 0 || len(page.Marks) < 50 {
		t.Errorf("%d delivered of %d, %+v", delivered, requested, page.Causes)
	}
	if maxSize > 4*requested {
		t.Errorf("size was %d for %d messages", maxSize, requested)
	}
	var text, html bytes.Buffer
	if page.Text(&text) != nil || page.HTML(&html) != nil {
		t.Fatal("the page could not be written")
	}
	if !strings.Contains(text.String(), "NOTE: late") || !strings.Contains(text.String(), "sender 0: kill") ||
		r.Messages != requested {
		t.Error(text.String())
	}
	if strings.Contains(html.String(), "<m1>") || !strings.Contains(html.String(), "&lt;m1&gt;") {
		t.Error("text from the ledger is not escaped")
	}
}
