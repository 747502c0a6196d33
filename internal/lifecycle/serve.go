package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"cleathold/control"
	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/protocol"
	"cleathold/internal/settings"
	"cleathold/internal/state"
	"cleathold/internal/store"
)

// The stop, counted from SIGTERM. The front notices only after a while that no
// more is wanted; SIGKILL follows at 3.7 s at the soonest.
const (
	acceptWindow     = 500 * time.Millisecond // new messages are still taken
	sendWindow       = 2 * time.Second        // new forwards are still made
	finishTimeout    = 3300 * time.Millisecond
	exitTimeout      = 3400 * time.Millisecond
	idlePollInterval = 20 * time.Millisecond
)

// lingerTimeout is how long a process that has given way waits for the connections that it still reads out.
const lingerTimeout = 500 * time.Millisecond

const (
	memoryLimitFraction = 0.7 // of the memory limit: files and stacks count, too
	keptAliveDivisor    = 4   // the part of the descriptors that clients' connections take between requests, less than the third they may hold
	reservedSockets     = 64  // for the journal, discovery, the platform, probes and dials
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
	c, err := retry(log, "configuration", startTimeout, load)
	if err != nil {
		return err
	}
	limitRuntime(c.Limits)
	c.classes = c.namedClasses()
	p := &process{load: load, log: log, reload: reload, machine: newStateMachine(log), counters: &state.Counters{}, clients: &protocol.Counters{}}
	var end context.CancelFunc
	p.ctx, end = context.WithCancel(context.Background())
	defer end()
	p.stop = stopTimes(p.ctx, stop)
	p.board = &statusBoard{stateMachine: p.machine, name: c.Name, release: c.Release, started: time.Now(), counters: p.counters, clients: p.clients}
	p.setConfig(c)
	if c.Admin != "" {
		front, err := retry(log, "admin", startTimeout, func() (*admin.HTTPServer, error) { return admin.ListenTCP(c.Admin, p.board, log) })
		if err != nil {
			return err
		}
		defer front.Close()
		go front.Serve()
	}
	before, err := requestTakeover(c)
	if err != nil {
		return err
	}
	if before != nil {
		log.Info("taking over from the process that serves", "out", len(before.state.InFlight))
		p.machine.inherit(before.state.Drained, before.state.Lease)
	}
	for {
		// More than once only where a process that was to take over did not come to serve.
		if before, err = p.serve(&c, before); before == nil || err != nil {
			return err
		}
	}
}

// A process is what outlasts a term of serving.
type process struct {
	load     Source
	log      *slog.Logger
	reload   <-chan os.Signal
	stop     <-chan time.Time // when it was told to stop
	machine  *stateMachine
	board    *statusBoard
	counters *state.Counters
	clients  *protocol.Counters
	ctx      context.Context // ends with the process
}

// stopTimes tells when the first signal to stop came, whatever the process is doing then: all that is due after it counts from
// the signal, and the platform kills the process 3.7 s after that.
func stopTimes(ctx context.Context, signals <-chan os.Signal) <-chan time.Time {
	told := make(chan time.Time, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case told <- time.Now():
			default: // it has been told
			}
		}
	}()
	return told
}

// setConfig has the status name the configuration that holds.
func (p *process) setConfig(c Config) {
	digest := admin.Digest(c.raw)
	p.board.config.Store(&digest)
}

// journalLockTimeout is how long a journal that is taken back may still be locked by the process that failed to take over.
const journalLockTimeout = 3 * time.Second

