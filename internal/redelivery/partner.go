package redelivery

import "time"

// partnerState is the state of one destination.
type partnerState struct {
	capacity           float64 // calls per second from all senders; 0: unknown
	ready              bool    // at least one endpoint accepts new work
	guessedCapacity    float64 // calls per second; used while the capacity is unknown
	level              float64 // fraction of the full rate, from ColdCapacity to 1
	levelSetAt         time.Duration
	tokens             float64
	tokensSetAt        time.Duration
	backoffUntil       time.Duration // no redelivery before this time
	consecutiveOutages int           // number of outages without a served call between them
	trial              bool          // only one redelivery may be in flight, until a call is served
	inFlight           int
	liveCalls          float64 // exponentially decayed count of live calls
	liveCallsAt        time.Duration
	servedAt           time.Duration // time of the latest served call; negative: none
	failingSince       time.Duration // time of the first consecutive failed call; negative: the last call was served
	retryAfter         time.Duration
	lastResult         Result
	hasResult          bool
	lastTenant         string // the tenant of the latest redelivery
	lastUsed           time.Duration
}
