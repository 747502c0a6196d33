package lease

import (
	"fmt"
	"time"
)

// MaxExcluded is how many endpoints may be excluded for one sender.
const MaxExcluded = 1000

// Exclusions is which endpoints operators have excluded, for one sender: nothing new goes to them. The whole set is
// told each time, and it is empty again once nobody has told it for long enough. The zero value excludes none. It is
// not safe for concurrent use.
type Exclusions struct {
	Epoch       uint64 // of the latest set
	Until       time.Time
	EndpointIDs []string
}

// Take takes the set as of an epoch. The error is ErrStaleEpoch for a set from before the latest, or ErrInvalidEnd.
func (x *Exclusions) Take(epoch uint64, ids []string, until, now time.Time) error {
	if epoch < x.Epoch {
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, x.Epoch)
	}
	if err := checkEnd(until, now); err != nil {
		return err
	}
	*x = Exclusions{epoch, until, ids}
	return nil
}

// Expire empties the set once its time is up, and tells whether it did.
func (x *Exclusions) Expire(now time.Time) bool {
	if len(x.EndpointIDs) == 0 || now.Before(x.Until) {
		return false
	}
	x.EndpointIDs = nil
	return true
}
