package simulation

import (
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/state"
)

// reportRetryDelay is the delay before a delivery report that did not arrive is sent again.
const reportRetryDelay = 500 * time.Millisecond

// Report sends a delivery report to the platform. It implements state.Reporter.
func (sd *sender) Report(report state.DeliveryReport) {
	sd.sim.at(sd.sim.now+reportAckDelay, func() { sd.whenRunning(func() { sd.deliverReport(report) }) })
}

// deliverReport delivers a report to the platform, and retries while the platform is unreachable. The client of a
// deferred message may submit it again.
func (sd *sender) deliverReport(report state.DeliveryReport) {
	s := sd.sim
	if sd.dead {
		return // the write-ahead log still contains the report
	}
	if !sd.reachesDiscovery() {
		s.at(s.now+reportRetryDelay, func() { sd.whenRunning(func() { sd.deliverReport(report) }) })
		return
	}
	s.record(audit.Event{
		Kind: audit.DeliveryReported, Sender: sd.num, Message: report.ID, Deferred: report.Deferred,
		RetryAfter: report.RetryAfter,
	})
	request := s.messages[report.ID]
	if request != nil && report.Deferred {
		s.rejected(request, report.ID, report.RetryAfter)
	} else if request != nil {
		delete(s.messages, report.ID)
	}
	sd.step(state.ReportsAcknowledged{Numbers: []control.MessageID{report.Number}})
}
