package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

const (
	drainTimeout     = 30 * time.Second // a run goes on for so long after the last arrival, at most
	progressInterval = 5 * time.Second
	maxLagMillis     = 5.0 // ms at the 99th percentile; a run that was later is marked
)

// Setup is what a run on sockets needs.
type Setup struct {
	Plan     *scenario.Plan
	Program  string // the senders'
	Folder   string // their configurations, states and logs
	Settings string // script of our own for them; may be empty
	Log      *slog.Logger
	Progress io.Writer
	Sink     func(audit.Event) error
	MemoryMB float64       // each sender's limit; 0 = 192
	ReadyIn  time.Duration // a sender must be ready so long after its start; 0 = 30 s
	Faults   Faults
}

// Result is what a run on sockets showed.
type Result struct {
	simulation.Result
	Rig      Lag         `json:"rig_lag"` // of the partners' answers, against the model
	Clients  ClientStats `json:"clients"`
	Crashes  int         `json:"crashes"`
	PeakMB   float64     `json:"peak_mb"`         // the most memory that a sender had which ran to the end
	Warnings []string    `json:"marks,omitempty"` // why the run is to be read with care
}

// A run is a run under way.
type run struct {
	Setup
	env         *Environment
	clients     *Clients
	addresses   []string // of the senders, as clients reach them
	processes   []*Process
	links       *netfault.Net
	blocks      []*netfault.Block
	mu          sync.Mutex
	crashes     int
	restarts    int
	supervisors sync.WaitGroup
}

// errFinished is the cause of an end that was meant.
var errFinished = errors.New("over")

// Run plays a plan on sockets, to its end or until the context ends. No process is
// left behind in any case.
func Run(ctx context.Context, s Setup) (Result, error) {
	w, err := NewEnvironment(ctx, s.Plan, s.Log, s.Sink)
	if err != nil {
		return Result{}, err
	}
	w.faults = s.Faults
	g := &run{Setup: s, env: w}
	err = g.start()
	if err == nil {
		err = g.playPlan()
	}
	orderly := err == nil && context.Cause(w.ctx) == nil
	peak := 0.0
	for _, x := range g.processes {
		peak = max(peak, x.PeakMB())
	}
	g.shutDown(orderly)
	cause := context.Cause(w.ctx)
	seen := ClientStats{}
	if g.clients != nil {
		seen = g.clients.Stats()
		defer g.clients.Close()
	}
	r := Result{Result: w.Close(), Rig: summarizeLag(w.lag), Clients: seen, Crashes: g.crashes, PeakMB: peak}
	r.Restarts = g.restarts
	if err == nil && !errors.Is(cause, errFinished) {
		err = cause
	}
	if errors.Is(err, context.Canceled) {
		err = errors.New("broken off")
	}
	r.addWarnings()
	return r, err
}

// addWarnings says why a result is to be read with care.
func (r *Result) addWarnings() {
	add := func(on bool, format string, args ...any) {
		if on {
			r.Warnings = append(r.Warnings, fmt.Sprintf(format, args...))
		}
	}
	add(r.Rig.P99 > maxLagMillis, "the rig's partners were late themselves: %.1f ms at the 99th percentile, %.1f at most", r.Rig.P99, r.Rig.Max)
	add(r.Clients.Lag.P99 > maxLagMillis, "the rig's clients were late themselves: %.1f ms at the 99th percentile, %.1f at most", r.Clients.Lag.P99, r.Clients.Lag.Max)
	add(r.Clients.Skipped > 0, "%d hand-ins were left out: too many were under way", r.Clients.Skipped)
	add(r.Crashes > 0, "senders ended %d times without being told to", r.Crashes)
}

// start opens the world and starts the senders.
func (r *run) start() error {
	if err := r.env.OpenEndpoints(); err != nil {
		return err
	}
	platform, err := r.env.OpenPlatform()
	if err != nil {
		return err
	}
	places, err := r.processSpecs(platform)
	if err != nil {
		return err
	}
	var addresses []string
	for i, at := range places {
		x, err := NewProcess(r.Setup, i, filepath.Join(r.Folder, fmt.Sprint("n", i)), at)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, x)
		addr := x.addr
		if len(r.Plan.Links) > 0 {
			if addr, err = r.links.TCP(scenario.Clients, scenario.Sender(i), "127.0.0.1", addr); err != nil {
				return err
			}
		}
		addresses = append(addresses, addr)
	}
	for _, x := range r.processes {
		if err := x.Start(); err != nil {
			return err
		}
	}
	for _, x := range r.processes {
		if err := x.Ready(r.env.ctx, r.readyDeadline()); err != nil {
			return err
		}
	}
	r.clients = r.env.NewClients(addresses)
	r.clients.keepConnections = r.Faults.KeepConnections
	r.addresses = addresses
	return nil
}

// playPlan plays the plan.
func (r *run) playPlan() error {
	w := r.env
	w.Begin()
	w.startIdleClients(r.addresses)
	for i := range r.processes {
		r.supervisors.Go(func() { r.supervise(i) })
	}
	handed := make(chan struct{})
	w.wg.Go(func() { defer close(handed); r.clients.Run() })
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	end := time.NewTimer(r.Plan.Scenario.Length + drainTimeout)
	defer end.Stop()
	look := time.NewTicker(200 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return context.Cause(w.ctx)
		case <-tick.C:
			r.progress()
		case <-end.C:
			return nil
		case <-look.C:
			select {
			case <-handed:
				if w.now() > r.Plan.Scenario.Length+time.Second && w.Open() == 0 && r.clients.Idle() {
					return nil
				}
			default:
			}
		}
	}
}

func (r *run) progress() {
	if r.Progress == nil {
		return
	}
	s := r.env.Score()
	fmt.Fprintf(r.Progress, "%v of %v: %d messages, service so far %.3f, %d without an end\n",
		r.env.currentTime().Truncate(100*time.Millisecond), r.Plan.Scenario.Length, s.Messages, s.Service, r.env.Open())
}

// shutDown ends the run and all senders.
func (r *run) shutDown(orderly bool) {
	if orderly {
		r.env.cancel(errFinished)
	}
	r.env.cancel(context.Canceled) // the first cause stands
	r.supervisors.Wait()           // nobody starts one any more
	var wg sync.WaitGroup
	for _, x := range r.processes {
		wg.Go(func() {
			x.Signal(syscall.SIGCONT)
			x.Stop(orderly)
			x.Release()
		})
	}
	wg.Wait()
	if r.links != nil {
		r.links.Close()
	}
	for _, b := range r.blocks {
		b.Close()
	}
}
