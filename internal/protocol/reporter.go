package protocol

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"cleathold/control"
	"cleathold/internal/httpconn"
	"cleathold/internal/state"
)

// A delivery report is due 300 ms after the deadline of its message. The timeouts and the backoff must be short enough
// for that.
const (
	reportPath       = "/status"
	minReportTimeout = 130 * time.Millisecond // for a request with reports, including the connect; doubled after a timeout
	maxReportTimeout = 520 * time.Millisecond
	maxReportBatch   = 256                   // maximum number of reports in one request
	minReportBackoff = 10 * time.Millisecond // backoff after a failure, doubled up to maxReportBackoff
	maxReportBackoff = 40 * time.Millisecond
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

// reportPacing holds the limits for the next request with reports, which depend on the requests before.
type reportPacing struct {
	timeout  time.Duration
	backoff  time.Duration
	maxBatch int
}

// initialReportPacing is the pacing after a request that succeeded.
var initialReportPacing = reportPacing{timeout: minReportTimeout, backoff: minReportBackoff, maxBatch: maxReportBatch}

// Run sends queued reports until the context is done.
func (r *Reporter) Run(ctx context.Context) {
	client := &httpClient{maxBody: maxAcknowledgmentBytes, dial: httpconn.Dial}
	pacing := initialReportPacing
	for ctx.Err() == nil {
		batch, addr := r.nextBatch()
		client.addr = addr
		batch = batch[:min(len(batch), pacing.maxBatch)]
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-r.wake:
			}
			continue
		}
		r.send(ctx, client, batch, &pacing)
	}
}

// send sends a batch of reports once. It removes those that the platform has acknowledged from the queue, and updates
// the pacing.
func (r *Reporter) send(ctx context.Context, client *httpClient, batch []state.DeliveryReport, pacing *reportPacing) {
	deadline := time.Now().Add(pacing.timeout)
	e, err := client.do(ctx, http.MethodPost, reportPath, encodeReports(batch), deadline)
	switch {
	case err == nil && e.status == http.StatusNoContent:
		r.acknowledge(len(batch))
		*pacing = initialReportPacing
		return
	case err == nil && e.status == http.StatusBadRequest && len(batch) == 1:
		// Repeating a report that the platform can't parse would never succeed, and would block all later reports.
		r.log.Error("delivery report rejected as malformed by the platform, dropping it", "message", batch[0].ID)
		r.acknowledge(1)
		return
	case err == nil && e.status == http.StatusBadRequest:
		pacing.maxBatch = 1 // send reports one by one to find the malformed one
		return
	}
	r.log.Warn("delivery reports not acknowledged", "count", len(batch), "status", e.status, "err", err)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		pacing.timeout = min(2*pacing.timeout, maxReportTimeout)
		return // repeat at once: the connection may be unresponsive
	}
	sleepUntil(ctx, time.Now().Add(pacing.backoff))
	pacing.backoff = min(2*pacing.backoff, maxReportBackoff)
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
