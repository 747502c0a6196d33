package control

import "time"

// Actions is what a controller asks of its host. The host carries the actions out in the order in which they are asked
// for, and never calls back into the controller while it does.
type Actions interface {
	// Send makes an attempt to send a message to an endpoint. The attempts of a message count from 0.
	Send(id MessageID, to EndpointID, timeout time.Duration)
	// Cancel stops waiting for an attempt, whose outcome is Canceled then.
	Cancel(id MessageID, attempt int)
	// Reject answers a message's client that it was not delivered and may safely be submitted again after retryAfter.
	Reject(id MessageID, retryAfter time.Duration)
	// Fail answers a message's client that it failed and must not be submitted again.
	Fail(id MessageID)
	// HealthCheck checks an endpoint without a message; Controller.HealthChecked takes the answer.
	HealthCheck(to EndpointID)
	// Disconnect closes the idle connections to an endpoint.
	Disconnect(to EndpointID)
	// Watch subscribes to changes of the endpoint list from now on, or ends that.
	Watch(on bool)
	// Fetch asks for the complete endpoint list once.
	Fetch()
	// Gossip tells all peers what was seen. It may be lost, and comes late.
	Gossip(observation Observation)
	// SetTimer asks for a call of Controller.TimerFired after a while.
	SetTimer(after time.Duration, token uint32)
	// Log adds a line to the host's log.
	Log(text string)
}
