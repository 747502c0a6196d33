// Package permit decides whether a message may be sent now. The controller plans sends, and each is checked once more
// here as it is about to leave, with what is known by then; what has left is checked by the same rules afterwards.
// The package does no I/O and knows no clock: times are parameters.
//
// The rules are those of PROTOCOL ('The rules on sockets') and STANDING; their figures come from the settings.
package permit

import (
	"time"

	"cleathold/control"
)

// Denial says why a message may not be sent. The zero value is Allowed.
type Denial int

// The denials, in the order in which they are looked for.
const (
	Allowed           Denial = iota
	Stopping                 // the process ends, or another one sends
	Expired                  // the message's time is up
	NotRepeatable            // it may have run, and must not run twice
	KeyExpired               // it may have run so long ago that its key is not retained any more
	InFlight                 // another attempt of it is in flight, and the site allows one
	EndpointGone             // the endpoint drains or is gone, and the grace for that is over
	RetryAfterPending        // the endpoint, or its destination, told a Retry-After that has not passed
	ListUncertain            // discovery may have told that the endpoint leaves
	DenialCount              // how many there are
)

var denialNames = [DenialCount]string{
	"none", "stopping", "overdue", "repeat", "forgotten", "second-copy", "target-left", "waiting", "list-uncertain",
}

// String returns the denial's name in logs and counts.
func (d Denial) String() string {
	if d < 0 || d >= DenialCount {
		return "unknown"
	}
	return denialNames[d]
}

// All returns the denials besides Allowed.
func All() []Denial {
	list := make([]Denial, 0, DenialCount-1)
	for d := Allowed + 1; d < DenialCount; d++ {
		list = append(list, d)
	}
	return list
}

const (
	// drainMargin lies between the last send and the end of the drain grace: the process may be held up between a look
	// at its clock and a write (STANDING: 150 ms), and a call takes its time on the way.
	drainMargin = 250 * time.Millisecond
	// RetryAfterSlack is how soon after the answer that told a Retry-After calls still get through (PROTOCOL).
	RetryAfterSlack = 100 * time.Millisecond
)

// LastSendAfter returns how long after an endpoint was told to leave nothing new is sent there any more, of the grace
// for it.
func LastSendAfter(grace time.Duration) time.Duration { return grace - min(drainMargin, grace/2) }

// Route is what is known of an endpoint when something is to be sent to it. Zero times stand for never.
type Route struct {
	LeftAt          time.Time // discovery told that it drains or is gone
	UncertainSince  time.Time // since then the endpoint list may not be what was told last
	RetryAfterFrom  time.Time // it, or its destination, told a Retry-After then...
	RetryAfterUntil time.Time // ...that passes then
}

// Message is what is known of a message that is to be sent.
type Message struct {
	Idempotency      control.Idempotency
	Deadline         time.Time
	MayHaveRun       bool      // an attempt before may have run, or may yet
	KeyRetainedUntil time.Time // its key is retained until then; of one that may have run
	InFlight         bool      // another attempt of it is in flight
}

// Rules are the figures and states that hold for all sends of a process.
type Rules struct {
	DrainGrace time.Duration // for endpoints that leave; 0 = no such rule
	NoHedging  bool          // a message may have one attempt in flight
	Stopping   bool          // nothing new may be sent
}

// Check decides whether a message may be sent to an endpoint now.
func (r Rules) Check(now time.Time, m Message, route Route) Denial {
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
	return r.checkRoute(now, route, LastSendAfter(r.DrainGrace), 0)
}

// CheckSent checks a send by the time at which its first byte was written. It takes the rules to their limits:
// nothing of the margins that Check leaves counts against the send.
func (r Rules) CheckSent(sentAt time.Time, route Route) Denial {
	return r.checkRoute(sentAt, route, r.DrainGrace, RetryAfterSlack)
}

func (r Rules) checkRoute(now time.Time, route Route, grace, slack time.Duration) Denial {
	graceOver := func(since time.Time) bool {
		return r.DrainGrace > 0 && !since.IsZero() && now.Sub(since) > grace
	}
	switch {
	case graceOver(route.LeftAt):
		return EndpointGone
	case now.Before(route.RetryAfterUntil) && now.Sub(route.RetryAfterFrom) > slack:
		return RetryAfterPending
	case graceOver(route.UncertainSince):
		return ListUncertain
	}
	return Allowed
}
