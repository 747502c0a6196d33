package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	pollRetryFraction     = 0.1                   // share of the ask period to wait after a failed call
	pollSpreadFraction    = 0.8                   // share of the ask period over which many spread asks at most...
	maxPollJitter         = 43 * time.Second / 10 // ...and this: a tenth more and an answer are under 6 s
	maxPollRetryDelay     = 12 * time.Second / 5  // after a failed call: half more and two answers are, too
	pollIntervalPerSender = 50 * time.Millisecond // what a large fleet leaves discovery for each ask of one of them
)

// recordListAnswer notes that the list answered, or failed to. Where the list answers
// only when asked, a failure may have ended the subscription.
func (c *Controller) recordListAnswer(news ListUpdateKind) {
	if !c.settings.PollsList {
		return
	}
	switch news {
	case ListCached:
		if c.nextPoll = c.now; c.settings.PollSpread() > 0 {
			c.nextPoll += time.Duration(c.rng.Float64() * float64(c.settings.PollSpread()))
		}
	case ListExcluded:
	case ListFailed:
		// Each ask made again puts discovery further behind, which works off those that nobody awaits any more.
		// Connections from before are closed: a drain may be hidden that only new ones would meet.
		if c.listSubscribed, c.listPolling, c.listFailed = false, false, c.usesFleetRate(); c.listFailed {
			c.releaseAll()
		}
		wait := min(maxPollRetryDelay, max(c.settings.PollSpread(),
			time.Duration(pollRetryFraction*float64(c.settings.MaxPollInterval))))
		c.nextPoll = c.now + time.Duration((0.5+c.rng.Float64())*float64(wait))
	default:
		c.listSubscribed, c.listPolling, c.listFailed = true, false, false
	}
}

// PollSpread is the time over which a large fleet spreads asks that would come at one instant; else 0. At any
// size it leaves time to ask before the list counts as told.
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

// pollList subscribes to the list where it answers only when asked.
func (c *Controller) pollList() {
	if c.settings.PollsList && !c.listSubscribed && !c.listPolling && c.now >= c.nextPoll {
		c.listPolling = true
		c.actions.Watch(true)
	}
}

// removeUnlisted takes endpoints that a whole list leaves out for removed.
func (c *Controller) removeUnlisted(list []Endpoint) {
	named := make(map[EndpointID]bool, len(list))
	for _, e := range list {
		named[e.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) { // in order, as it acts
		if !named[id] {
			c.removeEndpoint(c.endpoints[id])
		}
	}
}

// removeEndpoint takes an endpoint off the list. Its idle connections are of no use: who
// comes under its address has another id.
func (c *Controller) removeEndpoint(e *endpoint) {
	if e.State == Removed {
		return
	}
	e.State, e.removedAt = Removed, c.now
	if e.connected && e.callsInFlight == 0 {
		e.connected = false
		c.actions.Disconnect(e.ID)
	}
}

// pruneRemoved forgets endpoints that left long ago: where new ones replace old ones
// all day, what is known of those would grow without end, and each choice would
// look through it. One that comes back within a cold return is known again, so
// that an outage seen before is not forgotten.
func (c *Controller) pruneRemoved() {
	keep := 2*c.settings.WarmUp + c.settings.OverloadWindow + c.settings.DrainGrace
	for id, e := range c.endpoints {
		if e.State != Removed || e.callsInFlight > 0 || c.now-e.removedAt < keep {
			continue
		}
		delete(c.endpoints, id)
		d := e.destination
		d.endpoints = without(d.endpoints, e)
		if len(d.endpoints) == 0 && !d.busy {
			delete(c.destinations, d.id)
		}
	}
}

// updateEndpoint takes one line of the list.
func (c *Controller) updateEndpoint(line Endpoint) {
	e := c.endpoints[line.ID]
	if e == nil {
		if line.State == Removed {
			return
		}
		d := c.destination(line.Destination)
		e = &endpoint{destination: d, route: d.sharedRoute}
		if c.kind(line.Kind).SeparateRoutes {
			e.route = c.newRoute()
		}
		c.endpoints[line.ID] = e
		i := sort.Search(len(d.endpoints), func(i int) bool { return d.endpoints[i].ID > line.ID })
		d.endpoints = append(d.endpoints, nil)
		copy(d.endpoints[i+1:], d.endpoints[i:])
		d.endpoints[i] = e
		e.Endpoint = line
		if c.usesFleetRate() { // many siblings must not all begin with the same one
			e.lastUsedAt = -time.Duration(rand.New(rand.NewPCG(c.settings.Seed, uint64(line.ID))).Int64N(int64(time.Second)))
		}
	}
	line.Destination = e.Destination
	if line.State == Removed {
		c.removeEndpoint(e)
		return
	}
	e.Endpoint = line
}
