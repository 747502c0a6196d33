package harness

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cleathold/internal/audit"
	"cleathold/internal/simulation"
)

// Clients hand in what a plan's arrivals are, each at its time whatever became of
// those before it, and come again as BRIEF 6 says. Latency counts from the time at
// which a message was wanted.
type Clients struct {
	env     *Environment
	senders []*senderPool

	stopped         atomic.Bool // Run ends before the plan's last arrival
	keepConnections bool        // connections to a sender that is ending are used on

	mu           sync.Mutex
	rng          *rand.Rand
	inProgress   int
	skipped      int // left out
	requested    int
	pending      map[string]*simulation.ClientRequest // ids that may still be heard of
	lag          *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram // from the time wanted to the sender's answer
	statusCounts map[int]int             // by status; 0 = none

	unanswered int // see Seen
}

// NewClients makes clients of senders at these addresses.
func (env *Environment) NewClients(addresses []string) *Clients {
	c := &Clients{
		env: env, rng: rand.New(rand.NewPCG(env.plan.Seed, 99)), pending: map[string]*simulation.ClientRequest{}, lag: newLagHistogram(), responseTime: newLagHistogram(), statusCounts: map[int]int{},
	}
	for _, a := range addresses {
		c.senders = append(c.senders, &senderPool{addr: a})
	}
	env.mu.Lock()
	env.onReport, env.onDelivered = c.handleReport, c.handleDelivered
	env.mu.Unlock()
	return c
}

// Run hands in until the plan's last arrival.
func (c *Clients) Run() {
	arrivals := c.env.plan.Arrivals()
	for a, some := arrivals.Next(); some; a, some = arrivals.Next() {
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
		c.env.Record(audit.Event{Kind: audit.Requested, N: a.N, Class: a.Class, Tenant: a.Tenant, Dest: a.Dest})
		if full {
			continue
		}
		m := &simulation.ClientRequest{Arrival: a}
		c.env.wg.Go(func() {
			c.submit(m)
			c.mu.Lock()
			c.inProgress--
			c.mu.Unlock()
		})
	}
}

// Stop ends Run at its next arrival.
func (c *Clients) Stop() { c.stopped.Store(true) }

// schedule does something later, unless the world ends before.
func (c *Clients) schedule(d time.Duration, do func()) {
	c.mu.Lock()
	if c.inProgress >= maxOpenSubmissions {
		c.skipped++
		c.mu.Unlock()
		return
	}
	c.inProgress++
	c.mu.Unlock()
	c.env.wg.Go(func() {
		if c.env.sleep(d) {
			do()
		}
		c.mu.Lock()
		c.inProgress--
		c.mu.Unlock()
	})
}

// submit hands a message in, for the first time or again.
func (c *Clients) submit(m *simulation.ClientRequest) {
	w := c.env
	s := w.plan.Scenario
	c.mu.Lock()
	left := m.TimeLeft(s, w.now())
	c.mu.Unlock()
	if left <= 0 {
		return
	}
	num, f := c.chooseSender()
	conn, reused, err := f.get(time.Now().Add(s.Traffic.Patience))
	if err != nil {
		c.retryUnanswered(m)
		return
	}
	c.mu.Lock()
	id, again := m.NextSubmission()
	c.pending[id] = m
	c.mu.Unlock()
	key := m.Key(s)
	w.recordSubmission(audit.Event{Kind: audit.Submitted, Sender: num, Message: id, Class: m.Class, Dest: m.Dest, TimeLeft: left, Key: key, N: m.N, Tenant: m.Tenant})
	limit := time.Now().Add(s.Traffic.Patience)
	text := formatRequest(s, m, id, key, left, again)
	r, err := conn.roundTrip(text, limit)
	if err != nil && reused && errors.Is(err, io.EOF) { // its close crossed the request
		reused = false
		if conn, err = f.dial(limit); err == nil {
			r, err = conn.roundTrip(text, limit)
		}
	}
	if !reused && errors.Is(err, io.EOF) && !c.idleClientsActive() {
		c.env.wg.Go(func() { c.countUnanswered(f) })
	}
	status := 0
	if err == nil {
		status = r.StatusCode
	}
	c.mu.Lock()
	c.statusCounts[status]++
	if !again {
		recordLag(c.responseTime, w.now()-m.At)
	}
	c.mu.Unlock()
	switch {
	case err != nil:
		if conn != nil {
			conn.Close()
		}
		cause := "died"
		if errors.Is(err, errResponseTimeout) {
			cause = "timeout"
		}
		w.Record(audit.Event{Kind: audit.Abandoned, Sender: num, Message: id, Cause: cause})
		c.forget(id)
		c.retryUnanswered(m)
		return
	case status == http.StatusAccepted || status == http.StatusOK:
		w.Record(audit.Event{Kind: audit.Accepted, Sender: num, Message: id})
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		wait, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		told := time.Duration(wait * float64(time.Second))
		w.Record(audit.Event{Kind: audit.Rejected, Sender: num, Message: id, RetryAfter: told})
		c.forget(id)
		c.retryRejected(m, told)
	default:
		w.Record(audit.Event{Kind: audit.Rejected, Sender: num, Message: id, Cause: "failed"})
		c.forget(id)
	}
	if r.Close {
		conn.Close()
		return
	}
	f.put(conn)
}

