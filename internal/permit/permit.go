// Package permit decides whether a message may be sent now. The controller plans sends, and each is looked at once more
// here as it is about to leave, with what is known by then; what has left is judged by the same rules afterwards. The
// package does no I/O and knows no clock: times are parameters.
//
// The rules are those of PROTOCOL ('The rules on sockets') and STANDING; their figures come from the settings.
package permit

import (
	"time"

	"cleathold/control"
)

// Denial says why a message may not be sent. The zero value is None.
type Denial int

// The refusals, in the order in which they are looked for.
const (
	Allowed           Denial = iota
	Stopping                 // the process ends, or another one sends
	Expired                  // the message's time is up
	NotRepeatable            // it may have run, and must not run twice
	KeyExpired               // it may have run so long ago that its key is not remembered any more
	InFlight                 // another copy is out, and the site allows one
	EndpointGone             // the target drains or is gone, and the grace for that is over
	RetryAfterPending        // the target, or its destination, told a wait that is not over
	ListUncertain            // discovery may have told that the target leaves
	DenialCount              // how many there are
)

var names = [DenialCount]string{
	"none", "stopping", "overdue", "repeat", "forgotten", "second-copy", "target-left", "waiting", "list-uncertain",
}

// String is the refusal's name in logs and counts.
func (r Denial) String() string {
	if r < 0 || r >= DenialCount {
		return "unknown"
	}
	return names[r]
}

// All are the refusals besides None.
func All() []Denial {
	list := make([]Denial, 0, DenialCount-1)
	for r := Allowed + 1; r < DenialCount; r++ {
		list = append(list, r)
	}
	return list
}

const (
	// holdMargin is left between the last send and the end of the grace of drains: the process may be held up between a
	// look at its clock and a write (STANDING: 150 ms), and a call takes its time on the way.
	holdMargin = 250 * time.Millisecond
	// RetryAfterSlack is how soon after the answer that told a wait calls still get through (PROTOCOL).
	RetryAfterSlack = 100 * time.Millisecond
)

// LastSendAfter is how long after a target was told to leave nothing new is sent there any more, of the grace for it.
func LastSendAfter(grace time.Duration) time.Duration { return grace - min(holdMargin, grace/2) }

// Route is what is known of a target when something is to be sent to it. Zero times stand for never.
type Route struct {
	LeftAt          time.Time // it was told that it drains or is gone
	UncertainSince  time.Time // since then the list of targets may not be what was told last
	RetryAfterFrom  time.Time // it, or its destination, told a wait then...
	RetryAfterUntil time.Time // ...that ends then
}

// Message is what is known of a message that is to be sent.
type Message struct {
	Idempotency      control.Idempotency
	Deadline         time.Time
	MayHaveRun       bool      // an attempt before may have run, or may yet
	KeyRetainedUntil time.Time // its key is remembered until then; of one that may have run
	InFlight         bool      // another copy of it is out
}

// Rules are the figures and states that hold for all sends of a process.
type Rules struct {
	DrainGrace time.Duration // for targets that leave; 0 = no such rule
	NoHedging  bool          // a message may be out once at a time
	Stopping   bool          // nothing new may be sent
}

// Check decides whether a message may be sent to a target now.
func (r Rules) Check(now time.Time, m Message, to Route) Denial {
	switch {
	case r.Stopping:
		return Stopping
	case !now.Before(m.Deadline):
		return Expired
	case m.MayHaveRun && m.Idempotency == control.NotIdempotent:
		return NotRepeatable
	case m.MayHaveRun && m.Idempotency == control.IdempotentByKey && !now.Before(m.KeyRetainedUntil):
		return KeyExpired
	case m.InFlight && r.NoHedging:
		return InFlight
	}
	return r.route(now, to, LastSendAfter(r.DrainGrace), 0)
}

// CheckSent judges a send by the time at which its first byte was written: nothing of the slack that Send leaves is left.
func (r Rules) CheckSent(at time.Time, to Route) Denial {
	return r.route(at, to, r.DrainGrace, RetryAfterSlack)
}

func (r Rules) route(now time.Time, to Route, grace, slack time.Duration) Denial {
	over := func(since time.Time) bool { return r.DrainGrace > 0 && !since.IsZero() && now.Sub(since) > grace }
	switch {
	case over(to.LeftAt):
		return EndpointGone
	case now.Before(to.RetryAfterUntil) && now.Sub(to.RetryAfterFrom) > slack:
		return RetryAfterPending
	case over(to.UncertainSince):
		return ListUncertain
	}
	return Allowed
}
