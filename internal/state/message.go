package state

import (
	"sync/atomic"
	"time"

	"cleathold/control"
)

// MaxBody is how many bytes the body of one message, or of one call with several, may hold.
const MaxBody = 64 << 10

// FrameOverhead is how many bytes a message takes in a call with several, besides its id, key and body.
const FrameOverhead = 16

// Message is a message as it was submitted, in no protocol's terms.
type Message struct {
	ID, Key     string
	Class       int
	Tenant      int
	Destination int
	Deadline    time.Time
	Resubmitted bool // submitted before, here or to a sender that died
	Inherited   bool // an earlier sender had it and did not answer
	Body        []byte
}

// Response answers a client that submits a message.
type Response struct {
	Accepted   bool
	RetryAfter time.Duration // of a rejection: when to come back; 0 = no advice
	Permanent  bool          // a rejection after which coming back is of no use
	Invalid    InvalidReason // of a rejection: why the message can't be accepted at all
}

// InvalidReason says why a message that is well formed can't be accepted.
type InvalidReason uint8

// The reasons.
const (
	Valid              InvalidReason = iota
	UnknownDestination               // no endpoint of its destination was ever listed
	DuplicateID                      // another message has or had this id
)

// AdmissionDecision is made once: either the loop accepts a message, or the listener, whose client can't wait any
// longer, rejects it.
type AdmissionDecision struct{ made atomic.Bool }

// Reject decides against the message. False: it has been accepted.
func (d *AdmissionDecision) Reject() bool { return d.made.CompareAndSwap(false, true) }

// accept decides for it. False: its client has been rejected.
func (d *AdmissionDecision) accept() bool { return d == nil || d.made.CompareAndSwap(false, true) }

// DeliveryReport tells the platform of a message that was accepted and ended undelivered.
type DeliveryReport struct {
	Number     control.MessageID
	ID         string
	Deferred   bool // the client gets it back; else it is undeliverable
	RetryAfter time.Duration
	DeadLetter *DeadLetter // the dead-letter queue gets the message
}

// outcome is the report's word in what is pending.
func (r *DeliveryReport) outcome() string {
	if r.Deferred {
		return "deferred"
	}
	return "undeliverable"
}
