package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	openMost = 20_000 // hand-ins under way; more are left out, and the run is marked
	idleMost = 256    // idle connections to a sender
)

// Clients hand in what a plan's arrivals are, each at its time whatever became of
// those before it, and come again as BRIEF 6 says. Latency counts from the time at
// which a message was wanted.
type Clients struct {
	w       *Environment
	senders []*front

	enough atomic.Bool // Run ends before the plan's last arrival
	keep   bool        // connections to a sender that is ending are used on

	mu      sync.Mutex
	rng     *rand.Rand
	open    int
	left    int // left out
	asked   int
	pending map[string]*simulation.ClientRequest // ids that may still be heard of
	lag     *hdrhistogram.Histogram
	door    *hdrhistogram.Histogram // from the time wanted to the sender's answer
	answers map[int]int             // by status; 0 = none

	unanswered int // see Seen
}

// A front is a sender as clients see it.
type front struct {
	addr string
	mu   sync.Mutex
	idle []*client
	shut bool      // nothing is kept any more
	away bool      // it said that it wants no clients
	down time.Time // since when nobody is there; zero = somebody is
	up   time.Time // since when somebody is there again
}

type client struct {
	net.Conn
	in *bufio.Reader
}

// NewClients makes clients of senders at these addresses.
func (w *Environment) NewClients(addresses []string) *Clients {
	c := &Clients{
		w: w, rng: rand.New(rand.NewPCG(w.plan.Seed, 99)), pending: map[string]*simulation.ClientRequest{}, lag: newLag(), door: newLag(), answers: map[int]int{},
	}
	for _, a := range addresses {
		c.senders = append(c.senders, &front{addr: a})
	}
	w.mu.Lock()
	w.heard, w.served = c.heard, c.served
	w.mu.Unlock()
	return c
}

// SetDown tells the front layer that a sender's process has ended, or is there
// again. The front itself notices after a while.
func (c *Clients) SetDown(sender int, down bool) {
	f := c.senders[sender]
	f.mu.Lock()
	defer f.mu.Unlock()
	if down {
		if f.down.IsZero() {
			f.down = time.Now()
		}
		return
	}
	f.down, f.up = time.Time{}, time.Now()
}

