package rollout

import (
	"fmt"
	"math"
)

// Sums are the counts of several senders over a period of time.
type Sums struct {
	Rejected int64   `json:"refused"`
	Accepted int64   `json:"taken"`
	Failed   int64   `json:"failed"`
	Outcomes int64   `json:"ends"`
	Called   int64   `json:"called"`
	Late     int64   `json:"late"`
	Senders  int     `json:"senders"`
	MemoryMB float64 `json:"memory_mb"` // the highest value of any of the senders
}

// add adds the difference between two observations of a sender. If they are of different processes the counts of the
// current one are added in full, since a process starts to count at zero.
func (x *Sums) add(current, earlier Observation) {
	counts, base := current.Counters, earlier.Counters
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

// regression returns a description of the measure in which the changed senders are worse than the others, or "".
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

// lateRegression returns a description if the changed senders have a greater share of late first attempts than the
// others, or "".
func lateRegression(changed, others Sums, g Gate) string {
	return shareRegression("time to the first call too long", changed.Late, changed.Called, others.Late, others.Called, g)
}

// shareRegression returns a description if n of total is a greater share than otherN of otherTotal, by more than the
// gate's slack and chance explain, or "".
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

// Parameters of the comparison. A share is worse if it exceeds the other by more than the slack of the plan's gate plus
// maxStandardErrors. Memory use is worse if it exceeds the other both by the factor and by the margin. Times are
// compared by the share of late messages, because a single message that waits for seconds would distort the mean of a
// few.
const (
	maxStandardErrors = 3.0 // chance exceeds this in fewer than one of several hundred comparisons
	memoryFactor      = 1.5
	memoryMarginMB    = 24.0 // MB
)
