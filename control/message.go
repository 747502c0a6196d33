package control

import "time"

// MessageID identifies a message during the lifetime of its host. It is never reused.
type MessageID uint32

// Message is a submitted message.
type Message struct {
	ID           MessageID
	Class        int // index into Settings.Classes
	Destination  int
	TimeLeft     time.Duration // time until the deadline
	ExpectedWork time.Duration // 0 = unknown
	Key          uint64        // for ordered classes; 0 = none
	Tenant       int           // index into Settings.Tenants
	Resubmitted  bool          // the client has submitted it before
	Inherited    bool          // it was taken over from a failed sender
	Size         int           // bytes that it takes in the body of a call with several messages

	// Attempts that were made before this controller was created, if the host has restarted.
	Attempts     int           // number of attempts made
	MayHaveRun   bool          // an attempt may have taken effect
	FirstRunAgo  time.Duration // time since the first such attempt was sent
	FirstRunZone int           // zone of that attempt's endpoint
}
