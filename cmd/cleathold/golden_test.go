package main

import (
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenComparison checks that the JSON of 'lab compare --json' has not changed since its fields had no tags.
func TestGoldenComparison(t *testing.T) {
	golden.JSON[comparison](t, "comparison.json")
}
