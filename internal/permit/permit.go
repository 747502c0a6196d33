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

// Refusal says why a message may not be sent. The zero value is None.
type Refusal int

// The refusals, in the order in which they are looked for.
const (
	None       Refusal = iota
	Stopping           // the process ends, or another one sends
	Overdue            // the message's time is up
	Repeat             // it may have run, and must not run twice
	Forgotten          // it may have run so long ago that its key is not remembered any more
	SecondCopy         // another copy is out, and the site allows one
	TargetLeft         // the target drains or is gone, and the grace for that is over
	Waiting            // the target, or its destination, told a wait that is not over
	Uncertain          // discovery may have told that the target leaves
	Refusals           // how many there are
)

var names = [Refusals]string{
	"none", "stopping", "overdue", "repeat", "forgotten", "second-copy", "target-left", "waiting", "list-uncertain",
}

// String is the refusal's name in logs and counts.
func (r Refusal) String() string {
	if r < 0 || r >= Refusals {
		return "unknown"
	}
	return names[r]
}

// All are the refusals besides None.
func All() []Refusal {
	list := make([]Refusal, 0, Refusals-1)
	for r := None + 1; r < Refusals; r++ {
		list = append(list, r)
	}
	return list
}

const (
	// holdMargin is left between the last send and the end of the grace of drains: the process may be held up between a
	// look at its clock and a write (STANDING: 150 ms), and a call takes its time on the way.
	holdMargin = 250 * time.Millisecond
	// WaitSlack is how soon after the answer that told a wait calls still get through (PROTOCOL).
	WaitSlack = 100 * time.Millisecond
)

// HoldAfter is how long after a target was told to leave nothing new is sent there any more, of the grace for it.
func HoldAfter(grace time.Duration) time.Duration { return grace - min(holdMargin, grace/2) }

// Route is what is known of a target when something is to be sent to it. Zero times stand for never.
type Route struct {
	Left      time.Time // it was told that it drains or is gone
	Uncertain time.Time // since then the list of targets may not be what was told last
	WaitFrom  time.Time // it, or its destination, told a wait then...
	WaitUntil time.Time // ...that ends then
}

// Message is what is known of a message that is to be sent.
type Message struct {
	Effect      control.Effect
	Deadline    time.Time
	MayHaveRun  bool      // an attempt before may have run, or may yet
	RememberTil time.Time // its key is remembered until then; of one that may have run
	CopyOut     bool      // another copy of it is out
}

// Rules are the figures and states that hold for all sends of a process.
type Rules struct {
	Grace    time.Duration // for targets that leave; 0 = no such rule
	OneCopy  bool          // a message may be out once at a time
	Stopping bool          // nothing new may be sent
}

// Send decides whether a message may be sent to a target now.
func (r Rules) Send(now time.Time, m Message, to Route) Refusal {
	switch {
	case r.Stopping:
		return Stopping
	case !now.Before(m.Deadline):
		return Overdue
	case m.MayHaveRun && m.Effect == control.Unsafe:
		return Repeat
	case m.MayHaveRun && m.Effect == control.Keyed && !now.Before(m.RememberTil):
		return Forgotten
	case m.CopyOut && r.OneCopy:
		return SecondCopy
	}
	return r.route(now, to, HoldAfter(r.Grace), 0)
}

// Left judges a send by the time at which its first byte was written: nothing of the slack that Send leaves is left.
func (r Rules) Left(at time.Time, to Route) Refusal {
	return r.route(at, to, r.Grace, WaitSlack)
}

func (r Rules) route(now time.Time, to Route, grace, slack time.Duration) Refusal {
	over := func(since time.Time) bool { return r.Grace > 0 && !since.IsZero() && now.Sub(since) > grace }
	switch {
	case over(to.Left):
		return TargetLeft
	case now.Before(to.WaitUntil) && now.Sub(to.WaitFrom) > slack:
		return Waiting
	case over(to.Uncertain):
		return Uncertain
	}
	return None
}
