package simulation

import (
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/state"
)

// reportRetryDelay is the time until a delivery report that did not arrive is sent again.
const reportRetryDelay = 500 * time.Millisecond

// Report sends a delivery report to the platform. It implements state's reports.
func (x *sender) Report(n state.DeliveryReport) {
	x.sim.at(x.sim.now+reportAckDelay, func() { x.whenRunning(func() { x.deliverReport(n) }) })
}

// deliverReport has a report arrive, as soon as the platform can be reached. The client of a deferred message may
// retry it.
func (x *sender) deliverReport(n state.DeliveryReport) {
	s := x.sim
	if x.dead {
		return // its write-ahead log has the report
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
