package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
)

func errorResult(err error) Result {
	kind := KindRejected
	switch {
	case errors.Is(err, quorum.ErrNoMajority), errors.Is(err, quorum.ErrStopped):
		kind = KindNoMajority
	case errors.Is(err, ErrUnknown):
		kind = KindUnknown
	}
	return Result{Text: err.Error(), Kind: kind}
}

// operatorVerbs are the verbs that the tool may ask for.
var operatorVerbs = []rollout.Verb{rollout.SetTerms, rollout.Start, rollout.Halt, rollout.Resume, rollout.RollBack, rollout.Activate, rollout.ExcludeEndpoint, rollout.IncludeEndpoint}

func (a *Agent) execute(ctx context.Context, call Call) Result {
	command := call.Command
	if !slices.Contains(operatorVerbs, command.Verb) {
		return errorResult(fmt.Errorf("%w: %q is not for staff", rollout.ErrRejected, command.Verb))
	}
	if command.By == "" || command.Reason == "" {
		return errorResult(fmt.Errorf("%w: an author and a reason are needed", rollout.ErrRejected))
	}
	command.At = time.Now().UTC()
	if command.Verb == rollout.Start {
		var draft *rollout.Plan
		var err error
		a.awaitObservations(ctx)
		command.At = time.Now().UTC()
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			command.Seen = state.Seen(observations, command.At)
			draft, err = state.Draft(state.Index+1, command)
		})
		if err == nil && draft.Kind == rollout.Release {
			err = a.checkPlan(ctx, draft)
		}
		if err != nil {
			return errorResult(err)
		}
		if call.DryRun {
			return Result{Plan: draft}
		}
		command.At = time.Now().UTC() // the probes took a while
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			command.Seen = state.Seen(observations, command.At)
		})
	}
	if command.Verb == rollout.ExcludeEndpoint {
		command.Listed = a.fleet.endpoints()
	}
	index, err := a.propose(ctx, command)
	if err != nil {
		return errorResult(err)
	}
	answer := Result{Index: index}
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		if p := state.Plan(index); p != nil {
			answer.Plan = deepCopy(p)
		}
	})
	return answer
}

// awaitObservations waits until all senders are seen serving, or for as long as a sight holds: a new leader has heard of few at first.
func (a *Agent) awaitObservations(ctx context.Context) {
	for began := time.Now(); ; {
		all, fresh := false, time.Duration(0)
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			all, fresh = len(state.Seen(observations, time.Now())) == len(state.Members), state.Terms.Timing.Fresh
		})
		if all || time.Since(began) > fresh || !sleep(ctx, leaderInterval) {
			return
		}
	}
}
