// Package redelivery decides when dead letters may be redelivered and to which partner. It does no I/O, takes the time
// as a parameter and is deterministic: the same events lead to the same decisions.
//
// The controller still decides about each message; this package only limits how many messages reach it. All senders of
// a fleet may redeliver at the same time to a partner that is warming up. The rate for a partner is therefore limited
// to this sender's share of the partner's capacity, times a level, less the live traffic. The level rises slowly from
// the cold capacity of the settings while calls are served. A rejection, a Retry-After or a failure pauses redelivery
// to the partner. The pause after an outage is followed by a single trial.
package redelivery

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits contains the settings of a planner.
type Limits struct {
	FleetSize      int           // number of senders that may redeliver at the same time, including this one
	ColdCapacity   float64       // fraction of its capacity that a partner has after an outage
	WarmUp         time.Duration // time until the partner has its full capacity again
	OverloadFactor float64       // a partner fails again if it is sent this multiple of its current capacity
	OverloadWindow time.Duration // how long OverloadFactor must be exceeded for this
	CapacityShare  float64       // fraction of a partner's capacity that redeliveries may use
	MaxInFlight    int           // maximum number of redeliveries in flight
}

// Result is the result of a call to a partner.
type Result uint8

// The results of a call.
const (
	Served   Result = iota
	Rejected        // with or without a Retry-After
	Failed          // any other failure
	NotSent         // says nothing about the partner
)

// Load is the load of this sender: the calls in flight and open messages, with their limits. MaxOpenMessages is 0 if
// the number of open messages is not limited.
type Load struct{ MaxInFlight, InFlight, MaxOpenMessages, Open int }

const (
	initialBackoffWindows = 2                      // backoff after the first outage, in overload windows
	maxBackoffDoublings   = 5                      // maximum number of times that the backoff is doubled
	reservedFraction      = 4                      // one in this many call slots is reserved for live traffic
	maxOpenFraction       = 2                      // no redelivery once open messages reach their limit divided by this
	minGuessedCapacity    = 0.5                    // initial and lowest guess of an unknown capacity, in calls per second
	maxGuessedCapacity    = 50.0                   // highest guess; the guess grows while redeliveries are served
	bucketDepth           = 250 * time.Millisecond // the token bucket holds the tokens of this period
	maxInFlightWindow     = time.Second            // redeliveries in flight are limited to the rate times this
	liveRateWindow        = 2 * time.Second        // time constant of the decay of the live call rate
	backoffFactor         = 0.5                    // factor for the level after an exceeded limit
	notAdmittedBackoff    = 200 * time.Millisecond // pause after a redelivery that the event loop did not admit
	partnerTTL            = 10 * time.Minute       // the state of a partner without calls is removed after this
)

// Planner schedules the redeliveries of one sender. It is not safe for concurrent use.
type Planner struct {
	limits       Limits
	rng          *rand.Rand
	partners     map[int]*partnerState
	inFlight     int
	lastGranted  int // destination of the latest grant
	backoffUntil time.Duration
}

// New returns a planner. Each partner is initially assumed to be warming up, since it has dead letters because it
// failed. The seed initializes the random number generator.
func New(l Limits, seed uint64) *Planner {
	p := &Planner{rng: rand.New(rand.NewPCG(seed, 7)), partners: map[int]*partnerState{}, lastGranted: math.MinInt}
	p.SetLimits(l)
	return p
}

// SetLimits changes the limits and keeps the state of the partners. Invalid values are replaced by valid ones.
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

// CapacityChanged sets the capacity of a destination in calls per second from all senders (0: unknown), and whether at
// least one of its endpoints accepts new work.
func (p *Planner) CapacityChanged(now time.Duration, dest int, capacity float64, ready bool) {
	partner := p.state(now, dest)
	partner.capacity, partner.ready = max(0, capacity), ready
}

// CallEnded updates the state of a destination with the result of a call, of live traffic or of a redelivery.
func (p *Planner) CallEnded(now time.Duration, dest int, result Result, retryAfter time.Duration, redelivery bool) {
	partner := p.state(now, dest)
	if result == NotSent && retryAfter <= 0 {
		return
	}
	if !redelivery {
		partner.liveCalls = partner.liveCalls*math.Exp(-float64(now-partner.liveCallsAt)/float64(liveRateWindow)) + 1
		partner.liveCallsAt = now
	}
	partner.lastResult, partner.hasResult = result, true
	if result == Served && retryAfter <= 0 {
		p.callServed(now, partner, redelivery)
		return
	}
	p.callFailed(now, partner, result, retryAfter)
}

