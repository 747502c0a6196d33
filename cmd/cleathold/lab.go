package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/ledger"
	"cleathold/internal/scenario"
)

type labCmd struct {
	Check   labCheckCmd   `cmd:"" help:"Read a scenario and say what it holds, or what is wrong with it."`
	Sim     labSimCmd     `cmd:"" help:"Play a scenario in virtual time."`
	Run     labRunCmd     `cmd:"" help:"Play a scenario on sockets, with senders as processes."`
	Serve   labServeCmd   `cmd:"" help:"Put a scenario's partners, discovery and notices behind loopback addresses."`
	Load    labLoadCmd    `cmd:"" help:"Hand a scenario's messages in to senders that run."`
	Fleet   labFleetCmd   `cmd:"" help:"Play drains and releases of a fleet of processes under drawn faults, or measure a release."`
	Soak    labSoakCmd    `cmd:"" help:"Play cases of overlapping faults, drawn by seeds, with senders as processes."`
	Report  labReportCmd  `cmd:"" help:"Make a page of a run, or of several."`
	Limits  labLimitsCmd  `cmd:"" help:"Set what all senders of a run did together against the limits of destinations, by second."`
	Outages labOutagesCmd `cmd:"" help:"Follow a run's outages of endpoints: what was served meanwhile, and how often senders ran into them."`
	Compare labCompareCmd `cmd:"" help:"Play paired seeds with two builds or two scenarios, and tell whether they differ."`
}

// scenarioArgs is a scenario with figures for what it names by param.
type scenarioArgs struct {
	Scenario string             `arg:"" help:"Scenario script." type:"existingfile"`
	Set      map[string]float64 `help:"A figure for what the script names by param(NAME, usual)." placeholder:"NAME=FIGURE"`
}

func (s *scenarioArgs) load() (*scenario.Scenario, error) { return scenario.Load(s.Scenario, s.Set) }

type labCheckCmd struct {
	scenarioArgs
	Seed uint64 `help:"Seed of the draw." default:"1"`
}

func (c *labCheckCmd) Run(out io.Writer) error {
	s, err := c.load()
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
	for _, m := range p.Marks() {
		fmt.Fprintf(out, "  %.1f to %.1f s: %s\n", m.From.Seconds(), m.To.Seconds(), m.Text)
	}
	return err
}

// ledgerHead says what is played, with which program.
func ledgerHead(s *scenario.Scenario, seed uint64, mode, program string) ledger.Head {
	h := ledger.Head{Scenario: s.Name, Seed: seed, Mode: mode, Program: program, Go: runtime.Version(), Started: time.Now().UTC(), Figures: s.Figures}
	h.Machine = fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	if info, ok := debug.ReadBuildInfo(); ok {
		h.Version = info.Main.Version
		for _, x := range info.Settings {
			if x.Key == "vcs.revision" || x.Key == "vcs.modified" {
				h.Version += " " + x.Value
			}
		}
	}
	return h
}

func writeViolations(out io.Writer, breaks []audit.Violation) {
	for _, b := range breaks {
		fmt.Fprintf(out, "  BROKEN at %v by sender %d: %s: %s (message %s, calls %v, times %v)\n", b.At, b.Sender, b.Rule, b.Text, b.Message, b.Calls, b.Times)
	}
}
