package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/partner"
	"cleathold/internal/timeline"
)

// Plan is a scenario with everything drawn but its messages, which Arrivals draws
// as they are asked for.
type Plan struct {
	Scenario         *Scenario
	Seed             uint64
	Rate             float64 // messages a second at full load
	Dests            []Destination
	Changes          []Change
	Actions          []PlannedAction
	AgentActions     []PlannedAgentAction
	Orders           []PlannedOrder
	Links            []PlannedLink // in the order in which they begin
	DiscoveryOutages []Span        // discovery answers nobody
	bursts           []window
	hotKeys          []window
	clumpShare       float64
	clumpSize        Range
}

// Destination is a partner system that was drawn.
type Destination struct {
	partner.Spec
	Share         float64 // of the messages
	AnnouncedRate float64 // the rough rate that the list tells, in calls a second
}

// Change is a trouble that comes to an endpoint or leaves it, or a replacement.
type Change struct {
	At       time.Duration
	Endpoint string
	Fault    partner.Fault
	Of       int                   // the scenario's trouble; below 0 = a replacement
	Drains   bool                  // the endpoint drains from now on
	Leaves   bool                  // it is gone
	Joins    *partner.EndpointSpec // it comes, to Dest...
	Dest     int
	Address  string // ...at the address of this one; empty = a new one
}

// PlannedAction is something done to a sender.
type PlannedAction struct {
	At           time.Duration
	Until        time.Duration // of a stop and a drain; 0 = none
	Sender       int
	What         string
	InFlight     float64 // of a retune
	OpenMessages float64
	Of           int // the scenario's deed
}

// Span is a time between two instants.
type Span struct{ From, To time.Duration }

// A window is a burst or a hot time.
type window struct {
	from, to time.Duration
	size     float64
	keys     int
}

// The random streams: a change of one part of a script leaves the others' draws.
const (
	streamFleet = iota + 1
	streamFaults
	streamTraffic
	streamWindows
	streamActions
	streamChurn
	streamDiscoveryOutages
	streamLinks
	streamAgents
)

func randomStream(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }

func (r Range) draw(rng *rand.Rand) float64 { return r.From + (r.To-r.From)*rng.Float64() }

func (r Range) seconds(rng *rand.Rand) time.Duration {
	return time.Duration(r.draw(rng) * float64(time.Second))
}

// Mean is the middle of a range.
func (r Range) Mean() float64 { return (r.From + r.To) / 2 }

// Plan draws a plan.
func (s *Scenario) Plan(seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed}
	p.drawFleet(randomStream(seed, streamFleet))
	p.drawFaults(randomStream(seed, streamFaults))
	p.resolveOverlaps()
	p.drawWindows(randomStream(seed, streamWindows))
	p.drawActions(randomStream(seed, streamActions))
	p.drawLinks(randomStream(seed, streamLinks))
	p.drawAgents(randomStream(seed, streamAgents))
	p.drawChurns(randomStream(seed, streamChurn))
	rng := randomStream(seed, streamDiscoveryOutages)
	for _, b := range s.DiscoveryOutages {
		from := b.At.seconds(rng)
		p.DiscoveryOutages = append(p.DiscoveryOutages, Span{from, from + b.Length.seconds(rng)})
	}
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return p
}

