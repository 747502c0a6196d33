package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A message is one submission, from when it arrives until no later event can be judged by it.
type message struct {
	id        string
	sender    int
	class     Class
	dest      int
	deadline  time.Duration
	accepted  bool // its outcome is owed
	ended     bool // nothing is owed any more
	endedAt   time.Duration
	delivered bool // an endpoint said so, though the client may not know yet that it was accepted
	attempts  []*attempt
	checkAt   time.Duration // when checkDeadlines looks at it
}

// An attempt is the part of a call that one message is.
type attempt struct {
	call    *call
	ended   bool
	outcome Outcome
}

// callIDs returns the ids of the calls that the message was in.
func (m *message) callIDs() []uint64 {
	var list []uint64
	for _, t := range m.attempts {
		list = append(list, t.call.id)
	}
	return list
}

// delayedCallWindow is how long after its deadline an ended message is kept: a call with it that left before may be
// delayed on its way.
const delayedCallWindow = 15 * time.Second

// submitted notes a submission. Its outcome is not owed before it is accepted.
func (a *Auditor) submitted(e Event) error {
	if a.messages[e.Message] != nil {
		return fmt.Errorf("audit: %q is handed in twice under one id", e.Message)
	}
	if e.Class < 0 || e.Class >= len(a.rules.Classes) {
		return fmt.Errorf("audit: %q has class %d", e.Message, e.Class)
	}
	a.counts.Submissions++
	a.messages[e.Message] = &message{
		id: e.Message, sender: e.Sender, class: a.rules.Classes[e.Class], dest: e.Dest, deadline: e.At + e.TimeLeft,
	}
	return nil
}

// responded notes that a client has its response, or waits for it no more. From Accepted on the outcome is owed.
func (a *Auditor) responded(m *message, kind EventKind) {
	switch kind {
	case Abandoned:
		// The sender may have it and not know that it was abandoned: what it sends breaks no rule. A sender that was stopped
		// reads it late, and counts its time from then.
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

// scheduleCheck enters a message into the pending checks by its checkAt.
func (a *Auditor) scheduleCheck(m *message) {
	byCheckAt := func(x, m *message) int { return cmp.Compare(x.checkAt, m.checkAt) }
	i, _ := slices.BinarySearchFunc(a.pendingChecks, m, byCheckAt)
	a.pendingChecks = slices.Insert(a.pendingChecks, i, m)
}

// checkDeadlines judges the messages whose outcome was due before now, and forgets ended ones.
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
		if s.down || s.unreachable { // nothing is due until it is ready or reachable again
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

// endMessage notes that nothing is owed of a message any more. Its attempts are kept, since a later call could still repeat
// it.
func (a *Auditor) endMessage(m *message) {
	if m.ended {
		return
	}
	m.ended, m.endedAt = true, a.now
}

// evictMessage drops an ended message once none of its calls can come any more. A call with it would then be one of a
// message that nobody submitted, which callSent finds.
func (a *Auditor) evictMessage(m *message, now time.Duration) {
	for _, t := range m.attempts {
		if !t.ended {
			return // forgotten as that ends
		}
	}
	if m.ended && now >= m.deadline+delayedCallWindow {
		delete(a.messages, m.id)
	}
}

// reported judges a delivery report. A message may be deferred only if submitting it again is harmless: if it never
// ran, is idempotent, or has a key that is kept at all endpoints.
func (a *Auditor) reported(e Event) {
	m := a.messages[e.Message]
	if m == nil || m.ended {
		return // a report of a message that has ended is harmless
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
