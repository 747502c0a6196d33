package lifecycle

import (
	"context"
	"runtime"
	"time"

	"cleathold/internal/connbudget"
)

const (
	// resourceInterval is the time between two looks at the memory and at the refused requests.
	resourceInterval = time.Second
	// memoryWarnFraction is the fraction of the memory limit above which the use is logged, every memoryWarnInterval.
	memoryWarnFraction = 0.8
	memoryWarnInterval = 5 * time.Second
)

// A resourceWatch logs what the process refuses for lack of memory and connections, and when its memory comes near the
// limit. A process that is killed for its memory can't log anything at its end.
type resourceWatch struct {
	*server
	before       connbudget.Use
	abandoned    int64
	memoryWarned time.Time
}

// watchResources runs a resourceWatch until the context is done.
func (s *server) watchResources(ctx context.Context) {
	w := &resourceWatch{server: s, before: s.clientBudget.Use(), abandoned: s.clients.Abandoned()}
	ticker := time.NewTicker(resourceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.logRefusals()
			w.logMemory(now, residentMB())
		}
	}
}

// logRefusals logs how many requests were refused since the last call.
func (w *resourceWatch) logRefusals() {
	use, abandoned := w.clientBudget.Use(), w.clients.Abandoned()
	memory, connections := use.ShortMemory-w.before.ShortMemory, use.ShortConnections-w.before.ShortConnections
	if memory+connections+abandoned-w.abandoned > 0 {
		w.log.Warn("requests of clients refused", "short_memory", memory, "short_connections", connections,
			"closed_by_client", abandoned-w.abandoned, "incomplete", use.Incomplete, "buffer_bytes", use.BufferBytes)
	}
	w.before, w.abandoned = use, abandoned
}

// logMemory logs the use of memory if it is near the limit.
func (w *resourceWatch) logMemory(now time.Time, residentMB float64) {
	limit := memoryLimitMB()
	if residentMB < memoryWarnFraction*limit || now.Sub(w.memoryWarned) < memoryWarnInterval {
		return
	}
	w.memoryWarned = now
	use := w.clientBudget.Use()
	w.log.Warn("memory use near the limit", "resident_mb", int(residentMB), "limit_mb", int(limit),
		"goroutines", runtime.NumGoroutine(), "incomplete", use.Incomplete, "buffer_bytes", use.BufferBytes)
}
