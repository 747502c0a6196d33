package lifecycle

import (
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"cleathold/internal/lease"
)

// A phase is what a sender is doing as a whole. Its names stand in the status.
type phase int

const (
	starting    phase = iota
	serving           // clients are served
	drained           // clients are sent away; accepted messages go on
	handingOver       // another process takes over, or has
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

// A stateMachine is the one owner of the process's phase, its lease and its exclusions. Orders that come during the
// start hold once it is over. Clients are sent away while the operator has said so, or while a lease is active that
// wants it. Its methods may be called from any goroutine.
type stateMachine struct {
	log *slog.Logger
	id  string           // of the process
	now func() time.Time // nil: the machine's clock

	mu                sync.Mutex
	phase             phase
	drainedByOperator bool
	lease             lease.Holder
	leaseTimer        *time.Timer // fires when the lease is up
	exclusions        lease.Exclusions
	exclusionsTimer   *time.Timer    // fires when the exclusions are up
	setExcluded       func([]string) // tells the loop which endpoints are excluded; nil during the start
	clients           clientGate     // nil during the start
}

func newStateMachine(log *slog.Logger) *stateMachine { return &stateMachine{log: log, id: rand.Text()} }

// Why an order is rejected, or the process is not ready.
var (
	errStarting    = errors.New("starting")
	errHandingOver = errors.New("another process takes over")
	errStopping    = errors.New("stopping")
)

// Ready tells why this process can't serve; nil if it can, drained or not.
func (m *stateMachine) Ready() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkPhase(true)
}

// checkPhase is why an order is rejected now; nil if it is not. Some orders need the end of the start.
func (m *stateMachine) checkPhase(needsStarted bool) error {
	switch {
	case m.phase == starting && needsStarted:
		return errStarting
	case m.phase == handingOver:
		return errHandingOver
	case m.phase == stopping:
		return errStopping
	}
	return nil
}

// apply carries out an order, unless this process takes none now.
func (m *stateMachine) apply(needsStarted bool, order func(now time.Time) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkPhase(needsStarted); err != nil {
		return err
	}
	if err := order(m.clock()); err != nil {
		return err
	}
	m.armLeaseTimer()
	m.updatePhase()
	return nil
}

func (m *stateMachine) clock() time.Time {
	if m.now != nil {
		return m.now()
	}
	return time.Now()
}

// Drain sends clients away by the operator's order: whatever leases say, until Activate.
func (m *stateMachine) Drain() error {
	return m.apply(false, func(time.Time) error { m.drainedByOperator = true; return nil })
}

// Activate takes clients back by the operator's order, which goes before an active lease and ends it.
func (m *stateMachine) Activate() error {
	return m.apply(false, func(time.Time) error {
		m.drainedByOperator = false
		if m.lease.Active() {
			return m.lease.End(m.lease.Epoch)
		}
		return nil
	})
}

// Take takes up a lease. During the start none is taken up: nobody knows this process yet.
func (m *stateMachine) Take(o lease.Order) error {
	return m.apply(true, func(now time.Time) error { return m.lease.Take(o, m.id, now) })
}

// Renew sets another end to the active lease.
func (m *stateMachine) Renew(epoch uint64, until time.Time) error {
	return m.apply(false, func(now time.Time) error { return m.lease.Renew(epoch, until, now) })
}

// End ends an epoch, and the active lease of it.
func (m *stateMachine) End(epoch uint64) error {
	return m.apply(false, func(time.Time) error { return m.lease.End(epoch) })
}

// SetExclusions takes which endpoints are excluded, as of an epoch, until a time.
func (m *stateMachine) SetExclusions(epoch uint64, ids []string, until time.Time) error {
	return m.apply(true, func(now time.Time) error {
		if err := m.exclusions.Take(epoch, ids, until, now); err != nil {
			return err
		}
		m.applyExclusions()
		return nil
	})
}

// applyExclusions tells the loop, and arms the timer.
func (m *stateMachine) applyExclusions() {
	if m.setExcluded != nil {
		m.setExcluded(m.exclusions.EndpointIDs)
	}
	if m.exclusionsTimer != nil {
		m.exclusionsTimer.Stop()
	}
	m.exclusionsTimer = time.AfterFunc(max(0, m.exclusions.Until.Sub(m.clock())), m.expireExclusions)
}

// expireExclusions ends exclusions that are up.
func (m *stateMachine) expireExclusions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.exclusions.Expire(m.clock()) {
		m.log.Warn("exclusions expired: no endpoint is excluded any more")
		if m.setExcluded != nil && m.phase < handingOver {
			m.setExcluded(nil)
		}
	}
}

// connectExclusions names who is told which endpoints are excluded.
func (m *stateMachine) connectExclusions(setExcluded func([]string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.setExcluded = setExcluded; len(m.exclusions.EndpointIDs) > 0 {
		setExcluded(m.exclusions.EndpointIDs)
	}
}

// shouldDrain reports whether clients are to be sent away.
func (m *stateMachine) shouldDrain() bool {
	return m.drainedByOperator || m.lease.Active() && m.lease.Drain
}

// armLeaseTimer has the active lease looked at when it is up.
func (m *stateMachine) armLeaseTimer() {
	if m.leaseTimer != nil {
		m.leaseTimer.Stop()
		m.leaseTimer = nil
	}
	if m.lease.Active() {
		m.leaseTimer = time.AfterFunc(max(0, m.lease.Until.Sub(m.clock())), m.expireLease)
	}
}

// expireLease ends a lease that is up. A process that was stopped in between does so as soon as it goes on.
func (m *stateMachine) expireLease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.Expire(m.clock()) {
		m.log.Warn("lease expired", "epoch", m.lease.Epoch)
		m.updatePhase()
	} else if m.lease.Active() { // the clock was set back, or the lease was renewed
		m.armLeaseTimer()
	}
}

// updatePhase brings the phase in line with the orders.
func (m *stateMachine) updatePhase() {
	drain := m.shouldDrain()
	switch {
	case m.phase == serving && drain:
		m.phase = drained
		m.clients.Drain()
	case m.phase == drained && !drain:
		m.phase = serving
		m.clients.Activate()
	default:
		return
	}
	m.log.Info("phase changed by order", "phase", m.phase.String(), "epoch", m.lease.Epoch)
}

// startServing ends the start, or a hand-over that failed.
func (m *stateMachine) startServing(clients clientGate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == stopping {
		return
	}
	m.clients, m.phase = clients, serving
	m.updatePhase()
}

// advance goes on to a later phase. It does nothing if the process is in that phase or a later one already.
func (m *stateMachine) advance(p phase) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.phase = max(m.phase, p)
}

// orders are what the successor must know: whether the operator sends clients away, and the lease.
func (m *stateMachine) orders() (drainedByOperator bool, l lease.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drainedByOperator, m.lease
}

// inherit takes over the orders of the predecessor.
func (m *stateMachine) inherit(drainedByOperator bool, l lease.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainedByOperator = m.drainedByOperator || drainedByOperator
	if l.Epoch >= m.lease.Epoch {
		m.lease = l
	}
	m.armLeaseTimer()
}

// snapshot is what the status tells of the state machine.
func (m *stateMachine) snapshot() (id string, p phase, l lease.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.id, m.phase, m.lease
}
