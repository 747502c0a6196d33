package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"cleathold/internal/harness"
	"cleathold/internal/ledger"
	"cleathold/internal/report"
	"cleathold/internal/scenario"
)

type labReportCmd struct {
	Runs []string `arg:"" help:"Run folders." type:"existingdir"`
	HTML string   `help:"Write a page to this file, with drawings; with several runs, one after the other." name:"html"`
}

func (c *labReportCmd) Run(out io.Writer) error {
	var file *os.File
	if c.HTML != "" {
		var err error
		if file, err = os.Create(c.HTML); err != nil {
			return err
		}
		defer file.Close()
	}
	for _, folder := range c.Runs {
		p, err := readPage(folder)
		if err != nil {
			return err
		}
		if err := p.Text(out); err != nil {
			return err
		}
		if file != nil {
			if err := p.HTML(file); err != nil {
				return err
			}
		}
	}
	if file != nil {
		return file.Close()
	}
	return nil
}

// readPage reads a run folder.
func readPage(folder string) (*report.Page, error) {
	run, plan, err := openRun(folder)
	if err != nil {
		return nil, err
	}
	c := report.NewCollector(plan)
	complete, err := run.Events(c.Read)
	if err != nil {
		return nil, err
	}
	f := report.Facts{Head: []report.Line{
		{Name: "seed", Value: fmt.Sprint(run.Head.Seed)}, {Name: "played", Value: run.Head.Mode + ", " + run.Head.Started.Format(time.RFC3339)},
		{Name: "program", Value: strings.TrimSpace(run.Head.Program + " " + run.Head.Version + " " + run.Head.Go)}, {Name: "machine", Value: run.Head.Machine},
	}}
	if !complete {
		f.Notes = append(f.Notes, "the ledger ends in the middle: the run was broken off")
	}
	if run.Result == nil {
		f.Notes = append(f.Notes, "no result: the run was broken off, rules are not judged")
		return c.Page(f)
	}
	var r harness.Result
	if err := json.Unmarshal(run.Result, &r); err != nil {
		return nil, fmt.Errorf("%s: result: %w", folder, err)
	}
	f.Violations, f.Notes = r.Violations, append(f.Notes, r.Warnings...)
	if run.Head.Mode == "sockets" {
		f.Head = append(f.Head, report.Line{Name: "lag of the rig", Value: fmt.Sprintf("partners %.2f ms at the 99th percentile, clients %.2f ms", r.Rig.P99, r.Clients.Lag.P99)})
	}
	return c.Page(f)
}

// openRun opens a run folder, and draws its plan again.
func openRun(folder string) (*ledger.Run, *scenario.Plan, error) {
	run, err := ledger.Open(folder)
	if err != nil {
		return nil, nil, err
	}
	s, err := scenario.Parse(run.ScriptPath(), run.Script, run.Head.Figures)
	if err != nil {
		return nil, nil, err
	}
	return run, s.Plan(run.Head.Seed), nil
}

type labLimitsCmd struct {
	RunFolder   string `arg:"" name:"run" help:"Run folder." type:"existingdir"`
	Destination int    `help:"Only this one, second by second; without it, each whose limit changes, by spans."`
	JSON        bool   `help:"JSON instead of text." name:"json"`
}

func (c *labLimitsCmd) Run(out io.Writer) error {
	run, plan, err := openRun(c.RunFolder)
	if err != nil {
		return err
	}
	sums := report.NewSums(plan)
	if _, err := run.Events(sums.Read); err != nil {
		return err
	}
	if c.Destination > 0 {
		if len(sums.Of(c.Destination)) == 0 {
			return fmt.Errorf("no calls for a destination %d in it", c.Destination)
		}
		if c.JSON {
			return writeJSON(out, sums.Of(c.Destination))
		}
		return sums.Table(out, c.Destination)
	}
	var list []report.Span
	for _, d := range sums.Limited() {
		list = append(list, sums.Spans(d)...)
	}
	if c.JSON {
		return writeJSON(out, list)
	}
	fmt.Fprintf(out, "%11s %7s %7s %8s %8s %8s %8s %10s %6s\n", "DESTINATION", "FROM", "TO", "LIMIT", "CALLS", "REFUSED", "SERVED", "WORST/LIMIT", "USED")
	for _, x := range list {
		fmt.Fprintf(out, "%11d %7d %7d %8.1f %8.1f %8.1f %8.1f %11.2f %6.2f\n", x.Dest, x.From, x.To, x.Limit, x.Calls, x.Rejected, x.Served, x.MaxExcess, x.Used)
	}
	return nil
}

type labOutagesCmd struct {
	RunFolder string `arg:"" name:"run" help:"Run folder." type:"existingdir"`
	JSON      bool   `help:"JSON instead of text." name:"json"`
}

func (c *labOutagesCmd) Run(out io.Writer) error {
	run, plan, err := openRun(c.RunFolder)
	if err != nil {
		return err
	}
	outages := report.NewOutages(plan)
	if _, err := run.Events(outages.Read); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, outages.List())
	}
	return report.WriteOutages(out, outages.List())
}
