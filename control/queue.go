package control

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	reservedSlotFraction = 0.25 // part of the slots kept for calls that bring at least...
	lowYieldFraction     = 0.5  // ...so much of what slots usually bring for their time
	slotYieldWeight      = 0.02 // weight of the latest call in that
)

// A destination is a destination with its two queues.
type destination struct {
	id                  int
	endpoints           []*endpoint
	sharedRoute         *route
	fresh, deferred     []*message
	callsInFlight       int        // calls out
	concurrencyReduced  bool       // a call failed and none was served since
	attempts            []*attempt // attempts out, in order of sending
	consecutiveTimeouts int        // time-outs in a row
	busy                bool       // in Controller.busy
	callTime
	callTimeSamples   int           // that T_m rests on
	lastAnswerAt      time.Duration // the latest answer
	answerGap         time.Duration // usual time between answers while calls are out
	stalledUntil      time.Duration // calls sent before this skip T_m
	arrivals          float64       // arrivals, decayed, for the rate of its traffic
	arrivalsUpdatedAt time.Duration
}

// A message is one message held or out.
type message struct {
	Message
	class        *Class
	destination  *destination
	deadline     time.Duration // when it is given up
	attemptCount int
	inFlight     *attempt
	mayHaveRun   bool          // an attempt may have run
	firstRunAt   time.Duration // when the first such attempt was sent
	firstRunZone int           // and the zone it went to
	finished     bool
	streaming    bool // its streamed answer has started
	sequence     *keySequence
}

// An attempt is one send of a message, until its outcome.
type attempt struct {
	message       *message
	preemptibleAt time.Duration // called off from here on if others want its slot
	canceled      bool
	endpoint      *endpoint
	call          *call
	sentAt        time.Duration
	idleBand      int           // band of the time its connection lay idle
	expectedTime  time.Duration // answered within this if all is well
}

// destination returns the destination with that number.
func (c *Controller) destination(id int) *destination {
	if d := c.destinations[id]; d != nil {
		return d
	}
	d := &destination{id: id, sharedRoute: c.newRoute(), arrivalsUpdatedAt: c.now}
	c.destinations[id] = d
	return d
}

// markBusy puts a destination that has work among the busy ones.
func (c *Controller) markBusy(d *destination) {
	if d.busy {
		return
	}
	d.busy = true
	i := sort.Search(len(c.busy), func(i int) bool { return c.busy[i].id > d.id })
	c.busy = slices.Insert(c.busy, i, d)
}

// trimBusy leaves out of the busy destinations those without messages and calls.
func (c *Controller) trimBusy() {
	c.busy = slices.DeleteFunc(c.busy, func(d *destination) bool {
		d.busy = len(d.fresh)+len(d.deferred)+len(d.attempts) > 0
		return !d.busy
	})
}

// age is the time since the message was first handed in, wherever that was.
func (c *Controller) age(m *message) time.Duration {
	return m.class.Deadline - (m.deadline - c.now)
}

// latestSendTime is the time by which a held message must be on its way: its deadline less the expected call.
func (c *Controller) latestSendTime(m *message) time.Duration {
	return m.deadline - m.destination.mean - c.settings.Tick
}

// expireMessages gives up held messages that can no longer meet their deadline.
func (c *Controller) expireMessages() {
	for i := 0; i < len(c.openMessages); {
		m := c.openMessages[i]
		if m.inFlight == nil && !m.streaming && c.now >= c.latestSendTime(m) {
			c.finishUndelivered(m)
			continue
		}
		i++
	}
}

// runSelection runs rounds of selection while a slot is free: the head worth most for its slot-time goes first.
func (c *Controller) runSelection() {
	for {
		var best *message
		var to *endpoint
		most := 0.0
		for _, d := range c.busy {
			m, e := c.selectionRound(d)
			if m == nil {
				continue
			}
			v := c.weightPerSecond(m)
			if c.joinsCall(e) {
				v = math.Inf(1)
			} else if c.slotReserved(v) {
				continue
			}
			if best == nil || v > most {
				best, to, most = m, e, v
			}
		}
		if best == nil {
			return
		}
		best.destination.fresh = without(best.destination.fresh, best)
		best.destination.deferred = without(best.destination.deferred, best)
		c.send(best, to)
	}
}

