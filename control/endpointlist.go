package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// An update of the endpoint list counts as notified 6 s after discovery could be reached. maxPollJitter keeps the
// spread of polls, exceeded by up to a tenth, plus one answer within that time. maxPollRetryDelay does the same for the
// delay after a failed poll, exceeded by up to a half, plus two answers.
const (
	pollIntervalPerSender = 50 * time.Millisecond // a large fleet leaves discovery this much time per poll
	pollSpreadFraction    = 0.8                   // polls are spread over at most this fraction of MaxPollInterval...
	maxPollJitter         = 43 * time.Second / 10 // ...and this time
	pollRetryFraction     = 0.1                   // fraction of MaxPollInterval between a failed poll and the next one
	maxPollRetryDelay     = 12 * time.Second / 5  // maximum of this delay
)

// A listPoller tracks the polls of an endpoint list and the subscription that a successful poll starts.
type listPoller struct {
	subscribed bool
	polling    bool // a poll is in progress
	failed     bool // the latest poll failed, in a large fleet
	nextPoll   time.Duration
}

// due reports whether it is time for the next poll.
func (p *listPoller) due(now time.Duration) bool { return p.idle() && now >= p.nextPoll }

// idle reports whether there is neither a subscription nor a poll in progress.
func (p *listPoller) idle() bool { return !p.subscribed && !p.polling }

// recordAnswer records that a poll was answered, which starts the subscription.
func (p *listPoller) recordAnswer() { p.subscribed, p.polling, p.failed = true, false, false }

// recordFailure records that a poll failed or that the subscription was lost.
func (p *listPoller) recordFailure(largeFleet bool) {
	p.subscribed, p.polling, p.failed = false, false, largeFleet
}

// PollSpread returns the time over which a large fleet spreads polls that would otherwise be simultaneous, and 0 for a
// small fleet. For every fleet size it leaves enough time to poll before MaxPollInterval is over.
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

// pollRetryDelay returns the mean time between a failed poll and the next one. Each repeated poll increases the backlog
// of discovery, which also processes the polls that have already timed out.
func (s *Settings) pollRetryDelay() time.Duration {
	return min(maxPollRetryDelay, max(s.PollSpread(), time.Duration(pollRetryFraction*float64(s.MaxPollInterval))))
}

// recordListAnswer updates the poller by the kind of a list update, if the list has to be polled.
func (c *Controller) recordListAnswer(kind ListUpdateKind) {
	if !c.settings.PollEndpointList {
		return
	}
	switch kind {
	case ListExcluded: // unrelated to polls
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

// pollList starts a poll if the list has to be polled and the next poll is due.
func (c *Controller) pollList() {
	if c.settings.PollEndpointList && c.list.due(c.now) {
		c.list.polling = true
		c.actions.WatchEndpoints(true)
	}
}

// updateEndpoint applies an entry of the endpoint list.
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

// addEndpoint adds an endpoint to its destination, whose endpoints stay ordered by id.
func (c *Controller) addEndpoint(entry Endpoint) {
	dest := c.destination(entry.Destination)
	added := &endpoint{Endpoint: entry, destination: dest, route: dest.sharedRoute}
	if c.settings.kind(entry.Kind).SeparateRoutes {
		added.route = c.newRoute()
	}
	if c.settings.usesFleetRate() { // the senders of a fleet must not all start with the same endpoint
		order := rand.New(rand.NewPCG(c.settings.Seed, uint64(entry.ID)))
		added.lastUsedAt = -time.Duration(order.Int64N(int64(time.Second)))
	}
	c.endpoints[entry.ID] = added
	i := sort.Search(len(dest.endpoints), func(i int) bool { return dest.endpoints[i].ID > entry.ID })
	dest.endpoints = slices.Insert(dest.endpoints, i, added)
}

// removeUnlisted removes the endpoints that are missing from a complete list.
func (c *Controller) removeUnlisted(list []Endpoint) {
	listed := make(map[EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // sorted, as the order of actions must be deterministic
		if !listed[id] {
			c.removeEndpoint(c.endpoints[id])
		}
	}
}

// removeEndpoint marks an endpoint as removed. It closes the endpoint's idle connections, as the next endpoint at the
// same address will have another id.
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

// pruneRemoved deletes endpoints that were removed long ago. Otherwise their number would grow without bound where new
// endpoints keep replacing old ones. The retention time covers an outage and a slow start, so that an endpoint that is
// listed again within it keeps its failure state.
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
