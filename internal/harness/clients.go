package harness

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

const (
	// maxOpenSubmissions limits the number of submissions that are in progress or wait to be repeated. Submissions
	// beyond the limit are skipped and counted in the result.
	maxOpenSubmissions = 20_000
	// exitNoticeDelay is the maximum time by which the harness detects the exit of a process later than the clients do.
	exitNoticeDelay = 100 * time.Millisecond
)

// Clients submits the arrivals of a plan as an open-loop load generator: each message is submitted at its planned time,
// regardless of the progress of earlier ones. Submissions are repeated according to section 6 of BRIEF. Latency is
// measured from the planned arrival time, so that a stalled sender does not hide the waiting time of the messages that
// arrive during the stall (coordinated omission).
type Clients struct {
	env     *Environment
	senders []*senderPool

	stopped         atomic.Bool // set by Stop: Run returns before the plan's last arrival
	keepConnections bool        // see Faults.KeepConnections

	mu           sync.Mutex
	rng          *rand.Rand
	inProgress   int                                  // submissions in progress or waiting to be repeated
	skipped      int                                  // submissions beyond maxOpenSubmissions
	requested    int                                  // arrivals of the plan so far
	pending      map[string]*simulation.ClientRequest // by message id, until its outcome is known
	lag          *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram // of first submissions, from the planned arrival
	statusCounts map[int]int             // responses by HTTP status; 0 = no response
	unanswered   int                     // see ClientStats
}

// NewClients returns clients that submit to the senders at the given addresses. The caller must call Close.
func (env *Environment) NewClients(addresses []string) *Clients {
	c := &Clients{
		env:          env,
		rng:          rand.New(rand.NewPCG(env.plan.Seed, 99)),
		pending:      map[string]*simulation.ClientRequest{},
		lag:          newLagHistogram(),
		responseTime: newLagHistogram(),
		statusCounts: map[int]int{},
	}
	for _, a := range addresses {
		c.senders = append(c.senders, &senderPool{addr: a})
	}
	env.mu.Lock()
	env.onReport, env.onDelivered = c.handleReport, c.handleDelivered
	env.mu.Unlock()
	return c
}

// Run submits messages until the plan's last arrival, a call of Stop or the end of the run. Submissions may still be in
// progress when it returns; see Idle.
func (c *Clients) Run() {
	arrivals := c.env.plan.Arrivals()
	for a, ok := arrivals.Next(); ok; a, ok = arrivals.Next() {
		if c.stopped.Load() || c.env.now() < a.At && !c.env.sleepUntil(a.At) || c.env.ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		recordLag(c.lag, c.env.now()-a.At)
		c.requested++
		full := c.inProgress >= maxOpenSubmissions
		if full {
			c.skipped++
		} else {
			c.inProgress++
		}
		c.mu.Unlock()
		c.env.Record(audit.Event{
			Kind: audit.Requested, Request: a.N, Class: a.Class, Tenant: a.Tenant, Dest: a.Dest,
		})
		if full {
			continue
		}
		m := &simulation.ClientRequest{Arrival: a}
		c.env.wg.Go(func() {
			c.submit(m)
			c.finish()
		})
	}
}

// Stop makes Run return at its next arrival.
func (c *Clients) Stop() { c.stopped.Store(true) }

// schedule calls submit after a delay, unless the run ends earlier or too many submissions are in progress.
func (c *Clients) schedule(delay time.Duration, submit func()) {
	c.mu.Lock()
	if c.inProgress >= maxOpenSubmissions {
		c.skipped++
		c.mu.Unlock()
		return
	}
	c.inProgress++
	c.mu.Unlock()
	c.env.wg.Go(func() {
		if c.env.sleep(delay) {
			submit()
		}
		c.finish()
	})
}

func (c *Clients) finish() {
	c.mu.Lock()
	c.inProgress--
	c.mu.Unlock()
}

