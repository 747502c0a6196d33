package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxViolations are kept; more are only counted.
const maxViolations = 1000

// Auditor reads a ledger, event by event.
type Auditor struct {
	rules           Rules
	now             time.Duration
	messages        map[string]*message
	calls           map[uint64]*call
	pendingChecks   []*message // taken, by the time at which they are looked at
	senders         map[int]*sender
	routes          map[routeKey]*route
	violations      []Violation
	violationCounts map[Rule]int
	counts          Counts
	effects         map[string]effect // of unsafe messages
	sweepAt         time.Duration
}

// An effect is one that a message took; a second is looked for until a time.
type effect struct {
	call  uint64
	at    time.Duration
	until time.Duration
}

// lateEffectWindow is for how long after its message's time a call may still take effect.
const lateEffectWindow = 2 * time.Minute

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
	deadline  time.Duration
	accepted  bool
	ended     bool
	endedAt   time.Duration
	delivered bool // its target said so, though its client may not know yet
	attempts  []*attempt
	checkAt   time.Duration
}

// An attempt is a message's part of a call.
type attempt struct {
	call    *call
	ended   bool
	outcome Outcome
}

type call struct {
	id          uint64
	sender      int
	endpoint    string
	zone        int
	dest        int
	at          time.Duration
	firstByteAt time.Duration // when its first byte was written
	messages    []string
}

type sender struct {
	departures  map[string]time.Duration // endpoints told to drain or be gone
	waits       map[routeKey]wait        // told
	downSince   time.Duration            // of the latest restart...
	readyAt     time.Duration            // ...and when it was ready again
	down        bool
	restarted   bool
	unreachable bool // from the platform
}

type wait struct{ from, until time.Duration }

// A routeKey is a destination, or an endpoint that is a route apart.
type routeKey struct {
	dest     int
	endpoint string
}

// A route is what falls.
type route struct {
	inOutage   bool
	sawFailure map[int]bool // senders that saw a failure during the outage
}

// New returns an auditor.
func New(t Rules) *Auditor {
	return &Auditor{
		rules: t, messages: map[string]*message{}, calls: map[uint64]*call{}, senders: map[int]*sender{},
		routes: map[routeKey]*route{}, violationCounts: map[Rule]int{}, effects: map[string]effect{},
	}
}

func (a *Auditor) sender(n int) *sender {
	s := a.senders[n]
	if s == nil {
		s = &sender{departures: map[string]time.Duration{}, waits: map[routeKey]wait{}}
		a.senders[n] = s
	}
	return s
}

func (a *Auditor) keyOf(dest int, endpoint string) routeKey {
	if a.rules.SeparateRoutes[dest] {
		return routeKey{dest, endpoint}
	}
	return routeKey{dest: dest}
}

func (a *Auditor) route(k routeKey) *route {
	r := a.routes[k]
	if r == nil {
		r = &route{sawFailure: map[int]bool{}}
		a.routes[k] = r
	}
	return r
}

func (a *Auditor) addViolation(b Violation) {
	a.violationCounts[b.Rule]++
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, b)
	}
}

