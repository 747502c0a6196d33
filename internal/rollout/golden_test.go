package rollout

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenRollout checks that the entries and the snapshots of the log are encoded and decoded as in commit 096da04.
func TestGoldenRollout(t *testing.T) {
	golden.JSON[Command](t, "command.json")
	golden.JSON[State](t, "state.json")
}
