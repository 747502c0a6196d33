package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"cleathold/internal/soak"
)

// maxShownFindings is the number of findings that are written for a case.
const maxShownFindings = 20

// labSoakCmd plays cases of overlapping faults that are generated from seeds.
type labSoakCmd struct {
	Seeds   int           `help:"Cases, each with the next seed." default:"50"`
	From    uint64        `help:"First seed." default:"1"`
	Jobs    int           `help:"Cases at once." default:"1"`
	Senders int           `help:"Senders of a case, at the least." default:"10"`
	Length  time.Duration `help:"Traffic and faults go on for so long." default:"20s"`
	Rate    float64       `help:"Messages a second for each sender." default:"6"`
	Calls   bool          `help:"Have system calls of some senders fail; needs strace."`
	Doubts  bool          `help:"Other cases: discovery breaks off answers and goes down, and processes end before it is back."`
	Out     string        `help:"Folder for what the processes of unsound cases wrote." default:"."`
	Program string        `help:"The senders' program; without it this one." type:"existingfile"`
	Show    bool          `help:"Write what is drawn and play nothing."`
}

// Run executes the command.
func (c *labSoakCmd) Run(out io.Writer) error {
	if c.Seeds < 1 || c.Jobs < 1 || c.Senders < 2 || c.Length < 5*time.Second || !(c.Rate > 0) {
		return errors.New("--seeds and --jobs must be at least 1, --senders at least 2, --length at least 5s, --rate above 0")
	}
	options := soak.Options{Senders: c.Senders, Length: c.Length, Rate: c.Rate, ListDoubts: c.Doubts}
	var err error
	if c.Calls {
		if options.Strace, err = exec.LookPath("strace"); err != nil {
			return err
		}
	}
	if c.Program, err = senderProgram(c.Program); err != nil {
		return err
	}
	if c.Show {
		for i := range c.Seeds {
			writeCase(out, soak.Draw(c.From+uint64(i), options))
		}
		return nil
	}
	return c.playAll(out, options)
}

// playAll plays the cases, with up to c.Jobs in parallel.
func (c *labSoakCmd) playAll(out io.Writer, options soak.Options) error {
	ctx, stop := interruptible()
	defer stop()
	seeds := seedChannel(ctx, c.From, c.Seeds)
	var mu sync.Mutex
	var wg sync.WaitGroup
	unsound, played := 0, 0
	for range c.Jobs {
		wg.Go(func() {
			for seed := range seeds {
				drawn := soak.Draw(seed, options)
				report, folder, err := c.play(ctx, drawn)
				mu.Lock()
				played++
				if !writeReport(out, drawn, report, folder, err) {
					unsound++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d cases played, %d unsound\n", played, unsound)
	if ctx.Err() != nil {
		return exitError{errInterrupted, exitIncomplete}
	}
	return violationsError(unsound)
}

// play plays one case in a separate folder. It removes the folder if the case has no findings.
func (c *labSoakCmd) play(ctx context.Context, drawn *soak.Case) (*soak.Report, string, error) {
	folder, err := filepath.Abs(filepath.Join(c.Out, fmt.Sprintf("soak-%d", drawn.Seed)))
	if err != nil {
		return nil, "", err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, "", err
	}
	report, err := soak.Play(ctx, drawn, c.Program, folder, slog.New(slog.DiscardHandler))
	if err == nil && len(report.Findings) == 0 {
		err = os.RemoveAll(folder)
	}
	return report, folder, err
}

// writeReport writes the result of a case and reports whether the case was played without findings.
func writeReport(out io.Writer, drawn *soak.Case, r *soak.Report, folder string, err error) bool {
	if err != nil {
		fmt.Fprintf(out, "seed %d: not played: %v (%s)\n", drawn.Seed, err, folder)
		return false
	}
	result := r.Result
	fmt.Fprintf(out, "seed %d: %d senders, %d messages, service %.2f, %d calls, %d connections, %d restarts, %.0f MB, "+
		"lag %.1f ms, %d findings\n",
		drawn.Seed, drawn.Senders, result.Messages, result.Service, result.Calls, result.Connections, result.Restarts,
		result.PeakMB, result.EndpointLag.P99, len(r.Findings))
	if len(r.Findings) == 0 {
		return true
	}
	for _, finding := range r.Findings[:min(len(r.Findings), maxShownFindings)] {
		fmt.Fprintln(out, " ", finding)
	}
	writeCase(out, drawn)
	fmt.Fprintf(out, "  logs: %s\n", folder)
	return false
}

// writeCase writes the scenario of a case and the notes about how it was generated.
func writeCase(out io.Writer, drawn *soak.Case) {
	fmt.Fprintf(out, "seed %d\n%s", drawn.Seed, drawn.Script)
	for _, note := range drawn.Notes {
		fmt.Fprintln(out, "#", note)
	}
}
