package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// breaksMost are kept; more are only counted.
const breaksMost = 1000

// Auditor reads a ledger, event by event.
type Auditor struct {
	terms    Rules
	now      time.Duration
	messages map[string]*message
	calls    map[uint64]*call
	due      []*message // taken, by the time at which they are looked at
	senders  map[int]*sender
	routes   map[routeKey]*route
	breaks   []Violation
	count    map[Rule]int
	seen     Counts
	effects  map[string]effect // of unsafe messages
	sweepAt  time.Duration
}

// An effect is one that a message took; a second is looked for until a time.
type effect struct {
	call  uint64
	at    time.Duration
	until time.Duration
}

// effectSpan is for how long after its message's time a call may still take effect.
const effectSpan = 2 * time.Minute

// Counts tell how much was judged.
type Counts struct {
	Events        int `json:"Events"`
	Submissions   int `json:"HandIns"`
	Accepted      int `json:"Taken"`
	Calls         int `json:"Calls"`
	Delivered     int `json:"Delivered"`
	Deferred      int `json:"Deferred"`
	Undeliverable int `json:"Undeliverable"`

	Effects     int `json:"Effects"`     // messages that took effect, repeats too
	LateEffects int `json:"LateEffects"` // of calls that were cancelled
	Dropped     int `json:"Dropped"`     // repeats that the partner dropped
}

// A message from its hand-in until nothing later can be judged by it.
type message struct {
	id        string
	sender    int
	class     Class
	dest      int
	due       time.Duration
	taken     bool
	ended     bool
	endedAt   time.Duration
	delivered bool // its target said so, though its client may not know yet
	calls     []*attempt
	checkAt   time.Duration
}

// An attempt is a message's part of a call.
type attempt struct {
	call    *call
	ended   bool
	outcome Outcome
}

type call struct {
	id       uint64
	sender   int
	endpoint string
	zone     int
	dest     int
	at       time.Duration
	first    time.Duration // when its first byte was written
	messages []string
}

type sender struct {
	left     map[string]time.Duration // endpoints told to drain or be gone
	waits    map[routeKey]wait        // told
	diedAt   time.Duration            // of the latest restart...
	readyAt  time.Duration            // ...and when it was ready again
	down     bool
	restarts bool
	cutOff   bool // from the platform
}

type wait struct{ from, until time.Duration }

// A routeKey is a destination, or an endpoint that is a route apart.
type routeKey struct {
	dest     int
	endpoint string
}

// A route is what falls.
type route struct {
	out bool
	saw map[int]bool // senders that saw a failure during the outage
}

// New returns an auditor.
func New(t Rules) *Auditor {
	return &Auditor{
		terms: t, messages: map[string]*message{}, calls: map[uint64]*call{}, senders: map[int]*sender{},
		routes: map[routeKey]*route{}, count: map[Rule]int{}, effects: map[string]effect{},
	}
}

func (a *Auditor) sender(n int) *sender {
	s := a.senders[n]
	if s == nil {
		s = &sender{left: map[string]time.Duration{}, waits: map[routeKey]wait{}}
		a.senders[n] = s
	}
	return s
}

func (a *Auditor) key(dest int, endpoint string) routeKey {
	if a.terms.SeparateRoutes[dest] {
		return routeKey{dest, endpoint}
	}
	return routeKey{dest: dest}
}

func (a *Auditor) route(k routeKey) *route {
	r := a.routes[k]
	if r == nil {
		r = &route{saw: map[int]bool{}}
		a.routes[k] = r
	}
	return r
}

func (a *Auditor) broken(b Violation) {
	a.count[b.Rule]++
	if len(a.breaks) < breaksMost {
		a.breaks = append(a.breaks, b)
	}
}

