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

// View is how one agent sees the fleet: by its own means alone, or by way of the leader.
func (c *Cluster) View(i int, own bool) (agent.View, error) {
	ctx, cancel := context.WithDeadline(c.ctx, time.Now().Add(3*time.Second))
	defer cancel()
	if own {
		return agent.FetchOwnView(ctx, c.agents[i].addr)
	}
	return agent.FetchView(ctx, c.agents[i].addr)
}

// Leader is the number of the agent that leads, by the word of most; -1 while there is none.
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

// Await looks at the fleet by way of any agent until it is as wanted.
func (c *Cluster) Await(span time.Duration, what string, so func(v agent.View) bool) error {
	var last agent.View
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for i := range c.agents {
			if c.agents[i].cmd == nil {
				continue
			}
			v, err := c.View(i, false)
			if err != nil || v.Quorum == nil || !v.Quorum.Leads {
				continue
			}
			if last = v; so(v) {
				return nil
			}
		}
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
	}
	text, _ := json.Marshal(last)
	return fmt.Errorf("not within %v: %s; last seen: %.3000s", span, what, text)
}

// AwaitPlan waits until a plan is in one of some phases, and returns it.
func (c *Cluster) AwaitPlan(span time.Duration, id uint64, phases ...rollout.Phase) (p *rollout.Plan, err error) {
	err = c.Await(span, fmt.Sprintf("plan %d is %v", id, phases), func(v agent.View) bool {
		p = v.State.Plan(id)
		return p != nil && slices.Contains(phases, p.Phase)
	})
	return p, err
}

// Order has something done by way of an agent; a refusal is an error.
func (c *Cluster) Order(i int, command rollout.Command) (uint64, error) {
	r, err := c.sendOrder(i, command)
	if err == nil && r.Text != "" {
		err = fmt.Errorf("%s: %s", r.Kind, r.Text)
	}
	return r.Index, err
}

func (c *Cluster) sendOrder(i int, command rollout.Command) (agent.Result, error) {
	ctx, cancel := context.WithDeadline(c.ctx, time.Now().Add(20*time.Second))
	defer cancel()
	if command.By == "" {
		command.By = "yard"
	}
	if command.Reason == "" {
		command.Reason = "a test"
	}
	return agent.SendCommand(ctx, c.agents[i].addr, agent.Call{Command: command})
}

// OrderAny asks one agent after the other, as staff's tool does, for as long as nobody takes the order: one that was killed may not
// listen again yet, and no agent may lead. An order that may have been taken is not given twice.
func (c *Cluster) OrderAny(command rollout.Command) (uint64, error) {
	var r agent.Result
	var err error
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for i := range c.agents {
			r, err = c.sendOrder(i, command)
			var dial *net.OpError
			switch {
			case errors.As(err, &dial) && dial.Op == "dial", err == nil && r.Kind == agent.KindNoMajority:
				continue
			case err == nil && r.Text != "":
				err = fmt.Errorf("%s: %s", r.Kind, r.Text)
			}
			return r.Index, err
		}
	}
	return 0, fmt.Errorf("nobody takes an order: %s %w", r.Text, err)
}
