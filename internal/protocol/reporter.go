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

// A delivery report is due 300 ms after its message's time, which bounds the timeouts and the backoff.
const (
	reportPath        = "/status"
	reportTimeout     = 500 * time.Millisecond // of a call with reports, connecting included...
	reusedConnTimeout = 130 * time.Millisecond // ...and on a connection that has served, which may be dead
	maxReportBatch    = 256                    // reports in one call
	minReportBackoff  = 10 * time.Millisecond  // after a failure, doubled up to maxReportBackoff
	maxReportBackoff  = 40 * time.Millisecond
)

// Reporter tells the platform of the outcomes of messages, in order, each until it is acknowledged. The loop's table of
// messages bounds how many wait.
type Reporter struct {
	events EventPoster
	log    *slog.Logger
	wake   chan struct{}

	mu    sync.Mutex
	addr  string
	queue []state.DeliveryReport
}

// NewReporter returns a reporter to the platform's address. It sends nothing before Run.
func NewReporter(events EventPoster, addr string, log *slog.Logger) *Reporter {
	return &Reporter{events: events, addr: addr, log: log, wake: make(chan struct{}, 1)}
}

// Report queues a delivery report. state.ReportsAcknowledged is posted once the platform has it.
func (r *Reporter) Report(report state.DeliveryReport) {
	r.mu.Lock()
	r.queue = append(r.queue, report)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// SetAddress sends reports to another address from now on.
func (r *Reporter) SetAddress(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addr = addr
}

// nextBatch returns the reports that go next, and where to.
func (r *Reporter) nextBatch() ([]state.DeliveryReport, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue[:min(len(r.queue), maxReportBatch)], r.addr
}

// acknowledge takes the first reports off the queue and tells the loop.
func (r *Reporter) acknowledge(count int) {
	r.mu.Lock()
	numbers := make([]control.MessageID, count)
	for i := range numbers {
		numbers[i] = r.queue[i].Number
	}
	r.queue = r.queue[count:]
	r.mu.Unlock()
	r.events.Post(state.ReportsAcknowledged{Numbers: numbers})
}

// Run delivers reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	client := &httpClient{}
	defer client.close()
	backoff, limit := minReportBackoff, maxReportBatch
	for ctx.Err() == nil {
		batch, addr := r.nextBatch()
		client.setAddress(addr)
		batch = batch[:min(len(batch), limit)]
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-r.wake:
			}
			continue
		}
		reused := client.conn != nil
		e, err := client.do(ctx, http.MethodPost, reportPath, encodeReports(batch), time.Now().Add(client.reportTimeout()))
		switch {
		case err == nil && e.status == http.StatusNoContent:
			r.acknowledge(len(batch))
			backoff, limit = minReportBackoff, maxReportBatch
			continue
		case err == nil && e.status == http.StatusBadRequest && len(batch) == 1:
			// A report that the platform can't read it never will read, and all others would wait behind it.
			r.log.Error("delivery report unreadable to the platform, dropped", "message", batch[0].ID)
			r.acknowledge(1)
			continue
		case err == nil && e.status == http.StatusBadRequest:
			limit = 1 // find out which one it is
			continue
		}
		r.log.Warn("delivery reports not acknowledged", "count", len(batch), "status", e.status, "err", err)
		if reused && err != nil {
			continue // at once, on a new connection
		}
		sleepUntil(ctx, time.Now().Add(backoff))
		backoff = min(2*backoff, maxReportBackoff)
	}
}

// reportTimeout is how long the platform's response is awaited.
func (h *httpClient) reportTimeout() time.Duration {
	if h.conn != nil {
		return reusedConnTimeout
	}
	return reportTimeout
}

// encodeReports writes one JSON object a line.
func encodeReports(batch []state.DeliveryReport) []byte {
	var out []byte
	for _, report := range batch {
		record := struct {
			ID         string `json:"id"`
			Status     string `json:"status"`
			RetryAfter *int64 `json:"again_ms,omitempty"`
		}{ID: report.ID, Status: "undeliverable"}
		if report.Deferred {
			record.Status = "deferred"
			if ms := report.RetryAfter.Milliseconds(); ms > 0 {
				record.RetryAfter = &ms
			}
		}
		encoded, _ := json.Marshal(record) // strings and a number can always be encoded
		out = append(append(out, encoded...), '\n')
	}
	return out
}
