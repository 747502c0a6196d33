// Package redelivery decides when held messages may be sent again, and for which
// partner. It does no I/O, takes the time as a parameter, and makes the same
// decisions from the same events.
//
// The controller still decides about each message; this package only says how
// many may come to it. It must not push over a partner that returns cold while
// all siblings do the same, so it works with this sender's even part of what the
// partner takes, less what live traffic uses, and with a level that rises slowly
// from the cold share of the settings while calls are served. A refusal, a told
// wait or a failure stops a partner's resends at once; then a single one tests it.
package redelivery

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits are what a planner keeps to.
type Limits struct {
	FleetSize      int           // senders that may be resending at the same time, this one included
	ColdCapacity   float64       // share of its capacity that a partner has as it returns...
	WarmUp         time.Duration // ...and the time by which it has all of it
	OverloadFactor float64       // times its present capacity that push it over...
	OverloadWindow time.Duration // ...when sent for so long
	CapacityShare  float64       // part of what a partner takes that resends may use
	MaxInFlight    int           // resends out at once
}

// Result is what came of a call to a partner.
type Result uint8

// The results.
const (
	Served   Result = iota
	Rejected        // turned away, or told to wait
	Failed          // anything else that did not serve
	NotSent         // not sent at all: it tells nothing of the partner
)

// Load is how busy this sender is.
type Load struct{ MaxInFlight, InFlight, MaxOpenMessages, Open int }

const (
	pauseFirst   = 2                      // fall windows of rest after the first trouble...
	pauseDoubles = 5                      // ...doubled so often at most
	slotsFree    = 4                      // a resend needs so much of the slots free: one part in this
	holdFree     = 2                      // and so much of what may be held
	guessFirst   = 0.5                    // calls a second to a partner whose limit is not told, at full level
	guessMost    = 50.0                   // what that guess grows to as calls are served
	depth        = 250 * time.Millisecond // of the token bucket
	perOut       = time.Second            // so much of the pace may be out at once
	liveSpan     = 2 * time.Second        // memory of the rate of live calls
	lonePart     = 0.5                    // what a refusal between served calls leaves of the level
	busyPause    = 200 * time.Millisecond // after a resend that was not let in
	forget       = 10 * time.Minute       // a partner with nothing held and no call is forgotten after this
)

// A partner is what is known of one destination.
type partner struct {
	weight   float64 // calls a second that it takes from all senders; 0 = not told
	listed   bool    // a target of it takes new work
	guess    float64 // in the place of the weight
	level    float64 // part of the pace, from ColdFrom up to 1
	levelAt  time.Duration
	tokens   float64
	filledAt time.Duration
	until    time.Duration // nothing before this
	pauses   int           // troubles in a row
	testing  bool          // the next resend goes alone
	out      int
	live     float64 // live calls lately, decayed
	liveAt   time.Duration
	served   time.Duration // the latest call that served; below 0 = none
	failing  time.Duration // the first of the calls in a row that were not; below 0 = the last one served
	waitEnd  time.Duration
	last     Result
	seen     bool
	tenant   string // whose turn was last
	touched  time.Duration
}

// Planner plans the resends of one sender. It is not safe for concurrent use.
type Planner struct {
	lim      Limits
	rng      *rand.Rand
	partners map[int]*partner
	out      int
	turn     int // the destination that had the latest grant
	paused   time.Duration
}

// New returns a planner that knows nothing yet. Each partner is taken for one that
// returns cold: its messages are held because it failed.
func New(l Limits, seed uint64) *Planner {
	p := &Planner{rng: rand.New(rand.NewPCG(seed, 7)), partners: map[int]*partner{}, turn: math.MinInt}
	p.SetLimits(l)
	return p
}

// SetLimits takes other limits; what is known stays.
func (p *Planner) SetLimits(l Limits) {
	l.FleetSize, l.MaxInFlight = max(1, l.FleetSize), max(1, l.MaxInFlight)
	if l.ColdCapacity <= 0 || l.ColdCapacity > 1 {
		l.ColdCapacity = 0.1
	}
	if l.OverloadWindow <= 0 {
		l.OverloadWindow = 2 * time.Second
	}
	p.lim = l
}

