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

// Sum is a second of one destination: what its limit was, and what all senders together did.
type Sum struct {
	At      int     `json:"at"`    // seconds of the run
	Limit   float64 `json:"limit"` // calls in the second; 0 = it has none
	Wanted  int     `json:"wanted"`
	Calls   int     `json:"calls"`
	Refused int     `json:"refused"`
	Served  int     `json:"served"`
	Senders int     `json:"senders"` // that called
	Most    int     `json:"most"`    // calls of the one that called most
}

// Sums counts a run's calls against the limits, by second, over all senders.
type Sums struct {
	plan  *scenario.Plan
	dests map[int][]*second
	calls map[uint64]*second
	limit map[string]float64 // of endpoints whose limit is cut: the factor
}

type second struct {
	Sum
	by map[int]int // calls of each sender
}

// NewSums counts a plan's run.
func NewSums(p *scenario.Plan) *Sums {
	return &Sums{plan: p, dests: map[int][]*second{}, calls: map[uint64]*second{}, limit: map[string]float64{}}
}

// Read takes the next event.
func (s *Sums) Read(e audit.Event) error {
	switch e.Kind {
	case audit.Requested:
		s.of(e.Dest, e.At).Wanted++
	case audit.Sent:
		x := s.of(e.Dest, e.At)
		x.Calls++
		x.by[e.Sender]++
		s.calls[e.Call] = x
	case audit.Ended:
		x := s.calls[e.Call]
		delete(s.calls, e.Call)
		switch {
		case x == nil:
		case e.Cause == partner.Rejected.String():
			x.Refused++
		case e.Outcome == audit.Delivered:
			x.Served++
		}
	}
	return nil
}

// of is the second of a destination that a time falls into. Those before it are there then, too.
func (s *Sums) of(dest int, at time.Duration) *second {
	n := int(at / time.Second)
	for len(s.dests[dest]) <= n {
		s.dests[dest] = append(s.dests[dest], &second{Sum: Sum{At: len(s.dests[dest])}, by: map[int]int{}})
	}
	return s.dests[dest][n]
}

// Limit is what a destination takes in a second, in the mean over it.
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

func (s *Sums) limitAt(d *scenario.Destination, at time.Duration) float64 {
	sum, least := 0.0, 1.0
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
		least = min(least, factor)
	}
	if d.SeparateRoutes {
		return sum
	}
	return least * d.Limit.PerSecond
}

// Of is a destination's run, second by second.
func (s *Sums) Of(dest int) []Sum {
	var list []Sum
	for i := range s.plan.Dests {
		d := &s.plan.Dests[i]
		if d.Dest != dest {
			continue
		}
		for _, x := range s.dests[dest] {
			x.Limit, x.Senders, x.Most = s.Limit(d, x.At), len(x.by), 0
			for _, n := range x.by {
				x.Most = max(x.Most, n)
			}
			list = append(list, x.Sum)
		}
	}
	return list
}

// Span is a stretch of a destination's run.
type Span struct {
	Dest     int     `json:"destination"`
	From     int     `json:"from"` // seconds
	To       int     `json:"to"`
	Limit    float64 `json:"limit"` // in the mean
	Calls    float64 `json:"calls"` // a second
	Refused  float64 `json:"refused"`
	Served   float64 `json:"served"`
	MostOver float64 `json:"most_over"` // the worst second's calls, as a multiple of its limit
	Used     float64 `json:"used"`      // served, of what the limit or the traffic allows
}

// Between sums a destination up over some seconds.
func (s *Sums) Between(dest, from, to int) Span {
	x := Span{Dest: dest, From: from, To: to}
	allowed := 0.0
	for _, sum := range s.Of(dest) {
		if sum.At < from || sum.At >= to {
			continue
		}
		n := float64(to - from)
		x.Limit, x.Calls = x.Limit+sum.Limit/n, x.Calls+float64(sum.Calls)/n
		x.Refused, x.Served = x.Refused+float64(sum.Refused)/n, x.Served+float64(sum.Served)/n
		if sum.Limit > 0 {
			x.MostOver = max(x.MostOver, float64(sum.Calls)/sum.Limit)
			allowed += min(sum.Limit, float64(sum.Wanted))
		}
	}
	if allowed > 0 {
		x.Used = min(1, x.Served*float64(to-from)/allowed)
	}
	return x
}

// Spans are the stretches in which a destination's limit stays as it is, or nothing ails it.
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

// Limited are the destinations with a limit that is cut in the run, or all that have one where none is.
func (s *Sums) Limited() (list []int) {
	for _, only := range []bool{true, false} {
		for i := range s.plan.Dests {
			d := &s.plan.Dests[i]
			cut := false
			for _, e := range d.Endpoints {
				for _, c := range s.plan.Changes {
					cut = cut || c.Endpoint == e.ID && c.Fault.Mode == partner.LimitReduced
				}
			}
			if d.Limit.Form != partner.NoLimit && (cut || !only) {
				list = append(list, d.Dest)
			}
		}
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// Table writes a destination's seconds.
func (s *Sums) Table(out io.Writer, dest int) error {
	fmt.Fprintf(out, "destination %d\n%8s %8s %8s %8s %8s %8s %8s %8s\n", dest, "SECOND", "LIMIT", "WANTED", "CALLS", "REFUSED", "SERVED", "SENDERS", "MOST")
	for _, x := range s.Of(dest) {
		if _, err := fmt.Fprintf(out, "%8d %8.1f %8d %8d %8d %8d %8d %8d\n", x.At, x.Limit, x.Wanted, x.Calls, x.Refused, x.Served, x.Senders, x.Most); err != nil {
			return err
		}
	}
	return nil
}
