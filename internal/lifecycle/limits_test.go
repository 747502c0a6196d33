package lifecycle

import (
	"testing"

	"cleathold/control"
	"cleathold/internal/admin"
)

// Client connections and lingering connections share two thirds of the descriptors that remain after the calls and the
// sender's own reserve.
func TestSocketBudget(t *testing.T) {
	for _, c := range []struct {
		name           string
		sockets, calls int
		admin          string
		clients        int
	}{
		{"usual", 1024, 16, "", 551},
		{"with the admin address", 1024 + admin.MaxHTTPConnections, 16, "127.0.0.1:1", 551},
		{"few sockets: lingering connections take half", 96, 16, "", 5},
		{"too few sockets: minimum budget", 48, 16, "", 4},
	} {
		config := Config{Admin: c.admin, Limits: Limits{Sockets: c.sockets}, Settings: control.Settings{MaxInFlight: c.calls}}
		if clients := clientConnBudget(config); clients != c.clients {
			t.Errorf("%s: %d clients, want %d", c.name, clients, c.clients)
		}
	}
}
