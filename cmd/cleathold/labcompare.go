package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"cleathold/internal/harness"
	"cleathold/internal/report"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// labCompareCmd runs two programs or two scenarios with the same seeds and compares the service that they reach.
type labCompareCmd struct {
	A        string             `arg:"" help:"One side: a program, or a scenario script." type:"existingfile"`
	B        string             `arg:"" help:"The other side, of the same sort." type:"existingfile"`
	Scenario string             `help:"Scenario, where the sides are programs." type:"existingfile"`
	Set      map[string]float64 `help:"${help_lab_compare_set}" placeholder:"NAME=FIGURE"`
	Runs     int                `help:"Pairs of runs, each with the next seed." default:"10"`
	Seed     uint64             `help:"Seed of the first pair." default:"1"`
	Sockets  bool               `help:"Play on sockets instead of in virtual time."`
	jsonFlag

	SettingsA string `help:"Settings script for A's senders, on sockets." type:"existingfile"`
	SettingsB string `help:"Settings script for B's senders, on sockets." type:"existingfile"`
}

// comparison is the result of 'lab compare': the service of each side by pair, the seeds of the pairs, the number of
// violations of each side, and the difference.
type comparison struct {
	ServiceA   []float64 `json:"A"`
	ServiceB   []float64 `json:"B"`
	Seeds      []uint64  `json:"Seeds"`
	Violations [2]int    `json:"Broken"`
	report.Difference
}

// side is one of the two sides of a comparison.
type side struct {
	scenario string // path of the scenario script
	program  string // path of the senders' program; empty for this program
	settings string // path of the senders' settings script, for runs on sockets
}

// sideResult is the result of one run of one side.
type sideResult struct {
	service    float64
	violations int
}

// sides returns both sides, or an error if the flags contradict each other.
func (c *labCompareCmd) sides() ([2]side, error) {
	scripts := strings.HasSuffix(c.A, ".star") && strings.HasSuffix(c.B, ".star")
	switch {
	case !scripts && c.Scenario == "":
		return [2]side{}, errors.New("--scenario is required unless both sides are scenario scripts")
	case scripts && c.Scenario != "":
		return [2]side{}, errors.New("--scenario can be used only with two programs, not with two scenarios")
	case c.Runs < 2:
		return [2]side{}, errors.New("--runs must be at least 2")
	case !c.Sockets && (c.SettingsA != "" || c.SettingsB != ""):
		return [2]side{}, errors.New("--settings-a and --settings-b require --sockets")
	case scripts:
		return [2]side{{scenario: c.A, settings: c.SettingsA}, {scenario: c.B, settings: c.SettingsB}}, nil
	}
	return [2]side{
		{scenario: c.Scenario, program: c.A, settings: c.SettingsA},
		{scenario: c.Scenario, program: c.B, settings: c.SettingsB},
	}, nil
}

// Run executes the command.
func (c *labCompareCmd) Run(out io.Writer, log *slog.Logger) error {
	sides, err := c.sides()
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	result := comparison{}
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		var pair [2]sideResult
		for k, s := range sides {
			if pair[k], err = c.play(ctx, s, seed, log); err != nil {
				return exitError{fmt.Errorf("%s, seed %d: %w", []string{c.A, c.B}[k], seed, err), exitIncomplete}
			}
			result.Violations[k] += pair[k].violations
		}
		result.ServiceA = append(result.ServiceA, pair[0].service)
		result.ServiceB = append(result.ServiceB, pair[1].service)
		result.Seeds = append(result.Seeds, seed)
		fmt.Fprintf(os.Stderr, "seed %d: A %.4f, B %.4f\n", seed, pair[0].service, pair[1].service)
	}
	if result.Difference, err = report.Pair(result.ServiceA, result.ServiceB); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, result)
	}
	writeComparison(out, result)
	return nil
}

// writeComparison writes the difference and the number of violations.
func writeComparison(out io.Writer, c comparison) {
	verdict := "a difference"
	if c.Noise {
		verdict = fmt.Sprintf("noise: %d pairs would not show a difference under %.4f", c.Pairs, c.Detectable)
	}
	fmt.Fprintf(out, "A %.4f, B %.4f; B less A: %+.4f, 95%% interval %+.4f to %+.4f over %d pairs: %s\n",
		c.Difference.A, c.Difference.B, c.Mean, c.Low, c.High, c.Pairs, verdict)
	if c.Violations != [2]int{} {
		fmt.Fprintf(out, "breaks of rules: A %d, B %d\n", c.Violations[0], c.Violations[1])
	}
}

// play executes one run of one side: on sockets, or in virtual time with this program or with the side's program.
func (c *labCompareCmd) play(ctx context.Context, s side, seed uint64, log *slog.Logger) (sideResult, error) {
	if !c.Sockets && s.program != "" {
		return c.playProgram(ctx, s, seed)
	}
	script, err := scenario.Load(s.scenario, c.Set)
	if err != nil {
		return sideResult{}, err
	}
	if c.Sockets {
		setup := harness.Setup{Plan: script.Plan(seed), Program: s.program, Settings: s.settings, Log: log}
		r, err := playSockets(ctx, script, setup)
		return sideResult{r.Service, len(r.Violations)}, err
	}
	run := (&labSimCmd{}).play(ctx, script, seed, slog.New(slog.DiscardHandler))
	return sideResult{run.result.Service, len(run.result.Violations)}, run.err
}

// playProgram executes 'lab sim' of the side's program. Violations are part of the result, not an error.
func (c *labCompareCmd) playProgram(ctx context.Context, s side, seed uint64) (sideResult, error) {
	program, err := filepath.Abs(s.program)
	if err != nil {
		return sideResult{}, err
	}
	args := []string{"lab", "sim", s.scenario, "--json", "--seed", fmt.Sprint(seed)}
	for name, value := range c.Set {
		args = append(args, fmt.Sprintf("--set=%s=%g", name, value))
	}
	output, err := exec.CommandContext(ctx, program, args...).Output()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) && exitErr.ExitCode() != exitViolations {
		return sideResult{}, fmt.Errorf("%w: %s", err, exitErr.Stderr)
	}
	if err != nil && exitErr == nil {
		return sideResult{}, err
	}
	var r simulation.Result
	if err := json.Unmarshal(output, &r); err != nil {
		return sideResult{}, fmt.Errorf("parse the result of lab sim: %w", err)
	}
	return sideResult{r.Service, len(r.Violations)}, nil
}
