package rollout

import (
	"fmt"
	"math"
)

// Sums are facts over many senders.
type Sums struct {
	Refused  int64   `json:"refused"`
	Taken    int64   `json:"taken"`
	Failed   int64   `json:"failed"`
	Ends     int64   `json:"ends"`
	Called   int64   `json:"called"`
	Late     int64   `json:"late"`
	Senders  int     `json:"senders"`
	MemoryMB float64 `json:"memory_mb"` // the most of one
}

// add adds what a sender did since a sight of before. A process that is new since then began at nothing.
func (x *Sums) add(now, then Observation) {
	f, b := now.Facts, then.Facts
	if now.Process != then.Process {
		b = Counters{Restarts: b.Restarts}
	}
	x.Taken += f.Accepted - b.Accepted
	x.Refused += f.Rejected - b.Rejected
	x.Failed += f.Failed - b.Failed
	x.Ends += f.Failed + f.Delivered + f.Deferred - b.Failed - b.Delivered - b.Deferred
	x.Called += f.Called - b.Called
	x.Late += f.Late - b.Late
	x.MemoryMB = max(x.MemoryMB, f.MemoryMB)
	x.Senders++
}

// worse tells in what the new are worse than the old; empty: in nothing that is known.
func worse(changed, others Sums, g Gate) string {
	if why := worseShare("messages refused", changed.Refused, changed.Taken+changed.Refused, others.Refused, others.Taken+others.Refused, g); why != "" {
		return why
	}
	if why := worseShare("ends that are failures", changed.Failed, changed.Ends, others.Failed, others.Ends, g); why != "" {
		return why
	}
	if others.MemoryMB > 0 && changed.MemoryMB > memoryFactor*others.MemoryMB && changed.MemoryMB > others.MemoryMB+memoryMarginMB {
		return fmt.Sprintf("memory: %.0f MB, %.0f beside them", changed.MemoryMB, others.MemoryMB)
	}
	return ""
}

// worseLate tells that the new make more first calls late than the old.
func worseLate(changed, others Sums, g Gate) string {
	return worseShare("time to the first call too long", changed.Late, changed.Called, others.Late, others.Called, g)
}

// worseShare tells that n of so many are a greater part than n0 of so many beside them; empty: it isn't, or isn't known.
func worseShare(what string, n, of, n0, of0 int64, g Gate) string {
	if least := int64(g.MinMessages); of < least || of0 < least || of == 0 || of0 == 0 {
		return ""
	}
	a, b := float64(n)/float64(of), float64(n0)/float64(of0)
	pool := float64(n+n0) / float64(of+of0)
	err := math.Sqrt(pool * (1 - pool) * (1/float64(of) + 1/float64(of0)))
	if a-b <= g.Slack+maxStandardErrors*err {
		return ""
	}
	return fmt.Sprintf("%s: %.1f%% of %d, %.1f%% of %d beside them", what, 100*a, of, 100*b, of0)
}

// Figures of the comparison. A share is worse if it lies above the other by the plan's slack and by what chance
// explains but once in some hundreds; memory if it lies above it by the factor and the floor. Of times only the part that is
// late is compared: a mean of few is moved by one message that waits for seconds.
const (
	maxStandardErrors = 3.0 // standard errors
	memoryFactor      = 1.5
	memoryMarginMB    = 24.0 // MB
)
