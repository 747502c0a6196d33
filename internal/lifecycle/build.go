package lifecycle

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
	"cleathold/internal/store"
)

// logLockTimeout bounds the wait for the write-ahead log's lock during a takeover. After a failed hand-over, the
// process that failed to take over may still hold the lock when its predecessor reopens the log.
const logLockTimeout = 3 * time.Second

// durabilityByName maps the durability names in the settings to the levels of package store.
var durabilityByName = map[string]store.Durability{"process": store.ProcessExit, "group": store.GroupSync,
	"each": store.EachAppend}

// build opens the resources of a server and connects its components. It starts no goroutines.
func (p *process) build(c *Config, pred *predecessor) (*server, error) {
	s := &server{process: p, config: c, predecessor: pred}
	s.deadLetters = newDeadLetterQueue(*c, p.log)
	s.gossip = openGossip(*c, p.log)
	var err error
	if s.loop, err = newLoop(s.loopSetup(), pred != nil); err != nil {
		return nil, err
	}
	s.transport = protocol.NewTransport(s.loop, p.log)
	s.transport.SetCounters(p.endpoints)
	s.discovery = protocol.NewDiscovery(s.loop, protocol.DiscoveryConfig{
		Addr: c.Discovery, Names: c.Names, MaxPollInterval: c.Settings.MaxPollInterval,
		PollSpread: c.Settings.PollSpread(), DrainGrace: c.Settings.DrainGrace, Pushed: !c.Settings.PollEndpointList,
		MaxTargets: c.Limits.maxTargets(),
		Log:        p.log,
	})
	s.reporter = protocol.NewReporter(s.loop, c.Discovery, p.log)
	s.loop.Connect(s.transport, s.discovery, s.reporter)
	if s.gossip != nil {
		s.loop.ConnectGossip(s.gossip)
	}
	if s.listener, err = s.listen(); err != nil {
		return nil, err
	}
	s.listener.SetCounters(p.clients)
	if s.admin, err = listenAdmin(*c, s.deadLetters, p.board, p.log); err != nil {
		s.listener.Close(time.Now())
		return nil, err
	}
	s.deliveryTasks = newTaskGroup(s.ctx)
	s.controlTasks = newTaskGroup(s.deliveryTasks.ctx)
	s.deadLettersClosed = make(chan struct{})
	return s, nil
}

// loopSetup returns the parameters of the event loop.
func (s *server) loopSetup() state.Setup {
	c := s.config
	setup := state.Setup{
		Settings: c.Settings, Classes: namesByNumber(c.Names.Classes), InitialList: c.CachedList,
		AwaitList: !c.Settings.PollEndpointList, Dir: c.State, MaxDiskBytes: c.Limits.DiskBytes, Log: s.log,
		Counters: s.counters, MaxTargets: c.Limits.maxTargets(),
	}
	if c.ScriptSettings != nil {
		setup.Durability, setup.GroupWait = durabilityByName[c.ScriptSettings.WriteAheadLog.Durability],
			c.ScriptSettings.WriteAheadLog.Wait
	}
	if s.predecessor != nil {
		setup.Handover = &s.predecessor.state
	}
	if s.deadLetters != nil { // a nil *Queue stored in the interface would compare unequal to nil
		setup.DeadLetters = s.deadLetters
	}
	setup.Settings.CanGossip = s.gossip != nil
	return setup
}

// newLoop creates the event loop. During a takeover it retries while the other process still holds the lock of the
// write-ahead log, for at most logLockTimeout.
func newLoop(setup state.Setup, takingOver bool) (*state.Loop, error) {
	for deadline := time.Now().Add(logLockTimeout); ; time.Sleep(idlePollInterval) {
		loop, err := retry(setup.Log, "journal", startTimeout, func() (*state.Loop, error) { return state.NewLoop(setup) })
		if !takingOver || !errors.Is(err, store.ErrLocked) || time.Now().After(deadline) {
			return loop, err
		}
	}
}

// listen opens the socket for clients, or reuses the predecessor's.
func (s *server) listen() (*protocol.Listener, error) {
	c, keepAlive := s.config, s.config.Limits.Sockets/keepAliveDivisor
	if s.predecessor != nil {
		return protocol.ListenOn(
			s.predecessor.socket, s.loop, c.Names, c.Settings.Classes, s.clientBudget, keepAlive, s.log), nil
	}
	listener, err := retry(s.log, "listen", startTimeout, func() (*protocol.Listener, error) {
		return protocol.Listen(c.Listen, s.loop, c.Names, c.Settings.Classes, s.clientBudget, keepAlive, s.log)
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// openGossip opens the gossip transport, or returns nil if gossip is not configured or can't be opened. The sender also
// serves without gossip.
func openGossip(c Config, log *slog.Logger) *protocol.GossipTransport {
	if !c.Settings.CanGossip || c.PeerListen == "" || c.PeersAll == "" {
		return nil
	}
	transport, err := retry(log, "gossip", gossipTimeout, func() (*protocol.GossipTransport, error) {
		return protocol.OpenGossip(c.PeerListen, c.PeersAll, c.Peers, c.Settings.Index, log)
	})
	if err != nil {
		log.Error("gossip unavailable: see peer_listen, peers and peers_all", "err", err)
		return nil
	}
	return transport
}

// newDeadLetterQueue creates the queue of undeliverable messages, or returns nil if the settings configure none.
func newDeadLetterQueue(c Config, log *slog.Logger) *deadletter.Queue {
	if c.ScriptSettings == nil || c.ScriptSettings.DeadLetterQueue == nil {
		return nil
	}
	return deadletter.NewQueue(deadletter.Config{
		Settings: c.ScriptSettings, Platform: c.Settings, Log: log,
		Names: deadletter.Names{Classes: namesByNumber(c.Names.Classes), Tenants: namesByNumber(c.Names.Tenants)},
	})
}

// listenAdmin opens the admin API on a Unix socket, or returns nil if the settings configure none.
func listenAdmin(c Config, queue *deadletter.Queue, board *statusBoard, log *slog.Logger) (*admin.Server, error) {
	if c.ScriptSettings == nil || c.ScriptSettings.Admin == nil {
		return nil, nil
	}
	var q admin.DeadLetterQueue // a nil *Queue stored in the interface would compare unequal to nil
	if queue != nil {
		q = queue
	}
	return admin.Listen(c.ScriptSettings.Admin.Socket, q, board, log)
}