// submit performs one submission of a message, the first one or a repetition, and handles the response.
func (c *Clients) submit(m *simulation.ClientRequest) {
	s := c.env.plan.Scenario
	c.mu.Lock()
	timeLeft := m.TimeLeft(s, c.env.now())
	c.mu.Unlock()
	if timeLeft <= 0 {
		return
	}
	sender, pool := c.chooseSender()
	conn, reused, err := pool.get(time.Now().Add(s.Traffic.Patience))
	if err != nil {
		c.retryUnanswered(m)
		return
	}
	c.mu.Lock()
	id, resubmission := m.NextSubmission()
	c.pending[id] = m
	c.mu.Unlock()
	key := m.Key(s)
	c.env.recordSubmission(audit.Event{
		Kind: audit.Submitted, Sender: sender, Message: id, Class: m.Class, Dest: m.Dest,
		TimeLeft: timeLeft, Key: key, Request: m.N, Tenant: m.Tenant,
	})
	deadline := time.Now().Add(s.Traffic.Patience)
	conn, response, err := c.send(pool, conn, reused, formatRequest(s, m, id, key, timeLeft, resubmission), deadline)
	c.countResponse(m, response, err, resubmission)
	if err != nil {
		if conn != nil {
			conn.Close()
		}
		c.handleNoResponse(m, sender, id, err)
		return
	}
	c.handleResponse(m, sender, id, response)
	if response.Close {
		conn.Close()
		return
	}
	pool.put(conn)
}

// send sends a request and reads its response. The sender may close a reused idle connection while the request is on
// its way; the request is then sent once more on a new connection. send returns the connection that was used last, or
// nil if the new connection could not be opened.
func (c *Clients) send(
	pool *senderPool, conn *clientConn, reused bool, request []byte, deadline time.Time,
) (*clientConn, *http.Response, error) {
	response, err := conn.roundTrip(request, deadline)
	if err != nil && reused && errors.Is(err, io.EOF) {
		conn.Close()
		reused = false
		if conn, err = pool.dial(deadline); err == nil {
			response, err = conn.roundTrip(request, deadline)
		}
	}
	if !reused && errors.Is(err, io.EOF) && !c.descriptorsFilled() {
		c.env.wg.Go(func() { c.countUnanswered(pool) })
	}
	return conn, response, err
}

func (c *Clients) countResponse(m *simulation.ClientRequest, response *http.Response, err error, resubmission bool) {
	status := 0
	if err == nil {
		status = response.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statusCounts[status]++
	if !resubmission {
		recordLag(c.responseTime, c.env.now()-m.At)
	}
}

// handleNoResponse records that a submission got no response, and schedules its repetition.
func (c *Clients) handleNoResponse(m *simulation.ClientRequest, sender int, id string, err error) {
	cause := "died"
	if errors.Is(err, errResponseTimeout) {
		cause = "timeout"
	}
	c.env.Record(audit.Event{Kind: audit.Abandoned, Sender: sender, Message: id, Cause: cause})
	c.forget(id)
	c.retryUnanswered(m)
}

// handleResponse records the sender's response to a submission, and schedules a repetition if it was rejected.
func (c *Clients) handleResponse(m *simulation.ClientRequest, sender int, id string, response *http.Response) {
	switch response.StatusCode {
	case http.StatusAccepted, http.StatusOK:
		c.env.Record(audit.Event{Kind: audit.Accepted, Sender: sender, Message: id})
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 if the header is missing
		retryAfter := time.Duration(seconds * float64(time.Second))
		c.env.Record(audit.Event{Kind: audit.Rejected, Sender: sender, Message: id, RetryAfter: retryAfter})
		c.forget(id)
		c.retryRejected(m, retryAfter)
	default:
		c.env.Record(audit.Event{Kind: audit.Rejected, Sender: sender, Message: id, Cause: "failed"})
		c.forget(id)
	}
}

// descriptorsFilled reports whether idle clients hold connections, or a crowd at senders with few descriptors, or held
// some within the last second. During that time senders may close new connections without reading from them.
func (c *Clients) descriptorsFilled() bool {
	now := c.env.currentTime()
	for _, crowd := range c.env.faults.Crowds {
		if c.env.faults.Sockets > 0 && now >= crowd.From && now < crowd.To+time.Second {
			return true
		}
	}
	for _, idle := range c.env.faults.IdleClients {
		if now >= idle.From && now < idle.To+time.Second {
			return true
		}
	}
	return false
}

// countUnanswered counts a request without a response, unless the sender's process was down or terminating. It waits
// for exitNoticeDelay first, since the harness may not have detected the exit yet.
func (c *Clients) countUnanswered(pool *senderPool) {
	if !c.env.sleep(exitNoticeDelay) {
		return
	}
	pool.mu.Lock()
	down := !pool.downSince.IsZero() || time.Since(pool.upSince) < 2*exitNoticeDelay
	pool.mu.Unlock()
	if !down {
		c.mu.Lock()
		c.unanswered++
		c.mu.Unlock()
	}
}

func (c *Clients) forget(id string) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// retryUnanswered schedules the repetition of a submission that got no response, if the scenario provides for one.
func (c *Clients) retryUnanswered(m *simulation.ClientRequest) {
	c.mu.Lock()
	delay, retry := m.Unanswered(c.env.plan.Scenario, c.rng)
	c.mu.Unlock()
	if retry {
		c.schedule(delay, func() { c.submit(m) })
	}
}

// retryRejected schedules the repetition of a rejected or deferred message, up to the scenario's number of retries.
func (c *Clients) retryRejected(m *simulation.ClientRequest, retryAfter time.Duration) {
	c.mu.Lock()
	delay, retry := m.Rejected(c.env.plan.Scenario, c.rng, retryAfter)
	c.mu.Unlock()
	if retry {
		c.schedule(delay, func() { c.submit(m) })
	}
}

// handleReport processes the delivery report of a message that was not delivered.
func (c *Clients) handleReport(id string, deferred bool, retryAfter time.Duration) {
	c.mu.Lock()
	m := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if m != nil && deferred {
		c.retryRejected(m, retryAfter)
	}
}

// handleDelivered marks the messages of a delivered call as done.
func (c *Clients) handleDelivered(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if m := c.pending[id]; m != nil {
			m.Done = true
			delete(c.pending, id)
		}
	}
}

