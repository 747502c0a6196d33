package control

import "time"

// MessageID names a message for as long as its host lives; it is never reused.
type MessageID uint32

// Message is one message handed in.
type Message struct {
	ID           MessageID
	Class        int
	Destination  int
	TimeLeft     time.Duration // until it is given up
	ExpectedWork time.Duration // expected work; 0 = not told
	Key          uint64        // for classes in order; 0 = none
	Tenant       int
	Resubmitted  bool // handed in before
	Inherited    bool // comes from an instance that died

	// What was done for it before this controller: a host that restarts tells of it.
	Attempts     int           // attempts made
	MayHaveRun   bool          // one of them may have run
	FirstRunAgo  time.Duration // how long ago the first such was sent
	FirstRunZone int           // the zone it went to
}
