package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	pollIntervalPerSender = 50 * time.Millisecond // a large fleet leaves discovery this time for each poll
	pollSpreadFraction    = 0.8                   // polls are spread over this part of MaxPollInterval at most...
	maxPollJitter         = 43 * time.Second / 10 // ...and this: a tenth more and an answer are within 6 s
	pollRetryFraction     = 0.1                   // part of MaxPollInterval to wait after a failed poll
	maxPollRetryDelay     = 12 * time.Second / 5  // and at most: half more and two answers are within 6 s
)

// A listPoller follows the subscription to an endpoint list that answers only when polled.
type listPoller struct {
	subscribed bool
	polling    bool // a poll is under way
	failed     bool // the latest poll failed, in a large fleet
	nextPoll   time.Duration
}

// due reports whether the next poll is due.
func (p *listPoller) due(now time.Duration) bool { return p.idle() && now >= p.nextPoll }

// idle reports whether there is neither a subscription nor a poll.
func (p *listPoller) idle() bool { return !p.subscribed && !p.polling }

// recordAnswer takes that the list recordAnswer.
func (p *listPoller) recordAnswer() { p.subscribed, p.polling, p.failed = true, false, false }

// recordFailure takes that a poll failed or the subscription broke.
func (p *listPoller) recordFailure(largeFleet bool) {
	p.subscribed, p.polling, p.failed = false, false, largeFleet
}

// PollSpread is the time over which a large fleet spreads polls that would come at one instant; else 0. At any fleet
// size it leaves time to poll before MaxPollInterval is over.
func (s *Settings) PollSpread() time.Duration {
	if !s.largeFleet() {
		return 0
	}
	spread := min(maxPollJitter, time.Duration(s.FleetSize)*pollIntervalPerSender)
	if s.MaxPollInterval > 0 {
		spread = min(spread, time.Duration(pollSpreadFraction*float64(s.MaxPollInterval)))
	}
	return spread
}

// pollRetryDelay is the mean time between a failed poll and the next one. Each poll that is repeated puts discovery
// further behind, as it also works off those that nobody waits for any more.
func (s *Settings) pollRetryDelay() time.Duration {
	return min(maxPollRetryDelay, max(s.PollSpread(), time.Duration(pollRetryFraction*float64(s.MaxPollInterval))))
}

// recordListAnswer takes whether the list answered, where it answers only when polled.
func (c *Controller) recordListAnswer(kind ListUpdateKind) {
	if !c.settings.PollsList {
		return
	}
	switch kind {
	case ListExcluded: // says nothing of the list
	case ListCached:
		if c.list.nextPoll = c.now; c.settings.PollSpread() > 0 {
			c.list.nextPoll += time.Duration(c.rng.Float64() * float64(c.settings.PollSpread()))
		}
	case ListFailed:
		c.list.recordFailure(c.settings.usesFleetRate())
		if c.list.failed {
			c.markAllReleased()
		}
		c.list.nextPoll = c.now + time.Duration((0.5+c.rng.Float64())*float64(c.settings.pollRetryDelay()))
	default:
		c.list.recordAnswer()
	}
}

// pollList subscribes to the list when a poll is due, where it answers only when polled.
func (c *Controller) pollList() {
	if c.settings.PollsList && c.list.due(c.now) {
		c.list.polling = true
		c.actions.Watch(true)
	}
}

// updateEndpoint takes one line of the list.
func (c *Controller) updateEndpoint(entry Endpoint) {
	known := c.endpoints[entry.ID]
	switch {
	case known == nil && entry.State == Removed:
	case known == nil:
		c.addEndpoint(entry)
	case entry.State == Removed:
		c.removeEndpoint(known)
	default:
		entry.Destination = known.Destination // an endpoint never changes its destination
		known.Endpoint = entry
	}
}

// addEndpoint adds an endpoint to its destination, in order of id.
func (c *Controller) addEndpoint(entry Endpoint) {
	dest := c.destination(entry.Destination)
	added := &endpoint{Endpoint: entry, destination: dest, route: dest.sharedRoute}
	if c.settings.kind(entry.Kind).SeparateRoutes {
		added.route = c.newRoute()
	}
	if c.settings.usesFleetRate() { // the fleet must not begin with the same one
		order := rand.New(rand.NewPCG(c.settings.Seed, uint64(entry.ID)))
		added.lastUsedAt = -time.Duration(order.Int64N(int64(time.Second)))
	}
	c.endpoints[entry.ID] = added
	i := sort.Search(len(dest.endpoints), func(i int) bool { return dest.endpoints[i].ID > entry.ID })
	dest.endpoints = slices.Insert(dest.endpoints, i, added)
}

// removeUnlisted removes the endpoints that a complete list leaves out.
func (c *Controller) removeUnlisted(list []Endpoint) {
	listed := make(map[EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // in order, as it decides the order of actions
		if !listed[id] {
			c.removeEndpoint(c.endpoints[id])
		}
	}
}

// removeEndpoint takes an endpoint off the list. Its idle connections are closed, as the next endpoint at its address
// has another id.
func (c *Controller) removeEndpoint(endpoint *endpoint) {
	if endpoint.State == Removed {
		return
	}
	endpoint.State, endpoint.removedAt = Removed, c.now
	if endpoint.connected && endpoint.callsInFlight == 0 {
		endpoint.connected = false
		c.actions.Disconnect(endpoint.ID)
	}
}

// pruneRemoved forgets endpoints that were removed long ago, or their number would grow without end where new ones
// replace old ones all day. One that is listed again within an outage and a slow start is known with its failures.
func (c *Controller) pruneRemoved() {
	retention := 2*c.settings.WarmUp + c.settings.OverloadWindow + c.settings.DrainGrace
	for id, e := range c.endpoints {
		if e.State != Removed || e.callsInFlight > 0 || c.now-e.removedAt < retention {
			continue
		}
		delete(c.endpoints, id)
		dest := e.destination
		dest.endpoints = without(dest.endpoints, e)
		if len(dest.endpoints) == 0 && !dest.busy {
			delete(c.destinations, dest.id)
		}
	}
}
