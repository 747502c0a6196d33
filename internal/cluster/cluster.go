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
	defaultLength  = 10 * time.Minute // longer than any test; Finish ends the traffic
	serveTimeout   = 60 * time.Second // from the start of the agents until all senders serve
	outcomeTimeout = 40 * time.Second // from the last submission until all messages have an outcome
	finishInterval = 20 * time.Millisecond
)

// Setup contains the parameters of a cluster.
type Setup struct {
	Program string   // path of the program of senders and agents
	Env     []string // environment variables added for both
	Folder  string
	Senders int
	Agents  int
	Rate    float64       // messages per second over all senders; 0 = no traffic
	Length  time.Duration // duration of the traffic; 0 = until Finish
	Seed    uint64
	Terms   rollout.Terms
	Restart bool           // versions are changed by a restart instead of a hand-over
	Script  string         // appended to the scenario script, such as faults of endpoints
	Plan    *scenario.Plan // replaces the plan of defaultScenario; Rate and Script are ignored then
	Links   bool           // connections to senders and to discovery use proxied links; those between agents always do
	Log     *slog.Logger   // nil = no logging
}

// Cluster is a running fleet. Senders and agents are identified by their numbers.
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
	lastCalls map[string]time.Time // time of the latest call, by endpoint
	requested int                  // messages requested by clients
	executed  int                  // messages that took effect
}

// Building returns the building, or zone, of a sender.
func (c *Cluster) Building(i int) string {
	zones := c.plan.Scenario.Zones
	return zones[i%len(zones)]
}

// New prepares the folders, links and endpoints of a cluster without starting processes. The caller must call Close.
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

// recordEvent updates the counts of messages and the times of calls. It is the sink of the environment's events.
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

// deliveryCounts returns the number of messages that clients requested, and how many of them took effect.
func (c *Cluster) deliveryCounts() (requested, executed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requested, c.executed
}

// LastCall returns the time of the latest call to an endpoint; zero if there was none.
func (c *Cluster) LastCall(endpoint string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCalls[endpoint]
}

// Begin starts all agents, waits until the agents report that all senders serve, and starts the clients.
func (c *Cluster) Begin() error {
	for i := range c.agents {
		if err := c.StartAgent(i); err != nil {
			return err
		}
	}
	err := c.Await(serveTimeout, "all senders serve", func(v agent.FleetView) bool {
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

// Report is the result of a cluster's run.
type Report struct {
	simulation.Result
	OverBudget []BudgetExceeded // violations of the budget
	Clients    harness.ClientStats
	Orders     int // number of times that a sender was taken out by an order, according to health checks
	MaxOut     int // maximum number of senders that were out by order at the same time
}

// Finish ends the traffic, waits until all messages have an outcome, and returns the result of all checks.
func (c *Cluster) Finish() Report {
	c.Clients.Stop()
	c.clientsRunning.Wait()
	deadline := time.Now().Add(outcomeTimeout)
	for time.Now().Before(deadline) && (c.Environment.OpenCount() > 0 || !c.Clients.Idle()) {
		time.Sleep(finishInterval)
	}
	c.Poll.stop()
	r := Report{Clients: c.Clients.Stats()}
	r.OverBudget, r.Orders, r.MaxOut = c.Poll.evaluate()
	r.Result = c.Environment.Close()
	return r
}

// Close kills all processes of the cluster, closes its links and its environment, and removes its temporary files.
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
