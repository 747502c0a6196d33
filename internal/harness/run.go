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
	finishTimeout    = 30 * time.Second       // maximum time that a run continues after the scenario's length
	idleInterval     = 200 * time.Millisecond // between checks whether all messages have an outcome
	progressInterval = 5 * time.Second
	memoryInterval   = 100 * time.Millisecond // between two looks at the memory of the processes
	maxLagMillis     = 5.0                    // 99th percentile above which the result contains a warning
)

// Setup contains the parameters of a run on sockets.
type Setup struct {
	Plan         *scenario.Plan
	Program      string // path of the senders' program
	Folder       string // for the senders' configurations, states and logs
	Settings     string // path of the senders' settings script; may be empty
	Log          *slog.Logger
	Progress     io.Writer               // nil = progress is not shown
	Sink         func(audit.Event) error // called for each event, in order; may be nil
	MemoryMB     float64                 // memory limit of each sender; 0 = 192
	ReadyTimeout time.Duration           // time limit for a sender to become ready after its start; 0 = 30 s
	Faults       Faults
}

// Result is the result of a run on sockets.
type Result struct {
	simulation.Result
	EndpointLag Lag         `json:"rig_lag"` // delay of the endpoints' answers relative to the model
	Clients     ClientStats `json:"clients"`
	Crashes     int         `json:"crashes"`         // processes that ended unexpectedly
	PeakMB      float64     `json:"peak_mb"`         // largest peak resident set of a sender's process
	Warnings    []string    `json:"marks,omitempty"` // reasons why the result may be unreliable
}

// addWarnings adds the reasons why the result may be unreliable.
func (r *Result) addWarnings() {
	warnIf := func(applies bool, format string, args ...any) {
		if applies {
			r.Warnings = append(r.Warnings, fmt.Sprintf(format, args...))
		}
	}
	warnIf(r.EndpointLag.P99 > maxLagMillis,
		"the rig's partners were late themselves: %.1f ms at the 99th percentile, %.1f at most", r.EndpointLag.P99,
		r.EndpointLag.Max)
	warnIf(r.Clients.Lag.P99 > maxLagMillis,
		"the rig's clients were late themselves: %.1f ms at the 99th percentile, %.1f at most",
		r.Clients.Lag.P99, r.Clients.Lag.Max)
	warnIf(r.Clients.Skipped > 0, "%d hand-ins were left out: too many were under way", r.Clients.Skipped)
	warnIf(r.Crashes > 0, "senders ended %d times without being told to", r.Crashes)
}

// A run executes a plan. It owns the senders' processes, the links and the address blocks; shutDown ends and releases
// them.
type run struct {
	Setup
	env         *Environment
	clients     *Clients
	addresses   []string // of the senders, as clients reach them
	processes   []*Process
	links       *netfault.Net
	blocks      []*netfault.Block
	supervisors sync.WaitGroup // one goroutine for each process

	peak float64 // largest peak resident set so far, in MiB; used by the goroutine that calls Run

	mu       sync.Mutex
	crashes  int
	restarts int
}

// errFinished is the cancellation cause of the context of a run that has completed its plan.
var errFinished = errors.New("over")

// errInterrupted is returned for a run whose context was canceled by the caller.
var errInterrupted = errors.New("broken off")

// Run executes a plan on sockets until its end or until the context ends. No process is left running in either case.
func Run(ctx context.Context, s Setup) (Result, error) {
	env, err := NewEnvironment(ctx, s.Plan, s.Log, s.Sink)
	if err != nil {
		return Result{}, err
	}
	env.faults = s.Faults
	r := &run{Setup: s, env: env}
	err = r.start()
	if err == nil {
		err = r.executePlan()
	}
	orderly := err == nil && context.Cause(env.ctx) == nil
	r.measureMemory() // while the processes still run
	r.shutDown(orderly)
	cause := context.Cause(env.ctx)
	stats := ClientStats{}
	if r.clients != nil {
		stats = r.clients.Stats()
		defer r.clients.Close()
	}
	result := Result{
		Result: env.Close(), EndpointLag: summarizeLag(env.lag), Clients: stats, Crashes: r.crashes, PeakMB: r.peak,
	}
	result.Restarts = r.restarts
	result.addWarnings()
	if err == nil && !errors.Is(cause, errFinished) {
		err = cause
	}
	if errors.Is(err, context.Canceled) {
		err = errInterrupted
	}
	return result, err
}

