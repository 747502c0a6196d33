package report

import (
	"fmt"
	"io"
	"math"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
)

// Sum is the usage of a destination in one second: its limit, and the calls of all senders.
type Sum struct {
	At             int     `json:"at"`    // seconds since the start of the run
	Limit          float64 `json:"limit"` // calls in the second; 0: no limit
	Requested      int     `json:"wanted"`
	Calls          int     `json:"calls"`
	Rejected       int     `json:"refused"`
	Served         int     `json:"served"`
	Senders        int     `json:"senders"` // number of senders that called
	MaxOfOneSender int     `json:"most"`    // maximum of the calls per sender
}

// Sums counts the calls of all senders per destination and second and compares them with the limits.
type Sums struct {
	plan          *scenario.Plan
	byDestination map[int][]*secondCount
	calls         map[uint64]*secondCount
	limitFactors  map[string]float64 // by endpoint with a reduced limit
}

// secondCount is the count of a destination in one second, with the data that is needed while events are read.
type secondCount struct {
	Sum
	callsBySender map[int]int
}

// NewSums returns empty counts for a run of a plan.
func NewSums(p *scenario.Plan) *Sums {
	return &Sums{plan: p, byDestination: map[int][]*secondCount{}, calls: map[uint64]*secondCount{},
		limitFactors: map[string]float64{}}
}

// Read processes the next event. It never returns an error.
func (s *Sums) Read(e audit.Event) error {
	switch e.Kind {
	case audit.Requested:
		s.secondAt(e.Dest, e.At).Requested++
	case audit.Sent:
		x := s.secondAt(e.Dest, e.At)
		x.Calls++
		x.callsBySender[e.Sender]++
		s.calls[e.Call] = x
	case audit.Ended:
		x := s.calls[e.Call]
		delete(s.calls, e.Call)
		switch {
		case x == nil:
		case e.Cause == partner.Rejected.String():
			x.Rejected++
		case e.Outcome == audit.Delivered:
			x.Served++
		}
	}
	return nil
}

// secondAt returns the count of a destination for the second that contains a time. It creates missing counts up to
// that second.
func (s *Sums) secondAt(dest int, at time.Duration) *secondCount {
	n := int(at / time.Second)
	for len(s.byDestination[dest]) <= n {
		s.byDestination[dest] = append(s.byDestination[dest],
			&secondCount{Sum: Sum{At: len(s.byDestination[dest])}, callsBySender: map[int]int{}})
	}
	return s.byDestination[dest][n]
}

// Limit returns the limit of a destination, averaged over a second of the run, or 0 if it has none.
func (s *Sums) Limit(d *scenario.Destination, sec int) float64 {
	if d.Limit.Form == partner.NoLimit {
		return 0
	}
	const steps = 20
	sum := 0.0
	for i := range steps {
		sum += s.limitAt(d, time.Duration(sec)*time.Second+time.Duration(i)*time.Second/steps) / steps
	}
	return sum
}

// limitAt returns the limit of a destination at a time. If its endpoints have separate routes, their limits add up;
// otherwise the lowest limit factor of its endpoints applies to the destination.
func (s *Sums) limitAt(d *scenario.Destination, at time.Duration) float64 {
	sum, lowestFactor := 0.0, 1.0
	for _, e := range d.Endpoints {
		factor := 1.0
		for _, c := range s.plan.Changes {
			if c.At > at {
				break
			}
			if c.Endpoint == e.ID && !c.StartsDraining && !c.Removed && c.Added == nil {
				if factor = 1; c.Fault.Mode == partner.LimitReduced {
					factor = c.Fault.Factor
				}
			}
		}
		sum += factor * d.Limit.PerSecond
		lowestFactor = min(lowestFactor, factor)
	}
	if d.SeparateRoutes {
		return sum
	}
	return lowestFactor * d.Limit.PerSecond
}

