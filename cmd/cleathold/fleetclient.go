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
	agentTimeout  = 20 * time.Second       // for the response of one agent
	listInterval  = time.Second            // between two polls of 'fleet list --watch'
	watchInterval = 200 * time.Millisecond // between two polls of a watched plan
)

// firstAnswer calls request with the address of each agent in turn until a call succeeds. If all calls fail, it returns
// the joined errors with the code exitNoMajority.
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

// view returns the view of the fleet from the first agent that responds.
func (f *fleetCmd) view() (agent.FleetView, error) { return firstAnswer(f, agent.FetchView) }

// attribution names the author of a command and the reason for it. Both are recorded in the event log of the fleet.
type attribution struct {
	By     string `help:"Who orders it; without it your user's name."`
	Reason string `help:"Why. It is shown by 'fleet events'." required:""`
}

// author returns By, or the name of the current user if By is empty.
func (a attribution) author() string {
	if a.By == "" {
		if u, err := user.Current(); err == nil {
			return u.Username
		}
	}
	return a.By
}

// sendCommand sends a command to the first reachable agent. An agent that was reached but did not respond may have
// executed the command. Therefore only unreachable agents are skipped, and no command is sent twice. The exit code of
// an error indicates whether anything was changed.
func (f *fleetCmd) sendCommand(c rollout.Command, who attribution, dryRun bool) (agent.CommandResult, error) {
	c.By, c.Reason = who.author(), who.Reason
	if _, err := f.view(); err != nil {
		return agent.CommandResult{}, err
	}
	result, err := firstAnswer(f, func(ctx context.Context, addr string) (agent.CommandResult, error) {
		if _, err := agent.FetchView(ctx, addr); err != nil {
			return agent.CommandResult{}, err
		}
		result, err := agent.SendCommand(ctx, addr, agent.CommandRequest{Command: c, DryRun: dryRun})
		if err != nil {
			result = agent.CommandResult{Text: fmt.Sprintf("%v: %v", agent.ErrUnknown, err), Kind: agent.KindUnknown}
		}
		return result, nil
	})
	if err != nil || result.Text == "" {
		return result, err
	}
	return result, exitError{errors.New(result.Text), commandExitCode(result.Kind)}
}

// commandExitCode returns the exit code for the kind of a failed command's result.
func commandExitCode(kind string) int {
	return cmp.Or(map[string]int{
		agent.KindRejected: exitRejected, agent.KindNoMajority: exitNoMajority, agent.KindUnknown: exitUnknown,
	}[kind], 1)
}

// watch writes a plan's progress until the plan is done. If the plan is halted or was rolled back, it returns an error
// with the code exitPlanStopped.
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
			return exitError{fmt.Errorf("plan %d no longer exists", id), exitNotFound}
		}
		if summary := planSummary(plan); summary != last {
			last = summary
			fmt.Fprintln(out, summary)
		}
		switch plan.Phase {
		case rollout.Done:
			return nil
		case rollout.Halted, rollout.Ended:
			return exitError{fmt.Errorf("plan %d is %s: %s", id, plan.Phase, plan.PhaseReason), exitPlanStopped}
		}
		select {
		case <-ctx.Done():
			return errors.New("stopped watching; the plan continues")
		case <-time.After(watchInterval):
		}
	}
}
