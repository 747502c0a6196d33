package agent

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenAgent checks that the data in an agent's folder, and the data sent to other agents and to operators, is
// encoded and decoded as in commit 096da04.
func TestGoldenAgent(t *testing.T) {
	golden.JSON[record](t, "record.json")
	golden.JSON[observationReport](t, "sightings.json")
	golden.JSON[FleetView](t, "view.json")
	golden.JSON[CommandResult](t, "result.json")
	golden.JSON[CommandRequest](t, "call.json")
	golden.JSON[CompatibilityCheck](t, "probe.json")
	golden.JSON[ProgramInfo](t, "about.json")
}
