package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// Action is one thing that befalls a fleet, or that staff order, in a campaign.
type Action struct {
	At     time.Duration  `json:"at"`
	Kind   string         `json:"what"` // see do
	Agent  int            `json:"agent,omitempty"`
	Other  int            `json:"other,omitempty"`
	Sender int            `json:"sender,omitempty"`
	Of     []string       `json:"of,omitempty"`
	For    time.Duration  `json:"for,omitempty"`
	State  netfault.State `json:"state,omitzero"`
	Good   bool           `json:"good,omitempty"`
	Back   bool           `json:"back,omitempty"`

	planned scenario.PlannedAction // of a scenario
}

// History is a campaign's script for one seed, and what came of it. As a file it plays again.
type History struct {
	Seed    uint64         `json:"seed"`
	Senders int            `json:"senders"`
	Agents  int            `json:"agents"`
	Length  time.Duration  `json:"length"`
	Budget  rollout.Budget `json:"Budget"`
	Lease   time.Duration  `json:"lease,omitempty"` // 0 = 3 s
	Actions []Action       `json:"deeds"`
	Faults  []string       `json:"faults,omitempty"` // what was broken
	Orders  int            `json:"orders"`           // times that a sender went out by order, as seen from outside
	MaxOut  int            `json:"most"`             // out by order at once
	Plans   []string       `json:"plans,omitempty"`
	Served  float64        `json:"served"`
}

// Draw draws a history: drains and releases, and faults beside them until its length is over.
func Draw(seed uint64, senders, agents int, length time.Duration) *History {
	rng := rand.New(rand.NewPCG(seed, 77))
	h := &History{Seed: seed, Senders: senders, Agents: agents, Length: length, Budget: rollout.Budget{Fleet: 1 + rng.IntN(3)}}
	if rng.IntN(2) == 0 {
		h.Budget.Building = max(1, h.Budget.Fleet-1)
	}
	span := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	add := func(d Action) {
		d.At = min(d.At, length)
		h.Actions = append(h.Actions, d)
	}
	for at := span(0, time.Second); at < length; at += span(length/15, length/6) {
		d := Action{At: at, Kind: "drain", Agent: rng.IntN(agents), For: span(100*time.Millisecond, 900*time.Millisecond)}
		for _, i := range rng.Perm(senders)[:1+rng.IntN(max(1, senders/3))] {
			d.Of = append(d.Of, fmt.Sprint("n", i))
		}
		if rng.IntN(3) == 0 {
			d.Kind, d.Good, d.Back = "release", rng.IntN(3) > 0, rng.IntN(2) == 0
		}
		add(d)
		if rng.IntN(4) == 0 {
			add(Action{At: at + span(0, 2*time.Second), Kind: []string{"halt", "back", "resume"}[rng.IntN(3)], Agent: rng.IntN(agents)})
		}
	}
	for at := span(500*time.Millisecond, 2*time.Second); at < length; at += span(300*time.Millisecond, 1500*time.Millisecond) {
		d := Action{At: at, Agent: rng.IntN(agents), Other: rng.IntN(agents), Sender: rng.IntN(senders), For: span(300*time.Millisecond, 5*time.Second)}
		switch n := rng.IntN(13); {
		case n < 2:
			d.Kind = "kill agent"
		case n < 4:
			d.Kind = "stop agent"
		case n < 5:
			d.Kind = "kill sender"
		case n < 6:
			d.Kind = "stop sender"
		case n < 8:
			d.Kind = "part agent"
			d.State = []netfault.State{{Cut: true}, {Silent: true}}[rng.IntN(2)]
		case n < 10:
			d.Kind = "one way"
			d.State = []netfault.State{{Silent: true}, {Delay: 300 * time.Millisecond, Jitter: 400 * time.Millisecond, Loss: 0.3}}[rng.IntN(2)]
		default: // a sender's ways to its agent, to clients or to discovery
			d.Kind = []string{"agent's way", "clients' way", "discovery's way"}[n-10]
			d.State = []netfault.State{{Cut: true}, {Silent: true}, {Delay: 300 * time.Millisecond, Jitter: 400 * time.Millisecond}}[rng.IntN(3)]
		}
		add(d)
	}
	slices.SortStableFunc(h.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return h
}

// FromPlan is the history of a scenario's plan: its agents, and what befalls processes. What fails of ways is the plan's own.
func FromPlan(p *scenario.Plan) *History {
	a := p.Scenario.Agents
	h := &History{
		Seed: p.Seed, Senders: p.Scenario.Senders, Agents: a.Number, Length: p.Scenario.Length,
		Budget: rollout.Budget{Fleet: a.Fleet, Building: a.Building, Serving: a.Serving}, Lease: a.Lease,
	}
	for _, d := range p.AgentActions {
		h.Actions = append(h.Actions, Action{At: d.At, Kind: d.What + " agent", Agent: d.Agent, For: d.Until - d.At})
	}
	for _, o := range p.Orders {
		h.Actions = append(h.Actions, Action{At: o.At, Kind: o.What, Agent: o.Agent, Of: o.Of, For: o.Hold, Good: !o.Bad, Back: o.GoBack})
	}
	for _, d := range p.Actions {
		h.Actions = append(h.Actions, Action{At: d.At, Kind: d.What + " sender", Sender: d.Sender, For: max(0, d.Until-d.At), planned: d})
	}
	slices.SortStableFunc(h.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return h
}

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
			y.World.Record(audit.Event{Kind: audit.Unreachable, Sender: d.Sender})
		}
		return func() {
			y.Net.SetBoth(y.Names[d.Sender], other, netfault.State{})
			if notices {
				y.World.Record(audit.Event{Kind: audit.ReachableAgain, Sender: d.Sender})
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
			y.World.Record(audit.Event{Kind: audit.Died, Sender: d.Sender, Cause: audit.Wiped})
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

// Save writes a history as a file that plays again.
func (h *History) Save(path string) error {
	text, err := json.MarshalIndent(h, "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	return err
}

// LoadHistory reads one.
func LoadHistory(path string) (*History, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	h := &History{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if h.Senders < 1 || h.Agents < 1 || h.Length <= 0 {
		return nil, fmt.Errorf("%s: no history", path)
	}
	return h, nil
}
