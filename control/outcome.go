package control

import "time"

// Result is the result of an attempt or a health check.
type Result uint8

// The results.
const (
	Unknown             Result = iota // any other result
	Served                            // delivered
	Failed                            // answered with an error
	Rejected                          // refused without being processed
	TimedOut                          // no answer in time
	ConnectFailed                     // the connection could not be opened
	ConnectionLost                    // the connection was lost
	Canceled                          // canceled by Actions.Cancel
	NotSent                           // the host did not send it
	Unprocessable                     // the destination cannot process this message
	ConnectionRejected                // refused without being processed, as the endpoint had no room for the connection
	RejectedUnexplained               // Rejected or ConnectionRejected, it is not known which
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool {
	switch r {
	case Rejected, RejectedUnexplained, ConnectFailed, ConnectionRejected, NotSent, Unprocessable:
		return false
	}
	return true
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	ID         MessageID
	Attempt    int // attempts of a message are numbered from 0
	Endpoint   EndpointID
	Result     Result
	Elapsed    time.Duration
	Final      bool          // the message is finished; its client needs no further answer
	RetryAfter time.Duration // nothing may be sent there for this long; 0 = none
	NoSlot     bool          // NotSent: all slots were in use
	SendAlone  bool          // from now on the message is sent in calls of its own
	LoadReport []float32     // load report of the endpoint, see Settings.LimitIndex and HeadroomIndex; nil = none
}