// idleClientsActive tells whether a crowd is about, or was a moment ago: new connections may be shut unread then.
func (c *Clients) idleClientsActive() bool {
	now := c.env.currentTime()
	for _, crowd := range c.env.faults.IdleClients {
		if now >= crowd.From && now < crowd.To+time.Second {
			return true
		}
	}
	return false
}

// exitNoticeDelay is how much later than its clients the rig may hear that a process has ended.
const exitNoticeDelay = 100 * time.Millisecond

// countUnanswered counts a request without an answer, unless its sender's process was down or ending.
func (c *Clients) countUnanswered(f *senderPool) {
	if !c.env.sleep(exitNoticeDelay) {
		return
	}
	f.mu.Lock()
	down := !f.downSince.IsZero() || time.Since(f.upSince) < 2*exitNoticeDelay
	f.mu.Unlock()
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

// retryUnanswered has a client hand in again what reached nobody.
func (c *Clients) retryUnanswered(m *simulation.ClientRequest) {
	c.mu.Lock()
	after, again := m.Unanswered(c.env.plan.Scenario, c.rng)
	c.mu.Unlock()
	if again {
		c.schedule(after, func() { c.submit(m) })
	}
}

// retryRejected has a client come again, as often as the scenario says.
func (c *Clients) retryRejected(m *simulation.ClientRequest, told time.Duration) {
	c.mu.Lock()
	after, again := m.Rejected(c.env.plan.Scenario, c.rng, told)
	c.mu.Unlock()
	if again {
		c.schedule(after, func() { c.submit(m) })
	}
}

// handleReport is told of a notice.
func (c *Clients) handleReport(id string, deferred bool, again time.Duration) {
	c.mu.Lock()
	m := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if m != nil && deferred {
		c.retryRejected(m, again)
	}
}

// handleDelivered is told of deliveries.
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

// ClientStats is what the clients saw.
type ClientStats struct {
	Lag          Lag         `json:"lag"`  // of the hand-ins, against the plan
	ResponseTime Lag         `json:"door"` // from the time wanted to the sender's answer
	Answers      map[int]int `json:"answers"`
	Skipped      int         `json:"left_out"`

	// Unanswered are requests that were written whole on a new connection to a sender that was there, and whose
	// connection then ended with no answer, while no crowd was about.
	Unanswered int `json:"unanswered"`
}

// Stats tells what the clients saw so far.
func (c *Clients) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := ClientStats{Lag: summarizeLag(c.lag), ResponseTime: summarizeLag(c.responseTime), Answers: map[int]int{}, Skipped: c.skipped, Unanswered: c.unanswered}
	for status, n := range c.statusCounts {
		s.Answers[status] = n
	}
	return s
}

// Close closes the idle connections.
func (c *Clients) Close() {
	for _, f := range c.senders {
		f.mu.Lock()
		for _, x := range f.idle {
			x.Close()
		}
		f.idle, f.closed = nil, true
		f.mu.Unlock()
	}
}

// Idle tells whether no hand-in is under way or to come.
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