// drawFleet draws the destinations: much of the traffic goes to a few.
func (p *Plan) drawFleet(rng *rand.Rand) {
	s := p.Scenario
	p.Rate = s.Traffic.Rate.draw(rng)
	p.clumpShare, p.clumpSize = s.Traffic.Clumps.draw(rng), s.Traffic.Clump
	type slot struct {
		kind      *Kind
		weight    float64
		endpoints int
	}
	var slots []slot
	zipf := s.Traffic.Zipf.draw(rng)
	for _, f := range s.Fleets {
		n := int(math.Round(f.Destinations.draw(rng)))
		k := &s.Kinds[slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == f.Kind })]
		sum := 0.0
		from := len(slots)
		for i := range n {
			slots = append(slots, slot{k, math.Pow(float64(i+1), -zipf), f.Endpoints})
			sum += slots[from+i].weight
		}
		for i := range n {
			slots[from+i].weight *= f.Weight / sum
		}
	}
	total, largest := 0.0, 0.0
	for _, x := range slots {
		total, largest = total+x.weight, max(largest, x.weight)
	}
	work, shares := 0.0, 0.0
	for _, c := range s.Traffic.Classes {
		work += c.Share * c.Service.Mean()
		shares += c.Share
	}
	endpoints := 0
	for i, x := range slots {
		k, share := x.kind, x.weight/total
		load := share * p.Rate // calls a second at full load
		d := Destination{Share: share}
		pace := math.Exp(0.4 * rng.NormFloat64()) // they answer at very different speeds
		d.Dest, d.Kind, d.SeparateRoutes, d.MaxBatch = i+1, k.Name, k.SeparateRoutes, k.Batch
		d.Mean = time.Duration(work / shares * pace * float64(time.Second))
		d.CV, d.ItemCost = k.CV.draw(rng), k.ItemCost.draw(rng)
		n := int(math.Round(k.Endpoints.draw(rng) * (0.8 + 0.8*x.weight/largest)))
		n = min(max(1, n), 4)
		if x.endpoints > 0 {
			n = x.endpoints
		}
		limit := max(k.Headroom.draw(rng)*load, k.MinLimit.draw(rng))
		if k.SeparateRoutes {
			limit /= float64(n)
		}
		d.Limit = partner.Limit{Form: k.Form, PerSecond: limit, Window: k.Span, Burst: 200 * time.Millisecond, CountRejected: k.CountRejected}
		d.RetryAfterShare, d.RetryAfter = k.RetryAfterShare.draw(rng), k.RetryAfter.seconds(rng)
		sharing := float64(n)
		if k.SeparateRoutes {
			sharing = 1 // each has the capacity of its own limit
		}
		capacity := limit * k.SpareCapacity.draw(rng) / sharing
		d.Servers = max(1, int(math.Ceil(capacity*d.Mean.Seconds())))
		d.QueueLength = max(1, int(math.Ceil(capacity*k.QueueLength.draw(rng))))
		if k.Connections.To > 0 {
			d.MaxConnections = int(math.Ceil(max(k.Connections.draw(rng)*float64(d.Servers), k.MinConnections.draw(rng))))
		}
		d.ConnCost = 10 * time.Millisecond
		for _, c := range s.Traffic.Classes {
			d.KeyRetention = max(d.KeyRetention, c.KeyRetention)
		}
		d.ColdCapacity, d.WarmUp, d.OverloadFactor, d.OverloadWindow = 0.22, 13*time.Second, 2, 2*time.Second
		for range n {
			endpoints++
			d.Endpoints = append(d.Endpoints, partner.EndpointSpec{ID: fmt.Sprintf("e%05d", endpoints), Zone: rng.IntN(len(s.Zones))})
		}
		d.AnnouncedRate = limit * (0.85 + 0.3*rng.Float64()) // of the route, from all senders together
		if k.Form == partner.NoLimit {
			d.AnnouncedRate = 0
		}
		p.Dests = append(p.Dests, d)
	}
}

// drawActions draws what is done to senders, and when.
func (p *Plan) drawActions(rng *rand.Rand) {
	n := p.Scenario.Senders
	for k, d := range p.Scenario.Actions {
		at := d.At.seconds(rng)
		senders := []int{d.Sender}
		if d.Sender < 0 {
			senders = rng.Perm(n)[:max(1, int(math.Round(d.Share*float64(n))))]
		}
		spread := time.Duration(0)
		if d.Spread.To > 0 {
			spread = d.Spread.seconds(rng)
		}
		for i, num := range senders {
			x := PlannedAction{At: at + spread*time.Duration(i)/time.Duration(len(senders)), Sender: num, What: d.What, InFlight: d.InFlight, OpenMessages: d.OpenMessages, Of: k}
			if d.Length.To > 0 {
				x.Until = x.At + d.Length.seconds(rng)
			}
			p.Actions = append(p.Actions, x)
		}
	}
	slices.SortStableFunc(p.Actions, func(a, b PlannedAction) int { return cmp.Compare(a.At, b.At) })
}

