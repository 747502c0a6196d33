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

// Serve puts a plan's partners, discovery and notices behind loopback addresses,
// writes a configuration for each sender, and stays until the context ends. The
// plan's clock starts at once.
func Serve(ctx context.Context, s Setup, out io.Writer) (Result, error) {
	w, err := NewEnvironment(ctx, s.Plan, s.Log, s.Sink)
	if err != nil {
		return Result{}, err
	}
	err = w.OpenEndpoints()
	var platform []string
	if err == nil {
		platform, err = w.OpenPlatform()
	}
	for i := 0; err == nil && i < s.Plan.Scenario.Senders; i++ {
		var x *Process
		dir := filepath.Join(s.Folder, fmt.Sprint("n", i))
		if x, err = NewProcess(s, i, dir, ProcessSpec{Discovery: platform[i]}); err == nil {
			defer x.Release()
			fmt.Fprintf(out, "sender %d: listens on %s, discovery %s, start it by: LB_CONFIG=%s cleathold serve\n", i, x.addr, platform[i], x.configPath())
		}
	}
	if err == nil {
		w.Begin()
		<-w.ctx.Done()
		if err = context.Cause(w.ctx); errors.Is(err, context.Canceled) {
			err = nil
		}
	}
	r := Result{Result: w.Close(), Rig: summarizeLag(w.lag)}
	r.addWarnings()
	// Who handed in what is not seen here, and most of the rules rest on it.
	r.Violations = nil
	r.Warnings = append(r.Warnings, "service and rules are not judged: what clients elsewhere hand in is not seen here")
	return r, err
}

// Load hands a plan's arrivals in to senders that run elsewhere, and judges nothing
// but the clients' side.
func Load(ctx context.Context, p *scenario.Plan, addresses []string, log *slog.Logger, progress io.Writer) (ClientStats, error) {
	if len(addresses) == 0 {
		return ClientStats{}, errors.New("load: no address to hand in to")
	}
	w, err := NewEnvironment(ctx, p, log, nil)
	if err != nil {
		return ClientStats{}, err
	}
	c := w.NewClients(addresses)
	defer c.Close()
	w.Begin()
	done := make(chan struct{})
	go func() { defer close(done); c.Run() }()
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = !c.Idle() && w.sleep(50*time.Millisecond)
		case <-tick.C:
			if progress != nil {
				fmt.Fprintf(progress, "%v of %v: %d asked\n", w.currentTime().Truncate(100*time.Millisecond), p.Scenario.Length, c.requestCount())
			}
		}
	}
	cause := context.Cause(w.ctx)
	w.Close()
	if errors.Is(cause, context.Canceled) {
		cause = errors.New("broken off")
	}
	return c.Stats(), cause
}