// ForDestination returns the usage of a destination in each second of the run.
func (s *Sums) ForDestination(dest int) []Sum {
	var list []Sum
	for i := range s.plan.Destinations {
		d := &s.plan.Destinations[i]
		if d.Dest != dest {
			continue
		}
		for _, x := range s.byDestination[dest] {
			x.Limit, x.Senders, x.MaxOfOneSender = s.Limit(d, x.At), len(x.callsBySender), 0
			for _, n := range x.callsBySender {
				x.MaxOfOneSender = max(x.MaxOfOneSender, n)
			}
			list = append(list, x.Sum)
		}
	}
	return list
}

// Span is the usage of a destination in an interval of the run, as averages per second.
type Span struct {
	Dest      int     `json:"destination"`
	From      int     `json:"from"` // seconds
	To        int     `json:"to"`
	Limit     float64 `json:"limit"` // average
	Calls     float64 `json:"calls"` // per second
	Rejected  float64 `json:"refused"`
	Served    float64 `json:"served"`
	MaxExcess float64 `json:"most_over"` // maximum ratio of calls to limit in one second
	Used      float64 `json:"used"`      // served calls as a fraction of what limit and traffic allow
}

// Between summarizes the usage of a destination from the second from, inclusive, to the second to, exclusive.
func (s *Sums) Between(dest, from, to int) Span {
	x := Span{Dest: dest, From: from, To: to}
	allowed := 0.0
	for _, sum := range s.ForDestination(dest) {
		if sum.At < from || sum.At >= to {
			continue
		}
		n := float64(to - from)
		x.Limit, x.Calls = x.Limit+sum.Limit/n, x.Calls+float64(sum.Calls)/n
		x.Rejected, x.Served = x.Rejected+float64(sum.Rejected)/n, x.Served+float64(sum.Served)/n
		if sum.Limit > 0 {
			x.MaxExcess = max(x.MaxExcess, float64(sum.Calls)/sum.Limit)
			allowed += min(sum.Limit, float64(sum.Requested))
		}
	}
	if allowed > 0 {
		x.Used = min(1, x.Served*float64(to-from)/allowed)
	}
	return x
}

// Spans returns the usage of a destination in each interval in which its limit is constant.
func (s *Sums) Spans(dest int) (list []Span) {
	all := s.ForDestination(dest)
	for from := 0; from < len(all); {
		to := from + 1
		for to < len(all) && math.Abs(all[to].Limit-all[from].Limit) < 1e-9 {
			to++
		}
		list = append(list, s.Between(dest, from, to))
		from = to
	}
	return list
}

// LimitedDestinations returns the destinations whose limit is reduced during the run. If there is none, it returns all
// destinations that have a limit.
func (s *Sums) LimitedDestinations() (list []int) {
	for _, reducedOnly := range []bool{true, false} {
		for i := range s.plan.Destinations {
			d := &s.plan.Destinations[i]
			reduced := false
			for _, e := range d.Endpoints {
				for _, c := range s.plan.Changes {
					reduced = reduced || c.Endpoint == e.ID && c.Fault.Mode == partner.LimitReduced
				}
			}
			if d.Limit.Form != partner.NoLimit && (reduced || !reducedOnly) {
				list = append(list, d.Dest)
			}
		}
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// Table writes a table with the usage of a destination, one line per second.
func (s *Sums) Table(out io.Writer, dest int) error {
	fmt.Fprintf(out, "destination %d\n%8s %8s %8s %8s %8s %8s %8s %8s\n", dest, "SECOND", "LIMIT", "WANTED", "CALLS",
		"REFUSED", "SERVED", "SENDERS", "MOST")
	for _, x := range s.ForDestination(dest) {
		if _, err := fmt.Fprintf(out, "%8d %8.1f %8d %8d %8d %8d %8d %8d\n", x.At, x.Limit, x.Requested, x.Calls,
			x.Rejected, x.Served, x.Senders, x.MaxOfOneSender); err != nil {
			return err
		}
	}
	return nil
}
