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

// A delivery report is due 300 ms after the deadline of its message. The timeouts and the backoff must be short enough
// for that.
const (
	reportPath        = "/status"
	reportTimeout     = 500 * time.Millisecond // for a request with reports, including the connect
	reusedConnTimeout = 130 * time.Millisecond // for a request on a reused connection, which may be dead
	maxReportBatch    = 256                    // maximum number of reports in one request
	minReportBackoff  = 10 * time.Millisecond  // backoff after a failure, doubled up to maxReportBackoff
	maxReportBackoff  = 40 * time.Millisecond
)

// Reporter sends delivery reports to the platform in order, and repeats each one until it is acknowledged. The message
// table of the event loop limits the number of queued reports.
type Reporter struct {
	events EventPoster
	log    *slog.Logger
	wake   chan struct{}

	mu    sync.Mutex
	addr  string
	queue []state.DeliveryReport
}

// NewReporter returns a reporter that sends to the platform at addr. It sends nothing before Run is called.
func NewReporter(events EventPoster, addr string, log *slog.Logger) *Reporter {
	return &Reporter{events: events, addr: addr, log: log, wake: make(chan struct{}, 1)}
}

// Report queues a delivery report. The reporter posts state.ReportsAcknowledged once the platform has acknowledged it.
func (r *Reporter) Report(report state.DeliveryReport) {
	r.mu.Lock()
	r.queue = append(r.queue, report)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// SetAddress sets the address for the following requests.
func (r *Reporter) SetAddress(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addr = addr
}

// nextBatch returns the reports to send next, and the address to send them to.
func (r *Reporter) nextBatch() ([]state.DeliveryReport, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue[:min(len(r.queue), maxReportBatch)], r.addr
}

// acknowledge removes the first count reports from the queue and posts state.ReportsAcknowledged.
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

// Run sends queued reports until the context is done.
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
			// Repeating a report that the platform can't parse would never succeed, and would block all later reports.
			r.log.Error("delivery report rejected as malformed by the platform, dropping it", "message", batch[0].ID)
			r.acknowledge(1)
			continue
		case err == nil && e.status == http.StatusBadRequest:
			limit = 1 // send reports one by one to find the malformed one
			continue
		}
		r.log.Warn("delivery reports not acknowledged", "count", len(batch), "status", e.status, "err", err)
		if reused && err != nil {
			continue // retry immediately on a new connection
		}
		sleepUntil(ctx, time.Now().Add(backoff))
		backoff = min(2*backoff, maxReportBackoff)
	}
}

// reportTimeout returns the timeout of a request with reports, which is shorter on a reused connection.
func (h *httpClient) reportTimeout() time.Duration {
	if h.conn != nil {
		return reusedConnTimeout
	}
	return reportTimeout
}

// encodeReports encodes reports as one JSON object per line.
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
		encoded, _ := json.Marshal(record) // can't fail for strings and a number
		out = append(append(out, encoded...), '\n')
	}
	return out
}
