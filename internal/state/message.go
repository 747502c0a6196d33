package state

import (
	"sync/atomic"
	"time"

	"cleathold/control"
)

// MaxBody is the maximum size in bytes of the body of a message, and of the body of a call that carries several
// messages.
const MaxBody = 64 << 10

// FrameOverhead is the number of bytes that framing adds to a message in a call with several messages, besides its ID,
// key and body.
const FrameOverhead = 16

// Message is a message as a client submitted it, independent of the protocol.
type Message struct {
	ID, Key     string
	Class       int
	Tenant      int
	Destination int
	Deadline    time.Time
	Resubmitted bool // was submitted before, to this sender or to one that has failed
	Inherited   bool // an earlier sender received it and did not answer
	Body        []byte
}

// sizeInCall returns the number of bytes that a message takes in the body of a call with several messages.
func (m *Message) sizeInCall() int { return len(m.ID) + len(m.Key) + len(m.Body) + FrameOverhead }

// Response is the answer to a client that submitted a message.
type Response struct {
	Accepted   bool
	RetryAfter time.Duration // for a rejection: how long to wait before submitting again; 0 = no advice
	Permanent  bool          // the message is rejected for good: submitting it again is of no use
	Invalid    InvalidReason // for a rejection: why the message can't be accepted at all
}

// InvalidReason is the reason why a well-formed message can't be accepted.
type InvalidReason uint8

// The reasons why a message is invalid.
const (
	Valid              InvalidReason = iota
	UnknownDestination               // no endpoint of the destination was ever listed
	DuplicateID                      // another message has this ID, or had it recently
)

// AdmissionDecision is the decision on one message, which is made exactly once: either the loop accepts the message, or
// the listener rejects it because its client can't wait any longer.
type AdmissionDecision struct{ made atomic.Bool }

// Reject decides to reject the message. It returns false if the message has already been accepted.
func (d *AdmissionDecision) Reject() bool { return d.made.CompareAndSwap(false, true) }

// rejected reports whether the listener has already rejected the message.
func (d *AdmissionDecision) rejected() bool { return d != nil && d.made.Load() }

// accept decides to accept the message. It returns false if the listener has already rejected it.
func (d *AdmissionDecision) accept() bool { return d == nil || d.made.CompareAndSwap(false, true) }

// DeliveryReport reports to the platform that an accepted message ended undelivered.
type DeliveryReport struct {
	Number     control.MessageID
	ID         string
	Deferred   bool // the message is returned to the client; otherwise it is undeliverable
	RetryAfter time.Duration
	DeadLetter *DeadLetter // set if the message goes to the dead-letter queue
}

// outcome returns the name of the report's outcome as ReadPending lists it.
func (r *DeliveryReport) outcome() string {
	if r.Deferred {
		return "deferred"
	}
	return "undeliverable"
}
