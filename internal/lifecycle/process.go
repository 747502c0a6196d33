package lifecycle

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/connbudget"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// A ConfigLoader loads the current configuration.
type ConfigLoader func() (Config, error)

// Serve runs the sender until SIGTERM or SIGINT and the orderly shutdown that follows. On SIGHUP it reloads its
// configuration. SIGHUP is caught before anything else is done and until the process exits, because it must never
// terminate the process.
func Serve(load ConfigLoader, log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	ignoreClosedLog()
	return Run(load, log, stop, reload)
}

// ignoreClosedLog keeps the process running when nobody reads its standard error any more: by default, a write to a
// closed pipe ends a Go program with SIGPIPE if the pipe is its standard output or standard error.
func ignoreClosedLog() { signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) }

// Run is Serve with the signals as parameters.
func Run(load ConfigLoader, log *slog.Logger, stop, reload <-chan os.Signal) error {
	c, err := retry(log, "configuration", startTimeout, load)
	if err != nil {
		return err
	}
	limitRuntime(c.Limits)
	c.classes = c.namedClasses()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newProcess(ctx, c, load, log, stopTimes(ctx, stop), reload)
	if c.Admin != "" {
		server, err := retry(log, "admin", startTimeout, func() (*admin.HTTPServer, error) {
			return admin.ListenTCP(c.Admin, p.board, log)
		})
		if err != nil {
			return err
		}
		defer server.Close()
		go server.Serve()
	}
	pred, err := requestTakeover(c)
	if err != nil {
		return err
	}
	if pred != nil {
		log.Info("taking over from predecessor", "in_flight", len(pred.state.InFlight))
		p.machine.inherit(pred.state.Drained, pred.state.Lease)
	}
	for {
		// The loop repeats only after a failed hand-over, when the successor did not start to serve.
		if pred, err = p.serve(&c, pred); pred == nil || err != nil {
			return err
		}
	}
}

// A process holds the state that outlives a server. After a failed hand-over, the same process builds another server.
type process struct {
	load      ConfigLoader
	log       *slog.Logger
	reload    <-chan os.Signal
	stop      <-chan time.Time // receives the time of the first stop signal
	machine   *stateMachine
	board     *statusBoard
	counters  *state.Counters
	clients   *protocol.Counters
	endpoints *protocol.TransportCounters

	clientBudget *connbudget.Budget // for the connections of clients

	ctx context.Context // canceled when the process ends
}

func newProcess(
	ctx context.Context, c Config, load ConfigLoader, log *slog.Logger, stop <-chan time.Time, reload <-chan os.Signal,
) *process {
	p := &process{
		load: load, log: log, reload: reload, stop: stop, machine: newStateMachine(log),
		counters: &state.Counters{}, clients: &protocol.Counters{},
		endpoints: &protocol.TransportCounters{}, clientBudget: connbudget.New(clientLimits(c)), ctx: ctx,
	}
	p.board = &statusBoard{
		stateMachine: p.machine, name: c.Name, release: c.Release, started: time.Now(),
		counters: p.counters, clients: p.clients, endpoints: p.endpoints, clientBudget: p.clientBudget,
	}
	p.publishConfig(c)
	return p
}

// publishConfig sets the digest of the configuration in force, which the status reports.
func (p *process) publishConfig(c Config) {
	digest := admin.Digest(c.raw)
	p.board.config.Store(&digest)
}

// serve builds a server and runs it until a stop signal or until another process has taken over. If the hand-over
// fails, serve returns the state for the next server of this process.
func (p *process) serve(c *Config, pred *predecessor) (*predecessor, error) {
	s, err := p.build(c, pred)
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	defer s.stopDeadLetters()
	defer s.successors.Close(false)
	return s.run(), nil
}

// stopTimes returns a channel that receives the time of the first stop signal. The time is recorded even while the
// process is busy, because all deadlines of the shutdown count from the signal: the platform kills the process 3.7 s
// after it.
func stopTimes(ctx context.Context, signals <-chan os.Signal) <-chan time.Time {
	first := make(chan time.Time, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case first <- time.Now():
			default: // only the first signal is recorded
			}
		}
	}()
	return first
}
