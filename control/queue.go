package control

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	reservedSlotFraction = 0.25 // fraction of the slots that calls with a low yield may not use
	lowYieldFraction     = 0.5  // a yield below this fraction of the average is low
	slotYieldWeight      = 0.02 // weight of the latest call in the average yield
)

// A destination holds the two queues of a destination and the state derived from its calls.
type destination struct {
	id                  int
	endpoints           []*endpoint // listed and recently removed ones, ordered by id
	sharedRoute         *route      // route of the endpoints that have no separate one
	fresh               []*message  // may still meet their latency objective
	deferred            []*message  // may only meet their deadline
	attempts            []*attempt  // in flight, in sending order
	callsInFlight       int
	busy                bool // contained in Controller.busy
	concurrencyReduced  bool // a call failed and none has been served since
	consecutiveTimeouts int
	callTime            callTime
	callTimeSamples     int // number of its own served calls in callTime
	stalls              stallDetector
	traffic             trafficRate
}

// A message is a submitted message that is open or has an attempt in flight.
type message struct {
	Message
	class        *Class
	destination  *destination
	deadline     time.Duration
	attempts     int
	inFlight     *attempt
	mayHaveRun   bool          // an attempt may have taken effect
	firstRunAt   time.Duration // send time of the first such attempt
	firstRunZone int           // zone of that attempt's endpoint
	finished     bool          // its client has been answered or has abandoned it
	streaming    bool          // its streamed response has started
	sendAlone    bool          // it joins no call with other messages
	sequence     *keySequence  // sequence of its key; nil = not ordered
}

// An attempt is a single send of a message. It is kept until its outcome.
type attempt struct {
	message       *message
	endpoint      *endpoint
	call          *call
	sentAt        time.Duration
	idleBand      int           // idle band of the connection before the call
	expectedTime  time.Duration // a healthy destination answers within this
	preemptibleAt time.Duration // from then on it may be canceled to free its slot
	canceled      bool
}

// A slotYield tracks the average priority weight that calls gain per second of slot time.
type slotYield struct {
	weight  float64 // decayed sum
	seconds float64 // decayed sum
}

// record adds a call that held a slot for elapsed and gained weight.
func (y *slotYield) record(weight float64, elapsed time.Duration) {
	y.weight *= 1 - slotYieldWeight
	y.seconds *= 1 - slotYieldWeight
	y.seconds += elapsed.Seconds()
	y.weight += weight
}

// low reports whether a call that gains weightPerSecond for its slot is far below the average yield.
func (y *slotYield) low(weightPerSecond float64) bool {
	return y.seconds > 0 && weightPerSecond < lowYieldFraction*y.weight/y.seconds
}

// weightAt returns the weight that a message of the class gains when it is served at the given age. Past the latency
// objective the weight falls linearly to the LateWeight fraction at the deadline. With halving it halves with each
// further latency objective instead, down to that fraction.
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

// age returns the time since the message was first submitted, whichever sender accepted it.
func (msg *message) age(now time.Duration) time.Duration {
	return msg.class.Deadline - (msg.deadline - now)
}

// waiting reports whether the message neither has an attempt in flight nor is being streamed to its client.
func (msg *message) waiting() bool { return msg.inFlight == nil && !msg.streaming }

// latestSendTime returns the time by which a waiting message must be sent to meet its deadline.
func (c *Controller) latestSendTime(msg *message) time.Duration {
	return msg.deadline - msg.destination.callTime.mean - c.settings.Tick
}

// hasWaiting reports whether either queue holds a message.
func (d *destination) hasWaiting() bool { return len(d.fresh)+len(d.deferred) > 0 }

// dequeue removes a message from the queue that holds it.
func (d *destination) dequeue(msg *message) {
	d.fresh = without(d.fresh, msg)
	d.deferred = without(d.deferred, msg)
}

// destination returns the destination with the given id, which it adds if necessary.
func (c *Controller) destination(id int) *destination {
	if dest := c.destinations[id]; dest != nil {
		return dest
	}
	dest := &destination{id: id, sharedRoute: c.newRoute(), traffic: trafficRate{updatedAt: c.now}}
	c.destinations[id] = dest
	return dest
}

// markBusy adds a destination that has work to c.busy. Decisions visit only these destinations.
func (c *Controller) markBusy(dest *destination) {
	if dest.busy {
		return
	}
	dest.busy = true
	i := sort.Search(len(c.busy), func(i int) bool { return c.busy[i].id > dest.id })
	c.busy = slices.Insert(c.busy, i, dest)
}

// trimBusy removes destinations without waiting messages and attempts from c.busy.
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
			c.finishUndelivered(msg) // removes it from openMessages
			continue
		}
		i++
	}
}

// runSelection sends messages until no busy destination selects one that may take a slot. Of the messages that the
// destinations' selection rounds return, it first sends the one with the highest weight per second of slot time.
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
			if c.canJoinCall(msg, endpoint) {
				value = math.Inf(1) // needs no further slot
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

// selectionRound performs the paper's selection round for a destination. It returns the message to send next and its
// endpoint, or nil. It defers a head of the fresh queue that would miss its latency objective, and finishes a head of
// the deferred queue that would miss its deadline.
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

// queueHead returns the first message of a queue and its endpoint, or nil: of the messages that may be sent, the one
// that gains the most weight if it is sent now, and among equal ones the first in the queue.
func (c *Controller) queueHead(dest *destination, queue []*message) (*message, *endpoint) {
	var best *message
	var bestEndpoint *endpoint
	maxWeight := 0.0
	for _, msg := range queue {
		weight := msg.weightWhenServed(c.now, c.settings.ExponentialWeightDecay)
		if dest.sharedRoute.breaker.open && msg.class.Idempotency == NotIdempotent {
			weight = -weight // a trial call may be lost, so prefer a message that may be retried
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

// weightWhenServed returns the weight that a message gains if it is sent now and served after the mean call time.
func (msg *message) weightWhenServed(now time.Duration, halving bool) float64 {
	return msg.class.weightAt(msg.age(now)+msg.destination.callTime.mean, halving)
}

// weightPerSecond returns the weight that a message gains per second of slot time.
func (c *Controller) weightPerSecond(msg *message) float64 {
	slotTime := max(msg.destination.callTime.mean, c.settings.Tick, time.Millisecond)
	return msg.weightWhenServed(c.now, c.settings.ExponentialWeightDecay) / slotTime.Seconds()
}

// recordSlotYield records the weight that an attempt gained in its slot time.
func (c *Controller) recordSlotYield(msg *message, elapsed time.Duration, result Result) {
	weight := 0.0
	if result == Served {
		weight = msg.class.weightAt(msg.age(c.now), c.settings.ExponentialWeightDecay)
	}
	c.slotYield.record(weight, elapsed)
}

// freeSlots returns the number of slots that neither this process nor its predecessor or successor uses.
func (c *Controller) freeSlots() int {
	return c.settings.MaxInFlight - c.callsInFlight - c.remoteInFlight
}

// slotReserved reports whether the remaining free slots are reserved against a call with this yield. A slow or failing
// destination, whose yield is low, may use spare slots but not the last ones, which fast calls to others need.
func (c *Controller) slotReserved(weightPerSecond float64) bool {
	return float64(c.freeSlots()) <= reservedSlotFraction*float64(c.settings.MaxInFlight) &&
		c.slotYield.low(weightPerSecond)
}

// finish marks a message as finished. An attempt in flight keeps its slot until its outcome.
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

// without removes the first occurrence of an element from a list, in place, and returns the shortened list.
func without[T comparable](list []T, element T) []T {
	for i, x := range list {
		if x == element {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
