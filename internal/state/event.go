package state

// Event is something that the loop handles in its next iteration. The set is sealed: only types of this package are events,
// so that posting anything else does not compile.
type Event interface{ isEvent() }

// TimerElapsed is the event of the loop's timer, for a caller of Step: WakeAt has come.
type TimerElapsed struct{}

// timerFired carries the token of the timer that went off. The controller ignores all but its latest.
type timerFired struct{ token uint32 }

func (Submitted) isEvent()           {}
func (GossipReceived) isEvent()      {}
func (ResponseWritten) isEvent()     {}
func (CallEnded) isEvent()           {}
func (HealthChecked) isEvent()       {}
func (ExclusionsChanged) isEvent()   {}
func (ReportsAcknowledged) isEvent() {}
func (ListUpdate) isEvent()          {}
func (ListUnreadable) isEvent()      {}
func (PollOpen) isEvent()            {}
func (PollFailed) isEvent()          {}
func (Redelivery) isEvent()          {}
func (DeadLettersStored) isEvent()   {}
func (UpdateSettings) isEvent()      {}
func (HandOver) isEvent()            {}
func (RemoteResult) isEvent()        {}
func (PredecessorLost) isEvent()     {}
func (TimerElapsed) isEvent()        {}
func (timerFired) isEvent()          {}
func (stopping) isEvent()            {}
func (halting) isEvent()             {}
func (inspect) isEvent()             {}
