package agent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"cleathold/internal/rollout"
)

// ErrUnknown is returned if it is unknown whether a command took effect.
var ErrUnknown = errors.New("no answer in time: it may have taken effect, look before you repeat it")

// propose proposes a command for the replicated log and waits until it is applied here. It returns the index of the
// command's entry. The error is rollout.ErrRejected from the state, an error of the quorum, or ErrUnknown.
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
	done := a.fleet.addProposal(command.ID)
	defer a.fleet.dropProposal(command.ID)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
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
