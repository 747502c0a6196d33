package cluster

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenHistory checks that the history of a campaign is written and read as by commit 096da04.
func TestGoldenHistory(t *testing.T) {
	golden.JSON[History](t, "history.json")
}

// TestGoldenMeasurement checks that the output of 'lab fleet measure --json' is written and read as by commit 096da04.
func TestGoldenMeasurement(t *testing.T) {
	golden.JSON[Measurement](t, "measurement.json")
}
