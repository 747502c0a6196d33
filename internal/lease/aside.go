package lease

import (
	"fmt"
	"time"
)

// MaxExcluded is how many endpoints may be out for one sender.
const MaxExcluded = 1000

// Exclusions is which endpoints operators have taken out, for one sender: nothing new goes to them. The whole set is told
// each time, and it is empty again once nobody has told it for long enough. The zero value has none out.
type Exclusions struct {
	Epoch       uint64 // of the latest telling
	Until       time.Time
	EndpointIDs []string
}

// Take takes the set as of an epoch. One from before the latest is refused.
func (a *Exclusions) Take(epoch uint64, ids []string, until, now time.Time) error {
	if epoch < a.Epoch {
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, a.Epoch)
	}
	if err := span(until, now); err != nil {
		return err
	}
	*a = Exclusions{epoch, until, ids}
	return nil
}

// Expire empties the set once its time is up, and tells whether it did.
func (a *Exclusions) Expire(now time.Time) bool {
	if len(a.EndpointIDs) == 0 || now.Before(a.Until) {
		return false
	}
	a.EndpointIDs = nil
	return true
}
