package control

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	minIdleTime               = 250 * time.Millisecond // a connection idle for less counts as busy
	idleBands                 = 8                      // bands of idle time, each twice as long as the one before
	lossWeight                = 0.15                   // weight of the latest call in the loss of a band
	staleLossThreshold        = 0.3                    // a loss above this makes a band's connections stale...
	staleLossRatio            = 3.0                    // ...if it is so many times that on busy connections
	staleLossDecay            = 0.01                   // each connection closed for it lowers the loss by this part
	connectionRejectionWeight = 0.05                   // weight of the latest call in a kind's rejection rate
	scarceConnectionThreshold = 0.01                   // a rejection rate above this makes connections scarce
	maxCapacityDoublings      = 3                      // times that the wait for a connection's capacity doubles
)

// A call is what travels on one connection: one attempt or a batch, in one slot.
type call struct {
	startedAt time.Duration
	idleBand  int // of the connection's idle time before it
	size      int // messages in it
	pending   int // outcomes still to come
}

// canJoinCall reports whether a send to an endpoint would share the call that was made at this instant.
func (c *Controller) canJoinCall(endpoint *endpoint) bool {
	last := endpoint.lastCall
	return last != nil && last.pending > 0 && last.startedAt == c.now &&
		last.size < c.settings.kind(endpoint.Kind).MaxBatch
}

// idleBand sorts idle times of a connection into bands by doublings of minIdleTime. Band 0 is that of busy ones.
func idleBand(idle time.Duration) int {
	return min(idleBands-1, max(0, int(math.Log2(float64(idle)/float64(minIdleTime)))+1))
}

// A connectionStats follows how calls fare by the connection that they use.
type connectionStats struct {
	lossByIdleBand [idleBands]float64 // moving average: part of the calls that were lost
	rejectionRate  map[int]float64    // by endpoint kind, moving average: part of the calls that got no connection
}

// recordReuse takes the result of a call on a connection of an idle band.
func (s *connectionStats) recordReuse(band int, result Result) {
	if result == TimedOut || result == ConnectionLost {
		s.lossByIdleBand[band] += lossWeight * (1 - s.lossByIdleBand[band])
	} else if result == Served {
		s.lossByIdleBand[band] -= lossWeight * s.lossByIdleBand[band]
	}
}

// stale reports whether connections that were idle for so long are lost while busy ones are not: something on the way
// forgets connections, which looks like an unresponsive destination but is not. Each finding lowers the loss, so that
// it is noticed when the way works again.
func (s *connectionStats) stale(band int) bool {
	for b := 1; b <= band; b++ {
		if s.lossByIdleBand[b] > staleLossThreshold && s.lossByIdleBand[b] > staleLossRatio*s.lossByIdleBand[0] {
			s.lossByIdleBand[b] *= 1 - staleLossDecay
			return true
		}
	}
	return false
}

// recordRejection takes whether a call to an endpoint of a kind got no connection though the endpoint seemed well. In a
// large fleet connections are taken for scarce until calls show otherwise.
func (s *connectionStats) recordRejection(kind int, rejected, largeFleet bool) {
	if _, known := s.rejectionRate[kind]; !known && largeFleet {
		s.rejectionRate[kind] = 1
	}
	if rejected {
		s.rejectionRate[kind] += connectionRejectionWeight
	}
	s.rejectionRate[kind] *= 1 - connectionRejectionWeight
}

// scarce reports whether endpoints of a kind take few connections, so that idle ones keep peers out.
func (s *connectionStats) scarce(kind int) bool {
	return s.rejectionRate[kind] > scarceConnectionThreshold
}

// A capacityBackoff is the wait after an endpoint had no capacity for a connection.
type capacityBackoff struct {
	retryAt    time.Duration
	rejections int // in a row, as far as they count
}

// reject takes a rejection: the wait is about callTime, as capacity comes when calls end, and twice as long with each
// in a row. The draw, from 0 to 1, spreads it by half either way.
func (b *capacityBackoff) reject(now, callTime time.Duration, random float64) {
	b.retryAt = now + time.Duration((0.5+random)*float64(callTime<<b.rejections))
	b.rejections = min(b.rejections+1, maxCapacityDoublings)
}

// recordConnection takes what the result of an attempt tells of connections.
func (c *Controller) recordConnection(a *attempt, result Result) {
	c.connections.recordReuse(a.idleBand, result)
	rejected := result == ConnectFailed || result == ConnectionRejected && c.settings.usesFleetRate()
	c.connections.recordRejection(a.endpoint.Kind, rejected && !a.endpoint.route.breaker.open, c.settings.largeFleet())
}

// closeStaleConnections closes the idle connections of an endpoint that a call would be lost on. It returns the idle
// band of the connection that the next call uses.
func (c *Controller) closeStaleConnections(endpoint *endpoint) int {
	if endpoint.callsInFlight > 0 || !endpoint.connected {
		return 0
	}
	band := idleBand(c.now - endpoint.lastUsedAt)
	if c.connections.stale(band) {
		c.actions.Disconnect(endpoint.ID)
		return 0
	}
	return band
}

// closeScarceConnections closes idle connections of endpoints that had an outcome at this instant and are needed by no
// message: where connections are scarce, as they would keep peers out, and where the endpoint list can not be had, as
// only new connections may meet a drain that the list hides.
func (c *Controller) closeScarceConnections() {
	for _, e := range c.released {
		if e.connected && e.callsInFlight == 0 && (c.list.failed || c.connections.scarce(e.Kind)) {
			e.connected = false
			c.actions.Disconnect(e.ID)
		}
	}
	c.released = c.released[:0]
}

// markAllReleased has closeScarceConnections look at the connections of all endpoints.
func (c *Controller) markAllReleased() {
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // in order, as it decides the order of actions
		c.released = append(c.released, c.endpoints[id])
	}
}
