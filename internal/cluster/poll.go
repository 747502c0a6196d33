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
	y      *Cluster
	cancel chan struct{}
	once   sync.Once
	wg     sync.WaitGroup

	mu   sync.Mutex
	runs bool
	list []look // changes, in the order of time
	now  []seen
}

// seen is what a look shows.
type seen uint8

const (
	unseen seen = iota // before the first look
	serves
	away  // it answers no
	quiet // no answer
)

func (s seen) String() string { return [...]string{"unseen", "serves", "away", "quiet"}[s] }

type look struct {
	at     time.Time
	sender int
	is     seen
}

// BudgetExceeded is an instant at which one sender too many was out, and an order had taken the last one out.
type BudgetExceeded struct {
	At   time.Duration
	Text string
}

const (
	pollSpan  = 20 * time.Millisecond
	quietSpan = 500 * time.Millisecond // a look without an answer
)

func newPoll(y *Cluster) *Poll {
	return &Poll{y: y, cancel: make(chan struct{}), now: make([]seen, y.Senders)}
}

func (p *Poll) begin() {
	p.mu.Lock()
	p.runs = true
	p.mu.Unlock()
	for i := range p.y.Senders {
		p.wg.Go(func() { p.watch(i) })
	}
}

func (p *Poll) stop() {
	if p == nil {
		return
	}
	p.once.Do(func() { close(p.cancel) })
	p.wg.Wait()
}

func (p *Poll) watch(i int) {
	client := &http.Client{Timeout: quietSpan, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: quietSpan}).DialContext, MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(pollSpan)
	defer tick.Stop()
	for {
		at := time.Now()
		is := quiet
		if r, err := client.Get("http://" + p.y.senders[i].listen + "/_health"); err == nil {
			r.Body.Close()
			if is = away; r.StatusCode == http.StatusOK {
				is = serves
			}
		}
		p.enter(look{at, i, is})
		select {
		case <-p.cancel:
			return
		case <-tick.C:
		}
	}
}

// enter notes a change, and tells the front and the auditor of messages what they would know.
func (p *Poll) enter(l look) {
	p.mu.Lock()
	was := p.now[l.sender]
	p.now[l.sender] = l.is
	if was != l.is {
		p.list = append(p.list, l)
	}
	p.mu.Unlock()
	if was == l.is {
		return
	}
	if l.is != quiet { // what it said last stands
		p.y.Clients.SetDraining(l.sender, l.is == away)
	}
	switch {
	case l.is == quiet:
		p.y.Clients.SetDown(l.sender, true)
		p.y.World.Record(audit.Event{Kind: audit.Died, Sender: l.sender})
	case was == quiet:
		p.y.Clients.SetDown(l.sender, false)
		p.y.World.Record(audit.Event{Kind: audit.Ready, Sender: l.sender})
	}
}

// did tells of a signal that the yard itself sent to a sender, for which nobody's order is to blame.
func (p *Poll) did(sender int, s syscall.Signal) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.y.World.Record(audit.Event{Kind: audit.Died, Sender: sender})
	}
}

// Now is what the latest look at a sender showed, as text.
func (p *Poll) Now(sender int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now[sender].String()
}

// OutByOrder counts the senders that say no now.
func (p *Poll) OutByOrder() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, is := range p.now {
		if is == away {
			n++
		}
	}
	return n
}

// Since lists who was seen to go away after an instant, and when the last did.
func (p *Poll) Since(at time.Time) (n int, last time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.list {
		if l.is == away && l.at.After(at) {
			n, last = n+1, l.at
		}
	}
	return n, last
}

// judge goes through all that was seen. When a sender goes away by order, those that are away already count, and those
// that have been quiet for longer than an order may rest on an old sight.
func (p *Poll) judge() (over []BudgetExceeded, orders, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.y.Terms.Timing
	margin := t.Fresh + t.Accept + 4*t.Error + quietSpan + 10*pollSpan
	is, since := make([]seen, p.y.Senders), make([]time.Time, p.y.Senders)
	if len(p.list) == 0 {
		return nil, 0, 0
	}
	begun := p.list[0].at
	for _, l := range p.list {
		was := is[l.sender]
		is[l.sender], since[l.sender] = l.is, l.at
		if l.is != away || was == unseen {
			continue
		}
		if was == quiet { // whether it went out by order, or came back from a crash still drained, is not seen
			continue
		}
		orders++
		out, ordered := 0, 0
		text := ""
		buildings := map[string]int{}
		for i := range is {
			if is[i] == away || is[i] == quiet && l.at.Sub(since[i]) > margin {
				out++
				buildings[p.y.Building(i)]++
				text += fmt.Sprintf(" %s %v for %v;", p.y.Names[i], is[i], l.at.Sub(since[i]).Round(time.Millisecond))
			}
			if is[i] == away {
				ordered++
			}
		}
		most = max(most, ordered)
		b := p.y.Terms.Budget
		if out > b.Fleet || b.Building > 0 && buildings[p.y.Building(l.sender)] > b.Building {
			over = append(over, BudgetExceeded{l.at.Sub(begun), fmt.Sprintf("%s went away:%s", p.y.Names[l.sender], text)})
		}
	}
	return over, orders, most
}
