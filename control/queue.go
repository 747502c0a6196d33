package control

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	reservedSlotFraction = 0.25 // part of the slots that only calls of the usual yield may take
	lowYieldFraction     = 0.5  // a call that brings less than this part of the usual yield is of low yield
	slotYieldWeight      = 0.02 // weight of the latest call in the yield
)

// A destination is one destination with its two queues and what its calls have shown.
type destination struct {
	id                  int
	endpoints           []*endpoint // listed and lately removed ones, by id
	sharedRoute         *route      // of the endpoints without a separate route
	fresh               []*message  // wait in hope of their latency objective
	deferred            []*message  // wait for their deadline only
	attempts            []*attempt  // in flight, in order of sending
	callsInFlight       int
	busy                bool // in Controller.busy
	concurrencyReduced  bool // a call failed and none was served since
	consecutiveTimeouts int
	callTime            callTime
	callTimeSamples     int // served calls of its own that callTime rests on
	stalls              stallDetector
	traffic             trafficRate
}

// A message is one message that is open, or has an attempt in flight.
type message struct {
	Message
	class        *Class
	destination  *destination
	deadline     time.Duration
	attempts     int
	inFlight     *attempt
	mayHaveRun   bool          // an attempt may have run
	firstRunAt   time.Duration // when the first such attempt was sent
	firstRunZone int           // the zone it went to
	finished     bool          // its client has its answer, or wants none
	streaming    bool          // its streamed answer has started
	sequence     *keySequence  // of its key; nil = not ordered
}

// An attempt is one send of a message, until its outcome.
type attempt struct {
	message       *message
	endpoint      *endpoint
	call          *call
	sentAt        time.Duration
	idleBand      int           // of the connection's idle time before the call
	expectedTime  time.Duration // answered within this if all is well
	preemptibleAt time.Duration // canceled from here on if others need its slot
	canceled      bool
}

// A slotYield follows the priority weight that calls bring for the slot time that they take.
type slotYield struct {
	weight  float64 // decayed sum
	seconds float64 // decayed sum
}

// record takes a call that held a slot for elapsed and brought this weight.
func (y *slotYield) record(weight float64, elapsed time.Duration) {
	y.weight *= 1 - slotYieldWeight
	y.seconds *= 1 - slotYieldWeight
	y.seconds += elapsed.Seconds()
	y.weight += weight
}

// low reports whether a call of this weight for each second of its slot brings much less than calls usually do.
func (y *slotYield) low(weightPerSecond float64) bool {
	return y.seconds > 0 && weightPerSecond < lowYieldFraction*y.weight/y.seconds
}

// weightAt is what a message of the class brings when served at that age. Past the latency objective it falls, to
// LateWeight of the full weight at the deadline; halving makes it halve with each further objective.
func (c *Class) weightAt(age time.Duration, halving bool) float64 {
	if age <= c.LatencyObjective {
		return c.PriorityWeight
	}
	if halving {
		return c.PriorityWeight * max(c.LateWeight, math.Exp2(1-float64(age)/float64(max(c.LatencyObjective, 1))))
	}
	late := float64(age-c.LatencyObjective) / float64(max(c.Deadline-c.LatencyObjective, 1))
	return c.PriorityWeight * (1 - (1-c.LateWeight)*min(late, 1))
}

// age is the time since the message was first submitted, wherever that was.
func (msg *message) age(now time.Duration) time.Duration {
	return msg.class.Deadline - (msg.deadline - now)
}

// waiting reports whether the message is neither in flight nor being streamed to its client.
func (msg *message) waiting() bool { return msg.inFlight == nil && !msg.streaming }

// latestSendTime is when a waiting message must be sent to meet its deadline.
func (c *Controller) latestSendTime(msg *message) time.Duration {
	return msg.deadline - msg.destination.callTime.mean - c.settings.Tick
}

// hasWaiting reports whether messages wait in either queue.
func (d *destination) hasWaiting() bool { return len(d.fresh)+len(d.deferred) > 0 }

// dequeue takes a message out of the queue that it waits in.
func (d *destination) dequeue(msg *message) {
	d.fresh = without(d.fresh, msg)
	d.deferred = without(d.deferred, msg)
}

// destination returns the destination with that number; one not known yet is added.
func (c *Controller) destination(id int) *destination {
	if dest := c.destinations[id]; dest != nil {
		return dest
	}
	dest := &destination{id: id, sharedRoute: c.newRoute(), traffic: trafficRate{updatedAt: c.now}}
	c.destinations[id] = dest
	return dest
}

// markBusy puts a destination that has work among the busy ones, which are the only ones that a decision visits.
func (c *Controller) markBusy(dest *destination) {
	if dest.busy {
		return
	}
	dest.busy = true
	i := sort.Search(len(c.busy), func(i int) bool { return c.busy[i].id > dest.id })
	c.busy = slices.Insert(c.busy, i, dest)
}

// trimBusy takes destinations without messages and attempts out of the busy ones.
func (c *Controller) trimBusy() {
	c.busy = slices.DeleteFunc(c.busy, func(dest *destination) bool {
		dest.busy = dest.hasWaiting() || len(dest.attempts) > 0
		return !dest.busy
	})
}