// start opens the addresses, starts the senders and waits until all of them are ready.
func (r *run) start() error {
	if err := r.env.OpenEndpoints(); err != nil {
		return err
	}
	platform, err := r.env.OpenPlatform()
	if err != nil {
		return err
	}
	specs, err := r.processSpecs(platform)
	if err != nil {
		return err
	}
	for i, spec := range specs {
		if r.Faults.KnownLists {
			spec.Known = r.env.KnownList(i)
		}
		if err := r.addProcess(i, spec); err != nil {
			return err
		}
	}
	for _, p := range r.processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range r.processes {
		if err := p.AwaitReady(r.env.ctx, r.readyDeadline()); err != nil {
			return err
		}
	}
	r.clients = r.env.NewClients(r.addresses)
	r.clients.keepConnections = r.Faults.KeepConnections
	return nil
}

// addProcess prepares a sender and the address at which clients reach it.
func (r *run) addProcess(number int, spec ProcessSpec) error {
	p, err := NewProcess(r.Setup, number, filepath.Join(r.Folder, fmt.Sprint("n", number)), spec)
	if err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	addr := p.addr
	if len(r.Plan.Links) > 0 {
		if addr, err = r.links.TCP(scenario.Clients, scenario.Sender(number), "127.0.0.1", addr); err != nil {
			return err
		}
	}
	r.addresses = append(r.addresses, addr)
	return nil
}

// readyDeadline returns the time by which a sender that is started now must be ready.
func (r *run) readyDeadline() time.Time {
	if r.ReadyTimeout > 0 {
		return time.Now().Add(r.ReadyTimeout)
	}
	return time.Now().Add(readyTimeout)
}

// executePlan executes the plan until all messages have an outcome, or until finishTimeout after the scenario's length.
func (r *run) executePlan() error {
	env := r.env
	env.Begin()
	env.startIdleClients(r.addresses)
	env.startCrowds(r.addresses)
	for i := range r.processes {
		r.supervisors.Go(func() { r.supervise(i) })
	}
	submitted := make(chan struct{})
	env.wg.Go(func() { defer close(submitted); r.clients.Run() })
	progressTicker := time.NewTicker(progressInterval)
	defer progressTicker.Stop()
	timeout := time.NewTimer(r.Plan.Scenario.Length + finishTimeout)
	defer timeout.Stop()
	memoryTicker := time.NewTicker(memoryInterval)
	defer memoryTicker.Stop()
	idleTicker := time.NewTicker(idleInterval)
	defer idleTicker.Stop()
	for {
		select {
		case <-env.ctx.Done():
			return context.Cause(env.ctx)
		case <-progressTicker.C:
			r.showProgress()
		case <-memoryTicker.C:
			r.measureMemory()
		case <-timeout.C:
			return nil
		case <-idleTicker.C:
			select {
			case <-submitted:
				if env.now() > r.Plan.Scenario.Length+time.Second && env.OpenCount() == 0 && r.clients.Idle() {
					return nil
				}
			default:
			}
		}
	}
}

func (r *run) showProgress() {
	if r.Progress == nil {
		return
	}
	s := r.env.Score()
	fmt.Fprintf(r.Progress, "%v of %v: %d messages, service so far %.3f, %d without an end\n",
		r.env.currentTime().Truncate(100*time.Millisecond), r.Plan.Scenario.Length, s.Messages, s.Service, r.env.OpenCount())
}

// measureMemory updates the largest peak resident set of the processes.
func (r *run) measureMemory() {
	for _, p := range r.processes {
		r.peak = max(r.peak, p.PeakMB())
	}
}

// shutDown cancels the environment's context, stops the senders, with SIGTERM if orderly, and releases the addresses.
func (r *run) shutDown(orderly bool) {
	if orderly {
		r.env.cancel(errFinished)
	}
	r.env.cancel(context.Canceled) // no effect if the context was canceled with another cause before
	r.supervisors.Wait()           // no process is started after this
	var wg sync.WaitGroup
	for _, p := range r.processes {
		wg.Go(func() {
			p.Signal(syscall.SIGCONT)
			p.Stop(orderly)
			p.ReleasePort()
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
