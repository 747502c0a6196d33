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

// The stop, counted from SIGTERM. The clients' balancer notices only after a while that no more is wanted; SIGKILL
// follows at 3.7 s at the soonest.
const (
	acceptWindow     = 500 * time.Millisecond  // new messages are still accepted
	sendWindow       = 2 * time.Second         // new attempts are still made
	finishTimeout    = 3300 * time.Millisecond // attempts and connections end
	exitTimeout      = 3400 * time.Millisecond // the dead-letter queue closes
	idlePollInterval = 20 * time.Millisecond
)

// lingerTimeout is how long a process that has handed over waits for the connections that still linger.
const lingerTimeout = 500 * time.Millisecond

// settingsTimeout is how long the loop may take to answer new settings, or take exclusions.
const settingsTimeout = time.Second

var errLogNotWritable = errors.New("the journal can't be written")

// A taskGroup owns goroutines that end together: cancel asks them to, and Wait waits until they have.
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

// run runs a task on a goroutine of its own.
func (g *taskGroup) run(task func(context.Context)) { g.Go(func() { task(g.ctx) }) }

// A server is the parts of a sender, connected, from their start to a stop or a hand-over. It is used by one goroutine.
type server struct {
	*process
	config      *Config      // in force; of Run, and of the next server
	predecessor *predecessor // nil: there was none

	loop        *state.Loop
	transport   *protocol.Transport
	discovery   *protocol.Discovery
	reporter    *protocol.Reporter
	listener    *protocol.Listener
	gossip      *protocol.GossipTransport // nil: none
	admin       *admin.Server             // nil: none
	deadLetters *deadletter.Queue         // nil: none
	successors  *handover.Listener        // nil: nobody can take over

	// The owners of goroutines. What faces the platform and the operators ends first when another process takes over;
	// deliveryTasks that are out end last.
	deliveryTasks     *taskGroup    // loop, transport, listener, and the results of the predecessor's calls
	controlTasks      *taskGroup    // discovery, reporter, gossip, admin API; within calls
	deadLettersClosed chan struct{} // closed once the dead-letter queue has ended, or if there is none
	stopDeadLetters   context.CancelFunc
}

// start starts all parts, and tells the predecessor. Clients are served from then on.
func (s *server) start() error {
	s.startDeadLetters()
	if s.admin != nil {
		s.controlTasks.Go(s.admin.Serve)
	}
	s.deliveryTasks.run(s.loop.Run)
	s.deliveryTasks.run(s.transport.Run)
	s.controlTasks.run(s.discovery.Run)
	s.controlTasks.run(s.reporter.Run)
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
		"version", c.Known.Version, "count", len(c.Known.Targets), "discovery", c.Discovery)
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

// run obeys signals and requests to take over until a stop, or until another process has taken over. Where that one
// fails, what it was given is returned.
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

// handleTakeover lets another process take over. The server has ended then, unless the request was rejected.
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
		go func() { <-returned.drained; s.deliveryTasks.cancel() }() // results of calls that are out are passed on until then
		return returned, true
	}
	s.deliveryTasks.cancel()
	s.deliveryTasks.Wait()
	s.listener.Wait(time.Now().Add(lingerTimeout))
	s.log.Info("stopped after hand-over", "sender", s.config.Name)
	return nil, true
}

// shutDown brings the server to its end, counted from the signal.
func (s *server) shutDown(signaledAt time.Time) {
	s.machine.advance(stopping)
	s.finishCalls(signaledAt)
	s.stopControlTasks()
	s.deliveryTasks.cancel()
	s.deliveryTasks.Wait()
	select {
	case <-s.deadLettersClosed:
	case <-time.After(time.Until(signaledAt.Add(exitTimeout))): // a disk may hang
		s.log.Warn("dead-letter queue not closed in time; the write-ahead log has what it lacks")
	}
	s.log.Info("stopped", "sender", s.config.Name)
}

// finishCalls accepts messages for a while and lets the calls end, counted from the signal.
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

// stopControlTasks ends what faces the platform and the operators.
func (s *server) stopControlTasks() {
	s.controlTasks.cancel()
	if s.admin != nil {
		s.admin.Close()
	}
	s.controlTasks.Wait()
}

// closeDeadLetters ends the dead-letter queue. Its error is errDeadLettersOpen if that takes too long.
func (s *server) closeDeadLetters() error {
	s.stopDeadLetters()
	select {
	case <-s.deadLettersClosed:
		return nil
	case <-time.After(deadLetterCloseTimeout):
		return errDeadLetterCloseTimeout
	}
}
