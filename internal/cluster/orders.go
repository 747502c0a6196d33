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
	awaitInterval = 20 * time.Millisecond // between two looks at the fleet
	orderInterval = 50 * time.Millisecond // before the agents are asked again
)

// View returns how one agent sees the fleet: by its own means alone, or by way of the leader.
func (c *Cluster) View(i int, own bool) (agent.View, error) {
	ctx, cancel := context.WithTimeout(c.ctx, viewTimeout)
	defer cancel()
	if own {
		return agent.FetchOwnView(ctx, c.agents[i].addr)
	}
	return agent.FetchView(ctx, c.agents[i].addr)
}

// Leader returns the number of the agent that says it leads, with the latest term if several do; -1 if none does.
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

// Await looks at the fleet by way of any agent until a condition holds. Its error names what was awaited and the last
// view.
func (c *Cluster) Await(timeout time.Duration, description string, condition func(v agent.View) bool) error {
	var lastView agent.View
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

// AwaitPlan waits until a plan is in one of some phases, and returns it.
func (c *Cluster) AwaitPlan(timeout time.Duration, id uint64, phases ...rollout.Phase) (p *rollout.Plan, err error) {
	err = c.Await(timeout, fmt.Sprintf("plan %d is %v", id, phases), func(v agent.View) bool {
		p = v.State.Plan(id)
		return p != nil && slices.Contains(phases, p.Phase)
	})
	return p, err
}

// An OrderError is an order that an agent answered and did not carry out, as far as it knows.
type OrderError struct {
	Kind string // one of the kinds of package agent, such as agent.KindRejected
	Text string
}

// Error returns the kind and the agent's text.
func (e *OrderError) Error() string { return e.Kind + ": " + e.Text }

// orderError returns the error of an order that an agent answered; nil if it was carried out.
func orderError(r agent.Result) error {
	if r.Text == "" {
		return nil
	}
	return &OrderError{Kind: r.Kind, Text: r.Text}
}

// Order gives an order by way of one agent, and returns its index in the fleet's log. An order that the agent
// answered and that was not carried out is an *OrderError.
func (c *Cluster) Order(i int, command rollout.Command) (uint64, error) {
	r, err := c.sendOrder(i, command)
	if err == nil {
		err = orderError(r)
	}
	return r.Index, err
}

func (c *Cluster) sendOrder(i int, command rollout.Command) (agent.Result, error) {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	if command.By == "" {
		command.By = "yard"
	}
	if command.Reason == "" {
		command.Reason = "a test"
	}
	return agent.SendCommand(ctx, c.agents[i].addr, agent.Call{Command: command})
}

// OrderAny asks one agent after the other, as the tool of staff does, for as long as none takes the order: one that was
// killed may not listen again yet, and no agent may lead. An order that may have been carried out is not given twice.
func (c *Cluster) OrderAny(command rollout.Command) (uint64, error) {
	var r agent.Result
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
