package agent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"cleathold/internal/rollout"
)

// ErrUnknown tells that it is not known whether a command took effect.
var ErrUnknown = errors.New("no answer in time: it may have taken effect, look before you repeat it")

// propose has a command put into the log, and waits until it is applied here.
func (a *Agent) propose(ctx context.Context, command rollout.Command) (uint64, error) {
	node, err := a.quorumNode()
	if err != nil {
		return 0, err
	}
	command.ID = rand.Text()
	data, err := json.Marshal(command)
	if err != nil {
		return 0, err
	}
	done := make(chan applyResult, 1)
	a.fleet.mu.Lock()
	a.fleet.proposals[command.ID] = done
	a.fleet.mu.Unlock()
	defer func() {
		a.fleet.mu.Lock()
		delete(a.fleet.proposals, command.ID)
		a.fleet.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	if err := node.Propose(ctx, data); err != nil {
		return 0, err
	}
	select {
	case result := <-done:
		return result.index, result.err
	case <-ctx.Done():
		return 0, ErrUnknown
	}
}
