package deadletter

import (
	"fmt"
	"time"

	"cleathold/control"
)

// ClassRules contains the platform settings that decide whether a message may be sent again.
type ClassRules struct {
	Classes     map[string]control.Class
	MaxAttempts int
}

// NotEligible is the error for a record that must not be redelivered. Unless Temporary is set, it never becomes
// eligible.
type NotEligible struct {
	Reason    string
	Temporary bool
}

// Error implements error.
func (e *NotEligible) Error() string { return e.Reason }

// neverEligible returns the error for a record that must never be redelivered.
func neverEligible(format string, args ...any) *NotEligible {
	return &NotEligible{Reason: fmt.Sprintf(format, args...)}
}

// Eligible returns nil if a record may be redelivered now, and the reason otherwise. The time must come from a clock
// that never goes back. If this cannot be guaranteed, the caller passes false for clockReliable, and the partner is
// assumed to have forgotten the idempotency keys of attempts that may have run.
func (rules *ClassRules) Eligible(r *Record, now time.Time, clockReliable bool) *NotEligible {
	class, known := rules.Classes[r.Class]
	at, _, ran := r.FirstRun()
	switch {
	case r.State.Ended():
		return neverEligible("it has ended: %s", r.State)
	case r.State == InFlight:
		return &NotEligible{"it is being sent", true}
	case r.BodyMissing:
		return neverEligible("its body is lost")
	case !known:
		return neverEligible("the class %q is not known here", r.Class)
	case rules.MaxAttempts > 0 && r.AttemptCount >= rules.MaxAttempts:
		return neverEligible("it has had all its %d attempts", rules.MaxAttempts)
	case !ran || class.Idempotency == control.Idempotent:
		return nil
	case class.Idempotency == control.NotIdempotent:
		if r.HistoryIncomplete {
			return neverEligible("its history is not whole, so it may have taken effect, "+
				"and a %s must never take effect twice", r.Class)
		}
		return neverEligible("it may have taken effect, and a %s must never take effect twice", r.Class)
	case at.IsZero():
		return neverEligible("it may have run at a time that is not known, so the partner may have forgotten its key")
	case !clockReliable:
		return neverEligible("the clock went back, so whether the partner remembers its key can't be told")
	case !now.Before(at.Add(class.KeyRetention - class.KeyRetention/4)):
		// The repeated message must arrive while the partner retains the key. As in package control, a quarter of the
		// retention is reserved for its transmission.
		return neverEligible("it may have run %v ago, and the partner remembers its key for %v",
			now.Sub(at).Round(time.Millisecond), class.KeyRetention)
	}
	return nil
}
