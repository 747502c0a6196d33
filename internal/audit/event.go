package audit

import "time"

// EventKind is what an event tells. The numbers stand in ledgers: they do not change.
type EventKind uint8

// The events. In brackets are the fields that they use besides At and Sender.
const (
	// Submitted: a message has arrived completely (Message, Class, Dest, TimeLeft, Key).
	Submitted EventKind = iota
	// Accepted: its client has the response that it is accepted (Message).
	Accepted
	// Rejected: its client has an error response; no outcome is owed (Message).
	Rejected
	// Sent: a call has arrived completely (Call, Endpoint, Zone, Dest, Messages; First, where its first byte came before).
	Sent
	// Ended: a call has ended (Call, Outcome, RetryAfter, Cause; Outcomes, where its messages ended differently).
	Ended
	// Notice: the platform has a delivery report (Message, Deferred, RetryAfter).
	Notice
	// Notified: discovery has notified a sender, or counts as having done so (Endpoint, Dest, Leaves).
	Notified
	// OutageBegan: an outage of a route began (Dest; Endpoint for a separate route).
	OutageBegan
	// OutageEnded: it ended, and the route warms up (Dest, Endpoint).
	OutageEnded
	// FailureSeen: a sender has seen a call or health check fail or be rejected there (Dest, Endpoint).
	FailureSeen
	// Overloaded: a route that was warming up was overloaded (Dest, Endpoint, CallsBySender).
	Overloaded
	// Died: a sender's process ended, was told to end, or was stopped (Cause).
	Died
	// Ready: it is ready again.
	Ready
	// Requested: from now on a client wants a message delivered (N, Class, Tenant, Dest).
	Requested
	// Executed: a message took effect, or was dropped as a repeat (Call, Message, Class, Endpoint; Cause "dropped" or
	// "late").
	Executed
	// Abandoned: a client has no response to a submission, and waits for it no more (Message, Cause).
	Abandoned
	// Unreachable: the platform cannot hear a sender, and gets no delivery reports of it.
	Unreachable
	// ReachableAgain: it can again.
	ReachableAgain
)

// Outcome is how a call, or one of its messages, ended at the endpoint.
type Outcome uint8

// The outcomes. The numbers stand in ledgers: they do not change.
const (
	Delivered   Outcome = iota
	Failed              // it may have run
	NeverRan            // for certain: rejected, not connected, not sent
	NothingOwed         // the endpoint says that nothing more is owed
)

// Event is one line of a ledger. Lines are in the order of their times, which are counted from the start of the run.
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
	Leaves        bool               `json:"leaves,omitempty"` // it drains or is removed
	CallsBySender map[int]int        `json:"pushes,omitempty"`

	// For the service meter and the report.
	Request     int           `json:"n,omitempty"` // number of the client's message, over all its submissions
	Tenant      int           `json:"tenant,omitempty"`
	FirstByteAt time.Duration `json:"first,omitempty"`
	Cause       string        `json:"cause,omitempty"`
}

// Wiped is the Cause of a Died whose folder is lost with the process. Outcomes of what it had are owed no more.
const Wiped = "wiped"
