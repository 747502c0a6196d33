package audit

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenAudit checks that the JSON of ledgers and results is written and read as commit 096da04 did.
func TestGoldenAudit(t *testing.T) {
	golden.JSON[Event](t, "event.json")
	golden.JSON[Violation](t, "break.json")
	golden.JSON[Counts](t, "counts.json")
}
