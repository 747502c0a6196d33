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
	"sync"
	"syscall"
	"time"

	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

type labFleetCmd struct {
	Campaign labCampaignCmd `cmd:"" help:"Histories drawn by seeds; those that break something are kept as files."`
	Replay   labReplayCmd   `cmd:"" help:"Play a history from its file."`
	Measure  labMeasureCmd  `cmd:"" help:"A release over a whole fleet and back, and drains that are halted: how long they take."`
}

// clusterSetup is a yard of this program's own processes.
func clusterSetup(folder string, rate float64) (cluster.Setup, error) {
	program, err := os.Executable()
	return cluster.Setup{Program: program, Folder: folder, Rate: rate, Log: slog.New(slog.DiscardHandler)}, err
}

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

func (c *labCampaignCmd) Run(out io.Writer) error {
	if c.Seeds < 1 || c.Jobs < 1 || c.Senders < 2 || c.Agents < 1 || c.Length < time.Second {
		return errors.New("seeds, jobs and agents from 1 up, senders from 2, a length of a second at least")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var mu sync.Mutex
	var wg sync.WaitGroup
	next, broken, played, orders := c.From, 0, 0, 0
	for range c.Jobs {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= c.From+uint64(c.Seeds) || ctx.Err() != nil {
					return
				}
				h := cluster.Draw(seed, c.Senders, c.Agents, c.Length)
				err := playHistory(ctx, h, c.Rate)
				mu.Lock()
				if err != nil {
					h.Faults = append(h.Faults, "not played: "+err.Error())
				}
				played++
				orders += h.Orders
				writeHistory(out, h)
				if len(h.Faults) > 0 && ctx.Err() == nil {
					broken++
					path := filepath.Join(c.Out, fmt.Sprintf("history-%d.json", seed))
					if err := h.Save(path); err != nil {
						fmt.Fprintln(out, err)
					}
					fmt.Fprintf(out, "  kept as %s\n", path)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d histories played, %d broke something; senders went out by order %d times\n", played, broken, orders)
	return violationsError(broken)
}

func playHistory(ctx context.Context, h *cluster.History, rate float64) error {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	s, err := clusterSetup(folder, rate)
	if err != nil {
		return err
	}
	return h.Play(ctx, s)
}

func writeHistory(out io.Writer, h *cluster.History) {
	fmt.Fprintf(out, "seed %d: %d out at once at most (%d may be), %d times by order, service %.3f, %d plans\n", h.Seed, h.MaxOut, h.Budget.Fleet, h.Orders, h.Served, len(h.Plans))
	for _, f := range h.Faults {
		fmt.Fprintf(out, "  BROKEN: %.600s\n", f)
	}
}

type labReplayCmd struct {
	History string  `arg:"" help:"File of a history." type:"existingfile"`
	Rate    float64 `help:"Messages a second over all senders." default:"60"`
}

func (c *labReplayCmd) Run(out io.Writer) error {
	h, err := cluster.LoadHistory(c.History)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := playHistory(ctx, h, c.Rate); err != nil {
		return exitError{err, exitIncomplete}
	}
	writeHistory(out, h)
	return violationsError(len(h.Faults))
}

type labMeasureCmd struct {
	Senders int     `help:"Senders." default:"100"`
	Agents  int     `help:"Agents." default:"5"`
	Budget  int     `help:"Senders out at once." default:"10"`
	Rate    float64 `help:"Messages a second over all senders." default:"300"`
	Faults  bool    `help:"Kill agents and cut links meanwhile."`
	JSON    bool    `help:"JSON instead of text." name:"json"`
}

func (c *labMeasureCmd) Run(out io.Writer) error {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	s, err := clusterSetup(folder, c.Rate)
	if err != nil {
		return err
	}
	s.Senders, s.Agents, s.Seed, s.Terms = c.Senders, c.Agents, 1, rollout.DefaultTerms
	s.Terms.Budget.Fleet = c.Budget
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	m, err := cluster.Measure(ctx, s, c.Faults)
	if err != nil {
		return exitError{err, exitIncomplete}
	}
	if c.JSON {
		return writeJSON(out, m)
	}
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	fmt.Fprintf(out, "%d senders, %d agents, faults %t: all serve after %v\n", m.Senders, m.Agents, m.WithFaults, round(m.Begin))
	fmt.Fprintf(out, "release %v, resumed %d times; %d of %d hand-ins ended at the door; back %v\n", round(m.Release), m.Resumes, m.FailedSubmissions, m.Submissions, round(m.RollBack))
	fmt.Fprintf(out, "after a halt the last sender went out at %v; with the leader cut off %v\n", round(m.HaltAll), round(m.HaltCut))
	fmt.Fprintf(out, "service %.3f, %d rules broken, %d times over the budget\n", m.Served, m.Violations, m.OverBudget)
	for _, k := range []struct {
		name string
		c    cluster.Cost
	}{{"at rest", m.AtRest}, {"in the release", m.DuringRelease}} {
		fmt.Fprintf(out, "an agent %s: %.3f of a processor, %.0f MB; a second: raft %.0f bytes and %.1f calls, sights %.0f bytes and %.1f calls, looks %.0f bytes and %.1f calls\n",
			k.name, k.c.Processor, k.c.MemoryMB, k.c.RaftBytes, k.c.RaftCalls, k.c.ToldBytes, k.c.ToldCalls, k.c.LookBytes, k.c.Looks)
	}
	fmt.Fprintf(out, "a sender at rest: watched %.4f of a processor, %.1f MB; with all agents stopped %.4f, %.1f MB\n", m.WithAgent.Processor, m.WithAgent.MemoryMB, m.WithoutAgent.Processor, m.WithoutAgent.MemoryMB)
	fmt.Fprintf(out, "messages that took effect: %.4f of those wanted before the release, %.4f in it\n", m.Before, m.During)
	return violationsError(m.Violations + m.OverBudget)
}
