package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os/user"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
)

const (
	agentTimeout  = 20 * time.Second       // for one agent's answer
	listInterval  = time.Second            // between two views of 'fleet list --watch'
	watchInterval = 200 * time.Millisecond // between two views of a plan that is watched
)

// firstAnswer calls request with the address of one agent after the other until one succeeds. If none does, the error
// joins those of all agents and has the code exitNoMajority.
func firstAnswer[T any](f *fleetCmd, request func(ctx context.Context, addr string) (T, error)) (T, error) {
	var zero T
	var failures []error
	for _, addr := range f.Agents {
		ctx, cancel := context.WithTimeout(context.Background(), agentTimeout)
		answer, err := request(ctx, addr)
		cancel()
		if err == nil {
			return answer, nil
		}
		failures = append(failures, fmt.Errorf("agent at %s: %w", addr, err))
	}
	return zero, exitError{errors.Join(failures...), exitNoMajority}
}

// view returns the fleet as the first agent that answers sees it.
func (f *fleetCmd) view() (agent.View, error) { return firstAnswer(f, agent.FetchView) }

// attribution is who orders something and why, as the log of events records it.
type attribution struct {
	By     string `help:"Who orders it; without it your user's name."`
	Reason string `help:"Why. It is shown by 'fleet events'." required:""`
}

// author returns By, or else the name of the user who runs the program.
func (a attribution) author() string {
	if a.By == "" {
		if u, err := user.Current(); err == nil {
			return u.Username
		}
	}
	return a.By
}

// sendCommand sends a command to the agents. An agent that was reached but did not answer may have executed it; so only
// agents that can't be reached at all are passed over, and no command is sent twice. An error's exit code tells whether
// anything was changed.
func (f *fleetCmd) sendCommand(c rollout.Command, who attribution, dryRun bool) (agent.Result, error) {
	c.By, c.Reason = who.author(), who.Reason
	if _, err := f.view(); err != nil {
		return agent.Result{}, err
	}
	result, err := firstAnswer(f, func(ctx context.Context, addr string) (agent.Result, error) {
		if _, err := agent.FetchView(ctx, addr); err != nil {
			return agent.Result{}, err
		}
		result, err := agent.SendCommand(ctx, addr, agent.Call{Command: c, DryRun: dryRun})
		if err != nil {
			result = agent.Result{Text: fmt.Sprintf("%v: %v", agent.ErrUnknown, err), Kind: agent.KindUnknown}
		}
		return result, nil
	})
	if err != nil || result.Text == "" {
		return result, err
	}
	return result, exitError{errors.New(result.Text), commandExitCode(result.Kind)}
}

// commandExitCode returns the exit code of a command that failed with a kind of result.
func commandExitCode(kind string) int {
	return cmp.Or(map[string]int{
		agent.KindRejected: exitRejected, agent.KindNoMajority: exitNoMajority, agent.KindUnknown: exitUnknown,
	}[kind], 1)
}

// watch writes a plan's progress until it is done, or until an operator has to see to it: then the error has the code
// exitPlanStopped.
func (f *fleetCmd) watch(out io.Writer, id uint64) error {
	ctx, stop := interruptible()
	defer stop()
	last := ""
	for {
		view, err := f.view()
		if err != nil {
			return err
		}
		plan := view.State.Plan(id)
		if plan == nil {
			return exitError{fmt.Errorf("plan %d is not known any more", id), exitNotFound}
		}
		if summary := planSummary(plan); summary != last {
			last = summary
			fmt.Fprintln(out, summary)
		}
		switch plan.Phase {
		case rollout.Done:
			return nil
		case rollout.Halted, rollout.Ended:
			return exitError{fmt.Errorf("plan %d is %s: %s", id, plan.Phase, plan.Why), exitPlanStopped}
		}
		select {
		case <-ctx.Done():
			return errors.New("not watched any more; the plan goes on")
		case <-time.After(watchInterval):
		}
	}
}
