package lifecycle

import (
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"cleathold/internal/lease"
)

// A phase is what a sender is doing as a whole.
type phase int

const (
	starting phase = iota
	serving
	drained     // clients are sent away; what is held goes on
	handingOver // another process takes over, or has
	stopping
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "drained", "leaving", "stopping"}[p]
}

// A clientGate lets clients in, or sends them away.
type clientGate interface {
	Drain()
	Activate()
}

// A stateMachine is the state machine of the process: the one owner of the phase, and of the book of leases. Orders that come during the start hold once it is
// over. Clients are sent away while somebody has said so by hand, or while a lease stands that wants it.
type stateMachine struct {
	log *slog.Logger
	id  string           // of the process
	now func() time.Time // nil: the machine's clock

	mu                sync.Mutex
	phase             phase
	drainedByOperator bool // ordered by hand: clients are to be sent away
	lease             lease.Holder
	leaseTimer        *time.Timer // looks at the book again when the lease is up
	exclusions        lease.Exclusions
	exclusionsTimer   *time.Timer    // looks at aside again
	setExcluded       func([]string) // tells the loop which targets are taken out; from the end of the start on
	clients           clientGate     // from the end of the start on
}

func newStateMachine(log *slog.Logger) *stateMachine { return &stateMachine{log: log, id: rand.Text()} }

var (
	errStarting    = errors.New("starting")
	errHandingOver = errors.New("another process takes over")
	errStopping    = errors.New("stopping")
)

// Ready tells whether this process can serve, drained or not.
func (s *stateMachine) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejection(true)
}

// rejection is why an order, or readiness, is not to be had now.
func (s *stateMachine) rejection(ready bool) error {
	switch {
	case s.phase == starting && ready:
		return errStarting
	case s.phase == handingOver:
		return errHandingOver
	case s.phase == stopping:
		return errStopping
	}
	return nil
}

// apply does something to the book, or by hand, unless this process takes no orders now.
func (s *stateMachine) apply(ready bool, do func(now time.Time) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.rejection(ready); err != nil {
		return err
	}
	if err := do(s.clock()); err != nil {
		return err
	}
	s.armLeaseTimer()
	s.updatePhase()
	return nil
}

func (s *stateMachine) clock() time.Time {
	if s.now != nil {
		return s.now()
	}
	return time.Now()
}

// Drain sends clients away by hand: whatever leases say, until Activate.
func (s *stateMachine) Drain() error {
	return s.apply(false, func(time.Time) error { s.drainedByOperator = true; return nil })
}

// Activate takes them back by hand. A lease that stands ends: who stands beside the sender decides.
func (s *stateMachine) Activate() error {
	return s.apply(false, func(time.Time) error {
		s.drainedByOperator = false
		if s.lease.Active() {
			return s.lease.End(s.lease.Epoch)
		}
		return nil
	})
}

// Take takes up the leave to go out. During the start nothing is taken up: nobody knows this process yet.
func (s *stateMachine) Take(o lease.Order) error {
	return s.apply(true, func(now time.Time) error { return s.lease.Take(o, s.id, now) })
}

// Renew sets another end to the lease that stands.
func (s *stateMachine) Renew(epoch uint64, until time.Time) error {
	return s.apply(false, func(now time.Time) error { return s.lease.Renew(epoch, until, now) })
}

// End ends an epoch, and the lease that stands for it.
func (s *stateMachine) End(epoch uint64) error {
	return s.apply(false, func(time.Time) error { return s.lease.End(epoch) })
}

// SetExclusions takes which targets are out, as of an epoch.
func (s *stateMachine) SetExclusions(epoch uint64, ids []string, until time.Time) error {
	return s.apply(true, func(now time.Time) error {
		if err := s.exclusions.Take(epoch, ids, until, now); err != nil {
			return err
		}
		s.applyExclusions()
		return nil
	})
}

// applyExclusions tells the loop, and has the set looked at when its time is up.
func (s *stateMachine) applyExclusions() {
	if s.setExcluded != nil {
		s.setExcluded(s.exclusions.EndpointIDs)
	}
	if s.exclusionsTimer != nil {
		s.exclusionsTimer.Stop()
	}
	s.exclusionsTimer = time.AfterFunc(max(0, s.exclusions.Until.Sub(s.clock())), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.exclusions.Expire(s.clock()) {
			s.log.Warn("nobody has said again which targets are out: all are in")
			if s.setExcluded != nil && s.phase < handingOver {
				s.setExcluded(nil)
			}
		}
	})
}

// connectExclusions names who is told which targets are out.
func (s *stateMachine) connectExclusions(out func([]string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setExcluded = out; len(s.exclusions.EndpointIDs) > 0 {
		out(s.exclusions.EndpointIDs)
	}
}

// wantsDrain tells whether clients are to be sent away.
func (s *stateMachine) wantsDrain() bool {
	return s.drainedByOperator || s.lease.Active() && s.lease.Drain
}

// armLeaseTimer has the book looked at when the lease that stands is up.
func (s *stateMachine) armLeaseTimer() {
	if s.leaseTimer != nil {
		s.leaseTimer.Stop()
		s.leaseTimer = nil
	}
	if s.lease.Active() {
		s.leaseTimer = time.AfterFunc(max(0, s.lease.Until.Sub(s.clock())), s.expireLease)
	}
}

// expireLease ends the lease that is up. A process that was stopped in between does so as soon as it goes on.
func (s *stateMachine) expireLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease.Expire(s.clock()) {
		s.log.Warn("nobody has renewed the lease to be out: back to work", "epoch", s.lease.Epoch)
		s.updatePhase()
	} else if s.lease.Active() { // the clock was set back, or the lease was renewed
		s.armLeaseTimer()
	}
}

// updatePhase brings the phase in line with what is ordered.
func (s *stateMachine) updatePhase() {
	away := s.wantsDrain()
	switch {
	case s.phase == serving && away:
		s.phase = drained
		s.clients.Drain()
	case s.phase == drained && !away:
		s.phase = serving
		s.clients.Activate()
	default:
		return
	}
	s.log.Info("ordered by the operators", "now", s.phase.String(), "epoch", s.lease.Epoch)
}

// startServing ends the start, or a leave that came to nothing.
func (s *stateMachine) startServing(d clientGate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == stopping {
		return
	}
	s.clients, s.phase = d, serving
	s.updatePhase()
}

// advance goes on to a later phase. False: it has gone further already.
func (s *stateMachine) advance(p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase >= p {
		return false
	}
	s.phase = p
	return true
}

// orders tells what the process that comes after this one must know: whether clients are sent away by hand, and
// the book of leases.
func (s *stateMachine) orders() (hand bool, book lease.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainedByOperator, s.lease
}

// inherit takes over what the process before this one was ordered.
func (s *stateMachine) inherit(hand bool, book lease.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedByOperator = s.drainedByOperator || hand
	if book.Epoch >= s.lease.Epoch {
		s.lease = book
	}
	s.armLeaseTimer()
}

// snapshot is what the machine itself knows for a status.
func (s *stateMachine) snapshot() (id string, is phase, book lease.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.phase, s.lease
}
