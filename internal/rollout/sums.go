package rollout

import (
	"fmt"
	"math"
)

// Sums are the counters of several senders over a time.
type Sums struct {
	Refused  int64   `json:"refused"`
	Taken    int64   `json:"taken"`
	Failed   int64   `json:"failed"`
	Ends     int64   `json:"ends"`
	Called   int64   `json:"called"`
	Late     int64   `json:"late"`
	Senders  int     `json:"senders"`
	MemoryMB float64 `json:"memory_mb"` // the highest of one sender
}

// add adds what a sender has done since an earlier observation. A new process has started to count at zero.
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

// worse returns in what the changed senders are worse than the others, or nothing.
func worse(changed, others Sums, g Gate) string {
	if why := worseShare("messages refused", changed.Refused, changed.Taken+changed.Refused, others.Refused,
		others.Taken+others.Refused, g); why != "" {
		return why
	}
	if why := worseShare("ends that are failures", changed.Failed, changed.Ends, others.Failed, others.Ends,
		g); why != "" {
		return why
	}
	if others.MemoryMB > 0 && changed.MemoryMB > memoryFactor*others.MemoryMB &&
		changed.MemoryMB > others.MemoryMB+memoryMarginMB {
		return fmt.Sprintf("memory: %.0f MB, %.0f beside them", changed.MemoryMB, others.MemoryMB)
	}
	return ""
}

// worseLate returns that more first attempts of the changed senders are late than of the others, or nothing.
func worseLate(changed, others Sums, g Gate) string {
	return worseShare("time to the first call too long", changed.Late, changed.Called, others.Late, others.Called, g)
}

// worseShare returns that n of total is a greater share than n0 of total0, by more than the slack of the gate and
// chance, or nothing.
func worseShare(what string, n, total, n0, total0 int64, g Gate) string {
	if least := int64(g.MinMessages); total < least || total0 < least || total == 0 || total0 == 0 {
		return ""
	}
	a, b := float64(n)/float64(total), float64(n0)/float64(total0)
	pool := float64(n+n0) / float64(total+total0)
	err := math.Sqrt(pool * (1 - pool) * (1/float64(total) + 1/float64(total0)))
	if a-b <= g.Slack+maxStandardErrors*err {
		return ""
	}
	return fmt.Sprintf("%s: %.1f%% of %d, %.1f%% of %d beside them", what, 100*a, total, 100*b, total0)
}

// Parameters of the comparison. A share is worse if it is higher than the other by the slack of the plan's gate and
// by more standard errors than chance explains; memory, if it is higher by the factor and by the margin. Times are
// compared by the share that is late, as one message that waits for seconds would move the mean of a few.
const (
	maxStandardErrors = 3.0 // which chance exceeds in less than one of some hundred comparisons
	memoryFactor      = 1.5
	memoryMarginMB    = 24.0 // MB
)
