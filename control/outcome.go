package control

import "time"

// Result says how an attempt or a probe ended.
type Result uint8

// The results. Only Full, NoConnection, Crowded, Moot and Rejected prove that the attempt never ran.
const (
	Unknown            Result = iota // anything else: it may have run
	Served                           // delivered
	Failed                           // answered with an error
	Rejected                         // turned away unseen
	TimedOut                         // no answer in time
	ConnectFailed                    // no connection could be had
	ConnectionLost                   // the connection broke
	Canceled                         // called off
	NotSent                          // not sent
	Unprocessable                    // the destination can't use this message
	ConnectionRejected               // turned away unseen, for want of room for the connection
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool {
	return r != Rejected && r != ConnectFailed && r != ConnectionRejected && r != NotSent && r != Unprocessable
}

// Outcome tells how an attempt ended.
type Outcome struct {
	ID         MessageID
	Attempt    int
	Endpoint   EndpointID
	Result     Result
	Elapsed    time.Duration
	Final      bool          // the message is over: no answer is owed
	RetryAfter time.Duration // Full: send nothing there for so long; 0 = none told
	NoSlot     bool          // Moot: all slots were taken
	LoadReport []float32     // the destination's report, if any
}

// ObservationKind is what one sender tells others that it saw of an endpoint.
type ObservationKind uint8

// What can be told.
const (
	ObservedNothing   ObservationKind = iota
	ObservedRejection                 // a call was refused above a limit
	ObservedRecovery                  // a call was served after an outage: it is back, and cold
	ReachabilityQuery                 // nothing: one that has heard nobody for a while asks whether anybody hears it
	ReachabilityReply                 // nothing: the answer to that, by a few
	ObservedDown                      // a call failed: it may be dead
	ObservedUp                        // a call was served where others' failed
	ObservedWarm                      // a call to one that is back was served as quickly as before
	observationKinds
)

// Known reports whether this version knows what is told.
func (s ObservationKind) Known() bool { return s > ObservedNothing && s < observationKinds }

// A Observation is one thing seen of an endpoint. It proves nothing of any message.
type Observation struct {
	Endpoint EndpointID
	Kind     ObservationKind
	Age      time.Duration // since the call that showed it was sent
	Peer     int           // of a note that is heard: the sibling that told it, by a number of its own
}
