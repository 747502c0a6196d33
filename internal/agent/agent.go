// Package agent is the program that runs beside the senders of a machine: it starts and watches them, restarts those
// that crash, and has them drain and change as the agents have agreed (internal/rollout, internal/quorum). What
// it may do to a sender it is told by grants alone, which the sender checks by itself (internal/lease).
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"cleathold/internal/quorum"
	"cleathold/internal/store"
)

// Times of an agent.
const (
	pollInterval   = 200 * time.Millisecond // between two looks at a sender, and between two tellings of them
	leaderInterval = 50 * time.Millisecond  // between two looks of the leader at what comes next
	callTimeout    = time.Second            // a call to a sender or an agent may take so long
	commandTimeout = 5 * time.Second        // a command is in the log within this, or its fate is not known
	reopenDelay    = time.Second            // after the folder failed
)

// Agent is one of them.
type Agent struct {
	cfg         Config
	log         *slog.Logger
	fleet       *fleetState
	supervisors []*supervisor
	http        *http.Client // for calls to other agents
	traffic     trafficCounters

	mu      sync.Mutex
	node    *quorum.Node // nil while its folder can't be used
	nodeErr error        // then
}

// endpointListWindow is how long what an agent told of endpoints holds.
const endpointListWindow = 10 * time.Second

const maxAgents = 64

// New makes an agent. Nothing runs yet.
func New(cfg Config) (*Agent, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		cfg: cfg, log: cfg.Log, fleet: newFleetState(cfg.Name), nodeErr: errors.New("starting"),
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

func quorumFolder(folder string) store.Dir { return store.Dir(filepath.Join(folder, "log")) }

// Bootstrap makes the folder of one of the first agents.
func Bootstrap(cfg Config) error {
	folder := quorumFolder(cfg.Folder)
	if err := os.MkdirAll(string(folder), 0o700); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return quorum.Bootstrap(folder, cfg.Name, slices.Sorted(maps.Keys(cfg.Peers)))
}

// Run runs until the context ends. The senders run on.
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
	wg.Go(func() { a.observeRemoteSenders(ctx) })
	a.log.Info("agent runs", "name", a.cfg.Name, "listen", a.cfg.Listen, "senders", len(a.supervisors))
	err = a.runQuorum(ctx)
	wg.Wait()
	return err
}

// sleep waits for a span; false at the end of the context.
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
