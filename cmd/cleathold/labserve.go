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

	"cleathold/internal/harness"
	"cleathold/internal/ledger"
)

type labServeCmd struct {
	scenarioArgs
	Seed     uint64 `help:"Seed." default:"1"`
	Out      string `help:"Folder for the senders' configurations and the run." required:""`
	Settings string `help:"Settings script for the senders." type:"existingfile"`
}

func (c *labServeCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	folder, err := filepath.Abs(c.Out)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	writer, err := ledger.Create(folder, ledgerHead(s, c.Seed, "sockets", ""), s.Script)
	if err != nil {
		return err
	}
	r, err := harness.Serve(ctx, harness.Setup{Plan: s.Plan(c.Seed), Folder: folder, Settings: c.Settings, Log: log, Sink: writer.Read}, out)
	if err != nil {
		return exitError{errors.Join(err, writer.Close()), exitIncomplete}
	}
	return writer.Finish(r)
}

type labLoadCmd struct {
	scenarioArgs
	Seed uint64   `help:"Seed." default:"1"`
	To   []string `help:"Addresses of the senders." placeholder:"ADDR"`
	Sink bool     `help:"Hand in to a sink of its own instead, to measure this tool."`
	JSON bool     `help:"JSON instead of text." name:"json"`
}

func (c *labLoadCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch {
	case c.Sink == (len(c.To) > 0):
		return errors.New("name the senders by --to, or --sink")
	case c.Sink:
		addr, err := harness.StartSink(ctx)
		if err != nil {
			return err
		}
		c.To = []string{addr}
	}
	result, err := harness.Load(ctx, s.Plan(c.Seed), c.To, log, os.Stderr)
	if err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		return writeJSON(out, result)
	}
	fmt.Fprintf(out, "answers by status (0 = none): %v; left out: %d\n", result.Answers, result.Skipped)
	fmt.Fprintf(out, "from the time wanted to the answer: %.2f ms at the median, %.2f at the 99th percentile, %.2f at most\n", result.ResponseTime.P50, result.ResponseTime.P99, result.ResponseTime.Max)
	_, err = fmt.Fprintf(out, "lag of the clients themselves: %.2f ms at the 99th percentile, %.2f at most\n", result.Lag.P99, result.Lag.Max)
	return err
}
