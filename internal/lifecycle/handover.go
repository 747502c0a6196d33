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
	// closeTimeout bounds the time for client connections to finish their pending responses before the write-ahead log is
	// handed over.
	closeTimeout = 350 * time.Millisecond

	// deadLetterCloseTimeout bounds the time for the dead-letter queue to close during a hand-over.
	deadLetterCloseTimeout = 2 * time.Second
)

var (
	errDeadLetterCloseTimeout = errors.New("the dead-letter store does not close")
	errStoppedInHandover      = errors.New("no answer from the successor in time")
)

// A predecessor holds the state taken over from the previous process, or from the previous server of this process after
// a failed hand-over. Calls of the predecessor may still be in flight.
type predecessor struct {
	state          state.HandoverState
	socket         net.Listener                                // listening socket for clients
	confirmReady   func() error                                // notifies the predecessor that this process serves
	receiveResults func(context.Context, handover.EventPoster) // posts the results of its calls in flight
	drained        <-chan struct{}                             // closed once no call is in flight; nil for another process
}

// requestTakeover requests a hand-over from the process that serves the same state folder. It returns nil if there is
// no such process.
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

// listenForSuccessor opens the socket on which a successor requests the hand-over. Without it the sender serves, but
// must be stopped before another version starts. A nil listener is valid and receives no requests.
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

// handOver hands over to another process and returns once no call of this process is in flight. If the successor fails
// to start serving, handOver returns the state so that this process can resume with it.
func (s *server) handOver(request *handover.Request, socket *os.File) *predecessor {
	startedAt := time.Now()
	s.machine.advance(handingOver)
	s.listener.Close(startedAt.Add(closeTimeout))
	s.stopControlTasks()
	// The dead-letter queue is closed first: it then starts no more redeliveries, and records that it has not stored yet
	// remain in the write-ahead log.
	closeErr := s.closeDeadLetters()
	results := handover.NewResultQueue()
	detached := s.detachState(results)
	signaledAt, err := s.transferState(request, socket, detached.State, errors.Join(detached.Err, closeErr))
	s.loop.EndResponsibility()
	switch {
	case err != nil && signaledAt.IsZero():
		s.log.Error("hand-over failed, continuing to serve", "err", err)
		return s.reclaimState(socket, detached.State, results)
	case err != nil:
		s.log.Error("stopped during hand-over; the write-ahead log is complete", "err", err)
		return nil
	}
	s.log.Info("handed over to successor",
		"elapsed", time.Since(startedAt).Round(time.Millisecond), "in_flight", len(detached.State.InFlight))
	s.successors.Close(true)
	s.forwardResults(request, results, signaledAt)
	return nil
}

// detachState makes the loop release its state. From then on, the results of its calls in flight go to the queue.
func (s *server) detachState(results *handover.ResultQueue) state.HandoverResult {
	done := make(chan state.HandoverResult, 1)
	s.loop.Post(state.Handover{Successor: results, Done: done})
	detached := <-done
	detached.State.Drained, detached.State.Lease = s.machine.orders()
	return detached
}

// transferState sends the state to the successor and waits until it serves. If err is already set, it rejects the
// request instead. signaledAt is the time of a stop signal received meanwhile, or zero if there was none.
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

// reclaimState returns the state that a failed successor did not take over, for the next server of this process.
func (s *server) reclaimState(socket *os.File, given state.HandoverState, results *handover.ResultQueue) *predecessor {
	listener, err := retry(s.log, "listen", startTimeout, func() (net.Listener, error) {
		return net.FileListener(socket)
	})
	if err != nil {
		s.log.Error("can't reopen the listening socket after a failed hand-over", "err", err)
		return nil
	}
	return &predecessor{
		state: given, socket: listener, confirmReady: func() error { return nil },
		receiveResults: results.PostTo, drained: results.Drained(s.ctx),
	}
}

// forwardResults forwards the results of calls in flight to the successor until none remain. After a stop signal it
// ends at finishTimeout at the latest.
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
