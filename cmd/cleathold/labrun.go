package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"cleathold/internal/cluster"
	"cleathold/internal/harness"
	"cleathold/internal/ledger"
	"cleathold/internal/scenario"
)

// labRunCmd plays a scenario on sockets. The senders, and the agents if the scenario has any, are processes.
type labRunCmd struct {
	seededScenarioArgs
	Out      string  `help:"Folder for the run."`
	Program  string  `help:"The senders' program; without it this one." type:"existingfile"`
	Settings string  `help:"Settings script for the senders." type:"existingfile"`
	MemoryMB float64 `help:"Memory that each sender may have, in MB." name:"memory-mb" default:"192"`
	jsonFlag
}

// Run executes the command.
func (c *labRunCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if s.Agents.Number > 0 {
		return c.runWithAgents(out, s)
	}
	ctx, stop := interruptible()
	defer stop()
	r, err := playSockets(ctx, s, harness.Setup{
		Plan: s.Plan(c.Seed), Program: c.Program, Settings: c.Settings, MemoryMB: c.MemoryMB, Folder: c.Out, Log: log,
		Progress: os.Stderr,
	})
	if err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		if err := writeJSON(out, r); err != nil {
			return err
		}
	} else {
		writeRunResult(out, r)
	}
	return violationsError(len(r.Violations))
}

// writeRunResult writes a run's figures, the delays of the harness itself, and the violations.
func writeRunResult(out io.Writer, r harness.Result) {
	fmt.Fprintf(out, "seed %d: service %.3f (whole %.3f, worst 10 s %.3f at %v), %d messages, %d calls, %d refused, "+
		"%d connections, %d restarts\n",
		r.Seed, r.Service, r.Overall, r.Worst, r.WorstAt, r.Messages, r.Calls, r.RejectedCalls, r.Connections, r.Restarts)
	fmt.Fprintf(out, "lag of the rig: partners %.2f ms at the 99th percentile, %.2f at most; clients %.2f and %.2f; "+
		"hand-ins answered after %.2f ms at the 99th percentile\n",
		r.EndpointLag.P99, r.EndpointLag.Max, r.Clients.Lag.P99, r.Clients.Lag.Max, r.Clients.ResponseTime.P99)
	fmt.Fprintf(out, "a sender had %.0f MB at most\n", r.PeakMB)
	for _, warning := range r.Warnings {
		fmt.Fprintln(out, "NOTE:", warning)
	}
	writeViolations(out, r.Violations)
}

// playSockets plays one run on sockets. If the setup has a folder, a ledger is written to it. Otherwise the run uses a
// temporary folder and has no ledger.
func playSockets(ctx context.Context, s *scenario.Scenario, setup harness.Setup) (harness.Result, error) {
	var err error
	if setup.Program, err = senderProgram(setup.Program); err != nil {
		return harness.Result{}, err
	}
	for _, path := range []*string{&setup.Settings, &setup.Folder} { // the senders run in other working directories
		if *path == "" {
			continue
		}
		if *path, err = filepath.Abs(*path); err != nil {
			return harness.Result{}, err
		}
	}
	if setup.Folder == "" {
		if setup.Folder, err = os.MkdirTemp("", "cleathold-lab-"); err != nil {
			return harness.Result{}, err
		}
		defer os.RemoveAll(setup.Folder)
		return harness.Run(ctx, setup)
	}
	writer, err := ledger.Create(setup.Folder, ledgerHead(s, setup.Plan.Seed, modeSockets, setup.Program), s.Script)
	if err != nil {
		return harness.Result{}, err
	}
	setup.Sink = writer.Append
	r, err := harness.Run(ctx, setup)
	if err != nil {
		return r, errors.Join(err, writer.Close())
	}
	return r, writer.Finish(r)
}

// runWithAgents plays a scenario in which agents start and supervise the senders.
func (c *labRunCmd) runWithAgents(out io.Writer, s *scenario.Scenario) error {
	folder, remove, err := c.clusterFolder()
	if err != nil {
		return err
	}
	defer remove()
	setup, err := clusterSetup(folder, 0)
	if err != nil {
		return err
	}
	if setup.Program, err = senderProgram(c.Program); err != nil {
		return err
	}
	setup.Plan = s.Plan(c.Seed)
	setup.Rate = setup.Plan.Rate
	history := cluster.FromPlan(setup.Plan)
	ctx, stop := interruptible()
	defer stop()
	if err := history.Play(ctx, setup); err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		if err := writeJSON(out, history); err != nil {
			return err
		}
	} else {
		writeHistory(out, history)
		for _, plan := range history.Plans {
			fmt.Fprintln(out, "  plan", plan)
		}
	}
	return violationsError(len(history.Faults))
}

// clusterFolder creates the folder of a run: the folder of --out, which must not exist yet, or else a temporary folder.
// remove deletes a temporary folder.
func (c *labRunCmd) clusterFolder() (folder string, remove func(), err error) {
	remove = func() {}
	if c.Out != "" {
		folder, err = c.Out, os.Mkdir(c.Out, 0o700)
	} else if folder, err = os.MkdirTemp("", "fleet"); err == nil {
		temp := folder
		remove = func() { os.RemoveAll(temp) }
	}
	if err != nil {
		return "", nil, err
	}
	if folder, err = filepath.Abs(folder); err != nil {
		remove()
		return "", nil, err
	}
	return folder, remove, nil
}
