package audit

import "time"

// EventKind is the kind of an event. The numbers are stored in ledgers and must not change.
type EventKind uint8

// The kinds of events. The parentheses list the fields that a kind uses besides At and Sender.
const (
	// Submitted: a submission has arrived completely at a sender (Message, Class, Dest, TimeLeft, Key).
	Submitted EventKind = iota
	// Accepted: the client has received the response that its message is accepted (Message).
	Accepted
	// Rejected: the client has received an error response; no outcome is owed (Message).
	Rejected
	// Sent: a call has arrived completely at an endpoint (Call, Endpoint, Zone, Dest, Messages; FirstByteAt if its first
	// byte arrived earlier).
	Sent
	// Ended: a call has ended (Call, Outcome, RetryAfter, Cause; Outcomes for messages whose outcome differs from the
	// call's).
	Ended
	// DeliveryReported: the platform has received a delivery report (Message, Deferred, RetryAfter).
	DeliveryReported
	// Notified: discovery has notified a sender of a change of an endpoint, or is considered to have done so (Endpoint,
	// Dest, Leaves).
	Notified
	// OutageBegan: an outage of a route began (Dest; Endpoint for a separate route).
	OutageBegan
	// OutageEnded: an outage of a route ended, and the route is warming up (Dest, Endpoint).
	OutageEnded
	// FailureSeen: a call or health check of a sender to a route failed or was rejected (Dest, Endpoint).
	FailureSeen
	// Overloaded: a route that was warming up was overloaded (Dest, Endpoint, CallsBySender).
	Overloaded
	// ProcessEnded: the process of a sender ended, was asked to terminate, or was stopped (Cause).
	ProcessEnded
	// Ready: the process of a sender is ready.
	Ready
	// Requested: a client starts to request the delivery of a message (Request, Class, Tenant, Dest).
	Requested
	// Executed: an endpoint executed a message, or dropped it as a repeat (Call, Message, Class, Endpoint; Cause
	// "dropped" or "late").
	Executed
	// Abandoned: a client stopped waiting for the response to a submission (Message, Cause).
	Abandoned
	// Unreachable: a sender cannot reach the platform, which receives none of its delivery reports.
	Unreachable
	// ReachableAgain: a sender can reach the platform again.
	ReachableAgain
)

// Outcome is how a call, or one of its messages, ended at the endpoint.
type Outcome uint8

// The outcomes. The numbers are stored in ledgers and must not change.
const (
	Delivered   Outcome = iota
	Failed              // the message may have run
	NeverRan            // the message certainly did not run: rejected, not connected, not sent
	NothingOwed         // the endpoint responded that nothing more is owed
)

// Event is one line of a ledger. Lines are ordered by time; times are relative to the start of the run.
type Event struct {
	At            time.Duration      `json:"at"`
	Kind          EventKind          `json:"what"`
	Sender        int                `json:"sender,omitempty"`
	Message       string             `json:"message,omitempty"`
	Messages      []string           `json:"messages,omitempty"`
	Class         int                `json:"class,omitempty"`
	Dest          int                `json:"dest,omitempty"`
	TimeLeft      time.Duration      `json:"left,omitempty"`
	Key           string             `json:"key,omitempty"`
	Call          uint64             `json:"call,omitempty"`
	Endpoint      string             `json:"endpoint,omitempty"`
	Zone          int                `json:"zone,omitempty"`
	Outcome       Outcome            `json:"outcome,omitempty"`
	Outcomes      map[string]Outcome `json:"ends,omitempty"`
	RetryAfter    time.Duration      `json:"wait,omitempty"`
	Deferred      bool               `json:"deferred,omitempty"`
	Leaves        bool               `json:"leaves,omitempty"` // the endpoint drains or is removed
	CallsBySender map[int]int        `json:"pushes,omitempty"`

	// The remaining fields are used by the service meter and the report.
	Request     int           `json:"n,omitempty"` // number of the client's message, the same for all its submissions
	Tenant      int           `json:"tenant,omitempty"`
	FirstByteAt time.Duration `json:"first,omitempty"`
	Cause       string        `json:"cause,omitempty"`
}

// StateLost is the Cause of a ProcessEnded event where the state folder is lost together with the process. The outcomes
// of the messages in that folder are no longer owed.
const StateLost = "wiped"
