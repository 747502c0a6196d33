package lifecycle

import (
	"math"
	"runtime"
	"runtime/debug"

	"cleathold/internal/admin"
	"cleathold/internal/connbudget"
	"cleathold/internal/protocol"
)

const (
	// memoryLimitFraction is the fraction of the memory limit that the Go heap may use. Files and stacks count towards the
	// limit, too.
	memoryLimitFraction = 0.7

	// targetsPerMB is the number of endpoints for each megabyte of the memory limit, of which an endpoint uses 4 KB: a
	// quarter of the memory. minTargets is the least number.
	targetsPerMB    = 64
	minTargets      = 4096
	defaultMemoryMB = 192 // for what follows from the memory limit, if there is none

	// keepAliveDivisor sets the share of the descriptors that idle keep-alive connections of clients may use: a quarter,
	// which is less than the third that all client connections may use.
	keepAliveDivisor = 4

	// reservedSockets is the number of descriptors reserved for the write-ahead log, discovery, the platform, health
	// checks and dials.
	reservedSockets = 64

	// minSocketBudget is the minimum number of descriptors to be divided.
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

// memoryLimitMB returns the memory limit that limitRuntime has applied, in megabytes.
func memoryLimitMB() float64 {
	return float64(debug.SetMemoryLimit(-1)) / memoryLimitFraction / (1 << 20)
}

// maxTargets returns the maximum number of endpoints that the sender keeps.
func (l Limits) maxTargets() int {
	if l.MemoryMB <= 0 {
		return defaultMemoryMB * targetsPerMB
	}
	return max(minTargets, int(l.MemoryMB*targetsPerMB))
}

// clientLimits returns the limits for the connections of clients and their requests.
func clientLimits(c Config) connbudget.Limits {
	return connbudget.ForProcess(c.Limits.Cores, c.Limits.MemoryMB, clientConnBudget(c))
}

// clientConnBudget returns the maximum number of client connections that the descriptors allow: two thirds of the descriptors that remain after the
// reserve and the calls in flight, one third for connections with a request and one for connections without. Lingering
// connections are counted within them. The last third is a margin for connections that are being closed.
func clientConnBudget(c Config) int {
	available := c.Limits.Sockets - reservedSockets - c.Settings.MaxInFlight
	if c.Admin != "" {
		available -= admin.MaxHTTPConnections
	}
	clients := max(available, minSocketBudget) * 2 / 3
	return max(clients-protocol.MaxLingering(clients), clients/2)
}
