package state

import (
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// Route: the third stage. The controller says what goes where; its sends of a
// round to one target are put together into calls.

// actions carries out what the controller asks for. It is the loop under
// another name, so that none of this can be called from elsewhere.
type actions Loop

func (a *actions) loop() *Loop { return (*Loop)(a) }

// Send puts a forward into a call of this round.
func (a *actions) Send(id control.MessageID, to control.EndpointID, timeout time.Duration) {
	l := a.loop()
	e, t := l.table.entries[id], l.group.byNumber[to]
	if e == nil || t == nil || e.report != nil || t.Destination != e.Destination {
		// No such message, or a target that is not its destination's: never to leave.
		l.log.Error("send that must not be", "message", id, "target", to)
		attempt := 0
		if e != nil {
			attempt = e.attempts
			e.attempts++
		}
		l.backlog = append(l.backlog, inspect(func() {
			l.controller.AttemptDone(l.sinceStart(), control.Outcome{ID: id, Attempt: attempt, Endpoint: to, Result: control.NotSent, Final: e == nil})
		}))
		return
	}
	f := &Attempt{Message: e.Message, Deadline: l.now.Add(timeout), NotAfter: l.keyRetainedUntil(e), num: id, attempt: e.attempts}
	e.attempts++
	e.inFlight++
	room := len(e.ID) + len(e.Key) + len(e.Body) + FrameRoom
	c := l.callsByEndpoint[to]
	// A body holds so much: what doesn't fit one call takes another.
	if c == nil || e.sendAlone || len(c.Attempts) >= l.maxBatch(t.Kind) || c.bytes+room > MaxBody {
		c = &Call{Target: *t, ConnectBy: l.connectBy()}
		if !e.sendAlone {
			l.callsByEndpoint[to] = c
		}
		l.newCalls = append(l.newCalls, c)
	}
	c.Attempts = append(c.Attempts, f)
	c.bytes += room
	l.inFlight[c]++
	if !e.responded {
		e.call = c
		c.unanswered++
	}
}

// keyRetainedUntil is when a keyed message that may have run may no longer be sent again; zero for others. What is decided
// in the window may leave late: its connection takes its time.
func (l *Loop) keyRetainedUntil(e *entry) time.Time {
	first, ran := e.firstRun()
	if !ran || e.Class < 0 || e.Class >= len(l.settings.Classes) || l.settings.Classes[e.Class].Idempotency != control.IdempotentByKey {
		return time.Time{}
	}
	return first.at.Add(l.settings.Classes[e.Class].KeyRetention)
}

// defaultConnectTimeout is used where the settings don't tell how long a connection may take.
const defaultConnectTimeout = 2 * time.Second

// connectBy is the time by which a connection asked for now must be up.
func (l *Loop) connectBy() time.Time {
	if l.settings.ConnectTimeout <= 0 {
		return l.now.Add(defaultConnectTimeout)
	}
	return l.now.Add(l.settings.ConnectTimeout)
}

// maxBatch is how many messages a call to a kind of target may hold.
func (l *Loop) maxBatch(kind int) int {
	if kind < 0 || kind >= len(l.settings.Kinds) {
		return 1
	}
	return max(1, l.settings.Kinds[kind].MaxBatch)
}

// logCall writes down the forwards of a call that is about to leave.
func (l *Loop) logCall(c *Call) {
	for _, f := range c.Attempts {
		if e := l.table.entries[f.num]; e != nil && !f.ended {
			if f.withheld = !l.permitted(c, f, e); f.withheld {
				continue
			}
			s := sentAttempt{attempt: f.attempt, at: l.now, zone: c.Target.Zone}
			if l.deadLetterQueue != nil {
				s.endpoint = c.Target.ID
			}
			e.mayHaveRun = append(e.mayHaveRun, s)
			l.countFirstAttempt(e)
			l.logAttempt(e, s)
			l.wal.add(attemptRecord(l.wal.times, e.num, s))
		}
	}
}

// launch hands a call to the carrier, less the messages that are over by now.
func (l *Loop) launch(c *Call) {
	c.launched = true
	live := make([]*Attempt, 0, len(c.Attempts))
	for _, f := range c.Attempts {
		if e := l.table.entries[f.num]; e != nil && !f.canceled && !f.withheld && !c.withheld {
			live = append(live, f)
			continue
		}
		l.backlog = append(l.backlog, CallEnded{c, []AttemptResult{{Attempt: f, Result: control.NotSent, Final: l.table.entries[f.num] == nil}}})
	}
	if !l.settings.AllowHedging {
		endTogether(live)
	}
	// The platform counts a call's answer for the others only while the call's first message is waited for.
	slices.SortStableFunc(live, func(a, b *Attempt) int { return b.Deadline.Compare(a.Deadline) })
	if c.Attempts, c.size = live, len(live); len(live) > 0 {
		c.sent = true
		l.callsInFlight++
		l.transport.Send(c)
	}
}

// endTogether has the forwards of a call time out at one instant, where no second copies are allowed. One that
// timed out before the others would be sent again while its first copy is still out on the open connection. None
// waits beyond the deadline of its message: after that it is not sent again.
func endTogether(forwards []*Attempt) {
	var last time.Time
	for _, f := range forwards {
		if f.Deadline.After(last) {
			last = f.Deadline
		}
	}
	for _, f := range forwards {
		by := last
		if f.Message.Deadline.Before(by) {
			by = f.Message.Deadline
		}
		if by.After(f.Deadline) {
			f.Deadline = by
		}
	}
}

// endUnsent ends the forwards of a call that never left.
func (l *Loop) endUnsent(c *Call, r control.Result) {
	c.launched = true
	ends := make([]AttemptResult, len(c.Attempts))
	for i, f := range c.Attempts {
		ends[i] = AttemptResult{Attempt: f, Result: r}
	}
	l.backlog = append(l.backlog, CallEnded{c, ends})
}

// withhold keeps back the calls that were decided on before and have not left, of those to some targets. One that
// still waits for its connection, or for its client to be answered, would leave only after what was told since.
func (l *Loop) withhold(bound func(t Target) bool) {
	for c := range l.inFlight {
		if !bound(c.Target) {
			continue
		}
		if c.withheld = !c.launched; c.launched {
			l.transport.CancelUnsent(c)
		}
	}
}

// withholdForRetryAfter withholds the calls that a told wait binds: they would arrive within it.
func (l *Loop) withholdForRetryAfter(told Target) {
	l.withhold(func(t Target) bool {
		return t.Destination == told.Destination && (t.ID == told.ID || !l.separateRoutes(told.Kind))
	})
}

// withholdUnavailable withholds the calls to targets that are not to be sent anything new.
func (l *Loop) withholdUnavailable() {
	l.withhold(func(t Target) bool {
		now := l.group.byNumber[t.Endpoint.ID]
		_, left := l.group.removedAt[t.ID]
		return now == nil || left || l.group.effective(now).State != control.Ready
	})
}

// separateRoutes tells whether a wait binds the one target, not all of its destination.
func (l *Loop) separateRoutes(kind int) bool {
	return kind >= 0 && kind < len(l.settings.Kinds) && l.settings.Kinds[kind].SeparateRoutes
}

// Cancel calls one forward off. Its call is abandoned once no other is in it.
func (a *actions) Cancel(id control.MessageID, attempt int) {
	l := a.loop()
	for c := range l.inFlight {
		hit, wanted := false, false
		for _, f := range c.Attempts {
			if f.num == id && f.attempt == attempt && !f.ended {
				f.canceled, hit = true, true
			}
			wanted = wanted || !f.canceled && !f.ended
		}
		if hit && !wanted && c.launched {
			l.transport.Cancel(c)
		}
	}
}

// HealthCheck asks a target how it is.
func (a *actions) HealthCheck(to control.EndpointID) {
	if t := a.group.byNumber[to]; t != nil {
		a.transport.HealthCheck(*t, a.loop().connectBy())
	}
}

// Disconnect closes the idle connections to a target.
func (a *actions) Disconnect(to control.EndpointID) {
	if t := a.group.byNumber[to]; t != nil {
		a.transport.Disconnect(t.ID)
	}
}

func (a *actions) Watch(on bool) { a.discovery.Watch(on, a.group.version) }

func (a *actions) Fetch() { a.discovery.Fetch() }

// SetTimer sets the one timer: the controller heeds its latest token alone.
func (a *actions) SetTimer(after time.Duration, token uint32) {
	a.token, a.wakeAt = token, a.now.Add(max(after, 0))
	if a.timer != nil {
		a.timer.Reset(max(after, 0))
	}
}

// Gossip puts a note among those of this round.
func (a *actions) Gossip(n control.Observation) {
	if t := a.group.byNumber[n.Endpoint]; t != nil && a.gossipSender != nil && len(a.gossip) < gossip.MaxObservations {
		a.gossip = append(a.gossip, gossip.Observation{EndpointHash: gossip.HashID(t.ID), Kind: n.Kind, Age: n.Age})
	}
}

// receiveGossip passes on what another sender tells of targets that this one knows.
func (l *Loop) receiveGossip(h GossipReceived) {
	for _, f := range h.Observations {
		if num, known := l.group.byHash[f.EndpointHash]; known {
			l.controller.ReceiveGossip(l.sinceStart(), control.Observation{Endpoint: num, Kind: f.Kind, Age: f.Age, Peer: h.Peer})
		}
	}
}

func (a *actions) Log(text string) { a.log.Info(text) }
