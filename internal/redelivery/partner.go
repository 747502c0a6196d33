package redelivery

import "time"

// partnerState is what is known of one destination.
type partnerState struct {
	capacity           float64 // calls a second from all senders; 0: unknown
	ready              bool    // one of its endpoints accepts new work
	guessedCapacity    float64 // used where the capacity is unknown
	level              float64 // fraction of the rate, from ColdCapacity up to 1
	levelSetAt         time.Duration
	tokens             float64
	tokensSetAt        time.Duration
	backoffUntil       time.Duration // no redelivery before this
	consecutiveOutages int           // outages in a row
	trial              bool          // the next redelivery goes alone
	inFlight           int
	liveCalls          float64 // decayed count
	liveCallsAt        time.Duration
	servedAt           time.Duration // the latest served call; below 0: none
	failingSince       time.Duration // the first of the consecutive failed calls; below 0: the last call was served
	retryAfter         time.Duration
	lastResult         Result
	hasResult          bool
	lastTenant         string // the one whose message went last
	lastUsed           time.Duration
}
