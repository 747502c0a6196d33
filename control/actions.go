package control

import "time"

// Actions is the interface through which a controller requests actions from its host. The host executes them in the
// order of the calls and must not call the controller from within them.
type Actions interface {
	// Send starts an attempt to send a message to an endpoint. The attempts of a message are numbered from 0.
	Send(id MessageID, to EndpointID, timeout time.Duration)
	// Cancel cancels an attempt, whose outcome is then Canceled.
	Cancel(id MessageID, attempt int)
	// Reject responds to a message's client that the message was not delivered and may safely be submitted again after
	// retryAfter.
	Reject(id MessageID, retryAfter time.Duration)
	// Fail responds to a message's client that the message failed and must not be submitted again.
	Fail(id MessageID)
	// HealthCheck sends a health check to an endpoint. The host passes its result to Controller.HealthChecked.
	HealthCheck(to EndpointID)
	// Disconnect closes the idle connections to an endpoint.
	Disconnect(to EndpointID)
	// WatchEndpoints starts or ends the subscription to changes of the endpoint list.
	WatchEndpoints(on bool)
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints()
	// Gossip sends an observation to all peers. It may be lost or delayed.
	Gossip(observation Observation)
	// SetTimer requests a call of Controller.TimerFired with the token after the given time.
	SetTimer(after time.Duration, token uint32)
	// Log writes a line to the host's log.
	Log(text string)
}
