// Package agent runs beside the senders of one machine. It starts and supervises their processes, restarts those that
// crash, and drains them and changes their versions as the agents of the fleet have agreed.
//
// The package owns the processes, the log files and the records of its senders, the agent's HTTP API, and the loops
// that replicate and lead the fleet's rollouts. It decides none of them: internal/rollout holds the decisions, and
// internal/quorum the replicated log. An agent orders nothing of a sender on its own account: it passes on grants,
// and the sender itself checks whether a grant is still in force (internal/lease).
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

	"cleathold/internal/quorum"
)

const (
	pollInterval   = 200 * time.Millisecond // between two polls of a sender, and between two reports to the leader
	leaderInterval = 50 * time.Millisecond  // between two looks of the leader for commands to propose
	callTimeout    = time.Second            // of a call to a sender or to another agent
	commandTimeout = 5 * time.Second        // a proposal that is not applied within this has an unknown outcome
	reopenDelay    = time.Second            // before the quorum's folder is opened again after a failure
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
	node    *quorum.Node // nil while the quorum's folder can't be used
	nodeErr error        // why node is nil
}

// New returns an agent for a configuration. It makes the agent's folder and reads the records of its senders; nothing
// runs before Run.
func New(cfg Config) (*Agent, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		cfg: cfg, log: cfg.Log, fleet: newFleetState(), nodeErr: errors.New("starting"),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Second}},
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

// Run serves the agent's address and runs its loops until the context ends or the quorum's folder can't be made. The
// senders' processes go on without it.
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

// sleep waits for d. It reports false if the context ended first.
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
