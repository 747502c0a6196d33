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

// operatorVerbs are the verbs that the command line may send. Only agents propose the others.
var operatorVerbs = []rollout.Verb{
	rollout.SetTerms, rollout.Start, rollout.Halt, rollout.Resume, rollout.RollBack, rollout.Activate,
	rollout.ExcludeEndpoint, rollout.IncludeEndpoint,
}

// errorResult returns the CommandResult for an error.
func errorResult(err error) CommandResult {
	kind := KindRejected
	switch {
	case errors.Is(err, quorum.ErrNoMajority), errors.Is(err, quorum.ErrStopped):
		kind = KindNoMajority
	case errors.Is(err, ErrUnknown):
		kind = KindUnknown
	}
	return CommandResult{Text: err.Error(), Kind: kind}
}

// submit forwards a command to the leader, since only the leader has the observations of all senders. It executes the
// command here if this agent leads or if another agent has forwarded the command.
func (a *Agent) submit(ctx context.Context, call CommandRequest, forwarded bool) CommandResult {
	leader, leads := a.leadership()
	if leader == "" {
		return errorResult(quorum.ErrNoMajority)
	}
	for !leads && !forwarded {
		result, leaderLost := a.forwardCommand(ctx, leader, call)
		if !leaderLost || call.Command.Verb != rollout.Halt {
			return result
		}
		// The leader was lost, and its response with it. A Halt is sent to the next leader, too: it must take effect
		// before more senders go out, and a second one does no harm.
		if leader, leads = a.awaitLeader(ctx); leader == "" {
			return errorResult(quorum.ErrNoMajority)
		}
	}
	return a.execute(ctx, call)
}

// forwardCommand sends a command to the leader. leaderLost reports whether the call failed because that agent no longer
// leads.
func (a *Agent) forwardCommand(ctx context.Context, leader string, call CommandRequest) (result CommandResult,
	leaderLost bool) {
	leaderCtx, stop := a.whileLeads(ctx, leader)
	defer stop()
	err := a.callWithin(leaderCtx, serverTimeout, a.cfg.Peers[leader], commandPath, call, &result)
	if err == nil {
		return result, false
	}
	leaderLost = leaderCtx.Err() != nil && ctx.Err() == nil
	return errorResult(fmt.Errorf("%w (the leading agent %s: %w)", ErrUnknown, leader, err)), leaderLost
}

// whileLeads returns a context that ends with its parent, or when the given agent is no longer the leader. Such an
// agent may never respond.
func (a *Agent) whileLeads(parent context.Context, leader string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(parent)
	go func() {
		defer stop()
		for sleep(ctx, leaderInterval) {
			if now, leads := a.leadership(); now != leader || leads {
				return
			}
		}
	}()
	return ctx, stop
}

// awaitLeader waits until a leader is known, for commandTimeout at most.
func (a *Agent) awaitLeader(ctx context.Context) (leader string, leads bool) {
	deadline := time.Now().Add(commandTimeout)
	leader, leads = a.leadership()
	for leader == "" && time.Now().Before(deadline) && sleep(ctx, leaderInterval) {
		leader, leads = a.leadership()
	}
	return leader, leads
}

// execute checks a command, adds this agent's observations and endpoints where the verb needs them, and proposes it.
func (a *Agent) execute(ctx context.Context, call CommandRequest) CommandResult {
	command := call.Command
	if !slices.Contains(operatorVerbs, command.Verb) {
		return errorResult(fmt.Errorf("%w: %q is not for staff", rollout.ErrRejected, command.Verb))
	}
	if command.By == "" || command.Reason == "" {
		return errorResult(fmt.Errorf("%w: an author and a reason are needed", rollout.ErrRejected))
	}
	command.At = time.Now().UTC()
	if command.Verb == rollout.Start {
		draft, err := a.draftPlan(ctx, command)
		if err != nil {
			return errorResult(err)
		}
		if call.DryRun {
			return CommandResult{Plan: draft}
		}
		command.At = time.Now().UTC() // again, since the checks of the draft take time
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			command.ServingSenders = state.ServingSenders(observations, command.At)
		})
	}
	if command.Verb == rollout.ExcludeEndpoint {
		command.Listed = a.fleet.endpoints()
	}
	index, err := a.propose(ctx, command)
	if err != nil {
		return errorResult(err)
	}
	result := CommandResult{Index: index}
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		if plan := state.Plan(index); plan != nil {
			result.Plan = deepCopy(plan)
		}
	})
	return result
}

// draftPlan returns the plan that a rollout.Start would start. For a release it checks first whether the senders can
// run the version.
func (a *Agent) draftPlan(ctx context.Context, command rollout.Command) (*rollout.Plan, error) {
	a.awaitObservations(ctx)
	var draft *rollout.Plan
	var err error
	command.At = time.Now().UTC()
	a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
		command.ServingSenders = state.ServingSenders(observations, command.At)
		draft, err = state.Draft(state.Index+1, command)
	})
	if err == nil && draft.Kind == rollout.Release {
		err = a.checkPlan(ctx, draft)
	}
	return draft, err
}

// awaitObservations waits until all senders are observed to serve, for Timing.MaxObservationAge at most. A new leader
// has received few reports at first.
func (a *Agent) awaitObservations(ctx context.Context) {
	for startedAt := time.Now(); ; {
		allServing, fresh := false, time.Duration(0)
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			allServing = len(state.ServingSenders(observations, time.Now())) == len(state.Members)
			fresh = state.Terms.Timing.MaxObservationAge
		})
		if allServing || time.Since(startedAt) > fresh || !sleep(ctx, leaderInterval) {
			return
		}
	}
}
