package simulation

import (
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// scoreWindow is the length of the time windows; the one with the lowest score enters the service.
const scoreWindow = 10 * time.Second

// Score is the service score of a run, computed with the weights of BRIEF 9. Shares are from 0 to 1.
type Score struct {
	Messages      int           `json:"messages"`
	Service       float64       `json:"service"`
	Overall       float64       `json:"whole"`
	Worst         float64       `json:"worst_10s"`
	WorstAt       time.Duration `json:"worst_at"`
	Classes       []float64     `json:"classes"`
	Tenants       []float64     `json:"tenants"`
	Rejected      int           `json:"turned"`  // submissions that got an error response
	RejectedCalls int           `json:"refused"` // calls that a partner rejected
	Calls         int           `json:"calls"`
}

// A ServiceMeter computes the service score of a run from a ledger's events. It keeps messages until some time after
// their deadline. It is not safe for concurrent use.
type ServiceMeter struct {
	// OnDelivered is called for each delivered message with its number and its weight in the score. It may be nil.
	OnDelivered func(n int, weight float64)

	classes     []scenario.Class
	requests    map[int]*request
	oldest      int // lower bound of the keys of requests
	maxDeadline time.Duration
	submissions map[string]*submission
	calls       map[uint64][]string
	windows     []weightSum
	byClass     []weightSum
	byTenant    []weightSum
	score       Score
}

// A weightSum is the total weight of the requested and of the delivered messages.
type weightSum struct{ requested, delivered float64 }

// fraction returns the delivered part of the requested weight; 1 if nothing was requested.
func (w weightSum) fraction() float64 {
	if w.requested == 0 {
		return 1
	}
	return w.delivered / w.requested
}

// request is a client's message, over all its submissions.
type request struct {
	class, tenant int
	requestedAt   time.Duration
	done          bool
	ids           []string
}

// submission is one submission of a request.
type submission struct {
	request   int
	accepted  bool
	delivered bool // by a partner; the client may not have received the acceptance yet
}

// NewServiceMeter returns a ServiceMeter for a run of a scenario.
func NewServiceMeter(s *scenario.Scenario) *ServiceMeter {
	meter := &ServiceMeter{
		classes: s.Traffic.Classes, requests: map[int]*request{}, submissions: map[string]*submission{},
		calls:   map[uint64][]string{},
		byClass: make([]weightSum, len(s.Traffic.Classes)), byTenant: make([]weightSum, len(s.Traffic.Tenants)),
	}
	for _, c := range s.Traffic.Classes {
		meter.maxDeadline = max(meter.maxDeadline, c.Deadline)
	}
	return meter
}

// Read processes the next event. The returned error is always nil.
func (meter *ServiceMeter) Read(e audit.Event) error {
	switch e.Kind {
	case audit.Requested:
		meter.addRequest(e)
	case audit.Submitted:
		meter.submissions[e.Message] = &submission{request: e.Request}
		if m := meter.requests[e.Request]; m != nil {
			m.ids = append(m.ids, e.Message)
		}
	case audit.Accepted:
		if sub := meter.submissions[e.Message]; sub != nil {
			if sub.accepted = true; sub.delivered {
				meter.addDelivered(sub, e.At)
			}
		}
	case audit.Rejected:
		meter.score.Rejected++
		delete(meter.submissions, e.Message)
	case audit.Abandoned, audit.DeliveryReported:
		delete(meter.submissions, e.Message)
	case audit.Sent:
		meter.score.Calls++
		if len(e.Messages) > 0 {
			meter.calls[e.Call] = e.Messages
		}
	case audit.Ended:
		if e.Outcome == audit.NeverRan {
			meter.score.RejectedCalls++
		}
		for _, id := range meter.calls[e.Call] {
			if sub := meter.submissions[id]; sub != nil && e.Outcome == audit.Delivered {
				if sub.delivered = true; sub.accepted {
					meter.addDelivered(sub, e.At)
				}
			}
		}
		delete(meter.calls, e.Call)
	}
	return nil
}

// addRequest counts a requested message, and deletes messages whose deadline passed more than 5 s ago.
func (meter *ServiceMeter) addRequest(e audit.Event) {
	w := meter.classes[e.Class].PriorityWeight
	for i := int(e.At / scoreWindow); len(meter.windows) <= i; {
		meter.windows = append(meter.windows, weightSum{})
	}
	meter.windows[e.At/scoreWindow].requested += w
	meter.byClass[e.Class].requested += w
	meter.byTenant[e.Tenant].requested += w
	meter.score.Messages++
	meter.requests[e.Request] = &request{class: e.Class, tenant: e.Tenant, requestedAt: e.At}
	for ; meter.oldest < e.Request; meter.oldest++ {
		m := meter.requests[meter.oldest]
		if m != nil && e.At < m.requestedAt+meter.maxDeadline+5*time.Second {
			break
		}
		if m != nil {
			for _, id := range m.ids {
				delete(meter.submissions, id)
			}
			delete(meter.requests, meter.oldest)
		}
	}
}

// addDelivered counts the weight of a delivered message, once.
func (meter *ServiceMeter) addDelivered(sub *submission, at time.Duration) {
	m := meter.requests[sub.request]
	if m == nil || m.done {
		return
	}
	m.done = true
	w := PriorityWeightAt(&meter.classes[m.class], at-m.requestedAt)
	meter.windows[m.requestedAt/scoreWindow].delivered += w
	meter.byClass[m.class].delivered += w
	meter.byTenant[m.tenant].delivered += w
	if meter.OnDelivered != nil {
		meter.OnDelivered(sub.request, w)
	}
}

// PriorityWeightAt returns the weight of a message that is delivered at this age: the full weight up to the latency
// objective, then decreasing linearly to the late weight at the deadline.
func PriorityWeightAt(class *scenario.Class, age time.Duration) float64 {
	if age <= class.LatencyObjective {
		return class.PriorityWeight
	}
	late := min(1, float64(age-class.LatencyObjective)/float64(class.Deadline-class.LatencyObjective))
	return class.PriorityWeight * (1 - (1-class.LateWeight)*late)
}

// Score returns the score so far.
func (meter *ServiceMeter) Score() Score {
	s := meter.score
	s.Worst = 1
	total := weightSum{}
	for i, w := range meter.windows {
		total.requested += w.requested
		total.delivered += w.delivered
		if x := w.fraction(); x < s.Worst && w.requested > 0 {
			s.Worst, s.WorstAt = x, time.Duration(i)*scoreWindow
		}
	}
	s.Overall = total.fraction()
	class, tenant := 1.0, 1.0
	for _, w := range meter.byClass {
		s.Classes = append(s.Classes, w.fraction())
		class = min(class, w.fraction())
	}
	for _, w := range meter.byTenant {
		s.Tenants = append(s.Tenants, w.fraction())
		tenant = min(tenant, w.fraction())
	}
	s.Service = 0.4*s.Overall + 0.3*s.Worst + 0.2*class + 0.1*tenant
	return s
}

// Size returns the number of messages, submissions and calls that the meter keeps.
func (meter *ServiceMeter) Size() int {
	return len(meter.requests) + len(meter.submissions) + len(meter.calls)
}
