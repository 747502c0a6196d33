package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
	"cleathold/internal/settings"
)

type agentCmd struct {
	Found agentFoundCmd `cmd:"" help:"Make the folder of one of the first agents, once. Say it on each of their machines."`
	Run   agentRunCmd   `cmd:"" help:"Run the agent. One whose folder is empty is taken in by the others, in its old one's place."`
}

// agentSettings are where an agent is told what it is.
type agentSettings struct {
	Settings string `help:"Starlark script with agent(...), sender(...), budget(...) and timing(...)." env:"CLEATHOLD_SETTINGS" required:"" type:"existingfile"`
}

func (s agentSettings) load(log *slog.Logger) (agent.Config, error) {
	set, err := settings.Load(s.Settings)
	if err != nil {
		return agent.Config{}, err
	}
	if set.Agent == nil {
		return agent.Config{}, fmt.Errorf("%s: no agent(name = ...) in it", s.Settings)
	}
	x := set.Agent
	c := agent.Config{
		Name: x.Name, Listen: x.Listen, Folder: x.Folder, Peers: x.Agents, First: rollout.Version{Name: x.Version, Program: x.Program}, Terms: rolloutTerms(x), Log: log,
	}
	for _, n := range x.Senders {
		c.Senders = append(c.Senders, agent.Sender(n))
	}
	return c, c.Terms.Check(0)
}

func rolloutTerms(x *settings.Agent) rollout.Terms {
	return rollout.Terms{
		Budget: rollout.Budget(x.Budget),
		Timing: rollout.Timing{Fresh: x.Timing.Fresh, Accept: x.Timing.Accept, Lease: x.Timing.Lease, Error: x.Timing.ClockError},
	}
}

type agentFoundCmd struct{ agentSettings }

func (c *agentFoundCmd) Run(out io.Writer, log *slog.Logger) error {
	set, err := c.load(log)
	if err == nil {
		err = agent.Bootstrap(set)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: the folder of agent %s, one of %d\n", set.Folder, set.Name, len(set.Peers))
	return err
}

type agentRunCmd struct{ agentSettings }

func (c *agentRunCmd) Run(log *slog.Logger) error {
	set, err := c.load(log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	a, err := agent.New(set)
	if err != nil {
		return err
	}
	if err := a.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
