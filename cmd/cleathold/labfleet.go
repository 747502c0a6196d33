package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// labFleetCmd groups the commands that run a cluster: senders, agents and partners as processes on one machine.
type labFleetCmd struct {
	Campaign labCampaignCmd `cmd:"" help:"Histories drawn by seeds; those that break something are kept as files."`
	Replay   labReplayCmd   `cmd:"" help:"Play a history from its file."`
	Measure  labMeasureCmd  `cmd:"" help:"${help_lab_fleet_measure}"`
}

// clusterSetup returns the setup of a cluster whose processes run this program, with rate messages per second.
func clusterSetup(folder string, rate float64) (cluster.Setup, error) {
	program, err := os.Executable()
	return cluster.Setup{Program: program, Folder: folder, Rate: rate, Log: slog.New(slog.DiscardHandler)}, err
}

// labCampaignCmd plays histories of faults and operators' commands that are generated from seeds.
type labCampaignCmd struct {
	Seeds   int           `help:"Histories, each with the next seed." default:"200"`
	From    uint64        `help:"First seed." default:"1"`
	Jobs    int           `help:"Histories at once." default:"2"`
	Senders int           `help:"Senders." default:"12"`
	Agents  int           `help:"Agents." default:"3"`
	Length  time.Duration `help:"Faults and orders go on for so long." default:"12s"`
	Rate    float64       `help:"Messages a second over all senders." default:"60"`
	Out     string        `help:"Folder for the histories that broke something." default:"."`
}

