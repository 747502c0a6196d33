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
	pollTimeout  = 500 * time.Millisecond // a sender that does not answer for so long is unresponsive
)

// Poll checks the health of each sender at the clients' address, as the clients' load balancer does, and relies on
// nothing that the fleet tells of itself. A sender that answers and is not healthy was taken out by an order, since
// nobody drains senders of a cluster by hand. One that does not answer has crashed, hangs or was stopped.
type Poll struct {
	cluster  *Cluster
	done     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	mu      sync.Mutex
	changes []pollResult  // in the order of time
	current []senderState // by sender
}

// A senderState is what a health check showed of a sender.
type senderState uint8

const (
	stateUnknown senderState = iota // before the first check
	stateServing
	stateDraining     // it answers that it is not healthy
	stateUnresponsive // no answer
)

// String returns the state as reports name it.
func (s senderState) String() string { return [...]string{"unseen", "serves", "away", "quiet"}[s] }

// A pollResult is a change of a sender's state.
type pollResult struct {
	at     time.Time
	sender int
	state  senderState
}

// BudgetExceeded is an instant at which one sender too many was out, and an order had taken the last one out.
type BudgetExceeded struct {
	At   time.Duration // since the first health check
	Text string
}

func newPoll(c *Cluster) *Poll {
	return &Poll{cluster: c, done: make(chan struct{}), current: make([]senderState, c.Senders)}
}

// start starts to poll all senders, until stop.
func (p *Poll) start() {
	for i := range p.cluster.Senders {
		p.wg.Go(func() { p.pollSender(i) })
	}
}

// stop ends the polling. It may be called several times, and for a nil Poll.
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

// recordState keeps a change, and tells the clients and the auditor of messages what they would notice themselves.
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
	if result.state != stateUnresponsive { // what it answered last holds while it does not answer
		c.Clients.SetDraining(result.sender, result.state == stateDraining)
	}
	switch {
	case result.state == stateUnresponsive:
		c.Clients.SetDown(result.sender, true)
		c.Environment.Record(audit.Event{Kind: audit.Died, Sender: result.sender})
	case previous == stateUnresponsive:
		c.Clients.SetDown(result.sender, false)
		c.Environment.Record(audit.Event{Kind: audit.Ready, Sender: result.sender})
	}
}

// recordSignal records a signal that the cluster itself sends to a sender, so that no order is blamed for the end.
func (p *Poll) recordSignal(sender int, s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.cluster.Environment.Record(audit.Event{Kind: audit.Died, Sender: sender})
	}
}

// Now returns what the latest check of a sender showed: "unseen", "serves", "away" or "quiet".
func (p *Poll) Now(sender int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current[sender].String()
}

// OutByOrder counts the senders that are draining now.
func (p *Poll) OutByOrder() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.current {
		if state == stateDraining {
			n++
		}
	}
	return n
}

// Since counts the senders that began to drain after an instant, and returns when the last one did.
func (p *Poll) Since(at time.Time) (n int, last time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.changes {
		if r.state == stateDraining && r.at.After(at) {
			n, last = n+1, r.at
		}
	}
	return n, last
}

// evaluate checks all changes against the budget. It returns the instants at which it was exceeded, how often a
// sender went out by order, and the most senders that were out by order at once.
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
		// An order may rest on an observation that is so old.
		unresponsiveAfter: t.Fresh + t.Accept + 4*t.Error + pollTimeout + 10*pollInterval,
		states:            make([]senderState, c.Senders), since: make([]time.Time, c.Senders),
	}
	for _, r := range p.changes {
		e.add(r)
	}
	return e.over, e.orders, e.maxOut
}

// A budgetEvaluation goes through the changes of a fleet and checks each order against the budget. When a sender
// begins to drain, those that drain already count, and those that have been unresponsive for long.
type budgetEvaluation struct {
	budget            rollout.Budget
	names, buildings  []string // by sender
	unresponsiveAfter time.Duration

	started time.Time // of the first change
	states  []senderState
	since   []time.Time // of the states

	over           []BudgetExceeded
	orders, maxOut int
}

// add takes the next change. A sender that drains as it comes back from a crash, or at the first check, counts for no
// order: when it was given is not seen.
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
	outByBuilding := map[string]int{} // by building
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
