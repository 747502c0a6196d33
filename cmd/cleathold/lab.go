package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/ledger"
	"cleathold/internal/scenario"
)

// labCmd groups the commands that run test scenarios and evaluate the runs.
type labCmd struct {
	Check   labCheckCmd   `cmd:"" help:"Read a scenario and say what it holds, or what is wrong with it."`
	Sim     labSimCmd     `cmd:"" help:"Play a scenario in virtual time."`
	Run     labRunCmd     `cmd:"" help:"Play a scenario on sockets, with senders as processes."`
	Serve   labServeCmd   `cmd:"" help:"Put a scenario's partners, discovery and notices behind loopback addresses."`
	Load    labLoadCmd    `cmd:"" help:"Hand a scenario's messages in to senders that run."`
	Fleet   labFleetCmd   `cmd:"" help:"${help_lab_fleet}"`
	Soak    labSoakCmd    `cmd:"" help:"Play cases of overlapping faults, drawn by seeds, with senders as processes."`
	Report  labReportCmd  `cmd:"" help:"Make a page of a run, or of several."`
	Limits  labLimitsCmd  `cmd:"" help:"${help_lab_limits}"`
	Outages labOutagesCmd `cmd:"" help:"${help_lab_outages}"`
	Compare labCompareCmd `cmd:"" help:"Play paired seeds with two builds or two scenarios, and tell whether they differ."`
}

// scenarioArgs holds the path of a scenario and the values of its parameters.
type scenarioArgs struct {
	Scenario string             `arg:"" help:"Scenario script." type:"existingfile"`
	Set      map[string]float64 `help:"${help_lab_set}" placeholder:"NAME=FIGURE"`
}

// load reads and evaluates the scenario script.
func (s *scenarioArgs) load() (*scenario.Scenario, error) { return scenario.Load(s.Scenario, s.Set) }

// seededScenarioArgs holds a scenario and the seed for a single run of it.
type seededScenarioArgs struct {
	scenarioArgs
	Seed uint64 `help:"Seed." default:"1"`
}

// runFolderArg holds the folder of a recorded run.
type runFolderArg struct {
	RunFolder string `arg:"" name:"run" help:"Run folder." type:"existingdir"`
}

// labCheckCmd checks a scenario and prints a summary of its plan.
type labCheckCmd struct {
	scenarioArgs
	Seed uint64 `help:"Seed of the draw." default:"1"`
}

// Run executes the command.
func (c *labCheckCmd) Run(out io.Writer) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	plan := s.Plan(c.Seed)
	endpoints := 0
	for _, d := range plan.Destinations {
		endpoints += len(d.Endpoints)
	}
	_, err = fmt.Fprintf(out, "%s: %v, %d senders, %.0f messages a second at full load, "+
		"%d destinations with %d endpoints, %d changes among them\n",
		s.Name, s.Length, s.Senders, plan.Rate, len(plan.Destinations), endpoints, len(plan.Changes))
	for _, m := range plan.Marks() {
		fmt.Fprintf(out, "  %.1f to %.1f s: %s\n", m.From.Seconds(), m.To.Seconds(), m.Text)
	}
	return err
}

// These are the modes of a run that the head of a ledger records.
const (
	modeVirtual = "virtual"
	modeSockets = "sockets"
)

// ledgerHead returns the head of a run's ledger. It records the scenario, the seed, the mode, the senders' program
// (empty for this program), the versions of the program and of Go, and the machine.
func ledgerHead(s *scenario.Scenario, seed uint64, mode, program string) ledger.Header {
	head := ledger.Header{
		Scenario: s.Name, Seed: seed, Mode: mode, Program: program, Go: runtime.Version(), Started: time.Now().UTC(),
		Figures: s.Figures,
	}
	head.Machine = fmt.Sprintf("%s/%s, %d cores", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	if info, ok := debug.ReadBuildInfo(); ok {
		head.Version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" {
				head.Version += " " + setting.Value
			}
		}
	}
	return head
}

// writeViolations writes a line for each violation of a run.
func writeViolations(out io.Writer, violations []audit.Violation) {
	for _, v := range violations {
		fmt.Fprintf(out, "  BROKEN at %v by sender %d: %s: %s (message %s, calls %v, times %v)\n",
			v.At, v.Sender, v.Rule, v.Text, v.Message, v.Calls, v.Times)
	}
}

// senderProgram returns the absolute path of the senders' program. An empty path stands for this program.
func senderProgram(path string) (string, error) {
	if path == "" {
		var err error
		if path, err = os.Executable(); err != nil {
			return "", err
		}
	}
	return filepath.Abs(path)
}