// Read takes the next event. An error tells of a ledger that can't be: times that
// go back, or an event of something that never was.
func (a *Auditor) Read(e Event) error {
	if e.At < a.now {
		return fmt.Errorf("audit: an event at %v after one at %v", e.At, a.now)
	}
	a.overdue(e.At)
	a.now = e.At
	a.seen.Events++
	switch e.Kind {
	case Submitted:
		return a.handIn(e)
	case Requested:
	case Executed:
		a.took(e)
	case Accepted, Rejected, Abandoned:
		m := a.messages[e.Message]
		if m == nil {
			return fmt.Errorf("audit: an answer to %q, which nobody handed in", e.Message)
		}
		a.answered(m, e.Kind)
	case Sent:
		return a.sent(e)
	case Ended:
		return a.ended(e)
	case Notice:
		a.notice(e)
	case Notified:
		s := a.sender(e.Sender)
		if at, before := s.left[e.Endpoint]; !e.Leaves {
			delete(s.left, e.Endpoint)
		} else if !before || e.At < at {
			s.left[e.Endpoint] = e.At
		}
	case OutageBegan:
		r := a.route(a.key(e.Dest, e.Endpoint))
		if !r.out {
			r.out, r.saw = true, map[int]bool{}
		}
	case OutageEnded:
		a.route(a.key(e.Dest, e.Endpoint)).out = false
	case FailureSeen:
		if r := a.route(a.key(e.Dest, e.Endpoint)); r.out && !a.sender(e.Sender).down {
			r.saw[e.Sender] = true
		}
	case Overloaded:
		a.fell(e)
	case Died:
		s := a.sender(e.Sender)
		if !s.down {
			s.diedAt = e.At
		}
		// A restart ends the wait, and what the old process saw is not told to the new one.
		// Until it is ready, nobody outside knows which of them was told something.
		s.down, s.restarts = true, true
		if e.Cause == Wiped {
			for _, m := range a.messages {
				if m.sender == e.Sender {
					a.end(m)
				}
			}
		}
		clear(s.waits)
		for _, r := range a.routes {
			delete(r.saw, e.Sender)
		}
	case Ready:
		s := a.sender(e.Sender)
		s.down, s.readyAt = false, e.At
		for id, at := range s.left { // what it was told meanwhile, it reads now
			if at >= s.diedAt {
				s.left[id] = e.At
			}
		}
	case Unreachable:
		s := a.sender(e.Sender)
		if s.cutOff = true; !s.down {
			s.diedAt = e.At
		}
	case ReachableAgain:
		s := a.sender(e.Sender)
		if s.cutOff = false; !s.down {
			s.restarts, s.readyAt = true, e.At // what could not be told is told now
		}
	default:
		return fmt.Errorf("audit: an event of kind %d", e.Kind)
	}
	return nil
}

func (a *Auditor) handIn(e Event) error {
	if a.messages[e.Message] != nil {
		return fmt.Errorf("audit: %q is handed in twice under one id", e.Message)
	}
	if e.Class < 0 || e.Class >= len(a.terms.Classes) {
		return fmt.Errorf("audit: %q has class %d", e.Message, e.Class)
	}
	a.seen.Submissions++
	a.messages[e.Message] = &message{id: e.Message, sender: e.Sender, class: a.terms.Classes[e.Class], dest: e.Dest, due: e.At + e.TimeLeft}
	return nil
}

// answered: from 202 on the message is owed its end.
func (a *Auditor) answered(m *message, what EventKind) {
	switch what {
	case Abandoned: // the sender may have it and not know: what it sends counts for nothing, and breaks nothing. One that was
		// stopped reads it late, and counts its time from then.
		a.end(m)
		m.checkAt = m.due + effectSpan
		a.queue(m)
		return
	case Rejected:
		a.end(m)
		if len(m.calls) == 0 {
			delete(a.messages, m.id)
		}
		return
	}
	a.seen.Accepted++
	m.taken = true
	if m.delivered {
		a.end(m)
		return
	}
	m.checkAt = m.due + a.terms.ResponseGrace
	a.queue(m)
}

func (a *Auditor) queue(m *message) {
	i, _ := slices.BinarySearchFunc(a.due, m, func(x, m *message) int { return cmp.Compare(x.checkAt, m.checkAt) })
	a.due = slices.Insert(a.due, i, m)
}

// overdue looks at messages whose time is up by now.
func (a *Auditor) overdue(now time.Duration) {
	for len(a.due) > 0 && a.due[0].checkAt < now {
		m := a.due[0]
		a.due = a.due[1:]
		if m.ended && now < m.due+heldUpSpan {
			m.checkAt = m.due + heldUpSpan
			a.queue(m)
			continue
		}
		if m.ended {
			a.forget(m, now)
			continue
		}
		s := a.sender(m.sender)
		if s.down || s.cutOff { // none is overdue until it is ready again, or can be heard
			m.checkAt = now + time.Millisecond
			a.queue(m)
			continue
		}
		if grace := s.readyAt + a.terms.ReadySlack; s.restarts && m.checkAt >= s.diedAt && m.checkAt < grace {
			m.checkAt = grace
			a.queue(m)
			continue
		}
		a.broken(Violation{
			Rule: RuleOutcome, At: m.checkAt, Sender: m.sender, Message: m.id, Calls: m.numbers(), Times: []time.Duration{m.due},
			Text: fmt.Sprintf("taken on, and neither delivered nor ended by a notice at %v; its time was up at %v", m.checkAt, m.due),
		})
		a.end(m)
		a.forget(m, now)
	}
}