func (p *Planner) partner(now time.Duration, dest int) *partner {
	x := p.partners[dest]
	if x == nil {
		x = &partner{
			guess: guessFirst, level: p.lim.ColdCapacity, levelAt: now, filledAt: now, tokens: p.rng.Float64(),
			testing: true, served: -1, failing: -1, listed: true,
		}
		p.partners[dest] = x
	}
	x.touched = now
	return x
}

// CapacityChanged takes the calls a second that a destination takes from all senders
// together (0 = not told), and whether a target of it takes new work.
func (p *Planner) CapacityChanged(now time.Duration, dest int, weight float64, ready bool) {
	x := p.partner(now, dest)
	x.weight, x.listed = max(0, weight), ready
}

// CallEnded takes what came of a call, of live traffic or of a resend.
func (p *Planner) CallEnded(now time.Duration, dest int, r Result, wait time.Duration, resend bool) {
	x := p.partner(now, dest)
	if r == NotSent && wait <= 0 {
		return
	}
	if !resend {
		x.live = x.live*math.Exp(-float64(now-x.liveAt)/float64(liveSpan)) + 1
		x.liveAt = now
	}
	x.last, x.seen = r, true
	if r == Served && wait <= 0 {
		p.good(now, x, resend)
		return
	}
	p.trouble(now, x, r, wait)
}

// good: the level rises with time, and only while calls are served.
func (p *Planner) good(now time.Duration, x *partner, resend bool) {
	x.served, x.failing = now, -1
	if now < x.until {
		return // an answer to a call from before the trouble says nothing of it
	}
	if x.testing && (resend || x.pauses == 0) {
		x.testing = false
		x.levelAt, x.filledAt = now, now
	}
	if x.testing {
		return
	}
	x.pauses = 0
	if p.lim.WarmUp > 0 {
		step := min(now-x.levelAt, p.lim.WarmUp/4) // longer times without answers do not count
		x.level = min(1, x.level+(1-p.lim.ColdCapacity)*float64(step)/float64(p.lim.WarmUp))
	} else {
		x.level = 1
	}
	x.levelAt = now
	if resend && x.weight <= 0 {
		x.guess = min(guessMost, x.guess*1.05)
	}
}

// trouble stops the resends of a partner at once. A refusal between served
// calls is one above a limit: that halves the pace. Anything else is taken for
// an outage, and the start after it is a cold one.
func (p *Planner) trouble(now time.Duration, x *partner, r Result, wait time.Duration) {
	if x.failing < 0 {
		x.failing = now
	}
	x.waitEnd = max(x.waitEnd, now+wait)
	lone := r == Rejected && wait < p.lim.OverloadWindow && x.served >= 0 && now-x.served < p.lim.OverloadWindow
	if now < x.until { // calls sent before the stop; they prolong a wait, not the pause
		x.until = max(x.until, x.waitEnd)
		return
	}
	pause := p.lim.OverloadWindow * pauseFirst << min(x.pauses, pauseDoubles)
	if lone {
		pause = p.lim.OverloadWindow / 2
		x.level = max(p.lim.ColdCapacity*lonePart, x.level*lonePart)
	} else {
		x.pauses++
		x.level, x.testing = p.lim.ColdCapacity, true
		x.guess = max(guessFirst, x.guess*lonePart)
	}
	x.until = max(x.waitEnd, now+time.Duration((0.75+p.rng.Float64()/2)*float64(pause)))
	x.tokens, x.levelAt, x.filledAt = 0, x.until, x.until
}

// RedeliveryEnded takes back what a grant gave: a resend has ended, whatever came of it.
// One that was not let in tells of this sender, not of the partner.
func (p *Planner) RedeliveryEnded(now time.Duration, dest int, letIn bool) {
	x := p.partner(now, dest)
	x.out, p.out = max(0, x.out-1), max(0, p.out-1)
	if !letIn {
		x.tokens = min(x.tokens+1, 1)
		p.paused = max(p.paused, now+busyPause)
	}
}

// pace is the resends a second that a partner is sent now.
func (p *Planner) pace(now time.Duration, x *partner) float64 {
	whole := x.guess
	if x.weight > 0 {
		whole = x.weight / float64(p.lim.FleetSize)
	}
	live := x.live * math.Exp(-float64(now-x.liveAt)/float64(liveSpan)) / liveSpan.Seconds()
	room := whole*x.level - live
	return max(0, min(room, p.lim.CapacityShare*whole*x.level))
}

