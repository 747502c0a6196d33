package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// actions implements control.Actions for the controller. It is a type of its own, with the Loop as its underlying type,
// so that these methods are not part of the Loop's method set.
type actions Loop

func (a *actions) loop() *Loop { return (*Loop)(a) }

// Send adds an attempt to a call of this iteration.
func (a *actions) Send(id control.MessageID, to control.EndpointID, timeout time.Duration) {
	l := a.loop()
	e, t := l.table.entries[id], l.group.ByNumber(to)
	if e == nil || t == nil || e.report != nil || t.Destination != e.Destination {
		// There is no such message, or the endpoint is not one of its destination: the attempt must never leave.
		l.rejectSend(id, to, e)
		return
	}
	attempt := &Attempt{
		Message: e.Message, Deadline: l.now.Add(timeout), NotAfter: l.keyRetainedUntil(e), num: id, attempt: e.attempts,
	}
	e.attempts++
	e.inFlight++
	l.addToCall(e, t, attempt)
}

// rejectSend ends a send that the controller should not have requested. Package soak searches the log for
// LogInvalidSend.
func (l *Loop) rejectSend(id control.MessageID, to control.EndpointID, e *entry) {
	l.log.Error(LogInvalidSend, "message", id, "endpoint", to)
	attempt := 0
	if e != nil {
		attempt = e.attempts
		e.attempts++
	}
	l.backlog = append(l.backlog, inspect(func() {
		l.controller.AttemptDone(l.sinceStart(), control.Outcome{
			ID: id, Attempt: attempt, Endpoint: to, Result: control.NotSent, Final: e == nil,
		})
	}))
}

// keyRetainedUntil returns the time after which a message with an idempotency key that may have run must not be sent
// again, or the zero time for other messages. The attempt carries this time, because establishing its connection may
// delay a send that was decided on before it.
func (l *Loop) keyRetainedUntil(e *entry) time.Time {
	first, ran := e.firstRun()
	if !ran || e.Class < 0 || e.Class >= len(l.settings.Classes) {
		return time.Time{}
	}
	if l.settings.Classes[e.Class].Idempotency != control.IdempotentByKey {
		return time.Time{}
	}
	return first.At.Add(l.settings.Classes[e.Class].KeyRetention)
}

// Cancel cancels one attempt. Its call is canceled once no other attempt in it is still awaited.
func (a *actions) Cancel(id control.MessageID, attempt int) {
	l := a.loop()
	for c := range l.inFlight {
		found, awaited := false, false
		for _, x := range c.Attempts {
			if x.num == id && x.attempt == attempt && !x.ended {
				x.canceled, found = true, true
			}
			awaited = awaited || !x.canceled && !x.ended
		}
		if found && !awaited && c.launched {
			l.transport.Cancel(c)
		}
	}
}

// Reject ends a message as deferred.
func (a *actions) Reject(id control.MessageID, retryAfter time.Duration) {
	a.loop().endMessage(id, DeliveryReport{Deferred: true, RetryAfter: retryAfter})
}

// Fail ends a message as undeliverable.
func (a *actions) Fail(id control.MessageID) { a.loop().endMessage(id, DeliveryReport{}) }

// HealthCheck starts a health check of an endpoint, without a message.
func (a *actions) HealthCheck(to control.EndpointID) {
	if t := a.group.ByNumber(to); t != nil {
		a.transport.HealthCheck(*t, a.loop().connectBy())
	}
}

// Disconnect does nothing: the transport keeps no idle connections.
func (a *actions) Disconnect(control.EndpointID) {}

// WatchEndpoints starts or stops watching discovery for changes of the endpoint list.
func (a *actions) WatchEndpoints(on bool) { a.discovery.Watch(on, a.loop().listVersion()) }

// FetchEndpoints requests the whole endpoint list from discovery.
func (a *actions) FetchEndpoints() { a.discovery.Fetch() }

// SetTimer sets the loop's only timer. The controller ignores every token but the latest.
func (a *actions) SetTimer(after time.Duration, token uint32) {
	a.timerToken, a.wakeAt = token, a.now.Add(max(after, 0))
	if a.timer != nil {
		a.timer.Reset(max(after, 0))
	}
}

// Gossip adds an observation to those that are sent at the end of this iteration.
func (a *actions) Gossip(o control.Observation) {
	if t := a.group.ByNumber(o.Endpoint); t != nil && a.gossipSender != nil && len(a.gossip) < gossip.MaxObservations {
		a.gossip = append(a.gossip, gossip.Observation{EndpointHash: gossip.HashID(t.ID), Kind: o.Kind, Age: o.Age})
	}
}

// Log logs a text of the controller.
func (a *actions) Log(text string) { a.log.Info(text) }
