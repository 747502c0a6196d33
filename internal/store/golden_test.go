package store

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenStore checks that the JSON output of the store tools has the same format as at commit 096da04.
func TestGoldenStore(t *testing.T) {
	golden.JSON[Summary](t, "summary.json")
	golden.JSON[dumpLine](t, "line.json")
	golden.JSON[Damage](t, "damage.json")
}
