package partner

import "time"

// Overload is a route that was overloaded while it was warming up. All its endpoints go down.
type Overload struct {
	At            time.Duration
	Dest          int
	Endpoint      string        // of a separate route; else empty
	RecoveredAt   time.Duration // when its outage ended
	CallsBySender map[int]int   // calls within OverloadWindow, by sender
}

// An arrival is a call that arrived at a route.
type arrival struct {
	at     time.Duration
	sender int
}

// Capacity returns the current capacity of an endpoint's route as a fraction of its full capacity; 0 for an unknown
// endpoint.
func (m *Model) Capacity(id string) float64 {
	if e := m.endpoints[id]; e != nil {
		return m.capacity(e.route)
	}
	return 0
}

// capacity returns the current capacity of a route as a fraction of its full capacity. It rises from InitialCapacity to
// 1 within WarmUp.
func (m *Model) capacity(r *route) float64 {
	d := r.dest
	if !r.warming {
		return 1
	}
	if d.WarmUp <= 0 || m.now >= r.recoveredAt+d.WarmUp {
		r.warming = false
		return 1
	}
	return d.InitialCapacity + (1-d.InitialCapacity)*float64(m.now-r.recoveredAt)/float64(d.WarmUp)
}

// ratedCapacity returns the calls per second that the servers of a route can serve at full capacity. The route's limit
// is below that.
func (r *route) ratedCapacity() float64 {
	servers := r.dest.Servers * max(1, len(r.dest.endpoints))
	if r.endpoint != nil {
		servers = r.dest.Servers
	}
	return float64(servers) / r.dest.Mean.Seconds()
}

// checkOverload counts a call, rejected or not, that arrives at a warming route, and takes the route down if the calls
// overload it.
func (m *Model) checkOverload(r *route, sender int) {
	d := r.dest
	if m.capacity(r) >= 1 || d.OverloadWindow <= 0 {
		r.arrivals = r.arrivals[:0]
		return
	}
	r.arrivals = append(r.arrivals, arrival{m.now, sender})
	for len(r.arrivals) > 0 && m.now-r.arrivals[0].at >= d.OverloadWindow {
		r.arrivals = r.arrivals[1:]
	}
	const chanceCalls = 2 // calls above the budget that are tolerated as random variation
	budget := d.OverloadFactor*m.capacity(r)*r.ratedCapacity()*d.OverloadWindow.Seconds() + chanceCalls
	if float64(len(r.arrivals)) <= budget {
		return
	}
	o := Overload{At: m.now, Dest: d.Dest, RecoveredAt: r.recoveredAt, CallsBySender: map[int]int{}}
	for _, a := range r.arrivals {
		o.CallsBySender[a.sender]++
	}
	r.arrivals = nil
	for _, e := range d.endpoints {
		if r.endpoint != nil && e != r.endpoint {
			continue
		}
		m.updateWork(e)
		e.fault = Fault{Mode: Overloaded}
		m.resetAll(e)
	}
	if r.endpoint != nil {
		o.Endpoint = r.endpoint.ID
	}
	m.overloads = append(m.overloads, o)
}
