// Package report creates a report page from the ledger of a run: service over time, failures by cause, calls in
// flight, the age of the oldest open message, and latencies by class, with the faults on the time axis. It also
// summarizes limits and outages, and compares paired runs. It reads a ledger event by event in bounded memory. It
// does not check rules, which is the task of package audit.
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

// maxBins is the maximum number of points in a plot.
const maxBins = 600

// timeBin is one interval of the time axis.
type timeBin struct {
	requested, delivered float64        // priority weight, in the bin of the request
	causes               map[string]int // failed calls and submissions by cause
	callsInFlight        int            // maximum within the bin
	openMessages         int            // maximum within the bin
	oldestAge            time.Duration  // of the oldest open message, at the end of the bin
}

// Collector collects the data for the page of a run from its events.
type Collector struct {
	plan     *scenario.Plan
	binWidth time.Duration
	bins     []timeBin
	meter    *simulation.ServiceMeter
	at       time.Duration
	events   int

	requests        map[int]request // by number, until some time after the deadline
	oldestRequest   int             // lowest number that may be in requests
	longestDeadline time.Duration
	requestByID     map[string]int
	calls           map[uint64][]string
	openSince       map[string]time.Duration // by message id: when an open message was accepted
	openOrder       []string                 // ids in the order of acceptance, including some closed messages
	byClass         []*hdrhistogram.Histogram
	causes          map[string]int
	processEnds     int
}

// request is a message that a client requested, with the ids of its submissions.
type request struct {
	class       int
	requestedAt time.Duration
	ids         []string
}

// NewCollector returns a Collector for a run of a plan.
func NewCollector(p *scenario.Plan) *Collector {
	c := &Collector{
		plan: p, binWidth: time.Second, meter: simulation.NewServiceMeter(p.Scenario), requests: map[int]request{},
		requestByID: map[string]int{},
		calls:       map[uint64][]string{}, openSince: map[string]time.Duration{}, causes: map[string]int{},
	}
	for p.Scenario.Length/c.binWidth > maxBins {
		c.binWidth *= 2
	}
	for _, class := range p.Scenario.Traffic.Classes {
		c.longestDeadline = max(c.longestDeadline, class.Deadline)
		c.byClass = append(c.byClass, hdrhistogram.New(1, 600_000, 3)) // milliseconds
	}
	return c
}

// binAt returns the bin of a time. It adds missing bins and completes those before it.
func (c *Collector) binAt(at time.Duration) *timeBin {
	i := int(at / c.binWidth)
	for len(c.bins) <= i {
		if n := len(c.bins); n > 0 {
			c.bins[n-1].oldestAge = c.oldestOpenAge(time.Duration(n) * c.binWidth)
		}
		c.bins = append(c.bins, timeBin{causes: map[string]int{}, callsInFlight: len(c.calls),
			openMessages: len(c.openSince)})
	}
	return &c.bins[i]
}

// oldestOpenAge returns the age of the oldest open message.
func (c *Collector) oldestOpenAge(now time.Duration) time.Duration {
	for len(c.openOrder) > 0 {
		if at, open := c.openSince[c.openOrder[0]]; open {
			return now - at
		}
		c.openOrder = c.openOrder[1:]
	}
	return 0
}

// addCause counts a failure with a cause in a bin and in the totals.
func (c *Collector) addCause(b *timeBin, cause string) {
	b.causes[cause]++
	c.causes[cause]++
}

// Read processes the next event. It never returns an error.
func (c *Collector) Read(e audit.Event) error {
	c.events++
	c.at = e.At
	b := c.binAt(e.At)
	switch e.Kind {
	case audit.Requested:
		b.requested += c.plan.Scenario.Traffic.Classes[e.Class].PriorityWeight
		c.requests[e.Request] = request{class: e.Class, requestedAt: e.At}
		c.evictExpired(e)
	case audit.Submitted:
		c.requestByID[e.Message] = e.Request
		if w, known := c.requests[e.Request]; known {
			w.ids = append(w.ids, e.Message)
			c.requests[e.Request] = w
		}
	case audit.Accepted:
		if _, known := c.requestByID[e.Message]; known {
			c.openSince[e.Message] = e.At
			c.openOrder = append(c.openOrder, e.Message)
			b.openMessages = max(b.openMessages, len(c.openSince))
		}
	case audit.Rejected:
		c.addCause(b, "turned away at the door")
		delete(c.requestByID, e.Message)
	case audit.Abandoned:
		c.addCause(b, "no answer at the door")
		delete(c.requestByID, e.Message)
	case audit.DeliveryReported:
		if e.Deferred {
			c.addCause(b, "deferred")
		} else {
			c.addCause(b, "undeliverable")
		}
		delete(c.openSince, e.Message)
	case audit.Sent:
		c.calls[e.Call] = e.Messages
		b.callsInFlight = max(b.callsInFlight, len(c.calls))
	case audit.Ended:
		if e.Outcome == audit.Delivered {
			c.delivered(e)
		} else if e.Cause != "" {
			c.addCause(b, "call "+e.Cause)
		}
		delete(c.calls, e.Call)
	case audit.ProcessEnded:
		c.processEnds++
	}
	return c.meter.Read(e)
}

// delivered records the latencies of the messages of a call, counted from their requests.
func (c *Collector) delivered(e audit.Event) {
	for _, id := range c.calls[e.Call] {
		n, known := c.requestByID[id]
		w, pending := c.requests[n]
		delete(c.openSince, id)
		if !known || !pending {
			continue
		}
		age := e.At - w.requestedAt
		c.byClass[w.class].RecordValue(min(max(age.Milliseconds(), 1), 599_999)) // fails only for values out of range
		c.bins[w.requestedAt/c.binWidth].delivered += simulation.PriorityWeightAt(&c.plan.Scenario.Traffic.Classes[w.class],
			age)
		for _, other := range w.ids {
			delete(c.requestByID, other)
		}
		delete(c.requests, n)
	}
}

// evictExpired removes the requests whose deadline passed more than 5 s ago.
func (c *Collector) evictExpired(e audit.Event) {
	for ; c.oldestRequest < e.Request; c.oldestRequest++ {
		w, known := c.requests[c.oldestRequest]
		if known && e.At < w.requestedAt+c.longestDeadline+5*time.Second {
			return
		}
		for _, id := range w.ids {
			delete(c.requestByID, id)
		}
		delete(c.requests, c.oldestRequest)
	}
}

// Size returns the number of requests, submissions, calls and messages in memory, for tests that check that it is
// bounded.
func (c *Collector) Size() int {
	return len(c.requests) + len(c.requestByID) + len(c.calls) + len(c.openSince)
}

// Causes returns the causes of failures in descending order of frequency.
func (c *Collector) Causes() []string {
	causes := slices.Sorted(maps.Keys(c.causes))
	slices.SortStableFunc(causes, func(a, b string) int { return c.causes[b] - c.causes[a] })
	return causes
}
