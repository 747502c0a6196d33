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

// Sum is one second of a destination: its limit, and the calls of all senders.
type Sum struct {
	At             int     `json:"at"`    // seconds of the run
	Limit          float64 `json:"limit"` // calls in the second; 0: none
	Requested      int     `json:"wanted"`
	Calls          int     `json:"calls"`
	Rejected       int     `json:"refused"`
	Served         int     `json:"served"`
	Senders        int     `json:"senders"` // those that called
	MaxOfOneSender int     `json:"most"`    // the most calls of one sender
}

// Sums counts the calls of a run against the limits, by second, over all senders.
type Sums struct {
	plan          *scenario.Plan
	byDestination map[int][]*secondCount
	calls         map[uint64]*secondCount
	limitFactors  map[string]float64 // by endpoint with a reduced limit: the factor
}

// secondCount is a second under way.
type secondCount struct {
	Sum
	callsBySender map[int]int // calls of each sender
}

// NewSums returns the counts for a run of a plan.
func NewSums(p *scenario.Plan) *Sums {
	return &Sums{plan: p, byDestination: map[int][]*secondCount{}, calls: map[uint64]*secondCount{},
		limitFactors: map[string]float64{}}
}

// Read takes the next event.
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

// secondAt returns the second of a destination at a time, and creates the ones before it.
func (s *Sums) secondAt(dest int, at time.Duration) *secondCount {
	n := int(at / time.Second)
	for len(s.byDestination[dest]) <= n {
		s.byDestination[dest] = append(s.byDestination[dest],
			&secondCount{Sum: Sum{At: len(s.byDestination[dest])}, callsBySender: map[int]int{}})
	}
	return s.byDestination[dest][n]
}

// Limit returns the limit of a destination, as a mean over a second of the run.
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

// limitAt returns the limit of a destination at a time.
func (s *Sums) limitAt(d *scenario.Destination, at time.Duration) float64 {
	sum, lowestFactor := 0.0, 1.0
	for _, e := range d.Endpoints {
		factor := 1.0
		for _, c := range s.plan.Changes {
			if c.At > at {
				break
			}
			if c.Endpoint == e.ID && !c.Drains && !c.Leaves && c.Joins == nil {
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

// Of returns a destination's run, second by second.
func (s *Sums) Of(dest int) []Sum {
	var list []Sum
	for i := range s.plan.Dests {
		d := &s.plan.Dests[i]
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

// Span is an interval of a destination's run, with figures a second.
type Span struct {
	Dest      int     `json:"destination"`
	From      int     `json:"from"` // seconds
	To        int     `json:"to"`
	Limit     float64 `json:"limit"` // in the mean
	Calls     float64 `json:"calls"` // a second
	Rejected  float64 `json:"refused"`
	Served    float64 `json:"served"`
	MaxExcess float64 `json:"most_over"` // the calls of the worst second, as a multiple of its limit
	Used      float64 `json:"used"`      // served calls, as a fraction of what limit and traffic allow
}

// Between sums up a destination from one second to before another.
func (s *Sums) Between(dest, from, to int) Span {
	x := Span{Dest: dest, From: from, To: to}
	allowed := 0.0
	for _, sum := range s.Of(dest) {
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

// Spans returns the intervals in which a destination's limit is constant.
func (s *Sums) Spans(dest int) (list []Span) {
	all := s.Of(dest)
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

// Limited returns the destinations whose limit is reduced in the run, or all with a limit if there is none.
func (s *Sums) Limited() (list []int) {
	for _, reducedOnly := range []bool{true, false} {
		for i := range s.plan.Dests {
			d := &s.plan.Dests[i]
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

// Table writes a destination's run, a line a second.
func (s *Sums) Table(out io.Writer, dest int) error {
	fmt.Fprintf(out, "destination %d\n%8s %8s %8s %8s %8s %8s %8s %8s\n", dest, "SECOND", "LIMIT", "WANTED", "CALLS",
		"REFUSED", "SERVED", "SENDERS", "MOST")
	for _, x := range s.Of(dest) {
		if _, err := fmt.Fprintf(out, "%8d %8.1f %8d %8d %8d %8d %8d %8d\n", x.At, x.Limit, x.Requested, x.Calls,
			x.Rejected, x.Served, x.Senders, x.MaxOfOneSender); err != nil {
			return err
		}
	}
	return nil
}
