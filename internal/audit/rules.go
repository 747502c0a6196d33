package audit

import "time"

// Rule is a rule that senders have to keep, as reports state it.
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

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule            `json:"rule"`
	At      time.Duration   `json:"at"`
	Sender  int             `json:"sender"`
	Message string          `json:"message,omitempty"`
	Calls   []uint64        `json:"calls,omitempty"`
	Times   []time.Duration `json:"times,omitempty"` // of the events that it follows from, in order
	Text    string          `json:"text"`
}

// Idempotency is what repeating a message may do at its destination.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NotIdempotent
)

// Class is what the rules need to know of a class of messages.
type Class struct {
	Idempotency   Idempotency
	KeyRetention  time.Duration // IdempotentByKey: how long keys are kept
	KeyZoneScoped bool          // IdempotentByKey: repeats are dropped within one zone only
}

// resubmittable reports whether a message that may have run may be submitted again, which may send it anywhere.
func (c Class) resubmittable() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && !c.KeyZoneScoped
}

// Rules are the parameters of the rules.
type Rules struct {
	Classes         []Class
	SeparateRoutes  map[int]bool  // destinations whose endpoints have separate routes
	ResponseGrace   time.Duration // a message may end this long after its deadline
	ReadySlack      time.Duration // nothing is due between a sender's end and this long after it is ready again
	DrainGrace      time.Duration // calls get through this long after a sender is notified of a drain
	RetryAfterSlack time.Duration // calls get through this soon after the answer that told the wait
	OverloadShare   float64       // part of the calls that makes an overload the fault of those that saw the outage
}

// SocketRules returns the parameters that PROTOCOL has for real senders, of which only the grace of a drain differs
// between deployments.
func SocketRules(classes []Class, drainGrace time.Duration) Rules {
	return Rules{
		Classes: classes, SeparateRoutes: map[int]bool{}, ResponseGrace: 300 * time.Millisecond,
		ReadySlack: 1500 * time.Millisecond, DrainGrace: drainGrace + 50*time.Millisecond,
		RetryAfterSlack: 100 * time.Millisecond, OverloadShare: 2.0 / 3,
	}
}
