// Package audit checks a ledger for violations of the rules that senders must keep. A ledger contains what was
// observed outside the senders: submissions and responses, calls, delivery reports, the endpoint list updates that
// discovery sent, and the partners' outages. The package uses no data that a sender reports about itself. It does no
// I/O, and it retains only state that a later event may need.
package audit

import (
	"fmt"
	"time"
)

// maxViolations is the number of violations that are stored. Further ones are only counted.
const maxViolations = 1000

// Auditor checks a ledger event by event. It is not safe for concurrent use.
type Auditor struct {
	rules           Rules
	now             time.Duration
	messages        map[string]*message
	calls           map[uint64]*call
	pendingChecks   []*message // sorted by checkAt
	senders         map[int]*sender
	routes          map[routeKey]*route
	violations      []Violation
	violationCounts map[Rule]int
	counts          Counts
	executions      map[string]execution // latest executions of messages that are not idempotent, by message id
	sweepAt         time.Duration        // time of the next removal of expired executions
}

// Counts holds the numbers of events, messages and calls that were checked.
type Counts struct {
	Events        int `json:"Events"`
	Submissions   int `json:"HandIns"`
	Accepted      int `json:"Taken"`
	Calls         int `json:"Calls"`
	Delivered     int `json:"Delivered"`
	Deferred      int `json:"Deferred"`
	Undeliverable int `json:"Undeliverable"`

	Effects     int `json:"Effects"`     // executions of messages, including repeated ones
	LateEffects int `json:"LateEffects"` // executions by calls that had been canceled
	Dropped     int `json:"Dropped"`     // repeats that partners discarded
}

// New returns an Auditor for a ledger that is read from its start.
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

// Read processes the next event. It returns an error if the ledger is inconsistent, for example if the event is
// earlier than the previous one, or is the end of a call that was never sent.
func (a *Auditor) Read(e Event) error {
	if e.At < a.now {
		return fmt.Errorf("audit: event at %v is earlier than the previous one at %v", e.At, a.now)
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
			return fmt.Errorf("audit: response for message %q, which was not submitted", e.Message)
		}
		a.responded(m, e.Kind)
	case Sent:
		return a.callSent(e)
	case Ended:
		return a.callEnded(e)
	case Executed:
		a.executed(e)
	case DeliveryReported:
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
	case ProcessEnded:
		a.died(e)
	case Ready:
		a.sender(e.Sender).ready(e.At)
	case Unreachable:
		a.sender(e.Sender).becameUnreachable(e.At)
	case ReachableAgain:
		a.sender(e.Sender).becameReachable(e.At)
	default:
		return fmt.Errorf("audit: unknown event kind %d", e.Kind)
	}
	return nil
}

// Close checks the messages that have no outcome at the end of the ledger, and returns the violations, 1,000 at most.
// All outcomes must be due by the time end.
func (a *Auditor) Close(end time.Duration) []Violation {
	for _, s := range a.senders { // a sender that never became ready again still owes its outcomes
		if s.down {
			s.down, s.readyAt = false, a.now
		}
	}
	a.checkDeadlines(end)
	a.now = max(a.now, end)
	return a.violations
}

// Totals returns the counts of what was checked and the number of violations of each rule.
func (a *Auditor) Totals() (Counts, map[Rule]int) { return a.counts, a.violationCounts }

// Owed returns the number of accepted messages without an outcome plus the number of calls in flight.
func (a *Auditor) Owed() int {
	n := len(a.calls)
	for _, m := range a.messages {
		if m.accepted && !m.ended {
			n++
		}
	}
	return n
}

// Size returns the number of messages and calls in memory, for tests that check that it is bounded.
func (a *Auditor) Size() int { return len(a.messages) + len(a.calls) }
