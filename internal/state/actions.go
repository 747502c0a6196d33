package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// actions carries out what the controller asks for (control.Actions). It is the loop under another name, so that none
// of this can be called from elsewhere.
type actions Loop

func (a *actions) loop() *Loop { return (*Loop)(a) }

// Send puts an attempt into a call of this iteration.
func (a *actions) Send(id control.MessageID, to control.EndpointID, timeout time.Duration) {
	l := a.loop()
	e, t := l.table.entries[id], l.group.ByNumber(to)
	if e == nil || t == nil || e.report != nil || t.Destination != e.Destination {
		// No such message, or an endpoint that is not its destination's: never to leave.
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

// rejectSend ends a send that the controller must not have asked for. Package soak looks for LogInvalidSend.
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

// keyRetainedUntil is when a message with an idempotency key that may have run may no longer be sent again; zero for
// others. What is decided before that may leave late: its connection takes its time.
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

// Cancel cancels one attempt. Its call is canceled once nobody waits for any other in it.
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

// Reject ends a message that is deferred.
func (a *actions) Reject(id control.MessageID, retryAfter time.Duration) {
	a.loop().endMessage(id, DeliveryReport{Deferred: true, RetryAfter: retryAfter})
}

// Fail ends a message that is undeliverable.
func (a *actions) Fail(id control.MessageID) { a.loop().endMessage(id, DeliveryReport{}) }

// HealthCheck checks an endpoint without a message.
func (a *actions) HealthCheck(to control.EndpointID) {
	if t := a.group.ByNumber(to); t != nil {
		a.transport.HealthCheck(*t, a.loop().connectBy())
	}
}

// Disconnect closes the idle connections to an endpoint.
func (a *actions) Disconnect(to control.EndpointID) {
	if t := a.group.ByNumber(to); t != nil {
		a.transport.Disconnect(t.ID)
	}
}

// Watch has discovery watch for changes of the list, or stop that.
func (a *actions) Watch(on bool) { a.discovery.Watch(on, a.group.Version()) }

// Fetch has discovery fetch the whole list.
func (a *actions) Fetch() { a.discovery.Fetch() }

// SetTimer sets the one timer: the controller heeds its latest token alone.
func (a *actions) SetTimer(after time.Duration, token uint32) {
	a.timerToken, a.wakeAt = token, a.now.Add(max(after, 0))
	if a.timer != nil {
		a.timer.Reset(max(after, 0))
	}
}

// Gossip puts an observation among those of this iteration.
func (a *actions) Gossip(n control.Observation) {
	if t := a.group.ByNumber(n.Endpoint); t != nil && a.gossipSender != nil && len(a.gossip) < gossip.MaxObservations {
		a.gossip = append(a.gossip, gossip.Observation{EndpointHash: gossip.HashID(t.ID), Kind: n.Kind, Age: n.Age})
	}
}

// Log logs what the controller has to say.
func (a *actions) Log(text string) { a.log.Info(text) }
