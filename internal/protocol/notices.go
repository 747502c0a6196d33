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
	noticePath = "/status"
	noticeSpan = 500 * time.Millisecond // an answer to notices may take so long, connecting included...
	keptSpan   = 130 * time.Millisecond // ...and on a connection from before so long: it may have fallen silent, and
	// a notice is due 300 ms after its message's time
	noticeMost = 256                   // notices in one call
	pauseFirst = 10 * time.Millisecond // after a failure, doubled up to...
	pauseMost  = 40 * time.Millisecond // ...this: a notice is late 300 ms after its time
)

// Reporter tells the platform of the ends of messages, in order, each until it
// is acknowledged. The table of messages bounds how many wait.
type Reporter struct {
	post EventPoster
	log  *slog.Logger
	more chan struct{}

	mu   sync.Mutex
	addr string
	wait []state.DeliveryReport
}

// NewReporter returns the platform's notifier.
func NewReporter(post EventPoster, addr string, log *slog.Logger) *Reporter {
	return &Reporter{post: post, addr: addr, log: log, more: make(chan struct{}, 1)}
}

// Report queues a notice.
func (n *Reporter) Report(notice state.DeliveryReport) {
	n.mu.Lock()
	n.wait = append(n.wait, notice)
	n.mu.Unlock()
	select {
	case n.more <- struct{}{}:
	default:
	}
}

// SetAddress sends notices to another address from now on.
func (n *Reporter) SetAddress(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addr = addr
}

// head returns the notices that go next, and where to.
func (n *Reporter) head() ([]state.DeliveryReport, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wait[:min(len(n.wait), noticeMost)], n.addr
}

// done takes the first notices off the queue and has them forgotten.
func (n *Reporter) done(count int) {
	n.mu.Lock()
	nums := make([]control.MessageID, count)
	for i := range nums {
		nums[i] = n.wait[i].Num
	}
	n.wait = n.wait[count:]
	n.mu.Unlock()
	n.post.Post(state.ReportsAcknowledged{Nums: nums})
}

// Run delivers notices until the context ends.
func (n *Reporter) Run(ctx context.Context) {
	link := &dialog{}
	defer link.hangUp()
	wait, most := pauseFirst, noticeMost
	for ctx.Err() == nil {
		batch, addr := n.head()
		link.turn(addr)
		batch = batch[:min(len(batch), most)]
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.more:
			}
			continue
		}
		kept := link.link != nil
		said, err := link.ask(ctx, http.MethodPost, noticePath, encodeNotices(batch), time.Now().Add(link.span()))
		switch {
		case err == nil && said.status == http.StatusNoContent:
			n.done(len(batch))
			wait, most = pauseFirst, noticeMost
			continue
		case err == nil && said.status == http.StatusBadRequest && len(batch) == 1:
			// One that can't be read never will be, and would hold up all the others.
			n.log.Error("notice not readable to the platform, dropped", "id", batch[0].ID)
			n.done(1)
			continue
		case err == nil && said.status == http.StatusBadRequest:
			most = 1 // find out which one it is
			continue
		}
		n.log.Warn("notices not delivered", "count", len(batch), "status", said.status, "err", err)
		if kept && err != nil {
			continue // at once, on a new connection
		}
		pause(ctx, time.Now().Add(wait))
		wait = min(2*wait, pauseMost)
	}
}

// span is how long the platform's answer is waited for. It answers at once.
func (d *dialog) span() time.Duration {
	if d.link != nil {
		return keptSpan
	}
	return noticeSpan
}

// encodeNotices writes one JSON object a line.
func encodeNotices(batch []state.DeliveryReport) []byte {
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
