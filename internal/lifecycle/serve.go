package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// The stop, counted from SIGTERM. The front notices only after a while that no
// more is wanted; SIGKILL follows at 3.7 s at the soonest.
const (
	acceptSpan = 500 * time.Millisecond // new messages are still taken
	launchSpan = 2 * time.Second        // new forwards are still made
	finishSpan = 3300 * time.Millisecond
	idleCheck  = 20 * time.Millisecond
)

const (
	memoryShare  = 0.7 // of the memory limit: files and stacks count, too
	keepPart     = 4   // the part of the descriptors that clients' connections take between requests, less than the third they may hold
	spareSockets = 64  // for the journal, discovery, the platform, probes and dials
)

// A Source reads the configuration, as it is now.
type Source func() (Config, error)

// Serve runs the sender until SIGTERM or SIGINT and its orderly end. On SIGHUP
// it reads its configuration again. That signal is caught before anything else
// is done and for good: nothing it meets may end the process.
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
	c, err := load()
	if err != nil {
		return err
	}
	bound(c.Limits)
	loop, err := state.NewLoop(state.Setup{
		Settings: c.Settings, Known: c.Known, Dir: c.State, DiskBytes: c.Limits.DiskBytes, Log: log,
	})
	if err != nil {
		return err
	}
	clients, idle := shareSockets(c)
	sender := protocol.NewSender(loop, c.Settings.ConnIdle, idle, log)
	discovery := protocol.NewDiscovery(loop, c.Discovery, c.Names, c.Settings.MustAsk, log)
	notices := protocol.NewNotices(loop, c.Discovery, log)
	loop.Connect(sender, discovery, notices)
	listener, err := protocol.Listen(c.Listen, loop, c.Names, c.Settings.Classes, clients, c.Limits.Sockets/keepPart, log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){loop.Run, sender.Run, discovery.Run, notices.Run} {
		wg.Go(func() { run(ctx) })
	}
	wg.Go(listener.Serve)
	log.Info("serving", "name", c.Name, "listen", listener.Addr().String())
	for serving := true; serving; {
		select {
		case <-reload:
			c = renew(c, load, discovery, notices, log)
		case <-stop:
			serving = false
		}
	}
	wind(loop, listener, time.Now())
	cancel()
	wg.Wait()
	log.Info("stopped", "name", c.Name)
	return nil
}

// A mover can turn to another address.
type mover interface{ Move(addr string) }

// renew reads the configuration again and returns the one in force. The address
// of discovery and the runtime's limits are taken over as the sender runs. What
// else has changed waits for the next start: the controller, the journal and the
// listener are built on it. An unreadable file changes nothing.
func renew(old Config, load Source, discovery, notices mover, log *slog.Logger) Config {
	c, err := load()
	if err != nil {
		log.Error("configuration not read again, the old one holds", "err", err)
		return old
	}
	if c.Discovery != old.Discovery {
		discovery.Move(c.Discovery)
		notices.Move(c.Discovery)
	}
	bound(c.Limits)
	now := old
	now.Discovery = c.Discovery
	now.Limits.Cores, now.Limits.MemoryMB = c.Limits.Cores, c.Limits.MemoryMB
	c.Known = old.Known // only the start of a sender asks for it
	if c.Settings.Seed = old.Settings.Seed; !reflect.DeepEqual(c, now) {
		log.Warn("configuration read again: some of what has changed waits for the next start")
	}
	log.Info("configuration read again", "discovery", now.Discovery)
	return now
}

// wind brings a sender to its end, counted from the signal.
func wind(loop *state.Loop, listener *protocol.Listener, told time.Time) {
	listener.Leave()
	time.Sleep(time.Until(told.Add(acceptSpan)))
	loop.Stop()
	listener.Close(told.Add(finishSpan))
	halt := false
	for time.Now().Before(told.Add(finishSpan)) && !loop.Idle() {
		if !halt && time.Now().After(told.Add(launchSpan)) {
			loop.Halt()
			halt = true
		}
		time.Sleep(idleCheck)
	}
}

// bound keeps the runtime within the machine's limits.
func bound(l Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryShare * (1 << 20)))
	}
}

// shareSockets parts the descriptors between clients' connections and idle
// ones to targets, besides those of calls that are out. Clients may hold a
// third of all for requests, and some connect that have none.
func shareSockets(c Config) (clients, idle int) {
	left := max(c.Limits.Sockets-spareSockets-c.Settings.Slots, 12)
	return left * 2 / 3, left / 3
}
