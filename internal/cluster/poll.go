package cluster

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/rollout"
)

const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond // a sender that does not answer within this time is unresponsive
)

// Poll checks the health of each sender at the address for clients, as the clients' load balancer does. It does not use
// what the fleet reports about itself. A sender that answers and is not healthy was taken out by an order, since
// senders of a cluster are not drained in any other way. A sender that does not answer has crashed, hangs or was
// stopped.
type Poll struct {
	cluster  *Cluster
	done     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	mu      sync.Mutex
	changes []pollResult  // in order of time
	current []senderState // by sender
}

// A senderState is the result of a sender's health check.
type senderState uint8

const (
	stateUnknown senderState = iota // before the first check
	stateServing
	stateDraining     // the sender answers that it is not healthy
	stateUnresponsive // the sender does not answer
)

// String returns the name of the state in reports.
func (s senderState) String() string { return [...]string{"unseen", "serves", "away", "quiet"}[s] }

// A pollResult is the result of a health check.
type pollResult struct {
	at     time.Time
	sender int
	state  senderState
}

// BudgetExceeded is a violation of the budget: an order took a sender out, and more senders were out than allowed.
type BudgetExceeded struct {
	At   time.Duration // since the first health check
	Text string
}

func newPoll(c *Cluster) *Poll {
	return &Poll{cluster: c, done: make(chan struct{}), current: make([]senderState, c.Senders)}
}

// start starts polling all senders until stop is called.
func (p *Poll) start() {
	for i := range p.cluster.Senders {
		p.wg.Go(func() { p.pollSender(i) })
	}
}

// stop ends the polling. It may be called several times and on a nil Poll.
func (p *Poll) stop() {
	if p == nil {
		return
	}
	p.stopOnce.Do(func() { close(p.done) })
	p.wg.Wait()
}

// pollSender polls one sender.
func (p *Poll) pollSender(sender int) {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: pollTimeout}).DialContext, MaxIdleConnsPerHost: 1,
	}
	client := &http.Client{Timeout: pollTimeout, Transport: transport}
	defer client.CloseIdleConnections()
	url := "http://" + p.cluster.senders[sender].listen + "/_health"
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		at := time.Now()
		p.recordState(pollResult{at, sender, checkHealth(client, url)})
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
	}
}

func checkHealth(client *http.Client, url string) senderState {
	r, err := client.Get(url)
	if err != nil {
		return stateUnresponsive
	}
	r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return stateDraining
	}
	return stateServing
}

// recordState records a change of a sender's state. It notifies the clients and the auditor of what clients would
// detect themselves.
func (p *Poll) recordState(result pollResult) {
	p.mu.Lock()
	previous := p.current[result.sender]
	p.current[result.sender] = result.state
	if previous != result.state {
		p.changes = append(p.changes, result)
	}
	p.mu.Unlock()
	if previous == result.state {
		return
	}
	c := p.cluster
	if result.state != stateUnresponsive { // the last answer remains valid while the sender does not answer
		c.Clients.SetDraining(result.sender, result.state == stateDraining)
	}
	switch {
	case result.state == stateUnresponsive:
		c.Clients.SetDown(result.sender, true)
		c.Environment.Record(audit.Event{Kind: audit.ProcessEnded, Sender: result.sender})
	case previous == stateUnresponsive:
		c.Clients.SetDown(result.sender, false)
		c.Environment.Record(audit.Event{Kind: audit.Ready, Sender: result.sender})
	}
}

// recordSignal records a signal that the cluster itself sends to a sender, so that the end of the process is not
// attributed to an order.
func (p *Poll) recordSignal(sender int, s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.cluster.Environment.Record(audit.Event{Kind: audit.ProcessEnded, Sender: sender})
	}
}

// Now returns the result of a sender's latest health check: "unseen", "serves", "away" or "quiet".
func (p *Poll) Now(sender int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current[sender].String()
}

// DrainingCount returns the number of senders that are draining now.
func (p *Poll) DrainingCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.current {
		if state == stateDraining {
			n++
		}
	}
	return n
}

// DrainsSince returns how often a sender began to drain after a given time, and when the last one did.
func (p *Poll) DrainsSince(at time.Time) (n int, last time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.changes {
		if r.state == stateDraining && r.at.After(at) {
			n, last = n+1, r.at
		}
	}
	return n, last
}

// evaluate checks all changes against the budget. It returns the violations, the number of times that a sender was
// taken out by an order, and the maximum number of senders that were out by order at the same time.
func (p *Poll) evaluate() (over []BudgetExceeded, orders, maxOut int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.cluster
	buildings := make([]string, c.Senders)
	for i := range buildings {
		buildings[i] = c.Building(i)
	}
	t := c.Terms.Timing
	e := budgetEvaluation{
		budget: c.Terms.Budget, names: c.Names, buildings: buildings,
		// An order may be based on an observation of this age.
		unresponsiveAfter: t.MaxObservationAge + t.TakeTimeout + 4*t.MaxClockError + pollTimeout + 10*pollInterval,
		states:            make([]senderState, c.Senders), since: make([]time.Time, c.Senders),
	}
	for _, r := range p.changes {
		e.add(r)
	}
	return e.over, e.orders, e.maxOut
}

// A budgetEvaluation processes the state changes of a fleet in order and checks each order against the budget. When a
// sender begins to drain, the senders that are draining already count as out, and those that have been unresponsive for
// longer than unresponsiveAfter.
type budgetEvaluation struct {
	budget            rollout.Budget
	names, buildings  []string // by sender
	unresponsiveAfter time.Duration

	started time.Time     // time of the first change
	states  []senderState // by sender
	since   []time.Time   // by sender: when the state began

	over           []BudgetExceeded
	orders, maxOut int
}

// add processes the next change. A sender that is draining at its first check, or when it recovers from a crash, does
// not count as an order, since the time of the order is unknown.
func (e *budgetEvaluation) add(r pollResult) {
	if e.started.IsZero() {
		e.started = r.at
	}
	previous := e.states[r.sender]
	e.states[r.sender], e.since[r.sender] = r.state, r.at
	if r.state != stateDraining || previous == stateUnknown || previous == stateUnresponsive {
		return
	}
	e.orders++
	out, draining, text := 0, 0, ""
	outByBuilding := map[string]int{} // number of senders that are out, by building
	for i, state := range e.states {
		duration := r.at.Sub(e.since[i])
		if state == stateDraining || state == stateUnresponsive && duration > e.unresponsiveAfter {
			out++
			outByBuilding[e.buildings[i]]++
			text += fmt.Sprintf(" %s %v for %v;", e.names[i], state, duration.Round(time.Millisecond))
		}
		if state == stateDraining {
			draining++
		}
	}
	e.maxOut = max(e.maxOut, draining)
	b := e.budget
	if out > b.Fleet || b.Building > 0 && outByBuilding[e.buildings[r.sender]] > b.Building {
		e.over = append(e.over,
			BudgetExceeded{r.at.Sub(e.started), fmt.Sprintf("%s went away:%s", e.names[r.sender], text)})
	}
}
