package audit

import (
	"fmt"
	"time"
)

// A call is a call in flight, that is, between its Sent and its Ended event.
type call struct {
	id          uint64
	sender      int
	endpoint    string
	zone        int
	dest        int
	arrivedAt   time.Duration // when it had arrived completely
	firstByteAt time.Duration // when its first byte was written; the rules apply to this time
	messages    []string
}

// callSent records a call and checks whether it may go to its endpoint now and may contain each of its messages.
func (a *Auditor) callSent(e Event) error {
	if a.calls[e.Call] != nil {
		return fmt.Errorf("audit: call %d is sent twice", e.Call)
	}
	a.counts.Calls++
	c := &call{e.Call, e.Sender, e.Endpoint, e.Zone, e.Dest, e.At, e.At, e.Messages}
	if e.FirstByteAt > 0 {
		c.firstByteAt = e.FirstByteAt
	}
	a.calls[e.Call] = c
	a.checkEndpoint(c)
	for _, id := range e.Messages {
		m := a.messages[id]
		if m == nil {
			a.callViolation(c, RuleDestination, id, e.At, "a message that nobody handed in, or that ended long ago")
			continue
		}
		if m.dest != e.Dest {
			text := fmt.Sprintf("for destination %d, sent to %s of %d", m.dest, e.Endpoint, e.Dest)
			a.callViolation(c, RuleDestination, id, e.At, text)
		}
		a.checkRepeat(m, c)
		m.attempts = append(m.attempts, &attempt{call: c})
	}
	return nil
}

// callViolation records a violation by a call. The event that made the call a violation happened at the time since.
func (a *Auditor) callViolation(c *call, rule Rule, message string, since time.Duration, text string) {
	a.addViolation(Violation{
		Rule: rule, At: c.arrivedAt, Sender: c.sender, Message: message, Calls: []uint64{c.id},
		Times: []time.Duration{since, c.arrivedAt}, Text: text,
	})
}

// checkEndpoint checks that a call does not go to an endpoint that the sender was notified, longer than the drain grace
// period ago, drains or is removed, and that it does not go to a route whose Retry-After wait has not ended.
func (a *Auditor) checkEndpoint(c *call) {
	s, key := a.sender(c.sender), a.routeKeyFor(c.dest, c.endpoint)
	if since, departed := s.departures[c.endpoint]; departed && c.firstByteAt > since+a.rules.DrainGrace {
		text := fmt.Sprintf("a call to %s %v after the sender was told that it drains or is gone",
			c.endpoint, c.firstByteAt-since)
		a.callViolation(c, RuleDrain, "", since, text)
	}
	w, waits := s.waits[key]
	switch {
	case !waits:
	case c.arrivedAt >= w.until:
		delete(s.waits, key)
	case c.arrivedAt > w.from+a.rules.RetryAfterSlack:
		text := fmt.Sprintf("a call to destination %d %v before the end of a wait", c.dest, w.until-c.arrivedAt)
		a.callViolation(c, RuleRetryAfter, "", w.from, text)
	}
}

// checkRepeat checks whether a message that was in earlier calls may be sent again in c. The time of a call is that
// of its first byte (PROTOCOL, 'Figures'): if the link to the endpoint drops packets for a while, the rest of the
// call arrives later, and the message may have ended in the meantime.
func (a *Auditor) checkRepeat(m *message, c *call) {
	if m.ended && m.accepted && m.class.Idempotency == NotIdempotent && c.firstByteAt > m.endedAt {
		a.addViolation(Violation{
			Rule: RuleRepeat, At: c.arrivedAt, Sender: c.sender, Message: m.id, Calls: append(m.callIDs(), c.id),
			Text: "sent after its end",
		})
		return
	}
	for _, t := range m.attempts {
		if t.ended && (t.outcome == NeverRan || t.outcome == NothingOwed) {
			continue
		}
		if reason := m.class.repeatViolation(t.call, c); reason != "" {
			a.addViolation(Violation{
				Rule: RuleRepeat, At: c.arrivedAt, Sender: c.sender, Message: m.id, Calls: []uint64{t.call.id, c.id},
				Times: []time.Duration{t.call.arrivedAt, c.arrivedAt}, Text: reason,
			})
			return
		}
	}
}

// repeatViolation returns the reason why a message must not be sent in the later call, given that the earlier call
// may have run it. It returns an empty string if the repeat is allowed.
func (c Class) repeatViolation(earlier, later *call) string {
	age := later.firstByteAt - earlier.firstByteAt
	switch {
	case c.Idempotency == NotIdempotent:
		return "it may have run, and must never run twice"
	case c.Idempotency == IdempotentByKey && age >= c.KeyRetention:
		return fmt.Sprintf("it may have run %v before, and its key is remembered for %v", age, c.KeyRetention)
	case c.Idempotency == IdempotentByKey && c.KeyZoneScoped && later.zone != earlier.zone:
		return fmt.Sprintf("it may have run in zone %d, and goes to zone %d", earlier.zone, later.zone)
	}
	return ""
}

// callEnded records the outcomes of a call and of each of its messages, and the Retry-After of its response.
func (a *Auditor) callEnded(e Event) error {
	c := a.calls[e.Call]
	if c == nil {
		return fmt.Errorf("audit: call %d ends but was never sent", e.Call)
	}
	delete(a.calls, e.Call)
	if s := a.sender(c.sender); e.RetryAfter > 0 && !s.down {
		key := a.routeKeyFor(c.dest, c.endpoint)
		if w := s.waits[key]; e.At+e.RetryAfter > w.until {
			s.waits[key] = wait{e.At, e.At + e.RetryAfter}
		}
	}
	for _, id := range c.messages {
		m := a.messages[id]
		if m == nil {
			continue
		}
		outcome, hasOwn := e.Outcomes[id]
		if !hasOwn {
			outcome = e.Outcome
		}
		a.attemptEnded(m, c, outcome)
		a.evictMessage(m, a.now)
	}
	return nil
}

// attemptEnded records the outcome of a message of a call.
func (a *Auditor) attemptEnded(m *message, c *call, outcome Outcome) {
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
			a.endMessage(m)
		}
	case NothingOwed:
		a.endMessage(m)
	}
}
