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
	acceptSpan = 500 * time.Millisecond // new messages are still taken
	launchSpan = 2 * time.Second        // new forwards are still made
	finishSpan = 3300 * time.Millisecond
	leaveSpan  = 3400 * time.Millisecond
	idleCheck  = 20 * time.Millisecond
)

// readOutSpan is how long a process that has given way waits for the connections that it still reads out.
const readOutSpan = 500 * time.Millisecond

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
	c, err := persist(log, "configuration", persistSpan, load)
	if err != nil {
		return err
	}
	limitRuntime(c.Limits)
	c.given = c.named()
	p := &process{load: load, log: log, reload: reload, machine: newMachine(log), counters: &state.Counters{}, clients: &protocol.Counters{}}
	var end context.CancelFunc
	p.ctx, end = context.WithCancel(context.Background())
	defer end()
	p.stop = stopTimes(p.ctx, stop)
	p.board = &board{machine: p.machine, name: c.Name, release: c.Release, started: time.Now(), counters: p.counters, clients: p.clients}
	p.inForce(c)
	if c.Admin != "" {
		front, err := persist(log, "admin", persistSpan, func() (*admin.HTTPServer, error) { return admin.ListenTCP(c.Admin, p.board, log) })
		if err != nil {
			return err
		}
		defer front.Close()
		go front.Serve()
	}
	before, err := predecessorOf(c)
	if err != nil {
		return err
	}
	if before != nil {
		log.Info("taking over from the process that serves", "out", len(before.estate.InFlight))
		p.machine.inherit(before.estate.Drained, before.estate.Lease)
	}
	for {
		// More than once only where a process that was to take over did not come to serve.
		if before, err = p.term(&c, before); before == nil || err != nil {
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
	machine  *machine
	board    *board
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

// inForce has the status name the configuration that holds.
func (p *process) inForce(c Config) {
	digest := admin.Digest(c.text)
	p.board.config.Store(&digest)
}

// lockSpan is how long a journal that is taken back may still be locked by the process that failed to take over.
const lockSpan = 3 * time.Second

// term serves until a stop, or until another process has taken over. Where that one fails, what it was given is
// returned, for the next term of this process.
func (p *process) term(c *Config, before *predecessor) (*predecessor, error) {
	log := p.log
	setup := state.Setup{Settings: c.Settings, Classes: wordsOf(c.Names.Classes), Known: c.Known, Dir: c.State, DiskBytes: c.Limits.DiskBytes, Log: log, Counters: p.counters}
	if c.Ours != nil {
		setup.Durability, setup.GroupWait = durabilities[c.Ours.Journal.Durability], c.Ours.Journal.Wait
	}
	if before != nil {
		setup.Handover = &before.estate
	}
	keeper := newKeeper(*c, log)
	if keeper != nil {
		setup.DeadLetters = keeper
	}
	peers := openPeers(*c, log)
	setup.Settings.CanGossip = peers != nil
	loop, err := newLoop(setup, before != nil)
	if err != nil {
		return nil, err
	}
	clients, idle := shareSockets(*c)
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
		listener = protocol.ListenOn(before.sock, loop, c.Names, c.Settings.Classes, clients, c.Limits.Sockets/keepPart, log)
	} else if listener, err = persist(log, "listen", persistSpan, func() (*protocol.Listener, error) {
		return protocol.Listen(c.Listen, loop, c.Names, c.Settings.Classes, clients, c.Limits.Sockets/keepPart, log)
	}); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	listener.SetCounters(p.clients)
	plane, err := openPlane(*c, keeper, p.board, log)
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
		case <-time.After(keptSpan):
			return errKept
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
		if err := before.ready(); err != nil {
			cancel()
			listener.Close(time.Now())
			leave()
			wg.Wait()
			return nil, err
		}
		wg.Go(func() { before.run(ctx, loop) })
	}
	desk := openDesk(*c, log)
	defer desk.Close(false)
	p.board.loop.Store(loop)
	p.machine.connect(func(ids []string) {
		loop.PostBefore(state.ExclusionsChanged{IDs: ids}, time.Now().Add(tuneSpan))
	})
	p.machine.begin(listener)
	var told time.Time // to stop
	log.Info("serving", "name", c.Name, "listen", listener.Addr().String(), "siblings", c.Settings.FleetSize,
		"list", c.Known.Version, "targets", len(c.Known.Targets), "discovery", c.Discovery)
	for {
		select {
		case <-p.reload:
			*c = renew(*c, p.load, changes{discovery, notices, loop, listener, tenants}, log)
			p.inForce(*c)
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
			back := p.giveWay(ask, sock, listener, loop, leave, rest, desk)
			sock.Close()
			if back != nil {
				go func() { <-back.over; cancel() }() // calls out have their ends passed on until then
				return back, nil
			}
			cancel()
			wg.Wait()
			listener.Wait(time.Now().Add(readOutSpan))
			log.Info("stopped: another process has taken over", "name", c.Name)
			return nil, nil
		case told = <-p.stop:
		}
		break
	}
	p.machine.enter(stopping)
	shutDown(loop, listener, told)
	leave()
	cancel()
	wg.Wait()
	select {
	case <-kept:
	case <-time.After(time.Until(told.Add(leaveSpan))): // a disk that hangs must not
		log.Warn("the held store did not close in time; the journal has what it lacks")
	}
	log.Info("stopped", "name", c.Name)
	return nil, nil
}

// newLoop makes a loop. One that takes over may find the journal locked for a moment.
func newLoop(s state.Setup, over bool) (*state.Loop, error) {
	for until := time.Now().Add(lockSpan); ; time.Sleep(idleCheck) {
		loop, err := persist(s.Log, "journal", persistSpan, func() (*state.Loop, error) { return state.NewLoop(s) })
		if !over || !errors.Is(err, store.ErrLocked) || time.Now().After(until) {
			return loop, err
		}
	}
}

