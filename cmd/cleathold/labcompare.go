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
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"cleathold/internal/harness"
	"cleathold/internal/report"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

type labCompareCmd struct {
	A        string             `arg:"" help:"One side: a program, or a scenario script." type:"existingfile"`
	B        string             `arg:"" help:"The other side, of the same sort." type:"existingfile"`
	Scenario string             `help:"Scenario, where the sides are programs." type:"existingfile"`
	Set      map[string]float64 `help:"A figure for what the scripts name by param(NAME, usual)." placeholder:"NAME=FIGURE"`
	Runs     int                `help:"Pairs of runs, each with the next seed." default:"10"`
	Seed     uint64             `help:"Seed of the first pair." default:"1"`
	Sockets  bool               `help:"Play on sockets instead of in virtual time."`
	JSON     bool               `help:"JSON instead of text." name:"json"`

	SettingsA string `help:"Settings script for A's senders, on sockets." type:"existingfile"`
	SettingsB string `help:"Settings script for B's senders, on sockets." type:"existingfile"`
}

// comparison is what a comparison shows.
type comparison struct {
	A      []float64 `json:"A"`
	B      []float64 `json:"B"`
	Seeds  []uint64  `json:"Seeds"`
	Broken [2]int    `json:"Broken"`
	report.Difference
}

func (c *labCompareCmd) Run(out io.Writer, log *slog.Logger) error {
	scripts := strings.HasSuffix(c.A, ".star") && strings.HasSuffix(c.B, ".star")
	switch {
	case !scripts && c.Scenario == "":
		return errors.New("name the scenario that both programs play, by --scenario")
	case scripts && c.Scenario != "":
		return errors.New("--scenario goes with two programs; here the sides are scenarios themselves")
	case c.Runs < 2:
		return errors.New("--runs: 2 at the least")
	case !c.Sockets && (c.SettingsA != "" || c.SettingsB != ""):
		return errors.New("settings for the senders go with --sockets")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmp := comparison{}
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		var pair [2]float64
		for side, what := range []string{c.A, c.B} {
			service, broken, err := c.play(ctx, side, what, scripts, seed, log)
			if err != nil {
				return exitError{fmt.Errorf("%s, seed %d: %w", what, seed, err), exitIncomplete}
			}
			pair[side] = service
			cmp.Broken[side] += broken
		}
		cmp.A, cmp.B, cmp.Seeds = append(cmp.A, pair[0]), append(cmp.B, pair[1]), append(cmp.Seeds, seed)
		fmt.Fprintf(os.Stderr, "seed %d: A %.4f, B %.4f\n", seed, pair[0], pair[1])
	}
	var err error
	if cmp.Difference, err = report.Pair(cmp.A, cmp.B); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, cmp)
	}
	verdict := "a difference"
	if cmp.Noise {
		verdict = fmt.Sprintf("noise: %d pairs would not show a difference under %.4f", cmp.Pairs, cmp.Detectable)
	}
	fmt.Fprintf(out, "A %.4f, B %.4f; B less A: %+.4f, 95%% interval %+.4f to %+.4f over %d pairs: %s\n",
		cmp.Difference.A, cmp.Difference.B, cmp.Mean, cmp.Low, cmp.High, cmp.Pairs, verdict)
	if cmp.Broken != [2]int{} {
		fmt.Fprintf(out, "breaks of rules: A %d, B %d\n", cmp.Broken[0], cmp.Broken[1])
	}
	return nil
}

// play is one run of one side.
func (c *labCompareCmd) play(ctx context.Context, side int, what string, scripts bool, seed uint64, log *slog.Logger) (float64, int, error) {
	path, program := c.Scenario, what
	if scripts {
		path, program = what, ""
	}
	if c.Sockets {
		s, err := scenario.Load(path, c.Set)
		if err != nil {
			return 0, 0, err
		}
		r, err := playSockets(ctx, s, harness.Setup{Plan: s.Plan(seed), Program: program, Settings: []string{c.SettingsA, c.SettingsB}[side], Log: log})
		return r.Service, len(r.Violations), err
	}
	if scripts {
		s, err := scenario.Load(path, c.Set)
		if err != nil {
			return 0, 0, err
		}
		r := (&labSimCmd{}).play(ctx, s, seed, slog.New(slog.DiscardHandler))
		return r.result.Service, len(r.result.Violations), r.err
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return 0, 0, err
	}
	args := []string{"lab", "sim", path, "--json", "--seed", fmt.Sprint(seed)}
	for name, v := range c.Set {
		args = append(args, fmt.Sprintf("--set=%s=%g", name, v))
	}
	text, err := exec.CommandContext(ctx, program, args...).Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) && failed.ExitCode() == exitViolations {
		err = nil
	} else if errors.As(err, &failed) {
		return 0, 0, fmt.Errorf("%w: %s", err, failed.Stderr)
	}
	if err != nil {
		return 0, 0, err
	}
	var r simulation.Result
	if err := json.Unmarshal(text, &r); err != nil {
		return 0, 0, fmt.Errorf("its result can't be read: %w", err)
	}
	return r.Service, len(r.Violations), nil
}