// serve serves until a stop, or until another process has taken over. Where that one fails, what it was given is
// returned, for the next term of this process.
func (p *process) serve(c *Config, before *predecessor) (*predecessor, error) {
	log := p.log
	setup := state.Setup{Settings: c.Settings, Classes: namesByNumber(c.Names.Classes), Known: c.Known, Dir: c.State, DiskBytes: c.Limits.DiskBytes, Log: log, Counters: p.counters}
	if c.Ours != nil {
		setup.Durability, setup.GroupWait = durabilities[c.Ours.Journal.Durability], c.Ours.Journal.Wait
	}
	if before != nil {
		setup.Handover = &before.state
	}
	keeper := newDeadLetterQueue(*c, log)
	if keeper != nil {
		setup.DeadLetters = keeper
	}
	peers := openGossip(*c, log)
	setup.Settings.CanGossip = peers != nil
	loop, err := newLoop(setup, before != nil)
	if err != nil {
		return nil, err
	}
	clients, idle := socketBudget(*c)
	sender := protocol.NewTransport(loop, c.Settings.ConnIdleTimeout, idle, log)
	discovery := protocol.NewDiscovery(loop, protocol.DiscoveryConfig{
		Addr: c.Discovery, Names: c.Names, MaxPollInterval: c.Settings.MaxPollInterval, PollSpread: c.Settings.PollSpread(), DrainGrace: c.Settings.DrainGrace, Log: log,
	})
	notices := protocol.NewReporter(loop, c.Discovery, log)
	loop.Connect(sender, discovery, notices)
	if peers != nil {
		loop.ConnectPeers(peers)
	}
	var listener *protocol.Listener
	if before != nil {
		listener = protocol.ListenOn(before.socket, loop, c.Names, c.Settings.Classes, clients, c.Limits.Sockets/keptAliveDivisor, log)
	} else if listener, err = retry(log, "listen", startTimeout, func() (*protocol.Listener, error) {
		return protocol.Listen(c.Listen, loop, c.Names, c.Settings.Classes, clients, c.Limits.Sockets/keptAliveDivisor, log)
	}); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	listener.SetCounters(p.clients)
	plane, err := listenAdmin(*c, keeper, p.board, log)
	if err != nil {
		listener.Close(time.Now())
		return nil, err
	}
	// What faces the platform and operators ends first when another process takes over; calls that are out end last.
	ctx, cancel := context.WithCancel(p.ctx)
	faces, turn := context.WithCancel(ctx)
	var wg, facing sync.WaitGroup
	keeping, release := context.WithCancel(ctx)
	defer release()
	kept := make(chan struct{}) // closed once the keeper has ended
	if keeper == nil {
		close(kept)
	} else {
		keeper.Connect(loop)
		listener.SetKeyClaimer(keeper)
		go func() { defer close(kept); keeper.Run(keeping) }()
	}
	var tenants func([]string)
	if keeper != nil {
		tenants = keeper.TenantsChanged
	}
	rest := func() error {
		release()
		select {
		case <-kept:
			return nil
		case <-time.After(deadLetterCloseTimeout):
			return errDeadLettersOpen
		}
	}
	if plane != nil {
		facing.Go(plane.Serve)
	}
	for _, run := range []func(context.Context){loop.Run, sender.Run} {
		wg.Go(func() { run(ctx) })
	}
	for _, run := range []func(context.Context){discovery.Run, notices.Run} {
		facing.Go(func() { run(faces) })
	}
	if peers != nil {
		facing.Go(func() { peers.Run(faces, loop) })
	}
	wg.Go(listener.Serve)
	leave := func() {
		turn()
		if plane != nil {
			plane.Close()
		}
		facing.Wait()
	}
	if before != nil {
		if err := before.confirmReady(); err != nil {
			cancel()
			listener.Close(time.Now())
			leave()
			wg.Wait()
			return nil, err
		}
		wg.Go(func() { before.postResults(ctx, loop) })
	}
	desk := listenForSuccessor(*c, log)
	defer desk.Close(false)
	p.board.loop.Store(loop)
	p.machine.connectExclusions(func(ids []string) {
		loop.PostBefore(state.ExclusionsChanged{IDs: ids}, time.Now().Add(settingsTimeout))
	})
	p.machine.startServing(listener)
	var told time.Time // to stop
	log.Info("serving", "name", c.Name, "listen", listener.Addr().String(), "siblings", c.Settings.FleetSize,
		"list", c.Known.Version, "targets", len(c.Known.Targets), "discovery", c.Discovery)
	for {
		select {
		case <-p.reload:
			*c = reloadConfig(*c, p.load, reloadTargets{discovery, notices, loop, listener, tenants}, log)
			p.setConfig(*c)
			if keeper != nil && c.Ours != nil {
				keeper.UpdateSettings(c.Ours)
			}
			continue
		case ask := <-desk.Requests():
			sock, err := listener.File()
			if err == nil && !loop.JournalIntact() {
				err = errors.New("the journal can't be written")
			}
			if err != nil {
				log.Error("not handed over", "err", err)
				ask.Reject(err.Error())
				continue
			}
			back := p.handOver(ask, sock, listener, loop, leave, rest, desk)
			sock.Close()
			if back != nil {
				go func() { <-back.drained; cancel() }() // calls out have their ends passed on until then
				return back, nil
			}
			cancel()
			wg.Wait()
			listener.Wait(time.Now().Add(lingerTimeout))
			log.Info("stopped: another process has taken over", "name", c.Name)
			return nil, nil
		case told = <-p.stop:
		}
		break
	}
	p.machine.advance(stopping)
	shutDown(loop, listener, told)
	leave()
	cancel()
	wg.Wait()
	select {
	case <-kept:
	case <-time.After(time.Until(told.Add(exitTimeout))): // a disk that hangs must not
		log.Warn("the held store did not close in time; the journal has what it lacks")
	}
	log.Info("stopped", "name", c.Name)
	return nil, nil
}