// callServed raises the level of a partner with the time during which calls are served. The level does not rise while a
// trial is pending; after an outage, only a served redelivery ends the trial.
func (p *Planner) callServed(now time.Duration, partner *partnerState, redelivery bool) {
	partner.servedAt, partner.failingSince = now, -1
	if now < partner.backoffUntil {
		return // the call was sent before the failure, so it does not show that the partner has recovered
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
		step := min(now-partner.levelSetAt, p.limits.WarmUp/4) // the part of a gap beyond this does not count
		partner.level = min(1, partner.level+(1-p.limits.ColdCapacity)*float64(step)/float64(p.limits.WarmUp))
	} else {
		partner.level = 1
	}
	partner.levelSetAt = now
	if redelivery && partner.capacity <= 0 {
		partner.guessedCapacity = min(maxGuessedCapacity, partner.guessedCapacity*1.05)
	}
}

// callFailed pauses redelivery to a partner. A rejection shortly after a served call means that a limit was exceeded;
// it halves the level. Any other failure counts as an outage, after which the partner is assumed to be warming up.
func (p *Planner) callFailed(now time.Duration, partner *partnerState, result Result, retryAfter time.Duration) {
	if partner.failingSince < 0 {
		partner.failingSince = now
	}
	partner.retryAfter = max(partner.retryAfter, now+retryAfter)
	limitExceeded := result == Rejected && retryAfter < p.limits.OverloadWindow && partner.servedAt >= 0 &&
		now-partner.servedAt < p.limits.OverloadWindow
	if now < partner.backoffUntil { // sent before the pause: only a Retry-After may extend it
		partner.backoffUntil = max(partner.backoffUntil, partner.retryAfter)
		return
	}
	backoff := p.limits.OverloadWindow * initialBackoffWindows << min(partner.consecutiveOutages, maxBackoffDoublings)
	if limitExceeded {
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

// RedeliveryEnded ends a grant, regardless of the result of the redelivery. If the event loop did not admit the
// redelivery, this sender is busy, and all redeliveries are paused briefly; the state of the partner is not affected.
func (p *Planner) RedeliveryEnded(now time.Duration, dest int, admitted bool) {
	partner := p.state(now, dest)
	partner.inFlight, p.inFlight = max(0, partner.inFlight-1), max(0, p.inFlight-1)
	if !admitted {
		partner.tokens = min(partner.tokens+1, 1)
		p.backoffUntil = max(p.backoffUntil, now+notAdmittedBackoff)
	}
}

// rate returns the current redelivery rate for a partner, in messages per second.
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

// refill refills the token bucket of a partner and returns its rate.
func (p *Planner) refill(now time.Duration, partner *partnerState) float64 {
	rate := p.rate(now, partner)
	if now > partner.tokensSetAt {
		partner.tokens = min(max(1, rate*bucketDepth.Seconds()), partner.tokens+rate*(now-partner.tokensSetAt).Seconds())
		partner.tokensSetAt = now
	}
	return rate
}

// canSend reports whether one more message may be redelivered to a partner now.
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

// Grant returns the destinations to which one message each may be redelivered. Ready lists the destinations with
// messages to redeliver, without duplicates and in any order. They are served in turn, so that many messages for one
// destination do not delay those for others. A grant counts as in flight until RedeliveryEnded is called.
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

// NextTenant selects the tenant whose message is redelivered next to a destination. Tenants are selected in turn.
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

// PartnerStatus is the state of a partner that rules can read.
type PartnerStatus struct {
	InFlight    int
	HasResult   bool
	LastResult  Result
	FailingFor  time.Duration // time since the first of the consecutive failed calls; 0: the last call was served
	SinceServed time.Duration // time since the last served call; negative: there was none
	RetryAfter  time.Duration
}

// Status returns the status of a destination.
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

// NextGrant returns the time at which Grant should be called again unless an event occurs earlier. It is always later
// than now.
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

// Prune removes the state of partners that have been unused for partnerTTL.
func (p *Planner) Prune(now time.Duration) {
	for dest, partner := range p.partners {
		if partner.inFlight == 0 && now-partner.lastUsed > partnerTTL && now > partner.backoffUntil {
			delete(p.partners, dest)
		}
	}
}
