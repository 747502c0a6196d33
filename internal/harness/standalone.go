package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"time"

	"cleathold/internal/scenario"
)

// Serve opens a plan's endpoints, discovery and receiver of delivery reports on loopback addresses, writes a
// configuration file for each sender, and serves until the context ends. It does not start the senders. The plan's
// clock starts at once.
func Serve(ctx context.Context, s Setup, out io.Writer) (Result, error) {
	env, err := NewEnvironment(ctx, s.Plan, s.Log, s.Sink)
	if err != nil {
		return Result{}, err
	}
	processes, err := prepareSenders(env, s, out)
	for _, p := range processes {
		defer p.ReleasePort()
	}
	if err == nil {
		env.Begin()
		<-env.ctx.Done()
		if err = context.Cause(env.ctx); errors.Is(err, context.Canceled) {
			err = nil
		}
	}
	r := Result{Result: env.Close(), EndpointLag: summarizeLag(env.lag)}
	r.addWarnings()
	// Without the submissions, which are not observed here, most rules cannot be checked.
	r.Violations = nil
	r.Warnings = append(r.Warnings,
		"service and rules are not judged: what clients elsewhere hand in is not seen here")
	return r, err
}

// prepareSenders opens the endpoints and discovery and writes the senders' configuration files. The returned processes
// hold reserved ports, even if an error is returned.
func prepareSenders(env *Environment, s Setup, out io.Writer) ([]*Process, error) {
	if err := env.OpenEndpoints(); err != nil {
		return nil, err
	}
	platform, err := env.OpenPlatform()
	if err != nil {
		return nil, err
	}
	var processes []*Process
	for i := range s.Plan.Scenario.Senders {
		dir := filepath.Join(s.Folder, fmt.Sprint("n", i))
		p, err := NewProcess(s, i, dir, ProcessSpec{Discovery: platform[i]})
		if err != nil {
			return processes, err
		}
		processes = append(processes, p)
		fmt.Fprintf(out, "sender %d: listens on %s, discovery %s, start it by: LB_CONFIG=%s cleathold serve\n",
			i, p.addr, platform[i], p.configPath())
	}
	return processes, nil
}

// Load submits a plan's arrivals to senders that were started separately, and returns only the clients' measurements.
// The error is the reason if it ended before the plan did.
func Load(
	ctx context.Context, p *scenario.Plan, addresses []string, log *slog.Logger, progress io.Writer,
) (ClientStats, error) {
	if len(addresses) == 0 {
		return ClientStats{}, errors.New("load: no sender address given")
	}
	env, err := NewEnvironment(ctx, p, log, nil)
	if err != nil {
		return ClientStats{}, err
	}
	c := env.NewClients(addresses)
	defer c.Close()
	env.Begin()
	submitted := make(chan struct{})
	go func() { defer close(submitted); c.Run() }()
	progressTicker := time.NewTicker(progressInterval)
	defer progressTicker.Stop()
	for running := true; running; {
		select {
		case <-submitted:
			running = !c.Idle() && env.sleep(50*time.Millisecond)
		case <-progressTicker.C:
			if progress != nil {
				fmt.Fprintf(progress, "%v of %v: %d asked\n",
					env.currentTime().Truncate(100*time.Millisecond), p.Scenario.Length, c.requestCount())
			}
		}
	}
	cause := context.Cause(env.ctx)
	env.Close()
	if errors.Is(cause, context.Canceled) {
		cause = errInterrupted
	}
	return c.Stats(), cause
}
