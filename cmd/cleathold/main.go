// Command cleathold accepts messages from clients and delivers them to partner systems. Besides running the sender, it
// has commands for operators: they manage dead letters, the folder of the write-ahead log, the agents that supervise
// senders and the fleet of these senders, and run test scenarios in virtual time or on sockets.
//
// This package contains only the command line: flags, help, output and exit codes. The commands are implemented in the
// packages that they call. This package must not decide anything about messages, endpoints or senders.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"cleathold/internal/agent"
	"cleathold/internal/state"
)

// cli defines the command line for the Kong parser.
type cli struct {
	Serve   serveCmd   `cmd:"" help:"Take in messages and deliver them until SIGTERM."`
	Check   checkCmd   `cmd:"" help:"Read a configuration and say what it holds, or what is wrong with it."`
	Pending pendingCmd `cmd:"" help:"List the messages that a state folder still owes something for."`
	Held    heldCmd    `cmd:"" help:"Look into held messages, send them again or drop them."`
	Store   storeCmd   `cmd:"" help:"Look into a store's folder, check, copy or repair it."`
	Agent   agentCmd   `cmd:"" help:"${help_agent}"`
	Fleet   fleetCmd   `cmd:"" help:"See and move the senders of all agents: drains, releases, halts."`
	Lab     labCmd     `cmd:"" help:"Rehearse: partners, traffic and failures that a script describes."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// versionCmd prints the program's version and, as JSON, the supported formats of the write-ahead log.
type versionCmd struct {
	JSON bool `help:"JSON, with the forms of the journal that this program reads and writes." name:"json"`
}

// Run executes the command.
func (c versionCmd) Run(out io.Writer) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	if c.JSON {
		return writeJSON(out, agent.ProgramInfo{Version: version, Reads: state.SupportedFormatVersions,
			Writes: state.FormatVersion})
	}
	_, err := fmt.Fprintln(out, "cleathold", version)
	return err
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx := kong.Parse(&cli{}, kong.Name("cleathold"),
		kong.Description("A sender of messages to outside partner systems."), kong.UsageOnError(), longHelp,
		kong.Bind(log), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	ctx.FatalIfErrorf(ctx.Run())
}
