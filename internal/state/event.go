package state

// Event is something that the loop handles in its next iteration. The set is sealed: only types of this package are
// events, so that posting anything else does not compile. Each event's type stands beside what it does:
//
//	Submitted, ResponseWritten                    admission.go
//	CallEnded, ReportsAcknowledged                outcome.go
//	ListUpdate, ListUnreadable, PollOpen,
//	PollFailed, ExclusionsChanged, HealthChecked,
//	GossipReceived                                endpoints.go
//	Redelivery, DeadLettersStored                 redelivery.go, deadletter.go
//	UpdateSettings                                settings.go
//	HandOver, RemoteResult, PredecessorLost       handover.go
//	TimerElapsed, stopping, halting, inspect      event.go
type Event interface {
	// apply has the loop do what the event asks for. The loop's own goroutine calls it.
	apply(l *Loop)
}

// TimerElapsed is the event of the loop's timer, for a caller of Step: WakeAt has come. Step alone understands it.
type TimerElapsed struct{}

func (TimerElapsed) apply(*Loop) {}

// timerFired carries the token of the timer that went off. The controller ignores all but its latest.
type timerFired struct{ token uint32 }

func (e timerFired) apply(l *Loop) { l.controller.TimerFired(l.sinceStart(), e.token) }

// stopping asks for no new messages.
type stopping struct{}

func (stopping) apply(l *Loop) { l.stopped = true }

// halting asks for no new attempts.
type halting struct{}

// What has not left now is for the next process to send: it would be cut off in the middle.
func (halting) apply(l *Loop) {
	l.halted = true
	l.withholdAll()
}

// inspect is run by the loop, between two events.
type inspect func()

func (e inspect) apply(*Loop) { e() }
