package lifecycle

import (
	"errors"
	"log/slog"
	"sync"
)

// A phase is what a sender is doing as a whole.
type phase int

const (
	starting phase = iota
	serving
	drained // clients are sent away; what is held goes on
	leaving // another process takes over, or has
	stopping
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "drained", "leaving", "stopping"}[p]
}

// A door lets clients in, or sends them away.
type door interface {
	Drain()
	Activate()
}

// A station is the one owner of the phase. Orders that come during the start hold once it is over.
type station struct {
	log *slog.Logger

	mu   sync.Mutex
	is   phase
	away bool // ordered: clients are to be sent away
	door door // from the end of the start on
}

var (
	errStarting = errors.New("starting")
	errLeaving  = errors.New("another process takes over")
	errStopping = errors.New("stopping")
)

// Ready tells whether this process can serve, drained or not.
func (s *station) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuses(true)
}

// refuses is why an order, or readiness, is not to be had now.
func (s *station) refuses(ready bool) error {
	switch {
	case s.is == starting && ready:
		return errStarting
	case s.is == leaving:
		return errLeaving
	case s.is == stopping:
		return errStopping
	}
	return nil
}

func (s *station) Drain() error    { return s.order(true) }
func (s *station) Activate() error { return s.order(false) }

func (s *station) order(away bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuses(false); err != nil {
		return err
	}
	s.away = away
	s.obey()
	return nil
}

// obey brings the phase in line with the order.
func (s *station) obey() {
	switch {
	case s.is == serving && s.away:
		s.is = drained
		s.door.Drain()
	case s.is == drained && !s.away:
		s.is = serving
		s.door.Activate()
	default:
		return
	}
	s.log.Info("ordered by the operators", "now", s.is.String())
}

// begin ends the start, or a leave that came to nothing.
func (s *station) begin(d door) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.is == stopping {
		return
	}
	s.door, s.is = d, serving
	s.obey()
}

// enter goes on to a later phase. False: it has gone further already.
func (s *station) enter(p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.is >= p {
		return false
	}
	s.is = p
	return true
}

// ordered tells whether clients are to be sent away, for the process that comes after this one.
func (s *station) ordered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}
