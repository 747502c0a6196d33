package store

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenStore writes and reads what the tools of the store print as 096da04 did.
func TestGoldenStore(t *testing.T) {
	golden.JSON[Summary](t, "summary.json")
	golden.JSON[dumpLine](t, "line.json")
	golden.JSON[Damage](t, "damage.json")
}
