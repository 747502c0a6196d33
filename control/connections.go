package control

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	minIdleTime               = 250 * time.Millisecond // a connection idle for less counts as busy
	idleBands                 = 8                      // bands of idle time, each twice the last
	lossWeight                = 0.15                   // weight of the latest call in the losses of a band
	staleLossThreshold        = 0.3                    // part of the calls lost that makes a band's connections stale...
	staleLossRatio            = 3.0                    // ...if it is so many times that on busy connections
	staleLossDecay            = 0.01                   // part of that memory lost with each connection closed for it
	connectionRejectionWeight = 0.05                   // weight of the latest call in the part of a kind's calls...
	scarceConnectionThreshold = 0.01                   // ...that get no connection; above this they are closed once idle
	maxCapacityDoublings      = 3                      // times that the wait for room at an endpoint doubles
)

// A call is one connection's worth of messages: one slot, one fate.
type call struct {
	startedAt time.Duration
	idleBand  int // band of the time its connection lay idle
	size      int // messages put in
	pending   int // outcomes still to come
}

// joinsCall tells whether a send would share the call made at this instant.
func (c *Controller) joinsCall(e *endpoint) bool {
	return e.lastCall != nil && e.lastCall.pending > 0 && e.lastCall.startedAt == c.now &&
		e.lastCall.size < c.kind(e.Kind).MaxBatch
}

// idleBand sorts idle times of a connection by doublings from briefIdle.
func idleBand(idle time.Duration) int {
	return min(idleBands-1, max(0, int(math.Log2(float64(idle)/float64(minIdleTime)))+1))
}

// recordReuse learns how calls fare on connections by the time these lay idle.
func (c *Controller) recordReuse(a *attempt, r Result) {
	if r == TimedOut || r == ConnectionLost {
		c.lossByIdleBand[a.idleBand] += lossWeight * (1 - c.lossByIdleBand[a.idleBand])
	} else if r == Served {
		c.lossByIdleBand[a.idleBand] -= lossWeight * c.lossByIdleBand[a.idleBand]
	}
}

// recordConnectionRejection learns how often endpoints of a kind refuse connections though they seem well: some take
// few, and idle ones of siblings count. In a large fleet they are scarce until calls show otherwise.
func (c *Controller) recordConnectionRejection(e *endpoint, r Result) {
	if _, known := c.connectionRejections[e.Kind]; !known && c.settings.largeFleet() {
		c.connectionRejections[e.Kind] = 1
	}
	if (r == ConnectFailed || r == ConnectionRejected && c.usesFleetRate()) && !e.route.circuitOpen {
		c.connectionRejections[e.Kind] += connectionRejectionWeight
	}
	c.connectionRejections[e.Kind] *= 1 - connectionRejectionWeight
}

// closeStaleConnections closes the idle connections of an endpoint if calls on those idle for so long are lost and
// on busy ones are not: something on the way forgets connections, which looks like a hung partner but is not. Each
// use lets the memory fade, so that a healed way is found again.
func (c *Controller) closeStaleConnections(e *endpoint) int {
	band := 0
	if e.callsInFlight == 0 && e.connected {
		band = idleBand(c.now - e.lastUsedAt)
	}
	for b := 1; b <= band; b++ {
		if c.lossByIdleBand[b] > staleLossThreshold && c.lossByIdleBand[b] > staleLossRatio*c.lossByIdleBand[0] {
			c.lossByIdleBand[b] *= 1 - staleLossDecay
			c.actions.Disconnect(e.ID)
			return 0
		}
	}
	return band
}

// closeScarceConnections: where connections are scarce, one that no message waits for would keep siblings out: it is
// closed.
func (c *Controller) closeScarceConnections() {
	for _, e := range c.releasedEndpoints {
		if e.connected && e.callsInFlight == 0 && (c.listFailed ||
			c.connectionRejections[e.Kind] > scarceConnectionThreshold) {
			e.connected = false
			c.actions.Disconnect(e.ID)
		}
	}
	c.releasedEndpoints = c.releasedEndpoints[:0]
}

// releaseAll has all idle connections looked at again.
func (c *Controller) releaseAll() {
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // in order, as it acts
		c.releasedEndpoints = append(c.releasedEndpoints, c.endpoints[id])
	}
}