// Run executes the command.
func (c *labCampaignCmd) Run(out io.Writer) error {
	if c.Seeds < 1 || c.Jobs < 1 || c.Senders < 2 || c.Agents < 1 || c.Length < time.Second {
		return errors.New("--seeds, --jobs and --agents must be at least 1, --senders at least 2, --length at least 1s")
	}
	ctx, stop := interruptible()
	defer stop()
	summary := campaignResult{out: out, folder: c.Out}
	var wg sync.WaitGroup
	seeds := seedChannel(ctx, c.From, c.Seeds)
	for range c.Jobs {
		wg.Go(func() {
			for seed := range seeds {
				history := cluster.Draw(seed, c.Senders, c.Agents, c.Length)
				err := playHistory(ctx, history, c.Rate)
				summary.add(history, err, ctx.Err() != nil)
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d histories played, %d broke something; senders went out by order %d times\n",
		summary.played, summary.broken, summary.orders)
	return violationsError(summary.broken)
}

// seedChannel returns a channel that yields count consecutive seeds from first on. The channel is closed early if the
// context is canceled.
func seedChannel(ctx context.Context, first uint64, count int) <-chan uint64 {
	seeds := make(chan uint64)
	go func() {
		defer close(seeds)
		for i := range count {
			if ctx.Err() != nil {
				return
			}
			select {
			case seeds <- first + uint64(i):
			case <-ctx.Done():
				return
			}
		}
	}()
	return seeds
}

// campaignResult counts the histories of a campaign and writes the result of each. Its method may be called from
// several goroutines.
type campaignResult struct {
	out    io.Writer
	folder string // for the histories with violations or errors

	mu                     sync.Mutex
	played, broken, orders int
}

// add counts a history that was played, or that failed with err. A history with faults is saved, unless the campaign
// was aborted, because its faults may result from the abort.
func (r *campaignResult) add(history *cluster.History, err error, aborted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		history.Faults = append(history.Faults, "not played: "+err.Error())
	}
	r.played++
	r.orders += history.Orders
	writeHistory(r.out, history)
	if len(history.Faults) == 0 || aborted {
		return
	}
	r.broken++
	path := filepath.Join(r.folder, fmt.Sprintf("history-%d.json", history.Seed))
	if err := history.Save(path); err != nil {
		fmt.Fprintln(r.out, err)
	}
	fmt.Fprintf(r.out, "  kept as %s\n", path)
}

// playHistory plays a history in a temporary folder.
func playHistory(ctx context.Context, history *cluster.History, rate float64) error {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	setup, err := clusterSetup(folder, rate)
	if err != nil {
		return err
	}
	return history.Play(ctx, setup)
}

// writeHistory writes a history's figures and its faults.
func writeHistory(out io.Writer, h *cluster.History) {
	fmt.Fprintf(out, "seed %d: %d out at once at most (%d may be), %d times by order, service %.3f, %d plans\n",
		h.Seed, h.MaxOut, h.Budget.Fleet, h.Orders, h.Served, len(h.Plans))
	for _, fault := range h.Faults {
		fmt.Fprintf(out, "  BROKEN: %.600s\n", fault)
	}
}

// labReplayCmd replays a history that a campaign has saved.
type labReplayCmd struct {
	History string  `arg:"" help:"File of a history." type:"existingfile"`
	Rate    float64 `help:"Messages a second over all senders." default:"60"`
}

// Run executes the command.
func (c *labReplayCmd) Run(out io.Writer) error {
	history, err := cluster.LoadHistory(c.History)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	if err := playHistory(ctx, history, c.Rate); err != nil {
		return exitError{err, exitIncomplete}
	}
	writeHistory(out, history)
	return violationsError(len(history.Faults))
}

// labMeasureCmd measures the duration and the cost of a release and of drains of a whole fleet.
type labMeasureCmd struct {
	Senders int     `help:"Senders." default:"100"`
	Agents  int     `help:"Agents." default:"5"`
	Budget  int     `help:"Senders out at once." default:"10"`
	Rate    float64 `help:"Messages a second over all senders." default:"300"`
	Faults  bool    `help:"Kill agents and cut links meanwhile."`
	jsonFlag
}

// Run executes the command.
func (c *labMeasureCmd) Run(out io.Writer) error {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	setup, err := clusterSetup(folder, c.Rate)
	if err != nil {
		return err
	}
	setup.Senders, setup.Agents, setup.Seed, setup.Terms = c.Senders, c.Agents, 1, rollout.DefaultTerms
	setup.Terms.Budget.Fleet = c.Budget
	ctx, stop := interruptible()
	defer stop()
	m, err := cluster.Measure(ctx, setup, c.Faults)
	if err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		return writeJSON(out, m)
	}
	writeMeasurement(out, m)
	return violationsError(m.Violations + m.OverBudget)
}

// writeMeasurement writes the result of 'lab fleet measure'.
func writeMeasurement(out io.Writer, m cluster.Measurement) {
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	fmt.Fprintf(out, "%d senders, %d agents, faults %t: all serve after %v\n",
		m.Senders, m.Agents, m.WithFaults, round(m.Begin))
	fmt.Fprintf(out, "release %v, resumed %d times; %d of %d hand-ins ended at the door; back %v\n",
		round(m.Release), m.Resumes, m.FailedSubmissions, m.Submissions, round(m.RollBack))
	fmt.Fprintf(out, "after a halt the last sender went out at %v; with the leader cut off %v\n",
		round(m.HaltAll), round(m.HaltCut))
	fmt.Fprintf(out, "service %.3f, %d rules broken, %d times over the budget\n", m.Served, m.Violations, m.OverBudget)
	writeAgentCost(out, "at rest", m.AtRest)
	writeAgentCost(out, "in the release", m.DuringRelease)
	fmt.Fprintf(out, "a sender at rest: watched %.4f of a processor, %.1f MB; with all agents stopped %.4f, %.1f MB\n",
		m.WithAgent.Processor, m.WithAgent.MemoryMB, m.WithoutAgent.Processor, m.WithoutAgent.MemoryMB)
	fmt.Fprintf(out, "messages that took effect: %.4f of those wanted before the release, %.4f in it\n",
		m.Before, m.During)
}

// writeAgentCost writes the processor time, memory and network traffic of an agent.
func writeAgentCost(out io.Writer, when string, c cluster.AgentUsage) {
	fmt.Fprintf(out, "an agent %s: %.3f of a processor, %.0f MB; a second: raft %.0f bytes and %.1f calls, "+
		"sights %.0f bytes and %.1f calls, looks %.0f bytes and %.1f calls\n",
		when, c.Processor, c.MemoryMB, c.RaftBytes, c.RaftCalls, c.ReportBytes, c.ReportCalls, c.PollBytes, c.PollCalls)
}
