package lifecycle

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"cleathold/internal/handover"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// closeTimeout is how long clients' connections may take to end with the answers under way before the journal passes on.
const closeTimeout = 350 * time.Millisecond

// A predecessor is the process before this one, or this one's own last term, whose calls are still out.
type predecessor struct {
	state        state.HandoverState
	socket       net.Listener
	confirmReady func() error                                // tells it that this process serves
	postResults  func(context.Context, handover.EventPoster) // posts what comes of its calls
	drained      <-chan struct{}                             // of an own last term: nothing is out any more
}

// requestTakeover asks the process that serves the same state folder to give way; nil where there is none.
func requestTakeover(c Config) (*predecessor, error) {
	if c.Admin == "" {
		return nil, nil
	}
	i, err := handover.RequestTakeover(handover.Path(c.State))
	if i == nil || err != nil {
		return nil, err
	}
	return &predecessor{state: i.State, socket: i.Listener, confirmReady: i.ConfirmReady, postResults: i.Run}, nil
}

// listenForSuccessor opens the desk where the next process asks. Without one the sender serves, but has to be stopped for
// another version. Nil works as a desk at which nobody asks.
func listenForSuccessor(c Config, log *slog.Logger) *handover.Listener {
	if c.Admin == "" {
		return nil
	}
	desk, err := handover.Listen(handover.Path(c.State), log)
	if err != nil {
		log.Error("no hand-over to another process: stop this one for a new version", "err", err)
		return nil
	}
	return desk
}

// deadLetterCloseTimeout is how long the held store may take to close when another process takes over.
const deadLetterCloseTimeout = 2 * time.Second

var errDeadLettersOpen = errors.New("the held store does not close")

// handOver lets another process take over, and returns once nothing of this one's is out any more. Where that one does
// not come to serve, what it was given is returned.
func (p *process) handOver(ask *handover.Request, sock *os.File, listener *protocol.Listener, loop *state.Loop, leave func(), rest func() error, desk *handover.Listener) *predecessor {
	began := time.Now()
	p.machine.advance(handingOver)
	listener.Close(began.Add(closeTimeout))
	leave()
	// The keeper goes first: it sends nothing again any more, and what it has not written yet stays with the journal.
	rested := rest()
	legacy := handover.NewResultQueue()
	done := make(chan state.HandOverResult, 1)
	loop.Post(state.HandOver{Successor: legacy, Done: done})
	given := <-done
	given.State.Drained, given.State.Lease = p.machine.orders()
	gave := make(chan error, 1)
	err := errors.Join(given.Err, rested)
	if err != nil {
		ask.Reject(err.Error())
		gave <- err
	} else {
		go func() { gave <- ask.HandOver(sock, given.State) }()
	}
	var told time.Time
	select {
	case err = <-gave:
	case told = <-p.stop:
		p.machine.advance(stopping)
		select {
		case err = <-gave:
		case <-time.After(time.Until(told.Add(finishTimeout))):
			err = errors.New("stopped")
		}
	}
	if err != nil && told.IsZero() {
		p.log.Error("another process did not take over, this one serves on", "err", err)
		back, err := net.FileListener(sock)
		if err != nil {
			p.log.Error("the listening socket is lost", "err", err)
			return nil
		}
		return &predecessor{
			state: given.State, socket: back, confirmReady: func() error { return nil }, postResults: legacy.PostTo, drained: legacy.Drained(p.ctx),
		}
	}
	if err != nil {
		p.log.Error("stopped before another process had taken over; the journal has everything", "err", err)
		return nil
	}
	p.log.Info("another process has taken over", "after", time.Since(began).Round(time.Millisecond), "out", len(given.State.InFlight))
	desk.Close(true)
	passing, end := context.WithCancel(p.ctx)
	defer end()
	passed := make(chan error, 1)
	go func() { passed <- ask.ForwardResults(passing, legacy) }()
	if told.IsZero() {
		select {
		case <-passed:
			return nil
		case told = <-p.stop:
			p.machine.advance(stopping)
		}
	}
	select {
	case <-passed:
	case <-time.After(time.Until(told.Add(finishTimeout))):
	}
	return nil
}
