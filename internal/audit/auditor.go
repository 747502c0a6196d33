// Package audit judges from a ledger whether senders kept the rules of the project. A ledger has what was seen
// outside the senders: submissions and responses, calls, delivery reports, the endpoint list as discovery told it,
// and the partners' outages. The package takes no sender's word for anything, does no I/O, and keeps only what a
// later event may still need.
package audit

import (
	"fmt"
	"time"
)

// maxViolations is how many violations are kept. More are only counted.
const maxViolations = 1000

// Auditor judges a ledger, event by event. It is not safe for concurrent use.
type Auditor struct {
	rules           Rules
	now             time.Duration
	messages        map[string]*message
	calls           map[uint64]*call
	pendingChecks   []*message // by checkAt
	senders         map[int]*sender
	routes          map[routeKey]*route
	violations      []Violation
	violationCounts map[Rule]int
	counts          Counts
	executions      map[string]execution // of messages that are not idempotent, by id
	sweepAt         time.Duration        // when old effects are forgotten next
}

// Counts are the numbers of what was judged.
type Counts struct {
	Events        int `json:"Events"`
	Submissions   int `json:"HandIns"`
	Accepted      int `json:"Taken"`
	Calls         int `json:"Calls"`
	Delivered     int `json:"Delivered"`
	Deferred      int `json:"Deferred"`
	Undeliverable int `json:"Undeliverable"`

	Effects     int `json:"Effects"`     // executions of messages, repeated ones included
	LateEffects int `json:"LateEffects"` // by calls that were canceled
	Dropped     int `json:"Dropped"`     // repeats that partners dropped
}

// New returns an auditor for a new ledger.
func New(r Rules) *Auditor {
	return &Auditor{
		rules: r, messages: map[string]*message{}, calls: map[uint64]*call{}, senders: map[int]*sender{},
		routes: map[routeKey]*route{}, violationCounts: map[Rule]int{}, executions: map[string]execution{},
	}
}

func (a *Auditor) addViolation(v Violation) {
	a.violationCounts[v.Rule]++
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, v)
	}
}

// Read takes the next event. It returns an error for a ledger that is impossible: times that go back, or an event of
// something that never was.
func (a *Auditor) Read(e Event) error {
	if e.At < a.now {
		return fmt.Errorf("audit: an event at %v after one at %v", e.At, a.now)
	}
	a.checkDeadlines(e.At)
	a.now = e.At
	a.counts.Events++
	switch e.Kind {
	case Requested:
	case Submitted:
		return a.submitted(e)
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
	case Executed:
		a.executed(e)
	case Notice:
		a.reported(e)
	case Notified:
		a.sender(e.Sender).notified(e)
	case OutageBegan:
		a.route(a.routeKeyFor(e.Dest, e.Endpoint)).outageBegan()
	case OutageEnded:
		a.route(a.routeKeyFor(e.Dest, e.Endpoint)).inOutage = false
	case FailureSeen:
		if r := a.route(a.routeKeyFor(e.Dest, e.Endpoint)); r.inOutage && !a.sender(e.Sender).down {
			r.sawFailure[e.Sender] = true
		}
	case Overloaded:
		a.checkOverload(e)
	case Died:
		a.died(e)
	case Ready:
		a.sender(e.Sender).ready(e.At)
	case Unreachable:
		a.sender(e.Sender).becameUnreachable(e.At)
	case ReachableAgain:
		a.sender(e.Sender).becameReachable(e.At)
	default:
		return fmt.Errorf("audit: an event of kind %d", e.Kind)
	}
	return nil
}

// Close judges what is left at the end of a ledger, and returns the violations, 1,000 at most. End is a time by which
// all outcomes are due.
func (a *Auditor) Close(end time.Duration) []Violation {
	for _, s := range a.senders { // one that never became ready owes what it had
		if s.down {
			s.down, s.readyAt = false, a.now
		}
	}
	a.checkDeadlines(end)
	a.now = max(a.now, end)
	return a.violations
}

// Totals returns how much was judged, and how often each rule was violated.
func (a *Auditor) Totals() (Counts, map[Rule]int) { return a.counts, a.violationCounts }

// Owed returns how many accepted messages have no outcome, and how many calls are in flight, in one sum.
func (a *Auditor) Owed() int {
	n := len(a.calls)
	for _, m := range a.messages {
		if m.accepted && !m.ended {
			n++
		}
	}
	return n
}

// Size returns how many messages and calls are kept, for tests of its bounds.
func (a *Auditor) Size() int { return len(a.messages) + len(a.calls) }
