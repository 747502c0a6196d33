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
	"runtime"
	"syscall"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/ledger"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

type labSimCmd struct {
	scenarioArgs
	Seed     uint64 `help:"Seed of the first run." default:"1"`
	Runs     int    `help:"Runs, each with the next seed." default:"1"`
	Jobs     int    `help:"Runs at once; 0 = as many as there are cores." default:"0"`
	Out      string `help:"Folder for the run; with several runs, a folder with one for each seed."`
	JSON     bool   `help:"JSON instead of text." name:"json"`
	Progress bool   `help:"Tell on standard error how far it is."`
	Verbose  bool   `help:"The senders' log on standard error."`
}

// simResult is a run of many.
type simResult struct {
	result simulation.Result
	took   time.Duration
	err    error
}

func (c *labSimCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if c.Runs < 1 || c.Jobs < 0 {
		return errors.New("--runs: 1 at the least; --jobs: 0 or more")
	}
	if !c.Verbose {
		log = slog.New(slog.DiscardHandler)
	}
	jobs := c.Jobs
	if jobs == 0 {
		jobs = min(runtime.NumCPU(), 32)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runs := make([]chan simResult, c.Runs) // one for each, so that they are told in order
	slots := make(chan struct{}, jobs)
	for i := range runs {
		runs[i] = make(chan simResult, 1)
	}
	go func() {
		for i := range runs {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				runs[i] <- c.play(ctx, s, c.Seed+uint64(i), log)
			}()
		}
	}()
	broken := 0
	for i := range runs {
		r := <-runs[i]
		if r.err != nil {
			return exitError{fmt.Errorf("seed %d: %w", c.Seed+uint64(i), r.err), exitIncomplete}
		}
		broken += len(r.result.Violations)
		if c.JSON {
			if err := writeJSON(out, r.result); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(out, "seed %d: service %.3f (whole %.3f, worst 10 s %.3f at %v), %d messages, %d calls, %d refused, %d connections; %.1f virtual seconds a second\n",
			r.result.Seed, r.result.Service, r.result.Overall, r.result.Worst, r.result.WorstAt, r.result.Messages, r.result.Calls, r.result.RejectedCalls,
			r.result.Connections, s.Length.Seconds()/r.took.Seconds())
		writeViolations(out, r.result.Violations)
	}
	return violationsError(broken)
}

// play is one run in virtual time.
func (c *labSimCmd) play(ctx context.Context, s *scenario.Scenario, seed uint64, log *slog.Logger) simResult {
	p := s.Plan(seed)
	var writer *ledger.Writer
	sink := func(audit.Event) error { return ctx.Err() }
	if c.Out != "" {
		folder := c.Out
		if c.Runs > 1 {
			folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
		}
		var err error
		if writer, err = ledger.Create(folder, ledgerHead(s, seed, "virtual", ""), s.Script); err != nil {
			return simResult{err: err}
		}
		sink = func(e audit.Event) error { return errors.Join(ctx.Err(), writer.Read(e)) }
	}
	if c.Progress {
		next, inner := time.Now().Add(5*time.Second), sink
		count := 0
		sink = func(e audit.Event) error {
			if count++; count%1024 == 0 && time.Now().After(next) {
				next = time.Now().Add(5 * time.Second)
				fmt.Fprintf(os.Stderr, "seed %d: %v of %v\n", seed, e.At.Truncate(time.Second), s.Length)
			}
			return inner(e)
		}
	}
	started := time.Now()
	sim, err := simulation.NewSim(p, log, sink)
	if err != nil {
		return simResult{err: err}
	}
	r, err := sim.Run()
	if errors.Is(err, context.Canceled) {
		err = errors.New("broken off")
	}
	if writer != nil && err == nil {
		err = writer.Finish(r)
	} else if writer != nil {
		err = errors.Join(err, writer.Close())
	}
	return simResult{r, time.Since(started), err}
}
