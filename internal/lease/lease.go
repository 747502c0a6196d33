// Package lease is a sender's own record of its lease to be out of service, and of the endpoints that operators have
// excluded: which order it takes, until when, and which orders it rejects although they look like those it would
// take. It does no I/O, grants nothing, and takes the time as a parameter. Its design is
// docs/design/agreed-drains.md.
package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// MaxDuration is how far ahead of now a lease may end: one that nobody renews must not last.
const MaxDuration = time.Hour

// Order is the lease for one process of a sender to go out of service.
type Order struct {
	Process string    // the process that it is for
	Epoch   uint64    // of the grant; above that of any grant before it
	By      time.Time // not to be taken later
	Until   time.Time // the lease ends by itself then
	Drain   bool      // clients are sent away; else the sender may only change
}

// The errors of orders that are rejected. Each says what has become of the order.
var (
	ErrWrongProcess = errors.New("lease: the order is for another process of this sender")
	ErrExpired      = errors.New("lease: the order came too late")
	ErrStaleEpoch   = errors.New("lease: an order of a later epoch has been seen")
	ErrEnded        = errors.New("lease: its lease has ended")
	ErrInvalidEnd   = errors.New("lease: it would end in the past, or later than may be")
)

var rejections = []error{ErrWrongProcess, ErrExpired, ErrStaleEpoch, ErrEnded, ErrInvalidEnd}

// IsRejection tells whether an error is a rejection by a Holder or by Exclusions.
func IsRejection(err error) bool {
	return slices.ContainsFunc(rejections, func(rejection error) bool { return errors.Is(err, rejection) })
}

// Holder is what a sender remembers of orders. The highest epoch that it has seen decides; all before it is rejected.
// The zero value serves a process that has seen none. It is not safe for concurrent use.
type Holder struct {
	Epoch uint64    `json:"epoch,omitempty"` // the highest that was taken, or ended
	Ended bool      `json:"ended,omitempty"` // nothing of that epoch is active any more
	Until time.Time `json:"until,omitzero"`
	Drain bool      `json:"drain,omitempty"`
}

// Active tells whether a lease is active.
func (h *Holder) Active() bool { return h.Epoch > 0 && !h.Ended }

// Take takes an order, for the process of that id. Again for the active one changes nothing. The error is one of
// those of this package.
func (h *Holder) Take(o Order, process string, now time.Time) error {
	switch {
	case o.Process != process:
		return fmt.Errorf("%w: %q, this is %q", ErrWrongProcess, o.Process, process)
	case o.Epoch < h.Epoch:
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, o.Epoch, h.Epoch)
	case o.Epoch == 0 || o.Epoch == h.Epoch && h.Ended:
		return ErrEnded
	case o.Epoch == h.Epoch:
		return nil
	case now.After(o.By):
		return fmt.Errorf("%w: by %v", ErrExpired, now.Sub(o.By))
	}
	if err := checkEnd(o.Until, now); err != nil {
		return err
	}
	*h = Holder{Epoch: o.Epoch, Until: o.Until, Drain: o.Drain}
	return nil
}

// Renew sets another end to the active lease. The error is ErrStaleEpoch, ErrEnded or ErrInvalidEnd.
func (h *Holder) Renew(epoch uint64, until, now time.Time) error {
	switch {
	case epoch != h.Epoch:
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, h.Epoch)
	case h.Ended:
		return ErrEnded
	}
	if err := checkEnd(until, now); err != nil {
		return err
	}
	h.Until = until
	return nil
}

// End ends an epoch and all before it, whether it was taken or not: an order of it that is still on its way is
// rejected from now on. For an earlier one than the highest it ends nothing; the error is ErrStaleEpoch.
func (h *Holder) End(epoch uint64) error {
	if epoch < h.Epoch {
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, h.Epoch)
	}
	*h = Holder{Epoch: epoch, Ended: true}
	return nil
}

// Expire ends the active lease once its time is up, and tells whether it did.
func (h *Holder) Expire(now time.Time) bool {
	if !h.Active() || now.Before(h.Until) {
		return false
	}
	*h = Holder{Epoch: h.Epoch, Ended: true}
	return true
}

// checkEnd checks when a lease, or a set of exclusions, would end.
func checkEnd(until, now time.Time) error {
	if d := until.Sub(now); d <= 0 || d > MaxDuration {
		return fmt.Errorf("%w: in %v", ErrInvalidEnd, d)
	}
	return nil
}
