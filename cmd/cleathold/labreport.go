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

// openRun opens a run folder and regenerates the run's plan from its scenario and seed.
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

// labReportCmd writes a report page for each run.
type labReportCmd struct {
	Runs []string `arg:"" help:"Run folders." type:"existingdir"`
	HTML string   `help:"Write a page to this file, with drawings; with several runs, one after the other." name:"html"`
}

// Run executes the command.
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
		page, err := readPage(folder)
		if err != nil {
			return err
		}
		if err := page.Text(out); err != nil {
			return err
		}
		if file != nil {
			if err := page.HTML(file); err != nil {
				return err
			}
		}
	}
	if file != nil {
		return file.Close()
	}
	return nil
}

// readPage reads a run folder and returns its report page. The page of an aborted run has a note about it.
func readPage(folder string) (*report.Page, error) {
	run, plan, err := openRun(folder)
	if err != nil {
		return nil, err
	}
	collector := report.NewCollector(plan)
	complete, err := run.Events(collector.Read)
	if err != nil {
		return nil, err
	}
	head := run.Head
	program := strings.TrimSpace(head.Program + " " + head.Version + " " + head.Go)
	facts := report.Facts{Head: []report.Line{
		{Name: "seed", Value: fmt.Sprint(head.Seed)},
		{Name: "played", Value: head.Mode + ", " + head.Started.Format(time.RFC3339)},
		{Name: "program", Value: program},
		{Name: "machine", Value: head.Machine},
	}}
	if !complete {
		facts.Notes = append(facts.Notes, "the ledger ends in the middle: the run was broken off")
	}
	if run.Result == nil {
		facts.Notes = append(facts.Notes, "no result: the run was broken off, rules are not judged")
		return collector.Page(facts)
	}
	var r harness.Result
	if err := json.Unmarshal(run.Result, &r); err != nil {
		return nil, fmt.Errorf("%s: result: %w", folder, err)
	}
	facts.Violations, facts.Notes = r.Violations, append(facts.Notes, r.Warnings...)
	if head.Mode == modeSockets {
		lag := fmt.Sprintf("partners %.2f ms at the 99th percentile, clients %.2f ms", r.EndpointLag.P99, r.Clients.Lag.P99)
		facts.Head = append(facts.Head, report.Line{Name: "lag of the rig", Value: lag})
	}
	return collector.Page(facts)
}

// labOutagesCmd lists the outages of endpoints in a run.
type labOutagesCmd struct {
	runFolderArg
	jsonFlag
}

// Run executes the command.
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

// labLimitsCmd compares the calls of all senders in a run with the limits of destinations.
type labLimitsCmd struct {
	runFolderArg
	Destination int `help:"Only this one, second by second; without it, each whose limit changes, by spans."`
	jsonFlag
}

// Run executes the command.
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
		return c.writeDestination(out, sums)
	}
	var spans []report.Span
	for _, d := range sums.LimitedDestinations() {
		spans = append(spans, sums.Spans(d)...)
	}
	if c.JSON {
		return writeJSON(out, spans)
	}
	fmt.Fprintf(out, "%11s %7s %7s %8s %8s %8s %8s %10s %6s\n",
		"DESTINATION", "FROM", "TO", "LIMIT", "CALLS", "REFUSED", "SERVED", "WORST/LIMIT", "USED")
	for _, span := range spans {
		fmt.Fprintf(out, "%11d %7d %7d %8.1f %8.1f %8.1f %8.1f %11.2f %6.2f\n",
			span.Dest, span.From, span.To, span.Limit, span.Calls, span.Rejected, span.Served, span.MaxExcess, span.Used)
	}
	return nil
}

// writeDestination writes the sums of one destination by second.
func (c *labLimitsCmd) writeDestination(out io.Writer, sums *report.Sums) error {
	if len(sums.ForDestination(c.Destination)) == 0 {
		return fmt.Errorf("the run has no calls to destination %d", c.Destination)
	}
	if c.JSON {
		return writeJSON(out, sums.ForDestination(c.Destination))
	}
	return sums.Table(out, c.Destination)
}
