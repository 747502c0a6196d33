package control

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	minIdleTime               = 250 * time.Millisecond // a connection that was idle for less counts as busy
	idleBands                 = 8                      // bands of idle time, each twice as long as the previous one
	lossWeight                = 0.15                   // weight of the latest call in the loss rate of a band
	staleLossThreshold        = 0.3                    // connections of a band with a loss rate above this are stale...
	staleLossRatio            = 3.0                    // ...if it is above this multiple of the rate on busy ones
	staleLossDecay            = 0.01                   // each use of a stale band reduces its loss rate by this fraction
	connectionRejectionWeight = 0.05                   // weight of the latest call in the rejection rate of a kind
	scarceConnectionThreshold = 0.01                   // connections are scarce if the rejection rate is above this
	noRoomProbability         = 0.5                    // that an unexplained rejection is a lack of room
	maxCapacityDoublings      = 3                      // maximum number of doublings of a capacityBackoff
)

// A call carries one attempt or a batch of them on one connection. It uses one slot.
type call struct {
	startedAt time.Duration
	idleBand  int // idle band of the connection before the call
	size      int // number of messages
	bytes     int // size of the messages in the body
	pending   int // number of messages without an outcome
}

// canJoinCall reports whether a message that is sent to an endpoint would join a call that was made at this instant.
// The host forms calls by the same rule, so that each of them uses one slot.
func (c *Controller) canJoinCall(msg *message, endpoint *endpoint) bool {
	last := endpoint.lastCall
	return last != nil && last.pending > 0 && last.startedAt == c.now && !msg.sendAlone &&
		last.size < c.settings.kind(endpoint.Kind).MaxBatch && c.fitsIntoCall(last, msg)
}

// fitsIntoCall reports whether the body of a call has room for a message.
func (c *Controller) fitsIntoCall(last *call, msg *message) bool {
	return c.settings.MaxCallBytes == 0 || last.bytes+msg.Size <= c.settings.MaxCallBytes
}

// startCall begins a call to an endpoint, which takes a slot, and returns it. Later messages of this instant may join
// it unless it is for a message that is sent alone.
func (c *Controller) startCall(msg *message, to *endpoint) *call {
	started := &call{startedAt: c.now, idleBand: c.closeStaleConnections(to)}
	if !msg.sendAlone {
		to.lastCall = started
	}
	to.route.bucket.tokens--
	c.callsInFlight++
	to.callsInFlight++
	to.destination.callsInFlight++
	return started
}

// idleBand returns the band of a connection's idle time. The bands double in length, starting from minIdleTime. Band 0
// holds the busy connections.
func idleBand(idle time.Duration) int {
	return min(idleBands-1, max(0, int(math.Log2(float64(idle)/float64(minIdleTime)))+1))
}

// A connectionStats holds the loss rates of calls by the idle time of their connection, and the rates of rejected
// connections.
type connectionStats struct {
	lossByIdleBand [idleBands]float64 // moving average of the fraction of calls that were lost
	rejectionRate  map[int]float64    // by endpoint kind: moving average of the fraction of calls that got no connection
}

// recordReuse records the result of a call on a connection of an idle band.
func (s *connectionStats) recordReuse(band int, result Result) {
	if result == TimedOut || result == ConnectionLost {
		s.lossByIdleBand[band] += lossWeight * (1 - s.lossByIdleBand[band])
	} else if result == Served {
		s.lossByIdleBand[band] -= lossWeight * s.lossByIdleBand[band]
	}
}

// stale reports whether calls on connections of an idle band, or of a shorter one, are lost while those on busy
// connections are not. This happens when a device on the network path drops idle connections, and could be mistaken for
// an unresponsive destination. Each positive result lowers the loss rate of the band, so that its connections are used
// again eventually, which detects the end of the fault.
func (s *connectionStats) stale(band int) bool {
	for b := 1; b <= band; b++ {
		if s.lossByIdleBand[b] > staleLossThreshold && s.lossByIdleBand[b] > staleLossRatio*s.lossByIdleBand[0] {
			s.lossByIdleBand[b] *= 1 - staleLossDecay
			return true
		}
	}
	return false
}

// recordRejection records whether a call to an endpoint of a kind got no connection although the endpoint seemed
// healthy. In a large fleet, connections count as scarce until enough calls have found capacity.
func (s *connectionStats) recordRejection(kind int, rejected, largeFleet bool) {
	if _, known := s.rejectionRate[kind]; !known && largeFleet {
		s.rejectionRate[kind] = 1
	}
	if rejected {
		s.rejectionRate[kind] += connectionRejectionWeight
	}
	s.rejectionRate[kind] *= 1 - connectionRejectionWeight
}

// scarce reports whether endpoints of a kind accept so few connections that idle ones block those of peers.
func (s *connectionStats) scarce(kind int) bool {
	return s.rejectionRate[kind] > scarceConnectionThreshold
}

// A capacityBackoff delays calls to an endpoint that had no capacity for a connection.
type capacityBackoff struct {
	retryAt    time.Duration
	rejections int // consecutive rejections, at most maxCapacityDoublings
}

// reject records a rejection. The delay starts at callTime, as capacity becomes free when calls end, and doubles with
// each consecutive rejection. It is spread by up to a half either way by random, a number from 0 to 1.
func (b *capacityBackoff) reject(now, callTime time.Duration, random float64) {
	b.retryAt = now + time.Duration((0.5+random)*float64(callTime<<b.rejections))
	b.rejections = min(b.rejections+1, maxCapacityDoublings)
}

// explainRejection replaces RejectedUnexplained by a likely cause. In a large fleet it is a lack of room for the
// connection with noRoomProbability, since one that is mistaken for a limit lowers the rate of the whole fleet. The
// next one in a row is none: a limit or an outage rejects the next call, too.
func (c *Controller) explainRejection(endpoint *endpoint, result Result) Result {
	switch {
	case result != RejectedUnexplained:
		return result
	case c.settings.usesFleetRate() && endpoint.connectBackoff.rejections == 0 && c.rng.Float64() < noRoomProbability:
		return ConnectionRejected
	}
	return Rejected
}

// recordConnection updates the connection statistics by the result of an attempt.
func (c *Controller) recordConnection(a *attempt, result Result) {
	c.connections.recordReuse(a.idleBand, result)
	rejected := result == ConnectFailed || result == ConnectionRejected && c.settings.usesFleetRate()
	c.connections.recordRejection(a.endpoint.Kind, rejected && !a.endpoint.route.breaker.open, c.settings.largeFleet())
}

// closeStaleConnections closes the idle connections of an endpoint if they are stale. It returns the idle band of the
// connection that the next call uses.
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

// closeScarceConnections closes the idle connections of endpoints that had an outcome at this instant and no further
// call. It does so where connections are scarce, as idle ones would block those of peers, and while polls of the
// endpoint list fail, as then only a new connection can reveal that an endpoint is draining.
func (c *Controller) closeScarceConnections() {
	for _, e := range c.released {
		if e.connected && e.callsInFlight == 0 && (c.list.failed || c.connections.scarce(e.Kind)) {
			e.connected = false
			c.actions.Disconnect(e.ID)
		}
	}
	c.released = c.released[:0]
}

// markAllReleased adds all endpoints to c.released, so that closeScarceConnections examines their connections.
func (c *Controller) markAllReleased() {
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // sorted, as the order of actions must be deterministic
		c.released = append(c.released, c.endpoints[id])
	}
}
