package lifecycle

import (
	"math"
	"runtime"
	"runtime/debug"

	"cleathold/internal/admin"
	"cleathold/internal/protocol"
)

const (
	// memoryLimitFraction is the fraction of the memory limit that the Go heap may use. Files and stacks count towards the
	// limit, too.
	memoryLimitFraction = 0.7

	// keepAliveDivisor sets the share of the descriptors that idle keep-alive connections of clients may use: a quarter,
	// which is less than the third that all client connections may use.
	keepAliveDivisor = 4

	// reservedSockets is the number of descriptors reserved for the write-ahead log, discovery, the platform, health
	// checks and dials.
	reservedSockets = 64

	// minSocketBudget is the minimum number of descriptors for client connections and idle endpoint connections.
	minSocketBudget = 12
)

// limitRuntime applies the CPU and memory limits to the Go runtime.
func limitRuntime(l Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
}

// socketBudget divides the descriptors that remain after the reserve and the calls in flight between client connections
// and idle connections to endpoints. Clients get two thirds: one third for connections with a request and one for
// connections without. Lingering connections are counted within the clients' share.
func socketBudget(c Config) (clients, idle int) {
	available := c.Limits.Sockets - reservedSockets - c.Settings.MaxInFlight
	if c.Admin != "" {
		available -= admin.MaxHTTPConnections
	}
	available = max(available, minSocketBudget)
	clients = available * 2 / 3
	return max(clients-protocol.MaxLingering(clients), clients/2), available / 3
}
