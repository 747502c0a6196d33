// Package cluster plays a fleet on one machine: senders and agents as processes of the program, each with loopback
// addresses of its own, links between them that can fail, partners and clients of the rig, and an auditor that
// judges by what it sees from outside.
package cluster

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// Setup is what a yard is made from.
type Setup struct {
	Program string   // of senders and agents
	Env     []string // more of the environment of both
	Folder  string
	Senders int
	Agents  int
	Rate    float64 // messages a second over all senders; 0 = none come
	Length  time.Duration
	Seed    uint64
	Terms   rollout.Terms
	Restart bool           // versions change by a restart
	Script  string         // more of the scenario: what ails the partners
	Plan    *scenario.Plan // played in the place of a calm day; Rate and Script are its own then
	Links   bool           // clients, discovery and each agent reach senders by links, too
	Log     *slog.Logger
}

// Cluster is a fleet that runs.
type Cluster struct {
	Setup
	Net            *netfault.Net
	blocks         []*netfault.Block
	Environment    *harness.Environment
	plan           *scenario.Plan
	Clients        *harness.Clients
	Poll           *Poll
	Names          []string // of the senders
	agents         []*agentProcess
	senders        []senderAddresses
	clientsRunning sync.WaitGroup
	mu             sync.Mutex
	lastCalls      map[string]time.Time // the latest call that each endpoint saw
	requested      int                  // messages that clients wanted delivered
	executed       int                  // that took effect
	ctx            context.Context
	cancel         context.CancelFunc
}

// Building is where a sender stands.
func (c *Cluster) Building(i int) string {
	zones := c.plan.Scenario.Zones
	return zones[i%len(zones)]
}

// New prepares a yard: folders, links, partners. Nothing of the program runs yet.
func New(ctx context.Context, s Setup) (*Cluster, error) {
	if s.Length == 0 {
		s.Length = 10 * time.Minute // Finish ends the traffic
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	y := &Cluster{Setup: s, Net: netfault.New(s.Seed), lastCalls: map[string]time.Time{}}
	y.ctx, y.cancel = context.WithCancel(ctx)
	err := y.prepare()
	if err != nil {
		y.Close()
		return nil, err
	}
	return y, nil
}

// recordEvent notes what partners see.
func (c *Cluster) recordEvent(e audit.Event) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case e.Kind == audit.Sent:
		c.lastCalls[e.Endpoint] = time.Now()
	case e.Kind == audit.Requested:
		c.requested++
	case e.Kind == audit.Executed && e.Cause == "":
		c.executed++
	}
	return nil
}

// deliveryCounts counts messages that clients wanted, and those that took effect.
func (c *Cluster) deliveryCounts() (wanted, came int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requested, c.executed
}

// LastCall is when an endpoint saw a call last.
func (c *Cluster) LastCall(endpoint string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCalls[endpoint]
}

// Begin starts all agents, waits until all senders are known to serve, and lets the clients come.
func (c *Cluster) Begin() error {
	for i := range c.agents {
		if err := c.StartAgent(i); err != nil {
			return err
		}
	}
	err := c.Await(60*time.Second, "all senders serve", func(v agent.View) bool {
		seen := 0
		for _, name := range c.Names {
			if s := v.Observations[name]; s.Serving && v.State.Members[name] != nil {
				seen++
			}
		}
		return seen == c.Senders && v.State.Terms.Budget.Fleet > 0
	})
	if err != nil {
		return err
	}
	c.Poll.begin()
	c.Environment.Begin()
	if c.Rate > 0 {
		c.clientsRunning.Go(c.Clients.Run)
	}
	return nil
}

// Report is what a yard showed in the end.
type Report struct {
	simulation.Result
	OverBudget []BudgetExceeded // instants at which an order took one out too many
	Clients    harness.ClientStats
	Orders     int // times that a sender went out by order, as seen from outside
	MaxOut     int // senders out by order at once
}

// Finish ends the traffic, waits for what is owed, and judges.
func (c *Cluster) Finish() Report {
	c.Clients.Stop()
	c.clientsRunning.Wait()
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && (c.Environment.Open() > 0 || !c.Clients.Idle()); {
		time.Sleep(20 * time.Millisecond)
	}
	c.Poll.stop()
	r := Report{Clients: c.Clients.Stats()}
	r.OverBudget, r.Orders, r.MaxOut = c.Poll.evaluate()
	r.Result = c.Environment.Close()
	return r
}

// Close ends all processes of the yard.
func (c *Cluster) Close() {
	c.Poll.stop()
	for i := range c.agents {
		c.SignalAgent(i, syscall.SIGCONT)
		c.SignalAgent(i, syscall.SIGKILL)
	}
	if len(c.blocks) > 0 {
		for pid := range c.processes() {
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	c.cancel()
	if c.Clients != nil {
		c.Clients.Close()
	}
	if c.Environment != nil {
		c.Environment.Close()
	}
	c.Net.Close()
	if len(c.blocks) > 0 {
		os.RemoveAll(c.tempDir())
	}
	for _, b := range c.blocks {
		b.Close()
	}
}
