// Package lease implements a sender's record of its lease to be out of service, and of the endpoints that operators
// have excluded. It decides which orders a sender accepts, until when they hold, and which late, stale or misdirected
// orders it rejects. It does no I/O, grants no leases, and receives the time as a parameter. The design is described
// in docs/design/agreed-drains.md.
package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// MaxDuration bounds how far in the future a lease may end, so that a lease that is not renewed does not persist.
const MaxDuration = time.Hour

// Order is an order that grants one process of a sender a lease to be out of service.
type Order struct {
	Process  string    // id of the process that the order is for
	Epoch    uint64    // epoch of the grant, higher than that of any earlier grant
	AcceptBy time.Time // deadline for accepting the order
	Until    time.Time // expiry of the lease
	Drain    bool      // true: the sender rejects clients; false: it keeps serving and may change its version
}

// Errors of rejected orders. Each states why the order was rejected.
var (
	ErrWrongProcess = errors.New("lease: the order is for another process of this sender")
	ErrExpired      = errors.New("lease: the order came too late")
	ErrStaleEpoch   = errors.New("lease: an order of a later epoch has been seen")
	ErrEnded        = errors.New("lease: its lease has ended")
	ErrInvalidEnd   = errors.New("lease: it would end in the past, or later than may be")
)

var rejections = []error{ErrWrongProcess, ErrExpired, ErrStaleEpoch, ErrEnded, ErrInvalidEnd}

// IsRejection reports whether an error is a rejection by a Holder or by Exclusions.
func IsRejection(err error) bool {
	return slices.ContainsFunc(rejections, func(rejection error) bool { return errors.Is(err, rejection) })
}

// Holder is a sender's record of the orders that it has seen. It keeps the highest epoch and rejects orders of earlier
// ones. The zero value is valid for a process that has seen no order. It is not safe for concurrent use.
type Holder struct {
	Epoch uint64    `json:"epoch,omitempty"` // the highest epoch that was accepted or ended
	Ended bool      `json:"ended,omitempty"` // the lease of that epoch has ended
	Until time.Time `json:"until,omitzero"`
	Drain bool      `json:"drain,omitempty"`
}

// Active reports whether a lease is active.
func (h *Holder) Active() bool { return h.Epoch > 0 && !h.Ended }

// Accept accepts an order on behalf of the process with the given id. Repeating the order of the active lease changes
// nothing. Errors are those of this package.
func (h *Holder) Accept(o Order, process string, now time.Time) error {
	switch {
	case o.Process != process:
		return fmt.Errorf("%w: %q, this is %q", ErrWrongProcess, o.Process, process)
	case o.Epoch < h.Epoch:
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, o.Epoch, h.Epoch)
	case o.Epoch == 0 || o.Epoch == h.Epoch && h.Ended:
		return ErrEnded
	case o.Epoch == h.Epoch:
		return nil
	case now.After(o.AcceptBy):
		return fmt.Errorf("%w: by %v", ErrExpired, now.Sub(o.AcceptBy))
	}
	if err := checkEnd(o.Until, now); err != nil {
		return err
	}
	*h = Holder{Epoch: o.Epoch, Until: o.Until, Drain: o.Drain}
	return nil
}

// Renew sets a new end for the active lease. Errors are ErrStaleEpoch, ErrEnded and ErrInvalidEnd.
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

// End ends an epoch and all earlier ones, whether their orders were accepted or not: an order of these epochs that
// arrives later is rejected. It returns ErrStaleEpoch, and ends nothing, if the epoch is lower than the highest seen.
func (h *Holder) End(epoch uint64) error {
	if epoch < h.Epoch {
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, h.Epoch)
	}
	*h = Holder{Epoch: epoch, Ended: true}
	return nil
}

// Expire ends the active lease if it has expired, and reports whether it did.
func (h *Holder) Expire(now time.Time) bool {
	if !h.Active() || now.Before(h.Until) {
		return false
	}
	*h = Holder{Epoch: h.Epoch, Ended: true}
	return true
}

// checkEnd checks that the end of a lease or a set of exclusions is in the future and at most MaxDuration away.
func checkEnd(until, now time.Time) error {
	if d := until.Sub(now); d <= 0 || d > MaxDuration {
		return fmt.Errorf("%w: in %v", ErrInvalidEnd, d)
	}
	return nil
}