// expireMessages ends waiting messages that can no longer meet their deadline.
func (c *Controller) expireMessages() {
	for i := 0; i < len(c.openMessages); {
		msg := c.openMessages[i]
		if msg.waiting() && c.now >= c.latestSendTime(msg) {
			c.finishUndelivered(msg) // takes it out of openMessages
			continue
		}
		i++
	}
}

// runSelection runs rounds of selection while a slot is free. Of the messages that the destinations' rounds select, the
// one with the most weight for its slot time goes first.
func (c *Controller) runSelection() {
	for {
		var best *message
		var bestEndpoint *endpoint
		bestValue := 0.0
		for _, dest := range c.busy {
			msg, endpoint := c.selectionRound(dest)
			if msg == nil {
				continue
			}
			value := c.weightPerSecond(msg)
			if c.canJoinCall(endpoint) {
				value = math.Inf(1) // it takes no slot
			} else if c.slotReserved(value) {
				continue
			}
			if best == nil || value > bestValue {
				best, bestEndpoint, bestValue = msg, endpoint, value
			}
		}
		if best == nil {
			return
		}
		best.destination.dequeue(best)
		c.send(best, bestEndpoint)
	}
}

// selectionRound is the paper's round of selection for a destination: the message that goes next, and where to, or nil.
// A fresh head that would miss its latency objective is deferred, a deferred one that would miss its deadline is ended.
func (c *Controller) selectionRound(dest *destination) (*message, *endpoint) {
	for {
		msg, endpoint := c.queueHead(dest, dest.fresh)
		if msg == nil {
			break
		}
		if msg.age(c.now)+dest.callTime.mean < msg.class.LatencyObjective {
			return msg, endpoint
		}
		dest.fresh = without(dest.fresh, msg)
		dest.deferred = append(dest.deferred, msg)
	}
	for {
		msg, endpoint := c.queueHead(dest, dest.deferred)
		if msg == nil || msg.age(c.now)+dest.callTime.mean < msg.class.Deadline {
			return msg, endpoint
		}
		c.finishUndelivered(msg)
	}
}

// queueHead returns the message of a queue that goes first, and where to: of those that may go, the one with the most
// weight when served now, then the one that has waited longest.
func (c *Controller) queueHead(dest *destination, queue []*message) (*message, *endpoint) {
	var best *message
	var bestEndpoint *endpoint
	maxWeight := 0.0
	for _, msg := range queue {
		weight := msg.weightWhenServed(c.now, c.settings.WeightHalves)
		if dest.sharedRoute.breaker.open && msg.class.Idempotency == NotIdempotent {
			weight = -weight // a trial call may be lost: it should carry a message that may be repeated
		}
		if best != nil && weight <= maxWeight {
			continue
		}
		if endpoint := c.pickEndpoint(dest, msg); endpoint != nil {
			best, bestEndpoint, maxWeight = msg, endpoint, weight
		}
	}
	return best, bestEndpoint
}

// weightWhenServed is the weight that a message brings if it is sent now and served after the expected call time.
func (msg *message) weightWhenServed(now time.Duration, halving bool) float64 {
	return msg.class.weightAt(msg.age(now)+msg.destination.callTime.mean, halving)
}

// weightPerSecond is the weight that a message brings for each second of its slot.
func (c *Controller) weightPerSecond(msg *message) float64 {
	slotTime := max(msg.destination.callTime.mean, c.settings.Tick, time.Millisecond)
	return msg.weightWhenServed(c.now, c.settings.WeightHalves) / slotTime.Seconds()
}

// recordSlotYield takes what a call brought for its time.
func (c *Controller) recordSlotYield(msg *message, elapsed time.Duration, result Result) {
	weight := 0.0
	if result == Served {
		weight = msg.class.weightAt(msg.age(c.now), c.settings.WeightHalves)
	}
	c.slotYield.record(weight, elapsed)
}

// freeSlots is the number of slots that neither this process nor its predecessor or successor uses.
func (c *Controller) freeSlots() int {
	return c.settings.MaxInFlight - c.callsInFlight - c.remoteInFlight
}

// slotReserved holds back a call of low yield when few slots are free: a slow or failing destination may use idle
// slots, but not the last ones, which quick calls to others need.
func (c *Controller) slotReserved(weightPerSecond float64) bool {
	return float64(c.freeSlots()) <= reservedSlotFraction*float64(c.settings.MaxInFlight) &&
		c.slotYield.low(weightPerSecond)
}

// finish ends a message. An attempt in flight is awaited.
func (c *Controller) finish(msg *message) {
	if msg.finished {
		return
	}
	msg.finished = true
	c.openMessages = without(c.openMessages, msg)
	msg.destination.dequeue(msg)
	if msg.sequence != nil {
		msg.sequence.remove(msg)
	}
	c.forgetFinished(msg)
}

// forgetFinished drops a message that is finished and has no attempt in flight.
func (c *Controller) forgetFinished(msg *message) {
	if !msg.finished || msg.inFlight != nil {
		return
	}
	delete(c.messages, msg.ID)
	c.sequences.release(msg.sequence, c.now)
}

// without returns the list less one element, in the same order. It reuses the list's array.
func without[T comparable](list []T, element T) []T {
	for i, x := range list {
		if x == element {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
