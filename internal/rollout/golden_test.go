package rollout

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenRollout writes and reads the entries of the log and its snapshot as 096da04 did.
func TestGoldenRollout(t *testing.T) {
	golden.JSON[Command](t, "command.json")
	golden.JSON[State](t, "state.json")
}