// newLoop makes a loop. One that takes over may find the journal locked for a moment.
func newLoop(s state.Setup, over bool) (*state.Loop, error) {
	for until := time.Now().Add(journalLockTimeout); ; time.Sleep(idlePollInterval) {
		loop, err := retry(s.Log, "journal", startTimeout, func() (*state.Loop, error) { return state.NewLoop(s) })
		if !over || !errors.Is(err, store.ErrLocked) || time.Now().After(until) {
			return loop, err
		}
	}
}

// openGossip opens the way to the other senders where there is one. Without it the sender serves all the same.
func openGossip(c Config, log *slog.Logger) *protocol.GossipTransport {
	if !c.Settings.CanGossip || c.PeerListen == "" || c.PeersAll == "" {
		return nil
	}
	peers, err := retry(log, "peers", gossipTimeout, func() (*protocol.GossipTransport, error) {
		return protocol.OpenGossip(c.PeerListen, c.PeersAll, c.Peers, c.Settings.Index, log)
	})
	if err != nil {
		log.Error("no notes between senders: see peer_listen, peers and peers_all", "err", err)
		return nil
	}
	return peers
}

// addressSetter can be pointed at another address.
type addressSetter interface{ SetAddress(addr string) }

// reloadTargets are those that a configuration which is read again is told to.
type reloadTargets struct {
	discovery, reports addressSetter
	loop               interface {
		PostBefore(event state.Event, limit time.Time) bool
	}
	listener interface {
		SetNames(protocol.Names, []control.Class)
	}
	tenantsChanged func([]string) // takes the names of tenants by number; nil: nobody keeps messages by them
}

// settingsTimeout is how long the loop may take to answer new settings.
const settingsTimeout = time.Second

// reloadConfig reads the configuration again and returns the one in force. The address
// of discovery, the settings of the controller and the runtime's limits are taken
// over as the sender runs, all of them or none. What else has changed waits for the
// next start: the journal and the listener are built on it.
func reloadConfig(old Config, load Source, to reloadTargets, log *slog.Logger) Config {
	c, err := retry(log, "configuration", reloadTimeout, load)
	if err == nil {
		err = checkReload(old, c)
	}
	now := old
	if err == nil {
		now, err = updateSettings(old, c, to, log)
	}
	if err != nil {
		log.Error("configuration not read again, the old one holds", "err", err)
		return old
	}
	if c.Discovery != old.Discovery {
		to.discovery.SetAddress(c.Discovery)
		to.reports.SetAddress(c.Discovery)
	}
	limitRuntime(c.Limits)
	now.Discovery, now.raw = c.Discovery, c.raw
	now.Limits.Cores, now.Limits.MemoryMB = c.Limits.Cores, c.Limits.MemoryMB
	now.Ours = reloadOwnSettings(old.Ours, c.Ours, log)
	if waits := c.pendingRestart(now); len(waits) > 0 {
		log.Warn("configuration read again: some of what has changed waits for the next start", "keys", waits)
	}
	log.Info("configuration read again", "discovery", now.Discovery, "classes", len(now.Names.Classes), "attempts", now.Settings.MaxAttempts)
	return now
}

// pendingRestart names what of a configuration does not hold until the next start.
func (c Config) pendingRestart(now Config) (list []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"listen", c.Listen == now.Listen}, {"state", c.State == now.State}, {"admin", c.Admin == now.Admin},
		{"peers", c.PeerListen == now.PeerListen && c.PeersAll == now.PeersAll && slices.Equal(c.Peers, now.Peers)},
		{"limits.sockets", c.Limits.Sockets == now.Limits.Sockets}, {"limits.disk_mb", c.Limits.DiskBytes == now.Limits.DiskBytes},
		{"settings.siblings", c.Settings.FleetSize == now.Settings.FleetSize}, {"settings.me", c.Settings.Index == now.Settings.Index},
		{"settings.kinds", slices.Equal(c.Settings.Kinds, now.Settings.Kinds)},
	} {
		if !k.same {
			list = append(list, k.name)
		}
	}
	return list
}