// drawFaults chooses whom a trouble strikes: as many destinations as its part of
// the traffic allows, the one that was drawn first in any case.
func (p *Plan) drawFaults(rng *rand.Rand) {
	for i, t := range p.Scenario.Faults {
		from := t.At.seconds(rng)
		to := from + t.Length.seconds(rng)
		fault := partner.Fault{Mode: t.Mode, Share: t.Share.draw(rng), Factor: t.Factor.draw(rng)}
		if t.EndKnown {
			fault.Until = to
		}
		maxShare, total := t.TrafficShare.draw(rng), 0.0
		for _, n := range rng.Perm(len(p.Dests)) {
			d := &p.Dests[n]
			var ids []string
			for _, e := range d.Endpoints {
				if t.Zone == "" || p.Scenario.Zones[e.Zone] == t.Zone {
					ids = append(ids, e.ID)
				}
			}
			if t.Endpoints > 0 && len(ids) > 0 {
				rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				ids = ids[:min(len(ids), max(1, int(math.Round(t.Endpoints*float64(len(d.Endpoints))))))]
			}
			share := d.Share * float64(len(ids)) / float64(len(d.Endpoints))
			excluded := t.Kind != "" && d.Kind != t.Kind || t.Dest >= 0 && d.Dest != t.Dest
			if len(ids) == 0 || excluded || total > 0 && total+share > maxShare {
				continue
			}
			total += share
			for _, id := range ids {
				p.Changes = append(p.Changes, Change{At: from, Endpoint: id, Fault: fault, Of: i}, Change{At: to, Endpoint: id, Of: i})
			}
		}
	}
}

// resolveOverlaps has a trouble that comes into another one, or ends in it, leave the later
// one in force: an endpoint has one at a time, and is well only after the last.
func (p *Plan) resolveOverlaps() {
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	current := map[string][]Change{} // by endpoint, in the order in which they began
	for i := range p.Changes {
		c := &p.Changes[i]
		if c.Fault.Mode != partner.Healthy {
			current[c.Endpoint] = append(current[c.Endpoint], *c)
			continue
		}
		remaining := slices.DeleteFunc(current[c.Endpoint], func(o Change) bool { return o.Of == c.Of })
		if current[c.Endpoint] = remaining; len(remaining) > 0 {
			c.Fault = remaining[len(remaining)-1].Fault
		}
	}
}

func (p *Plan) drawWindows(rng *rand.Rand) {
	for _, b := range p.Scenario.Bursts {
		from := b.At.seconds(rng)
		p.bursts = append(p.bursts, window{from, from + b.Length.seconds(rng), b.Factor.draw(rng), 0})
	}
	for _, h := range p.Scenario.HotKeys {
		from := h.At.seconds(rng)
		p.hotKeys = append(p.hotKeys, window{from, from + h.Length.seconds(rng), h.Share.draw(rng), h.Keys})
	}
}

// drawChurns replaces endpoints, one after another, none twice.
func (p *Plan) drawChurns(rng *rand.Rand) {
	serial := 0
	replaced := map[string]bool{}
	for _, c := range p.Scenario.Churns {
		at := c.At.seconds(rng)
		for at < p.Scenario.Length {
			d := &p.Dests[rng.IntN(len(p.Dests))]
			e := d.Endpoints[rng.IntN(len(d.Endpoints))]
			if !replaced[e.ID] {
				replaced[e.ID] = true
				serial++
				replacement := &partner.EndpointSpec{ID: fmt.Sprintf("n%05d", serial), Zone: e.Zone}
				address := ""
				if c.Reuse {
					address = e.ID
				}
				p.Changes = append(p.Changes,
					Change{At: at, Endpoint: e.ID, Dest: d.Dest, Of: -1, Drains: true},
					Change{At: at + c.Drain, Endpoint: e.ID, Dest: d.Dest, Of: -1, Leaves: true},
					Change{At: at + c.Drain, Endpoint: replacement.ID, Dest: d.Dest, Of: -1, Joins: replacement, Address: address})
			}
			if c.Every <= 0 {
				break
			}
			at += c.Every
		}
	}
}

// A Mark is something that happens, on the time axis.
type Mark struct {
	From, To time.Duration // To = From for what takes no time
	Text     string
}

