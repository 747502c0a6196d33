package lifecycle

import (
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"cleathold/internal/lease"
)

// A phase is the state of a sender's lifecycle. The status reports it by name.
type phase int

const (
	starting    phase = iota
	serving           // accepts messages from clients
	drained           // rejects clients; still delivers accepted messages
	handingOver       // another process takes over, or has taken over
	stopping
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "drained", "leaving", "stopping"}[p]
}

// A clientGate controls whether clients are accepted. Drain ends their connections and, after a short delay, rejects
// new messages. Activate accepts clients again.
type clientGate interface {
	Drain()
	Activate()
}

// A stateMachine owns the process's phase, its lease and its exclusions. Orders accepted in phase starting take effect
// when it ends. Clients are drained while the operator's drain order is in force, or while a lease with Drain set is
// active. Its methods are safe for concurrent use.
type stateMachine struct {
	log *slog.Logger
	id  string           // random id of the process
	now func() time.Time // nil: time.Now

	mu                sync.Mutex
	phase             phase
	drainedByOperator bool
	lease             lease.Holder
	leaseTimer        *time.Timer // fires when the lease expires
	exclusions        lease.Exclusions
	exclusionsTimer   *time.Timer    // fires when the exclusions expire
	setExcluded       func([]string) // passes the excluded endpoints to the event loop; nil during the start
	clients           clientGate     // nil during the start
}

func newStateMachine(log *slog.Logger) *stateMachine { return &stateMachine{log: log, id: rand.Text()} }

// Reasons why an order is rejected or the process is not ready.
var (
	errStarting    = errors.New("starting")
	errHandingOver = errors.New("another process takes over")
	errStopping    = errors.New("stopping")
)

// Ready returns nil if this process can serve, drained or not, and otherwise the reason why it can't.
func (m *stateMachine) Ready() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkPhase(true)
}

// checkPhase returns an error if the current phase does not allow an order. With needsStarted set, it also rejects the
// order in phase starting.
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

// apply executes an order if the current phase allows it, and then updates the lease timer and the phase.
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

// Drain makes the sender reject clients by order of the operator, regardless of leases, until Activate is called.
func (m *stateMachine) Drain() error {
	return m.apply(false, func(time.Time) error { m.drainedByOperator = true; return nil })
}

// Activate makes the sender accept clients again by order of the operator, which overrides an active lease and ends it.
func (m *stateMachine) Activate() error {
	return m.apply(false, func(time.Time) error {
		m.drainedByOperator = false
		if m.lease.Active() {
			return m.lease.End(m.lease.Epoch)
		}
		return nil
	})
}

// AcceptLease accepts a lease. It rejects leases in phase starting, when no agent can know this process yet.
func (m *stateMachine) AcceptLease(o lease.Order) error {
	return m.apply(true, func(now time.Time) error { return m.lease.Accept(o, m.id, now) })
}

// RenewLease sets a new end for the active lease.
func (m *stateMachine) RenewLease(epoch uint64, until time.Time) error {
	return m.apply(false, func(now time.Time) error { return m.lease.Renew(epoch, until, now) })
}

// EndLease ends an epoch, including its lease if that is active.
func (m *stateMachine) EndLease(epoch uint64) error {
	return m.apply(false, func(time.Time) error { return m.lease.End(epoch) })
}

// SetExclusions replaces the set of excluded endpoints. The set belongs to an epoch and expires at the given time.
func (m *stateMachine) SetExclusions(epoch uint64, ids []string, until time.Time) error {
	return m.apply(true, func(now time.Time) error {
		if err := m.exclusions.Replace(epoch, ids, until, now); err != nil {
			return err
		}
		m.applyExclusions()
		return nil
	})
}

// applyExclusions passes the exclusions to the event loop and arms their timer.
func (m *stateMachine) applyExclusions() {
	if m.setExcluded != nil {
		m.setExcluded(m.exclusions.EndpointIDs)
	}
	if m.exclusionsTimer != nil {
		m.exclusionsTimer.Stop()
	}
	m.exclusionsTimer = time.AfterFunc(max(0, m.exclusions.Until.Sub(m.clock())), m.expireExclusions)
}

// expireExclusions clears the exclusions if they have expired.
func (m *stateMachine) expireExclusions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.exclusions.Expire(m.clock()) {
		m.log.Warn("exclusions expired; no endpoint is excluded")
		if m.setExcluded != nil && m.phase < handingOver {
			m.setExcluded(nil)
		}
	}
}

// connectExclusions sets the function that receives the excluded endpoints, and calls it if any are set.
func (m *stateMachine) connectExclusions(setExcluded func([]string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.setExcluded = setExcluded; len(m.exclusions.EndpointIDs) > 0 {
		setExcluded(m.exclusions.EndpointIDs)
	}
}

// shouldDrain reports whether clients must be drained by order of the operator or under a lease.
func (m *stateMachine) shouldDrain() bool {
	return m.drainedByOperator || m.lease.Active() && m.lease.Drain
}

// armLeaseTimer sets the timer that expires the active lease, and stops the previous one.
func (m *stateMachine) armLeaseTimer() {
	if m.leaseTimer != nil {
		m.leaseTimer.Stop()
		m.leaseTimer = nil
	}
	if m.lease.Active() {
		m.leaseTimer = time.AfterFunc(max(0, m.lease.Until.Sub(m.clock())), m.expireLease)
	}
}

// expireLease ends the lease if it has expired. A process that was suspended past the end of the lease does so as
// soon as it continues.
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

// updatePhase switches between serving and drained according to the orders and the lease.
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

// startServing sets phase serving after the start or a failed hand-over, and applies the orders in force. It does
// nothing once the process is stopping.
func (m *stateMachine) startServing(clients clientGate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == stopping {
		return
	}
	m.clients, m.phase = clients, serving
	m.updatePhase()
}

// advance moves on to a later phase. It does nothing if the process is already in that phase or a later one.
func (m *stateMachine) advance(p phase) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.phase = max(m.phase, p)
}

// orders returns the orders to pass to a successor: whether the operator has drained the sender, and the lease.
func (m *stateMachine) orders() (drainedByOperator bool, l lease.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drainedByOperator, m.lease
}

// inherit adopts the predecessor's orders. The predecessor's lease is used unless this process knows a later epoch.
func (m *stateMachine) inherit(drainedByOperator bool, l lease.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainedByOperator = m.drainedByOperator || drainedByOperator
	if l.Epoch >= m.lease.Epoch {
		m.lease = l
	}
	m.armLeaseTimer()
}

// snapshot returns the parts of the state machine that the status reports.
func (m *stateMachine) snapshot() (id string, p phase, l lease.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.id, m.phase, m.lease
}