func (m *message) numbers() []uint64 {
	var list []uint64
	for _, t := range m.calls {
		list = append(list, t.call.id)
	}
	return list
}

// end: nothing more is owed. What may have run is remembered, as a later call
// could still repeat it.
func (a *Auditor) end(m *message) {
	if m.ended {
		return
	}
	m.ended, m.endedAt = true, a.now
}

// heldUpSpan is how long after its time a message that has ended is known: a call of it that left before may be held up on its way.
const heldUpSpan = 15 * time.Second

// forget drops a message that has ended. One of its id would be a hand-in that
// never was, which sent finds.
func (a *Auditor) forget(m *message, now time.Duration) {
	for _, t := range m.calls {
		if !t.ended {
			return // its end drops it
		}
	}
	if m.ended && now >= m.due+heldUpSpan {
		delete(a.messages, m.id)
	}
}

func (a *Auditor) sent(e Event) error {
	if a.calls[e.Call] != nil {
		return fmt.Errorf("audit: call %d begins twice", e.Call)
	}
	a.seen.Calls++
	first := e.At
	if e.First > 0 {
		first = e.First // a send's time counts from its first byte
	}
	c := &call{e.Call, e.Sender, e.Endpoint, e.Zone, e.Dest, e.At, first, e.Messages}
	a.calls[e.Call] = c
	s := a.sender(e.Sender)
	at := func(rule Rule, id string, since time.Duration, text string) {
		a.broken(Violation{Rule: rule, At: e.At, Sender: e.Sender, Message: id, Calls: []uint64{e.Call}, Times: []time.Duration{since, e.At}, Text: text})
	}
	if told, leaves := s.left[e.Endpoint]; leaves && first > told+a.terms.DrainGrace {
		at(RuleDrain, "", told, fmt.Sprintf("a call to %s %v after the sender was told that it drains or is gone", e.Endpoint, first-told))
	}
	if w, told := s.waits[a.key(e.Dest, e.Endpoint)]; told {
		switch {
		case e.At >= w.until:
			delete(s.waits, a.key(e.Dest, e.Endpoint))
		case e.At > w.from+a.terms.RetryAfterSlack:
			at(RuleRetryAfter, "", w.from, fmt.Sprintf("a call to destination %d %v before the end of a wait", e.Dest, w.until-e.At))
		}
	}
	for _, id := range e.Messages {
		m := a.messages[id]
		if m == nil {
			at(RuleDestination, id, e.At, "a message that nobody handed in, or that ended long ago")
			continue
		}
		if m.dest != e.Dest {
			at(RuleDestination, id, e.At, fmt.Sprintf("for destination %d, sent to %s of %d", m.dest, e.Endpoint, e.Dest))
		}
		a.repeat(m, c)
		m.calls = append(m.calls, &attempt{call: c})
	}
	return nil
}

// repeat judges a further call of a message. A call's time is that of its first byte (PROTOCOL, 'Figures'): where the way to its
// target is held up, the rest arrives once that lets something pass, and the message may have ended meanwhile.
func (a *Auditor) repeat(m *message, c *call) {
	if m.ended && m.taken && m.class.Idempotency == NotIdempotent && c.first > m.endedAt {
		a.broken(Violation{Rule: RuleRepeat, At: c.at, Sender: c.sender, Message: m.id, Calls: append(m.numbers(), c.id), Text: "sent after its end"})
		return
	}
	for _, t := range m.calls {
		if t.ended && t.outcome == NeverRan || t.ended && t.outcome == Over {
			continue
		}
		why := ""
		switch m.class.Idempotency {
		case NotIdempotent:
			why = "it may have run, and must never run twice"
		case IdempotentByKey:
			switch {
			case c.first-t.call.first >= m.class.KeyRetention:
				why = fmt.Sprintf("it may have run %v before, and its key is remembered for %v", c.first-t.call.first, m.class.KeyRetention)
			case m.class.KeyZoneScoped && c.zone != t.call.zone:
				why = fmt.Sprintf("it may have run in zone %d, and goes to zone %d", t.call.zone, c.zone)
			}
		}
		if why != "" {
			a.broken(Violation{
				Rule: RuleRepeat, At: c.at, Sender: c.sender, Message: m.id, Calls: []uint64{t.call.id, c.id},
				Times: []time.Duration{t.call.at, c.at}, Text: why,
			})
			return
		}
	}
}

