package rollout

import (
	"fmt"
	"math"
)

// Sums are the counters of several senders over a time.
type Sums struct {
	Rejected int64   `json:"refused"`
	Accepted int64   `json:"taken"`
	Failed   int64   `json:"failed"`
	Outcomes int64   `json:"ends"`
	Called   int64   `json:"called"`
	Late     int64   `json:"late"`
	Senders  int     `json:"senders"`
	MemoryMB float64 `json:"memory_mb"` // the highest of one sender
}

// add adds what a sender has done since an earlier observation. A new process has started to count at zero.
func (x *Sums) add(current, earlier Observation) {
	counts, base := current.Facts, earlier.Facts
	if current.Process != earlier.Process {
		base = Counters{Restarts: base.Restarts}
	}
	x.Accepted += counts.Accepted - base.Accepted
	x.Rejected += counts.Rejected - base.Rejected
	x.Failed += counts.Failed - base.Failed
	x.Outcomes += counts.Failed + counts.Delivered + counts.Deferred - base.Failed - base.Delivered - base.Deferred
	x.Called += counts.Called - base.Called
	x.Late += counts.Late - base.Late
	x.MemoryMB = max(x.MemoryMB, counts.MemoryMB)
	x.Senders++
}

// regression returns in what the changed senders are regression than the others, or nothing.
func regression(changed, others Sums, g Gate) string {
	if why := shareRegression("messages refused", changed.Rejected, changed.Accepted+changed.Rejected, others.Rejected,
		others.Accepted+others.Rejected, g); why != "" {
		return why
	}
	if why := shareRegression("ends that are failures", changed.Failed, changed.Outcomes, others.Failed, others.Outcomes,
		g); why != "" {
		return why
	}
	if others.MemoryMB > 0 && changed.MemoryMB > memoryFactor*others.MemoryMB &&
		changed.MemoryMB > others.MemoryMB+memoryMarginMB {
		return fmt.Sprintf("memory: %.0f MB, %.0f beside them", changed.MemoryMB, others.MemoryMB)
	}
	return ""
}

// lateRegression returns that more first attempts of the changed senders are late than of the others, or nothing.
func lateRegression(changed, others Sums, g Gate) string {
	return shareRegression("time to the first call too long", changed.Late, changed.Called, others.Late, others.Called, g)
}

// shareRegression returns that n of total is a greater share than n0 of total0, by more than the slack of the gate and
// chance, or nothing.
func shareRegression(measure string, n, total, otherN, otherTotal int64, g Gate) string {
	if minimum := int64(g.MinMessages); total < minimum || otherTotal < minimum || total == 0 || otherTotal == 0 {
		return ""
	}
	share, otherShare := float64(n)/float64(total), float64(otherN)/float64(otherTotal)
	pool := float64(n+otherN) / float64(total+otherTotal)
	stdError := math.Sqrt(pool * (1 - pool) * (1/float64(total) + 1/float64(otherTotal)))
	if share-otherShare <= g.Slack+maxStandardErrors*stdError {
		return ""
	}
	return fmt.Sprintf("%s: %.1f%% of %d, %.1f%% of %d beside them", measure, 100*share, total, 100*otherShare, otherTotal)
}

// Parameters of the comparison. A share is worse if it is higher than the other by the slack of the plan's gate and
// by more standard errors than chance explains; memory, if it is higher by the factor and by the margin. Times are
// compared by the share that is late, as one message that waits for seconds would move the mean of a few.
const (
	maxStandardErrors = 3.0 // which chance exceeds in less than one of some hundred comparisons
	memoryFactor      = 1.5
	memoryMarginMB    = 24.0 // MB
)
