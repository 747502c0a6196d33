package harness

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenResult checks that the result of a run on sockets is written and read as by commit 096da04.
func TestGoldenResult(t *testing.T) {
	golden.JSON[Result](t, "result.json")
}
