package lease

import (
	"fmt"
	"time"
)

// MaxExcluded is the maximum number of excluded endpoints of a sender.
const MaxExcluded = 1000

// Exclusions is the set of endpoints that operators have excluded for one sender: the sender starts no new work on
// them. Each update replaces the whole set, and the set expires unless it is updated in time. The zero value excludes
// no endpoint. It is not safe for concurrent use.
type Exclusions struct {
	Epoch       uint64 // of the latest set
	Until       time.Time
	EndpointIDs []string
}

// Replace replaces the set. It returns ErrStaleEpoch if the epoch is lower than that of the current set, and
// ErrInvalidEnd if the end is not valid.
func (x *Exclusions) Replace(epoch uint64, ids []string, until, now time.Time) error {
	if epoch < x.Epoch {
		return fmt.Errorf("%w: %d, seen %d", ErrStaleEpoch, epoch, x.Epoch)
	}
	if err := checkEnd(until, now); err != nil {
		return err
	}
	*x = Exclusions{epoch, until, ids}
	return nil
}

// Expire clears the set if it has expired, and reports whether it did.
func (x *Exclusions) Expire(now time.Time) bool {
	if len(x.EndpointIDs) == 0 || now.Before(x.Until) {
		return false
	}
	x.EndpointIDs = nil
	return true
}
