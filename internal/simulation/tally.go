package simulation

import (
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// windowSpan is the length of the stretches of which the worst counts.
const windowSpan = 10 * time.Second

// Score is the service of a run, as BRIEF 9 weighs it.
type Score struct {
	Messages      int           `json:"messages"`
	Service       float64       `json:"service"`
	Overall       float64       `json:"whole"`
	Worst         float64       `json:"worst_10s"`
	WorstAt       time.Duration `json:"worst_at"`
	Classes       []float64     `json:"classes"`
	Tenants       []float64     `json:"tenants"`
	Rejected      int           `json:"turned"`  // hand-ins that got a fixed response
	RejectedCalls int           `json:"refused"` // calls that a partner turned away
	Calls         int           `json:"calls"`
}

// A ServiceMeter counts service from a ledger's events. It keeps messages until their time
// is up.
type ServiceMeter struct {
	OnDelivered func(n int, worth float64) // hears of each message of a client that brings its worth; nil = nobody

	classes  []scenario.Class
	messages map[int]*asked
	oldest   int // the first that may still be among them
	longest  time.Duration
	ids      map[string]*tried
	calls    map[uint64][]string
	windows  []worth
	byClass  []worth
	byTenant []worth
	score    Score
}

// A worth is what was asked for and what was brought.
type worth struct{ asked, brought float64 }

func (w worth) share() float64 {
	if w.asked == 0 {
		return 1
	}
	return w.brought / w.asked
}

// asked is a client's message, over all its hand-ins.
type asked struct {
	class, tenant int
	born          time.Duration
	done          bool
	ids           []string
}

// tried is one hand-in.
type tried struct {
	n         int
	taken     bool
	delivered bool // before its client heard that it is taken on
}

// NewServiceMeter counts the service of a scenario's run.
func NewServiceMeter(s *scenario.Scenario) *ServiceMeter {
	t := &ServiceMeter{
		classes: s.Traffic.Classes, messages: map[int]*asked{}, ids: map[string]*tried{}, calls: map[uint64][]string{},
		byClass: make([]worth, len(s.Traffic.Classes)), byTenant: make([]worth, len(s.Traffic.Tenants)),
	}
	for _, c := range s.Traffic.Classes {
		t.longest = max(t.longest, c.Deadline)
	}
	return t
}

// Read takes an event.
func (t *ServiceMeter) Read(e audit.Event) error {
	switch e.Kind {
	case audit.Requested:
		t.asked(e)
	case audit.Submitted:
		t.ids[e.Message] = &tried{n: e.N}
		if m := t.messages[e.N]; m != nil {
			m.ids = append(m.ids, e.Message)
		}
	case audit.Accepted:
		if x := t.ids[e.Message]; x != nil {
			if x.taken = true; x.delivered {
				t.bring(x, e.At)
			}
		}
	case audit.Rejected:
		t.score.Rejected++
		delete(t.ids, e.Message)
	case audit.Abandoned, audit.Notice:
		delete(t.ids, e.Message)
	case audit.Sent:
		t.score.Calls++
		if len(e.Messages) > 0 {
			t.calls[e.Call] = e.Messages
		}
	case audit.Ended:
		if e.Outcome == audit.NeverRan {
			t.score.RejectedCalls++
		}
		for _, id := range t.calls[e.Call] {
			if x := t.ids[id]; x != nil && e.Outcome == audit.Delivered {
				if x.delivered = true; x.taken {
					t.bring(x, e.At)
				}
			}
		}
		delete(t.calls, e.Call)
	}
	return nil
}

func (t *ServiceMeter) asked(e audit.Event) {
	w := t.classes[e.Class].PriorityWeight
	for i := int(e.At / windowSpan); len(t.windows) <= i; {
		t.windows = append(t.windows, worth{})
	}
	t.windows[e.At/windowSpan].asked += w
	t.byClass[e.Class].asked += w
	t.byTenant[e.Tenant].asked += w
	t.score.Messages++
	t.messages[e.N] = &asked{class: e.Class, tenant: e.Tenant, born: e.At}
	for ; t.oldest < e.N; t.oldest++ { // those whose time is up go
		m := t.messages[t.oldest]
		if m != nil && e.At < m.born+t.longest+5*time.Second {
			break
		}
		if m != nil {
			for _, id := range m.ids {
				delete(t.ids, id)
			}
			delete(t.messages, t.oldest)
		}
	}
}

// bring counts the worth of a message, once.
func (t *ServiceMeter) bring(x *tried, at time.Duration) {
	m := t.messages[x.n]
	if m == nil || m.done {
		return
	}
	m.done = true
	w := PriorityWeightAt(&t.classes[m.class], at-m.born)
	t.windows[m.born/windowSpan].brought += w
	t.byClass[m.class].brought += w
	t.byTenant[m.tenant].brought += w
	if t.OnDelivered != nil {
		t.OnDelivered(x.n, w)
	}
}

// PriorityWeightAt is what a message is worth that is delivered so long after it was wanted.
func PriorityWeightAt(c *scenario.Class, age time.Duration) float64 {
	if age <= c.LatencyObjective {
		return c.PriorityWeight
	}
	return c.PriorityWeight * (1 - (1-c.LateWeight)*min(1, float64(age-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)))
}

// Score is the service so far.
func (t *ServiceMeter) Score() Score {
	s := t.score
	s.Worst = 1
	whole := worth{}
	for i, w := range t.windows {
		whole.asked += w.asked
		whole.brought += w.brought
		if x := w.share(); x < s.Worst && w.asked > 0 {
			s.Worst, s.WorstAt = x, time.Duration(i)*windowSpan
		}
	}
	s.Overall = whole.share()
	class, tenant := 1.0, 1.0
	for _, w := range t.byClass {
		s.Classes = append(s.Classes, w.share())
		class = min(class, w.share())
	}
	for _, w := range t.byTenant {
		s.Tenants = append(s.Tenants, w.share())
		tenant = min(tenant, w.share())
	}
	s.Service = 0.4*s.Overall + 0.3*s.Worst + 0.2*class + 0.1*tenant
	return s
}

// Held is how many messages, hand-ins and calls are remembered.
func (t *ServiceMeter) Held() int { return len(t.messages) + len(t.ids) + len(t.calls) }
