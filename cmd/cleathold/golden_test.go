package main

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenComparison writes and reads what 'lab compare --json' prints as it did before its fields had tags.
func TestGoldenComparison(t *testing.T) {
	golden.JSON[comparison](t, "comparison.json")
}
