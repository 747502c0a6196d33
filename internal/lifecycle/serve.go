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

	"cleathold/internal/admin"
	"cleathold/internal/held"
	"cleathold/internal/protocol"
	"cleathold/internal/settings"
	"cleathold/internal/state"
	"cleathold/internal/store"
)

// The stop, counted from SIGTERM. The front notices only after a while that no
// more is wanted; SIGKILL follows at 3.7 s at the soonest.
const (
	acceptSpan = 500 * time.Millisecond // new messages are still taken
	launchSpan = 2 * time.Second        // new forwards are still made
	finishSpan = 3300 * time.Millisecond
	leaveSpan  = 3400 * time.Millisecond
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
	setup := state.Setup{Settings: c.Settings, Known: c.Known, Dir: c.State, DiskBytes: c.Limits.DiskBytes, Log: log}
	if c.Ours != nil {
		setup.Durability, setup.GroupWait = durabilities[c.Ours.Journal.Durability], c.Ours.Journal.Wait
	}
	keeper := newKeeper(c, log)
	if keeper != nil {
		setup.Keeper = keeper
	}
	peers := openPeers(c, log)
	setup.Settings.CanTell = peers != nil
	loop, err := state.NewLoop(setup)
	if err != nil {
		return err
	}
	clients, idle := shareSockets(c)
	sender := protocol.NewSender(loop, c.Settings.ConnIdle, idle, log)
	discovery := protocol.NewDiscovery(loop, c.Discovery, c.Names, c.Settings.MustAsk, c.Settings.AskSpread(), log)
	notices := protocol.NewNotices(loop, c.Discovery, log)
	loop.Connect(sender, discovery, notices)
	if peers != nil {
		loop.ConnectPeers(peers)
	}
	listener, err := protocol.Listen(c.Listen, loop, c.Names, c.Settings.Classes, clients, c.Limits.Sockets/keepPart, log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	plane, err := openPlane(c, keeper, log)
	if err != nil {
		listener.Close(time.Now())
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	kept := make(chan struct{}) // closed once the keeper has ended
	if keeper == nil {
		close(kept)
	} else {
		keeper.Connect(loop)
		listener.Ask(keeper)
		go func() { defer close(kept); keeper.Run(ctx) }()
	}
	if plane != nil {
		wg.Go(plane.Serve)
	}
	for _, run := range []func(context.Context){loop.Run, sender.Run, discovery.Run, notices.Run} {
		wg.Go(func() { run(ctx) })
	}
	if peers != nil {
		wg.Go(func() { peers.Run(ctx, loop) })
	}
	wg.Go(listener.Serve)
	log.Info("serving", "name", c.Name, "listen", listener.Addr().String())
	for serving := true; serving; {
		select {
		case <-reload:
			c = renew(c, load, discovery, notices, log)
			if keeper != nil && c.Ours != nil {
				keeper.Reload(c.Ours)
			}
		case <-stop:
			serving = false
		}
	}
	told := time.Now()
	wind(loop, listener, told)
	cancel()
	if plane != nil {
		plane.Close()
	}
	wg.Wait()
	select {
	case <-kept:
	case <-time.After(time.Until(told.Add(leaveSpan))): // a disk that hangs must not
		log.Warn("the held store did not close in time; the journal has what it lacks")
	}
	log.Info("stopped", "name", c.Name)
	return nil
}

// openPeers opens the way to the other senders where there is one. Without it the sender serves all the same.
func openPeers(c Config, log *slog.Logger) *protocol.Peers {
	if !c.Settings.CanTell || c.PeerListen == "" || c.PeersAll == "" {
		return nil
	}
	peers, err := protocol.OpenPeers(c.PeerListen, c.PeersAll, c.Peers, c.Settings.Index, log)
	if err != nil {
		log.Error("no notes between senders: see peer_listen, peers and peers_all", "err", err)
		return nil
	}
	return peers
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
	now.Ours = renewOurs(old.Ours, c.Ours, log)
	c.Ours = now.Ours
	c.Known = old.Known // only the start of a sender asks for it
	if c.Settings.Seed = old.Settings.Seed; !reflect.DeepEqual(c, now) {
		log.Warn("configuration read again: some of what has changed waits for the next start")
	}
	log.Info("configuration read again", "discovery", now.Discovery)
	return now
}

// renewOurs takes over what a script may change as the sender runs: bounds, pace
// and rules. Where the store and the admin plane are waits for the next start.
func renewOurs(old, new *settings.Settings, log *slog.Logger) *settings.Settings {
	if old == nil || new == nil || (old.Held == nil) != (new.Held == nil) {
		if old != nil || new != nil {
			log.Warn("settings read again: to switch the held store on or off waits for the next start")
		}
		return old
	}
	if new.Held != nil && new.Held.Folder != old.Held.Folder {
		log.Warn("settings read again: another held folder waits for the next start", "folder", new.Held.Folder)
		new.Held.Folder = old.Held.Folder
	}
	if new.Journal != old.Journal {
		log.Warn("settings read again: another durability of the journal waits for the next start")
		new.Journal = old.Journal
	}
	if (old.Admin == nil) != (new.Admin == nil) || new.Admin != nil && *new.Admin != *old.Admin {
		log.Warn("settings read again: another admin socket waits for the next start")
		new.Admin = old.Admin
	}
	return new
}

// durabilities by the words of the settings.
var durabilities = map[string]store.Durability{"process": store.Process, "group": store.Group, "each": store.Each}

// newKeeper makes the keeper of undeliverable messages, if the settings ask for one.
func newKeeper(c Config, log *slog.Logger) *held.Keeper {
	if c.Ours == nil || c.Ours.Held == nil {
		return nil
	}
	return held.NewKeeper(held.Setup{
		Settings: c.Ours, Platform: c.Settings, Log: log,
		Names: held.Names{Classes: wordsOf(c.Names.Classes), Tenants: wordsOf(c.Names.Tenants)},
	})
}

// openPlane opens the admin plane, if the settings ask for one.
func openPlane(c Config, keeper *held.Keeper, log *slog.Logger) (*admin.Server, error) {
	if c.Ours == nil || c.Ours.Admin == nil || keeper == nil {
		return nil, nil
	}
	return admin.Listen(c.Ours.Admin.Socket, keeper, log)
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
