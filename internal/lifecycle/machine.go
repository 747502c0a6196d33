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

// A machine is the state machine of the process: the one owner of the phase, and of the book of leases. Orders that come during the start hold once it is
// over. Clients are sent away while somebody has said so by hand, or while a lease stands that wants it.
type machine struct {
	log *slog.Logger
	id  string           // of the process
	now func() time.Time // nil: the machine's clock

	mu    sync.Mutex
	is    phase
	hand  bool // ordered by hand: clients are to be sent away
	book  lease.Holder
	timer *time.Timer // looks at the book again when the lease is up
	aside lease.Exclusions
	since *time.Timer    // looks at aside again
	out   func([]string) // tells the loop which targets are taken out; from the end of the start on
	door  door           // from the end of the start on
}

func newMachine(log *slog.Logger) *machine { return &machine{log: log, id: rand.Text()} }

var (
	errStarting = errors.New("starting")
	errLeaving  = errors.New("another process takes over")
	errStopping = errors.New("stopping")
)

// Ready tells whether this process can serve, drained or not.
func (s *machine) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuses(true)
}

// refuses is why an order, or readiness, is not to be had now.
func (s *machine) refuses(ready bool) error {
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

// order does something to the book, or by hand, unless this process takes no orders now.
func (s *machine) order(ready bool, do func(now time.Time) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuses(ready); err != nil {
		return err
	}
	if err := do(s.clock()); err != nil {
		return err
	}
	s.watch()
	s.obey()
	return nil
}

func (s *machine) clock() time.Time {
	if s.now != nil {
		return s.now()
	}
	return time.Now()
}

// Drain sends clients away by hand: whatever leases say, until Activate.
func (s *machine) Drain() error {
	return s.order(false, func(time.Time) error { s.hand = true; return nil })
}

// Activate takes them back by hand. A lease that stands ends: who stands beside the sender decides.
func (s *machine) Activate() error {
	return s.order(false, func(time.Time) error {
		s.hand = false
		if s.book.Active() {
			return s.book.End(s.book.Epoch)
		}
		return nil
	})
}

// Take takes up the leave to go out. During the start nothing is taken up: nobody knows this process yet.
func (s *machine) Take(o lease.Order) error {
	return s.order(true, func(now time.Time) error { return s.book.Take(o, s.id, now) })
}

// Renew sets another end to the lease that stands.
func (s *machine) Renew(epoch uint64, until time.Time) error {
	return s.order(false, func(now time.Time) error { return s.book.Renew(epoch, until, now) })
}

// End ends an epoch, and the lease that stands for it.
func (s *machine) End(epoch uint64) error {
	return s.order(false, func(time.Time) error { return s.book.End(epoch) })
}

// SetExclusions takes which targets are out, as of an epoch.
func (s *machine) SetExclusions(epoch uint64, ids []string, until time.Time) error {
	return s.order(true, func(now time.Time) error {
		if err := s.aside.Take(epoch, ids, until, now); err != nil {
			return err
		}
		s.tellAside()
		return nil
	})
}

// tellAside tells the loop, and has the set looked at when its time is up.
func (s *machine) tellAside() {
	if s.out != nil {
		s.out(s.aside.EndpointIDs)
	}
	if s.since != nil {
		s.since.Stop()
	}
	s.since = time.AfterFunc(max(0, s.aside.Until.Sub(s.clock())), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.aside.Expire(s.clock()) {
			s.log.Warn("nobody has said again which targets are out: all are in")
			if s.out != nil && s.is < leaving {
				s.out(nil)
			}
		}
	})
}

// connect names who is told which targets are out.
func (s *machine) connect(out func([]string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out = out; len(s.aside.EndpointIDs) > 0 {
		out(s.aside.EndpointIDs)
	}
}

// away tells whether clients are to be sent away.
func (s *machine) away() bool { return s.hand || s.book.Active() && s.book.Drain }

// watch has the book looked at when the lease that stands is up.
func (s *machine) watch() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if s.book.Active() {
		s.timer = time.AfterFunc(max(0, s.book.Until.Sub(s.clock())), s.expire)
	}
}

// expire ends the lease that is up. A process that was stopped in between does so as soon as it goes on.
func (s *machine) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Expire(s.clock()) {
		s.log.Warn("nobody has renewed the lease to be out: back to work", "epoch", s.book.Epoch)
		s.obey()
	} else if s.book.Active() { // the clock was set back, or the lease was renewed
		s.watch()
	}
}

// obey brings the phase in line with what is ordered.
func (s *machine) obey() {
	away := s.away()
	switch {
	case s.is == serving && away:
		s.is = drained
		s.door.Drain()
	case s.is == drained && !away:
		s.is = serving
		s.door.Activate()
	default:
		return
	}
	s.log.Info("ordered by the operators", "now", s.is.String(), "epoch", s.book.Epoch)
}

// begin ends the start, or a leave that came to nothing.
func (s *machine) begin(d door) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.is == stopping {
		return
	}
	s.door, s.is = d, serving
	s.obey()
}

// enter goes on to a later phase. False: it has gone further already.
func (s *machine) enter(p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.is >= p {
		return false
	}
	s.is = p
	return true
}

// ordered tells what the process that comes after this one must know: whether clients are sent away by hand, and
// the book of leases.
func (s *machine) ordered() (hand bool, book lease.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hand, s.book
}

// inherit takes over what the process before this one was ordered.
func (s *machine) inherit(hand bool, book lease.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hand = s.hand || hand
	if book.Epoch >= s.book.Epoch {
		s.book = book
	}
	s.watch()
}

// standing is what the machine itself knows for a status.
func (s *machine) standing() (id string, is phase, book lease.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.is, s.book
}
