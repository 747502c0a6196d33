package admin

import (
	"testing"

	"cleathold/internal/golden"
	"cleathold/internal/state"
)

// TestGoldenResponses writes and reads the answers of the admin API as 096da04 did.
func TestGoldenResponses(t *testing.T) {
	golden.JSON[Status](t, "status.json")
	golden.JSON[[]state.ListedTarget](t, "targets.json")
	golden.JSON[Order](t, "order.json")
	golden.JSON[Page](t, "page.json")
}
