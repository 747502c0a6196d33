// Package redelivery decides when dead letters may be sent again, and to which partner. It does no I/O, takes the
// time as a parameter and makes the same decisions from the same events.
//
// The controller still decides about each message; this package only limits how many reach it. All senders of a fleet
// may redeliver to a partner that is warming up at the same time. The rate for a partner is therefore this sender's
// fair share of its capacity, less the live traffic, times a level that rises slowly from the cold capacity of the
// settings while calls are served. A rejection, a Retry-After or a failure stops redelivery to the partner; a single
// trial follows the pause.
package redelivery

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits are the settings of a planner.
type Limits struct {
	FleetSize      int           // senders that may redeliver at the same time, this one included
	ColdCapacity   float64       // fraction of its capacity that a partner has after an outage...
	WarmUp         time.Duration // ...and the time until it has all of it
	OverloadFactor float64       // a partner that is sent this multiple of its present capacity...
	OverloadWindow time.Duration // ...for this long fails again
	CapacityShare  float64       // fraction of a partner's capacity that redeliveries may use
	MaxInFlight    int           // redeliveries in flight
}

// Result is how a call to a partner ended.
type Result uint8

// The results.
const (
	Served   Result = iota
	Rejected        // with or without a Retry-After
	Failed          // any other failure
	NotSent         // says nothing of the partner
)

// Load is how busy this sender is: calls in flight and open messages, with their bounds. A bound of 0 messages means
// none.
type Load struct{ MaxInFlight, InFlight, MaxOpenMessages, Open int }

const (
	initialBackoffWindows = 2 // overload windows of pause after the first outage...
	maxBackoffDoublings   = 5 // ...doubled this often at most
	// one part in this many of the calls in flight stays free of redeliveries
	reservedFraction   = 4
	maxOpenFraction    = 2                      // no redelivery once open messages times this reach their bound
	minGuessedCapacity = 0.5                    // calls a second to a partner of unknown capacity, at full level
	maxGuessedCapacity = 50.0                   // calls a second, up to which the guess grows as calls are served
	bucketDepth        = 250 * time.Millisecond // of the token bucket
	maxInFlightWindow  = time.Second            // redeliveries in flight are bounded by the rate times this
	liveRateWindow     = 2 * time.Second        // time constant of the rate of live calls
	backoffFactor      = 0.5                    // a rejection between served calls multiplies the level by this
	notAdmittedBackoff = 200 * time.Millisecond // after a redelivery that the loop did not admit
	partnerTTL         = 10 * time.Minute       // a partner without calls is forgotten after this
)

// Planner plans the redeliveries of one sender. It is not safe for concurrent use.
type Planner struct {
	limits       Limits
	rng          *rand.Rand
	partners     map[int]*partnerState
	inFlight     int
	lastGranted  int // the destination of the latest grant
	backoffUntil time.Duration
}

// New returns a planner. Each partner counts as warming up at first: it has dead letters because it failed. The seed
// is for random draws.
func New(l Limits, seed uint64) *Planner {
	p := &Planner{rng: rand.New(rand.NewPCG(seed, 7)), partners: map[int]*partnerState{}, lastGranted: math.MinInt}
	p.SetLimits(l)
	return p
}

// SetLimits changes the limits; what is known of partners stays. Values out of range are replaced by the nearest that
// make sense.
func (p *Planner) SetLimits(l Limits) {
	l.FleetSize, l.MaxInFlight = max(1, l.FleetSize), max(1, l.MaxInFlight)
	if l.ColdCapacity <= 0 || l.ColdCapacity > 1 {
		l.ColdCapacity = 0.1
	}
	if l.OverloadWindow <= 0 {
		l.OverloadWindow = 2 * time.Second
	}
	p.limits = l
}

// state returns the state of a destination and creates it on first use.
func (p *Planner) state(now time.Duration, dest int) *partnerState {
	partner := p.partners[dest]
	if partner == nil {
		partner = &partnerState{
			guessedCapacity: minGuessedCapacity, level: p.limits.ColdCapacity, levelSetAt: now, tokensSetAt: now,
			tokens: p.rng.Float64(), trial: true, servedAt: -1, failingSince: -1, ready: true,
		}
		p.partners[dest] = partner
	}
	partner.lastUsed = now
	return partner
}

// CapacityChanged sets the capacity of a destination in calls a second from all senders (0: unknown), and whether one
// of its endpoints accepts new work.
func (p *Planner) CapacityChanged(now time.Duration, dest int, capacity float64, ready bool) {
	partner := p.state(now, dest)
	partner.capacity, partner.ready = max(0, capacity), ready
}

