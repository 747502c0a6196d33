// Package deadletter keeps messages that could not be delivered: a store on bbolt, the
// keeper that alone writes it, and the ways to look into it. What may be sent
// again, and when, is decided in Eligible here, by the rules of the settings and
// by internal/resend; the controller decides about each message once more.
package deadletter

import (
	"encoding/base64"
	"fmt"
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
	attemptsMost = 64 // kept of a record's history; the first ones, which count for what may have run
	deedsMost    = 32 // the latest
)

// did notes what was done; only the latest deeds are kept.
func (r *Record) did(now time.Time, what, by string) {
	r.Events = append(r.Events, Event{now, what, by})
	if n := len(r.Events) - deedsMost; n > 0 {
		r.Events = append([]Event(nil), r.Events[n:]...)
	}
}

// add notes attempts. Where there is no room for one that may have run, the
// history is in doubt.
func (r *Record) add(list []Attempt) {
	for _, a := range list {
		if len(r.Attempts) < attemptsMost {
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

// order has a record sent again.
func (r *Record) order(notBefore, until time.Time) {
	r.State, r.NotBefore, r.Until, r.Ready, r.ReviewAt = Ordered, notBefore, until, false, time.Time{}
}

// rest takes a record back among the held ones.
func (r *Record) rest(askAt time.Time) {
	r.State, r.Ready, r.ReviewAt = Held, false, askAt
	r.Until, r.NotBefore = time.Time{}, time.Time{}
}

// Terms are what a class allows, as the settings of the platform have it.
type Terms struct {
	Classes map[string]control.Class
	SendCap int
}

// A NotEligible says why a record can't be sent again. It holds for good, unless
// Passing.
type NotEligible struct {
	Reason    string
	Temporary bool
}

func (r *NotEligible) Error() string { return r.Reason }

func never(format string, args ...any) *NotEligible {
	return &NotEligible{Reason: fmt.Sprintf(format, args...)}
}

// Eligible tells whether a record may be sent at a time, or why not. The clock
// must be one that never goes back (Clock); where it did, sure is false and no
// memory span can be judged.
func (t *Terms) Eligible(r *Record, now time.Time, sure bool) *NotEligible {
	class, known := t.Classes[r.Class]
	at, _, ran := r.FirstRun()
	switch {
	case r.State.Ended():
		return never("it has ended: %s", r.State)
	case r.State == Out:
		return &NotEligible{"it is being sent", true}
	case r.BodyMissing:
		return never("its body is lost")
	case !known:
		return never("the class %q is not known here", r.Class)
	case t.SendCap > 0 && r.AttemptCount >= t.SendCap:
		return never("it has had all its %d attempts", t.SendCap)
	case !ran || class.Idempotency == control.Idempotent:
		return nil
	case class.Idempotency == control.NotIdempotent:
		if r.HistoryIncomplete {
			return never("its history is not whole, so it may have taken effect, and a %s must never take effect twice", r.Class)
		}
		return never("it may have taken effect, and a %s must never take effect twice", r.Class)
	case at.IsZero():
		return never("it may have run at a time that is not known, so the partner may have forgotten its key")
	case !sure:
		return never("the clock went back, so whether the partner remembers its key can't be told")
	case !now.Before(at.Add(class.KeyRetention - class.KeyRetention/4)):
		// The repeat must arrive while the first is remembered: a quarter is kept for the way, as control does.
		return never("it may have run %v ago, and the partner remembers its key for %v", now.Sub(at).Round(time.Millisecond), class.KeyRetention)
	}
	return nil
}

// results are the words for what came of an attempt.
var results = map[control.Result]string{
	control.Unknown: "unknown", control.Served: "served", control.Failed: "error", control.Rejected: "refused",
	control.TimedOut: "timed-out", control.ConnectFailed: "no-connection", control.ConnectionLost: "reset",
	control.Canceled: "cancelled", control.NotSent: "not-sent", control.Unprocessable: "rejected",
	control.ConnectionRejected: "no-room",
}

// attempts turns the loop's history into a record's.
func attempts(tries []state.AttemptRecord, resend int) []Attempt {
	list := make([]Attempt, 0, len(tries))
	for _, t := range tries {
		a := Attempt{Target: t.Target, Zone: t.Zone, At: t.At, Result: results[t.Result], MayHaveRun: t.Result.MayHaveRun(), Redelivery: resend}
		if t.Open {
			a.Result, a.MayHaveRun = results[control.Unknown], true
		}
		if t.At.Unix() == 0 {
			a.At = time.Time{}
		}
		list = append(list, a)
	}
	return list
}

// ExportLine is a record as it is exported: whole, with its body.
type ExportLine struct {
	Record
	Body string `json:"body"` // base64
}

// NewExportLine makes one.
func NewExportLine(r Record, body []byte) ExportLine {
	return ExportLine{r, base64.StdEncoding.EncodeToString(body)}
}

// imported checks a line from outside and makes a new record of it. What
// happened to the message since it was exported is not known here: it counts as
// one that may have run, at an unknown time.
func (l *ExportLine) imported(now time.Time) (Record, []byte, error) {
	body, err := base64.StdEncoding.DecodeString(l.Body)
	switch {
	case err != nil:
		return Record{}, nil, fmt.Errorf("body: %w", err)
	case len(body) > state.MaxBody:
		return Record{}, nil, fmt.Errorf("body: %d bytes, %d at most", len(body), state.MaxBody)
	case l.ID == "" || len(l.ID) > 256 || len(l.Key) > 256 || len(l.Class) > 256 || len(l.Tenant) > 256 || len(l.Reason) > 256:
		return Record{}, nil, fmt.Errorf("id missing, or a name over 256 bytes")
	case l.Class == "":
		return Record{}, nil, fmt.Errorf("class missing")
	case l.State.Ended():
		return Record{}, nil, fmt.Errorf("it has ended: %s", l.State)
	case l.BodyMissing:
		return Record{}, nil, fmt.Errorf("without its body")
	case len(l.Attempts) > attemptsMost || len(l.Events) > deedsMost || l.AttemptCount < 0 || l.Redeliveries < 0:
		return Record{}, nil, fmt.Errorf("its history is out of bounds")
	}
	r := l.Record
	r.Sequence, r.Revision, r.Size, r.HeldAt, r.HistoryIncomplete = 0, 0, len(body), now, true
	r.rest(time.Time{})
	return r, body, nil
}