// Read takes the next event. An error tells of a ledger that can't be: times that
// go back, or an event of something that never was.
func (a *Auditor) Read(e Event) error {
	if e.At < a.now {
		return fmt.Errorf("audit: an event at %v after one at %v", e.At, a.now)
	}
	a.checkDeadlines(e.At)
	a.now = e.At
	a.counts.Events++
	switch e.Kind {
	case Submitted:
		return a.submitted(e)
	case Requested:
	case Executed:
		a.executed(e)
	case Accepted, Rejected, Abandoned:
		m := a.messages[e.Message]
		if m == nil {
			return fmt.Errorf("audit: an answer to %q, which nobody handed in", e.Message)
		}
		a.responded(m, e.Kind)
	case Sent:
		return a.callSent(e)
	case Ended:
		return a.callEnded(e)
	case Notice:
		a.reported(e)
	case Notified:
		s := a.sender(e.Sender)
		if at, before := s.departures[e.Endpoint]; !e.Leaves {
			delete(s.departures, e.Endpoint)
		} else if !before || e.At < at {
			s.departures[e.Endpoint] = e.At
		}
	case OutageBegan:
		r := a.route(a.keyOf(e.Dest, e.Endpoint))
		if !r.inOutage {
			r.inOutage, r.sawFailure = true, map[int]bool{}
		}
	case OutageEnded:
		a.route(a.keyOf(e.Dest, e.Endpoint)).inOutage = false
	case FailureSeen:
		if r := a.route(a.keyOf(e.Dest, e.Endpoint)); r.inOutage && !a.sender(e.Sender).down {
			r.sawFailure[e.Sender] = true
		}
	case Overloaded:
		a.checkOverload(e)
	case Died:
		s := a.sender(e.Sender)
		if !s.down {
			s.downSince = e.At
		}
		// A restart ends the wait, and what the old process saw is not told to the new one.
		// Until it is ready, nobody outside knows which of them was told something.
		s.down, s.restarted = true, true
		if e.Cause == Wiped {
			for _, m := range a.messages {
				if m.sender == e.Sender {
					a.end(m)
				}
			}
		}
		clear(s.waits)
		for _, r := range a.routes {
			delete(r.sawFailure, e.Sender)
		}
	case Ready:
		s := a.sender(e.Sender)
		s.down, s.readyAt = false, e.At
		for id, at := range s.departures { // what it was told meanwhile, it reads now
			if at >= s.downSince {
				s.departures[id] = e.At
			}
		}
	case Unreachable:
		s := a.sender(e.Sender)
		if s.unreachable = true; !s.down {
			s.downSince = e.At
		}
	case ReachableAgain:
		s := a.sender(e.Sender)
		if s.unreachable = false; !s.down {
			s.restarted, s.readyAt = true, e.At // what could not be told is told now
		}
	default:
		return fmt.Errorf("audit: an event of kind %d", e.Kind)
	}
	return nil
}

func (a *Auditor) submitted(e Event) error {
	if a.messages[e.Message] != nil {
		return fmt.Errorf("audit: %q is handed in twice under one id", e.Message)
	}
	if e.Class < 0 || e.Class >= len(a.rules.Classes) {
		return fmt.Errorf("audit: %q has class %d", e.Message, e.Class)
	}
	a.counts.Submissions++
	a.messages[e.Message] = &message{id: e.Message, sender: e.Sender, class: a.rules.Classes[e.Class], dest: e.Dest, deadline: e.At + e.TimeLeft}
	return nil
}

// responded: from 202 on the message is owed its end.
func (a *Auditor) responded(m *message, what EventKind) {
	switch what {
	case Abandoned: // the sender may have it and not know: what it sends counts for nothing, and breaks nothing. One that was
		// stopped reads it late, and counts its time from then.
		a.end(m)
		m.checkAt = m.deadline + lateEffectWindow
		a.scheduleCheck(m)
		return
	case Rejected:
		a.end(m)
		if len(m.attempts) == 0 {
			delete(a.messages, m.id)
		}
		return
	}
	a.counts.Accepted++
	m.accepted = true
	if m.delivered {
		a.end(m)
		return
	}
	m.checkAt = m.deadline + a.rules.ResponseGrace
	a.scheduleCheck(m)
}

func (a *Auditor) scheduleCheck(m *message) {
	i, _ := slices.BinarySearchFunc(a.pendingChecks, m, func(x, m *message) int { return cmp.Compare(x.checkAt, m.checkAt) })
	a.pendingChecks = slices.Insert(a.pendingChecks, i, m)
}

// checkDeadlines looks at messages whose time is up by now.
func (a *Auditor) checkDeadlines(now time.Duration) {
	for len(a.pendingChecks) > 0 && a.pendingChecks[0].checkAt < now {
		m := a.pendingChecks[0]
		a.pendingChecks = a.pendingChecks[1:]
		if m.ended && now < m.deadline+delayedCallWindow {
			m.checkAt = m.deadline + delayedCallWindow
			a.scheduleCheck(m)
			continue
		}
		if m.ended {
			a.forget(m, now)
			continue
		}
		s := a.sender(m.sender)
		if s.down || s.unreachable { // none is overdue until it is ready again, or can be heard
			m.checkAt = now + time.Millisecond
			a.scheduleCheck(m)
			continue
		}
		if grace := s.readyAt + a.rules.ReadySlack; s.restarted && m.checkAt >= s.downSince && m.checkAt < grace {
			m.checkAt = grace
			a.scheduleCheck(m)
			continue
		}
		a.addViolation(Violation{
			Rule: RuleOutcome, At: m.checkAt, Sender: m.sender, Message: m.id, Calls: m.callIDs(), Times: []time.Duration{m.deadline},
			Text: fmt.Sprintf("taken on, and neither delivered nor ended by a notice at %v; its time was up at %v", m.checkAt, m.deadline),
		})
		a.end(m)
		a.forget(m, now)
	}
}

