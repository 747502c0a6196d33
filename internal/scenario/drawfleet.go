package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/partner"
)

// Parameters that all destinations have in common.
const (
	connCost        = 10 * time.Millisecond
	limitBurst      = 200 * time.Millisecond
	initialCapacity = 0.22
	warmUp          = 13 * time.Second
	overloadFactor  = 2
	overloadWindow  = 2 * time.Second
	maxEndpoints    = 4   // maximum number of endpoints drawn for a destination
	speedDeviation  = 0.4 // standard deviation of the logarithm of a destination's service time
	minAnnounced    = 0.85
	announcedSpread = 0.3 // an announced rate is minAnnounced to minAnnounced+announcedSpread times the limit
)

// A fleetSampler draws the destinations of a plan.
type fleetSampler struct {
	plan        *Plan
	rng         *rand.Rand
	totalWeight float64
	maxWeight   float64
	meanService float64 // mean service time of all messages, in seconds
	endpoints   int     // drawn so far
}

// weightedDestination is a destination whose parameters are not drawn yet.
type weightedDestination struct {
	kind      *Kind
	weight    float64 // of its traffic
	endpoints int     // 0: drawn
}

// drawFleet draws the destinations. A few of them get a large part of the traffic (Zipf distribution).
func (p *Plan) drawFleet(rng *rand.Rand) {
	p.Rate = p.Scenario.Traffic.Rate.draw(rng)
	p.clumpShare, p.clumpSeconds = p.Scenario.Traffic.ClumpShare.draw(rng), p.Scenario.Traffic.ClumpSeconds
	d := &fleetSampler{plan: p, rng: rng}
	destinations := d.drawWeights()
	for _, w := range destinations {
		d.totalWeight, d.maxWeight = d.totalWeight+w.weight, max(d.maxWeight, w.weight)
	}
	work, shares := 0.0, 0.0
	for _, c := range p.Scenario.Traffic.Classes {
		work += c.Share * c.Service.Mean()
		shares += c.Share
	}
	d.meanService = work / shares
	for i, w := range destinations {
		p.Destinations = append(p.Destinations, d.drawDestination(i+1, w))
	}
}

// drawWeights draws the number of destinations of each fleet, and distributes the fleet's traffic over them.
func (d *fleetSampler) drawWeights() []weightedDestination {
	var list []weightedDestination
	s := d.plan.Scenario
	zipf := s.Traffic.Zipf.draw(d.rng)
	for _, f := range s.Fleets {
		n := int(math.Round(f.Destinations.draw(d.rng)))
		k := &s.Kinds[slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == f.Kind })]
		sum := 0.0
		from := len(list)
		for i := range n {
			list = append(list, weightedDestination{k, math.Pow(float64(i+1), -zipf), f.Endpoints})
			sum += list[from+i].weight
		}
		for i := range n {
			list[from+i].weight *= f.Weight / sum
		}
	}
	return list
}

// drawDestination draws a destination. The order of the draws must not change, since a plan depends on it.
func (d *fleetSampler) drawDestination(num int, w weightedDestination) Destination {
	k, share := w.kind, w.weight/d.totalWeight
	load := share * d.plan.Rate // calls per second at full load
	dest := Destination{Share: share}
	speed := math.Exp(speedDeviation * d.rng.NormFloat64())
	dest.Dest, dest.Kind, dest.SeparateRoutes, dest.MaxBatch = num, k.Name, k.SeparateRoutes, k.Batch
	dest.Mean = time.Duration(d.meanService * speed * float64(time.Second))
	dest.CV, dest.ItemCost = k.CV.draw(d.rng), k.ItemCost.draw(d.rng)
	n := int(math.Round(k.Endpoints.draw(d.rng) * (0.8 + 0.8*w.weight/d.maxWeight)))
	n = min(max(1, n), maxEndpoints)
	if w.endpoints > 0 {
		n = w.endpoints
	}
	limit := max(k.LimitHeadroom.draw(d.rng)*load, k.MinLimit.draw(d.rng)) // of a route
	endpointsPerRoute := float64(n)                                        // endpoints of a route
	if k.SeparateRoutes {
		limit /= float64(n)
		endpointsPerRoute = 1
	}
	dest.Limit = partner.Limit{
		Form: k.Form, PerSecond: limit, Window: k.Window, Burst: limitBurst, CountRejected: k.CountRejected,
	}
	dest.RetryAfterShare, dest.RetryAfter = k.RetryAfterShare.draw(d.rng), k.RetryAfter.seconds(d.rng)
	capacity := limit * k.SpareCapacity.draw(d.rng) / endpointsPerRoute // of an endpoint
	dest.Servers = max(1, int(math.Ceil(capacity*dest.Mean.Seconds())))
	dest.QueueLength = max(1, int(math.Ceil(capacity*k.QueueLength.draw(d.rng))))
	if k.Connections.To > 0 {
		conns := max(k.Connections.draw(d.rng)*float64(dest.Servers), k.MinConnections.draw(d.rng))
		dest.MaxConnections = int(math.Ceil(conns))
	}
	dest.ConnCost = connCost
	for _, c := range d.plan.Scenario.Traffic.Classes {
		dest.KeyRetention = max(dest.KeyRetention, c.KeyRetention)
	}
	dest.InitialCapacity, dest.WarmUp, dest.OverloadFactor, dest.OverloadWindow =
		initialCapacity, warmUp, overloadFactor, overloadWindow
	dest.Endpoints = d.drawEndpoints(n)
	dest.AnnouncedRate = limit * (minAnnounced + announcedSpread*d.rng.Float64())
	if k.Form == partner.NoLimit {
		dest.AnnouncedRate = 0
	}
	return dest
}

// drawEndpoints draws the zones of a destination's endpoints.
func (d *fleetSampler) drawEndpoints(n int) []partner.EndpointSpec {
	var list []partner.EndpointSpec
	for range n {
		d.endpoints++
		id := fmt.Sprintf("e%05d", d.endpoints)
		list = append(list, partner.EndpointSpec{ID: id, Zone: d.rng.IntN(len(d.plan.Scenario.Zones))})
	}
	return list
}
