package report

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenReport writes and reads the findings on a run as 096da04 did.
func TestGoldenReport(t *testing.T) {
	golden.JSON[Outage](t, "outage.json")
	golden.JSON[Sum](t, "sum.json")
	golden.JSON[Span](t, "span.json")
	golden.JSON[Difference](t, "difference.json")
}
