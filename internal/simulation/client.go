package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cleathold/internal/scenario"
)

// What both fronts take for the clients and the front layer before the senders.
const (
	DeadSenderTimeout  = 2 * time.Second // the front goes on sending to a dead sender for so long
	maxLostSubmissions = 8               // hand-ins of one message that reach nobody, at most
)

// ClientRequest is a client's message with its hand-ins, as BRIEF 6 has clients come again.
// It does no I/O and is not safe for concurrent use.
type ClientRequest struct {
	scenario.Arrival
	Done        bool // delivered
	submissions int  // hand-ins
	rejections  int  // refused, at most as often as clients come again
	lost        int  // those that reached nobody
}

// TimeLeft is the time for which the message may still be delivered; none where it is over.
func (m *ClientRequest) TimeLeft(s *scenario.Scenario, now time.Duration) time.Duration {
	if m.Done {
		return 0
	}
	return max(0, m.At+s.Traffic.Classes[m.Class].Deadline-now)
}

// NextSubmission is the id of the next hand-in, and whether one was before it.
func (m *ClientRequest) NextSubmission() (id string, resubmitted bool) {
	id, resubmitted = fmt.Sprintf("m%d-%d", m.N, m.submissions), m.submissions > 0
	m.submissions++
	return id, resubmitted
}

// Key is the message's key, where its class has one.
func (m *ClientRequest) Key(s *scenario.Scenario) string {
	if s.Traffic.Classes[m.Class].Effect == "keyed" {
		return fmt.Sprint("k", m.N)
	}
	return ""
}

// Rejected tells whether its client comes again after a refusal, and after how long.
func (m *ClientRequest) Rejected(s *scenario.Scenario, rng *rand.Rand, retryAfter time.Duration) (time.Duration, bool) {
	if m.rejections++; m.Done || m.rejections > s.Traffic.Retries {
		return 0, false
	}
	return max(retryAfter, drawSeconds(s.Traffic.RetryDelay, rng)), true
}

// Unanswered tells the same of a hand-in that reached nobody, or got no answer.
func (m *ClientRequest) Unanswered(s *scenario.Scenario, rng *rand.Rand) (time.Duration, bool) {
	if m.lost++; m.lost >= maxLostSubmissions {
		return 0, false
	}
	return drawSeconds(s.Traffic.ResubmitDelay, rng), true
}

// drawSeconds draws from a range.
func drawSeconds(r scenario.Range, rng *rand.Rand) time.Duration {
	return time.Duration((r.From + (r.To-r.From)*rng.Float64()) * float64(time.Second))
}
