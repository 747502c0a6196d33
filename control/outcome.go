package control

import "time"

// Result says how an attempt or a health check ended.
type Result uint8

// The results.
const (
	Unknown            Result = iota // anything else
	Served                           // delivered
	Failed                           // answered with an error
	Rejected                         // refused unseen
	TimedOut                         // no answer in time
	ConnectFailed                    // no connection could be opened
	ConnectionLost                   // the connection broke
	Canceled                         // canceled by Actions.Cancel
	NotSent                          // the host did not send it
	Unprocessable                    // the destination cannot use this message
	ConnectionRejected               // refused unseen, as the endpoint had no capacity for the connection
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool {
	return r != Rejected && r != ConnectFailed && r != ConnectionRejected && r != NotSent && r != Unprocessable
}

// Outcome tells how an attempt ended.
type Outcome struct {
	ID         MessageID
	Attempt    int // attempts of a message count from 0
	Endpoint   EndpointID
	Result     Result
	Elapsed    time.Duration
	Final      bool          // the message is finished: its client needs no answer
	RetryAfter time.Duration // send nothing there for so long; 0 = none told
	NoSlot     bool          // NotSent: all slots were taken
	LoadReport []float32     // the endpoint's report, see Settings.LimitIndex and HeadroomIndex; nil = none
}