// SetDraining tells the front layer what a sender said of its health. It heeds that at once.
func (c *Clients) SetDraining(sender int, away bool) {
	f := c.senders[sender]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

// Run hands in until the plan's last arrival.
func (c *Clients) Run() {
	arrivals := c.w.plan.Arrivals()
	for a, some := arrivals.Next(); some; a, some = arrivals.Next() {
		if c.enough.Load() || c.w.now() < a.At && !c.w.at(a.At) || c.w.ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		record(c.lag, c.w.now()-a.At)
		c.asked++
		full := c.open >= openMost
		if full {
			c.left++
		} else {
			c.open++
		}
		c.mu.Unlock()
		c.w.Record(audit.Event{Kind: audit.Requested, N: a.N, Class: a.Class, Tenant: a.Tenant, Dest: a.Dest})
		if full {
			continue
		}
		m := &simulation.ClientRequest{Arrival: a}
		c.w.wg.Go(func() {
			c.handIn(m)
			c.mu.Lock()
			c.open--
			c.mu.Unlock()
		})
	}
}

// Stop ends Run at its next arrival.
func (c *Clients) Stop() { c.enough.Store(true) }

// after does something later, unless the world ends before.
func (c *Clients) after(d time.Duration, do func()) {
	c.mu.Lock()
	if c.open >= openMost {
		c.left++
		c.mu.Unlock()
		return
	}
	c.open++
	c.mu.Unlock()
	c.w.wg.Go(func() {
		if c.w.sleep(d) {
			do()
		}
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
	})
}

// choose deals a hand-in out: to any sender but those that the front knows are gone.
func (c *Clients) choose() (int, *front) {
	c.mu.Lock()
	first := c.rng.IntN(len(c.senders))
	c.mu.Unlock()
	for i := range c.senders {
		n := (first + i) % len(c.senders)
		f := c.senders[n]
		f.mu.Lock()
		known := f.away || !f.down.IsZero() && time.Since(f.down) > simulation.DeadSenderTimeout && !(c.keep && len(f.idle) > 0)
		f.mu.Unlock()
		if !known {
			return n, f
		}
	}
	return first, c.senders[first]
}

// errNobody tells that a hand-in did not reach a sender whole.
var errNobody = errors.New("nobody there")

// handIn hands a message in, for the first time or again.
func (c *Clients) handIn(m *simulation.ClientRequest) {
	w := c.w
	s := w.plan.Scenario
	c.mu.Lock()
	left := m.TimeLeft(s, w.now())
	c.mu.Unlock()
	if left <= 0 {
		return
	}
	num, f := c.choose()
	conn, reused, err := f.get(time.Now().Add(s.Traffic.Patience))
	if err != nil {
		c.nowhere(m)
		return
	}
	c.mu.Lock()
	id, again := m.NextSubmission()
	c.pending[id] = m
	c.mu.Unlock()
	key := m.Key(s)
	w.hand(audit.Event{Kind: audit.Submitted, Sender: num, Message: id, Class: m.Class, Dest: m.Dest, TimeLeft: left, Key: key, N: m.N, Tenant: m.Tenant})
	limit := time.Now().Add(s.Traffic.Patience)
	text := request(s, m, id, key, left, again)
	r, err := conn.ask(text, limit)
	if err != nil && reused && errors.Is(err, io.EOF) { // its close crossed the request
		reused = false
		if conn, err = f.dial(limit); err == nil {
			r, err = conn.ask(text, limit)
		}
	}
	if !reused && errors.Is(err, io.EOF) && !c.crowded() {
		c.w.wg.Go(func() { c.judgeUnanswered(f) })
	}
	status := 0
	if err == nil {
		status = r.StatusCode
	}
	c.mu.Lock()
	c.answers[status]++
	if !again {
		record(c.door, w.now()-m.At)
	}
	c.mu.Unlock()
	switch {
	case err != nil:
		if conn != nil {
			conn.Close()
		}
		cause := "died"
		if errors.Is(err, errLate) {
			cause = "timeout"
		}
		w.Record(audit.Event{Kind: audit.Abandoned, Sender: num, Message: id, Cause: cause})
		c.forget(id)
		c.nowhere(m)
		return
	case status == http.StatusAccepted || status == http.StatusOK:
		w.Record(audit.Event{Kind: audit.Accepted, Sender: num, Message: id})
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		wait, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		told := time.Duration(wait * float64(time.Second))
		w.Record(audit.Event{Kind: audit.Rejected, Sender: num, Message: id, RetryAfter: told})
		c.forget(id)
		c.refused(m, told)
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

// crowded tells whether a crowd is about, or was a moment ago: new connections may be shut unread then.
func (c *Clients) crowded() bool {
	now := c.w.nowOf()
	for _, crowd := range c.w.faults.IdleClients {
		if now >= crowd.From && now < crowd.To+time.Second {
			return true
		}
	}
	return false
}

// downSpan is how much later than its clients the rig may hear that a process has ended.
const downSpan = 100 * time.Millisecond

// judgeUnanswered counts a request without an answer, unless its sender's process was down or ending.
func (c *Clients) judgeUnanswered(f *front) {
	if !c.w.sleep(downSpan) {
		return
	}
	f.mu.Lock()
	down := !f.down.IsZero() || time.Since(f.up) < 2*downSpan
	f.mu.Unlock()
	if !down {
		c.mu.Lock()
		c.unanswered++
		c.mu.Unlock()
	}
}

// request is a hand-in as PROTOCOL has it.
func request(s *scenario.Scenario, m *simulation.ClientRequest, id, key string, left time.Duration, again bool) []byte {
	text := fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Tenant: %s\r\nX-Deadline: %.6f\r\nX-Addressing: dest=%d\r\nContent-Length: %d\r\n",
		s.Traffic.Classes[m.Class].Name, id, s.Traffic.Tenants[m.Tenant].Name, left.Seconds(), m.Dest, m.Size)
	if key != "" {
		text = fmt.Appendf(text, "Idempotency-Key: %s\r\n", key)
	}
	if again {
		text = append(text, "X-Retry: 1\r\n"...)
	}
	text = append(text, "\r\n"...)
	return append(text, make([]byte, m.Size)...)
}

func (c *Clients) forget(id string) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// nowhere has a client hand in again what reached nobody.
func (c *Clients) nowhere(m *simulation.ClientRequest) {
	c.mu.Lock()
	after, again := m.Unanswered(c.w.plan.Scenario, c.rng)
	c.mu.Unlock()
	if again {
		c.after(after, func() { c.handIn(m) })
	}
}

// refused has a client come again, as often as the scenario says.
func (c *Clients) refused(m *simulation.ClientRequest, told time.Duration) {
	c.mu.Lock()
	after, again := m.Rejected(c.w.plan.Scenario, c.rng, told)
	c.mu.Unlock()
	if again {
		c.after(after, func() { c.handIn(m) })
	}
}

// heard is told of a notice.
func (c *Clients) heard(id string, deferred bool, again time.Duration) {
	c.mu.Lock()
	m := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if m != nil && deferred {
		c.refused(m, again)
	}
}

// served is told of deliveries.
func (c *Clients) served(ids []string) {
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
	s := ClientStats{Lag: lagOf(c.lag), ResponseTime: lagOf(c.door), Answers: map[int]int{}, Skipped: c.left, Unanswered: c.unanswered}
	for status, n := range c.answers {
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
		f.idle, f.shut = nil, true
		f.mu.Unlock()
	}
}

// get takes an idle connection, or opens one.
func (f *front) get(limit time.Time) (c *client, reused bool, err error) {
	f.mu.Lock()
	if n := len(f.idle); n > 0 {
		c = f.idle[n-1]
		f.idle = f.idle[:n-1]
		f.mu.Unlock()
		return c, true, nil
	}
	f.mu.Unlock()
	c, err = f.dial(limit)
	return c, false, err
}

func (f *front) dial(limit time.Time) (*client, error) {
	conn, err := (&net.Dialer{Deadline: limit}).Dial("tcp4", f.addr)
	if err != nil {
		return nil, errors.Join(errNobody, err)
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (f *front) put(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shut || len(f.idle) >= idleMost {
		c.Close()
		return
	}
	f.idle = append(f.idle, c)
}

// errLate tells that no answer came while a client waited.
var errLate = errors.New("no answer in time")

// ask sends a request and reads the answer. io.EOF tells that the connection was
// closed before any of it came.
func (c *client) ask(text []byte, limit time.Time) (*http.Response, error) {
	c.SetDeadline(limit)
	_, err := c.Write(text)
	if err == nil {
		if _, err = c.in.Peek(1); err == nil {
			var r *http.Response
			if r, err = http.ReadResponse(c.in, nil); err == nil {
				_, err = io.Copy(io.Discard, r.Body)
				return r, err
			}
			return nil, err
		}
	}
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return nil, errLate
	}
	return nil, io.EOF // closed or reset
}
