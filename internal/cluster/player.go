package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// settleTimeout limits the time from the last action until the whole fleet serves again.
const settleTimeout = 60 * time.Second

// Play executes a history on a new cluster, and stores the results in the history.
func (h *History) Play(ctx context.Context, s Setup) error {
	s.Senders, s.Agents, s.Seed, s.Links = h.Senders, h.Agents, h.Seed, true
	s.Terms = rollout.DefaultTerms
	s.Terms.Budget, s.Terms.Timing.Lease = h.Budget, cmp.Or(h.Lease, 3*time.Second)
	c, err := New(ctx, s)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Begin(); err != nil {
		return err
	}
	working, failing, err := writePrograms(s)
	if err != nil {
		return err
	}
	p := &player{
		cluster: c, history: h, workingProgram: working, failingProgram: failing,
		agentBusyUntil: make([]time.Time, h.Agents), senderBusyUntil: make([]time.Time, h.Senders),
	}
	if err := p.executeActions(ctx); err != nil {
		return err
	}
	c.Net.Heal()
	h.Faults, h.Plans = nil, nil
	if err := p.awaitSettled(); err != nil {
		h.Faults = append(h.Faults, err.Error())
	}
	p.recordResult()
	return nil
}

// writePrograms writes two new versions of the program: one that behaves like the present one, and one whose senders
// exit at their start.
func writePrograms(s Setup) (working, failing string, err error) {
	working, failing = filepath.Join(s.Folder, "good"), filepath.Join(s.Folder, "bad")
	err = os.WriteFile(working, fmt.Appendf(nil, "#!/bin/sh\nexec %s \"$@\"\n", s.Program), 0o700)
	if err == nil {
		text := fmt.Appendf(nil, "#!/bin/sh\n[ \"$1\" = serve ] && exit 3\nexec %s \"$@\"\n", s.Program)
		err = os.WriteFile(failing, text, 0o700)
	}
	return working, failing, err
}

// A player executes the actions of a history.
type player struct {
	cluster                        *Cluster
	history                        *History
	workingProgram, failingProgram string      // paths
	releases                       int         // number of releases ordered so far
	agentBusyUntil                 []time.Time // by agent: no further fault is injected before this time
	senderBusyUntil                []time.Time // by sender: no further fault is injected before this time
}

// A scheduledUndo ends a fault.
type scheduledUndo struct {
	at   time.Time
	undo func()
}

