package agent

import (
	"context"
	"fmt"
	"os"

	"cleathold/internal/quorum"
)

// runQuorum takes part in the agreement, and opens the folder again after it has failed: a disk may be full for a while.
func (a *Agent) runQuorum(ctx context.Context) error {
	folder := quorumFolder(a.cfg.Folder)
	if err := os.MkdirAll(string(folder), 0o700); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	for ctx.Err() == nil {
		node, err := quorum.Open(quorum.Config{Name: a.cfg.Name, FS: folder, Peers: a.cfg.Peers, Machine: a.fleet, Log: a.log})
		if err == nil {
			a.setNode(node, nil)
			joined, stop := context.WithCancel(ctx)
			done := make(chan struct{})
			go func() { defer close(done); a.requestMembership(joined, node) }()
			err = node.Run(ctx)
			stop()
			<-done
		}
		a.setNode(nil, err)
		if err == nil {
			return nil
		}
		a.log.Error("no part in the agreement; senders run on", "err", err)
		if !sleep(ctx, reopenDelay) {
			return nil
		}
	}
	return nil
}

func (a *Agent) setNode(node *quorum.Node, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node, a.nodeErr = node, err
}

// quorumNode is the node, or why there is none.
func (a *Agent) quorumNode() (*quorum.Node, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.node == nil {
		return nil, fmt.Errorf("agent %s takes no part in the agreement: %w", a.cfg.Name, a.nodeErr)
	}
	return a.node, nil
}

// leadership tells whether this agent knows of a leader, and whether it is the one.
func (a *Agent) leadership() (leader string, leads bool) {
	node, err := a.quorumNode()
	if err != nil {
		return "", false
	}
	status := node.Status()
	return status.Leader, status.Leads
}

// requestMembership asks to be taken in for as long as this agent has no seat.
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
