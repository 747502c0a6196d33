package admin

import (
	"testing"

	"cleathold/internal/golden"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// TestGoldenResponses encodes and decodes the JSON of the admin API in the format of revision 096da04, or of the revision that
// added them.
func TestGoldenResponses(t *testing.T) {
	golden.JSON[Status](t, "status.json")
	golden.JSON[protocol.TransportCounts](t, "transportcounts.json")
	golden.JSON[[]state.ListedTarget](t, "targets.json")
	golden.JSON[DeadLetterRequest](t, "order.json")
	golden.JSON[Page](t, "page.json")
}