// openPeers opens the way to the other senders where there is one. Without it the sender serves all the same.
func openPeers(c Config, log *slog.Logger) *protocol.GossipTransport {
	if !c.Settings.CanGossip || c.PeerListen == "" || c.PeersAll == "" {
		return nil
	}
	peers, err := persist(log, "peers", peersSpan, func() (*protocol.GossipTransport, error) {
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

// changes are those that a configuration which is read again is told to.
type changes struct {
	discovery, notices addressSetter
	loop               interface {
		PostBefore(event state.Event, limit time.Time) bool
	}
	listener interface {
		SetNames(protocol.Names, []control.Class)
	}
	tenants func([]string) // takes the names of tenants by number; nil: nobody keeps messages by them
}

// tuneSpan is how long the loop may take to answer new settings.
const tuneSpan = time.Second

// renew reads the configuration again and returns the one in force. The address
// of discovery, the settings of the controller and the runtime's limits are taken
// over as the sender runs, all of them or none. What else has changed waits for the
// next start: the journal and the listener are built on it.
func renew(old Config, load Source, to changes, log *slog.Logger) Config {
	c, err := persist(log, "configuration", rereadSpan, load)
	if err == nil {
		err = readAgain(old, c)
	}
	now := old
	if err == nil {
		now, err = retune(old, c, to, log)
	}
	if err != nil {
		log.Error("configuration not read again, the old one holds", "err", err)
		return old
	}
	if c.Discovery != old.Discovery {
		to.discovery.SetAddress(c.Discovery)
		to.notices.SetAddress(c.Discovery)
	}
	limitRuntime(c.Limits)
	now.Discovery, now.text = c.Discovery, c.text
	now.Limits.Cores, now.Limits.MemoryMB = c.Limits.Cores, c.Limits.MemoryMB
	now.Ours = renewOurs(old.Ours, c.Ours, log)
	if waits := c.waits(now); len(waits) > 0 {
		log.Warn("configuration read again: some of what has changed waits for the next start", "keys", waits)
	}
	log.Info("configuration read again", "discovery", now.Discovery, "classes", len(now.Names.Classes), "attempts", now.Settings.MaxAttempts)
	return now
}

// waits names what of a configuration does not hold until the next start.
func (c Config) waits(now Config) (list []string) {
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

// retune has the loop take new settings, and the listener the words of them.
func retune(old, c Config, to changes, log *slog.Logger) (Config, error) {
	same := c.Settings
	same.Seed, same.Classes, same.CanGossip = old.Settings.Seed, old.Settings.Classes, old.Settings.CanGossip
	classes := c.named()
	if reflect.DeepEqual(same, old.Settings) && slices.Equal(classes, old.given) {
		return old, nil
	}
	if to.tenants != nil {
		for name, n := range old.Names.Tenants {
			if c.Names.Tenants[name] != n {
				log.Warn("settings read again: while messages are held, tenants that are numbered anew wait for the next start", "tenant", name)
				return old, nil
			}
		}
	}
	done := make(chan state.SettingsResult, 1)
	if !to.loop.PostBefore(state.UpdateSettings{Settings: c.Settings, Classes: classes, Done: done}, time.Now().Add(tuneSpan)) {
		return old, errors.New("settings: the loop does not take them")
	}
	r := <-done
	if r.Err != nil {
		return old, fmt.Errorf("settings: %w", r.Err)
	}
	now := old
	now.given = classes
	now.Names, now.Settings = c.Names, c.Settings
	now.Names.Classes, now.Names.Kinds = r.Numbers, old.Names.Kinds
	now.Settings.Classes, now.Settings.Seed, now.Settings.CanGossip = r.Classes, old.Settings.Seed, old.Settings.CanGossip
	now.Settings.FleetSize, now.Settings.Index, now.Settings.Kinds = old.Settings.FleetSize, old.Settings.Index, old.Settings.Kinds
	if to.tenants != nil {
		to.tenants(wordsOf(now.Names.Tenants))
	}
	to.listener.SetNames(now.Names, now.Settings.Classes)
	return now, nil
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
func newKeeper(c Config, log *slog.Logger) *deadletter.Queue {
	if c.Ours == nil || c.Ours.Held == nil {
		return nil
	}
	return deadletter.NewQueue(deadletter.Config{
		Settings: c.Ours, Platform: c.Settings, Log: log,
		Names: deadletter.Names{Classes: wordsOf(c.Names.Classes), Tenants: wordsOf(c.Names.Tenants)},
	})
}

// openPlane opens the front of the admin plane on a Unix socket, if the settings ask for it.
func openPlane(c Config, keeper *deadletter.Queue, post *board, log *slog.Logger) (*admin.Server, error) {
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
	listener.Wait(told.Add(finishSpan))
}

// limitRuntime keeps the runtime within the machine's limits.
func limitRuntime(l Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * memoryShare * (1 << 20)))
	}
}

// shareSockets parts the descriptors between clients' connections and idle
// ones to targets, besides those of calls that are out. Clients may hold a
// third of all for requests, and some connect that have none. Those that are being closed have their part of it.
func shareSockets(c Config) (clients, idle int) {
	left := c.Limits.Sockets - spareSockets - c.Settings.MaxInFlight
	if c.Admin != "" {
		left -= admin.MaxHTTPConnections
	}
	left = max(left, 12)
	clients = left * 2 / 3
	return max(clients-protocol.MaxLingering(clients), clients/2), left / 3
}
