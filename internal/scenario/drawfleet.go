package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cleathold/internal/partner"
)

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
