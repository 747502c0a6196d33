package cluster

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/audit"
)

// Poll looks at each sender at the clients' address, as the clients' front does, and takes nobody's word for
// anything else. A sender that answers and says no is out by order: staff send nobody away by hand in a yard.
// One that does not answer has crashed, hangs or was stopped.
type Poll struct {
	cluster  *Cluster
	done     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	mu      sync.Mutex
	running bool
	changes []pollResult // changes, in the order of time
	current []senderState
}

// senderState is what a look shows.
type senderState uint8

const (
	stateUnknown senderState = iota // before the first look
	stateServing
	stateDraining     // it answers no
	stateUnresponsive // no answer
)

func (s senderState) String() string { return [...]string{"unseen", "serves", "away", "quiet"}[s] }

type pollResult struct {
	at     time.Time
	sender int
	state  senderState
}

// BudgetExceeded is an instant at which one sender too many was out, and an order had taken the last one out.
type BudgetExceeded struct {
	At   time.Duration
	Text string
}

const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond // a look without an answer
)

func newPoll(y *Cluster) *Poll {
	return &Poll{cluster: y, done: make(chan struct{}), current: make([]senderState, y.Senders)}
}

func (p *Poll) begin() {
	p.mu.Lock()
	p.running = true
	p.mu.Unlock()
	for i := range p.cluster.Senders {
		p.wg.Go(func() { p.watch(i) })
	}
}

func (p *Poll) stop() {
	if p == nil {
		return
	}
	p.stopOnce.Do(func() { close(p.done) })
	p.wg.Wait()
}

func (p *Poll) watch(i int) {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: pollTimeout}).DialContext, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		at := time.Now()
		is := stateUnresponsive
		if r, err := client.Get("http://" + p.cluster.senders[i].listen + "/_health"); err == nil {
			r.Body.Close()
			if is = stateDraining; r.StatusCode == http.StatusOK {
				is = stateServing
			}
		}
		p.recordState(pollResult{at, i, is})
		select {
		case <-p.done:
			return
		case <-tick.C:
		}
	}
}

// recordState notes a change, and tells the front and the auditor of messages what they would know.
func (p *Poll) recordState(l pollResult) {
	p.mu.Lock()
	was := p.current[l.sender]
	p.current[l.sender] = l.state
	if was != l.state {
		p.changes = append(p.changes, l)
	}
	p.mu.Unlock()
	if was == l.state {
		return
	}
	if l.state != stateUnresponsive { // what it said last stands
		p.cluster.Clients.SetDraining(l.sender, l.state == stateDraining)
	}
	switch {
	case l.state == stateUnresponsive:
		p.cluster.Clients.SetDown(l.sender, true)
		p.cluster.Environment.Record(audit.Event{Kind: audit.Died, Sender: l.sender})
	case was == stateUnresponsive:
		p.cluster.Clients.SetDown(l.sender, false)
		p.cluster.Environment.Record(audit.Event{Kind: audit.Ready, Sender: l.sender})
	}
}

// recordSignal tells of a signal that the yard itself sent to a sender, for which nobody's order is to blame.
func (p *Poll) recordSignal(sender int, s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.cluster.Environment.Record(audit.Event{Kind: audit.Died, Sender: sender})
	}
}

// Now is what the latest look at a sender showed, as text.
func (p *Poll) Now(sender int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current[sender].String()
}

// OutByOrder counts the senders that say no now.
func (p *Poll) OutByOrder() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, is := range p.current {
		if is == stateDraining {
			n++
		}
	}
	return n
}

// Since lists who was seen to go away after an instant, and when the last did.
func (p *Poll) Since(at time.Time) (n int, last time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.changes {
		if l.state == stateDraining && l.at.After(at) {
			n, last = n+1, l.at
		}
	}
	return n, last
}

// evaluate goes through all that was seen. When a sender goes away by order, those that are away already count, and
// those that have been quiet for longer than an order may rest on an old sight.
func (p *Poll) evaluate() (over []BudgetExceeded, orders, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.cluster.Terms.Timing
	margin := t.Fresh + t.Accept + 4*t.Error + pollTimeout + 10*pollInterval
	is, since := make([]senderState, p.cluster.Senders), make([]time.Time, p.cluster.Senders)
	if len(p.changes) == 0 {
		return nil, 0, 0
	}
	begun := p.changes[0].at
	for _, l := range p.changes {
		was := is[l.sender]
		is[l.sender], since[l.sender] = l.state, l.at
		if l.state != stateDraining || was == stateUnknown {
			continue
		}
		if was == stateUnresponsive { // whether it went out by order, or came back from a crash still drained, is not seen
			continue
		}
		orders++
		out, ordered := 0, 0
		text := ""
		buildings := map[string]int{}
		for i := range is {
			if is[i] == stateDraining || is[i] == stateUnresponsive && l.at.Sub(since[i]) > margin {
				out++
				buildings[p.cluster.Building(i)]++
				text += fmt.Sprintf(" %s %v for %v;", p.cluster.Names[i], is[i], l.at.Sub(since[i]).Round(time.Millisecond))
			}
			if is[i] == stateDraining {
				ordered++
			}
		}
		most = max(most, ordered)
		b := p.cluster.Terms.Budget
		if out > b.Fleet || b.Building > 0 && buildings[p.cluster.Building(l.sender)] > b.Building {
			over = append(over, BudgetExceeded{l.at.Sub(begun), fmt.Sprintf("%s went away:%s", p.cluster.Names[l.sender], text)})
		}
	}
	return over, orders, most
}
