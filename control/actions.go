package control

import "time"

// Actions is what a controller asks of its host. The host carries the calls
// out in the order they are made and never calls back into the controller.
type Actions interface {
	// Send calls an endpoint with the message; the attempts of a message count from 0.
	Send(id MessageID, to EndpointID, timeout time.Duration)
	// Cancel stops waiting for one attempt.
	Cancel(id MessageID, attempt int)
	// Reject is the final answer "handed back, trying again is harmless".
	Reject(id MessageID, retryAfter time.Duration)
	// Fail is the final answer "failed"; the client does not come again.
	Fail(id MessageID)
	// HealthCheck checks an endpoint without a message.
	HealthCheck(to EndpointID)
	// Disconnect closes the idle connections to an endpoint.
	Disconnect(to EndpointID)
	// Watch asks for the changes of the endpoint list from now on, or ends that.
	Watch(on bool)
	// Fetch asks for the whole endpoint list once.
	Fetch()
	// Gossip tells all siblings what was seen. It may be lost, and comes late.
	Gossip(n Observation)
	// SetTimer asks for a Woken event after a while.
	SetTimer(after time.Duration, token uint32)
	// Log adds a line to the host's log.
	Log(text string)
}