// updateSettings has the loop take new settings, and the listener the words of them.
func updateSettings(old, c Config, to reloadTargets, log *slog.Logger) (Config, error) {
	same := c.Settings
	same.Seed, same.Classes, same.CanGossip = old.Settings.Seed, old.Settings.Classes, old.Settings.CanGossip
	classes := c.namedClasses()
	if reflect.DeepEqual(same, old.Settings) && slices.Equal(classes, old.classes) {
		return old, nil
	}
	if to.tenantsChanged != nil {
		for name, n := range old.Names.Tenants {
			if c.Names.Tenants[name] != n {
				log.Warn("settings read again: while messages are held, tenants that are numbered anew wait for the next start", "tenant", name)
				return old, nil
			}
		}
	}
	done := make(chan state.SettingsResult, 1)
	if !to.loop.PostBefore(state.UpdateSettings{Settings: c.Settings, Classes: classes, Done: done}, time.Now().Add(settingsTimeout)) {
		return old, errors.New("settings: the loop does not take them")
	}
	r := <-done
	if r.Err != nil {
		return old, fmt.Errorf("settings: %w", r.Err)
	}
	now := old
	now.classes = classes
	now.Names, now.Settings = c.Names, c.Settings
	now.Names.Classes, now.Names.Kinds = r.Numbers, old.Names.Kinds
	now.Settings.Classes, now.Settings.Seed, now.Settings.CanGossip = r.Classes, old.Settings.Seed, old.Settings.CanGossip
	now.Settings.FleetSize, now.Settings.Index, now.Settings.Kinds = old.Settings.FleetSize, old.Settings.Index, old.Settings.Kinds
	if to.tenantsChanged != nil {
		to.tenantsChanged(namesByNumber(now.Names.Tenants))
	}
	to.listener.SetNames(now.Names, now.Settings.Classes)
	return now, nil
}

// reloadOwnSettings takes over what a script may change as the sender runs: bounds, pace
// and rules. Where the store and the admin plane are waits for the next start.
func reloadOwnSettings(old, new *settings.Settings, log *slog.Logger) *settings.Settings {
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

// newDeadLetterQueue makes the keeper of undeliverable messages, if the settings ask for one.
func newDeadLetterQueue(c Config, log *slog.Logger) *deadletter.Queue {
	if c.Ours == nil || c.Ours.Held == nil {
		return nil
	}
	return deadletter.NewQueue(deadletter.Config{
		Settings: c.Ours, Platform: c.Settings, Log: log,
		Names: deadletter.Names{Classes: namesByNumber(c.Names.Classes), Tenants: namesByNumber(c.Names.Tenants)},
	})
}

// listenAdmin opens the front of the admin plane on a Unix socket, if the settings ask for it.
func listenAdmin(c Config, keeper *deadletter.Queue, post *statusBoard, log *slog.Logger) (*admin.Server, error) {
	if c.Ours == nil || c.Ours.Admin == nil {
		return nil, nil
	}
	var k admin.DeadLetterQueue // an interface that holds a nil keeper is not nil
	if keeper != nil {
		k = keeper
	}
	return admin.Listen(c.Ours.Admin.Socket, k, post, log)
}

// shutDown brings a sender to its end, counted from the signal.
func shutDown(loop *state.Loop, listener *protocol.Listener, told time.Time) {
	listener.DisableKeepAlive()
	time.Sleep(time.Until(told.Add(acceptWindow)))
	loop.Stop()
	listener.Close(told.Add(finishTimeout))
	halt := false
	for time.Now().Before(told.Add(finishTimeout)) && !loop.Idle() {
		if !halt && time.Now().After(told.Add(sendWindow)) {
			loop.Halt()
			halt = true
		}
		time.Sleep(idlePollInterval)
	}
	listener.Wait(told.Add(finishTimeout))
}

// limitRuntime keeps the runtime within the machine's limits.
func limitRuntime(l Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
}

// socketBudget parts the descriptors between clients' connections and idle
// ones to targets, besides those of calls that are out. Clients may hold a
// third of all for requests, and some connect that have none. Those that are being closed have their part of it.
func socketBudget(c Config) (clients, idle int) {
	left := c.Limits.Sockets - reservedSockets - c.Settings.MaxInFlight
	if c.Admin != "" {
		left -= admin.MaxHTTPConnections
	}
	left = max(left, 12)
	clients = left * 2 / 3
	return max(clients-protocol.MaxLingering(clients), clients/2), left / 3
}
