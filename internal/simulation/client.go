package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cleathold/internal/scenario"
)

// Constants of the clients and of the load balancer in front of the senders, both on sockets and in virtual time.
const (
	// DeadSenderTimeout is how long the load balancer still routes clients to a sender whose process has ended.
	DeadSenderTimeout = 2 * time.Second

	maxUnansweredSubmissions = 8 // submissions of one message without a response
)

// ClientRequest is a message that a client wants delivered, with the state of its submissions. Clients resubmit by the
// rules of BRIEF 6. It does no I/O and is not safe for concurrent use. Times are counted from the start of the run.
type ClientRequest struct {
	scenario.Arrival
	Done        bool // delivered
	submissions int  // so far
	rejections  int  // at most the scenario's number of retries plus one
	unanswered  int  // submissions without a response
}

// TimeLeft returns the time until the message's deadline; 0 if it is delivered or its deadline has passed.
func (m *ClientRequest) TimeLeft(s *scenario.Scenario, now time.Duration) time.Duration {
	if m.Done {
		return 0
	}
	return max(0, m.At+s.Traffic.Classes[m.Class].Deadline-now)
}

// NextSubmission returns the id of the next submission, and whether the message was submitted before.
func (m *ClientRequest) NextSubmission() (id string, resubmitted bool) {
	id, resubmitted = fmt.Sprintf("m%d-%d", m.N, m.submissions), m.submissions > 0
	m.submissions++
	return id, resubmitted
}

// Key returns the message's idempotency key; empty if its class is not keyed.
func (m *ClientRequest) Key(s *scenario.Scenario) string {
	if s.Traffic.Classes[m.Class].Effect == "keyed" {
		return fmt.Sprint("k", m.N)
	}
	return ""
}

// Rejected records that a submission was rejected. It returns whether the client submits again, and the delay until
// then, which is at least retryAfter.
func (m *ClientRequest) Rejected(s *scenario.Scenario, rng *rand.Rand, retryAfter time.Duration) (time.Duration, bool) {
	if m.rejections++; m.Done || m.rejections > s.Traffic.Retries {
		return 0, false
	}
	return max(retryAfter, drawSeconds(s.Traffic.RetryDelay, rng)), true
}

// Unanswered records that a submission got no response. It returns whether the client submits again, and the delay
// until then.
func (m *ClientRequest) Unanswered(s *scenario.Scenario, rng *rand.Rand) (time.Duration, bool) {
	if m.unanswered++; m.unanswered >= maxUnansweredSubmissions {
		return 0, false
	}
	return drawSeconds(s.Traffic.ResubmitDelay, rng), true
}

// drawSeconds draws a duration from a range of seconds.
func drawSeconds(r scenario.Range, rng *rand.Rand) time.Duration {
	return time.Duration((r.From + (r.To-r.From)*rng.Float64()) * float64(time.Second))
}