// selectionRound is one round of selection for a destination: the message that goes next, and where to, or nil.
func (c *Controller) selectionRound(d *destination) (*message, *endpoint) {
	for {
		m, e := c.queueHead(d, d.fresh)
		if m == nil {
			break
		}
		if c.age(m)+d.mean < m.class.LatencyObjective {
			return m, e
		}
		d.fresh = without(d.fresh, m)
		d.deferred = append(d.deferred, m)
	}
	for {
		m, e := c.queueHead(d, d.deferred)
		if m == nil || c.age(m)+d.mean < m.class.Deadline {
			return m, e
		}
		c.finishUndelivered(m)
	}
}

// queueHead returns the message of a queue that goes first, and where to: of those
// that may go the one worth most when served now, then the longest waiting.
func (c *Controller) queueHead(d *destination, queue []*message) (*message, *endpoint) {
	var best *message
	var to *endpoint
	most := 0.0
	for _, m := range queue {
		v := c.weightAt(m, c.age(m)+d.mean)
		if d.sharedRoute.circuitOpen && m.class.Idempotency == NotIdempotent {
			v = -v // the lone call may be lost: it should be one that can be made again
		}
		if best != nil && v <= most {
			continue
		}
		if e := c.pickEndpoint(d, m); e != nil {
			best, to, most = m, e, v
		}
	}
	return best, to
}

// weightPerSecond is the worth of a message for each second that its call takes.
func (c *Controller) weightPerSecond(m *message) float64 {
	return c.weightAt(m, c.age(m)+m.destination.mean) / max(m.destination.mean, c.settings.Tick,
		time.Millisecond).Seconds()
}

// weightAt is what a message brings when served at that age.
func (c *Controller) weightAt(m *message, age time.Duration) float64 {
	k := m.class
	if age <= k.LatencyObjective {
		return k.PriorityWeight
	}
	if c.settings.WeightHalves {
		return k.PriorityWeight * max(k.LateWeight, math.Exp2(1-float64(age)/float64(max(k.LatencyObjective, 1))))
	}
	late := float64(age-k.LatencyObjective) / float64(max(k.Deadline-k.LatencyObjective, 1))
	return k.PriorityWeight * (1 - (1-k.LateWeight)*min(late, 1))
}

// recordSlotYield follows what the slots bring in for their time.
func (c *Controller) recordSlotYield(m *message, took time.Duration, r Result) {
	c.slotWeight *= 1 - slotYieldWeight
	c.slotSeconds *= 1 - slotYieldWeight
	c.slotSeconds += took.Seconds()
	if r == Served {
		c.slotWeight += c.weightAt(m, c.age(m))
	}
}

// slotReserved holds back a call that brings little for its time when few slots are left: a slow or sick
// destination may use idle slots, but not the last ones that quick calls to others need.
func (c *Controller) slotReserved(density float64) bool {
	free := c.settings.MaxInFlight - c.callsInFlight - c.remoteInFlight
	return float64(free) <= reservedSlotFraction*float64(c.settings.MaxInFlight) && c.slotSeconds > 0 &&
		density < lowYieldFraction*c.slotWeight/c.slotSeconds
}

// finish ends a message; an attempt still out is awaited.
func (c *Controller) finish(m *message) {
	if m.finished {
		return
	}
	m.finished = true
	c.openMessages = without(c.openMessages, m)
	m.destination.fresh = without(m.destination.fresh, m)
	m.destination.deferred = without(m.destination.deferred, m)
	if m.sequence != nil {
		m.sequence.queue = without(m.sequence.queue, m)
	}
	c.forgetFinished(m)
}

// forgetFinished drops a message that is over and has no attempt out.
func (c *Controller) forgetFinished(m *message) {
	if !m.finished || m.inFlight != nil {
		return
	}
	delete(c.messages, m.ID)
	if m.sequence != nil {
		c.idleSequences = append(c.idleSequences, m.sequence)
	}
	for len(c.idleSequences) > 0 && (c.now >= c.idleSequences[0].pausedUntil || !c.idleSequences[0].unused()) {
		if t := c.idleSequences[0]; t.unused() && c.sequences[t.key] == t {
			delete(c.sequences, t.key)
		}
		c.idleSequences = c.idleSequences[1:]
	}
}

// without returns the list less one element, in the same order.
func without[T comparable](list []T, m T) []T {
	for i, x := range list {
		if x == m {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
