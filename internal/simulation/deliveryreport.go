package simulation

import (
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/state"
)

// reportRetryDelay is when a notice that reached nobody is told again.
const reportRetryDelay = 500 * time.Millisecond

// Report takes a notice; the client hears of it, and may come again.
func (x *sender) Report(n state.DeliveryReport) {
	x.sim.at(x.sim.now+reportAckDelay, func() { x.whenRunning(func() { x.deliverReport(n) }) })
}

func (x *sender) deliverReport(n state.DeliveryReport) {
	s := x.sim
	if x.dead {
		return // it is in the journal
	}
	if !x.reachesDiscovery() {
		s.at(s.now+reportRetryDelay, func() { x.whenRunning(func() { x.deliverReport(n) }) })
		return
	}
	s.record(audit.Event{Kind: audit.Notice, Sender: x.num, Message: n.ID, Deferred: n.Deferred, RetryAfter: n.RetryAfter})
	m := s.messages[n.ID]
	if m != nil && n.Deferred {
		s.rejected(m, n.ID, n.RetryAfter)
	} else if m != nil {
		delete(s.messages, n.ID)
	}
	x.step(state.ReportsAcknowledged{Nums: []control.MessageID{n.Num}})
}