// CallEnded learns from the end of a call, of live traffic or of a redelivery.
func (p *Planner) CallEnded(now time.Duration, dest int, r Result, retryAfter time.Duration, redelivery bool) {
	partner := p.state(now, dest)
	if r == NotSent && retryAfter <= 0 {
		return
	}
	if !redelivery {
		partner.liveCalls = partner.liveCalls*math.Exp(-float64(now-partner.liveCallsAt)/float64(liveRateWindow)) + 1
		partner.liveCallsAt = now
	}
	partner.lastResult, partner.hasResult = r, true
	if r == Served && retryAfter <= 0 {
		p.callServed(now, partner, redelivery)
		return
	}
	p.callFailed(now, partner, r, retryAfter)
}

// callServed raises the level with time, but only while calls are served.
func (p *Planner) callServed(now time.Duration, partner *partnerState, redelivery bool) {
	partner.servedAt, partner.failingSince = now, -1
	if now < partner.backoffUntil {
		return // the call was sent before the failure and says nothing of it
	}
	if partner.trial && (redelivery || partner.consecutiveOutages == 0) {
		partner.trial = false
		partner.levelSetAt, partner.tokensSetAt = now, now
	}
	if partner.trial {
		return
	}
	partner.consecutiveOutages = 0
	if p.limits.WarmUp > 0 {
		step := min(now-partner.levelSetAt, p.limits.WarmUp/4) // longer times without answers do not count
		partner.level = min(1, partner.level+(1-p.limits.ColdCapacity)*float64(step)/float64(p.limits.WarmUp))
	} else {
		partner.level = 1
	}
	partner.levelSetAt = now
	if redelivery && partner.capacity <= 0 {
		partner.guessedCapacity = min(maxGuessedCapacity, partner.guessedCapacity*1.05)
	}
}

// callFailed pauses redelivery to a partner. A rejection between served calls means that a limit was exceeded, which
// halves the level. Anything else counts as an outage, after which the partner is warming up.
func (p *Planner) callFailed(now time.Duration, partner *partnerState, r Result, retryAfter time.Duration) {
	if partner.failingSince < 0 {
		partner.failingSince = now
	}
	partner.retryAfter = max(partner.retryAfter, now+retryAfter)
	limited := r == Rejected && retryAfter < p.limits.OverloadWindow && partner.servedAt >= 0 &&
		now-partner.servedAt < p.limits.OverloadWindow
	if now < partner.backoffUntil { // the call was sent before the pause: it may extend a Retry-After, not the pause
		partner.backoffUntil = max(partner.backoffUntil, partner.retryAfter)
		return
	}
	backoff := p.limits.OverloadWindow * initialBackoffWindows << min(partner.consecutiveOutages, maxBackoffDoublings)
	if limited {
		backoff = p.limits.OverloadWindow / 2
		partner.level = max(p.limits.ColdCapacity*backoffFactor, partner.level*backoffFactor)
	} else {
		partner.consecutiveOutages++
		partner.level, partner.trial = p.limits.ColdCapacity, true
		partner.guessedCapacity = max(minGuessedCapacity, partner.guessedCapacity*backoffFactor)
	}
	partner.backoffUntil = max(partner.retryAfter, now+time.Duration((0.75+p.rng.Float64()/2)*float64(backoff)))
	partner.tokens, partner.levelSetAt, partner.tokensSetAt = 0, partner.backoffUntil, partner.backoffUntil
}

// RedeliveryEnded ends a grant, whatever came of the redelivery. One that the loop did not admit says that this
// sender is busy; it says nothing of the partner.
func (p *Planner) RedeliveryEnded(now time.Duration, dest int, admitted bool) {
	partner := p.state(now, dest)
	partner.inFlight, p.inFlight = max(0, partner.inFlight-1), max(0, p.inFlight-1)
	if !admitted {
		partner.tokens = min(partner.tokens+1, 1)
		p.backoffUntil = max(p.backoffUntil, now+notAdmittedBackoff)
	}
}

// rate returns the current rate of redelivery to a partner, in messages a second.
func (p *Planner) rate(now time.Duration, partner *partnerState) float64 {
	share := partner.guessedCapacity
	if partner.capacity > 0 {
		share = partner.capacity / float64(p.limits.FleetSize)
	}
	live := partner.liveCalls * math.Exp(-float64(now-partner.liveCallsAt)/float64(liveRateWindow)) /
		liveRateWindow.Seconds()
	free := share*partner.level - live
	return max(0, min(free, p.limits.CapacityShare*share*partner.level))
}

