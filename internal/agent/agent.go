// Package agent implements the agent that runs on each machine with senders. It starts and supervises the senders'
// processes, restarts those that crash, and drains the senders and changes their versions as agreed by the fleet's
// agents.
//
// The package owns the processes, the log files and the records of its senders, the agent's HTTP API, and the loops
// that replicate and lead the fleet's rollouts. It makes no rollout decisions itself: internal/rollout makes them, and
// internal/quorum replicates the log. An agent never takes a sender out of service on its own initiative: it passes
// grants on, and the sender checks whether a grant is still in force (internal/lease).
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"cleathold/internal/httpconn"
	"cleathold/internal/quorum"
)

const (
	pollInterval   = 200 * time.Millisecond // between polls of a sender, and between reports to the leader
	leaderInterval = 50 * time.Millisecond  // between the leader's checks for commands to propose
	callTimeout    = time.Second            // for a call to a sender or to another agent
	commandTimeout = 5 * time.Second        // the outcome of a proposal that is not applied in this time is unknown
	reopenDelay    = time.Second            // between a failure of the quorum's node and its reopening
)

// Agent supervises the senders of one machine and takes part in the fleet's quorum.
type Agent struct {
	cfg         Config
	log         *slog.Logger
	fleet       *fleetState
	supervisors []*supervisor
	http        *http.Client // for calls to other agents
	traffic     trafficCounters

	mu      sync.Mutex
	node    *quorum.Node // nil while no node runs, for example while the quorum's folder is unusable
	nodeErr error        // why node is nil
}

// New returns an agent for a configuration. It creates the agent's folder and reads the records of its senders. It
// starts neither processes nor goroutines; Run does.
func New(cfg Config) (*Agent, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		cfg: cfg, log: cfg.Log, fleet: newFleetState(), nodeErr: errors.New("starting"),
		http: httpconn.NewClient(),
	}
	for _, sender := range cfg.Senders {
		s, err := newSupervisor(a, sender)
		if err != nil {
			return nil, err
		}
		a.supervisors = append(a.supervisors, s)
	}
	return a, nil
}

// Run serves the agent's address and runs its loops until the context ends. It returns an error if it can't listen or
// can't create the quorum's folder. The senders' processes keep running after it returns.
func (a *Agent) Run(ctx context.Context) error {
	server, err := a.listen()
	if err != nil {
		return err
	}
	defer server.Close()
	go server.Serve()
	var wg sync.WaitGroup
	for _, s := range a.supervisors {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Go(func() { a.runReports(ctx) })
	wg.Go(func() { a.runLeader(ctx) })
	wg.Go(func() { newRemoteObserver(a).run(ctx) })
	a.log.Info("agent started", "agent", a.cfg.Name, "listen", a.cfg.Listen, "senders", len(a.supervisors))
	err = a.runQuorum(ctx)
	wg.Wait()
	return err
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
