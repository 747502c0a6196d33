package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/partner"
	"cleathold/internal/timeline"
)

// Load returns the message rate at a time, as a multiple of the rate at full load.
func (p *Plan) Load(at time.Duration) float64 {
	load := 1.0
	if curve := p.Scenario.Traffic.RateCurve; len(curve) > 0 {
		i, _ := slices.BinarySearchFunc(curve, at, func(r RatePoint, at time.Duration) int { return cmp.Compare(r.At, at) })
		switch {
		case i == 0:
			load = curve[0].Factor
		case i == len(curve):
			load = curve[i-1].Factor
		default:
			a, b := curve[i-1], curve[i]
			load = a.Factor + (b.Factor-a.Factor)*float64(at-a.At)/float64(b.At-a.At)
		}
	}
	for _, b := range p.burstWindows {
		if b.contains(at) {
			load *= b.amount
		}
	}
	return load
}

// loadBound returns an upper bound of Load.
func (p *Plan) loadBound() float64 {
	x := 1.0
	if curve := p.Scenario.Traffic.RateCurve; len(curve) > 0 {
		x = 0
		for _, r := range curve {
			x = max(x, r.Factor)
		}
	}
	for _, b := range p.burstWindows {
		x *= max(1, b.amount)
	}
	return x
}

// Arrival is a message that a client submits for the first time.
type Arrival struct {
	At     time.Duration
	N      int // sequence number, from 0
	Dest   int
	Class  int
	Tenant int
	Size   int
}

// Arrivals draws the messages of a plan one by one, so that its memory does not grow with their number. It is not safe
// for concurrent use.
type Arrivals struct {
	plan            *Plan
	rng             *rand.Rand
	destShares      []float64 // cumulative sums of the destinations' shares
	classShares     []float64
	tenantShares    []float64
	bySize          []int         // indices of destinations, in descending order of their traffic
	nextSingle      time.Duration // time of the next message outside clumps
	nextClump       time.Duration
	clumpsPerSecond float64
	activeClumps    timeline.Queue[clump] // by the time of their next message
	count           int
}

// A clump is a group of messages for one destination that arrive within a short time.
type clump struct {
	dest      int
	remaining int
	serial    uint64
}

// An arrivalSource is the process that generates the next arrival.
type arrivalSource uint8

const (
	singleMessage arrivalSource = iota
	newClump
	messageOfClump
)

// Arrivals returns the messages of a plan, starting with the first one.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{plan: p, rng: randomStream(p.Seed, streamTraffic)}
	sum := 0.0
	for i, d := range p.Destinations {
		sum += d.Share
		a.destShares = append(a.destShares, sum)
		a.bySize = append(a.bySize, i)
	}
	slices.SortStableFunc(a.bySize, func(i, j int) int {
		return cmp.Compare(p.Destinations[j].Share, p.Destinations[i].Share)
	})
	sum = 0
	for _, c := range p.Scenario.Traffic.Classes {
		sum += c.Share
		a.classShares = append(a.classShares, sum)
	}
	sum = 0
	for _, t := range p.Scenario.Traffic.Tenants {
		sum += t.Share
		a.tenantShares = append(a.tenantShares, sum)
	}
	a.nextSingle = a.nextEvent(0, p.Rate*(1-p.clumpShare))
	a.clumpsPerSecond = a.clumpRate()
	a.nextClump = a.nextEvent(0, a.clumpsPerSecond)
	return a
}

// clumpRate returns the clumps per second that produce the share of messages in clumps.
func (a *Arrivals) clumpRate() float64 {
	size := 0.0 // mean messages of a clump
	for _, d := range a.plan.Destinations {
		size += d.Share * max(1, a.plan.clumpSeconds.Mean()*a.capacity(&d))
	}
	return a.plan.Rate * a.plan.clumpShare / size
}

// capacity returns the calls per second that a destination can serve.
func (a *Arrivals) capacity(d *Destination) float64 {
	if d.Limit.Form == partner.NoLimit {
		return float64(d.Servers*len(d.Endpoints)) / d.Mean.Seconds()
	}
	return d.Limit.PerSecond
}

// nextEvent draws the time of the next event of a Poisson process whose rate follows the load, by thinning. Rate is the
// number of events per second at full load.
func (a *Arrivals) nextEvent(at time.Duration, rate float64) time.Duration {
	peak := a.plan.loadBound()
	if rate*peak <= 0 {
		return math.MaxInt64
	}
	for {
		at += time.Duration(a.rng.ExpFloat64() / (rate * peak) * float64(time.Second))
		if at > a.plan.Scenario.Length || a.rng.Float64()*peak < a.plan.Load(at) {
			return at
		}
	}
}

// drawIndex draws an index with probabilities given by cumulative sums of shares.
func (a *Arrivals) drawIndex(sums []float64) int {
	i, _ := slices.BinarySearch(sums, a.rng.Float64()*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

// drawDest draws the index of a destination. During a hot-key period, a share of the messages goes to the largest
// destinations.
func (a *Arrivals) drawDest(at time.Duration) int {
	for _, h := range a.plan.hotKeyWindows {
		if h.contains(at) && a.rng.Float64() < h.amount {
			return a.bySize[a.rng.IntN(min(h.destinations, len(a.bySize)))]
		}
	}
	return a.drawIndex(a.destShares)
}

// Next returns the next message, or false after the last one.
func (a *Arrivals) Next() (Arrival, bool) {
	for {
		at, source := a.nextSingle, singleMessage
		if a.nextClump < at {
			at, source = a.nextClump, newClump
		}
		if next, _, ok := a.activeClumps.First(); ok && next <= at {
			at, source = next, messageOfClump
		}
		if at > a.plan.Scenario.Length {
			return Arrival{}, false
		}
		dest := 0
		switch source {
		case singleMessage:
			a.nextSingle = a.nextEvent(at, a.plan.Rate*(1-a.plan.clumpShare))
			dest = a.drawDest(at)
		case newClump:
			a.nextClump = a.nextEvent(at, a.clumpsPerSecond)
			d := a.drawIndex(a.destShares)
			size := max(1, int(math.Round(a.plan.clumpSeconds.draw(a.rng)*a.capacity(&a.plan.Destinations[d]))))
			a.activeClumps.Push(at, uint64(a.count), clump{d, size, uint64(a.count)})
			continue
		case messageOfClump:
			_, c := a.activeClumps.Pop()
			dest = c.dest
			if c.remaining--; c.remaining > 0 {
				a.activeClumps.Push(at+time.Duration(a.rng.ExpFloat64()*2*float64(time.Millisecond)), c.serial, c)
			}
		}
		m := Arrival{
			At: at, N: a.count, Dest: a.plan.Destinations[dest].Dest, Class: a.drawIndex(a.classShares),
			Tenant: a.drawIndex(a.tenantShares), Size: int(a.plan.Scenario.Traffic.Body.draw(a.rng)),
		}
		a.count++
		return m, true
	}
}
