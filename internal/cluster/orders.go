package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
)

const (
	viewTimeout   = 3 * time.Second
	orderTimeout  = 20 * time.Second
	awaitInterval = 20 * time.Millisecond // between two requests for the fleet's state
	orderInterval = 50 * time.Millisecond // before an order is sent to the agents again
)

// View returns an agent's view of the fleet: only from its own information if own is set, otherwise from the leader's.
func (c *Cluster) View(i int, own bool) (agent.FleetView, error) {
	ctx, cancel := context.WithTimeout(c.ctx, viewTimeout)
	defer cancel()
	if own {
		return agent.FetchOwnView(ctx, c.agents[i].addr)
	}
	return agent.FetchView(ctx, c.agents[i].addr)
}

// Leader returns the number of the agent that reports to be the leader. If several agents do, it returns the one with
// the latest term; if none does, it returns -1.
func (c *Cluster) Leader() int {
	terms := map[int]uint64{}
	for i, a := range c.agents {
		if a.cmd == nil {
			continue
		}
		if v, err := c.View(i, true); err == nil && v.Quorum != nil && v.Quorum.Leads {
			terms[i] = v.Quorum.Term
		}
	}
	best := -1
	for i, term := range terms {
		if best < 0 || term > terms[best] {
			best = i
		}
	}
	return best
}

// Await polls the leader's view of the fleet, through any agent, until a condition holds. If it times out, the error
// contains the description of the condition and the last view.
func (c *Cluster) Await(timeout time.Duration, description string, condition func(v agent.FleetView) bool) error {
	var lastView agent.FleetView
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(awaitInterval) {
		for i := range c.agents {
			if c.agents[i].cmd == nil {
				continue
			}
			v, err := c.View(i, false)
			if err != nil || v.Quorum == nil || !v.Quorum.Leads {
				continue
			}
			if lastView = v; condition(v) {
				return nil
			}
		}
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
	}
	text, _ := json.Marshal(lastView)
	return fmt.Errorf("not within %v: %s; last seen: %.3000s", timeout, description, text)
}

// AwaitPlan waits until a plan is in one of the given phases, and returns the plan.
func (c *Cluster) AwaitPlan(timeout time.Duration, id uint64, phases ...rollout.Phase) (p *rollout.Plan, err error) {
	err = c.Await(timeout, fmt.Sprintf("plan %d is %v", id, phases), func(v agent.FleetView) bool {
		p = v.State.Plan(id)
		return p != nil && slices.Contains(phases, p.Phase)
	})
	return p, err
}

// An OrderError reports that an agent answered an order and, as far as the agent knows, the order was not executed.
type OrderError struct {
	Kind string // one of the error kinds of package agent, such as agent.KindRejected
	Text string
}

// Error returns the kind and the agent's text.
func (e *OrderError) Error() string { return e.Kind + ": " + e.Text }

// orderError returns the error in an agent's answer to an order; nil if the order was executed.
func orderError(r agent.CommandResult) error {
	if r.Text == "" {
		return nil
	}
	return &OrderError{Kind: r.Kind, Text: r.Text}
}

// SendCommand sends an order to one agent, and returns the order's index in the fleet's log. If the agent answers that
// the order was not executed, the error is an *OrderError.
func (c *Cluster) SendCommand(i int, command rollout.Command) (uint64, error) {
	r, err := c.sendOrder(i, command)
	if err == nil {
		err = orderError(r)
	}
	return r.Index, err
}

func (c *Cluster) sendOrder(i int, command rollout.Command) (agent.CommandResult, error) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	if command.By == "" {
		command.By = "yard"
	}
	if command.Reason == "" {
		command.Reason = "a test"
	}
	return agent.SendCommand(ctx, c.agents[i].addr, agent.CommandRequest{Command: command})
}

// OrderAny sends an order to one agent after the other until one accepts it, as the fleet command does. It retries for
// up to orderTimeout, since a killed agent may not listen again yet and there may be no leader. An order that may have
// been executed is not sent again.
func (c *Cluster) OrderAny(command rollout.Command) (uint64, error) {
	var r agent.CommandResult
	var err error
	for until := time.Now().Add(orderTimeout); time.Now().Before(until); time.Sleep(orderInterval) {
		for i := range c.agents {
			r, err = c.sendOrder(i, command)
			var opErr *net.OpError
			if errors.As(err, &opErr) && opErr.Op == "dial" || err == nil && r.Kind == agent.KindNoMajority {
				continue
			}
			if err == nil {
				err = orderError(r)
			}
			return r.Index, err
		}
	}
	return 0, fmt.Errorf("nobody takes an order: %s %w", r.Text, err)
}
