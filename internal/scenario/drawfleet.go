package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/partner"
)

// What all destinations have in common.
const (
	connCost        = 10 * time.Millisecond
	limitBurst      = 200 * time.Millisecond
	coldCapacity    = 0.22
	warmUp          = 13 * time.Second
	overloadFactor  = 2
	overloadWindow  = 2 * time.Second
	maxEndpoints    = 4   // that are drawn for a destination
	speedDeviation  = 0.4 // of the logarithm of a destination's service time
	minAnnounced    = 0.85
	announcedSpread = 0.3 // an announced rate is this much more than minAnnounced times the limit at most
)

// A fleetDraw draws the destinations of a plan.
type fleetDraw struct {
	plan        *Plan
	rng         *rand.Rand
	totalWeight float64
	maxWeight   float64
	service     float64 // mean service time of all messages, in seconds
	endpoints   int     // drawn so far
}

// destinationWeight is a destination before its figures are drawn.
type destinationWeight struct {
	kind      *Kind
	weight    float64 // of its traffic
	endpoints int     // 0: drawn
}

// drawFleet draws the destinations. A few of them get much of the traffic.
func (p *Plan) drawFleet(rng *rand.Rand) {
	p.Rate = p.Scenario.Traffic.Rate.draw(rng)
	p.clumpShare, p.clumpSize = p.Scenario.Traffic.Clumps.draw(rng), p.Scenario.Traffic.Clump
	d := &fleetDraw{plan: p, rng: rng}
	list := d.weights()
	for _, w := range list {
		d.totalWeight, d.maxWeight = d.totalWeight+w.weight, max(d.maxWeight, w.weight)
	}
	work, shares := 0.0, 0.0
	for _, c := range p.Scenario.Traffic.Classes {
		work += c.Share * c.Service.Mean()
		shares += c.Share
	}
	d.service = work / shares
	for i, w := range list {
		p.Dests = append(p.Dests, d.destination(i+1, w))
	}
}

// weights draws how many destinations each fleet has, and how its traffic is spread over them.
func (d *fleetDraw) weights() []destinationWeight {
	var list []destinationWeight
	s := d.plan.Scenario
	zipf := s.Traffic.Zipf.draw(d.rng)
	for _, f := range s.Fleets {
		n := int(math.Round(f.Destinations.draw(d.rng)))
		k := &s.Kinds[slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == f.Kind })]
		sum := 0.0
		from := len(list)
		for i := range n {
			list = append(list, destinationWeight{k, math.Pow(float64(i+1), -zipf), f.Endpoints})
			sum += list[from+i].weight
		}
		for i := range n {
			list[from+i].weight *= f.Weight / sum
		}
	}
	return list
}

// destination draws a destination. The order of the draws stays, or plans change.
func (d *fleetDraw) destination(num int, w destinationWeight) Destination {
	k, share := w.kind, w.weight/d.totalWeight
	load := share * d.plan.Rate // calls a second at full load
	x := Destination{Share: share}
	speed := math.Exp(speedDeviation * d.rng.NormFloat64())
	x.Dest, x.Kind, x.SeparateRoutes, x.MaxBatch = num, k.Name, k.SeparateRoutes, k.Batch
	x.Mean = time.Duration(d.service * speed * float64(time.Second))
	x.CV, x.ItemCost = k.CV.draw(d.rng), k.ItemCost.draw(d.rng)
	n := int(math.Round(k.Endpoints.draw(d.rng) * (0.8 + 0.8*w.weight/d.maxWeight)))
	n = min(max(1, n), maxEndpoints)
	if w.endpoints > 0 {
		n = w.endpoints
	}
	limit := max(k.Headroom.draw(d.rng)*load, k.MinLimit.draw(d.rng)) // of a route
	sharing := float64(n)                                             // endpoints of a route
	if k.SeparateRoutes {
		limit /= float64(n)
		sharing = 1
	}
	x.Limit = partner.Limit{
		Form: k.Form, PerSecond: limit, Window: k.Span, Burst: limitBurst, CountRejected: k.CountRejected,
	}
	x.RetryAfterShare, x.RetryAfter = k.RetryAfterShare.draw(d.rng), k.RetryAfter.seconds(d.rng)
	capacity := limit * k.SpareCapacity.draw(d.rng) / sharing // of an endpoint
	x.Servers = max(1, int(math.Ceil(capacity*x.Mean.Seconds())))
	x.QueueLength = max(1, int(math.Ceil(capacity*k.QueueLength.draw(d.rng))))
	if k.Connections.To > 0 {
		conns := max(k.Connections.draw(d.rng)*float64(x.Servers), k.MinConnections.draw(d.rng))
		x.MaxConnections = int(math.Ceil(conns))
	}
	x.ConnCost = connCost
	for _, c := range d.plan.Scenario.Traffic.Classes {
		x.KeyRetention = max(x.KeyRetention, c.KeyRetention)
	}
	x.InitialCapacity, x.WarmUp, x.OverloadFactor, x.OverloadWindow = coldCapacity, warmUp, overloadFactor, overloadWindow
	x.Endpoints = d.drawEndpoints(n)
	x.AnnouncedRate = limit * (minAnnounced + announcedSpread*d.rng.Float64())
	if k.Form == partner.NoLimit {
		x.AnnouncedRate = 0
	}
	return x
}

// drawEndpoints draws the zones of a destination's endpoints.
func (d *fleetDraw) drawEndpoints(n int) []partner.EndpointSpec {
	var list []partner.EndpointSpec
	for range n {
		d.endpoints++
		id := fmt.Sprintf("e%05d", d.endpoints)
		list = append(list, partner.EndpointSpec{ID: id, Zone: d.rng.IntN(len(d.plan.Scenario.Zones))})
	}
	return list
}