// refill fills a partner's tokens.
func (p *Planner) refill(now time.Duration, x *partner) float64 {
	rate := p.pace(now, x)
	if now > x.filledAt {
		x.tokens = min(max(1, rate*depth.Seconds()), x.tokens+rate*(now-x.filledAt).Seconds())
		x.filledAt = now
	}
	return rate
}

// may tells whether a partner may be sent one more now.
func (p *Planner) may(now time.Duration, x *partner) bool {
	if !x.listed || now < x.until {
		return false
	}
	rate := p.refill(now, x)
	if x.testing {
		return x.out == 0
	}
	return x.tokens >= 1 && x.out < max(1, int(math.Ceil(rate*perOut.Seconds())))
}

// Grant says which of the destinations that have messages ready may be sent one
// each, in turn, so that hundreds for one don't keep back those for others. Each
// grant counts as out until Ended. The list is in any order, without doubles.
func (p *Planner) Grant(now time.Duration, ready []int, load Load) []int {
	if now < p.paused || load.MaxOpenMessages > 0 && holdFree*load.Open >= load.MaxOpenMessages {
		return nil
	}
	room := min(p.lim.MaxInFlight-p.out, load.MaxInFlight-load.MaxInFlight/slotsFree-load.InFlight)
	if room <= 0 || len(ready) == 0 {
		return nil
	}
	order := slices.Sorted(slices.Values(ready))
	first, _ := slices.BinarySearch(order, p.turn+1)
	order = append(order[first:], order[:first]...)
	var grants []int
	for _, dest := range order {
		if len(grants) >= room {
			break
		}
		x := p.partner(now, dest)
		if !p.may(now, x) {
			continue
		}
		x.tokens--
		x.out++
		p.out++
		p.turn = dest
		grants = append(grants, dest)
	}
	return grants
}

// NextTenant chooses whose message of a destination goes next: each in turn.
func (p *Planner) NextTenant(now time.Duration, dest int, tenants []string) string {
	x := p.partner(now, dest)
	order := slices.Sorted(slices.Values(tenants))
	i, found := slices.BinarySearch(order, x.tenant)
	if found {
		i++
	}
	if len(order) > 0 {
		x.tenant = order[i%len(order)]
	}
	return x.tenant
}

// A View is what the rules see of a partner.
type View struct {
	InFlight   int
	Known      bool
	Last       Result
	Failing    time.Duration // since the first of the calls in a row that did not serve; 0 = the last one did
	Served     time.Duration // since a call was served; below 0 = never
	RetryAfter time.Duration
}

// View tells what is known of a destination; it changes nothing.
func (p *Planner) View(now time.Duration, dest int) View {
	x := p.partners[dest]
	if x == nil {
		return View{Served: -1}
	}
	v := View{InFlight: x.out, Known: x.seen, Last: x.last, Served: -1, RetryAfter: max(0, x.waitEnd-now)}
	if x.failing >= 0 {
		v.Failing = max(1, now-x.failing)
	}
	if x.served >= 0 {
		v.Served = now - x.served
	}
	return v
}

// NextGrant is when to ask again if nothing happens before: the soonest that one of
// the destinations may be sent to, but not at once.
func (p *Planner) NextGrant(now time.Duration, ready []int) time.Duration {
	const least, most = 10 * time.Millisecond, time.Second
	next := now + most
	for _, dest := range ready {
		x := p.partners[dest]
		switch {
		case x == nil:
			return now + least
		case now < x.until:
			next = min(next, x.until)
		case x.tokens < 1:
			if rate := p.pace(now, x); rate > 0 {
				next = min(next, now+time.Duration((1-x.tokens)/rate*float64(time.Second)))
			}
		default:
			next = min(next, now+5*least)
		}
	}
	return max(next, now+least, min(p.paused, now+most))
}

// Prune forgets partners that nothing was heard of for long.
func (p *Planner) Prune(now time.Duration) {
	for dest, x := range p.partners {
		if x.out == 0 && now-x.touched > forget && now > x.until {
			delete(p.partners, dest)
		}
	}
}
