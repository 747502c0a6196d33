package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"cleathold/internal/harness"
	"cleathold/internal/ledger"
)

// labServeCmd serves a scenario's partners and platform for senders that are started separately.
type labServeCmd struct {
	seededScenarioArgs
	Out      string `help:"Folder for the senders' configurations and the run." required:""`
	Settings string `help:"Settings script for the senders." type:"existingfile"`
}

// Run executes the command.
func (c *labServeCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	folder, err := filepath.Abs(c.Out)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	writer, err := ledger.Create(folder, ledgerHead(s, c.Seed, modeSockets, ""), s.Script)
	if err != nil {
		return err
	}
	setup := harness.Setup{Plan: s.Plan(c.Seed), Folder: folder, Settings: c.Settings, Log: log, Sink: writer.Append}
	r, err := harness.Serve(ctx, setup, out)
	if err != nil {
		return exitError{errors.Join(err, writer.Close()), exitIncomplete}
	}
	return writer.Finish(r)
}

// labLoadCmd submits a scenario's messages to senders that are started separately.
type labLoadCmd struct {
	seededScenarioArgs
	To   []string `help:"Addresses of the senders." placeholder:"ADDR"`
	Sink bool     `help:"Hand in to a sink of its own instead, to measure this tool."`
	jsonFlag
}

// Run executes the command.
func (c *labLoadCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	switch {
	case c.Sink == (len(c.To) > 0):
		return errors.New("specify either --to or --sink")
	case c.Sink:
		addr, err := harness.StartSink(ctx)
		if err != nil {
			return err
		}
		c.To = []string{addr}
	}
	r, err := harness.Load(ctx, s.Plan(c.Seed), c.To, log, os.Stderr)
	if err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		return writeJSON(out, r)
	}
	fmt.Fprintf(out, "answers by status (0 = none): %v; left out: %d\n", r.Answers, r.Skipped)
	fmt.Fprintf(out, "from the time wanted to the answer: "+
		"%.2f ms at the median, %.2f at the 99th percentile, %.2f at most\n",
		r.ResponseTime.P50, r.ResponseTime.P99, r.ResponseTime.Max)
	_, err = fmt.Fprintf(out, "lag of the clients themselves: %.2f ms at the 99th percentile, %.2f at most\n",
		r.Lag.P99, r.Lag.Max)
	return err
}
