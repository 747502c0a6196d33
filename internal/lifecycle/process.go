package lifecycle

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// A Source reads the configuration, as it is now.
type Source func() (Config, error)

// Serve runs the sender until SIGTERM or SIGINT and its orderly end. On SIGHUP it reads its configuration again. That
// signal is caught before anything else is done and for good: whenever it comes, it must not end the process.
func Serve(load Source, log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	return Run(load, log, stop, reload)
}

// Run is Serve with the signals as parameters.
func Run(load Source, log *slog.Logger, stop, reload <-chan os.Signal) error {
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
		// More than once only where a process that was to take over did not come to serve.
		if pred, err = p.serve(&c, pred); pred == nil || err != nil {
			return err
		}
	}
}

// A process is what outlasts a server: a hand-over that fails is followed by another server of the same process.
type process struct {
	load     Source
	log      *slog.Logger
	reload   <-chan os.Signal
	stop     <-chan time.Time // when the process was told to stop
	machine  *stateMachine
	board    *statusBoard
	counters *state.Counters
	clients  *protocol.Counters
	ctx      context.Context // ends with the process
}

func newProcess(
	ctx context.Context, c Config, load Source, log *slog.Logger, stop <-chan time.Time, reload <-chan os.Signal,
) *process {
	p := &process{
		load: load, log: log, reload: reload, stop: stop, machine: newStateMachine(log),
		counters: &state.Counters{}, clients: &protocol.Counters{}, ctx: ctx,
	}
	p.board = &statusBoard{
		stateMachine: p.machine, name: c.Name, release: c.Release, started: time.Now(),
		counters: p.counters, clients: p.clients,
	}
	p.publishConfig(c)
	return p
}

// publishConfig has the status name the configuration in force.
func (p *process) publishConfig(c Config) {
	digest := admin.Digest(c.raw)
	p.board.config.Store(&digest)
}

// serve builds a server and runs it until a stop, or until another process has taken over. Where that one fails, what
// it was given is returned, for the next server of this process.
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

// stopTimes sends when the first signal to stop came, whatever the process was doing then: all that is due after it
// counts from the signal, and the platform kills the process 3.7 s after that.
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
			default: // the first signal counts
			}
		}
	}()
	return first
}
