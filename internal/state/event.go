package state

// Event is input that the loop handles in its next iteration. Only types of this package implement it, so posting any
// other value does not compile. Each event type is declared in the file that handles it:
//
//	Submitted, ResponseWritten                    admission.go
//	CallEnded, ReportsAcknowledged                outcome.go
//	ListUpdate, ListUnreadable, ListResponseBegan,
//	ListResponseEnded, PollFailed, ExclusionsChanged, HealthChecked,
//	GossipReceived                                endpoints.go
//	Redelivery, DeadLettersStored                 redelivery.go, deadletter.go
//	UpdateSettings                                settings.go
//	Handover, RemoteResult, PredecessorLost       handover.go
//	TimerElapsed, stopping, halting, inspect      event.go
type Event interface {
	// apply handles the event. Only the loop's own goroutine calls it.
	apply(l *Loop)
}

// TimerElapsed is the event that a caller of Step passes when the time returned by WakeAt has come. Only Step handles
// it.
type TimerElapsed struct{}

func (TimerElapsed) apply(*Loop) {}

// timerFired is the event of the loop's timer. The controller ignores every token but the latest.
type timerFired struct{ token uint32 }

func (e timerFired) apply(l *Loop) { l.controller.TimerFired(l.sinceStart(), e.token) }

// stopping ends the acceptance of new messages.
type stopping struct{}

func (stopping) apply(l *Loop) { l.stopped = true }

// halting ends the making of new attempts.
type halting struct{}

// apply also withholds the calls that have not left yet: the end of the process would interrupt them. The next process
// sends their messages.
func (halting) apply(l *Loop) {
	l.halted = true
	l.withholdAll()
}

// inspect is a function that the loop's goroutine runs between two events.
type inspect func()

func (e inspect) apply(*Loop) { e() }