func (a *Auditor) ended(e Event) error {
	c := a.calls[e.Call]
	if c == nil {
		return fmt.Errorf("audit: call %d ends and never began", e.Call)
	}
	delete(a.calls, e.Call)
	if e.RetryAfter > 0 && !a.sender(c.sender).down {
		s, k := a.sender(c.sender), a.key(c.dest, c.endpoint)
		if w := s.waits[k]; e.At+e.RetryAfter > w.until {
			s.waits[k] = wait{e.At, e.At + e.RetryAfter}
		}
	}
	for _, id := range c.messages {
		m := a.messages[id]
		if m == nil {
			continue
		}
		outcome := e.Outcome
		if o, apart := e.Outcomes[id]; apart {
			outcome = o
		}
		for _, t := range m.calls {
			if t.call == c {
				t.ended, t.outcome = true, outcome
			}
		}
		switch outcome {
		case Delivered:
			if !m.delivered {
				a.seen.Delivered++
			}
			if m.delivered = true; m.taken {
				a.end(m)
			}
		case Over:
			a.end(m)
		}
		a.forget(m, a.now)
	}
	return nil
}

// took judges effects: of calls that a sender gave up, too, and after their
// message's end. What a call did counts once, whenever it comes.
func (a *Auditor) took(e Event) {
	switch {
	case e.Cause == "dropped":
		a.seen.Dropped++
		return
	case e.Cause == "late":
		a.seen.LateEffects++
	}
	a.seen.Effects++
	if a.now >= a.sweepAt {
		for id, x := range a.effects {
			if x.until < a.now {
				delete(a.effects, id)
			}
		}
		a.sweepAt = a.now + effectSpan/4
	}
	if e.Class < 0 || e.Class >= len(a.terms.Classes) || a.terms.Classes[e.Class].Idempotency != NotIdempotent {
		return
	}
	if before, twice := a.effects[e.Message]; twice {
		a.broken(Violation{
			Rule: RuleRepeat, At: e.At, Sender: e.Sender, Message: e.Message, Calls: []uint64{before.call, e.Call},
			Times: []time.Duration{before.at, e.At}, Text: "took effect twice",
		})
	}
	a.effects[e.Message] = effect{e.Call, e.At, e.At + effectSpan}
}

// notice judges what the platform is told: that handing in again is harmless holds
// only for what provably never ran, or whose key is remembered everywhere.
func (a *Auditor) notice(e Event) {
	m := a.messages[e.Message]
	if m == nil || m.ended {
		return // a notice for a message that is over does no harm
	}
	if e.Deferred {
		a.seen.Deferred++
	} else {
		a.seen.Undeliverable++
	}
	for _, t := range m.calls {
		ran := !t.ended || t.outcome == Failed || t.outcome == Delivered
		if e.Deferred && ran && (m.class.Idempotency == NotIdempotent || m.class.Idempotency == IdempotentByKey && m.class.KeyZoneScoped) {
			a.broken(Violation{
				Rule: RuleRepeat, At: e.At, Sender: e.Sender, Message: m.id, Calls: []uint64{t.call.id}, Times: []time.Duration{t.call.at, e.At},
				Text: "handed back though it may have run",
			})
			break
		}
	}
	a.end(m)
}

// fell judges who pushed a returning partner over.
func (a *Auditor) fell(e Event) {
	r := a.route(a.key(e.Dest, e.Endpoint))
	all, seen, most, worst := 0, 0, 0, 0
	for who, n := range e.CallsBySender {
		all += n
		if !r.saw[who] {
			continue
		}
		if seen += n; n > most || n == most && who < worst {
			most, worst = n, who
		}
	}
	if all == 0 || float64(seen) < a.terms.OverloadShare*float64(all) {
		return
	}
	a.broken(Violation{
		Rule: RuleOverload, At: e.At, Sender: worst, Times: []time.Duration{e.At},
		Text: fmt.Sprintf("destination %d was pushed over: %d of %d calls came from senders that had seen it fail, most from sender %d", e.Dest, seen, all, worst),
	})
}

// Close judges what is left at the end of a ledger, and returns the breaks. The
// end is a time by which all should be answered.
func (a *Auditor) Close(end time.Duration) []Violation {
	for _, s := range a.senders { // one that never came back owes what it had
		if s.down {
			s.down, s.readyAt = false, a.now
		}
	}
	a.overdue(end)
	a.now = max(a.now, end)
	return a.breaks
}

// Totals tells how much was judged, and how often each rule was broken.
func (a *Auditor) Totals() (Counts, map[Rule]int) { return a.seen, a.count }

// Owed is how many messages were taken on and have no end, and calls that are out.
func (a *Auditor) Owed() int {
	n := len(a.calls)
	for _, m := range a.messages {
		if m.taken && !m.ended {
			n++
		}
	}
	return n
}

// Held is how much the auditor remembers now; for the tests of its bounds.
func (a *Auditor) Held() int { return len(a.messages) + len(a.calls) }
