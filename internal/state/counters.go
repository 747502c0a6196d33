package state

import (
	"sync/atomic"
	"time"

	"cleathold/internal/permit"
)

// lateFirstAttemptAfter is the wait for a first attempt above which a message counts as late. Messages wait no longer
// than this while the sender and its endpoints have spare capacity.
const lateFirstAttemptAfter = 50 * time.Millisecond

// Counters counts what the successive loops of one process do. The loop updates them, and any goroutine may read them.
// The zero value is ready to use.
type Counters struct {
	accepted, rejected, delivered, deferred, undeliverable, attempted, late, firstAttemptWait, open atomic.Int64

	unreadableLists, suspensions atomic.Int64

	withheld, violations [permit.DenialCount]atomic.Int64 // sends, by reason of denial
}

// Counts holds the values of Counters since the start of the process, except for Open.
type Counts struct {
	Accepted         int64         `json:"taken"`         // messages accepted from clients
	Rejected         int64         `json:"refused"`       // messages rejected: no capacity, or no prospect of delivery
	Delivered        int64         `json:"delivered"`     // messages delivered
	Deferred         int64         `json:"deferred"`      // messages returned to the client
	Undeliverable    int64         `json:"undeliverable"` // messages given up
	Attempted        int64         `json:"called"`        // messages that had their first attempt in this process
	Late             int64         `json:"late"`          // of those, messages that waited longer than 50 ms for it
	FirstAttemptWait time.Duration `json:"first_call_ns"` // sum of the times from acceptance to first attempt
	Open             int           `json:"open"`          // messages without an outcome now
	UnreadableLists  int64         `json:"unread"`        // answers of discovery that could not be read completely
	Suspensions      int64         `json:"holds"`         // how often sends were suspended because of that

	Withheld   map[string]int64 `json:"withheld,omitempty"` // sends that were decided on and withheld, by reason
	Violations map[string]int64 `json:"broken,omitempty"`   // calls sent against a rule, by rule; 0 in a correct program
}

// Counts returns the current values. They are read one after another, so they may not be consistent with each other.
func (c *Counters) Counts() Counts {
	return Counts{
		Accepted: c.accepted.Load(), Rejected: c.rejected.Load(), Delivered: c.delivered.Load(), Deferred: c.deferred.Load(),
		Undeliverable: c.undeliverable.Load(), Attempted: c.attempted.Load(), Late: c.late.Load(),
		FirstAttemptWait: time.Duration(c.firstAttemptWait.Load()), Open: int(c.open.Load()),
		UnreadableLists: c.unreadableLists.Load(), Suspensions: c.suspensions.Load(),
		Withheld: nonZeroCounts(&c.withheld), Violations: nonZeroCounts(&c.violations),
	}
}

// nonZeroCounts returns the counts of denials that are not zero, by name.
func nonZeroCounts(counts *[permit.DenialCount]atomic.Int64) map[string]int64 {
	list := map[string]int64{}
	for _, d := range permit.All() {
		if n := counts[d].Load(); n > 0 {
			list[d.String()] = n
		}
	}
	return list
}

// countFirstAttempt counts a message's first attempt, unless the message was accepted by an earlier process.
func (l *Loop) countFirstAttempt(e *entry) {
	if !e.attempted && !e.acceptedAt.IsZero() {
		l.counters.attempted.Add(1)
		l.counters.firstAttemptWait.Add(int64(l.now.Sub(e.acceptedAt)))
		if l.now.Sub(e.acceptedAt) > lateFirstAttemptAfter {
			l.counters.late.Add(1)
		}
	}
	e.attempted = true
}
