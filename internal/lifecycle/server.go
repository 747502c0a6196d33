package lifecycle

import (
	"context"
	"errors"
	"sync"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/handover"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// Deadlines of the shutdown, counted from the stop signal. The clients' load balancer notices only after a delay that
// the sender is stopping, so messages are accepted for a while longer. SIGKILL follows 3.7 s after SIGTERM at the
// earliest.
const (
	acceptWindow     = 500 * time.Millisecond  // end of accepting new messages
	sendWindow       = 2 * time.Second         // end of starting new attempts
	finishTimeout    = 3300 * time.Millisecond // attempts and connections must have ended
	exitTimeout      = 3400 * time.Millisecond // the dead-letter queue must have closed
	idlePollInterval = 20 * time.Millisecond
)

// lingerTimeout bounds the wait for lingering connections after a hand-over.
const lingerTimeout = 500 * time.Millisecond

// settingsTimeout bounds the time for the event loop to accept new settings or exclusions.
const settingsTimeout = time.Second

var errLogNotWritable = errors.New("the journal can't be written")

// A taskGroup owns goroutines with a common lifetime: cancel requests their end, and Wait waits for it.
type taskGroup struct {
	sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func newTaskGroup(ctx context.Context) *taskGroup {
	g := &taskGroup{}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// run runs a task in a new goroutine.
func (g *taskGroup) run(task func(context.Context)) { g.Go(func() { task(g.ctx) }) }

// A server connects the components of a sender and runs them until a stop signal or a hand-over. It is used by one
// goroutine.
type server struct {
	*process
	config      *Config      // configuration in force; owned by Run and passed on to the next server
	predecessor *predecessor // nil: no state was taken over

	loop        *state.Loop
	transport   *protocol.Transport
	discovery   *protocol.Discovery
	reporter    *protocol.Reporter
	listener    *protocol.Listener
	gossip      *protocol.GossipTransport // nil: none
	admin       *admin.Server             // nil: none
	deadLetters *deadletter.Queue         // nil: none
	successors  *handover.Listener        // nil: hand-over is unavailable

	// Groups of goroutines. At a hand-over the control tasks, which communicate with the platform and the operators, end
	// first; the delivery tasks run on until the last call in flight has ended.
	deliveryTasks     *taskGroup    // loop, reporter, listener, and the results of the predecessor's calls
	controlTasks      *taskGroup    // discovery, gossip, admin API; child context of deliveryTasks
	deadLettersClosed chan struct{} // closed once the dead-letter queue has ended; closed at start if there is no queue
	stopDeadLetters   context.CancelFunc
}

// start starts all components and notifies the predecessor. From then on the server serves clients.
func (s *server) start() error {
	s.startDeadLetters()
	if s.admin != nil {
		s.controlTasks.Go(s.admin.Serve)
	}
	s.deliveryTasks.run(s.loop.Run)
	s.controlTasks.run(s.discovery.Run)
	s.controlTasks.run(s.watchResources)
	s.deliveryTasks.run(s.reporter.Run)
	if s.gossip != nil {
		s.controlTasks.run(func(ctx context.Context) { s.gossip.Run(ctx, s.loop) })
	}
	s.deliveryTasks.Go(s.listener.Serve)
	if s.predecessor != nil {
		if err := s.predecessor.confirmReady(); err != nil {
			s.deliveryTasks.cancel()
			s.listener.Close(time.Now())
			s.stopControlTasks()
			s.deliveryTasks.Wait()
			return err
		}
		s.deliveryTasks.run(func(ctx context.Context) { s.predecessor.receiveResults(ctx, s.loop) })
	}
	s.successors = listenForSuccessor(*s.config, s.log)
	s.board.loop.Store(s.loop)
	s.machine.connectExclusions(func(ids []string) {
		s.loop.PostBefore(state.ExclusionsChanged{IDs: ids}, time.Now().Add(settingsTimeout))
	})
	s.machine.startServing(s.listener)
	c := s.config
	s.log.Info("serving", "sender", c.Name, "listen", s.listener.Addr().String(), "fleet_size", c.Settings.FleetSize,
		"version", c.CachedList.Version, "count", len(c.CachedList.Targets), "discovery", c.Discovery,
		"client_connections", s.clientBudget.Limits().Connections)
	return nil
}

// startDeadLetters starts the dead-letter queue, if there is one.
func (s *server) startDeadLetters() {
	var ctx context.Context
	ctx, s.stopDeadLetters = context.WithCancel(s.deliveryTasks.ctx)
	if s.deadLetters == nil {
		close(s.deadLettersClosed)
		return
	}
	s.deadLetters.Connect(s.loop)
	s.listener.SetKeyClaimer(s.deadLetters)
	go func() {
		defer close(s.deadLettersClosed)
		s.deadLetters.Run(ctx)
	}()
}

// run handles signals and takeover requests until a stop signal or until another process has taken over. After a failed
// hand-over it returns the state for the next server of this process.
func (s *server) run() *predecessor {
	for {
		select {
		case <-s.reload:
			s.reloadConfig()
		case request := <-s.successors.Requests():
			if returned, ended := s.handleTakeover(request); ended {
				return returned
			}
		case signaledAt := <-s.stop:
			s.shutDown(signaledAt)
			return nil
		}
	}
}

// handleTakeover hands over to another process. It reports whether the server has ended, which is the case unless it
// rejected the request. After a failed hand-over it also returns the state for the next server.
func (s *server) handleTakeover(request *handover.Request) (returned *predecessor, ended bool) {
	socket, err := s.listener.File()
	if err == nil && !s.loop.LogIntact() {
		err = errLogNotWritable
	}
	if err != nil {
		s.log.Error("hand-over rejected", "err", err)
		request.Reject(err.Error())
		return nil, false
	}
	returned = s.handOver(request, socket)
	socket.Close()
	if returned != nil {
		// The delivery tasks keep forwarding the results of calls in flight until none remain.
		go func() { <-returned.drained; s.deliveryTasks.cancel() }()
		return returned, true
	}
	s.deliveryTasks.cancel()
	s.deliveryTasks.Wait()
	s.listener.Wait(time.Now().Add(lingerTimeout))
	s.log.Info("stopped after hand-over", "sender", s.config.Name)
	return nil, true
}

// shutDown stops the server. Its deadlines count from the time of the stop signal.
func (s *server) shutDown(signaledAt time.Time) {
	s.machine.advance(stopping)
	s.finishCalls(signaledAt)
	s.stopControlTasks()
	s.loop.AwaitEvents(signaledAt.Add(exitTimeout)) // an interrupted poll may have left a doubt for the next process
	s.deliveryTasks.cancel()
	s.deliveryTasks.Wait()
	select {
	case <-s.deadLettersClosed:
	case <-time.After(time.Until(signaledAt.Add(exitTimeout))): // a disk operation may hang
		s.log.Warn("dead-letter queue not closed in time; the write-ahead log holds the records that it lacks")
	}
	s.log.Info("stopped", "sender", s.config.Name)
}

// finishCalls accepts messages until acceptWindow after the signal, starts attempts until sendWindow, and waits for
// calls and connections until finishTimeout.
func (s *server) finishCalls(signaledAt time.Time) {
	s.listener.DisableKeepAlive()
	time.Sleep(time.Until(signaledAt.Add(acceptWindow)))
	s.loop.Stop()
	s.listener.Close(signaledAt.Add(finishTimeout))
	halted := false
	for time.Now().Before(signaledAt.Add(finishTimeout)) && !s.loop.Idle() {
		if !halted && time.Now().After(signaledAt.Add(sendWindow)) {
			s.loop.Halt()
			halted = true
		}
		time.Sleep(idlePollInterval)
	}
	s.listener.Wait(signaledAt.Add(finishTimeout))
}

// stopControlTasks ends the tasks that communicate with the platform and the operators.
func (s *server) stopControlTasks() {
	s.controlTasks.cancel()
	if s.admin != nil {
		s.admin.Close()
	}
	s.controlTasks.Wait()
}

// closeDeadLetters closes the dead-letter queue. It returns errDeadLetterCloseTimeout if the queue has not closed
// within deadLetterCloseTimeout.
func (s *server) closeDeadLetters() error {
	s.stopDeadLetters()
	select {
	case <-s.deadLettersClosed:
		return nil
	case <-time.After(deadLetterCloseTimeout):
		return errDeadLetterCloseTimeout
	}
}
