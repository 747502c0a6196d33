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

const (
	defaultLength  = 10 * time.Minute // longer than a test; Finish ends the traffic
	serveTimeout   = 60 * time.Second // from the start of the agents until all senders serve
	outcomeTimeout = 40 * time.Second // from the last submission until all messages have an outcome
	finishInterval = 20 * time.Millisecond
)

// Setup is what a cluster is made from.
type Setup struct {
	Program string   // of senders and agents
	Env     []string // added to the environment of both
	Folder  string
	Senders int
	Agents  int
	Rate    float64       // messages a second over all senders; 0 = none come
	Length  time.Duration // of the traffic; 0 = until Finish
	Seed    uint64
	Terms   rollout.Terms
	Restart bool           // versions change by a restart, not by a hand-over
	Script  string         // added to the scenario, such as faults of endpoints
	Plan    *scenario.Plan // played in place of the calm scenario; Rate and Script do not count then
	Links   bool           // clients, discovery and agents reach senders by links; agents one another always do
	Log     *slog.Logger   // nil: nothing is logged
}

// Cluster is a fleet that runs: its senders are known by their numbers, its agents by theirs.
type Cluster struct {
	Setup
	Net         *netfault.Net
	Environment *harness.Environment
	Clients     *harness.Clients
	Poll        *Poll
	Names       []string // of the senders

	blocks         []*netfault.Block
	plan           *scenario.Plan
	agents         []*agentProcess
	senders        []senderAddresses
	clientsRunning sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc

	mu        sync.Mutex
	lastCalls map[string]time.Time // by endpoint
	requested int                  // messages that clients requested
	executed  int                  // of them, messages that took effect
}

// Building returns the building, or zone, of a sender.
func (c *Cluster) Building(i int) string {
	zones := c.plan.Scenario.Zones
	return zones[i%len(zones)]
}

// New prepares a cluster: folders, links and endpoints. No process runs yet. The caller closes it.
func New(ctx context.Context, s Setup) (*Cluster, error) {
	if s.Length == 0 {
		s.Length = defaultLength
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	c := &Cluster{Setup: s, Net: netfault.New(s.Seed), lastCalls: map[string]time.Time{}}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.prepare(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// recordEvent counts messages and calls. It is the sink of the environment's events.
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

// deliveryCounts returns how many messages clients requested, and how many of them took effect.
func (c *Cluster) deliveryCounts() (requested, executed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requested, c.executed
}

// LastCall returns when the latest call came to an endpoint; zero if none came.
func (c *Cluster) LastCall(endpoint string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCalls[endpoint]
}

// Begin starts all agents, waits until they know that all senders serve, and starts the clients.
func (c *Cluster) Begin() error {
	for i := range c.agents {
		if err := c.StartAgent(i); err != nil {
			return err
		}
	}
	err := c.Await(serveTimeout, "all senders serve", func(v agent.View) bool {
		serving := 0
		for _, name := range c.Names {
			if s := v.Observations[name]; s.Serving && v.State.Members[name] != nil {
				serving++
			}
		}
		return serving == c.Senders && v.State.Terms.Budget.Fleet > 0
	})
	if err != nil {
		return err
	}
	c.Poll.start()
	c.Environment.Begin()
	if c.Rate > 0 {
		c.clientsRunning.Go(c.Clients.Run)
	}
	return nil
}

// Report is what a cluster showed in the end.
type Report struct {
	simulation.Result
	OverBudget []BudgetExceeded // instants at which an order took one out too many
	Clients    harness.ClientStats
	Orders     int // times that a sender went out by order, as seen from outside
	MaxOut     int // senders out by order at once
}

// Finish ends the traffic, waits until all messages have an outcome, and judges what was seen.
func (c *Cluster) Finish() Report {
	c.Clients.Stop()
	c.clientsRunning.Wait()
	deadline := time.Now().Add(outcomeTimeout)
	for time.Now().Before(deadline) && (c.Environment.Open() > 0 || !c.Clients.Idle()) {
		time.Sleep(finishInterval)
	}
	c.Poll.stop()
	r := Report{Clients: c.Clients.Stats()}
	r.OverBudget, r.Orders, r.MaxOut = c.Poll.evaluate()
	r.Result = c.Environment.Close()
	return r
}

// Close ends all processes of the cluster, its links and its environment, and removes its temporary files.
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
