package audit

import "time"

// Rule is a rule that senders must keep, in the wording of reports.
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
	Times   []time.Duration `json:"times,omitempty"` // of the events that caused it, in order
	Text    string          `json:"text"`
}

// Idempotency describes the effect of repeating a message at its destination.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NotIdempotent
)

// Class holds the properties of a message class that the rules depend on.
type Class struct {
	Idempotency   Idempotency
	KeyRetention  time.Duration // IdempotentByKey: how long partners remember keys
	KeyZoneScoped bool          // IdempotentByKey: repeats are dropped within one zone only
}

// resubmittable reports whether a message that may have run may be submitted again. A resubmission may go to any
// endpoint and zone.
func (c Class) resubmittable() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && !c.KeyZoneScoped
}

// Rules holds the parameters of the rules.
type Rules struct {
	Classes         []Class
	SeparateRoutes  map[int]bool  // destinations whose endpoints have separate routes
	ResponseGrace   time.Duration // how long after its deadline a message may end
	ReadySlack      time.Duration // no outcome is due from the end of a process until this long after it is ready again
	DrainGrace      time.Duration // how long after a sender is notified of a drain calls are still allowed
	RetryAfterSlack time.Duration // how long after a response with Retry-After calls are still allowed
	OverloadShare   float64       // minimum fraction of calls by senders that saw the outage for a violation
}

// SocketRules returns the parameters that PROTOCOL specifies for real senders. Only the drain grace period differs
// between deployments.
func SocketRules(classes []Class, drainGrace time.Duration) Rules {
	return Rules{
		Classes: classes, SeparateRoutes: map[int]bool{}, ResponseGrace: 300 * time.Millisecond,
		ReadySlack: 1500 * time.Millisecond, DrainGrace: drainGrace + 50*time.Millisecond,
		RetryAfterSlack: 100 * time.Millisecond, OverloadShare: 2.0 / 3,
	}
}
