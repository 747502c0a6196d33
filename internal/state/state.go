// Package state keeps what the sender has taken on: the table of messages, the
// target group, the journal, and the loop that alone owns the controller. It
// speaks no protocol; those that do carry its calls and post what came of them.
package state

import (
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// MaxBody is the most that one message, or one call of several, may hold.
const MaxBody = 64 << 10

// FrameRoom is what a message needs in a call of several besides id, key and body.
const FrameRoom = 16

// Message is a message as it was handed in, in no protocol's terms.
type Message struct {
	ID, Key     string
	Class       int
	Tenant      int
	Destination int
	Deadline    time.Time
	Resubmitted bool // handed in before, here or to a sender that died
	Inherited   bool // an earlier sender had it and did not answer
	Body        []byte
}

// Target is one endpoint as the target group knows it.
type Target struct {
	ID   string `json:"ID"`
	Addr string `json:"Addr"`
	control.Endpoint
}

// ListedTarget is a target as discovery has it.
type ListedTarget struct {
	ID   string `json:"id"`
	Dest int    `json:"dest"`
	Kind int    `json:"kind"`
	Up   bool   `json:"up"`
}

// NoVersion stands where no version of the list is known. Zero won't do: it is a version, that of a list
// which has not changed yet.
const NoVersion = -1

// ListUpdate is one answer of discovery. Its targets are not numbered yet.
type ListUpdate struct {
	Kind       control.ListUpdateKind
	Version    int64
	Targets    []Target
	PollPaused bool // the next question does not follow at once
}

// A Attempt is one attempt for one message.
type Attempt struct {
	Message  *Message
	Deadline time.Time // waited for until then
	NotAfter time.Time // not sent after that; the zero time stands for the deadline
	num      control.MessageID
	attempt  int
	ended    bool
	canceled bool // called off
	withheld bool // may not leave
}

// A Call is what travels on one connection: one forward, or several that go
// to one target in one round.
type Call struct {
	Target     Target
	Attempts   []*Attempt
	ConnectBy  time.Time // by when a connection must be up
	bytes      int       // what the forwards take in one body
	size       int       // forwards that left with it
	unanswered int       // forwards whose client has not been answered yet
	launched   bool
	sent       bool
	withheld   bool // its target told to wait before it left
}

// AttemptResult is what came of one forward of a call.
type AttemptResult struct {
	Attempt    *Attempt
	Result     control.Result
	Elapsed    time.Duration
	SentAt     time.Time     // when the first byte of its call was written; zero: none was, or it is not known
	RetryAfter time.Duration // told to send nothing there for so long
	Final      bool          // nothing more is owed
	NoSlot     bool
}

// Response answers a client that hands a message in.
type Response struct {
	Accepted   bool
	RetryAfter time.Duration // a fixed response: when to come back; 0 = not told
	Permanent  bool          // a fixed response after which coming back is of no use
	Invalid    InvalidReason // a fixed response to what can't be taken on
}

// A AdmissionDecision is made once: the loop takes a message on, or the listener, whose client can't wait any longer, refuses it.
type AdmissionDecision struct{ made atomic.Bool }

// Reject decides against the message. False: it has been taken on.
func (d *AdmissionDecision) Reject() bool { return d.made.CompareAndSwap(false, true) }

// accept decides for it. False: its client has been refused.
func (d *AdmissionDecision) accept() bool { return d == nil || d.made.CompareAndSwap(false, true) }

// InvalidReason says what keeps a message that reads well from being taken on.
type InvalidReason uint8

const (
	Valid              InvalidReason = iota
	UnknownDestination               // no target of its destination was ever listed
	DuplicateID                      // another message has or had this id
)

// DeliveryReport ends a message that was taken on and is not delivered.
type DeliveryReport struct {
	Num        control.MessageID
	ID         string
	Deferred   bool // handed back; else undeliverable
	RetryAfter time.Duration
	DeadLetter *DeadLetter // the keeper gets the message
}

// Transport carries calls to targets. None of its methods may block; what comes
// of a call is posted to the loop, once for each forward.
type Transport interface {
	Send(c *Call)
	Cancel(c *Call)
	// CancelUnsent ends a call as moot if its first byte has not left yet.
	CancelUnsent(c *Call)
	HealthCheck(t Target, deadline time.Time)
	Disconnect(target string)
}

// Discovery asks discovery. It posts News.
type Discovery interface {
	Watch(on bool, since int64)
	Fetch()
}

// Reporter delivers notices in order until they are acknowledged. It never blocks.
type Reporter interface {
	Report(n DeliveryReport)
}

// GossipSender tells the other senders of the tier. It never blocks.
type GossipSender interface {
	SendGossip(facts []gossip.Observation)
}

// The events that others post to the loop.
type (
	// Submitted is a message that a listener has read; the verdict goes to its client.
	Submitted struct {
		Message  *Message
		Response chan<- Response    // takes one without blocking
		Decision *AdmissionDecision // nil: its client waits for the verdict however long that takes
	}
	// GossipReceived is a note from another sender, by its number.
	GossipReceived struct {
		Peer         int
		Observations []gossip.Observation
	}
	// ResponseWritten tells that the verdict "taken" was written to the client, or could not be.
	ResponseWritten struct {
		ID string
		OK bool
	}
	// CallEnded tells what came of some forwards of a call.
	CallEnded struct {
		Call    *Call
		Results []AttemptResult
	}
	// HealthChecked answers a probe.
	HealthChecked struct {
		Target  control.EndpointID
		Result  control.Result
		Elapsed time.Duration
	}
	// ExclusionsChanged tells which targets operators have taken out: all of them, by their ids.
	ExclusionsChanged struct{ IDs []string }
	// ReportsAcknowledged tells that the platform has taken notices.
	ReportsAcknowledged struct{ Nums []control.MessageID }
	// stopping asks for no new messages; halting for no new forwards.
	stopping struct{}
	halting  struct{}
	inspect  func()
)
