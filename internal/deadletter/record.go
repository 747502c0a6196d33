// Package deadletter is the queue of messages that could not be delivered. It owns a store on bbolt, which the
// goroutine of Queue.Run alone writes, and the rules by which a dead letter may be sent again: ClassRules.Eligible,
// the rules of the settings and the rates of package redelivery. It does not send by itself: redeliveries are events
// for the event loop, whose controller decides about each message again.
package deadletter

import (
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// State is the state of a record. Its values are stored.
type State string

// The states. The first three are open, the others ended.
const (
	Held       State = "held"       // until an operator or a rule decides
	Ordered    State = "ordered"    // to be redelivered, up to a time
	InFlight   State = "out"        // in redelivery; counts as sent
	Delivered  State = "delivered"  // by a redelivery
	Dropped    State = "dropped"    // by an operator or a rule
	Superseded State = "superseded" // its client submitted the key anew
	Closed     State = "over"       // the partner said that nothing more is owed
)

// Ended reports whether the record has ended.
func (s State) Ended() bool { return s != Held && s != Ordered && s != InFlight }

// Attempt is one attempt in the history of a record.
type Attempt struct {
	Target     string    `json:"target,omitempty"` // id of the endpoint; empty: unknown
	Zone       int       `json:"zone"`
	At         time.Time `json:"at"` // zero: unknown
	Result     string    `json:"result"`
	MayHaveRun bool      `json:"may_have_run"`
	Redelivery int       `json:"resend,omitempty"` // number of the redelivery; 0: before the message became a dead letter
}

// Event is something that was done with a record.
type Event struct {
	At   time.Time `json:"at"`
	Kind string    `json:"what"`
	By   string    `json:"by,omitempty"` // "uid 1000", "rule", "sender"
}

// Record is a dead letter without its body.
type Record struct {
	Sequence     uint64    `json:"seq"` // its number in the store, by which commands name it
	Revision     uint64    `json:"rev"` // counts its changes
	State        State     `json:"state"`
	ID           string    `json:"id"` // the client's id; redeliveries go out under it
	Key          string    `json:"key,omitempty"`
	Class        string    `json:"class"`
	Tenant       string    `json:"tenant,omitempty"`
	Destination  int       `json:"destination"`
	Size         int       `json:"size"` // bytes of the body
	Reason       string    `json:"reason"`
	Deferred     bool      `json:"deferred,omitempty"` // its client would have been told to come again
	Deadline     time.Time `json:"deadline"`
	HeldAt       time.Time `json:"held_at"`
	AttemptCount int       `json:"sends"` // redeliveries included
	Redeliveries int       `json:"resends"`
	// HistoryIncomplete: attempts are missing from the history; one may have run at any time.
	HistoryIncomplete bool      `json:"doubt,omitempty"`
	Attempts          []Attempt `json:"attempts,omitempty"`
	Events            []Event   `json:"deeds,omitempty"`

	Until       time.Time `json:"until,omitzero"`      // ordered: the order expires then
	NotBefore   time.Time `json:"not_before,omitzero"` // ordered: not before this
	Ready       bool      `json:"ready,omitempty"`     // ordered, and due
	ReviewAt    time.Time `json:"ask_at,omitzero"`     // held: the rule after is asked then
	EndedAt     time.Time `json:"ended_at,omitzero"`
	BodyMissing bool      `json:"no_body,omitempty"` // the record has ended, or the body was lost to damage
}

const (
	maxAttempts = 64 // in the history of a record: the first ones, which decide whether it may have run
	maxEvents   = 32 // the latest ones
)

// addEvent adds an event. Only the latest ones are kept.
func (r *Record) addEvent(now time.Time, kind, by string) {
	r.Events = append(r.Events, Event{now, kind, by})
	if n := len(r.Events) - maxEvents; n > 0 {
		r.Events = append([]Event(nil), r.Events[n:]...)
	}
}

// addAttempts adds attempts. If the first one that may have run is beyond the limit, the history is incomplete.
func (r *Record) addAttempts(list []Attempt) {
	for _, a := range list {
		if len(r.Attempts) < maxAttempts {
			r.Attempts = append(r.Attempts, a)
		} else if _, _, ran := r.FirstRun(); a.MayHaveRun && !ran {
			r.HistoryIncomplete = true
		}
	}
}

// FirstRun reports whether the message may have run, and when and to which zone the first such attempt was sent. A
// zero time is unknown.
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

// end ends a record.
func (r *Record) end(now time.Time, state State) {
	r.State, r.EndedAt, r.BodyMissing, r.Ready = state, now, true, false
	r.Until, r.NotBefore, r.ReviewAt = time.Time{}, time.Time{}, time.Time{}
}

// schedule orders a record to be redelivered.
func (r *Record) schedule(notBefore, until time.Time) {
	r.State, r.NotBefore, r.Until, r.Ready, r.ReviewAt = Ordered, notBefore, until, false, time.Time{}
}

// unschedule makes a record held, with the time of its next review; zero: none.
func (r *Record) unschedule(reviewAt time.Time) {
	r.State, r.Ready, r.ReviewAt = Held, false, reviewAt
	r.Until, r.NotBefore = time.Time{}, time.Time{}
}

// resultNames are the names of results in stored records.
var resultNames = map[control.Result]string{
	control.Unknown: "unknown", control.Served: "served", control.Failed: "error", control.Rejected: "refused",
	control.TimedOut: "timed-out", control.ConnectFailed: "no-connection", control.ConnectionLost: "reset",
	control.Canceled: "cancelled", control.NotSent: "not-sent", control.Unprocessable: "rejected",
	control.ConnectionRejected: "no-room",
}

// convertAttempts converts attempts of the event loop.
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
