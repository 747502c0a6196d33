// Package report makes one page of a run: what was asked for and brought over time,
// what was refused and why, calls in flight, ages in the queue, and how long each
// class took, with the troubles on the time axis. It reads a ledger event by event.
package report

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// binsMost is how finely a run is drawn at most.
const binsMost = 600

// A bin is a stretch of the time axis.
type bin struct {
	asked, brought float64        // worth, by the time at which it was wanted
	causes         map[string]int // calls and hand-ins that came to nothing
	flying         int            // calls out, at most
	waiting        int            // messages taken on without an end, at most
	oldest         time.Duration  // the age of the oldest of them, at the end of the bin
}

// Collector gathers a run's events.
type Collector struct {
	plan   *scenario.Plan
	width  time.Duration
	bins   []bin
	tally  *simulation.ServiceMeter
	at     time.Duration
	events int

	wanted  map[int]wanted // messages whose time is not up
	first   int            // the oldest that may be among them
	longest time.Duration
	ids     map[string]int
	calls   map[uint64][]string
	open    map[string]time.Duration // taken on, no end yet
	line    []string                 // the same in the order in which they were taken on
	byClass []*hdrhistogram.Histogram
	causes  map[string]int
	deaths  int
}

type wanted struct {
	class int
	born  time.Duration
	ids   []string
}

// NewCollector gathers the events of a plan's run.
func NewCollector(p *scenario.Plan) *Collector {
	c := &Collector{
		plan: p, width: time.Second, tally: simulation.NewServiceMeter(p.Scenario), wanted: map[int]wanted{}, ids: map[string]int{},
		calls: map[uint64][]string{}, open: map[string]time.Duration{}, causes: map[string]int{},
	}
	for p.Scenario.Length/c.width > binsMost {
		c.width *= 2
	}
	for _, class := range p.Scenario.Traffic.Classes {
		c.longest = max(c.longest, class.Deadline)
		c.byClass = append(c.byClass, hdrhistogram.New(1, 600_000, 3)) // milliseconds
	}
	return c
}

// bin is where a time belongs. Bins that it passes are closed.
func (c *Collector) bin(at time.Duration) *bin {
	i := int(at / c.width)
	for len(c.bins) <= i {
		if n := len(c.bins); n > 0 {
			c.bins[n-1].oldest = c.oldest(time.Duration(n) * c.width)
		}
		c.bins = append(c.bins, bin{causes: map[string]int{}, flying: len(c.calls), waiting: len(c.open)})
	}
	return &c.bins[i]
}

// oldest is the age of the oldest message without an end.
func (c *Collector) oldest(now time.Duration) time.Duration {
	for len(c.line) > 0 {
		if at, open := c.open[c.line[0]]; open {
			return now - at
		}
		c.line = c.line[1:]
	}
	return 0
}

func (c *Collector) cause(b *bin, word string) {
	b.causes[word]++
	c.causes[word]++
}

// Read takes the next event.
func (c *Collector) Read(e audit.Event) error {
	c.events++
	c.at = e.At
	b := c.bin(e.At)
	switch e.Kind {
	case audit.Requested:
		b.asked += c.plan.Scenario.Traffic.Classes[e.Class].PriorityWeight
		c.wanted[e.N] = wanted{class: e.Class, born: e.At}
		c.forget(e)
	case audit.Submitted:
		c.ids[e.Message] = e.N
		if w, known := c.wanted[e.N]; known {
			w.ids = append(w.ids, e.Message)
			c.wanted[e.N] = w
		}
	case audit.Accepted:
		if _, known := c.ids[e.Message]; known {
			c.open[e.Message] = e.At
			c.line = append(c.line, e.Message)
			b.waiting = max(b.waiting, len(c.open))
		}
	case audit.Rejected:
		c.cause(b, "turned away at the door")
		delete(c.ids, e.Message)
	case audit.Abandoned:
		c.cause(b, "no answer at the door")
		delete(c.ids, e.Message)
	case audit.Notice:
		if e.Deferred {
			c.cause(b, "deferred")
		} else {
			c.cause(b, "undeliverable")
		}
		delete(c.open, e.Message)
	case audit.Sent:
		c.calls[e.Call] = e.Messages
		b.flying = max(b.flying, len(c.calls))
	case audit.Ended:
		if e.Outcome == audit.Delivered {
			c.delivered(e)
		} else if e.Cause != "" {
			c.cause(b, "call "+e.Cause)
		}
		delete(c.calls, e.Call)
	case audit.Died:
		c.deaths++
	}
	return c.tally.Read(e)
}

// delivered enters how long the messages of a call took, from when they were wanted.
func (c *Collector) delivered(e audit.Event) {
	for _, id := range c.calls[e.Call] {
		n, known := c.ids[id]
		w, still := c.wanted[n]
		delete(c.open, id)
		if !known || !still {
			continue
		}
		age := e.At - w.born
		c.byClass[w.class].RecordValue(min(max(age.Milliseconds(), 1), 599_999)) // fails only out of range
		c.bins[w.born/c.width].brought += simulation.PriorityWeightAt(&c.plan.Scenario.Traffic.Classes[w.class], age)
		for _, other := range w.ids {
			delete(c.ids, other)
		}
		delete(c.wanted, n)
	}
}

// forget drops messages whose time is long up.
func (c *Collector) forget(e audit.Event) {
	for ; c.first < e.N; c.first++ {
		w, known := c.wanted[c.first]
		if known && e.At < w.born+c.longest+5*time.Second {
			return
		}
		for _, id := range w.ids {
			delete(c.ids, id)
		}
		delete(c.wanted, c.first)
	}
}

// Held is how much is remembered; for the tests of its bounds.
func (c *Collector) Held() int { return len(c.wanted) + len(c.ids) + len(c.calls) + len(c.open) }

// Causes are the words for what came to nothing, those seen most often first.
func (c *Collector) Causes() []string {
	words := slices.Sorted(maps.Keys(c.causes))
	slices.SortStableFunc(words, func(a, b string) int { return c.causes[b] - c.causes[a] })
	return words
}
