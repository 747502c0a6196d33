package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"cleathold/internal/lab"
	"cleathold/internal/scenario"
)

// exitBroken is the exit code of a rehearsal in which a rule was broken.
const exitBroken = 6

type labCmd struct {
	Check labCheckCmd `cmd:"" help:"Read a scenario and say what it holds, or what is wrong with it."`
	Sim   labSimCmd   `cmd:"" help:"Play a scenario in virtual time."`
}

type labCheckCmd struct {
	Scenario string `arg:"" help:"Scenario script." type:"existingfile"`
	Seed     uint64 `help:"Seed of the draw." default:"1"`
}

func (c *labCheckCmd) Run(out io.Writer) error {
	s, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	p := s.Plan(c.Seed)
	endpoints := 0
	for _, d := range p.Dests {
		endpoints += len(d.Endpoints)
	}
	_, err = fmt.Fprintf(out, "%s: %v, %d senders, %.0f messages a second at full load, %d destinations with %d endpoints, %d changes among them\n",
		s.Name, s.Length, s.Senders, p.Rate, len(p.Dests), endpoints, len(p.Changes))
	return err
}

type labSimCmd struct {
	Scenario string `arg:"" help:"Scenario script." type:"existingfile"`
	Seed     uint64 `help:"Seed of the first run." default:"1"`
	Runs     int    `help:"Runs, each with the next seed." default:"1"`
	JSON     bool   `help:"JSON instead of text." name:"json"`
	Verbose  bool   `help:"The senders' log on standard error."`
}

func (c *labSimCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Runs < 1 {
		return errors.New("--runs: 1 at the least")
	}
	if !c.Verbose {
		log = slog.New(slog.DiscardHandler)
	}
	broken := 0
	for i := range c.Runs {
		sim, err := lab.NewSim(s.Plan(c.Seed+uint64(i)), log)
		if err != nil {
			return err
		}
		began := time.Now()
		r, err := sim.Run()
		if err != nil {
			return fmt.Errorf("seed %d: %w", r.Seed, err)
		}
		broken += len(r.Breaks)
		if c.JSON {
			if err := writeJSON(out, r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(out, "seed %d: service %.3f (whole %.3f, worst 10 s %.3f at %v), %d messages, %d calls, %d refused, %d connections; %.0f virtual seconds a second\n",
			r.Seed, r.Service, r.Whole, r.Worst, r.WorstAt, r.Messages, r.Calls, r.Refused, r.Conns, s.Length.Seconds()/time.Since(began).Seconds())
		for _, b := range r.Breaks {
			fmt.Fprintf(out, "  BROKEN at %v by sender %d: %s: %s (message %s, calls %v, times %v)\n", b.At, b.Sender, b.Rule, b.Text, b.Message, b.Calls, b.Times)
		}
	}
	if broken > 0 {
		return exit{fmt.Errorf("%d breaks of rules", broken), exitBroken}
	}
	return nil
}
