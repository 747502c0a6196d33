// Package audit judges the rules of the project from a ledger of what was seen
// outside the senders: hand-ins, answers, calls, notices, the list as it was told,
// and the partners' outages. It takes nobody's word for anything, and it keeps
// only what a later event may still need.
package audit

import "time"

// EventKind an event tells.
type EventKind uint8

// The events. In brackets the fields that they use besides At and Sender.
const (
	Submitted      EventKind = iota // a message has come in whole (Message, Class, Dest, Left, Key)
	Accepted                        // its client has heard that it is taken on (Message)
	Rejected                        // its client has a fixed response: nothing is owed (Message)
	Sent                            // a call has come whole (Call, Endpoint, Zone, Dest, Messages; First, where its first byte came before)
	Ended                           // a call has ended (Call, Outcome, Wait, Cause; Ends, where its messages fared apart)
	Notice                          // the platform has a notice (Message, Deferred)
	Notified                        // discovery has told a sender, or counts as having told (Endpoint, Dest, Leaves)
	OutageBegan                     // an outage of a route began (Dest, Endpoint where routes are apart)
	OutageEnded                     // it ended: the route is cold (Dest, Endpoint)
	FailureSeen                     // a sender was told of a call or probe there that failed or was refused (Dest, Endpoint)
	Overloaded                      // a cold route was pushed over (Dest, Endpoint, Pushes)
	Died                            // a sender's process ended, or was told to, or was stopped (Cause)
	Ready                           // it is ready again
	Requested                       // a client wants a message delivered, from now on (N, Class, Tenant, Dest)
	Executed                        // a message took effect, or was dropped as a repeat (Call, Message, Class, Endpoint; Cause "dropped" or "late")
	Abandoned                       // a client has no answer to a hand-in, and counts on nothing from it (Message, Cause)
	Unreachable                     // the platform can't hear a sender: no notice arrives from now on
	ReachableAgain                  // it can again
)

// Outcome says how a call or one of its messages ended, as its target did.
type Outcome uint8

// The outcomes.
const (
	Delivered Outcome = iota
	Failed            // it may have run
	NeverRan          // proved: refused, not connected, not sent
	Over              // the target's side says that nothing more is owed
)

// Event is one line of a ledger. Lines are in the order of their times.
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
	Leaves        bool               `json:"leaves,omitempty"` // it drains or is gone
	CallsBySender map[int]int        `json:"pushes,omitempty"`

	// For those that count service, and draw it.
	N      int           `json:"n,omitempty"` // the client's message, over all its hand-ins
	Tenant int           `json:"tenant,omitempty"`
	First  time.Duration `json:"first,omitempty"`
	Cause  string        `json:"cause,omitempty"`
}

// Wiped is the cause of a Died whose folder is lost with the process: nothing is owed any more of what it held.
const Wiped = "wiped"

// Rule is one of the rules.
type Rule string

// The rules.
const (
	RuleOutcome     Rule = "every message taken on ends once, in time"
	RuleRepeat      Rule = "a message that may have run is repeated only as its class allows"
	RuleDrain       Rule = "nothing new to an endpoint that drains or is gone"
	RuleOverload    Rule = "no returning partner is pushed over by those that saw it fail"
	RuleRetryAfter  Rule = "nothing to a partner before the end of a wait that it told"
	RuleDestination Rule = "a message goes to an endpoint of its destination"
)

// Violation is one break of a rule.
type Violation struct {
	Rule    Rule            `json:"rule"`
	At      time.Duration   `json:"at"`
	Sender  int             `json:"sender"`
	Message string          `json:"message,omitempty"`
	Calls   []uint64        `json:"calls,omitempty"`
	Times   []time.Duration `json:"times,omitempty"` // what it follows from, in order
	Text    string          `json:"text"`
}

// Idempotency is what a class allows.
type Idempotency uint8

// The effects.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NotIdempotent
)

// Class is what the rules need of a class.
type Class struct {
	Idempotency   Idempotency
	KeyRetention  time.Duration // keyed
	KeyZoneScoped bool          // keyed: repeats are dropped within one zone only
}

// Rules are the figures of the rules. Those of PROTOCOL are defaults of Sockets.
type Rules struct {
	Classes         []Class
	SeparateRoutes  map[int]bool  // destinations whose endpoints are routes apart
	ResponseGrace   time.Duration // a message may end so long after its time
	ReadySlack      time.Duration // none is overdue from a sender's end until so long after it is ready again
	DrainGrace      time.Duration
	RetryAfterSlack time.Duration // calls so soon after the answer that told a wait get through
	OverloadShare   float64       // of the pushes, by senders that saw the outage
}

// SocketRules are the figures for real senders, where only the drain's grace differs
// by deployment.
func SocketRules(classes []Class, drainGrace time.Duration) Rules {
	return Rules{
		Classes: classes, SeparateRoutes: map[int]bool{}, ResponseGrace: 300 * time.Millisecond, ReadySlack: 1500 * time.Millisecond,
		DrainGrace: drainGrace + 50*time.Millisecond, RetryAfterSlack: 100 * time.Millisecond, OverloadShare: 2.0 / 3,
	}
}
