package lifecycle

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"cleathold/internal/handover"
	"cleathold/internal/state"
)

const (
	// closeTimeout is how long clients' connections may take to end with the responses under way before the write-ahead
	// log passes on.
	closeTimeout = 350 * time.Millisecond

	// deadLetterCloseTimeout is how long the dead-letter queue may take to close when another process takes over.
	deadLetterCloseTimeout = 2 * time.Second
)

var (
	errDeadLetterCloseTimeout = errors.New("the dead-letter store does not close")
	errStoppedInHandover      = errors.New("stopped")
)

// A predecessor is the process before this one, or this one's own last server, whose calls are still out.
type predecessor struct {
	state          state.HandoverState
	socket         net.Listener                                // the clients'
	confirmReady   func() error                                // tells it that this process serves
	receiveResults func(context.Context, handover.EventPoster) // posts the results of its calls
	drained        <-chan struct{}                             // closed once no call is out; of an own last server only
}

// requestTakeover asks the process that serves the same state folder to hand over; nil where there is none.
func requestTakeover(c Config) (*predecessor, error) {
	if c.Admin == "" {
		return nil, nil
	}
	t, err := handover.RequestTakeover(handover.Path(c.State))
	if t == nil || err != nil {
		return nil, err
	}
	return &predecessor{state: t.State, socket: t.Listener, confirmReady: t.ConfirmReady, receiveResults: t.Run}, nil
}

// listenForSuccessor opens the socket where the next process asks to take over. Without one the sender serves, but
// has to be stopped for another version. A nil listener can be used: nobody asks there.
func listenForSuccessor(c Config, log *slog.Logger) *handover.Listener {
	if c.Admin == "" {
		return nil
	}
	l, err := handover.Listen(handover.Path(c.State), log)
	if err != nil {
		log.Error("hand-over unavailable: stop this process before another version starts", "err", err)
		return nil
	}
	return l
}

// handOver lets another process take over, and returns once no call of this one is out any more. Where the other one
// does not come to serve, what it was given is returned.
func (s *server) handOver(request *handover.Request, socket *os.File) *predecessor {
	startedAt := time.Now()
	s.machine.advance(handingOver)
	s.listener.Close(startedAt.Add(closeTimeout))
	s.stopControlTasks()
	// The dead-letter queue goes first: it redelivers nothing any more, and what it has not written yet stays with the
	// write-ahead log.
	closeErr := s.closeDeadLetters()
	results := handover.NewResultQueue()
	detached := s.detachState(results)
	signaledAt, err := s.transferState(request, socket, detached.State, errors.Join(detached.Err, closeErr))
	switch {
	case err != nil && signaledAt.IsZero():
		s.log.Error("hand-over failed, serving on", "err", err)
		return s.reclaimState(socket, detached.State, results)
	case err != nil:
		s.log.Error("stopped during hand-over; the write-ahead log has everything", "err", err)
		return nil
	}
	s.log.Info("handed over to successor",
		"elapsed", time.Since(startedAt).Round(time.Millisecond), "in_flight", len(detached.State.InFlight))
	s.successors.Close(true)
	s.forwardResults(request, results, signaledAt)
	return nil
}

// detachState has the loop give its state away. Results of its calls go to the queue from then on.
func (s *server) detachState(results *handover.ResultQueue) state.HandOverResult {
	done := make(chan state.HandOverResult, 1)
	s.loop.Post(state.HandOver{Successor: results, Done: done})
	detached := <-done
	detached.State.Drained, detached.State.Lease = s.machine.orders()
	return detached
}

// transferState gives the state to the other process, unless there is an error already, and waits until that one serves.
// signaledAt is when this process was told to stop meanwhile; zero: it was not.
func (s *server) transferState(
	request *handover.Request, socket *os.File, given state.HandoverState, err error,
) (signaledAt time.Time, _ error) {
	transferred := make(chan error, 1)
	if err != nil {
		request.Reject(err.Error())
		transferred <- err
	} else {
		go func() { transferred <- request.HandOver(socket, given) }()
	}
	select {
	case err = <-transferred:
		return time.Time{}, err
	case signaledAt = <-s.stop:
	}
	s.machine.advance(stopping)
	select {
	case err = <-transferred:
	case <-time.After(time.Until(signaledAt.Add(finishTimeout))):
		err = errStoppedInHandover
	}
	return signaledAt, err
}

// reclaimState makes a predecessor for the next server of this process of what another one did not take.
func (s *server) reclaimState(socket *os.File, given state.HandoverState, results *handover.ResultQueue) *predecessor {
	listener, err := net.FileListener(socket)
	if err != nil {
		s.log.Error("listening socket lost", "err", err)
		return nil
	}
	return &predecessor{
		state: given, socket: listener, confirmReady: func() error { return nil },
		receiveResults: results.PostTo, drained: results.Drained(s.ctx),
	}
}

// forwardResults passes the results of calls that are out on to the successor until there are no more, or until the
// time of a stop.
func (s *server) forwardResults(request *handover.Request, results *handover.ResultQueue, signaledAt time.Time) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	forwarded := make(chan error, 1)
	go func() { forwarded <- request.ForwardResults(ctx, results) }()
	if signaledAt.IsZero() {
		select {
		case <-forwarded:
			return
		case signaledAt = <-s.stop:
			s.machine.advance(stopping)
		}
	}
	select {
	case <-forwarded:
	case <-time.After(time.Until(signaledAt.Add(finishTimeout))):
	}
}
