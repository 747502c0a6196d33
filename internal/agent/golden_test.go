package agent

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenAgent writes and reads what goes to an agent's folder, to other agents and to operators as 096da04 did.
func TestGoldenAgent(t *testing.T) {
	golden.JSON[record](t, "record.json")
	golden.JSON[observationReport](t, "sightings.json")
	golden.JSON[View](t, "view.json")
	golden.JSON[Result](t, "result.json")
	golden.JSON[Call](t, "call.json")
	golden.JSON[CompatibilityCheck](t, "probe.json")
	golden.JSON[ProgramInfo](t, "about.json")
}
