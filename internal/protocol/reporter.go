package protocol

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

const (
	reportPath        = "/status"
	reportTimeout     = 500 * time.Millisecond // an answer to notices may take so long, connecting included...
	reusedConnTimeout = 130 * time.Millisecond // ...and on a connection from before so long: it may have fallen silent, and
	// a notice is due 300 ms after its message's time
	maxReportBatch   = 256                   // notices in one call
	minReportBackoff = 10 * time.Millisecond // after a failure, doubled up to...
	maxReportBackoff = 40 * time.Millisecond // ...this: a notice is late 300 ms after its time
)

// Reporter tells the platform of the ends of messages, in order, each until it
// is acknowledged. The table of messages bounds how many wait.
type Reporter struct {
	events EventPoster
	log    *slog.Logger
	wake   chan struct{}

	mu    sync.Mutex
	addr  string
	queue []state.DeliveryReport
}

// NewReporter returns the platform's notifier.
func NewReporter(post EventPoster, addr string, log *slog.Logger) *Reporter {
	return &Reporter{events: post, addr: addr, log: log, wake: make(chan struct{}, 1)}
}

// Report queues a notice.
func (n *Reporter) Report(notice state.DeliveryReport) {
	n.mu.Lock()
	n.queue = append(n.queue, notice)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// SetAddress sends notices to another address from now on.
func (n *Reporter) SetAddress(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addr = addr
}

// nextBatch returns the notices that go next, and where to.
func (n *Reporter) nextBatch() ([]state.DeliveryReport, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue[:min(len(n.queue), maxReportBatch)], n.addr
}

// acknowledge takes the first notices off the queue and has them forgotten.
func (n *Reporter) acknowledge(count int) {
	n.mu.Lock()
	nums := make([]control.MessageID, count)
	for i := range nums {
		nums[i] = n.queue[i].Num
	}
	n.queue = n.queue[count:]
	n.mu.Unlock()
	n.events.Post(state.ReportsAcknowledged{Nums: nums})
}

// Run delivers notices until the context ends.
func (n *Reporter) Run(ctx context.Context) {
	link := &httpClient{}
	defer link.close()
	wait, most := minReportBackoff, maxReportBatch
	for ctx.Err() == nil {
		batch, addr := n.nextBatch()
		link.setAddress(addr)
		batch = batch[:min(len(batch), most)]
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		kept := link.conn != nil
		said, err := link.do(ctx, http.MethodPost, reportPath, encodeReports(batch), time.Now().Add(link.reportTimeout()))
		switch {
		case err == nil && said.status == http.StatusNoContent:
			n.acknowledge(len(batch))
			wait, most = minReportBackoff, maxReportBatch
			continue
		case err == nil && said.status == http.StatusBadRequest && len(batch) == 1:
			// One that can't be read never will be, and would hold up all the others.
			n.log.Error("notice not readable to the platform, dropped", "id", batch[0].ID)
			n.acknowledge(1)
			continue
		case err == nil && said.status == http.StatusBadRequest:
			most = 1 // find out which one it is
			continue
		}
		n.log.Warn("notices not delivered", "count", len(batch), "status", said.status, "err", err)
		if kept && err != nil {
			continue // at once, on a new connection
		}
		sleepUntil(ctx, time.Now().Add(wait))
		wait = min(2*wait, maxReportBackoff)
	}
}

// reportTimeout is how long the platform's answer is waited for. It answers at once.
func (d *httpClient) reportTimeout() time.Duration {
	if d.conn != nil {
		return reusedConnTimeout
	}
	return reportTimeout
}

// encodeReports writes one JSON object a line.
func encodeReports(batch []state.DeliveryReport) []byte {
	var out []byte
	for _, n := range batch {
		line := struct {
			ID     string `json:"id"`
			Status string `json:"status"`
			Again  *int64 `json:"again_ms,omitempty"`
		}{ID: n.ID, Status: "undeliverable"}
		if n.Deferred {
			line.Status = "deferred"
			if ms := n.RetryAfter.Milliseconds(); ms > 0 {
				line.Again = &ms
			}
		}
		text, _ := json.Marshal(line) // strings and a number always have a form
		out = append(append(out, text...), '\n')
	}
	return out
}
