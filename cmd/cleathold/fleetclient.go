package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
)

// firstAnswer asks one agent after the other, until one answers.
func firstAnswer[T any](f *fleetCmd, request func(ctx context.Context, addr string) (T, error)) (T, error) {
	var zero T
	var failures []error
	for _, addr := range f.Agents {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(20*time.Second))
		v, err := request(ctx, addr)
		cancel()
		if err == nil {
			return v, nil
		}
		failures = append(failures, fmt.Errorf("agent at %s: %w", addr, err))
	}
	return zero, exitError{errors.Join(failures...), exitNoMajority}
}

func (f *fleetCmd) view() (agent.View, error) { return firstAnswer(f, agent.FetchView) }

// sendCommand has something done. An agent that does not answer may have done it: only one that can't be reached at all is
// passed over.
func (f *fleetCmd) sendCommand(c rollout.Command, t attribution, dry bool) (agent.Result, error) {
	c.By, c.Reason = t.author(), t.Reason
	if _, err := f.view(); err != nil {
		return agent.Result{}, err
	}
	r, err := firstAnswer(f, func(ctx context.Context, addr string) (agent.Result, error) {
		if _, err := agent.FetchView(ctx, addr); err != nil {
			return agent.Result{}, err
		}
		r, err := agent.SendCommand(ctx, addr, agent.Call{Command: c, DryRun: dry})
		if err != nil {
			r = agent.Result{Text: fmt.Sprintf("%v: %v", agent.ErrUnknown, err), Kind: agent.KindUnknown}
		}
		return r, nil
	})
	if err != nil || r.Text == "" {
		return r, err
	}
	code := map[string]int{agent.KindRejected: exitRejected, agent.KindNoMajority: exitNoMajority, agent.KindUnknown: exitUnknown}[r.Kind]
	return r, exitError{errors.New(r.Text), cmp.Or(code, 1)}
}

// watch tells a plan's progress until it needs nobody any more, or somebody.
func (f *fleetCmd) watch(out io.Writer, id uint64) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	line := ""
	for {
		v, err := f.view()
		if err != nil {
			return err
		}
		p := v.State.Plan(id)
		if p == nil {
			return exitError{fmt.Errorf("plan %d is not known any more", id), exitNotFound}
		}
		if now := planSummary(p); now != line {
			line = now
			fmt.Fprintln(out, line)
		}
		switch {
		case p.Phase == rollout.Done:
			return nil
		case p.Phase == rollout.Halted, p.Phase == rollout.Ended:
			return exitError{fmt.Errorf("plan %d is %s: %s", id, p.Phase, p.Why), exitPlanStopped}
		}
		select {
		case <-ctx.Done():
			return errors.New("not watched any more; the plan goes on")
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// attribution is who orders something and why.
type attribution struct {
	By     string `help:"Who orders it; without it your user's name."`
	Reason string `help:"Why. It is shown by 'fleet events'." required:""`
}

func (t attribution) author() string {
	if t.By == "" {
		if u, err := user.Current(); err == nil {
			return u.Username
		}
	}
	return t.By
}
