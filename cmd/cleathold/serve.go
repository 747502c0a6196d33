package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"cleathold/internal/lifecycle"
	"cleathold/internal/settings"
	"cleathold/internal/state"
)

// serveCmd runs a sender until it is terminated.
type serveCmd struct {
	Config   string `help:"Configuration file." env:"LB_CONFIG" required:"" type:"path"`
	Settings string `help:"${help_serve_settings}" env:"CLEATHOLD_SETTINGS"`
}

// Run executes the command.
func (s *serveCmd) Run(log *slog.Logger) error {
	load := func() (lifecycle.Config, error) { return lifecycle.Load(s.Config, s.Settings, os.Getenv) }
	return lifecycle.Serve(load, log)
}

// checkCmd checks a sender's configuration, a settings script, or both, without starting a sender.
type checkCmd struct {
	Config   string `arg:"" optional:"" help:"Configuration file." type:"existingfile"`
	Settings string `help:"Starlark script with settings of our own." type:"existingfile"`
}

// Run executes the command.
func (k *checkCmd) Run(out io.Writer) error {
	if k.Config == "" && k.Settings == "" {
		return errors.New("specify a configuration file or --settings")
	}
	if k.Settings != "" {
		s, err := settings.Load(k.Settings)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, s.Summary())
	}
	if k.Config == "" {
		return nil
	}
	c, err := lifecycle.Load(k.Config, "", os.Getenv)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: listens on %s, %d classes, %d targets known, %d slots, holds %d messages\n",
		c.Name, c.Listen, len(c.Settings.Classes), len(c.CachedList.Targets), c.Settings.MaxInFlight,
		c.Settings.MaxOpenMessages)
	return err
}

// pendingCmd lists the messages in a state folder's write-ahead log that have no outcome yet, or whose delivery report
// has not been acknowledged.
type pendingCmd struct {
	State string `arg:"" help:"State folder." env:"LB_STATE" type:"existingdir"`
}

// Run executes the command.
func (p *pendingCmd) Run(out io.Writer, log *slog.Logger) error {
	list, err := state.ReadPending(p.State, log)
	if err != nil {
		return err
	}
	for _, m := range list {
		fmt.Fprintf(out, "%s\tdest=%d\tdue %s\tforwards=%d\tmay have run=%t\towed: %s\n",
			m.ID, m.Destination, m.Deadline.Format(time.RFC3339Nano), m.Attempts, m.MayHaveRun, m.Owed)
	}
	_, err = fmt.Fprintf(out, "%d pending\n", len(list))
	return err
}
