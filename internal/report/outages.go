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

// Outage is a trouble of some endpoints of one destination, and what the fleet did meanwhile.
type Outage struct {
	Dest    int     `json:"destination"`
	Struck  int     `json:"struck"` // endpoints
	Of      int     `json:"of"`     // of so many
	From    float64 `json:"from"`   // seconds
	To      float64 `json:"to"`
	Wanted  int     `json:"wanted"`  // messages, meanwhile
	Served  float64 `json:"served"`  // worth that they brought, of what they could
	Finds   int     `json:"finds"`   // calls and probes by which senders found a struck endpoint, or found it again
	First   int     `json:"first"`   // those of them in the first second
	Finders int     `json:"finders"` // senders that did
	Most    int     `json:"most"`    // by one sender
	Even    float64 `json:"even"`    // seconds from its end until the struck have two thirds of their even part again; below 0 = never
}

// Outages follows a run's outages of endpoints. Cut limits are none: Sums has them.
type Outages struct {
	plan  *scenario.Plan
	list  []*outage
	tally *simulation.ServiceMeter
	asked map[int]*outage // by message: the one in which it was wanted
}

type outage struct {
	Outage
	from, to      time.Duration
	struck        map[string]bool
	by            map[int]int // finds of each sender
	worth, brings float64
	after         [][2]int // calls to the struck, and to all, by tenths of a second from its end
}

// NewOutages follows the outages of a plan's run.
func NewOutages(p *scenario.Plan) *Outages {
	o := &Outages{plan: p, tally: simulation.NewServiceMeter(p.Scenario), asked: map[int]*outage{}}
	o.tally.OnDelivered = func(n int, worth float64) {
		if x := o.asked[n]; x != nil {
			x.brings += worth
			delete(o.asked, n)
		}
	}
	for i := range p.Scenario.Faults {
		for _, d := range p.Dests {
			x := &outage{struck: map[string]bool{}, by: map[int]int{}}
			for _, c := range p.Changes {
				ours := slices.ContainsFunc(d.Endpoints, func(e partner.EndpointSpec) bool { return e.ID == c.Endpoint })
				if c.Of != i || c.Joins != nil || c.Drains || c.Leaves || !ours {
					continue
				}
				if mode := c.Fault.Mode; mode != partner.Healthy && mode != partner.LimitReduced && !x.struck[c.Endpoint] {
					x.struck[c.Endpoint], x.from = true, c.At
				} else if x.struck[c.Endpoint] {
					x.to = c.At
				}
			}
			if len(x.struck) > 0 {
				x.Dest, x.Struck, x.Of, x.From, x.To = d.Dest, len(x.struck), len(d.Endpoints), x.from.Seconds(), x.to.Seconds()
				o.list = append(o.list, x)
			}
		}
	}
	return o
}

// at is the outage of a destination at a time, if it has one.
func (o *Outages) at(dest int, at time.Duration) *outage {
	for _, x := range o.list {
		if x.Dest == dest && at >= x.from && at < x.to {
			return x
		}
	}
	return nil
}

// Read takes the next event.
func (o *Outages) Read(e audit.Event) error {
	switch e.Kind {
	case audit.Requested:
		if x := o.at(e.Dest, e.At); x != nil {
			x.Wanted++
			x.worth += o.plan.Scenario.Traffic.Classes[e.Class].PriorityWeight
			o.asked[e.N] = x
		}
	case audit.Sent:
		for _, x := range o.list {
			if x.Dest != e.Dest || e.At < x.to {
				continue
			}
			n := int((e.At - x.to) / outageStep)
			for len(x.after) <= n {
				x.after = append(x.after, [2]int{})
			}
			if x.after[n][1]++; x.struck[e.Endpoint] {
				x.after[n][0]++
			}
		}
	case audit.FailureSeen:
		if x := o.at(e.Dest, e.At); x != nil && x.struck[e.Endpoint] {
			x.Finds++
			if x.by[e.Sender]++; e.At < x.from+time.Second {
				x.First++
			}
		}
	}
	return o.tally.Read(e)
}

// outageStep is how finely the time after an outage is seen.
const outageStep = 100 * time.Millisecond

// List is what became of each outage.
func (o *Outages) List() (list []Outage) {
	for _, x := range o.list {
		y := x.Outage
		y.Served, y.Finders, y.Even = 1, len(x.by), x.even()
		if x.worth > 0 {
			y.Served = x.brings / x.worth
		}
		for _, n := range x.by {
			y.Most = max(y.Most, n)
		}
		list = append(list, y)
	}
	return list
}

// even is the end of the first second in which the struck had two thirds of their even part.
func (x *outage) even() float64 {
	const second = int(time.Second / outageStep)
	want := 2.0 / 3 * float64(x.Struck) / float64(x.Of)
	for n := second; n <= len(x.after); n++ {
		struck, all := 0, 0
		for _, c := range x.after[n-second : n] {
			struck, all = struck+c[0], all+c[1]
		}
		if all > 0 && float64(struck) >= want*float64(all) {
			return (time.Duration(n) * outageStep).Seconds()
		}
	}
	return -1
}

// WriteOutages writes a line for each.
func WriteOutages(out io.Writer, list []Outage) error {
	fmt.Fprintf(out, "%11s %7s %7s %7s %7s %7s %7s %7s %7s %5s %6s\n", "DESTINATION", "STRUCK", "FROM", "TO", "WANTED", "SERVED", "FINDS", "FIRST", "FINDERS", "MOST", "EVEN")
	for _, x := range list {
		_, err := fmt.Fprintf(out, "%11d %7s %7.1f %7.1f %7d %7.3f %7d %7d %7d %5d %6.1f\n", x.Dest, fmt.Sprintf("%d/%d", x.Struck, x.Of), x.From, x.To, x.Wanted, x.Served, x.Finds, x.First, x.Finders, x.Most, x.Even)
		if err != nil {
			return err
		}
	}
	return nil
}
