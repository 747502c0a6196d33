package lifecycle

import (
	"math"
	"runtime"
	"runtime/debug"

	"cleathold/internal/admin"
	"cleathold/internal/protocol"
)

const (
	// memoryLimitFraction is the part of the memory limit that the Go heap may take: files and stacks count, too.
	memoryLimitFraction = 0.7

	// keepAliveDivisor is the part of the descriptors that clients' connections take between requests, less than the third
	// that they may hold.
	keepAliveDivisor = 4

	// reservedSockets are for the write-ahead log, discovery, the platform, health checks and dials.
	reservedSockets = 64

	// minSocketBudget is left to connections at the least.
	minSocketBudget = 12
)

// limitRuntime keeps the runtime within the machine's limits.
func limitRuntime(l Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
}

// socketBudget parts the descriptors between clients' connections and idle ones to endpoints, besides those of calls
// that are out. Clients may hold a third of all for requests, and some connect that have none. Those that linger have
// their part of it.
func socketBudget(c Config) (clients, idle int) {
	available := c.Limits.Sockets - reservedSockets - c.Settings.MaxInFlight
	if c.Admin != "" {
		available -= admin.MaxHTTPConnections
	}
	available = max(available, minSocketBudget)
	clients = available * 2 / 3
	return max(clients-protocol.MaxLingering(clients), clients/2), available / 3
}
