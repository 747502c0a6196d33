package deadletter

import (
	"fmt"
	"time"

	"cleathold/control"
)

// ClassRules are what the platform's settings allow for classes.
type ClassRules struct {
	Classes     map[string]control.Class
	MaxAttempts int
}

// NotEligible is the error for a record that may not be redelivered. Unless Temporary it never may.
type NotEligible struct {
	Reason    string
	Temporary bool
}

// Error implements error.
func (r *NotEligible) Error() string { return r.Reason }

// neverEligible returns the error for a record that may never be redelivered.
func neverEligible(format string, args ...any) *NotEligible {
	return &NotEligible{Reason: fmt.Sprintf(format, args...)}
}

// Eligible returns why a record may not be redelivered now, or nil. The time must be of a clock that never goes back;
// where that can't be known, sure is false, and keys count as forgotten.
func (t *ClassRules) Eligible(r *Record, now time.Time, sure bool) *NotEligible {
	class, known := t.Classes[r.Class]
	at, _, ran := r.FirstRun()
	switch {
	case r.State.Ended():
		return neverEligible("it has ended: %s", r.State)
	case r.State == Out:
		return &NotEligible{"it is being sent", true}
	case r.BodyMissing:
		return neverEligible("its body is lost")
	case !known:
		return neverEligible("the class %q is not known here", r.Class)
	case t.MaxAttempts > 0 && r.AttemptCount >= t.MaxAttempts:
		return neverEligible("it has had all its %d attempts", t.MaxAttempts)
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
	case !sure:
		return neverEligible("the clock went back, so whether the partner remembers its key can't be told")
	case !now.Before(at.Add(class.KeyRetention - class.KeyRetention/4)):
		// The repeat must arrive while the key is retained; a quarter is left for its way, as in package control.
		return neverEligible("it may have run %v ago, and the partner remembers its key for %v",
			now.Sub(at).Round(time.Millisecond), class.KeyRetention)
	}
	return nil
}