// Idle reports whether no submission is in progress or waiting to be repeated.
func (c *Clients) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inProgress == 0
}

func (c *Clients) requestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requested
}

// ClientStats contains the clients' measurements.
type ClientStats struct {
	Lag          Lag         `json:"lag"`      // delay of the submissions relative to the plan
	ResponseTime Lag         `json:"door"`     // from the planned arrival to the sender's response
	Answers      map[int]int `json:"answers"`  // responses by HTTP status; 0 = no response
	Skipped      int         `json:"left_out"` // submissions beyond maxOpenSubmissions

	// Unanswered counts the requests that were completely written on a new connection to a running sender and whose
	// connection then ended without a response, while no idle clients held connections.
	Unanswered int `json:"unanswered"`
}

// Stats returns the measurements so far.
func (c *Clients) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ClientStats{
		Lag: summarizeLag(c.lag), ResponseTime: summarizeLag(c.responseTime),
		Answers: maps.Clone(c.statusCounts), Skipped: c.skipped, Unanswered: c.unanswered,
	}
}

// Close closes the idle connections. The connection of a submission that is still in progress is closed when it ends.
func (c *Clients) Close() {
	for _, p := range c.senders {
		p.close()
	}
}

// formatRequest returns the HTTP request of a submission in the format that PROTOCOL defines.
func formatRequest(
	s *scenario.Scenario, m *simulation.ClientRequest, id, key string, timeLeft time.Duration, resubmission bool,
) []byte {
	text := fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Tenant: %s\r\n"+
		"X-Deadline: %.6f\r\nX-Addressing: dest=%d\r\nContent-Length: %d\r\n",
		s.Traffic.Classes[m.Class].Name, id, s.Traffic.Tenants[m.Tenant].Name, timeLeft.Seconds(), m.Dest, m.Size)
	if key != "" {
		text = fmt.Appendf(text, "Idempotency-Key: %s\r\n", key)
	}
	if resubmission {
		text = append(text, "X-Retry: 1\r\n"...)
	}
	text = append(text, "\r\n"...)
	return append(text, make([]byte, m.Size)...)
}
