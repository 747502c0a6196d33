package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A message is one submission. It is kept from its arrival until no later event can depend on it.
type message struct {
	id        string
	sender    int
	class     Class
	dest      int
	deadline  time.Duration
	accepted  bool // the sender owes an outcome
	ended     bool // no outcome is owed any more
	endedAt   time.Duration
	delivered bool // confirmed by an endpoint, possibly before the client received Accepted
	attempts  []*attempt
	checkAt   time.Duration // when checkDeadlines checks it
}

// An attempt is the sending of one message in one call.
type attempt struct {
	call    *call
	ended   bool
	outcome Outcome
}

// callIDs returns the ids of the calls that contained the message.
func (m *message) callIDs() []uint64 {
	var list []uint64
	for _, t := range m.attempts {
		list = append(list, t.call.id)
	}
	return list
}

// delayedCallWindow is how long after its deadline an ended message is kept, since a call that contains it and was
// sent earlier may be delayed by the network.
const delayedCallWindow = 15 * time.Second

// submitted records a submission. Its outcome is not owed until it is accepted.
func (a *Auditor) submitted(e Event) error {
	if a.messages[e.Message] != nil {
		return fmt.Errorf("audit: message %q is submitted twice", e.Message)
	}
	if e.Class < 0 || e.Class >= len(a.rules.Classes) {
		return fmt.Errorf("audit: message %q has unknown class %d", e.Message, e.Class)
	}
	a.counts.Submissions++
	a.messages[e.Message] = &message{
		id: e.Message, sender: e.Sender, class: a.rules.Classes[e.Class], dest: e.Dest, deadline: e.At + e.TimeLeft,
	}
	return nil
}

// responded records that a client received the response to a submission or stopped waiting for it. The outcome is
// owed once the message is accepted.
func (a *Auditor) responded(m *message, kind EventKind) {
	switch kind {
	case Abandoned:
		// The sender may have the message without knowing that its client abandoned it, so sending it violates no rule.
		// A sender whose process was stopped reads the message late and counts its deadline from then on.
		a.endMessage(m)
		m.checkAt = m.deadline + lateExecutionWindow
		a.scheduleCheck(m)
		return
	case Rejected:
		a.endMessage(m)
		if len(m.attempts) == 0 {
			delete(a.messages, m.id)
		}
		return
	}
	a.counts.Accepted++
	m.accepted = true
	if m.delivered {
		a.endMessage(m)
		return
	}
	m.checkAt = m.deadline + a.rules.ResponseGrace
	a.scheduleCheck(m)
}

// scheduleCheck inserts a message into the pending checks, which are sorted by checkAt.
func (a *Auditor) scheduleCheck(m *message) {
	byCheckAt := func(x, m *message) int { return cmp.Compare(x.checkAt, m.checkAt) }
	i, _ := slices.BinarySearchFunc(a.pendingChecks, m, byCheckAt)
	a.pendingChecks = slices.Insert(a.pendingChecks, i, m)
}

// checkDeadlines checks the messages whose outcome was due before now, and removes those that have ended.
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
			a.evictMessage(m, now)
			continue
		}
		s := a.sender(m.sender)
		if s.down || s.unreachable { // nothing is due until the sender is ready or reachable again
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
			Rule: RuleOutcome, At: m.checkAt, Sender: m.sender, Message: m.id, Calls: m.callIDs(),
			Times: []time.Duration{m.deadline},
			Text: fmt.Sprintf("taken on, and neither delivered nor ended by a notice at %v; its time was up at %v",
				m.checkAt, m.deadline),
		})
		a.endMessage(m)
		a.evictMessage(m, now)
	}
}

// endMessage records that no outcome is owed for a message any more. Its attempts are kept, since a later call could
// still repeat it.
func (a *Auditor) endMessage(m *message) {
	if m.ended {
		return
	}
	m.ended, m.endedAt = true, a.now
}

// evictMessage removes an ended message once no call that contains it can arrive any more. callSent reports a call
// that still does as a call with an unknown message.
func (a *Auditor) evictMessage(m *message, now time.Duration) {
	for _, t := range m.attempts {
		if !t.ended {
			return // evicted when that attempt ends
		}
	}
	if m.ended && now >= m.deadline+delayedCallWindow {
		delete(a.messages, m.id)
	}
}

// reported checks a delivery report. A message may be deferred only if submitting it again is harmless: if it never
// ran, is idempotent, or has an idempotency key that all endpoints honor.
func (a *Auditor) reported(e Event) {
	m := a.messages[e.Message]
	if m == nil || m.ended {
		return // a report for a message that has ended is harmless
	}
	if e.Deferred {
		a.counts.Deferred++
	} else {
		a.counts.Undeliverable++
	}
	for _, t := range m.attempts {
		mayHaveRun := !t.ended || t.outcome == Failed || t.outcome == Delivered
		if e.Deferred && mayHaveRun && !m.class.resubmittable() {
			a.addViolation(Violation{
				Rule: RuleRepeat, At: e.At, Sender: e.Sender, Message: m.id, Calls: []uint64{t.call.id},
				Times: []time.Duration{t.call.arrivedAt, e.At}, Text: "handed back though it may have run",
			})
			break
		}
	}
	a.endMessage(m)
}
