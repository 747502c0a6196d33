package control

import "time"

// MessageID names a message for as long as its host lives; it is never reused.
type MessageID uint32

// Message is one message that was submitted.
type Message struct {
	ID           MessageID
	Class        int // index into Settings.Classes
	Destination  int
	TimeLeft     time.Duration // until it expires
	ExpectedWork time.Duration // 0 = not told
	Key          uint64        // for ordered classes; 0 = none
	Tenant       int           // index into Settings.Tenants
	Resubmitted  bool          // it was submitted before
	Inherited    bool          // it comes from a sender that died

	// What was done for it before this controller, where the host has restarted.
	Attempts     int           // attempts made
	MayHaveRun   bool          // one of them may have run
	FirstRunAgo  time.Duration // how long ago the first such attempt was sent
	FirstRunZone int           // the zone that it went to
}