// refill fills the token bucket of a partner and returns the rate.
func (p *Planner) refill(now time.Duration, partner *partnerState) float64 {
	rate := p.rate(now, partner)
	if now > partner.tokensSetAt {
		partner.tokens = min(max(1, rate*bucketDepth.Seconds()), partner.tokens+rate*(now-partner.tokensSetAt).Seconds())
		partner.tokensSetAt = now
	}
	return rate
}

// canSend reports whether a partner may be sent one more message now.
func (p *Planner) canSend(now time.Duration, partner *partnerState) bool {
	if !partner.ready || now < partner.backoffUntil {
		return false
	}
	rate := p.refill(now, partner)
	if partner.trial {
		return partner.inFlight == 0
	}
	return partner.tokens >= 1 && partner.inFlight < max(1, int(math.Ceil(rate*maxInFlightWindow.Seconds())))
}

// Grant returns the destinations, of those with messages ready, to which one message each may be sent. They take
// turns, so that many messages for one do not delay those for others. A grant counts as in flight until
// RedeliveryEnded. The list is in any order, without duplicates.
func (p *Planner) Grant(now time.Duration, ready []int, load Load) []int {
	if now < p.backoffUntil || load.MaxOpenMessages > 0 && maxOpenFraction*load.Open >= load.MaxOpenMessages {
		return nil
	}
	free := min(p.limits.MaxInFlight-p.inFlight, load.MaxInFlight-load.MaxInFlight/reservedFraction-load.InFlight)
	if free <= 0 || len(ready) == 0 {
		return nil
	}
	order := slices.Sorted(slices.Values(ready))
	first, _ := slices.BinarySearch(order, p.lastGranted+1)
	order = append(order[first:], order[:first]...)
	var grants []int
	for _, dest := range order {
		if len(grants) >= free {
			break
		}
		partner := p.state(now, dest)
		if !p.canSend(now, partner) {
			continue
		}
		partner.tokens--
		partner.inFlight++
		p.inFlight++
		p.lastGranted = dest
		grants = append(grants, dest)
	}
	return grants
}

// NextTenant returns the tenant whose message goes next to a destination: each in turn.
func (p *Planner) NextTenant(now time.Duration, dest int, tenants []string) string {
	partner := p.state(now, dest)
	order := slices.Sorted(slices.Values(tenants))
	i, found := slices.BinarySearch(order, partner.lastTenant)
	if found {
		i++
	}
	if len(order) > 0 {
		partner.lastTenant = order[i%len(order)]
	}
	return partner.lastTenant
}

// PartnerStatus is what rules see of a partner.
type PartnerStatus struct {
	InFlight    int
	HasResult   bool
	LastResult  Result
	FailingFor  time.Duration // since the first of the consecutive failed calls; 0: the last call was served
	SinceServed time.Duration // since the last served call; below 0: there was none
	RetryAfter  time.Duration
}

// Status returns what is known of a destination.
func (p *Planner) Status(now time.Duration, dest int) PartnerStatus {
	partner := p.partners[dest]
	if partner == nil {
		return PartnerStatus{SinceServed: -1}
	}
	status := PartnerStatus{
		InFlight: partner.inFlight, HasResult: partner.hasResult, LastResult: partner.lastResult, SinceServed: -1,
		RetryAfter: max(0, partner.retryAfter-now),
	}
	if partner.failingSince >= 0 {
		status.FailingFor = max(1, now-partner.failingSince)
	}
	if partner.servedAt >= 0 {
		status.SinceServed = now - partner.servedAt
	}
	return status
}

// NextGrant returns the time at which Grant should be called again if nothing happens before. It is later than now.
func (p *Planner) NextGrant(now time.Duration, ready []int) time.Duration {
	const soonest, latest = 10 * time.Millisecond, time.Second
	next := now + latest
	for _, dest := range ready {
		partner := p.partners[dest]
		switch {
		case partner == nil:
			return now + soonest
		case now < partner.backoffUntil:
			next = min(next, partner.backoffUntil)
		case partner.tokens < 1:
			if rate := p.rate(now, partner); rate > 0 {
				next = min(next, now+time.Duration((1-partner.tokens)/rate*float64(time.Second)))
			}
		default:
			next = min(next, now+5*soonest)
		}
	}
	return max(next, now+soonest, min(p.backoffUntil, now+latest))
}

// Prune forgets partners without calls for long.
func (p *Planner) Prune(now time.Duration) {
	for dest, partner := range p.partners {
		if partner.inFlight == 0 && now-partner.lastUsed > partnerTTL && now > partner.backoffUntil {
			delete(p.partners, dest)
		}
	}
}
