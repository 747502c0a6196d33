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
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/ledger"
	"cleathold/internal/report"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// exitViolations is the exit code of a rehearsal in which a rule was broken.
const exitViolations = 6

// exitIncomplete is the exit code of one that did not come to its end.
const exitIncomplete = 7

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

func writeViolations(out io.Writer, breaks []audit.Violation) {
	for _, b := range breaks {
		fmt.Fprintf(out, "  BROKEN at %v by sender %d: %s: %s (message %s, calls %v, times %v)\n", b.At, b.Sender, b.Rule, b.Text, b.Message, b.Calls, b.Times)
	}
}

func violationsError(broken int) error {
	if broken > 0 {
		return exitError{fmt.Errorf("%d breaks of rules", broken), exitViolations}
	}
	return nil
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

type labRunCmd struct {
	scenarioArgs
	Seed     uint64  `help:"Seed." default:"1"`
	Out      string  `help:"Folder for the run."`
	Program  string  `help:"The senders' program; without it this one." type:"existingfile"`
	Settings string  `help:"Settings script for the senders." type:"existingfile"`
	MemoryMB float64 `help:"Memory that each sender may have, in MB." name:"memory-mb" default:"192"`
	JSON     bool    `help:"JSON instead of text." name:"json"`
}

func (c *labRunCmd) Run(out io.Writer, log *slog.Logger) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if s.Agents.Number > 0 {
		return c.runWithAgents(out, s)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r, err := playSockets(ctx, s, harness.Setup{Plan: s.Plan(c.Seed), Program: c.Program, Settings: c.Settings, MemoryMB: c.MemoryMB, Folder: c.Out, Log: log, Progress: os.Stderr})
	if err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		if err := writeJSON(out, r); err != nil {
			return err
		}
		return violationsError(len(r.Violations))
	}
	fmt.Fprintf(out, "seed %d: service %.3f (whole %.3f, worst 10 s %.3f at %v), %d messages, %d calls, %d refused, %d connections, %d restarts\n",
		r.Seed, r.Service, r.Overall, r.Worst, r.WorstAt, r.Messages, r.Calls, r.RejectedCalls, r.Connections, r.Restarts)
	fmt.Fprintf(out, "lag of the rig: partners %.2f ms at the 99th percentile, %.2f at most; clients %.2f and %.2f; hand-ins answered after %.2f ms at the 99th percentile\n",
		r.Rig.P99, r.Rig.Max, r.Clients.Lag.P99, r.Clients.Lag.Max, r.Clients.ResponseTime.P99)
	fmt.Fprintf(out, "a sender had %.0f MB at most\n", r.PeakMB)
	for _, m := range r.Warnings {
		fmt.Fprintln(out, "NOTE:", m)
	}
	writeViolations(out, r.Violations)
	return violationsError(len(r.Violations))
}

// playSockets is one run on sockets. Its folder is a temporary one if none is named.
func playSockets(ctx context.Context, s *scenario.Scenario, set harness.Setup) (harness.Result, error) {
	var err error
	if set.Program == "" {
		if set.Program, err = os.Executable(); err != nil {
			return harness.Result{}, err
		}
	}
	for _, path := range []*string{&set.Program, &set.Settings, &set.Folder} { // the senders run elsewhere
		if *path == "" {
			continue
		}
		if *path, err = filepath.Abs(*path); err != nil {
			return harness.Result{}, err
		}
	}
	if set.Folder == "" {
		if set.Folder, err = os.MkdirTemp("", "cleathold-lab-"); err != nil {
			return harness.Result{}, err
		}
		defer os.RemoveAll(set.Folder)
		return harness.Run(ctx, set)
	}
	writer, err := ledger.Create(set.Folder, ledgerHead(s, set.Plan.Seed, "sockets", set.Program), s.Script)
	if err != nil {
		return harness.Result{}, err
	}
	set.Sink = writer.Read
	r, err := harness.Run(ctx, set)
	if err != nil {
		return r, errors.Join(err, writer.Close())
	}
	return r, writer.Finish(r)
}

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

type labLimitsCmd struct {
	RunFolder   string `arg:"" name:"run" help:"Run folder." type:"existingdir"`
	Destination int    `help:"Only this one, second by second; without it, each whose limit changes, by spans."`
	JSON        bool   `help:"JSON instead of text." name:"json"`
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
