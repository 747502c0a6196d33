package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
	"cleathold/internal/settings"
)

// agentCmd groups the commands that run on the machine of an agent.
type agentCmd struct {
	Found agentFoundCmd `cmd:"" help:"Make the folder of one of the first agents, once. Say it on each of their machines."`
	Run   agentRunCmd   `cmd:"" help:"${help_agent_run}"`
}

// agentSettings is the flag for the path of an agent's settings script.
type agentSettings struct {
	Settings string `help:"${help_agent_settings}" env:"CLEATHOLD_SETTINGS" required:"" type:"existingfile"`
}

// load reads the script, converts it to the agent's configuration and checks the terms in it.
func (s agentSettings) load(log *slog.Logger) (agent.Config, error) {
	script, err := loadAgentSettings(s.Settings)
	if err != nil {
		return agent.Config{}, err
	}
	c := agent.Config{
		Name: script.Name, Listen: script.Listen, Folder: script.Folder, Peers: script.Agents,
		FirstVersion: rollout.Version{Name: script.Version, Program: script.Program}, Terms: rolloutTerms(script), Log: log,
	}
	for _, sender := range script.Senders {
		c.Senders = append(c.Senders, agent.Sender(sender))
	}
	return c, c.Terms.Check(0)
}

// loadAgentSettings reads a settings script. It returns an error if the script does not configure an agent.
func loadAgentSettings(path string) (*settings.Agent, error) {
	script, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if script.Agent == nil {
		return nil, fmt.Errorf("%s: the script does not call agent(name = ...)", path)
	}
	return script.Agent, nil
}

// rolloutTerms returns the budget and the timing of a settings script.
func rolloutTerms(s *settings.Agent) rollout.Terms {
	return rollout.Terms{
		Budget: rollout.Budget(s.Budget),
		Timing: rollout.Timing{
			MaxObservationAge: s.Timing.Fresh, TakeTimeout: s.Timing.Accept, Lease: s.Timing.Lease,
			MaxClockError: s.Timing.ClockError,
		},
	}
}

// agentFoundCmd creates the folder of one of the first agents of a fleet.
type agentFoundCmd struct{ agentSettings }

// Run executes the command.
func (c *agentFoundCmd) Run(out io.Writer, log *slog.Logger) error {
	config, err := c.load(log)
	if err != nil {
		return err
	}
	if err := agent.Bootstrap(config); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: the folder of agent %s, one of %d\n", config.Folder, config.Name, len(config.Peers))
	return err
}

// agentRunCmd runs an agent until SIGINT or SIGTERM. It ignores SIGHUP, which makes senders reload their configuration.
type agentRunCmd struct{ agentSettings }

// Run executes the command.
func (c *agentRunCmd) Run(log *slog.Logger) error {
	config, err := c.load(log)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // of a log that nobody reads; its senders keep the default
	a, err := agent.New(config)
	if err != nil {
		return err
	}
	if err := a.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
