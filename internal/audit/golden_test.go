package audit

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenAudit writes and reads what ledgers and results hold as 096da04 did.
func TestGoldenAudit(t *testing.T) {
	golden.JSON[Event](t, "event.json")
	golden.JSON[Violation](t, "break.json")
	golden.JSON[Counts](t, "counts.json")
}
