// Package lease is a sender's own book of the leave that it has to be out: which order it takes up, until when,
// and which orders it refuses although they look like those it would take. It does no I/O and takes the time as
// a parameter. Its design is docs/design/agreed-drains.md.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// MaxDuration is how far ahead of now a lease may end: one that nobody renews must not last.
const MaxDuration = time.Hour

// Order is the leave for one process of a sender to go out.
type Order struct {
	Process string    // the process that it is for
	Epoch   uint64    // of the grant; above that of any grant before it
	By      time.Time // not to be taken up later
	Until   time.Time // the lease ends by itself then
	Drain   bool      // clients are sent away; else the sender may only change
}

// Errors of orders that are refused. Each says what has become of the order.
var (
	ErrWrongProcess = errors.New("lease: the order is for another process of this sender")
	ErrExpired      = errors.New("lease: the order came too late")
	ErrStaleEpoch   = errors.New("lease: an order of a later epoch has been seen")
	ErrEnded        = errors.New("lease: its lease has ended")
	ErrInvalidEnd   = errors.New("lease: it would end in the past, or later than may be")
)

// IsRejection tells whether an error is a book's refusal.
func IsRejection(err error) bool {
	for _, e := range []error{ErrWrongProcess, ErrExpired, ErrStaleEpoch, ErrEnded, ErrInvalidEnd} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Holder is what a sender remembers of orders. The highest epoch that it has seen decides; all before it is refused.
// The zero value serves a process that has seen none. It is not safe for concurrent use.
type Holder struct {
	Epoch uint64    `json:"epoch,omitempty"` // the highest that was taken up, or ended
	Ended bool      `json:"ended,omitempty"` // nothing of that epoch stands any more
	Until time.Time `json:"until,omitzero"`
	Drain bool      `json:"drain,omitempty"`
}

// Active tells whether a lease stands.
func (b *Holder) Active() bool { return b.Epoch > 0 && !b.Ended }

// Take takes an order up, for the process of that id. Again for the one that stands changes nothing.
func (b *Holder) Take(o Order, process string, now time.Time) error {
	switch {
	case o.Process != process:
		return fmt.Errorf("%w: %q, this is %q", ErrWrongProcess, o.Process, process)
	case o.Epoch < b.Epoch:
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, o.Epoch, b.Epoch)
	case o.Epoch == 0 || o.Epoch == b.Epoch && b.Ended:
		return ErrEnded
	case o.Epoch == b.Epoch:
		return nil
	case now.After(o.By):
		return fmt.Errorf("%w: by %v", ErrExpired, now.Sub(o.By))
	}
	if err := span(o.Until, now); err != nil {
		return err
	}
	*b = Holder{Epoch: o.Epoch, Until: o.Until, Drain: o.Drain}
	return nil
}

// Renew sets another end to the lease that stands.
func (b *Holder) Renew(epoch uint64, until, now time.Time) error {
	switch {
	case epoch != b.Epoch:
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, b.Epoch)
	case b.Ended:
		return ErrEnded
	}
	if err := span(until, now); err != nil {
		return err
	}
	b.Until = until
	return nil
}

// End ends an epoch and all before it, whether it was taken up or not: an order of it that is still on its way
// is refused from now on. An earlier one than the highest ends nothing.
func (b *Holder) End(epoch uint64) error {
	if epoch < b.Epoch {
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, b.Epoch)
	}
	*b = Holder{Epoch: epoch, Ended: true}
	return nil
}

// Expire ends the lease that stands once its time is up, and tells whether it did.
func (b *Holder) Expire(now time.Time) bool {
	if !b.Active() || now.Before(b.Until) {
		return false
	}
	*b = Holder{Epoch: b.Epoch, Ended: true}
	return true
}

func span(until, now time.Time) error {
	if d := until.Sub(now); d <= 0 || d > MaxDuration {
		return fmt.Errorf("%w: in %v", ErrInvalidEnd, d)
	}
	return nil
}
