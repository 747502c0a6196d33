package partner

import (
	"time"
)

// Overload is a destination, or route, that was pushed over.
type Overload struct {
	At            time.Duration
	Dest          int
	Endpoint      string        // of a route apart; else empty
	RecoveredAt   time.Duration // its return
	CallsBySender map[int]int   // calls in the window, by sender
}

type arrival struct {
	at     time.Duration
	sender int
}

// Capacity is the part of its capacity that an endpoint's route has now.
func (m *Model) Capacity(id string) float64 {
	if e := m.endpoints[id]; e != nil {
		return m.capacity(e.route)
	}
	return 0
}

func (m *Model) capacity(r *route) float64 {
	d := r.dest
	if !r.warming {
		return 1
	}
	if d.WarmUp <= 0 || m.now >= r.recoveredAt+d.WarmUp {
		r.warming = false
		return 1
	}
	return d.ColdCapacity + (1-d.ColdCapacity)*float64(m.now-r.recoveredAt)/float64(d.WarmUp)
}

// ratedCapacity is the calls a second at which a warm route is at its capacity: what its
// servers do. Its limit lies below that.
func (r *route) ratedCapacity() float64 {
	servers := r.dest.Servers * max(1, len(r.dest.endpoints))
	if r.endpoint != nil {
		servers = r.dest.Servers
	}
	return float64(servers) / r.dest.Mean.Seconds()
}

// checkOverload counts what reaches a cold route, refused or not, and pushes it over.
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
	const slack = 2 // calls; for chance
	budget := d.OverloadFactor*m.capacity(r)*r.ratedCapacity()*d.OverloadWindow.Seconds() + slack
	if float64(len(r.arrivals)) <= budget {
		return
	}
	f := Overload{At: m.now, Dest: d.Dest, RecoveredAt: r.recoveredAt, CallsBySender: map[int]int{}}
	for _, p := range r.arrivals {
		f.CallsBySender[p.sender]++
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
		f.Endpoint = r.endpoint.ID
	}
	m.overloads = append(m.overloads, f)
}
