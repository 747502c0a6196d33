package harness

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenResult writes and reads the result of a run on sockets as 096da04 did.
func TestGoldenResult(t *testing.T) {
	golden.JSON[Result](t, "result.json")
}
