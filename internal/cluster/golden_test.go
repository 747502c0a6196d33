package cluster

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenHistory writes and reads the history of a campaign as 096da04 did.
func TestGoldenHistory(t *testing.T) {
	golden.JSON[History](t, "history.json")
}

// TestGoldenMeasurement writes what 'lab fleet measure --json' prints as 096da04 did.
func TestGoldenMeasurement(t *testing.T) {
	golden.JSON[Measurement](t, "measurement.json")
}
