package report

import (
	"fmt"
	"io"
	"slices"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// Outage describes a fault of some endpoints of a destination and the behavior of the fleet during and after it.
type Outage struct {
	Dest                     int     `json:"destination"`
	Affected                 int     `json:"struck"` // endpoints with the fault
	Of                       int     `json:"of"`     // endpoints of the destination
	From                     float64 `json:"from"`   // seconds
	To                       float64 `json:"to"`
	Requested                int     `json:"wanted"`  // messages requested during the outage
	Served                   float64 `json:"served"`  // fraction of their priority weight that was delivered
	Discoveries              int     `json:"finds"`   // calls and health checks that failed because of the fault
	DiscoveriesInFirstSecond int     `json:"first"`   // those in the first second of the outage
	DiscoveringSenders       int     `json:"finders"` // senders with at least one discovery
	MaxOfOneSender           int     `json:"most"`    // maximum of the discoveries per sender
	// seconds from the end of the outage until the affected endpoints get two thirds of their fair share of calls;
	// negative: never
	BalancedAfter float64 `json:"even"`
}

// Outages collects the outages of endpoints in a run. It does not include reduced limits; see Sums.
type Outages struct {
	plan      *scenario.Plan
	list      []*outage
	meter     *simulation.ServiceMeter
	byMessage map[int]*outage // by number of the message: the outage during which it was requested
}

// outage is an Outage with the data that is needed while events are read.
type outage struct {
	Outage
	from, to                         time.Duration
	affected                         map[string]bool
	discoveriesBySender              map[int]int
	requestedWeight, deliveredWeight float64
	// calls to the affected endpoints and to all endpoints, in steps of outageStep from the end of the outage
	callsAfter [][2]int
}

// NewOutages returns the outages that a plan contains, without data of a run.
func NewOutages(p *scenario.Plan) *Outages {
	o := &Outages{plan: p, meter: simulation.NewServiceMeter(p.Scenario), byMessage: map[int]*outage{}}
	o.meter.OnDelivered = func(n int, worth float64) {
		if x := o.byMessage[n]; x != nil {
			x.deliveredWeight += worth
			delete(o.byMessage, n)
		}
	}
	for i := range p.Scenario.Faults {
		for _, d := range p.Destinations {
			x := &outage{affected: map[string]bool{}, discoveriesBySender: map[int]int{}}
			for _, c := range p.Changes {
				inDestination := slices.ContainsFunc(d.Endpoints, func(e partner.EndpointSpec) bool { return e.ID == c.Endpoint })
				if c.FaultIndex != i || c.Added != nil || c.StartsDraining || c.Removed || !inDestination {
					continue
				}
				if mode := c.Fault.Mode; mode != partner.Healthy && mode != partner.LimitReduced && !x.affected[c.Endpoint] {
					x.affected[c.Endpoint], x.from = true, c.At
				} else if x.affected[c.Endpoint] {
					x.to = c.At
				}
			}
			if len(x.affected) > 0 {
				x.Dest, x.Affected, x.Of, x.From, x.To = d.Dest, len(x.affected), len(d.Endpoints), x.from.Seconds(), x.to.Seconds()
				o.list = append(o.list, x)
			}
		}
	}
	return o
}

// outageAt returns the outage of a destination at a time, or nil if there is none.
func (o *Outages) outageAt(dest int, at time.Duration) *outage {
	for _, x := range o.list {
		if x.Dest == dest && at >= x.from && at < x.to {
			return x
		}
	}
	return nil
}

// Read processes the next event.
func (o *Outages) Read(e audit.Event) error {
	switch e.Kind {
	case audit.Requested:
		if x := o.outageAt(e.Dest, e.At); x != nil {
			x.Requested++
			x.requestedWeight += o.plan.Scenario.Traffic.Classes[e.Class].PriorityWeight
			o.byMessage[e.Request] = x
		}
	case audit.Sent:
		for _, x := range o.list {
			if x.Dest != e.Dest || e.At < x.to {
				continue
			}
			n := int((e.At - x.to) / outageStep)
			for len(x.callsAfter) <= n {
				x.callsAfter = append(x.callsAfter, [2]int{})
			}
			if x.callsAfter[n][1]++; x.affected[e.Endpoint] {
				x.callsAfter[n][0]++
			}
		}
	case audit.FailureSeen:
		if x := o.outageAt(e.Dest, e.At); x != nil && x.affected[e.Endpoint] {
			x.Discoveries++
			if x.discoveriesBySender[e.Sender]++; e.At < x.from+time.Second {
				x.DiscoveriesInFirstSecond++
			}
		}
	}
	return o.meter.Read(e)
}

// outageStep is the interval in which calls after an outage are counted.
const outageStep = 100 * time.Millisecond

// List returns the outages with the data of the events read so far.
func (o *Outages) List() (list []Outage) {
	for _, x := range o.list {
		y := x.Outage
		y.Served, y.DiscoveringSenders, y.BalancedAfter = 1, len(x.discoveriesBySender), x.balancedAfter()
		if x.requestedWeight > 0 {
			y.Served = x.deliveredWeight / x.requestedWeight
		}
		for _, n := range x.discoveriesBySender {
			y.MaxOfOneSender = max(y.MaxOfOneSender, n)
		}
		list = append(list, y)
	}
	return list
}

// balancedAfter returns the end, in seconds after the outage, of the first one-second window in which the affected
// endpoints received at least two thirds of their fair share of calls, or -1 if there is none.
func (x *outage) balancedAfter() float64 {
	const second = int(time.Second / outageStep)
	wantedShare := 2.0 / 3 * float64(x.Affected) / float64(x.Of)
	for n := second; n <= len(x.callsAfter); n++ {
		affectedCalls, totalCalls := 0, 0
		for _, c := range x.callsAfter[n-second : n] {
			affectedCalls, totalCalls = affectedCalls+c[0], totalCalls+c[1]
		}
		if totalCalls > 0 && float64(affectedCalls) >= wantedShare*float64(totalCalls) {
			return (time.Duration(n) * outageStep).Seconds()
		}
	}
	return -1
}

// WriteOutages writes a table with one line per outage.
func WriteOutages(out io.Writer, list []Outage) error {
	fmt.Fprintf(out, "%11s %7s %7s %7s %7s %7s %7s %7s %7s %5s %6s\n", "DESTINATION", "STRUCK", "FROM", "TO", "WANTED",
		"SERVED", "FINDS", "FIRST", "FINDERS", "MOST", "EVEN")
	for _, x := range list {
		_, err := fmt.Fprintf(out, "%11d %7s %7.1f %7.1f %7d %7.3f %7d %7d %7d %5d %6.1f\n", x.Dest,
			fmt.Sprintf("%d/%d", x.Affected, x.Of), x.From, x.To, x.Requested, x.Served, x.Discoveries,
			x.DiscoveriesInFirstSecond, x.DiscoveringSenders, x.MaxOfOneSender, x.BalancedAfter)
		if err != nil {
			return err
		}
	}
	return nil
}