// executeActions executes each action at its time, and ends each fault after its duration.
func (p *player) executeActions(ctx context.Context) error {
	started := time.Now()
	var undos []scheduledUndo
	for _, a := range p.history.Actions {
		for len(undos) > 0 && undos[0].at.Before(started.Add(a.At)) {
			time.Sleep(time.Until(undos[0].at))
			undos[0].undo()
			undos = undos[1:]
		}
		time.Sleep(time.Until(started.Add(a.At)))
		if undo := p.executeAction(a); undo != nil {
			undos = append(undos, scheduledUndo{time.Now().Add(a.Duration), undo})
			slices.SortStableFunc(undos, func(a, b scheduledUndo) int { return a.at.Compare(b.at) })
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	for _, u := range undos {
		time.Sleep(time.Until(u.at))
		u.undo()
	}
	return nil
}

// awaitSettled waits until all senders serve and no plan is running. It activates the senders that a halted drain has
// left out, as operators would.
func (p *player) awaitSettled() error {
	c := p.cluster
	return c.Await(settleTimeout, "all serve again, and no plan runs", func(v agent.FleetView) bool {
		for _, plan := range v.State.Plans {
			if plan.Phase == rollout.Running || plan.Phase == rollout.RollingBack {
				return false
			}
			for name, t := range plan.Tasks {
				if t.Step == rollout.Out {
					c.SendCommand(0, rollout.Command{Verb: rollout.Activate, Plan: plan.ID, Senders: []string{name}})
				}
			}
		}
		for _, name := range c.Names {
			if !v.Observations[name].Serving {
				return false
			}
		}
		return len(v.State.Grants) == 0
	})
}

// recordResult ends the cluster's traffic, and stores the results in the history.
func (p *player) recordResult() {
	c, h := p.cluster, p.history
	if v, err := c.View(max(0, c.Leader()), true); err == nil {
		for _, plan := range v.State.Plans {
			h.Plans = append(h.Plans, fmt.Sprintf("%d %s %s %s", plan.ID, plan.Kind, plan.Phase, plan.PhaseReason))
		}
	}
	r := c.Finish()
	h.Orders, h.MaxOut, h.Served = r.Orders, r.MaxOut, r.Service
	for _, b := range r.OverBudget {
		h.Faults = append(h.Faults, fmt.Sprintf("over the budget at %v: %s", b.At, b.Text))
	}
	for _, b := range r.Violations {
		h.Faults = append(h.Faults,
			fmt.Sprintf("rule broken at %v by %d: %s: %s (%s)", b.At, b.Sender, b.Rule, b.Text, b.Message))
	}
}

// executeAction executes an action, and returns a function that ends it; nil if there is nothing to end.
func (p *player) executeAction(a Action) (undo func()) {
	switch a.Kind {
	case DrainOrder:
		p.order(a.Agent, rollout.Command{Verb: rollout.Start, New: &rollout.Plan{
			Kind: rollout.Drain, Stages: [][]string{a.Senders}, Hold: a.Duration,
		}})
	case ReleaseOrder:
		p.release(a)
	case HaltOrder, RollBackOrder, ResumeOrder:
		p.controlLastPlan(a)
	case KillAgent, WipeAgent, StopAgent:
		return p.injectAgentFault(a)
	case KillSender, TermSender, HupSender, WipeSender, ReconfigureSender:
		if !time.Now().Before(p.senderBusyUntil[a.Sender]) {
			p.injectSender(a)
		}
	case StopSender:
		return p.stopSender(a)
	case PartitionAgent, AgentLink, SenderToAgent, ClientsLink, DiscoveryLink:
		return p.injectLinkFault(a)
	}
	return nil
}

// release orders a release of the working program or, if a.Works is not set, of the one whose senders exit at their
// start.
func (p *player) release(a Action) {
	p.releases++
	to := rollout.Version{Name: fmt.Sprint("r", p.releases), Program: p.workingProgram}
	if p.releases%2 == 0 { // alternates between two paths: a different path counts as a different program
		to.Program = p.cluster.Program
	}
	if !a.Works {
		to.Program = p.failingProgram
	}
	p.order(a.Agent, rollout.Command{Verb: rollout.Start, New: &rollout.Plan{
		Kind: rollout.Release, To: to, RollBackOnFailure: a.RollBackOnFailure, Stages: [][]string{a.Senders},
		Gate: rollout.Gate{MinMessages: 3, Soak: 200 * time.Millisecond, Wait: 3 * time.Second, Slack: 0.5},
	}})
}

// controlLastPlan halts, rolls back or resumes the latest plan that the agent knows.
func (p *player) controlLastPlan(a Action) {
	v, err := p.cluster.View(a.Agent, false)
	if err != nil || len(v.State.Plans) == 0 {
		return
	}
	verbs := map[ActionKind]rollout.Verb{
		HaltOrder: rollout.Halt, RollBackOrder: rollout.RollBack, ResumeOrder: rollout.Resume,
	}
	plan := v.State.Plans[len(v.State.Plans)-1]
	p.order(a.Agent, rollout.Command{Verb: verbs[a.Kind], Plan: plan.ID, Revision: plan.Revision})
}

// injectAgentFault kills or stops an agent, unless an earlier fault of the agent is not over yet.
func (p *player) injectAgentFault(a Action) (undo func()) {
	c, now := p.cluster, time.Now()
	if now.Before(p.agentBusyUntil[a.Agent]) {
		return nil
	}
	p.agentBusyUntil[a.Agent] = now.Add(a.Duration + time.Second)
	if a.Kind == StopAgent {
		c.SignalAgent(a.Agent, syscall.SIGSTOP)
		return func() { c.SignalAgent(a.Agent, syscall.SIGCONT) }
	}
	c.SignalAgent(a.Agent, syscall.SIGKILL)
	if a.Kind == WipeAgent {
		c.WipeAgent(a.Agent)
	}
	return func() { c.StartAgent(a.Agent) }
}

// stopSender stops the serving process of a sender, unless an earlier fault of the sender is not over yet.
func (p *player) stopSender(a Action) (undo func()) {
	now := time.Now()
	pid := p.cluster.Pid(a.Sender)
	if pid == 0 || now.Before(p.senderBusyUntil[a.Sender]) {
		return nil
	}
	p.senderBusyUntil[a.Sender] = now.Add(a.Duration + time.Second)
	syscall.Kill(pid, syscall.SIGSTOP)
	return func() { syscall.Kill(pid, syscall.SIGCONT) }
}

// injectLinkFault sets the state of the links of an agent or a sender.
func (p *player) injectLinkFault(a Action) (undo func()) {
	links, agents := p.cluster.Net, p.cluster.AgentNames()
	switch a.Kind {
	case PartitionAgent:
		links.Partition(agents[a.Agent:a.Agent+1], agents, a.State)
		return func() { links.Partition(agents[a.Agent:a.Agent+1], agents, netfault.State{}) }
	case AgentLink:
		if a.Agent == a.Other {
			return nil
		}
		links.Set(agents[a.Agent], agents[a.Other], a.State)
		return func() { links.Set(agents[a.Agent], agents[a.Other], netfault.State{}) }
	}
	sender := p.cluster.Names[a.Sender]
	switch a.Kind {
	case SenderToAgent:
		return p.setSenderLink(a, sender, agents[a.Sender%len(agents)])
	case ClientsLink:
		return p.setSenderLink(a, sender, scenario.Clients)
	}
	// Delivery reports cannot arrive while the link is faulty. The recorded event makes the auditor stop expecting
	// them.
	heal := p.setSenderLink(a, sender, scenario.Discovery)
	environment := p.cluster.Environment
	environment.Record(audit.Event{Kind: audit.Unreachable, Sender: a.Sender})
	return func() {
		heal()
		environment.Record(audit.Event{Kind: audit.ReachableAgain, Sender: a.Sender})
	}
}

func (p *player) setSenderLink(a Action, sender, other string) (undo func()) {
	p.cluster.Net.SetBoth(sender, other, a.State)
	return func() { p.cluster.Net.SetBoth(sender, other, netfault.State{}) }
}

// injectSender executes an instantaneous action on a sender.
func (p *player) injectSender(a Action) {
	c := p.cluster
	switch a.Kind {
	case KillSender:
		c.SignalSender(a.Sender, syscall.SIGKILL)
	case TermSender:
		c.SignalSender(a.Sender, syscall.SIGTERM)
	case HupSender:
		c.SignalSender(a.Sender, syscall.SIGHUP)
	case WipeSender:
		if c.SignalSender(a.Sender, syscall.SIGKILL) {
			c.Environment.Record(audit.Event{Kind: audit.ProcessEnded, Sender: a.Sender, Cause: audit.StateLost})
			os.RemoveAll(filepath.Join(filepath.Dir(c.senders[a.Sender].config), "state"))
		}
	case ReconfigureSender:
		if err := harness.Reconfigure(c.senders[a.Sender].config, a.planned, c.plan); err != nil {
			c.Log.Warn("reconfiguration failed", "sender", a.Sender, "err", err)
		}
		c.SignalSender(a.Sender, syscall.SIGHUP)
	}
}

// order sends an order to one agent, and to the next agents until one executes or rejects it. It does not wait for the
// result: an order may be executed, be rejected or remain unanswered, and none of this is a fault.
func (p *player) order(first int, command rollout.Command) {
	go func() {
		for i := range p.history.Agents {
			_, err := p.cluster.SendCommand((first+i)%p.history.Agents, command)
			var failed *OrderError
			if err == nil || errors.As(err, &failed) && failed.Kind == agent.KindRejected {
				return
			}
		}
	}()
}
