package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cleathold/internal/scenario"
)

// The clients and the load balancer in front of the senders, on sockets and in virtual time alike.
const (
	// DeadSenderTimeout is how long the load balancer goes on sending to a sender that has died.
	DeadSenderTimeout = 2 * time.Second

	maxUnansweredSubmissions = 8 // submissions of one message without a response
)

// ClientRequest is a message that a client wants delivered, with its submissions: clients resubmit as BRIEF 6 says.
// It does no I/O and is not safe for concurrent use. Times are counted from the start of the run.
type ClientRequest struct {
	scenario.Arrival
	Done        bool // delivered
	submissions int  // so far
	rejections  int  // at most as many as the scenario has retries, and one
	unanswered  int  // submissions without a response
}

// TimeLeft returns the time for which the message may still be delivered; 0 where it is delivered or its time is over.
func (m *ClientRequest) TimeLeft(s *scenario.Scenario, now time.Duration) time.Duration {
	if m.Done {
		return 0
	}
	return max(0, m.At+s.Traffic.Classes[m.Class].Deadline-now)
}

// NextSubmission returns the id of the next submission, and whether there was one before it.
func (m *ClientRequest) NextSubmission() (id string, resubmitted bool) {
	id, resubmitted = fmt.Sprintf("m%d-%d", m.N, m.submissions), m.submissions > 0
	m.submissions++
	return id, resubmitted
}

// Key returns the message's idempotency key; empty where its class has none.
func (m *ClientRequest) Key(s *scenario.Scenario) string {
	if s.Traffic.Classes[m.Class].Effect == "keyed" {
		return fmt.Sprint("k", m.N)
	}
	return ""
}

// Rejected notes that a submission was rejected. It returns whether the client submits again, and after how long:
// retryAfter at the least.
func (m *ClientRequest) Rejected(s *scenario.Scenario, rng *rand.Rand, retryAfter time.Duration) (time.Duration, bool) {
	if m.rejections++; m.Done || m.rejections > s.Traffic.Retries {
		return 0, false
	}
	return max(retryAfter, drawSeconds(s.Traffic.RetryDelay, rng)), true
}

// Unanswered notes that a submission got no response. It returns whether the client submits again, and after how long.
func (m *ClientRequest) Unanswered(s *scenario.Scenario, rng *rand.Rand) (time.Duration, bool) {
	if m.unanswered++; m.unanswered >= maxUnansweredSubmissions {
		return 0, false
	}
	return drawSeconds(s.Traffic.ResubmitDelay, rng), true
}

// drawSeconds draws a time from a range of seconds.
func drawSeconds(r scenario.Range, rng *rand.Rand) time.Duration {
	return time.Duration((r.From + (r.To-r.From)*rng.Float64()) * float64(time.Second))
}
