package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"cleathold/internal/cluster"
	"cleathold/internal/harness"
	"cleathold/internal/ledger"
	"cleathold/internal/scenario"
)

type labRunCmd struct {
	scenarioArgs
	Seed     uint64  `help:"Seed." default:"1"`
	Out      string  `help:"Folder for the run."`
	Program  string  `help:"The senders' program; without it this one." type:"existingfile"`
	Settings string  `help:"Settings script for the senders." type:"existingfile"`
	MemoryMB float64 `help:"Memory that each sender may have, in MB." name:"memory-mb" default:"192"`
	JSON     bool    `help:"JSON instead of text." name:"json"`
}

func (c *labRunCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if s.Agents.Number > 0 {
		return c.runWithAgents(out, s)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r, err := playSockets(ctx, s, harness.Setup{Plan: s.Plan(c.Seed), Program: c.Program, Settings: c.Settings, MemoryMB: c.MemoryMB, Folder: c.Out, Log: log, Progress: os.Stderr})
	if err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		if err := writeJSON(out, r); err != nil {
			return err
		}
		return violationsError(len(r.Violations))
	}
	fmt.Fprintf(out, "seed %d: service %.3f (whole %.3f, worst 10 s %.3f at %v), %d messages, %d calls, %d refused, %d connections, %d restarts\n",
		r.Seed, r.Service, r.Overall, r.Worst, r.WorstAt, r.Messages, r.Calls, r.RejectedCalls, r.Connections, r.Restarts)
	fmt.Fprintf(out, "lag of the rig: partners %.2f ms at the 99th percentile, %.2f at most; clients %.2f and %.2f; hand-ins answered after %.2f ms at the 99th percentile\n",
		r.Rig.P99, r.Rig.Max, r.Clients.Lag.P99, r.Clients.Lag.Max, r.Clients.ResponseTime.P99)
	fmt.Fprintf(out, "a sender had %.0f MB at most\n", r.PeakMB)
	for _, m := range r.Warnings {
		fmt.Fprintln(out, "NOTE:", m)
	}
	writeViolations(out, r.Violations)
	return violationsError(len(r.Violations))
}

// playSockets is one run on sockets. Its folder is a temporary one if none is named.
func playSockets(ctx context.Context, s *scenario.Scenario, set harness.Setup) (harness.Result, error) {
	var err error
	if set.Program == "" {
		if set.Program, err = os.Executable(); err != nil {
			return harness.Result{}, err
		}
	}
	for _, path := range []*string{&set.Program, &set.Settings, &set.Folder} { // the senders run elsewhere
		if *path == "" {
			continue
		}
		if *path, err = filepath.Abs(*path); err != nil {
			return harness.Result{}, err
		}
	}
	if set.Folder == "" {
		if set.Folder, err = os.MkdirTemp("", "cleathold-lab-"); err != nil {
			return harness.Result{}, err
		}
		defer os.RemoveAll(set.Folder)
		return harness.Run(ctx, set)
	}
	writer, err := ledger.Create(set.Folder, ledgerHead(s, set.Plan.Seed, "sockets", set.Program), s.Script)
	if err != nil {
		return harness.Result{}, err
	}
	set.Sink = writer.Read
	r, err := harness.Run(ctx, set)
	if err != nil {
		return r, errors.Join(err, writer.Close())
	}
	return r, writer.Finish(r)
}

// runWithAgents plays a scenario that has agents: they run the senders.
func (c *labRunCmd) runWithAgents(out io.Writer, s *scenario.Scenario) error {
	folder := c.Out
	var err error
	if folder == "" {
		if folder, err = os.MkdirTemp("", "fleet"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	} else if err = os.Mkdir(folder, 0o700); err != nil {
		return err
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return err
	}
	set, err := clusterSetup(folder, 0)
	if err != nil {
		return err
	}
	if c.Program != "" {
		if set.Program, err = filepath.Abs(c.Program); err != nil {
			return err
		}
	}
	set.Plan = s.Plan(c.Seed)
	set.Rate = set.Plan.Rate
	h := cluster.FromPlan(set.Plan)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := h.Play(ctx, set); err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		if err := writeJSON(out, h); err != nil {
			return err
		}
	} else {
		writeHistory(out, h)
		for _, p := range h.Plans {
			fmt.Fprintln(out, "  plan", p)
		}
	}
	return violationsError(len(h.Faults))
}
