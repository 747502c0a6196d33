// Package deadletter keeps messages that could not be delivered: a store on bbolt, the
// keeper that alone writes it, and the ways to look into it. What may be sent
// again, and when, is decided in Eligible here, by the rules of the settings and
// by internal/resend; the controller decides about each message once more.
package deadletter

import (
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// State is where a record stands.
type State string

// The states. The first three are open, the others ended.
const (
	Held       State = "held"       // kept until somebody or a rule decides
	Ordered    State = "ordered"    // to be sent again, up to a time
	Out        State = "out"        // with the sender: counts as sent
	Delivered  State = "delivered"  // a resend was delivered
	Dropped    State = "dropped"    // by an operator or a rule
	Superseded State = "superseded" // its client handed the key in anew
	Over       State = "over"       // the partner's side says that nothing is owed
)

// Ended tells that nothing more becomes of a record.
func (s State) Ended() bool { return s != Held && s != Ordered && s != Out }

// Attempt is one attempt of a record's history.
type Attempt struct {
	Target     string    `json:"target,omitempty"` // its id; empty = not known
	Zone       int       `json:"zone"`
	At         time.Time `json:"at"` // zero = not known
	Result     string    `json:"result"`
	MayHaveRun bool      `json:"may_have_run"`
	Redelivery int       `json:"resend,omitempty"` // the resend it belongs to; 0 = the message's own time
}

// Event is one thing that was done with a record.
type Event struct {
	At   time.Time `json:"at"`
	Kind string    `json:"what"`
	By   string    `json:"by,omitempty"` // "uid 1000", "rule", "sender"
}

// Record is one held message, without its body.
type Record struct {
	Sequence     uint64    `json:"seq"` // its number in the store, which commands take as ID
	Revision     uint64    `json:"rev"` // counts its changes
	State        State     `json:"state"`
	ID           string    `json:"id"` // as its client named it: it goes out under this id again
	Key          string    `json:"key,omitempty"`
	Class        string    `json:"class"`
	Tenant       string    `json:"tenant,omitempty"`
	Destination  int       `json:"destination"`
	Size         int       `json:"size"` // bytes of the body
	Reason       string    `json:"reason"`
	Deferred     bool      `json:"deferred,omitempty"` // without the store it would have been its client's again
	Deadline     time.Time `json:"deadline"`
	HeldAt       time.Time `json:"held_at"`
	AttemptCount int       `json:"sends"` // attempts in all
	Redeliveries int       `json:"resends"`
	// HistoryIncomplete: the history is not whole, so that any attempt may have run, at any time.
	HistoryIncomplete bool      `json:"doubt,omitempty"`
	Attempts          []Attempt `json:"attempts,omitempty"`
	Events            []Event   `json:"deeds,omitempty"`

	Until       time.Time `json:"until,omitzero"`      // ordered: given up for now after this
	NotBefore   time.Time `json:"not_before,omitzero"` // ordered: not before this
	Ready       bool      `json:"ready,omitempty"`     // ordered, and its time has come
	ReviewAt    time.Time `json:"ask_at,omitzero"`     // held: when the rule is asked next
	EndedAt     time.Time `json:"ended_at,omitzero"`
	BodyMissing bool      `json:"no_body,omitempty"` // the body is gone: ended, or lost to damage
}

const (
	maxAttempts = 64 // kept of a record's history; the first ones, which count for what may have run
	maxEvents   = 32 // the latest
)

// addEvent notes what was done; only the latest deeds are kept.
func (r *Record) addEvent(now time.Time, what, by string) {
	r.Events = append(r.Events, Event{now, what, by})
	if n := len(r.Events) - maxEvents; n > 0 {
		r.Events = append([]Event(nil), r.Events[n:]...)
	}
}

// addAttempts notes attempts. Where there is no room for one that may have run, the
// history is in doubt.
func (r *Record) addAttempts(list []Attempt) {
	for _, a := range list {
		if len(r.Attempts) < maxAttempts {
			r.Attempts = append(r.Attempts, a)
		} else if _, _, ran := r.FirstRun(); a.MayHaveRun && !ran {
			r.HistoryIncomplete = true
		}
	}
}

// FirstRun tells whether the message may have run, when the first such attempt was
// sent and to which zone. A zero time: not known.
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
func (r *Record) end(now time.Time, s State) {
	r.State, r.EndedAt, r.BodyMissing, r.Ready = s, now, true, false
	r.Until, r.NotBefore, r.ReviewAt = time.Time{}, time.Time{}, time.Time{}
}

// schedule has a record sent again.
func (r *Record) schedule(notBefore, until time.Time) {
	r.State, r.NotBefore, r.Until, r.Ready, r.ReviewAt = Ordered, notBefore, until, false, time.Time{}
}

// unschedule takes a record back among the held ones.
func (r *Record) unschedule(askAt time.Time) {
	r.State, r.Ready, r.ReviewAt = Held, false, askAt
	r.Until, r.NotBefore = time.Time{}, time.Time{}
}

// resultNames are the words for what came of an attempt.
var resultNames = map[control.Result]string{
	control.Unknown: "unknown", control.Served: "served", control.Failed: "error", control.Rejected: "refused",
	control.TimedOut: "timed-out", control.ConnectFailed: "no-connection", control.ConnectionLost: "reset",
	control.Canceled: "cancelled", control.NotSent: "not-sent", control.Unprocessable: "rejected",
	control.ConnectionRejected: "no-room",
}

// attemptsOf turns the loop's history into a record's.
func attemptsOf(tries []state.AttemptRecord, resend int) []Attempt {
	list := make([]Attempt, 0, len(tries))
	for _, t := range tries {
		a := Attempt{Target: t.Target, Zone: t.Zone, At: t.At, Result: resultNames[t.Result], MayHaveRun: t.Result.MayHaveRun(), Redelivery: resend}
		if t.Open {
			a.Result, a.MayHaveRun = resultNames[control.Unknown], true
		}
		if t.At.Unix() == 0 {
			a.At = time.Time{}
		}
		list = append(list, a)
	}
	return list
}