// Marks are what happens in a plan, in the order of their times.
func (p *Plan) Marks() []Mark {
	var list []Mark
	words := map[partner.Mode]string{}
	for word, mode := range faultModes {
		words[mode] = word
	}
	for i, t := range p.Scenario.Faults {
		m := Mark{From: -1}
		dests, share := map[int]bool{}, 0.0
		for _, c := range p.Changes {
			if c.Of != i || c.Joins != nil || c.Drains || c.Leaves {
				continue
			}
			if m.From >= 0 && c.At > m.From { // the later change of each endpoint is its end
				m.To = c.At
				continue
			}
			m.From = c.At
			for _, d := range p.Dests {
				for _, e := range d.Endpoints {
					if e.ID == c.Endpoint {
						dests[d.Dest] = true
						share += d.Share / float64(len(d.Endpoints))
					}
				}
			}
		}
		if m.From < 0 {
			continue
		}
		where := ""
		if t.Zone != "" {
			where = " in " + t.Zone
		}
		m.Text = fmt.Sprintf("%s%s: %d destinations, %.0f%% of the traffic", words[t.Mode], where, len(dests), 100*share)
		list = append(list, m)
	}
	for _, c := range p.Changes {
		if c.Of < 0 && c.Leaves {
			list = append(list, Mark{c.At, c.At, fmt.Sprintf("%s of destination %d is gone", c.Endpoint, c.Dest)})
		}
	}
	for _, b := range p.bursts {
		list = append(list, Mark{b.from, b.to, fmt.Sprintf("burst: %.1f times the traffic", b.size)})
	}
	for _, h := range p.hotKeys {
		list = append(list, Mark{h.from, h.to, fmt.Sprintf("%d large destinations draw %.0f%% more", h.keys, 100*h.size)})
	}
	for _, b := range p.DiscoveryOutages {
		list = append(list, Mark{b.From, b.To, "discovery is down"})
	}
	for i, d := range p.Scenario.Actions {
		m := Mark{From: -1}
		senders := 0
		for _, x := range p.Actions {
			if x.Of == i {
				if senders++; m.From < 0 {
					m.From = x.At
				}
				m.To = max(m.To, x.At, x.Until)
			}
		}
		if m.Text = fmt.Sprintf("sender %d: %s", d.Sender, d.What); d.Sender < 0 {
			m.Text = fmt.Sprintf("%d senders: %s", senders, d.What)
		}
		list = append(list, m)
	}
	for _, d := range p.AgentActions {
		list = append(list, Mark{d.At, d.Until, fmt.Sprintf("agent %d: %s", d.Agent, d.What)})
	}
	for _, o := range p.Orders {
		list = append(list, Mark{o.At, o.At, fmt.Sprintf("ordered at agent %d: %s of %s", o.Agent, o.What, summarize(o.Of))})
	}
	for _, l := range p.Links {
		list = append(list, Mark{l.From, l.To, l.Text})
	}
	slices.SortStableFunc(list, func(a, b Mark) int { return cmp.Compare(a.From, b.From) })
	return list
}

// Load is the rate of messages at a time, as a multiple of the full load.
func (p *Plan) Load(at time.Duration) float64 {
	x := 1.0
	if curve := p.Scenario.Traffic.RateCurve; len(curve) > 0 {
		i, _ := slices.BinarySearchFunc(curve, at, func(r RatePoint, at time.Duration) int { return cmp.Compare(r.At, at) })
		switch {
		case i == 0:
			x = curve[0].Factor
		case i == len(curve):
			x = curve[i-1].Factor
		default:
			a, b := curve[i-1], curve[i]
			x = a.Factor + (b.Factor-a.Factor)*float64(at-a.At)/float64(b.At-a.At)
		}
	}
	for _, b := range p.bursts {
		if at >= b.from && at < b.to {
			x *= b.size
		}
	}
	return x
}

// maxLoad is a rate that Load never passes.
func (p *Plan) maxLoad() float64 {
	x := 1.0
	if curve := p.Scenario.Traffic.RateCurve; len(curve) > 0 {
		x = 0
		for _, r := range curve {
			x = max(x, r.Factor)
		}
	}
	for _, b := range p.bursts {
		x *= max(1, b.size)
	}
	return x
}

// Arrival is one message that a client hands in for the first time.
type Arrival struct {
	At     time.Duration
	N      int // counts from 0
	Dest   int
	Class  int
	Tenant int
	Size   int
}