func (m *message) callIDs() []uint64 {
	var list []uint64
	for _, t := range m.attempts {
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

// delayedCallWindow is how long after its time a message that has ended is known: a call of it that left before may be held up on its way.
const delayedCallWindow = 15 * time.Second

// forget drops a message that has ended. One of its id would be a hand-in that
// never was, which sent finds.
func (a *Auditor) forget(m *message, now time.Duration) {
	for _, t := range m.attempts {
		if !t.ended {
			return // its end drops it
		}
	}
	if m.ended && now >= m.deadline+delayedCallWindow {
		delete(a.messages, m.id)
	}
}

func (a *Auditor) callSent(e Event) error {
	if a.calls[e.Call] != nil {
		return fmt.Errorf("audit: call %d begins twice", e.Call)
	}
	a.counts.Calls++
	first := e.At
	if e.First > 0 {
		first = e.First // a send's time counts from its first byte
	}
	c := &call{e.Call, e.Sender, e.Endpoint, e.Zone, e.Dest, e.At, first, e.Messages}
	a.calls[e.Call] = c
	s := a.sender(e.Sender)
	at := func(rule Rule, id string, since time.Duration, text string) {
		a.addViolation(Violation{Rule: rule, At: e.At, Sender: e.Sender, Message: id, Calls: []uint64{e.Call}, Times: []time.Duration{since, e.At}, Text: text})
	}
	if notifiedAt, leaves := s.departures[e.Endpoint]; leaves && first > notifiedAt+a.rules.DrainGrace {
		at(RuleDrain, "", notifiedAt, fmt.Sprintf("a call to %s %v after the sender was told that it drains or is gone", e.Endpoint, first-notifiedAt))
	}
	if w, notifiedAt := s.waits[a.keyOf(e.Dest, e.Endpoint)]; notifiedAt {
		switch {
		case e.At >= w.until:
			delete(s.waits, a.keyOf(e.Dest, e.Endpoint))
		case e.At > w.from+a.rules.RetryAfterSlack:
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
		a.checkRepeat(m, c)
		m.attempts = append(m.attempts, &attempt{call: c})
	}
	return nil
}

// checkRepeat judges a further call of a message. A call's time is that of its first byte (PROTOCOL, 'Figures'): where the way to its
// target is held up, the rest arrives once that lets something pass, and the message may have ended meanwhile.
func (a *Auditor) checkRepeat(m *message, c *call) {
	if m.ended && m.accepted && m.class.Idempotency == NotIdempotent && c.firstByteAt > m.endedAt {
		a.addViolation(Violation{Rule: RuleRepeat, At: c.at, Sender: c.sender, Message: m.id, Calls: append(m.callIDs(), c.id), Text: "sent after its end"})
		return
	}
	for _, t := range m.attempts {
		if t.ended && t.outcome == NeverRan || t.ended && t.outcome == Over {
			continue
		}
		why := ""
		switch m.class.Idempotency {
		case NotIdempotent:
			why = "it may have run, and must never run twice"
		case IdempotentByKey:
			switch {
			case c.firstByteAt-t.call.firstByteAt >= m.class.KeyRetention:
				why = fmt.Sprintf("it may have run %v before, and its key is remembered for %v", c.firstByteAt-t.call.firstByteAt, m.class.KeyRetention)
			case m.class.KeyZoneScoped && c.zone != t.call.zone:
				why = fmt.Sprintf("it may have run in zone %d, and goes to zone %d", t.call.zone, c.zone)
			}
		}
		if why != "" {
			a.addViolation(Violation{
				Rule: RuleRepeat, At: c.at, Sender: c.sender, Message: m.id, Calls: []uint64{t.call.id, c.id},
				Times: []time.Duration{t.call.at, c.at}, Text: why,
			})
			return
		}
	}
}

func (a *Auditor) callEnded(e Event) error {
	c := a.calls[e.Call]
	if c == nil {
		return fmt.Errorf("audit: call %d ends and never began", e.Call)
	}
	delete(a.calls, e.Call)
	if e.RetryAfter > 0 && !a.sender(c.sender).down {
		s, k := a.sender(c.sender), a.keyOf(c.dest, c.endpoint)
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
		if o, ownOutcome := e.Outcomes[id]; ownOutcome {
			outcome = o
		}
		for _, t := range m.attempts {
			if t.call == c {
				t.ended, t.outcome = true, outcome
			}
		}
		switch outcome {
		case Delivered:
			if !m.delivered {
				a.counts.Delivered++
			}
			if m.delivered = true; m.accepted {
				a.end(m)
			}
		case Over:
			a.end(m)
		}
		a.forget(m, a.now)
	}
	return nil
}

// executed judges effects: of calls that a sender gave up, too, and after their
// message's end. What a call did counts once, whenever it comes.
func (a *Auditor) executed(e Event) {
	switch {
	case e.Cause == "dropped":
		a.counts.Dropped++
		return
	case e.Cause == "late":
		a.counts.LateEffects++
	}
	a.counts.Effects++
	if a.now >= a.sweepAt {
		for id, x := range a.effects {
			if x.until < a.now {
				delete(a.effects, id)
			}
		}
		a.sweepAt = a.now + lateEffectWindow/4
	}
	if e.Class < 0 || e.Class >= len(a.rules.Classes) || a.rules.Classes[e.Class].Idempotency != NotIdempotent {
		return
	}
	if before, twice := a.effects[e.Message]; twice {
		a.addViolation(Violation{
			Rule: RuleRepeat, At: e.At, Sender: e.Sender, Message: e.Message, Calls: []uint64{before.call, e.Call},
			Times: []time.Duration{before.at, e.At}, Text: "took effect twice",
		})
	}
	a.effects[e.Message] = effect{e.Call, e.At, e.At + lateEffectWindow}
}

// reported judges what the platform is told: that handing in again is harmless holds
// only for what provably never ran, or whose key is remembered everywhere.
func (a *Auditor) reported(e Event) {
	m := a.messages[e.Message]
	if m == nil || m.ended {
		return // a notice for a message that is over does no harm
	}
	if e.Deferred {
		a.counts.Deferred++
	} else {
		a.counts.Undeliverable++
	}
	for _, t := range m.attempts {
		ran := !t.ended || t.outcome == Failed || t.outcome == Delivered
		if e.Deferred && ran && (m.class.Idempotency == NotIdempotent || m.class.Idempotency == IdempotentByKey && m.class.KeyZoneScoped) {
			a.addViolation(Violation{
				Rule: RuleRepeat, At: e.At, Sender: e.Sender, Message: m.id, Calls: []uint64{t.call.id}, Times: []time.Duration{t.call.at, e.At},
				Text: "handed back though it may have run",
			})
			break
		}
	}
	a.end(m)
}

// checkOverload judges who pushed a returning partner over.
func (a *Auditor) checkOverload(e Event) {
	r := a.route(a.keyOf(e.Dest, e.Endpoint))
	all, witnessed, maxCalls, worst := 0, 0, 0, 0
	for who, n := range e.CallsBySender {
		all += n
		if !r.sawFailure[who] {
			continue
		}
		if witnessed += n; n > maxCalls || n == maxCalls && who < worst {
			maxCalls, worst = n, who
		}
	}
	if all == 0 || float64(witnessed) < a.rules.OverloadShare*float64(all) {
		return
	}
	a.addViolation(Violation{
		Rule: RuleOverload, At: e.At, Sender: worst, Times: []time.Duration{e.At},
		Text: fmt.Sprintf("destination %d was pushed over: %d of %d calls came from senders that had seen it fail, most from sender %d", e.Dest, witnessed, all, worst),
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
	a.checkDeadlines(end)
	a.now = max(a.now, end)
	return a.violations
}

// Totals tells how much was judged, and how often each rule was broken.
func (a *Auditor) Totals() (Counts, map[Rule]int) { return a.counts, a.violationCounts }

// Owed is how many messages were taken on and have no end, and calls that are out.
func (a *Auditor) Owed() int {
	n := len(a.calls)
	for _, m := range a.messages {
		if m.accepted && !m.ended {
			n++
		}
	}
	return n
}

// Held is how much the auditor remembers now; for the tests of its bounds.
func (a *Auditor) Held() int { return len(a.messages) + len(a.calls) }
