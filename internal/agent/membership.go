package agent

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"cleathold/internal/quorum"
	"cleathold/internal/store"
)

// Bootstrap creates the quorum's folder of one of the fleet's initial agents, with all of cfg.Peers as members. An
// agent that joins later starts with an empty folder instead.
func Bootstrap(cfg Config) error {
	folder, err := makeQuorumFolder(cfg.Folder)
	if err != nil {
		return err
	}
	return quorum.Bootstrap(folder, cfg.Name, slices.Sorted(maps.Keys(cfg.Peers)))
}

// makeQuorumFolder creates the quorum's folder in the agent's folder, unless it exists.
func makeQuorumFolder(folder string) (store.Dir, error) {
	path := filepath.Join(folder, "log")
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", fmt.Errorf("agent: %w", err)
	}
	return store.Dir(path), nil
}

// runQuorum runs the quorum's node until the context ends. It reopens a node that has failed, since the cause may be
// temporary, such as a full disk. The senders keep running meanwhile.
func (a *Agent) runQuorum(ctx context.Context) error {
	folder, err := makeQuorumFolder(a.cfg.Folder)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		err := a.runNode(ctx, folder)
		a.setNode(nil, err)
		if err == nil {
			return nil
		}
		a.log.Error("quorum node failed", "err", err)
		if !sleep(ctx, reopenDelay) {
			return nil
		}
	}
	return nil
}

// runNode opens the quorum's node and runs it until it fails or the context ends.
func (a *Agent) runNode(ctx context.Context, folder store.Dir) error {
	node, err := quorum.Open(quorum.Config{
		Name: a.cfg.Name, FS: folder, Peers: a.cfg.Peers, Machine: a.fleet, Log: a.log,
	})
	if err != nil {
		return err
	}
	a.setNode(node, nil)
	joinCtx, stop := context.WithCancel(ctx)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		a.requestMembership(joinCtx, node)
	}()
	err = node.Run(ctx)
	stop()
	<-joined
	return err
}

func (a *Agent) setNode(node *quorum.Node, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node, a.nodeErr = node, err
}

// quorumNode returns the running node, or the error because of which there is none.
func (a *Agent) quorumNode() (*quorum.Node, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.node == nil {
		return nil, fmt.Errorf("agent %s takes no part in the agreement: %w", a.cfg.Name, a.nodeErr)
	}
	return a.node, nil
}

// leadership returns the name of the leading agent, which is empty if unknown, and whether that is this agent.
func (a *Agent) leadership() (leader string, leads bool) {
	node, err := a.quorumNode()
	if err != nil {
		return "", false
	}
	status := node.Status()
	return status.Leader, status.Leads
}

// requestMembership asks the other agents to add this agent to the quorum, until it is a voter.
func (a *Agent) requestMembership(ctx context.Context, node *quorum.Node) {
	for sleep(ctx, reopenDelay) {
		status := node.Status()
		if status.Voter {
			return
		}
		for name, addr := range a.cfg.Peers {
			if name != a.cfg.Name {
				a.call(ctx, addr, joinPath, status.Member, nil)
			}
		}
	}
}
