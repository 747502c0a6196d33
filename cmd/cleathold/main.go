// Command cleathold takes messages from clients and delivers them to partner
// systems. Here stands its command line alone.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"

	"cleathold/internal/agent"
	"cleathold/internal/lifecycle"
	"cleathold/internal/settings"
	"cleathold/internal/state"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Take in messages and deliver them until SIGTERM."`
	Check   checkCmd   `cmd:"" help:"Read a configuration and say what it holds, or what is wrong with it."`
	Pending pendingCmd `cmd:"" help:"List the messages that a state folder still owes something for."`
	Held    heldCmd    `cmd:"" help:"Look into held messages, send them again or drop them."`
	Store   storeCmd   `cmd:"" help:"Look into a store's folder, check, copy or repair it."`
	Agent   agentCmd   `cmd:"" help:"Run beside the senders of a machine: start, watch, drain and change them as the agents agree."`
	Fleet   fleetCmd   `cmd:"" help:"See and move the senders of all agents: drains, releases, halts."`
	Lab     labCmd     `cmd:"" help:"Rehearse: partners, traffic and failures that a script describes."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	Config   string `help:"Configuration file." env:"LB_CONFIG" required:"" type:"path"`
	Settings string `help:"Starlark script with settings of our own: held messages, the admin plane. Without it both are off." env:"CLEATHOLD_SETTINGS"`
}

func (s *serveCmd) Run(log *slog.Logger) error {
	return lifecycle.Serve(func() (lifecycle.Config, error) { return lifecycle.Load(s.Config, s.Settings, os.Getenv) }, log)
}

type checkCmd struct {
	Config   string `arg:"" optional:"" help:"Configuration file." type:"existingfile"`
	Settings string `help:"Starlark script with settings of our own." type:"existingfile"`
}

func (k *checkCmd) Run(out io.Writer) error {
	if k.Config == "" && k.Settings == "" {
		return errors.New("name a configuration file, or a script by --settings")
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
		c.Name, c.Listen, len(c.Settings.Classes), len(c.Known.Targets), c.Settings.MaxInFlight, c.Settings.MaxOpenMessages)
	return err
}

type pendingCmd struct {
	State string `arg:"" help:"State folder." env:"LB_STATE" type:"existingdir"`
}

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

type versionCmd struct {
	JSON bool `help:"JSON, with the forms of the journal that this program reads and writes." name:"json"`
}

func (c versionCmd) Run(out io.Writer) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	if c.JSON {
		return writeJSON(out, agent.ProgramInfo{Version: version, Reads: state.FormsRead, Writes: state.FormWritten})
	}
	_, err := fmt.Fprintln(out, "cleathold", version)
	return err
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx := kong.Parse(&cli{}, kong.Name("cleathold"), kong.Description("A sender of messages to outside partner systems."),
		kong.UsageOnError(), kong.Bind(log), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx.FatalIfErrorf(ctx.Run())
}
