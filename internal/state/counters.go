package state

import (
	"sync/atomic"
	"time"

	"cleathold/internal/permit"
)

// lateAfter is how long a message waits for its first attempt at most where nothing is short.
const lateAfter = 50 * time.Millisecond

// Counters count what loops of one process do, one after another. The loop adds, anyone may read. The zero value is
// ready.
type Counters struct {
	accepted, rejected, delivered, deferred, undeliverable, attempted, late, firstAttemptWait, open atomic.Int64

	unreadableLists, suspensions atomic.Int64

	withheld, violations [permit.DenialCount]atomic.Int64 // sends, by what was against them
}

// Counts are what counters show, since the start of the process but for Open.
type Counts struct {
	Accepted      int64         `json:"taken"`         // messages of clients that were accepted
	Rejected      int64         `json:"refused"`       // that were rejected, for want of capacity or hope
	Delivered     int64         `json:"delivered"`     // outcomes by kind
	Deferred      int64         `json:"deferred"`      // given back to the client
	Undeliverable int64         `json:"undeliverable"` // abandoned
	Called        int64         `json:"called"`        // messages that had a first attempt here
	Late          int64         `json:"late"`          // of them, those that waited for it longer than 50 ms
	FirstCall     time.Duration `json:"first_call_ns"` // sum of the times from the acceptance to that
	Open          int           `json:"open"`          // messages that are owed their outcome now
	Unread        int64         `json:"unread"`        // answers of discovery that began and could not be read
	Holds         int64         `json:"holds"`         // times that sends were suspended because of it

	Withheld map[string]int64 `json:"withheld,omitempty"` // sends that were decided on and did not leave, by reason
	Broken   map[string]int64 `json:"broken,omitempty"`   // calls that left against a rule, by rule: 0 in a sound program
}

// Counts reads them. They are not of one instant.
func (c *Counters) Counts() Counts {
	return Counts{
		Accepted: c.accepted.Load(), Rejected: c.rejected.Load(), Delivered: c.delivered.Load(), Deferred: c.deferred.Load(),
		Undeliverable: c.undeliverable.Load(), Called: c.attempted.Load(), Late: c.late.Load(),
		FirstCall: time.Duration(c.firstAttemptWait.Load()), Open: int(c.open.Load()),
		Unread: c.unreadableLists.Load(), Holds: c.suspensions.Load(),
		Withheld: nonZeroCounts(&c.withheld), Broken: nonZeroCounts(&c.violations),
	}
}

// nonZeroCounts are the counts of denials that are not zero, by name.
func nonZeroCounts(counts *[permit.DenialCount]atomic.Int64) map[string]int64 {
	list := map[string]int64{}
	for _, d := range permit.All() {
		if n := counts[d].Load(); n > 0 {
			list[d.String()] = n
		}
	}
	return list
}

// countFirstAttempt counts a message's first attempt, unless the message is from before this process.
func (l *Loop) countFirstAttempt(e *entry) {
	if !e.attempted && !e.acceptedAt.IsZero() {
		l.counters.attempted.Add(1)
		l.counters.firstAttemptWait.Add(int64(l.now.Sub(e.acceptedAt)))
		if l.now.Sub(e.acceptedAt) > lateAfter {
			l.counters.late.Add(1)
		}
	}
	e.attempted = true
}
