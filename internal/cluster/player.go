package cluster

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// Play plays a history with processes, and enters what it showed.
func (h *History) Play(ctx context.Context, s Setup) error {
	s.Senders, s.Agents, s.Seed, s.Links = h.Senders, h.Agents, h.Seed, true
	s.Terms = rollout.DefaultTerms
	s.Terms.Budget, s.Terms.Timing.Lease = h.Budget, cmp.Or(h.Lease, 3*time.Second)
	y, err := New(ctx, s)
	if err != nil {
		return err
	}
	defer y.Close()
	if err := y.Begin(); err != nil {
		return err
	}
	good, bad, err := writePrograms(s)
	if err != nil {
		return err
	}
	x := &player{cluster: y, history: h, good: good, bad: bad, agentBusyUntil: make([]time.Time, h.Agents), senderBusyUntil: make([]time.Time, h.Senders)}
	begun := time.Now()
	undo := []scheduledUndo{}
	for _, d := range h.Actions {
		for len(undo) > 0 && undo[0].at.Before(begun.Add(d.At)) {
			time.Sleep(time.Until(undo[0].at))
			undo[0].do()
			undo = undo[1:]
		}
		time.Sleep(time.Until(begun.Add(d.At)))
		if u := x.inject(d); u != nil {
			undo = append(undo, scheduledUndo{time.Now().Add(d.For), u})
			slices.SortStableFunc(undo, func(a, b scheduledUndo) int { return a.at.Compare(b.at) })
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	for _, u := range undo {
		time.Sleep(time.Until(u.at))
		u.do()
	}
	y.Net.Heal()
	h.Faults, h.Plans = nil, nil
	err = y.Await(60*time.Second, "all serve again, and no plan runs", func(v agent.View) bool {
		for _, p := range v.State.Plans {
			if p.Phase == rollout.Running || p.Phase == rollout.RollingBack {
				return false
			}
			for name, t := range p.Tasks {
				if t.Step == rollout.Out { // of a drain that was halted: staff have it back
					y.Order(0, rollout.Command{Verb: rollout.Activate, Plan: p.ID, Senders: []string{name}})
				}
			}
		}
		for _, name := range y.Names {
			if !v.Observations[name].Serving {
				return false
			}
		}
		return len(v.State.Grants) == 0
	})
	if err != nil {
		h.Faults = append(h.Faults, err.Error())
	}
	if v, err := y.View(max(0, y.Leader()), true); err == nil {
		for _, p := range v.State.Plans {
			h.Plans = append(h.Plans, fmt.Sprintf("%d %s %s %s", p.ID, p.Kind, p.Phase, p.Why))
		}
	}
	r := y.Finish()
	h.Orders, h.MaxOut, h.Served = r.Orders, r.MaxOut, r.Service
	for _, b := range r.OverBudget {
		h.Faults = append(h.Faults, fmt.Sprintf("over the budget at %v: %s", b.At, b.Text))
	}
	for _, b := range r.Violations {
		h.Faults = append(h.Faults, fmt.Sprintf("rule broken at %v by %d: %s: %s (%s)", b.At, b.Sender, b.Rule, b.Text, b.Message))
	}
	return nil
}

// scheduledUndo ends a fault.
type scheduledUndo struct {
	at time.Time
	do func()
}

// writePrograms writes a version that is like the one before, and one that ends at its start.
func writePrograms(s Setup) (good, bad string, err error) {
	good, bad = filepath.Join(s.Folder, "good"), filepath.Join(s.Folder, "bad")
	err = os.WriteFile(good, fmt.Appendf(nil, "#!/bin/sh\nexec %s \"$@\"\n", s.Program), 0o700)
	if err == nil {
		err = os.WriteFile(bad, fmt.Appendf(nil, "#!/bin/sh\n[ \"$1\" = serve ] && exit 3\nexec %s \"$@\"\n", s.Program), 0o700)
	}
	return good, bad, err
}

// player does a history's deeds.
type player struct {
	cluster         *Cluster
	history         *History
	good, bad       string
	released        int
	agentBusyUntil  []time.Time // an agent that is struck is left alone until then
	senderBusyUntil []time.Time // so is a sender
}

// inject does one, and returns what ends it.
func (p *player) inject(d Action) func() {
	y, names, now := p.cluster, p.cluster.AgentNames(), time.Now()
	switch d.Kind {
	case "drain":
		p.order(d.Agent, rollout.Command{Verb: rollout.Start, New: &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{d.Of}, Hold: d.For}})
	case "release":
		p.released++
		to := rollout.Version{Name: fmt.Sprint("r", p.released), Program: p.good}
		if p.released%2 == 0 { // another path is another program
			to.Program = y.Program
		}
		if !d.Good {
			to.Program = p.bad
		}
		p.order(d.Agent, rollout.Command{Verb: rollout.Start, New: &rollout.Plan{
			Kind: rollout.Release, To: to, RollBackOnFailure: d.Back, Stages: [][]string{d.Of},
			Gate: rollout.Gate{MinMessages: 3, Soak: 200 * time.Millisecond, Wait: 3 * time.Second, Slack: 0.5},
		}})
	case "halt", "back", "resume":
		v, err := y.View(d.Agent, false)
		if err != nil || len(v.State.Plans) == 0 {
			return nil
		}
		plan := v.State.Plans[len(v.State.Plans)-1]
		verb := map[string]rollout.Verb{"halt": rollout.Halt, "back": rollout.RollBack, "resume": rollout.Resume}[d.Kind]
		p.order(d.Agent, rollout.Command{Verb: verb, Plan: plan.ID, Revision: plan.Revision})
	case "kill agent", "wipe agent", "stop agent":
		if now.Before(p.agentBusyUntil[d.Agent]) {
			return nil
		}
		p.agentBusyUntil[d.Agent] = now.Add(d.For + time.Second)
		if d.Kind == "stop agent" {
			y.SignalAgent(d.Agent, syscall.SIGSTOP)
			return func() { y.SignalAgent(d.Agent, syscall.SIGCONT) }
		}
		y.SignalAgent(d.Agent, syscall.SIGKILL)
		if d.Kind == "wipe agent" {
			y.WipeAgent(d.Agent)
		}
		return func() { y.StartAgent(d.Agent) }
	case "kill sender", "term sender", "hup sender", "wipe sender", "retune sender":
		if !now.Before(p.senderBusyUntil[d.Sender]) {
			p.injectSender(d)
		}
	case "stop sender":
		pid := y.Pid(d.Sender)
		if pid == 0 || now.Before(p.senderBusyUntil[d.Sender]) {
			return nil
		}
		p.senderBusyUntil[d.Sender] = now.Add(d.For + time.Second)
		syscall.Kill(pid, syscall.SIGSTOP)
		return func() { syscall.Kill(pid, syscall.SIGCONT) }
	case "part agent":
		y.Net.Partition(names[d.Agent:d.Agent+1], names, d.State)
		return func() { y.Net.Partition(names[d.Agent:d.Agent+1], names, netfault.State{}) }
	case "agent's way", "clients' way", "discovery's way":
		other := map[string]string{"agent's way": names[d.Sender%len(names)], "clients' way": scenario.Clients, "discovery's way": scenario.Discovery}[d.Kind]
		notices := other == scenario.Discovery // what can't be told there is not due
		y.Net.SetBoth(y.Names[d.Sender], other, d.State)
		if notices {
			y.Environment.Record(audit.Event{Kind: audit.Unreachable, Sender: d.Sender})
		}
		return func() {
			y.Net.SetBoth(y.Names[d.Sender], other, netfault.State{})
			if notices {
				y.Environment.Record(audit.Event{Kind: audit.ReachableAgain, Sender: d.Sender})
			}
		}
	case "one way":
		if d.Agent != d.Other {
			y.Net.Set(names[d.Agent], names[d.Other], d.State)
			return func() { y.Net.Set(names[d.Agent], names[d.Other], netfault.State{}) }
		}
	}
	return nil
}

// injectSender does to a sender what takes no time.
func (p *player) injectSender(d Action) {
	y := p.cluster
	switch d.Kind {
	case "kill sender":
		y.SignalSender(d.Sender, syscall.SIGKILL)
	case "term sender":
		y.SignalSender(d.Sender, syscall.SIGTERM)
	case "hup sender":
		y.SignalSender(d.Sender, syscall.SIGHUP)
	case "wipe sender":
		if y.SignalSender(d.Sender, syscall.SIGKILL) {
			y.Environment.Record(audit.Event{Kind: audit.Died, Sender: d.Sender, Cause: audit.Wiped})
			os.RemoveAll(filepath.Join(filepath.Dir(y.senders[d.Sender].config), "state"))
		}
	case "retune sender":
		if err := harness.Reconfigure(y.senders[d.Sender].config, d.planned, y.plan); err != nil {
			y.Log.Warn("a sender was not given other settings", "err", err)
		}
		y.SignalSender(d.Sender, syscall.SIGHUP)
	}
}

// order asks one agent, and the next where that one is struck: whether it is done, refused or never known is part of
// the play.
func (p *player) order(first int, command rollout.Command) {
	go func() {
		for i := range p.history.Agents {
			if _, err := p.cluster.Order((first+i)%p.history.Agents, command); err == nil || strings.HasPrefix(err.Error(), agent.KindRejected) {
				return
			}
		}
	}()
}
