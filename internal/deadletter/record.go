// Package deadletter implements the queue of messages that could not be delivered. It keeps them in a bbolt store, to
// which only the goroutine of Queue.Run writes, and decides which of them may be redelivered and when: by
// ClassRules.Eligible, by the rules of the settings and by the rates of package redelivery. It does not send messages
// itself. It posts redeliveries to the event loop, whose controller decides about each message again.
package deadletter

import (
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// State is the state of a record. Its values are stored.
type State string

// The states of a record. Held, Ordered and InFlight are open states; in the others the record has ended.
const (
	Held       State = "held"       // waits for the decision of an operator or a rule
	Ordered    State = "ordered"    // to be redelivered before a deadline
	InFlight   State = "out"        // being redelivered; counts as sent
	Delivered  State = "delivered"  // by a redelivery
	Dropped    State = "dropped"    // by an operator or a rule
	Superseded State = "superseded" // the client submitted the key again
	Closed     State = "over"       // the partner reported that the message needs no further delivery
)

// Ended reports whether a record in this state has ended.
func (s State) Ended() bool { return s != Held && s != Ordered && s != InFlight }

// Attempt is a delivery attempt in the history of a record.
type Attempt struct {
	Target     string    `json:"target,omitempty"` // id of the endpoint; empty: unknown
	Zone       int       `json:"zone"`
	At         time.Time `json:"at"` // zero: unknown
	Result     string    `json:"result"`
	MayHaveRun bool      `json:"may_have_run"`
	Redelivery int       `json:"resend,omitempty"` // number of the redelivery; 0: before the message became a dead letter
}

// Event is an entry in the event history of a record, such as an order or a redelivery.
type Event struct {
	At   time.Time `json:"at"`
	Kind string    `json:"what"`
	By   string    `json:"by,omitempty"` // "uid 1000", "rule", "sender"
}

// Record is a dead letter without its body.
type Record struct {
	Sequence     uint64    `json:"seq"` // identifies the record in the store and in commands
	Revision     uint64    `json:"rev"` // number of changes to the record
	State        State     `json:"state"`
	ID           string    `json:"id"` // the id that the client chose; redeliveries use it as well
	Key          string    `json:"key,omitempty"`
	Class        string    `json:"class"`
	Tenant       string    `json:"tenant,omitempty"`
	Destination  int       `json:"destination"`
	Size         int       `json:"size"` // bytes of the body
	Reason       string    `json:"reason"`
	Deferred     bool      `json:"deferred,omitempty"` // without the queue the client would have been asked to retry later
	Deadline     time.Time `json:"deadline"`
	HeldAt       time.Time `json:"held_at"`
	AttemptCount int       `json:"sends"` // redeliveries included
	Redeliveries int       `json:"resends"`
	// HistoryIncomplete means that attempts are missing from the history; the message may have run at any time.
	HistoryIncomplete bool      `json:"doubt,omitempty"`
	Attempts          []Attempt `json:"attempts,omitempty"`
	Events            []Event   `json:"deeds,omitempty"`

	Until       time.Time `json:"until,omitzero"`      // Ordered: when the order expires
	NotBefore   time.Time `json:"not_before,omitzero"` // Ordered: the earliest time of the redelivery
	Ready       bool      `json:"ready,omitempty"`     // Ordered: NotBefore has passed
	ReviewAt    time.Time `json:"ask_at,omitzero"`     // Held: when the rule "after" is evaluated
	EndedAt     time.Time `json:"ended_at,omitzero"`
	BodyMissing bool      `json:"no_body,omitempty"` // the record has ended, or the body was lost to damage
}

const (
	maxAttempts = 64 // the history keeps the earliest attempts, which determine whether the message may have run
	maxEvents   = 32 // the event history keeps the latest events
)

// addEvent appends an event and drops the oldest ones beyond maxEvents.
func (r *Record) addEvent(now time.Time, kind, actor string) {
	r.Events = append(r.Events, Event{now, kind, actor})
	if n := len(r.Events) - maxEvents; n > 0 {
		r.Events = append([]Event(nil), r.Events[n:]...)
	}
}

// addAttempts appends attempts up to maxAttempts. If the first attempt that may have run exceeds this limit, the
// history is marked as incomplete.
func (r *Record) addAttempts(list []Attempt) {
	for _, a := range list {
		if len(r.Attempts) < maxAttempts {
			r.Attempts = append(r.Attempts, a)
		} else if _, _, ran := r.FirstRun(); a.MayHaveRun && !ran {
			r.HistoryIncomplete = true
		}
	}
}

// FirstRun reports whether the partner may have run the message, and the time and zone of the first attempt that may
// have run. A zero time means that the time is unknown.
func (r *Record) FirstRun() (at time.Time, zone int, ran bool) {
	for _, a := range r.Attempts {
		if !a.MayHaveRun {
			continue
		}
		if a.At.IsZero() {
			return time.Time{}, 0, true
		}
		if !ran || a.At.Before(at) {
			at, zone, ran = a.At, a.Zone, true
		}
	}
	if r.HistoryIncomplete {
		return time.Time{}, 0, true
	}
	return at, zone, ran
}

// end moves a record to an ended state.
func (r *Record) end(now time.Time, state State) {
	r.State, r.EndedAt, r.BodyMissing, r.Ready = state, now, true, false
	r.Until, r.NotBefore, r.ReviewAt = time.Time{}, time.Time{}, time.Time{}
}

// schedule orders the redelivery of a record between notBefore and until.
func (r *Record) schedule(notBefore, until time.Time) {
	r.State, r.NotBefore, r.Until, r.Ready, r.ReviewAt = Ordered, notBefore, until, false, time.Time{}
}

// unschedule cancels the order of a record, which is held again. A zero reviewAt means that no review is scheduled.
func (r *Record) unschedule(reviewAt time.Time) {
	r.State, r.Ready, r.ReviewAt = Held, false, reviewAt
	r.Until, r.NotBefore = time.Time{}, time.Time{}
}

// resultNames maps results to their names in stored records.
var resultNames = map[control.Result]string{
	control.Unknown: "unknown", control.Served: "served", control.Failed: "error", control.Rejected: "refused",
	control.TimedOut: "timed-out", control.ConnectFailed: "no-connection", control.ConnectionLost: "reset",
	control.Canceled: "cancelled", control.NotSent: "not-sent", control.Unprocessable: "rejected",
	control.ConnectionRejected: "no-room", control.RejectedUnexplained: "refused",
}

// convertAttempts converts attempts reported by the event loop. Attempts that are still open may have run.
func convertAttempts(attempts []state.AttemptRecord, redelivery int) []Attempt {
	list := make([]Attempt, 0, len(attempts))
	for _, attempt := range attempts {
		a := Attempt{Target: attempt.Target, Zone: attempt.Zone, At: attempt.At, Result: resultNames[attempt.Result],
			MayHaveRun: attempt.Result.MayHaveRun(), Redelivery: redelivery}
		if attempt.Open {
			a.Result, a.MayHaveRun = resultNames[control.Unknown], true
		}
		if attempt.At.Unix() == 0 {
			a.At = time.Time{}
		}
		list = append(list, a)
	}
	return list
}