// Arrivals draws the messages of a plan, one after another, in memory that does
// not grow with them.
type Arrivals struct {
	plan            *Plan
	rng             *rand.Rand
	destShares      []float64 // sums of the shares
	classShares     []float64
	tenantShares    []float64
	largest         []int // destinations, those with most traffic first
	nextSingle      time.Duration
	nextClump       time.Duration
	clumpsPerSecond float64 // a second
	pending         timeline.Queue[clump]
	count           int
}

// A clump is what is still to come of one.
type clump struct {
	dest      int
	remaining int
	order     uint64
}

// Arrivals starts at the first message.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{plan: p, rng: randomStream(p.Seed, streamTraffic)}
	sum := 0.0
	for i, d := range p.Dests {
		sum += d.Share
		a.destShares = append(a.destShares, sum)
		a.largest = append(a.largest, i)
	}
	slices.SortStableFunc(a.largest, func(i, j int) int { return cmp.Compare(p.Dests[j].Share, p.Dests[i].Share) })
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

// clumpRate is the clumps a second that bring their part of the messages.
func (a *Arrivals) clumpRate() float64 {
	size := 0.0 // of a clump, in the mean
	for _, d := range a.plan.Dests {
		size += d.Share * max(1, a.plan.clumpSize.Mean()*a.capacity(&d))
	}
	return a.plan.Rate * a.plan.clumpShare / size
}

// capacity is the calls a second that a destination takes.
func (a *Arrivals) capacity(d *Destination) float64 {
	if d.Limit.Form == partner.NoLimit {
		return float64(d.Servers*len(d.Endpoints)) / d.Mean.Seconds()
	}
	return d.Limit.PerSecond
}

// nextEvent draws the time of the next event of a Poisson process whose rate follows
// the load, by thinning.
func (a *Arrivals) nextEvent(at time.Duration, rate float64) time.Duration {
	peak := a.plan.maxLoad()
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

// choose draws by sums of shares.
func (a *Arrivals) choose(sums []float64) int {
	i, _ := slices.BinarySearch(sums, a.rng.Float64()*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

// drawDest draws a destination; a hot time draws some of all to the largest.
func (a *Arrivals) drawDest(at time.Duration) int {
	for _, h := range a.plan.hotKeys {
		if at >= h.from && at < h.to && a.rng.Float64() < h.size {
			return a.largest[a.rng.IntN(min(h.keys, len(a.largest)))]
		}
	}
	return a.choose(a.destShares)
}

// Next returns the next message; false after the last.
func (a *Arrivals) Next() (Arrival, bool) {
	for {
		at := a.nextSingle
		from := 0
		if a.nextClump < at {
			at, from = a.nextClump, 1
		}
		if next, _, some := a.pending.First(); some && next <= at {
			at, from = next, 2
		}
		if at > a.plan.Scenario.Length {
			return Arrival{}, false
		}
		dest := 0
		switch from {
		case 0:
			a.nextSingle = a.nextEvent(at, a.plan.Rate*(1-a.plan.clumpShare))
			dest = a.drawDest(at)
		case 1: // a clump begins: its messages come one close after the other
			a.nextClump = a.nextEvent(at, a.clumpsPerSecond)
			d := a.choose(a.destShares)
			size := max(1, int(math.Round(a.plan.clumpSize.draw(a.rng)*a.capacity(&a.plan.Dests[d]))))
			a.pending.Push(at, uint64(a.count), clump{d, size, uint64(a.count)})
			continue
		case 2:
			_, c := a.pending.Pop()
			dest = c.dest
			if c.remaining--; c.remaining > 0 {
				a.pending.Push(at+time.Duration(a.rng.ExpFloat64()*2*float64(time.Millisecond)), c.order, c)
			}
		}
		m := Arrival{
			At: at, N: a.count, Dest: a.plan.Dests[dest].Dest, Class: a.choose(a.classShares), Tenant: a.choose(a.tenantShares),
			Size: int(a.plan.Scenario.Traffic.Body.draw(a.rng)),
		}
		a.count++
		return m, true
	}
}

// Model makes the partners of a plan.
func (p *Plan) Model() (*partner.Model, error) {
	m := partner.New(p.Seed)
	for i := range p.Dests {
		if err := m.Add(p.Dests[i].Spec); err != nil {
			return nil, err
		}
	}
	return m, nil
}
