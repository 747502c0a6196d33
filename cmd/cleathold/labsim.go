package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/ledger"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

const (
	maxDefaultJobs   = 32              // limit of parallel runs if --jobs is not given
	progressInterval = 5 * time.Second // between two progress messages
	progressEvents   = 1024            // number of events between two reads of the clock
)

// errInterrupted is the error of a run that a signal ended.
var errInterrupted = errors.New("broken off")

// labSimCmd plays a scenario in virtual time.
type labSimCmd struct {
	scenarioArgs
	Seed uint64 `help:"Seed of the first run." default:"1"`
	Runs int    `help:"Runs, each with the next seed." default:"1"`
	Jobs int    `help:"Runs at once; 0 = as many as there are cores." default:"0"`
	Out  string `help:"Folder for the run; with several runs, a folder with one for each seed."`
	jsonFlag
	Progress bool `help:"Tell on standard error how far it is."`
	Verbose  bool `help:"The senders' log on standard error."`
}

// simResult is the result of one run in virtual time.
type simResult struct {
	result  simulation.Result
	elapsed time.Duration
	err     error
}

// Run executes the command.
func (c *labSimCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if c.Runs < 1 || c.Jobs < 0 {
		return errors.New("--runs must be at least 1, and --jobs must not be negative")
	}
	if !c.Verbose {
		log = slog.New(slog.DiscardHandler)
	}
	ctx, stop := interruptible()
	defer stop()
	violations := 0
	for i, run := range c.startAll(ctx, s, log) {
		r := <-run
		if r.err != nil {
			return exitError{fmt.Errorf("seed %d: %w", c.Seed+uint64(i), r.err), exitIncomplete}
		}
		violations += len(r.result.Violations)
		if c.JSON {
			if err := writeJSON(out, r.result); err != nil {
				return err
			}
			continue
		}
		writeSimResult(out, s, r)
	}
	return violationsError(violations)
}

// startAll starts the runs, with up to c.Jobs in parallel. It returns a channel for the result of each run, so that the
// caller can write the results in the order of the seeds.
func (c *labSimCmd) startAll(ctx context.Context, s *scenario.Scenario, log *slog.Logger) []chan simResult {
	jobs := c.Jobs
	if jobs == 0 {
		jobs = min(runtime.NumCPU(), maxDefaultJobs)
	}
	runs := make([]chan simResult, c.Runs)
	for i := range runs {
		runs[i] = make(chan simResult, 1)
	}
	slots := make(chan struct{}, jobs)
	go func() {
		for i := range runs {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				runs[i] <- c.play(ctx, s, c.Seed+uint64(i), log)
			}()
		}
	}()
	return runs
}

// writeSimResult writes a run's figures and violations.
func writeSimResult(out io.Writer, s *scenario.Scenario, run simResult) {
	r := run.result
	fmt.Fprintf(out, "seed %d: service %.3f (whole %.3f, worst 10 s %.3f at %v), %d messages, %d calls, %d refused, "+
		"%d connections; %.1f virtual seconds a second\n",
		r.Seed, r.Service, r.Overall, r.Worst, r.WorstAt, r.Messages, r.Calls, r.RejectedCalls,
		r.Connections, s.Length.Seconds()/run.elapsed.Seconds())
	writeViolations(out, r.Violations)
}

// play plays one run, and writes a ledger if there is a folder for it. If the context is canceled, the run fails with
// errInterrupted.
func (c *labSimCmd) play(ctx context.Context, s *scenario.Scenario, seed uint64, log *slog.Logger) simResult {
	plan := s.Plan(seed)
	var writer *ledger.Writer
	sink := func(audit.Event) error { return ctx.Err() }
	if c.Out != "" {
		folder := c.Out
		if c.Runs > 1 {
			folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
		}
		var err error
		if writer, err = ledger.Create(folder, ledgerHead(s, seed, modeVirtual, ""), s.Script); err != nil {
			return simResult{err: err}
		}
		sink = func(e audit.Event) error { return errors.Join(ctx.Err(), writer.Append(e)) }
	}
	if c.Progress {
		sink = withProgress(sink, seed, s.Length)
	}
	started := time.Now()
	sim, err := simulation.NewSim(plan, log, sink)
	if err != nil {
		return simResult{err: err}
	}
	r, err := sim.Run()
	if errors.Is(err, context.Canceled) {
		err = errInterrupted
	}
	if writer != nil && err == nil {
		err = writer.Finish(r)
	} else if writer != nil {
		err = errors.Join(err, writer.Close())
	}
	return simResult{r, time.Since(started), err}
}

// withProgress returns a sink that forwards events to another sink and writes progress messages to standard error.
func withProgress(sink func(audit.Event) error, seed uint64, length time.Duration) func(audit.Event) error {
	next := time.Now().Add(progressInterval)
	count := 0
	return func(e audit.Event) error {
		if count++; count%progressEvents == 0 && time.Now().After(next) {
			next = time.Now().Add(progressInterval)
			fmt.Fprintf(os.Stderr, "seed %d: %v of %v\n", seed, e.At.Truncate(time.Second), length)
		}
		return sink(e)
	}
}
