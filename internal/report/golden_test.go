package report

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenReport checks that the JSON of a report is written and read as commit 096da04 did.
func TestGoldenReport(t *testing.T) {
	golden.JSON[Outage](t, "outage.json")
	golden.JSON[Sum](t, "sum.json")
	golden.JSON[Span](t, "span.json")
	golden.JSON[Difference](t, "difference.json")
}
